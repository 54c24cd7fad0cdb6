package fleet

import (
	"time"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

func grace(g float64) *float64 { return &g }

// Compose makes the orders for a machine and marks the launches as sent. seq is
// the report that is answered; 0: a direct command, which carries no clear.
// Launches are left out for a stale report and while a direct command is under
// way, whose order against this answer is not known.
func (f *Fleet) Compose(h *Host, seq uint64, launches bool, now time.Time, limit int) (orders []wire.Order, sent []*Slot, ev []Event) {
	orders = []wire.Order{}
	if seq != 0 {
		orders = h.haltCancelled(orders, now, limit)
	}
	for _, s := range h.Slots {
		if len(orders) >= limit {
			break
		}
		name := func() string { return job.TaskName(s.Job.ID, s.Task) }
		switch {
		case seq != 0 && s.Seen && s.expiring():
			// Halted above.
		case !s.Sent:
			if s.Job.Closing != "" || s.Job.Phase != "" {
				// The abort's commit may have been sent after the placement.
				ev = append(ev, f.remove(h, s, Never)...)
				continue
			}
			if !launches || !h.Fenced || !h.Durable || h.Lost || !s.Job.NotedMachines.Has(h.Idx) {
				continue
			}
			s.Sent, s.Direct, s.viaSeq, s.At = true, seq == 0, seq, now
			if seq == 0 {
				h.directAt = now
			}
			sent = append(sent, s)
			orders = append(orders, wire.Order{Op: wire.Launch, Task: name(), Attempt: s.Attempt})
		case (seq != 0 || h.holder != nil) && launches && h.Fenced && s.doubtful(now):
			// The worker has it once, whichever copy comes first, as long as its exit is
			// not cleared. One that has to go is launched to be stopped: an exit settles it.
			s.again = now
			orders = append(orders, wire.Order{Op: wire.Launch, Task: name(), Attempt: s.Attempt})
			if s.Stopping {
				orders = append(orders, s.halt(now))
			}
		case s.haltDue(now):
			orders = append(orders, s.halt(now))
		case seq != 0 && !s.On() && s.Settled && s.again.IsZero():
			orders = append(orders, wire.Order{Op: wire.Clear, Task: name(), Attempt: s.Attempt})
		}
	}
	h.Recount()
	return orders, sent, ev
}

// halt makes the order that stops the placement, and notes that it is sent.
func (s *Slot) halt(now time.Time) wire.Order {
	s.Halted = now
	return wire.Order{Op: wire.Halt, Task: job.TaskName(s.Job.ID, s.Task), Attempt: s.Attempt, Grace: grace(s.Grace)}
}

// haltCancelled halts, without time to save, all that the worker has shown of cancelled
// jobs. An answer to a report renews the lease, so each carries these first, however short
// a time ago they were sent before (renewal.go).
func (h *Host) haltCancelled(orders []wire.Order, now time.Time, limit int) []wire.Order {
	for _, s := range h.Slots {
		if s.Seen && s.expiring() && len(orders) < limit {
			s.Grace = 0
			orders = append(orders, s.halt(now))
		}
	}
	return orders
}

// Clears are the exits that the worker may forget, for the next answer of the
// holder.
func (h *Host) Clears(limit int) (orders []wire.Order) {
	if h.Exits == 0 {
		return nil
	}
	for _, s := range h.Slots {
		if !s.On() && s.Settled && s.again.IsZero() && len(orders) < limit {
			orders = append(orders, wire.Order{Op: wire.Clear, Task: job.TaskName(s.Job.ID, s.Task), Attempt: s.Attempt})
		}
	}
	return orders
}

// Urgent reports whether something waits that is worth a direct command.
func (h *Host) Urgent(now time.Time) bool {
	for _, s := range h.Slots {
		if !s.Sent && h.Usable() && s.Job.NotedMachines.Has(h.Idx) {
			return true
		}
		if h.holder != nil && s.doubtful(now) {
			return true // its reports are answered without us
		}
		if s.haltDue(now) {
			return true
		}
	}
	return false
}

// Unsent settles launches of a direct command that was certainly not executed.
func (f *Fleet) Unsent(slots []*Slot) []Event {
	var ev []Event
	for _, s := range slots {
		if s.Host.Slots[s.Key] == s && s.Direct && !s.Seen && s.again.IsZero() {
			ev = append(ev, f.remove(s.Host, s, Never)...)
			s.Host.Recount()
		}
	}
	return ev
}
