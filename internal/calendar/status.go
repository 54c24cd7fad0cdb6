package calendar

import (
	"reflect"
	"slices"
	"time"
)

// ReservationState is the state of a reservation's next occurrence, as it is shown.
type ReservationState string

// States of a reservation.
const (
	ReservationBooked    ReservationState = "booked"
	ReservationActive    ReservationState = "under way"
	ReservationRevoked   ReservationState = "retired" // a forced window took the capacity
	ReservationEnded     ReservationState = "over"
	ReservationCancelled ReservationState = "cancelled"
)

// Status is what a team or an operator is shown of a reservation.
type Status struct {
	Spec        Reservation      `codec:"spec" json:"spec"`
	State       ReservationState `codec:"state" json:"state"`
	Allocations []Allocation     `codec:"shares" json:"shares"`
	// Next and Until are the occurrence that is next or under way; empty: none.
	Next  string `codec:"next,omitempty" json:"next,omitempty"`
	Until string `codec:"until,omitempty" json:"until,omitempty"`
	// Occurrences are those that are not over, at most maxListedOccurrences of them.
	Occurrences []Span `codec:"ahead" json:"ahead"`
	// Remaining is the number of occurrences that are not over, Revoked the number of those
	// whose capacity a window took.
	Remaining int       `codec:"left" json:"left"`
	Revoked   int       `codec:"lost,omitempty" json:"lost,omitempty"`
	Held      int       `codec:"held" json:"held"` // machines held now
	Claimer   string    `codec:"claimer,omitempty" json:"claimer,omitempty"`
	Outcomes  []Outcome `codec:"past,omitempty" json:"past,omitempty"`
}

// maxListedOccurrences bounds the occurrences of one status.
const maxListedOccurrences = 40

// NewStatus is the status of a reservation, without the machines that are held for it and
// the job that claims it.
func NewStatus(r *Record, b *Booking, now time.Time) Status {
	s := Status{
		Spec:        *b.Reservation,
		State:       ReservationEnded,
		Allocations: r.Allocations,
		Occurrences: []Span{},
		Outcomes:    r.Outcomes,
	}
	ms := now.UnixMilli()
	for _, span := range b.spans {
		if span.To > ms {
			s.addOccurrence(span, b.Revoked[span.From], ms)
		}
	}
	return s
}

// addOccurrence adds an occurrence that is not over; the first one determines the state.
func (s *Status) addOccurrence(span Span, revoked bool, now int64) {
	if s.Remaining == 0 {
		s.Next = formatTime(span.From)
		s.Until = formatTime(span.To)
		s.State = occurrenceState(span, revoked, now)
	}
	s.Remaining++
	if revoked {
		s.Revoked++
	}
	if len(s.Occurrences) < maxListedOccurrences {
		s.Occurrences = append(s.Occurrences, span)
	}
}

// occurrenceState is the state of an occurrence that is not over.
func occurrenceState(span Span, revoked bool, now int64) ReservationState {
	switch {
	case revoked:
		return ReservationRevoked
	case span.From <= now:
		return ReservationActive
	}
	return ReservationBooked
}

// WindowState is the state of a maintenance window.
type WindowState string

// States of a maintenance window.
const (
	WindowPlanned   WindowState = "planned"
	WindowDraining  WindowState = "draining"
	WindowOpen      WindowState = "open"
	WindowEnded     WindowState = "over"
	WindowCancelled WindowState = "cancelled"
)

// WindowStatus is what an operator is shown of a maintenance window.
type WindowStatus struct {
	Spec  Window      `codec:"spec" json:"spec"`
	State WindowState `codec:"state" json:"state"`
	From  int64       `codec:"from" json:"from"` // milliseconds of the time of day
	To    int64       `codec:"to" json:"to"`
	// Machines is how many machines it takes now, Busy how many of them have work, Late the
	// tasks that are not expected to end in time and have no checkpoint.
	Machines int      `codec:"machines" json:"machines"`
	Busy     int      `codec:"busy" json:"busy"`
	Late     []string `codec:"late,omitempty" json:"late,omitempty"`
	// Moved and Retired are the reservations that it moved or whose capacity it took; set
	// when it is planned.
	Moved   []string `codec:"moved,omitempty" json:"moved,omitempty"`
	Revoked []string `codec:"retired,omitempty" json:"retired,omitempty"`
}

// NewWindowStatus is the status of a window, without its machines.
func NewWindowStatus(w *PlannedWindow, now time.Time) WindowStatus {
	return WindowStatus{Spec: *w.Window, State: w.state(now.UnixMilli()), From: w.span.From, To: w.span.To}
}

// state is the state of a window at a time of day in milliseconds.
func (w *Window) state(now int64) WindowState {
	switch {
	case now >= w.span.To:
		return WindowEnded
	case now >= w.span.From:
		return WindowOpen
	case now >= w.DrainAt():
		return WindowDraining
	}
	return WindowPlanned
}

// Status is the status of a window that has just been planned, without its machines.
func (p *WindowPlan) Status(now time.Time) WindowStatus {
	s := NewWindowStatus(p.Window, now)
	s.Moved = sortedNames(p.Moved)
	s.Revoked = sortedNames(p.Revoked)
	return s
}

// sortedNames are the names of reservations, in order.
func sortedNames(bookings []*Booking) []string {
	var names []string
	for _, b := range bookings {
		names = append(names, b.Name)
	}
	slices.Sort(names)
	return names
}

// SameReservation reports whether two specifications of a reservation are equal.
func SameReservation(a, b *Reservation) bool {
	x, y := *a, *b
	x.spans, y.spans = nil, nil
	return reflect.DeepEqual(&x, &y)
}

// SameWindow reports whether two specifications of a window are equal.
func SameWindow(a, b *Window) bool {
	x, y := *a, *b
	x.prefixes, y.prefixes = nil, nil
	x.hostNames, y.hostNames = nil, nil
	return reflect.DeepEqual(&x, &y)
}
