package calendar

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// AllMachines is the number of machines of an allocation that takes a whole pool.
const AllMachines = -1

// PlannedWindow is an accepted maintenance window, with the machines that it takes of each
// pool; AllMachines: all.
type PlannedWindow struct {
	*Window
	Closed []Allocation
}

// takesFrom reports whether the window takes machines of a type in a zone.
func (w *PlannedWindow) takesFrom(typ, zone string) bool {
	return slices.ContainsFunc(w.Closed, func(a Allocation) bool { return a.Type == typ && a.Zone == zone })
}

// WindowPlan is what planning a window changes: the window, the reservations that move to
// other machines, and those that lose occurrences.
type WindowPlan struct {
	Window  *PlannedWindow
	Moved   []*Booking
	Revoked []*Booking
}

// PlanWindow plans a window over what is accepted, and changes nothing. Named are the
// machines that it names, by pool. Reservations that it affects are moved if they fit
// elsewhere, in the order of their acceptance; if one does not, the window is refused unless
// it is forced. The error is a *Conflict, or an ErrLimit.
func (c *Calendar) PlanWindow(w *Window, named []Allocation, now time.Time) (*WindowPlan, error) {
	if len(c.windows) >= c.config.Limits.Windows {
		return nil, fmt.Errorf("%w: %d maintenance windows", ErrLimit, len(c.windows))
	}
	planned := &PlannedWindow{Window: w, Closed: named}
	if !w.NamesMachines() {
		planned.Closed = c.closedPools(w)
		if len(planned.Closed) == 0 {
			return nil, &Conflict{Reason: "no machine type is offered there"}
		}
	}
	if c.closesWholeFleet(planned) && !w.Force {
		return nil, &Conflict{Reason: "it takes every machine counted upon; force it if that is meant"}
	}
	plan := &WindowPlan{Window: planned}
	affected := c.affectedBookings(planned)
	c.AddWindow(planned)
	defer func() { // what is stored comes back through Add and AddWindow
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

// closedPools are the whole pools that a window takes.
func (c *Calendar) closedPools(w *Window) (closed []Allocation) {
	for i := range c.pools {
		p := &c.pools[i]
		if typ, zone := c.typeOf(p).Name, c.zoneOf(p); w.ClosesPool(typ, zone) {
			closed = append(closed, Allocation{Type: typ, Zone: zone, Machines: AllMachines})
		}
	}
	return closed
}

// affectedBookings are the reservations on a window's machines in its time, in the order of
// their acceptance.
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

// removeOverbooked removes and returns those of the reservations that do not fit on their
// machines any more. The others stay there.
func (c *Calendar) removeOverbooked(bookings []*Booking) (removed []*Booking) {
	for _, b := range bookings {
		if c.overbooked(b) {
			c.Remove(b.Name)
			removed = append(removed, b)
		}
	}
	return removed
}

// moveOrRevoke moves a reservation that was removed to other machines, or revokes its
// occurrences in the time of a forced window.
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
		return &Conflict{Reason: fmt.Sprintf("reservation %s of team %s does not fit elsewhere (%s); cancel it, or force the window", b.Name, b.Team, conflict.Reason)}
	default:
		next.Revoked = addOverlapping(b.Revoked, spans, w.span)
		plan.Revoked = append(plan.Revoked, next)
	}
	c.Add(next)
	return nil
}

// addOverlapping adds to the revoked occurrences those that overlap a window.
func addOverlapping(revoked map[int64]bool, spans []Span, window Span) map[int64]bool {
	all := maps.Clone(revoked)
	if all == nil {
		all = map[int64]bool{}
	}
	for _, s := range spans {
		if s.Overlaps(window) {
			all[s.From] = true
		}
	}
	return all
}

// overbooked reports whether more machines than there are have been promised of a pool of a
// reservation, in the time of its occurrences.
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

// closesWholeFleet reports whether a window would leave no machine.
func (c *Calendar) closesWholeFleet(w *PlannedWindow) bool {
	for i := range c.pools {
		p := &c.pools[i]
		left := p.capacity
		for _, a := range w.Closed {
			if a.Type == c.typeOf(p).Name && a.Zone == c.zoneOf(p) {
				left = p.capacity - p.closedMachines(a)
			}
		}
		if left > 0 {
			return false
		}
	}
	return true
}

// closedMachines is how many of a pool's closedMachines an allocation of a window takes.
func (p *machinePool) closedMachines(a Allocation) float64 {
	if a.Machines < 0 {
		return p.capacity
	}
	return float64(a.Machines)
}

// AddWindow adds an accepted window, or replaces the one of its name.
func (c *Calendar) AddWindow(w *PlannedWindow) {
	c.RemoveWindow(w.Name)
	c.windows[w.Name] = w
	c.applyWindow(w, 1)
}

// RemoveWindow removes a window, if there is one of that name.
func (c *Calendar) RemoveWindow(name string) {
	if w := c.windows[name]; w != nil {
		c.applyWindow(w, -1)
		delete(c.windows, name)
	}
}

// applyWindow adds what a window takes to the profiles, or subtracts it (sign -1).
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
