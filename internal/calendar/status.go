package calendar

import (
	"reflect"
	"slices"
	"time"
)

// ReservationState is the state of a reservation, given by its first occurrence that has not
// ended.
type ReservationState string

// States of a reservation.
const (
	ReservationBooked    ReservationState = "booked"
	ReservationActive    ReservationState = "under way"
	ReservationRevoked   ReservationState = "retired" // a forced window revoked the capacity
	ReservationEnded     ReservationState = "over"
	ReservationCancelled ReservationState = "cancelled"
)

// Status is the status of a reservation as reported to teams and operators.
type Status struct {
	Spec        Reservation      `codec:"spec" json:"spec"`
	State       ReservationState `codec:"state" json:"state"`
	Allocations []Allocation     `codec:"shares" json:"shares"`
	// Next and Until are the start and end of the first occurrence that has not ended; empty if
	// all have ended.
	Next  string `codec:"next,omitempty" json:"next,omitempty"`
	Until string `codec:"until,omitempty" json:"until,omitempty"`
	// Occurrences holds those that have not ended, at most maxListedOccurrences of them.
	Occurrences []Span `codec:"ahead" json:"ahead"`
	// Remaining is the number of occurrences that have not ended, Revoked the number of those
	// whose capacity a forced window revoked.
	Remaining int       `codec:"left" json:"left"`
	Revoked   int       `codec:"lost,omitempty" json:"lost,omitempty"`
	Held      int       `codec:"held" json:"held"` // machines currently held
	Claimer   string    `codec:"claimer,omitempty" json:"claimer,omitempty"`
	Outcomes  []Outcome `codec:"past,omitempty" json:"past,omitempty"`
}

// maxListedOccurrences limits the occurrences in one status.
const maxListedOccurrences = 40

// NewStatus returns the status of a reservation, without the number of held machines and the
// claiming job.
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

// addOccurrence adds an occurrence that has not ended. The first one determines the state.
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

// occurrenceState returns the state of an occurrence that has not ended.
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

// WindowStatus is the status of a maintenance window as reported to operators.
type WindowStatus struct {
	Spec  Window      `codec:"spec" json:"spec"`
	State WindowState `codec:"state" json:"state"`
	From  int64       `codec:"from" json:"from"` // Unix time in milliseconds
	To    int64       `codec:"to" json:"to"`
	// Machines is the number of machines that the window takes now, Busy the number of those
	// that run tasks, Late the tasks without checkpoints that are not expected to end before
	// the window starts.
	Machines int      `codec:"machines" json:"machines"`
	Busy     int      `codec:"busy" json:"busy"`
	Late     []string `codec:"late,omitempty" json:"late,omitempty"`
	// Moved and Revoked name the reservations that the window moved and those whose capacity it
	// revoked. They are set only in the reply to its planning.
	Moved   []string `codec:"moved,omitempty" json:"moved,omitempty"`
	Revoked []string `codec:"retired,omitempty" json:"retired,omitempty"`
}

// NewWindowStatus returns the status of a window, without its machines and tasks.
func NewWindowStatus(w *PlannedWindow, now time.Time) WindowStatus {
	return WindowStatus{Spec: *w.Window, State: w.state(now.UnixMilli()), From: w.span.From, To: w.span.To}
}

// state returns the state of a window at a Unix time in milliseconds.
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

// Status returns the status of the planned window, without its machines and tasks, with the
// reservations that the plan moves or revokes.
func (p *WindowPlan) Status(now time.Time) WindowStatus {
	s := NewWindowStatus(p.Window, now)
	s.Moved = sortedNames(p.Moved)
	s.Revoked = sortedNames(p.Revoked)
	return s
}

// sortedNames returns the names of reservations in order.
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
