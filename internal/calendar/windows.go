package calendar

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// AllMachines is the value of Allocation.Machines for a window that takes a whole pool.
const AllMachines = -1

// PlannedWindow is an accepted maintenance window with the machines that it takes from each
// pool, where AllMachines stands for the whole pool.
type PlannedWindow struct {
	*Window
	Closed []Allocation
}

// takesFrom reports whether the window takes any machines of a type in a zone.
func (w *PlannedWindow) takesFrom(typ, zone string) bool {
	return slices.ContainsFunc(w.Closed, func(a Allocation) bool { return a.Type == typ && a.Zone == zone })
}

// WindowPlan holds the changes to the calendar that accepting a window requires.
type WindowPlan struct {
	Window  *PlannedWindow
	Moved   []*Booking // with their new machines
	Revoked []*Booking // with the occurrences that they lose
}

// PlanWindow plans a window among the accepted entries and leaves the calendar unchanged. If
// the window names machines, named holds their number by pool.
//
// Reservations that no longer fit on their machines are moved in the order of their
// acceptance. If one fits on no other machines, the window is refused unless it is forced; a
// forced window revokes the occurrences that it overlaps. The error is a *Conflict or wraps
// ErrLimit.
func (c *Calendar) PlanWindow(w *Window, named []Allocation, now time.Time) (*WindowPlan, error) {
	if len(c.windows) >= c.config.Limits.Windows {
		return nil, fmt.Errorf("%w: %d maintenance windows", ErrLimit, len(c.windows))
	}
	planned := &PlannedWindow{Window: w, Closed: named}
	if !w.NamesMachines() {
		planned.Closed = c.closedPools(w)
		if len(planned.Closed) == 0 {
			return nil, &Conflict{Reason: "the window selects no machine type that is offered in its zone"}
		}
	}
	if c.closesWholeFleet(planned) && !w.Force {
		return nil, &Conflict{Reason: "the window takes every machine of the fleet; force it if this is intended"}
	}
	plan := &WindowPlan{Window: planned}
	affected := c.affectedBookings(planned)
	c.AddWindow(planned)
	defer func() { // undo all changes; the caller adds the plan once it is stored
		for _, b := range slices.Concat(plan.Moved, plan.Revoked) {
			c.Remove(b.Name)
		}
		c.RemoveWindow(w.Name)
		for _, b := range affected {
			c.Add(b)
		}
	}()
	for _, b := range c.removeOverbooked(affected) {
		if err := c.moveOrRevoke(plan, b, now); err != nil {
			return nil, err
		}
	}
	return plan, nil
}

// closedPools returns an allocation for each whole pool that a window takes.
func (c *Calendar) closedPools(w *Window) (closed []Allocation) {
	for i := range c.pools {
		p := &c.pools[i]
		if typ, zone := c.typeOf(p).Name, c.zoneOf(p); w.ClosesPool(typ, zone) {
			closed = append(closed, Allocation{Type: typ, Zone: zone, Machines: AllMachines})
		}
	}
	return closed
}

// affectedBookings returns the reservations with an occurrence during the window and machines
// in its pools, in the order of their acceptance.
func (c *Calendar) affectedBookings(w *PlannedWindow) (affected []*Booking) {
	for _, b := range c.bookings {
		taken := func(a Allocation) bool { return w.takesFrom(a.Type, a.Zone) }
		if b.overlaps(w.span) && slices.ContainsFunc(b.Allocations, taken) {
			affected = append(affected, b)
		}
	}
	slices.SortFunc(affected, func(a, b *Booking) int { return cmp.Compare(a.Seq, b.Seq) })
	return affected
}

// removeOverbooked removes and returns the reservations that no longer fit on their machines.
// It considers them in order, so each removal may allow later ones to stay.
func (c *Calendar) removeOverbooked(bookings []*Booking) (removed []*Booking) {
	for _, b := range bookings {
		if c.overbooked(b) {
			c.Remove(b.Name)
			removed = append(removed, b)
		}
	}
	return removed
}

// moveOrRevoke moves a removed reservation to other machines. If it does not fit and the window
// is forced, its occurrences that overlap the window are revoked.
func (c *Calendar) moveOrRevoke(plan *WindowPlan, b *Booking, now time.Time) error {
	w := plan.Window
	next := &Booking{Reservation: b.Reservation, Seq: b.Seq, Allocations: b.Allocations, Revoked: b.Revoked}
	spans := c.remainingOccurrences(b.Reservation, now)
	allocations, conflict := c.allocate(b.Reservation, spans, nil)
	switch {
	case conflict == nil:
		next.Allocations = allocations
		plan.Moved = append(plan.Moved, next)
	case !w.Force:
		return &Conflict{Reason: fmt.Sprintf("reservation %s of team %s does not fit on other machines (%s); cancel it, or force the window", b.Name, b.Team, conflict.Reason)}
	default:
		next.Revoked = addOverlapping(b.Revoked, spans, w.span)
		plan.Revoked = append(plan.Revoked, next)
	}
	c.Add(next)
	return nil
}

// addOverlapping returns a copy of the revoked starts, with the starts of the spans that
// overlap the window added.
func addOverlapping(revoked map[int64]bool, spans []Span, window Span) map[int64]bool {
	extended := maps.Clone(revoked)
	if extended == nil {
		extended = map[int64]bool{}
	}
	for _, s := range spans {
		if s.Overlaps(window) {
			extended[s.From] = true
		}
	}
	return extended
}

// overbooked reports whether, during any occurrence of a reservation that is not revoked, one
// of its pools has more machines reserved than its capacity. A pool that no longer exists
// counts as overbooked.
func (c *Calendar) overbooked(b *Booking) bool {
	for _, a := range b.Allocations {
		p := c.pool(a.Type, a.Zone)
		if p == nil {
			return true
		}
		for _, s := range b.spans {
			if !b.Revoked[s.From] && p.reserved.max(s) > p.capacity+capacityTolerance {
				return true
			}
		}
	}
	return false
}

// closesWholeFleet reports whether a window takes every machine of every pool.
func (c *Calendar) closesWholeFleet(w *PlannedWindow) bool {
	for i := range c.pools {
		p := &c.pools[i]
		remaining := p.capacity
		for _, a := range w.Closed {
			if a.Type == c.typeOf(p).Name && a.Zone == c.zoneOf(p) {
				remaining = p.capacity - p.closedMachines(a)
			}
		}
		if remaining > 0 {
			return false
		}
	}
	return true
}

// closedMachines returns how many machines of the pool a window takes with the allocation.
func (p *machinePool) closedMachines(a Allocation) float64 {
	if a.Machines < 0 {
		return p.capacity
	}
	return float64(a.Machines)
}

// AddWindow adds an accepted window, replacing any window of the same name.
func (c *Calendar) AddWindow(w *PlannedWindow) {
	c.RemoveWindow(w.Name)
	c.windows[w.Name] = w
	c.applyWindow(w, 1)
}

// RemoveWindow removes the window of the given name, if there is one.
func (c *Calendar) RemoveWindow(name string) {
	if w := c.windows[name]; w != nil {
		c.applyWindow(w, -1)
		delete(c.windows, name)
	}
}

// applyWindow adds the machines and resources that a window takes to the profiles, or
// subtracts them if sign is -1.
func (c *Calendar) applyWindow(w *PlannedWindow, sign float64) {
	for _, a := range w.Closed {
		p := c.pool(a.Type, a.Zone)
		if p == nil {
			continue
		}
		machines := p.closedMachines(a)
		t := c.typeOf(p)
		p.reserved.add(w.span, sign*machines)
		c.maintenance.cpus.add(w.span, sign*machines*t.CPUs)
		c.maintenance.gpus.add(w.span, sign*machines*t.GPUs)
	}
}
