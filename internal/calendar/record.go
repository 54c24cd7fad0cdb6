package calendar

import (
	"math"
	"slices"
	"time"
)

// Record is the stored state of a reservation. The leader acts only on the record and on its
// own observations, so a new leader continues from the record.
type Record struct {
	Spec        Reservation  `codec:"spec"`
	Seq         uint64       `codec:"seq"`
	Allocations []Allocation `codec:"shares"`
	// Revoked holds the starts of occurrences whose capacity a forced window has revoked.
	Revoked []int64 `codec:"lost,omitempty"`
	// NextStart is the start of the first occurrence without an outcome, as Unix time in
	// milliseconds, or allDecided if all have one.
	NextStart int64 `codec:"next"`
	// Outcomes holds the most recent outcomes, the latest last.
	Outcomes []Outcome `codec:"past,omitempty"`
}

// allDecided is Record.NextStart if every occurrence has an outcome.
const allDecided = math.MaxInt64

// WindowRecord is the stored state of a maintenance window. It never changes, because the
// state of the window depends only on the current time.
type WindowRecord struct {
	Spec   Window       `codec:"spec"`
	Closed []Allocation `codec:"closes"`
}

// NewRecord returns the record of an accepted reservation. Occurrences that have already ended
// get no outcome.
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

// setRevoked sets the revoked occurrences to those of the booking, in order.
func (r *Record) setRevoked(b *Booking) {
	r.Revoked = nil
	for start := range b.Revoked {
		r.Revoked = append(r.Revoked, start)
	}
	slices.Sort(r.Revoked)
}

// WithBooking returns a copy of the record with the allocations and revoked occurrences of the
// booking.
func (r *Record) WithBooking(b *Booking) *Record {
	next := *r
	next.Allocations = b.Allocations
	next.setRevoked(b)
	return &next
}

// recordLimits are limits that no stored reservation exceeds. It was accepted under the limits
// in force at the time, which must not be checked again.
var recordLimits = Limits{HorizonDays: 100 * 366, Occurrences: math.MaxInt32}

// Booking returns the accepted reservation of a record.
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

// Window returns the accepted maintenance window of a record.
func (r *WindowRecord) Window() (*PlannedWindow, error) {
	spec := r.Spec
	if err := spec.setDerivedFields(); err != nil {
		return nil, err
	}
	return &PlannedWindow{Window: &spec, Closed: r.Closed}, nil
}

// ActiveOccurrence returns the occurrence for which machines are held at the given time: the
// first one that has not ended, beginning lead before its start. Once it has an outcome,
// machines are held for it only if its job has started. decided reports whether it has one, ok
// whether machines are held at all.
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
	if count := len(r.Outcomes); count > 0 && r.Outcomes[count-1].Start == s.From && r.Outcomes[count-1].Kind.started() {
		return s, true, true
	}
	return Span{}, false, false
}
