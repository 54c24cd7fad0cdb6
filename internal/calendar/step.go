package calendar

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Record is the durable state of a reservation. All that is done for it follows from
// it and from what is seen; a leader that takes over goes on from it.
type Record struct {
	Spec        Reservation  `codec:"spec"`
	Seq         uint64       `codec:"seq"`
	Allocations []Allocation `codec:"shares"`
	Revoked     []int64      `codec:"lost,omitempty"`
	// NextStart is the start of the first occurrence that is not decided, in milliseconds of
	// the time of day; MaxInt64: all are.
	NextStart int64 `codec:"next"`
	// Outcomes are the last outcomes, the latest last.
	Outcomes []Outcome `codec:"past,omitempty"`
}

// WindowRecord is the durable state of a maintenance window. What is to be done for
// it follows from the time of day alone, so it never changes.
type WindowRecord struct {
	Spec   Window       `codec:"spec"`
	Closed []Allocation `codec:"closes"`
}

// Outcomes of an occurrence.
const (
	OutcomeOnTime  = "kept"    // its job started whole in time
	OutcomeLate    = "late"    // its job started whole after the tolerance
	OutcomeLapsed  = "lapsed"  // no job claimed it in time
	OutcomeMissed  = "missed"  // its job did not start before its end
	OutcomeRetired = "retired" // a forced maintenance window took its room
)

// Outcome is what became of an occurrence.
type Outcome struct {
	Start int64   `codec:"start" json:"start"` // milliseconds of the time of day
	Kind  string  `codec:"what" json:"what"`
	Job   string  `codec:"job,omitempty" json:"job,omitempty"`
	LateS float64 `codec:"late_s,omitempty" json:"late_s,omitempty"`
}

// mostPast bounds the outcomes that a record keeps.
const mostPast = 8

// NewRecord makes the record of an accepted reservation. Occurrences that are over
// are not looked at.
func NewRecord(e *Booking, now time.Time) *Record {
	r := &Record{Spec: *e.Reservation, Seq: e.Seq, Allocations: e.Allocations, NextStart: math.MaxInt64}
	for _, s := range e.spans {
		if s.To > now.UnixMilli() {
			r.NextStart = s.From
			break
		}
	}
	r.setRevoked(e)
	return r
}

// setRevoked takes over the occurrences whose room is gone.
func (r *Record) setRevoked(e *Booking) {
	r.Revoked = nil
	for at := range e.Revoked {
		r.Revoked = append(r.Revoked, at)
	}
	slices.Sort(r.Revoked)
}

// WithBooking is the record with another choice of machines.
func (r *Record) WithBooking(e *Booking) *Record {
	next := *r
	next.Allocations = e.Allocations
	next.setRevoked(e)
	return &next
}

// Booking is the reservation as the calendar has it. The limits are those of its
// acceptance, so they are not asked again.
func (r *Record) Booking() (*Booking, error) {
	spec := r.Spec
	if err := spec.expand(Limits{HorizonDays: 100 * 366, Occurrences: math.MaxInt32}, time.Now()); err != nil {
		return nil, err
	}
	e := &Booking{Reservation: &spec, Seq: r.Seq, Allocations: r.Allocations, Revoked: map[int64]bool{}}
	for _, at := range r.Revoked {
		e.Revoked[at] = true
	}
	return e, nil
}

// Window is the window as the calendar has it.
func (r *WindowRecord) Window() (*PlannedWindow, error) {
	spec := r.Spec
	if err := spec.prepare(); err != nil {
		return nil, err
	}
	return &PlannedWindow{Window: &spec, Closed: r.Closed}, nil
}

// Observation is what the leader sees of the occurrence that is next.
type Observation struct {
	Now time.Time
	// Claimer is the job that claims it; empty: none, or it is over without having
	// run. RunAt is when all of it was first seen running; zero: not yet.
	Claimer string
	RunAt   time.Time
}

// Tolerance is by how much a start may be late and count as on time: what a leader
// and a worker need to tell each other, and the difference between the clocks of two
// leaders.
func Tolerance(reportS, skewMs float64) time.Duration {
	return time.Duration((2*reportS + skewMs/1000 + 3) * float64(time.Second))
}

// DecideOutcome decides at most one occurrence, and reports whether the record has changed.
// It must be stored before anything follows from it.
//
// Occurrences that fell due while nobody led are given up, each once: one that is
// over by then has lapsed if no job claims it and is missed otherwise; one that is
// not over is served for the rest of its time.
func DecideOutcome(r *Record, e *Booking, l Observation, tolerance time.Duration) (*Record, bool) {
	i, found := slices.BinarySearchFunc(e.spans, r.NextStart, func(s Span, t int64) int { return cmp.Compare(s.From, t) })
	if !found {
		return r, false
	}
	s, now := e.spans[i], l.Now.UnixMilli()
	if now < s.From {
		return r, false
	}
	o := Outcome{Start: s.From, Job: l.Claimer}
	grace := s.From + int64(e.GraceS*1000)
	switch {
	case e.Revoked[s.From]:
		o.Kind = OutcomeRetired
	case l.Claimer != "" && !l.RunAt.IsZero():
		o.Kind = OutcomeOnTime
		if late := l.RunAt.UnixMilli() - s.From; late > tolerance.Milliseconds() {
			o.Kind, o.LateS = OutcomeLate, math.Round(float64(late)/100)/10
		}
	case l.Claimer == "" && now >= min(grace, s.To):
		o.Kind = OutcomeLapsed
	case now >= s.To:
		o.Kind = OutcomeMissed
	default:
		return r, false
	}
	next := *r
	next.NextStart = math.MaxInt64
	if i+1 < len(e.spans) {
		next.NextStart = e.spans[i+1].From
	}
	next.Outcomes = append(slices.Clone(r.Outcomes), o)
	if len(next.Outcomes) > mostPast {
		next.Outcomes = next.Outcomes[len(next.Outcomes)-mostPast:]
	}
	return &next, true
}

// ActiveOccurrence is the occurrence that room is to be held for at a moment, gathered from
// lead before its start on: the next one, or the one that is under way and was kept.
func (r *Record) ActiveOccurrence(e *Booking, now time.Time, lead time.Duration) (s Span, decided, ok bool) {
	t := now.UnixMilli()
	i, _ := slices.BinarySearchFunc(e.spans, t+1, func(s Span, t int64) int { return cmp.Compare(s.To, t) })
	if i == len(e.spans) || e.Revoked[e.spans[i].From] || t < e.spans[i].From-lead.Milliseconds() {
		return Span{}, false, false
	}
	s = e.spans[i]
	if s.From >= r.NextStart {
		return s, false, true
	}
	n := len(r.Outcomes)
	if n > 0 && r.Outcomes[n-1].Start == s.From && (r.Outcomes[n-1].Kind == OutcomeOnTime || r.Outcomes[n-1].Kind == OutcomeLate) {
		return s, true, true
	}
	return Span{}, false, false
}

// OccurrenceAt is the occurrence that a job claims: the first that is not over when the
// job is submitted.
func (e *Booking) OccurrenceAt(at int64) (Span, bool) {
	i, _ := slices.BinarySearchFunc(e.spans, at+1, func(s Span, t int64) int { return cmp.Compare(s.To, t) })
	if i == len(e.spans) {
		return Span{}, false
	}
	return e.spans[i], true
}

// Estimator is a running mean and mean deviation of a time or ratio, smoothed as round
// trips are in RFC 6298, with the highest one, which is forgotten slowly: a deviation
// that has shrunk must not promise less than what was seen. The zero value knows nothing.
type Estimator struct {
	mean, deviation, peak float64
	count                 int
}

// Count is how many measurements there were.
func (p *Estimator) Count() int { return p.count }

// Add takes in a measurement.
func (p *Estimator) Add(x float64) {
	p.count++
	if p.count == 1 {
		p.mean, p.deviation, p.peak = x, x/2, x
		return
	}
	p.peak = max(x, p.peak-(p.peak-p.mean)/64)
	p.deviation += (math.Abs(x-p.mean) - p.deviation) / 4
	p.mean += (x - p.mean) / 8
}

// UpperBound is what hardly any measurement exceeds; before the first one it is twice
// what is expected, since estimates are wrong by half or more.
func (p *Estimator) UpperBound(expected float64) float64 {
	if p.count == 0 {
		return 2 * expected
	}
	return max(p.mean+4*p.deviation, p.peak)
}
