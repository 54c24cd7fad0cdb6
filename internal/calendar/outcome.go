package calendar

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// OutcomeKind is what became of an occurrence.
type OutcomeKind string

// Outcomes of an occurrence.
const (
	OutcomeOnTime  OutcomeKind = "kept"    // all tasks of its job started within the tolerance
	OutcomeLate    OutcomeKind = "late"    // all tasks of its job started after the tolerance
	OutcomeLapsed  OutcomeKind = "lapsed"  // no job claimed it in time
	OutcomeMissed  OutcomeKind = "missed"  // its job did not start before its end
	OutcomeRevoked OutcomeKind = "retired" // a forced maintenance window took its capacity
)

// started reports whether the occurrence's job started.
func (k OutcomeKind) started() bool { return k == OutcomeOnTime || k == OutcomeLate }

// Outcome is what became of one occurrence.
type Outcome struct {
	Start int64       `codec:"start" json:"start"` // milliseconds of the time of day
	Kind  OutcomeKind `codec:"what" json:"what"`
	Job   string      `codec:"job,omitempty" json:"job,omitempty"`
	LateS float64     `codec:"late_s,omitempty" json:"late_s,omitempty"`
}

// maxStoredOutcomes bounds the outcomes in a record.
const maxStoredOutcomes = 8

// Observation is what the leader observes of the occurrence that is next.
type Observation struct {
	Now time.Time
	// Claimer is the job that claims it; empty: none, or it has ended without having run.
	// RunAt is when all of its tasks were first observed running; zero: not yet.
	Claimer      string
	RunningSince time.Time
}

// toleranceMarginS is the part of the tolerance that does not depend on the settings, in
// seconds.
const toleranceMarginS = 3

// StartTolerance is by how much a start may be late and count as on time: what a leader and a
// worker need to tell each other, at intervals of reportS seconds, and the difference between
// the clocks of two leaders.
func StartTolerance(reportS, skewMs float64) time.Duration {
	return time.Duration((2*reportS + skewMs/1000 + toleranceMarginS) * float64(time.Second))
}

// DecideOutcome decides at most one occurrence, and reports whether the record has changed.
// It must be stored before anything follows from it.
//
// Occurrences that were due while there was no leader are decided one after the other: one
// that is over by then has lapsed if no job claims it and is missed otherwise; one that is
// not over is served for the rest of its time.
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

// outcome is the outcome of an occurrence that has begun, if it is decided.
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

// roundedSeconds are milliseconds in seconds, rounded to a tenth.
func roundedSeconds(ms int64) float64 { return math.Round(float64(ms)/100) / 10 }
