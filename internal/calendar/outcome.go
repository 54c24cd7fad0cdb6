package calendar

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// OutcomeKind classifies how an occurrence was used.
type OutcomeKind string

// Outcomes of an occurrence.
const (
	OutcomeOnTime  OutcomeKind = "kept"    // all tasks of its job started within the tolerance
	OutcomeLate    OutcomeKind = "late"    // all tasks of its job started after the tolerance
	OutcomeLapsed  OutcomeKind = "lapsed"  // no job claimed it within the grace period
	OutcomeMissed  OutcomeKind = "missed"  // the job that claimed it did not start before its end
	OutcomeRevoked OutcomeKind = "retired" // a forced maintenance window revoked its capacity
)

// started reports whether a job started in the occurrence.
func (k OutcomeKind) started() bool { return k == OutcomeOnTime || k == OutcomeLate }

// Outcome is the outcome of one occurrence.
type Outcome struct {
	Start int64       `codec:"start" json:"start"` // of the occurrence, Unix time in milliseconds
	Kind  OutcomeKind `codec:"what" json:"what"`
	Job   string      `codec:"job,omitempty" json:"job,omitempty"`
	LateS float64     `codec:"late_s,omitempty" json:"late_s,omitempty"`
}

// maxStoredOutcomes limits the outcomes in a record.
const maxStoredOutcomes = 8

// Observation is what the leader observes about the first occurrence without an outcome.
type Observation struct {
	Now time.Time
	// Claimer is the job that claims the occurrence. It is empty if no job does, or if the job
	// has ended without having run.
	Claimer string
	// RunningSince is when all tasks of the claiming job were first observed running, or zero
	// if they have not been yet.
	RunningSince time.Time
}

// toleranceMarginS is the part of the tolerance that does not depend on the settings.
const toleranceMarginS = 3

// StartTolerance returns the delay up to which a start counts as on time. It covers an exchange
// of messages between leader and worker, which report every reportIntervalS seconds, and a
// clock skew of skewMs between two leaders.
func StartTolerance(reportIntervalS, skewMs float64) time.Duration {
	return time.Duration((2*reportIntervalS + skewMs/1000 + toleranceMarginS) * float64(time.Second))
}

// DecideOutcome decides the outcome of at most one occurrence, and reports whether the returned
// record differs from the given one. The caller must store it before acting on it.
//
// Occurrences that started while there was no leader are decided one per call, in order. One
// that has ended by then has lapsed if no job claims it, and is missed otherwise. One that has
// not ended remains usable until its end.
func DecideOutcome(r *Record, b *Booking, o Observation, tolerance time.Duration) (*Record, bool) {
	i, found := slices.BinarySearchFunc(b.spans, r.NextStart, func(s Span, t int64) int { return cmp.Compare(s.From, t) })
	if !found || o.Now.UnixMilli() < b.spans[i].From {
		return r, false
	}
	outcome, decided := b.outcome(b.spans[i], o, tolerance)
	if !decided {
		return r, false
	}
	next := *r
	next.NextStart = allDecided
	if i+1 < len(b.spans) {
		next.NextStart = b.spans[i+1].From
	}
	next.Outcomes = append(slices.Clone(r.Outcomes), outcome)
	if excess := len(next.Outcomes) - maxStoredOutcomes; excess > 0 {
		next.Outcomes = next.Outcomes[excess:]
	}
	return &next, true
}

// outcome returns the outcome of an occurrence that has started, if it can be decided yet.
func (b *Booking) outcome(s Span, o Observation, tolerance time.Duration) (outcome Outcome, decided bool) {
	outcome = Outcome{Start: s.From, Job: o.Claimer}
	now := o.Now.UnixMilli()
	graceEnd := s.From + int64(b.GraceS*1000)
	switch {
	case b.Revoked[s.From]:
		outcome.Kind = OutcomeRevoked
	case o.Claimer != "" && !o.RunningSince.IsZero():
		outcome.Kind = OutcomeOnTime
		if late := o.RunningSince.UnixMilli() - s.From; late > tolerance.Milliseconds() {
			outcome.Kind = OutcomeLate
			outcome.LateS = roundedSeconds(late)
		}
	case o.Claimer == "" && now >= min(graceEnd, s.To):
		outcome.Kind = OutcomeLapsed
	case now >= s.To:
		outcome.Kind = OutcomeMissed
	default:
		return Outcome{}, false
	}
	return outcome, true
}

// roundedSeconds converts milliseconds to seconds, rounded to a tenth.
func roundedSeconds(ms int64) float64 { return math.Round(float64(ms)/100) / 10 }
