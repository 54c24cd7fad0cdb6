// Package rollout moves a service from one build to the next, batch by batch, and
// back when the new one is bad. It decides and holds no connection, goroutine or
// clock: the leader passes in what it sees and the time, stores the record that
// comes back under its term, and carries out what the record says is wanted.
package rollout

import (
	_ "embed"
	"errors"
	"fmt"
	"math"

	"vetchstream/internal/job"
	"vetchstream/internal/schema"
)

// Target is the next version of a service: a job id of its own, since a worker
// reads a job's description by its id, and what differs from the version before.
type Target struct {
	ID      string   `codec:"uid" json:"uid"`
	Image   string   `codec:"reel" json:"reel"`
	ImageGB *float64 `codec:"image_gb,omitempty" json:"image_gb,omitempty"`
	CPUs    *float64 `codec:"cpus,omitempty" json:"cpus,omitempty"`
	GPUs    *float64 `codec:"accelerators,omitempty" json:"accelerators,omitempty"`
	MemGB   *float64 `codec:"mem_gb,omitempty" json:"mem_gb,omitempty"`
	Types   []string `codec:"builds,omitempty" json:"builds,omitempty"`
}

// Check is a request that the leader makes to each copy's worker.
type Check struct {
	Path   string  `codec:"path" json:"path"`
	EveryS float64 `codec:"every_s,omitempty" json:"every_s,omitempty"`
}

// Spec is a roll-out as an operator asks for it.
type Spec struct {
	Service string `codec:"service" json:"service"`
	// From is the service's first job, named in its first roll-out.
	From string `codec:"from,omitempty" json:"from,omitempty"`
	To   Target `codec:"to" json:"to"`
	// Batch is how many replicas change at a time, or BatchShare of them.
	Batch         int     `codec:"batch,omitempty" json:"batch,omitempty"`
	BatchFraction float64 `codec:"batch_share,omitempty" json:"batch_share,omitempty"`
	// MaxUnavailable and MostExtra bound how many replicas there are too few or too
	// many at a time.
	MaxUnavailable *int `codec:"most_missing,omitempty" json:"most_missing,omitempty"`
	MaxSurge       *int `codec:"most_extra,omitempty" json:"most_extra,omitempty"`
	// Pass and Fail are the gate, see gate.go.
	Pass string `codec:"pass,omitempty" json:"pass,omitempty"`
	Fail string `codec:"fail,omitempty" json:"fail,omitempty"`
	// ReadyS is how long a new copy has to be healthy before its old one goes, in
	// seconds.
	ReadyS *float64 `codec:"ready_s,omitempty" json:"ready_s,omitempty"`
	// SoakS is how long a batch has to pass before the next, DeadlineS how long it
	// may take until then. In seconds.
	SoakS     *float64 `codec:"soak_s,omitempty" json:"soak_s,omitempty"`
	DeadlineS float64  `codec:"deadline_s,omitempty" json:"deadline_s,omitempty"`
	// AutoRollback: roll back by itself; else it pauses.
	AutoRollback *bool `codec:"undo,omitempty" json:"undo,omitempty"`
	// Zones is the order of the zones; the others follow by name.
	Zones []string `codec:"zones,omitempty" json:"zones,omitempty"`
	// Supersede: take the place of a roll-out that is under way.
	Supersede bool   `codec:"supersede,omitempty" json:"supersede,omitempty"`
	Check     *Check `codec:"check,omitempty" json:"check,omitempty"`
}

// Defaults of a spec that says nothing.
const (
	defaultReadyS         = 10.0
	defaultSoakS          = 60.0
	defaultDeadlineS      = 600.0
	defaultBatchFraction  = 0.1
	defaultCheckIntervalS = 5.0
)

// ErrMalformed marks a specification that is wrong.
var ErrMalformed = errors.New("roll-out is malformed")

//go:embed schema.json
var schemaJSON []byte

var specSchema = schema.New("rollout", schemaJSON)

// Parse reads a specification in its encoded form and checks it against the
// schema. An error is an ErrSpec and names the field.
func Parse(body []byte) (*Spec, error) {
	s := &Spec{}
	if err := specSchema.Decode(body, s, "batch", "most_missing", "most_extra"); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if s.Batch > 0 && s.BatchFraction > 0 {
		return nil, fmt.Errorf("%w: batch: given beside batch_share", ErrMalformed)
	}
	if s.maxUnavailable() == 0 && s.maxSurge() == 0 {
		return nil, fmt.Errorf("%w: most_missing: 0 beside most_extra 0 lets nothing change", ErrMalformed)
	}
	if _, err := NewGate(s.Pass, s.Fail); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return s, nil
}

func (s *Spec) maxUnavailable() int {
	if s.MaxUnavailable != nil {
		return *s.MaxUnavailable
	}
	return 0
}

func (s *Spec) maxSurge() int {
	if s.MaxSurge != nil {
		return *s.MaxSurge
	}
	return 1
}

func (s *Spec) readySeconds() float64 {
	if s.ReadyS != nil {
		return *s.ReadyS
	}
	return defaultReadyS
}

func (s *Spec) soakSeconds() float64 {
	if s.SoakS != nil {
		return *s.SoakS
	}
	return defaultSoakS
}

func (s *Spec) deadlineSeconds() float64 {
	if s.DeadlineS > 0 {
		return s.DeadlineS
	}
	return defaultDeadlineS
}

func (s *Spec) autoRollback() bool { return s.AutoRollback == nil || *s.AutoRollback }

// CheckIntervalS is how often a copy is checked, in seconds.
func (s *Spec) CheckIntervalS() float64 {
	if s.Check != nil && s.Check.EveryS > 0 {
		return s.Check.EveryS
	}
	return defaultCheckIntervalS
}

// batchSize is how many replicas change at a time.
func (s *Spec) batchSize(replicas int) int {
	n := s.Batch
	if n == 0 {
		share := s.BatchFraction
		if share == 0 {
			share = defaultBatchFraction
		}
		n = int(math.Ceil(share * float64(replicas)))
	}
	return max(1, min(n, replicas))
}

// NextJob is the job of the next version.
func (s *Spec) NextJob(was *job.Spec) job.Spec {
	next := *was
	next.ID, next.Image = s.To.ID, s.To.Image
	for _, f := range []struct {
		to   *float64
		from *float64
	}{{&next.ImageGB, s.To.ImageGB}, {&next.CPUs, s.To.CPUs}, {&next.GPUs, s.To.GPUs}, {&next.MemGB, s.To.MemGB}} {
		if f.from != nil {
			*f.to = *f.from
		}
	}
	if s.To.Types != nil {
		next.Types = s.To.Types
	}
	return next
}
