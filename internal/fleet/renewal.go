package fleet

import "time"

// This file keeps the invariant that no task of a cancelled job is on a machine after
// Fleet.CancelTimeout. While such a task may be on a machine, or may still start there, the
// controllers do not renew the worker's lease beyond that deadline, unless the renewing
// answer itself halts the task.
//
// A halt stops a task that the worker has started. It has no effect on a direct launch that
// is still in flight: as long as the session and the fencing token stay the same, the
// worker executes such a launch even minutes later. The worker only refuses it once its
// session has ended, and a worker whose reports go unanswered ends its session within a
// lease. The leader therefore stops answering the reports of such a machine at the renewal
// limit. A holder's answers carry no halts, so the holder gives the machine back to the
// leader before that limit.

// cancelPending reports whether the slot belongs to a cancelled job and its task may be on
// the machine or may still start there.
func (s *Slot) cancelPending() bool { return s.LaunchSent && s.Active() && s.Job.Cancelled() }

// launchInFlight reports whether the slot's direct launch may still be on its way to the
// worker.
func (s *Slot) launchInFlight() bool { return s.DirectLaunch && !s.Observed }

// renewalLimit returns the time up to which the lease of the slot's machine may be renewed
// so that it expires by the deadline. The fleet's lease already includes the margin for
// clock drift and timer granularity.
func (f *Fleet) renewalLimit(s *Slot) time.Time {
	return s.Job.CancelledAt.Add(f.CancelTimeout - f.Lease)
}

// RenewalLimit returns the time up to which a controller that sends no halts may answer the
// machine's reports. bounded is false if there is no limit.
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

// Renewable reports whether the leader may answer a report of the machine, where maxCommands
// bounds the number of commands in the answer. The answer halts the tasks of cancelled jobs
// that the worker has reported, but it cannot stop launches that are in flight.
func (f *Fleet) Renewable(m *Machine, now time.Time, maxCommands int) bool {
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
	return halts <= maxCommands
}

// StopRenewal records that the machine's reports go unanswered until its worker's session
// has ended, and removes the slots whose launch was not sent yet.
func (f *Fleet) StopRenewal(m *Machine) []Event {
	m.RenewalStopped = true
	return f.RemoveUnsent(m)
}
