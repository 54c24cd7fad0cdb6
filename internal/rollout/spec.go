// Package rollout moves a service from one version to the next, batch by batch, and rolls it back
// if the new version is bad. The package only decides: it uses no connection, goroutine or clock.
// The leader passes in its observations and the time, stores the changed record under its term,
// and starts and stops the instances that the record requires.
package rollout

import (
	_ "embed"
	"errors"
	"fmt"
	"math"

	"vetchstream/internal/job"
	"vetchstream/internal/schema"
)

// Target is the next version of a service: its job id and the settings that differ from the
// current version. Each version needs a job id of its own, because a worker reads a job's
// specification by its id.
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
	// From is the id of the service's first job. The first roll-out of the service has to give it.
	From string `codec:"from,omitempty" json:"from,omitempty"`
	To   Target `codec:"to" json:"to"`
	// Batch is the number of replicas that change at a time, BatchFraction their fraction of all
	// replicas. At most one of the two may be given.
	Batch         int     `codec:"batch,omitempty" json:"batch,omitempty"`
	BatchFraction float64 `codec:"batch_share,omitempty" json:"batch_share,omitempty"`
	// MaxUnavailable bounds how many replicas may be unavailable at a time, MaxSurge how many
	// surplus instances may run.
	MaxUnavailable *int `codec:"most_missing,omitempty" json:"most_missing,omitempty"`
	MaxSurge       *int `codec:"most_extra,omitempty" json:"most_extra,omitempty"`
	// Pass and Fail are the expressions of the Gate. Empty ones stand for the defaults.
	Pass string `codec:"pass,omitempty" json:"pass,omitempty"`
	Fail string `codec:"fail,omitempty" json:"fail,omitempty"`
	// ReadyS is how long a new instance has to be healthy before its old one is stopped, in
	// seconds.
	ReadyS *float64 `codec:"ready_s,omitempty" json:"ready_s,omitempty"`
	// SoakS is how long a batch has to pass the gate before the next batch starts, DeadlineS the
	// longest time from the start of a batch until it passes, in seconds.
	SoakS     *float64 `codec:"soak_s,omitempty" json:"soak_s,omitempty"`
	DeadlineS float64  `codec:"deadline_s,omitempty" json:"deadline_s,omitempty"`
	// AutoRollback says whether a failure rolls the roll-out back or only pauses it. If it is nil,
	// the roll-out is rolled back.
	AutoRollback *bool `codec:"undo,omitempty" json:"undo,omitempty"`
	// Zones is the order in which zones change. Zones that are not listed follow by name.
	Zones []string `codec:"zones,omitempty" json:"zones,omitempty"`
	// Supersede says that the roll-out replaces one that has not ended.
	Supersede bool   `codec:"supersede,omitempty" json:"supersede,omitempty"`
	Check     *Check `codec:"check,omitempty" json:"check,omitempty"`
}

// Defaults of the settings that a specification may omit.
const (
	defaultMaxUnavailable = 0
	defaultMaxSurge       = 1
	defaultReadyS         = 10.0
	defaultSoakS          = 60.0
	defaultDeadlineS      = 600.0
	defaultBatchFraction  = 0.1
	defaultCheckIntervalS = 5.0
)

// ErrMalformed is returned for a specification that is not valid.
var ErrMalformed = errors.New("roll-out is malformed")

//go:embed schema.json
var schemaJSON []byte

var specSchema = schema.New("rollout", schemaJSON)

// Parse decodes a specification and checks it against the schema. An error wraps ErrMalformed and
// names the field.
func Parse(body []byte) (*Spec, error) {
	s := &Spec{}
	if err := specSchema.Decode(body, s, "batch", "most_missing", "most_extra"); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if s.Batch > 0 && s.BatchFraction > 0 {
		return nil, fmt.Errorf("%w: batch: cannot be given together with batch_share", ErrMalformed)
	}
	if s.maxUnavailable() == 0 && s.maxSurge() == 0 {
		return nil, fmt.Errorf("%w: most_missing: no replica can change if most_missing and most_extra are both 0", ErrMalformed)
	}
	if _, err := NewGate(s.Pass, s.Fail); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return s, nil
}

// maxUnavailable returns how many replicas may be unavailable at a time.
func (s *Spec) maxUnavailable() int {
	if s.MaxUnavailable != nil {
		return *s.MaxUnavailable
	}
	return defaultMaxUnavailable
}

// maxSurge returns how many surplus instances may run at a time.
func (s *Spec) maxSurge() int {
	if s.MaxSurge != nil {
		return *s.MaxSurge
	}
	return defaultMaxSurge
}

// readySeconds returns how long a new instance has to be healthy before its old one is stopped.
func (s *Spec) readySeconds() float64 {
	if s.ReadyS != nil {
		return *s.ReadyS
	}
	return defaultReadyS
}

// soakSeconds returns how long a batch has to pass the gate before the next batch starts.
func (s *Spec) soakSeconds() float64 {
	if s.SoakS != nil {
		return *s.SoakS
	}
	return defaultSoakS
}

// deadlineSeconds returns how long a batch may take until it passes the gate.
func (s *Spec) deadlineSeconds() float64 {
	if s.DeadlineS > 0 {
		return s.DeadlineS
	}
	return defaultDeadlineS
}

// autoRollback reports whether a failure rolls the roll-out back.
func (s *Spec) autoRollback() bool { return s.AutoRollback == nil || *s.AutoRollback }

// CheckIntervalS returns the time between two checks of an instance, in seconds.
func (s *Spec) CheckIntervalS() float64 {
	if s.Check != nil && s.Check.IntervalS > 0 {
		return s.Check.IntervalS
	}
	return defaultCheckIntervalS
}

// batchSize returns how many replicas change at a time.
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

// NextJob returns the job of the next version: the current job with the target's settings.
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

// override replaces the amount if by is not nil.
func override(amount *float64, by *float64) {
	if by != nil {
		*amount = *by
	}
}
