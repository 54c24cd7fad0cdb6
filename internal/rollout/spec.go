// Package rollout moves a service from one version to the next, batch by batch, and back when
// the new one is bad. It decides, and has no connection, goroutine or clock: the leader passes
// in what it observes and the time, stores the changed record under its term, and carries out
// what the record requires.
package rollout

import (
	_ "embed"
	"errors"
	"fmt"
	"math"

	"vetchstream/internal/job"
	"vetchstream/internal/schema"
)

// Target is the next version of a service: a job id of its own, since a worker reads a job's
// specification by its id, and what differs from the version before.
type Target struct {
	ID      string   `codec:"uid" json:"uid"`
	Image   string   `codec:"reel" json:"reel"`
	ImageGB *float64 `codec:"image_gb,omitempty" json:"image_gb,omitempty"`
	CPUs    *float64 `codec:"cpus,omitempty" json:"cpus,omitempty"`
	GPUs    *float64 `codec:"accelerators,omitempty" json:"accelerators,omitempty"`
	MemGB   *float64 `codec:"mem_gb,omitempty" json:"mem_gb,omitempty"`
	Types   []string `codec:"builds,omitempty" json:"builds,omitempty"`
}

// Check is an HTTP request that the leader makes to each instance's worker, every IntervalS
// seconds.
type Check struct {
	Path      string  `codec:"path" json:"path"`
	IntervalS float64 `codec:"every_s,omitempty" json:"every_s,omitempty"`
}

// Spec is the specification of a roll-out by an operator.
type Spec struct {
	Service string `codec:"service" json:"service"`
	// From is the service's first job, named in its first roll-out.
	From string `codec:"from,omitempty" json:"from,omitempty"`
	To   Target `codec:"to" json:"to"`
	// Batch is how many replicas change at a time, BatchFraction which fraction of them; one of
	// them may be given.
	Batch         int     `codec:"batch,omitempty" json:"batch,omitempty"`
	BatchFraction float64 `codec:"batch_share,omitempty" json:"batch_share,omitempty"`
	// MaxUnavailable and MaxSurge bound how many replicas there are too few or too many at a
	// time.
	MaxUnavailable *int `codec:"most_missing,omitempty" json:"most_missing,omitempty"`
	MaxSurge       *int `codec:"most_extra,omitempty" json:"most_extra,omitempty"`
	// Pass and Fail are the expressions of the Gate; empty: its defaults.
	Pass string `codec:"pass,omitempty" json:"pass,omitempty"`
	Fail string `codec:"fail,omitempty" json:"fail,omitempty"`
	// ReadyS is how long a new instance has to be healthy before its old one is stopped, in
	// seconds.
	ReadyS *float64 `codec:"ready_s,omitempty" json:"ready_s,omitempty"`
	// SoakS is how long a batch has to pass before the next, DeadlineS how long it may take
	// until then, in seconds.
	SoakS     *float64 `codec:"soak_s,omitempty" json:"soak_s,omitempty"`
	DeadlineS float64  `codec:"deadline_s,omitempty" json:"deadline_s,omitempty"`
	// AutoRollback: roll back when the gate fails, else pause; nil: roll back.
	AutoRollback *bool `codec:"undo,omitempty" json:"undo,omitempty"`
	// Zones is the order of the zones; the others follow by name.
	Zones []string `codec:"zones,omitempty" json:"zones,omitempty"`
	// Supersede: replace a roll-out that is under way.
	Supersede bool   `codec:"supersede,omitempty" json:"supersede,omitempty"`
	Check     *Check `codec:"check,omitempty" json:"check,omitempty"`
}

// Defaults of a specification that leaves them out.
const (
	defaultMaxUnavailable = 0
	defaultMaxSurge       = 1
	defaultReadyS         = 10.0
	defaultSoakS          = 60.0
	defaultDeadlineS      = 600.0
	defaultBatchFraction  = 0.1
	defaultCheckIntervalS = 5.0
)

// ErrMalformed is returned for a specification that is wrong.
var ErrMalformed = errors.New("roll-out is malformed")

//go:embed schema.json
var schemaJSON []byte

var specSchema = schema.New("rollout", schemaJSON)

// Parse reads a specification in its encoded form and checks it against the schema. An error
// is an ErrMalformed and names the field.
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

// maxUnavailable is how many replicas there may be too few at a time.
func (s *Spec) maxUnavailable() int {
	if s.MaxUnavailable != nil {
		return *s.MaxUnavailable
	}
	return defaultMaxUnavailable
}

// maxSurge is how many replicas there may be too many at a time.
func (s *Spec) maxSurge() int {
	if s.MaxSurge != nil {
		return *s.MaxSurge
	}
	return defaultMaxSurge
}

// readySeconds is how long a new instance has to be healthy before its old one is stopped.
func (s *Spec) readySeconds() float64 {
	if s.ReadyS != nil {
		return *s.ReadyS
	}
	return defaultReadyS
}

// soakSeconds is how long a batch has to pass before the next.
func (s *Spec) soakSeconds() float64 {
	if s.SoakS != nil {
		return *s.SoakS
	}
	return defaultSoakS
}

// deadlineSeconds is how long a batch may take.
func (s *Spec) deadlineSeconds() float64 {
	if s.DeadlineS > 0 {
		return s.DeadlineS
	}
	return defaultDeadlineS
}

// autoRollback reports whether the roll-out is rolled back when it fails.
func (s *Spec) autoRollback() bool { return s.AutoRollback == nil || *s.AutoRollback }

// CheckIntervalS is how often an instance is checked, in seconds.
func (s *Spec) CheckIntervalS() float64 {
	if s.Check != nil && s.Check.IntervalS > 0 {
		return s.Check.IntervalS
	}
	return defaultCheckIntervalS
}

// batchSize is how many replicas change at a time.
func (s *Spec) batchSize(replicas int) int {
	n := s.Batch
	if n == 0 {
		fraction := s.BatchFraction
		if fraction == 0 {
			fraction = defaultBatchFraction
		}
		n = int(math.Ceil(fraction * float64(replicas)))
	}
	return max(1, min(n, replicas))
}

// NextJob is the job of the next version, which differs from the current one by the target.
func (s *Spec) NextJob(current *job.Spec) job.Spec {
	next := *current
	next.ID = s.To.ID
	next.Image = s.To.Image
	override(&next.ImageGB, s.To.ImageGB)
	override(&next.CPUs, s.To.CPUs)
	override(&next.GPUs, s.To.GPUs)
	override(&next.MemGB, s.To.MemGB)
	if s.To.Types != nil {
		next.Types = s.To.Types
	}
	return next
}

// override replaces an amount by another one, if that is given.
func override(amount *float64, by *float64) {
	if by != nil {
		*amount = *by
	}
}
