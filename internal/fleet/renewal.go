package fleet

import "time"

// The invariant of this file: a cancelled task must be gone within Fleet.CancelTimeout. While
// a placement of a cancelled job may be on a machine, or may still start there, the
// worker's lease is not renewed beyond that deadline, unless the renewal itself halts the
// task.
//
// A halt stops a task that the worker has. It does not stop a launch by direct command
// that is still on its way: as long as its session and fencing token stay the same, the
// worker executes such a launch even minutes later. Only the end of the session makes
// certain that it is refused. A worker whose reports go unanswered ends its session by
// itself within a lease. So the leader answers the reports of such a machine until the
// renewal limit and not after it, and a holder, whose answers carry no halts, returns the
// machine before the limit.

// cancelPending reports whether a task of a cancelled job may be, or may still start, on
// the machine.
func (s *Slot) cancelPending() bool { return s.LaunchSent && s.Active() && s.Job.Cancelled() }

// launchInFlight reports whether the launch of the slot may not have arrived yet.
func (s *Slot) launchInFlight() bool { return s.DirectLaunch && !s.Observed }

// renewalLimit is the latest time at which the lease of a machine with the slot may be
// renewed: the lease then expires by the deadline. The fleet's lease includes the drift
// of the clocks and the granularity of timers.
func (f *Fleet) renewalLimit(s *Slot) time.Time {
	return s.Job.CancelledAt.Add(f.CancelTimeout - f.Lease)
}

// RenewalLimit is the latest time at which a controller that sends no halts may answer the
// machine's reports; bounded is false if there is none.
func (f *Fleet) RenewalLimit(m *Machine) (limit time.Time, bounded bool) {
	for _, s := range m.Slots {
		if !s.cancelPending() {
			continue
		}
		if at := f.renewalLimit(s); !bounded || at.Before(limit) {
			limit, bounded = at, true
		}
	}
	return limit, bounded
}

// Renewable reports whether the leader may answer a report of the machine with the given
// limit of orders. The answer halts the tasks of cancelled jobs that the worker has
// reported, but not launches that have not arrived yet.
func (f *Fleet) Renewable(m *Machine, now time.Time, orders int) bool {
	halts := 0
	for _, s := range m.Slots {
		switch {
		case !s.cancelPending() || now.Before(f.renewalLimit(s)):
		case !s.Observed:
			return false
		default:
			halts++
		}
	}
	return halts <= orders
}

// StopRenewal notes that the machine's reports go unanswered until its session has ended,
// and removes the launches that were not sent to it.
func (f *Fleet) StopRenewal(m *Machine) []Event {
	m.RenewalStopped = true
	return f.RemoveUnsent(m)
}
