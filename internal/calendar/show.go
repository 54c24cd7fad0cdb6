package calendar

import (
	"reflect"
	"slices"
	"time"
)

// Status is what a team or an operator is shown of a reservation.
type Status struct {
	Spec        Reservation  `codec:"spec" json:"spec"`
	State       string       `codec:"state" json:"state"`
	Allocations []Allocation `codec:"shares" json:"shares"`
	// Next and Until are the occurrence that is next or under way; empty: none.
	Next  string `codec:"next,omitempty" json:"next,omitempty"`
	Until string `codec:"until,omitempty" json:"until,omitempty"`
	// Occurrences are the occurrences that are not over, at most mostShown of them.
	Occurrences []Span    `codec:"ahead" json:"ahead"`
	Remaining   int       `codec:"left" json:"left"`                     // occurrences that are not over
	Revoked     int       `codec:"lost,omitempty" json:"lost,omitempty"` // those of them whose room a window took
	Held        int       `codec:"held" json:"held"`                     // machines held now
	Claimer     string    `codec:"claimer,omitempty" json:"claimer,omitempty"`
	Outcomes    []Outcome `codec:"past,omitempty" json:"past,omitempty"`
}

// mostShown bounds the occurrences of one status.
const mostShown = 40

// NewStatus sums up a reservation, but for what is held and who claims it.
func NewStatus(r *Record, e *Booking, now time.Time) Status {
	s := Status{Spec: *e.Reservation, Allocations: r.Allocations, Outcomes: r.Outcomes, State: "over", Occurrences: []Span{}}
	t := now.UnixMilli()
	for _, x := range e.spans {
		if x.To <= t {
			continue
		}
		if s.Remaining == 0 {
			s.Next, s.Until = when(x.From), when(x.To)
			s.State = "booked"
			if x.From <= t {
				s.State = "under way"
			}
		}
		s.Remaining++
		if e.Revoked[x.From] {
			s.Revoked++
			if s.Remaining == 1 {
				s.State = "retired"
			}
		}
		if len(s.Occurrences) < mostShown {
			s.Occurrences = append(s.Occurrences, x)
		}
	}
	return s
}

// WindowStatus is what an operator is shown of a maintenance window.
type WindowStatus struct {
	Spec  Window `codec:"spec" json:"spec"`
	State string `codec:"state" json:"state"`
	From  int64  `codec:"from" json:"from"` // milliseconds of the time of day
	To    int64  `codec:"to" json:"to"`
	// Machines are those that it takes now, Busy those of them with work, Late the
	// tasks that are not expected to end in time and cannot save.
	Machines int      `codec:"machines" json:"machines"`
	Busy     int      `codec:"busy" json:"busy"`
	Late     []string `codec:"late,omitempty" json:"late,omitempty"`
	// Moved and Retired are the reservations that it moved or took the room of; told
	// when it is planned.
	Moved   []string `codec:"moved,omitempty" json:"moved,omitempty"`
	Retired []string `codec:"retired,omitempty" json:"retired,omitempty"`
}

// NewWindowStatus sums up a window, but for its machines.
func NewWindowStatus(p *PlannedWindow, now time.Time) WindowStatus {
	t := now.UnixMilli()
	s := WindowStatus{Spec: *p.Window, From: p.span.From, To: p.span.To, State: "planned"}
	switch {
	case t >= p.span.To:
		s.State = "over"
	case t >= p.span.From:
		s.State = "open"
	case t >= p.DrainAt():
		s.State = "draining"
	}
	return s
}

// names are the names of entries, in order.
func names(es []*Booking) []string {
	var out []string
	for _, e := range es {
		out = append(out, e.Name)
	}
	slices.Sort(out)
	return out
}

// Status is the status of a window that has just been planned.
func (a *WindowPlan) Status(now time.Time) WindowStatus {
	s := NewWindowStatus(a.Window, now)
	s.Moved, s.Retired = names(a.Moved), names(a.Revoked)
	return s
}

// SameReservation reports whether two reservations ask for the same.
func SameReservation(a, b *Reservation) bool {
	x, y := *a, *b
	x.spans, y.spans = nil, nil
	return reflect.DeepEqual(&x, &y)
}

// SameWindow reports whether two windows are about the same.
func SameWindow(a, b *Window) bool {
	x, y := *a, *b
	x.nets, x.named, y.nets, y.named = nil, nil, nil, nil
	return reflect.DeepEqual(&x, &y)
}
