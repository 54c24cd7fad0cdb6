package rollout

import (
	"maps"
	"slices"
	"time"
)

// State is the state of a roll-out.
type State string

// States of a roll-out.
const (
	// Pending: the record is stored, and no replica has been changed.
	Pending State = "pending"
	// Advancing: the replicas of a batch are being changed.
	Advancing State = "advancing"
	// Soaking: all replicas of the batch are changed, and the batch has to pass the gate for the
	// soak time.
	Soaking State = "soaking"
	// Paused: no replica is changed until an operator resumes the roll-out or the reason of the
	// pause no longer holds.
	Paused State = "paused"
	// RollingBack: the batches are rolled back, from the last one that started to the first.
	RollingBack State = "rolling back"
	// Done: every replica runs the new version.
	Done State = "done"
	// RolledBack: every replica runs the old version again.
	RolledBack State = "rolled back"
	// Failed: the roll-out was given up, because the service was cancelled or its old version did
	// not run again after the rollback either.
	Failed State = "failed"
)

// Ended reports whether a roll-out has ended.
func (s State) Ended() bool { return s == Done || s == RolledBack || s == Failed }

// Batch is a set of replicas that change together, all in one zone.
type Batch struct {
	// Zone is the zone in which the new instances run. It is empty for replicas that had no
	// machine when the roll-out was requested: these may run in any zone.
	Zone     string  `codec:"zone"`
	Replicas []int32 `codec:"replicas"`
}

// Failure counts the failures of a replica's new instances, and names the machines on which
// they happened, at most maxFailedMachines.
type Failure struct {
	Count    int      `codec:"count"`
	Machines []string `codec:"hosts"`
}

// Record is the durable state of a service and of its last roll-out. Every action follows from
// the record and from what the leader observes, so that a new leader continues from the record.
type Record struct {
	Service string `codec:"service"`
	// Handle is the id of the service's first job, by which its user refers to the service.
	// Current is the job of the version that runs, Next the job of the version that is rolled out.
	Handle  string `codec:"handle"`
	Current string `codec:"current"`
	Next    string `codec:"next,omitempty"`
	Spec    Spec   `codec:"spec"`
	State   State  `codec:"state"`
	// ResumeState is the state before the pause.
	ResumeState State `codec:"resume,omitempty"`
	// ManualResume means that only an operator can end the pause. It is set if an operator, the
	// gate or the deadline caused the pause.
	ManualResume bool    `codec:"held,omitempty"`
	Reason       string  `codec:"reason,omitempty"` // why the roll-out is in its state
	Batches      []Batch `codec:"batches"`
	// BatchIndex is the index of the batch that is being changed or rolled back.
	BatchIndex int `codec:"at"`
	// BatchStartedAt is when the batch started, StateSince when the state last changed, and
	// StartedAt when the roll-out was requested, in milliseconds since 1970.
	BatchStartedAt int64 `codec:"begun"`
	StateSince     int64 `codec:"since"`
	StartedAt      int64 `codec:"started"`
	// Failures are the failures of new instances, by replica. They are durable, so that a
	// failover does not reset the evidence against a build.
	Failures map[int32]Failure `codec:"failures,omitempty"`
}

// New returns the record of a roll-out that has not started. zoneOf is the zone of each replica's
// machine, empty for a replica without a machine.
func New(s *Spec, handle, current string, zoneOf []string, now time.Time) *Record {
	ms := now.UnixMilli()
	return &Record{
		Service:        s.Service,
		Handle:         handle,
		Current:        current,
		Next:           s.To.ID,
		Spec:           *s,
		State:          Pending,
		Batches:        PlanBatches(s, zoneOf),
		BatchStartedAt: ms,
		StateSince:     ms,
		StartedAt:      ms,
	}
}

// PlanBatches divides a service's replicas into batches, each within one zone. zoneOf is the zone
// of each replica's machine, empty for a replica without a machine.
func PlanBatches(s *Spec, zoneOf []string) []Batch {
	byZone := map[string][]int32{}
	for i, zone := range zoneOf {
		byZone[zone] = append(byZone[zone], int32(i))
	}
	size := s.batchSize(len(zoneOf))
	var batches []Batch
	for _, zone := range s.zoneOrder(byZone) {
		for replicas := range slices.Chunk(byZone[zone], size) {
			batches = append(batches, Batch{Zone: zone, Replicas: slices.Clone(replicas)})
		}
	}
	return batches
}

// zoneOrder returns the zones in the order in which they change: first those that the
// specification names, then the others by name, and last the empty zone of the replicas without
// a machine.
func (s *Spec) zoneOrder(byZone map[string][]int32) []string {
	var order []string
	for _, zone := range s.Zones {
		if byZone[zone] != nil && !slices.Contains(order, zone) && zone != "" {
			order = append(order, zone)
		}
	}
	var others []string
	for zone := range byZone {
		if zone != "" && !slices.Contains(order, zone) {
			others = append(others, zone)
		}
	}
	slices.Sort(others)
	order = append(order, others...)
	if byZone[""] != nil {
		order = append(order, "")
	}
	return order
}

// maxFailedMachines bounds the machines that are recorded for the failures of one replica.
const maxFailedMachines = 4

// AddFailure records that a replica's new instance has failed on a machine, and reports whether
// the record has changed. It replaces the map of failures, because copies of the record share it.
func (r *Record) AddFailure(replica int32, machine string) bool {
	contains := func(b Batch) bool { return slices.Contains(b.Replicas, replica) }
	if r.State.Ended() || !slices.ContainsFunc(r.Batches, contains) {
		return false
	}
	failures := map[int32]Failure{}
	maps.Copy(failures, r.Failures)
	f := failures[replica]
	f.Machines = slices.Clone(f.Machines)
	f.Count++
	if !slices.Contains(f.Machines, machine) && len(f.Machines) < maxFailedMachines {
		f.Machines = append(f.Machines, machine)
	}
	failures[replica] = f
	r.Failures = failures
	return true
}
