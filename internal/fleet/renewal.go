package fleet

import "time"

// The invariant of this file: a worker's lease is not renewed beyond the moment from
// which it could outlast the time that a cancelled task has to be gone, as long as a
// placement of a cancelled job may be on the machine, or may still be started there, and
// the renewal does not itself end it.
//
// A halt ends what the worker has. It does not end a launch by direct command that is
// still on its way: while session and token stay as they are the worker carries that out,
// minutes later too, and only the end of its session certainly refuses it. A worker whose
// reports go unanswered ends its session by itself, within a lease. So the leader answers
// such a machine's reports until the limit and not after it, and a holder, which answers
// without halts, gives the machine back before the limit.

// cancelPending reports whether the slot may be, or come to be, a task of a cancelled job on
// the machine.
func (s *Slot) cancelPending() bool { return s.Sent && s.Active() && s.Job.Cancelled() }

// inFlight reports whether the launch of the slot may still be on its way.
func (s *Slot) inFlight() bool { return s.Direct && !s.Seen }

// renewalLimit is the last moment at which a lease that the slot can go on under may be
// renewed. The fleet's lease has the drift of the clocks and the granularity of timers in it.
func (f *Fleet) renewalLimit(s *Slot) time.Time { return s.Job.CancelledAt.Add(f.CancelTime - f.Lease) }

// RenewalLimit is the last moment at which a controller that sends no halts may answer the
// machine's reports; bounded is false while it may at any time.
func (f *Fleet) RenewalLimit(h *Host) (limit time.Time, bounded bool) {
	for _, s := range h.Slots {
		if !s.cancelPending() {
			continue
		}
		if at := f.renewalLimit(s); !bounded || at.Before(limit) {
			limit, bounded = at, true
		}
	}
	return limit, bounded
}

// Renewable reports whether the leader may answer a report of the machine. The answer halts
// all that the worker has shown of cancelled jobs, up to the limit of orders, and can do
// nothing about what is still on its way.
func (f *Fleet) Renewable(h *Host, now time.Time, orders int) bool {
	halts := 0
	for _, s := range h.Slots {
		switch {
		case !s.cancelPending() || now.Before(f.renewalLimit(s)):
		case !s.Seen:
			return false
		default:
			halts++
		}
	}
	return halts <= orders
}

// StopRenewal notes that the machine's reports go unanswered until its session has ended, and
// takes back what waits to be sent there.
func (f *Fleet) StopRenewal(h *Host) []Event {
	h.RenewalStopped = true
	return f.RemoveUnsent(h)
}
