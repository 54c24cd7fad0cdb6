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
	// Pending: it is stored, and nothing has been changed.
	Pending State = "pending"
	// Advancing: the replicas of a batch are being changed.
	Advancing State = "advancing"
	// Soaking: the batch is changed and passes the gate, and has to for a while.
	Soaking State = "soaking"
	// Paused: nothing is changed until an operator resumes it, or the reason is gone.
	Paused State = "paused"
	// RollingBack: batches are rolled back, the last one first.
	RollingBack State = "rolling back"
	// Done: every replica is of the new version.
	Done State = "done"
	// RolledBack: every replica is of the old version again.
	RolledBack State = "rolled back"
	// Failed: it was given up, since the service was cancelled, or its old version does not
	// become healthy either.
	Failed State = "failed"
)

// Ended reports whether a roll-out has ended.
func (s State) Ended() bool { return s == Done || s == RolledBack || s == Failed }

// Batch is the replicas that change together, all in one zone.
type Batch struct {
	// Zone is where the new instances go; empty: any zone, for replicas that had no machine
	// when the roll-out began.
	Zone     string  `codec:"zone"`
	Replicas []int32 `codec:"replicas"`
}

// Failure counts the failures of a replica's new instances, and names the machines.
type Failure struct {
	Count    int      `codec:"count"`
	Machines []string `codec:"hosts"`
}

// Record is the durable state of a service and of its last roll-out. Everything done for it
// follows from the record and from what is observed; a leader that takes over goes on from
// it.
type Record struct {
	Service string `codec:"service"`
	// Handle is the service's first job: its user's id for it. Current is the job of the
	// version that runs, Next that of the one that is rolled out.
	Handle  string `codec:"handle"`
	Current string `codec:"current"`
	Next    string `codec:"next,omitempty"`
	Spec    Spec   `codec:"spec"`
	State   State  `codec:"state"`
	// ResumeState is the state before a pause.
	ResumeState State `codec:"resume,omitempty"`
	// ManualResume: only an operator ends the pause. That holds for pauses by an operator, the
	// gate or the deadline.
	ManualResume bool    `codec:"held,omitempty"`
	Reason       string  `codec:"reason,omitempty"` // of the state
	Batches      []Batch `codec:"batches"`
	// BatchIndex is the batch that is being changed, or rolled back.
	BatchIndex int `codec:"at"`
	// BatchStartedAt is when the batch began, StateSince when the state did, StartedAt when
	// the roll-out was requested: times of day in milliseconds.
	BatchStartedAt int64 `codec:"begun"`
	StateSince     int64 `codec:"since"`
	StartedAt      int64 `codec:"started"`
	// Failures of new instances, by replica. They are durable, so that a failover does not
	// reset what is known of a build.
	Failures map[int32]Failure `codec:"failures,omitempty"`
}

// New makes the record of a roll-out that has not begun. RequiredZone is where each replica runs;
// empty: nowhere.
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

// PlanBatches divides a service's replicas into batches, none of them in two zones. RequiredZone is
// where each replica runs; empty: nowhere.
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

// zoneOrder is the order in which zones change: those that the specification names, then the
// others by name, and last the replicas without a zone.
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

// maxFailedMachines bounds the machines that are recorded of one replica's failures.
const maxFailedMachines = 4

// AddFailure records that a replica's new instance has failed on a machine, and reports
// whether the record has changed. The map of failures is replaced, since records share it.
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
