package calendar

import (
	"math"
	"slices"
	"time"
)

// Record is the durable state of a reservation. Everything done for it follows from the
// record and from what is observed; a leader that takes over goes on from it.
type Record struct {
	Spec        Reservation  `codec:"spec"`
	Seq         uint64       `codec:"seq"`
	Allocations []Allocation `codec:"shares"`
	// Revoked are the starts of occurrences whose capacity a forced window has taken.
	Revoked []int64 `codec:"lost,omitempty"`
	// NextStart is the start of the first occurrence without an outcome, in milliseconds of
	// the time of day; allDecided: all have one.
	NextStart int64 `codec:"next"`
	// Outcomes are those of the last occurrences, the latest last.
	Outcomes []Outcome `codec:"past,omitempty"`
}

// allDecided is the NextStart of a record whose occurrences all have an outcome.
const allDecided = math.MaxInt64

// WindowRecord is the durable state of a maintenance window. What is to be done for it
// follows from the time of day alone, so it never changes.
type WindowRecord struct {
	Spec   Window       `codec:"spec"`
	Closed []Allocation `codec:"closes"`
}

// NewRecord makes the record of an accepted reservation. Occurrences that are over get no
// outcome.
func NewRecord(b *Booking, now time.Time) *Record {
	r := &Record{
		Spec:        *b.Reservation,
		Seq:         b.Seq,
		Allocations: b.Allocations,
		NextStart:   allDecided,
	}
	if i := firstEndingAfter(b.spans, now.UnixMilli()); i < len(b.spans) {
		r.NextStart = b.spans[i].From
	}
	r.setRevoked(b)
	return r
}

// setRevoked stores which occurrences of a reservation are revoked.
func (r *Record) setRevoked(b *Booking) {
	r.Revoked = nil
	for start := range b.Revoked {
		r.Revoked = append(r.Revoked, start)
	}
	slices.Sort(r.Revoked)
}

// WithBooking is the record with other machines or other revoked occurrences.
func (r *Record) WithBooking(b *Booking) *Record {
	next := *r
	next.Allocations = b.Allocations
	next.setRevoked(b)
	return &next
}

// recordLimits are those for a stored reservation: it was accepted under the operators'
// limits of its time, so they are not checked again.
var recordLimits = Limits{HorizonDays: 100 * 366, Occurrences: math.MaxInt32}

// Booking is the accepted reservation of a record.
func (r *Record) Booking() (*Booking, error) {
	spec := r.Spec
	if err := spec.expandOccurrences(recordLimits, time.Now()); err != nil {
		return nil, err
	}
	b := &Booking{
		Reservation: &spec,
		Seq:         r.Seq,
		Allocations: r.Allocations,
		Revoked:     map[int64]bool{},
	}
	for _, start := range r.Revoked {
		b.Revoked[start] = true
	}
	return b, nil
}

// Window is the accepted maintenance window of a record.
func (r *WindowRecord) Window() (*PlannedWindow, error) {
	spec := r.Spec
	if err := spec.setDerivedFields(); err != nil {
		return nil, err
	}
	return &PlannedWindow{Window: &spec, Closed: r.Closed}, nil
}

// ActiveOccurrence is the occurrence that machines are held for at a time, from lead before
// its start on: the next one, or the one that is under way and whose job started. Decided:
// it has an outcome.
func (r *Record) ActiveOccurrence(b *Booking, now time.Time, lead time.Duration) (s Span, decided, ok bool) {
	ms := now.UnixMilli()
	i := firstEndingAfter(b.spans, ms)
	if i == len(b.spans) || b.Revoked[b.spans[i].From] || ms < b.spans[i].From-lead.Milliseconds() {
		return Span{}, false, false
	}
	s = b.spans[i]
	if s.From >= r.NextStart {
		return s, false, true
	}
	if n := len(r.Outcomes); n > 0 && r.Outcomes[n-1].Start == s.From && r.Outcomes[n-1].Kind.started() {
		return s, true, true
	}
	return Span{}, false, false
}
