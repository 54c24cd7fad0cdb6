package rollout

import (
	"maps"
	"slices"
	"time"
)

// State is how far a roll-out is.
type State string

const (
	// Pending is stored, and nothing has been changed.
	Pending State = "pending"
	// Advancing means that the replicas of a batch are being changed.
	Advancing State = "advancing"
	// Soaking means that the batch is changed and passes, and has to for a while.
	Soaking State = "soaking"
	// Paused means that nothing is changed until an operator, or the reason's end, resumes it.
	Paused State = "paused"
	// RollingBack means that batches are taken back, the last one first.
	RollingBack State = "rolling back"
	// Done means that every replica is of the new version.
	Done State = "done"
	// RolledBack means that every replica is of the old version again.
	RolledBack State = "rolled back"
	// Failed means that it was given up: the service was cancelled, or its old version does not
	// come back up either.
	Failed State = "failed"
)

// Over reports whether a roll-out has come to its end.
func (s State) Over() bool { return s == Done || s == RolledBack || s == Failed }

// Batch is the replicas that change together, all in one zone.
type Batch struct {
	// Zone is where the new copies go; empty: wherever there is room, for replicas
	// that had no machine when the roll-out began.
	Zone     string  `codec:"zone"`
	Replicas []int32 `codec:"replicas"`
}

// Failure counts how often a replica's new copy has failed, and the machines.
type Failure struct {
	Count int      `codec:"count"`
	Hosts []string `codec:"hosts"`
}

// Record is the durable state of a service and of its last roll-out. All that is
// done follows from it and from what is seen; a leader that takes over goes on
// from it.
type Record struct {
	Service string `codec:"service"`
	// Handle is the service's first job: its user's id for it. Current is the job of
	// the version that runs, Next that of the one that is rolled out.
	Handle           string  `codec:"handle"`
	Current          string  `codec:"current"`
	Next             string  `codec:"next,omitempty"`
	Spec             Spec    `codec:"spec"`
	State            State   `codec:"state"`
	ResumeState      State   `codec:"resume,omitempty"` // what a paused one was doing
	PausedByOperator bool    `codec:"held,omitempty"`   // paused by an operator
	Reason           string  `codec:"reason,omitempty"`
	Batches          []Batch `codec:"batches"`
	// BatchIndex is the batch that is being changed, or taken back.
	BatchIndex int `codec:"at"`
	// BatchStartedAt is when the batch began, Since when the state did, Started when the
	// roll-out was asked for: times of day in milliseconds.
	BatchStartedAt int64 `codec:"begun"`
	StateSince     int64 `codec:"since"`
	StartedAt      int64 `codec:"started"`
	// Failures of new copies, by replica. They are durable, so that a change of
	// leader does not forgive a build what it has done.
	Failures map[int32]Failure `codec:"failures,omitempty"`
}

// Health is what is known of a copy.
type Health uint8

const (
	// Unknown is not healthy.
	Unknown Health = iota
	// Healthy means that the last check passed.
	Healthy
	// Unhealthy means that it did not.
	Unhealthy
)

// Instance is what the leader sees of one replica's copy of a version.
type Instance struct {
	// Live: it may be on a machine. Running: its worker says so.
	Live, Running bool
	Health        Health
	// Lost: its machine is gone, silent or being emptied.
	Lost   bool
	SinceS float64 // how long it has run
	BadS   float64 // how long it has been unhealthy without a break
}

// View is what the leader sees of a service at one moment.
type View struct {
	Now time.Time
	// Old and New are the copies of the two versions, by replica.
	Old, New []Instance
	// UnavailableZones are zones in which no machine can take work.
	UnavailableZones map[string]bool `codec:"Down"`
	// ChecksUnreachable: the checks fail for copies of the old version as well, and for nearly
	// all copies: it is the checker that is cut off, not the copies.
	ChecksUnreachable bool `codec:"Blind"`
	// Cancelled: the user has cancelled the service.
	Cancelled bool
}

// PlanBatches divides a service's replicas into batches, none of them in two zones.
// zoneOf is where each replica runs; empty: nowhere at the moment.
func PlanBatches(s *Spec, zoneOf []string) []Batch {
	byZone := map[string][]int32{}
	for i, z := range zoneOf {
		byZone[z] = append(byZone[z], int32(i))
	}
	var order []string
	for _, z := range s.Zones {
		if byZone[z] != nil && !slices.Contains(order, z) && z != "" {
			order = append(order, z)
		}
	}
	var others []string
	for z := range byZone {
		if z != "" && !slices.Contains(order, z) {
			others = append(others, z)
		}
	}
	slices.Sort(others)
	order = append(order, others...)
	if byZone[""] != nil {
		order = append(order, "")
	}
	size := s.batchSize(len(zoneOf))
	var out []Batch
	for _, z := range order {
		for c := range slices.Chunk(byZone[z], size) {
			out = append(out, Batch{Zone: z, Replicas: slices.Clone(c)})
		}
	}
	return out
}

// New makes the record of a roll-out that nothing has been done for.
func New(s *Spec, handle, current string, zoneOf []string, now time.Time) *Record {
	ms := now.UnixMilli()
	return &Record{Service: s.Service, Handle: handle, Current: current, Next: s.To.ID, Spec: *s, State: Pending,
		Batches: PlanBatches(s, zoneOf), BatchStartedAt: ms, StateSince: ms, StartedAt: ms}
}

// maxHosts bounds the machines that are remembered of one replica's failures.
const maxHosts = 4

// AddFailure notes that a replica's new copy has failed on a machine, and reports
// whether the record has changed.
func (r *Record) AddFailure(replica int32, host string) bool {
	if r.State.Over() || !slices.ContainsFunc(r.Batches, func(b Batch) bool { return slices.Contains(b.Replicas, replica) }) {
		return false
	}
	failures := map[int32]Failure{}
	maps.Copy(failures, r.Failures)
	r.Failures = failures
	f := r.Failures[replica]
	f.Hosts = slices.Clone(f.Hosts)
	f.Count++
	if !slices.Contains(f.Hosts, host) && len(f.Hosts) < maxHosts {
		f.Hosts = append(f.Hosts, host)
	}
	r.Failures[replica] = f
	return true
}
