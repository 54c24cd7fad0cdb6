package fleet

import "time"

// Holder is a controller that answers the reports of machines on the leader's behalf (see
// package shard).
type Holder struct {
	// Name is the holder's member name.
	Name string
	// KnownUntil is the time up to which the leader knows all of the holder's answers.
	// The leader judges the leases of the holder's machines as of this time, because a
	// later answer may have renewed them.
	KnownUntil time.Time
}

// Holder returns the controller that answers the machine's reports, or nil if the leader
// answers them.
func (m *Machine) Holder() *Holder { return m.holder }

// SetHolder records that a holder may answer the machine's reports from now on. Commands
// that the leader would have repeated in its own answers now need a direct command.
func (f *Fleet) SetHolder(m *Machine, holder *Holder) {
	m.holder = holder
	for _, s := range m.Slots {
		if s.awaitsCommand() {
			f.markAwaitingCommand(m)
			return
		}
	}
}

// ClearHolder records that the leader answers the machine's reports again. until is the
// latest time at which the holder may have answered one.
func (m *Machine) ClearHolder(until time.Time) {
	if m.holder == nil {
		return
	}
	m.holder = nil
	if !m.Lost && until.After(m.leaseRenewedAt) {
		m.leaseRenewedAt = until
	}
}

// answersKnownUntil returns the time up to which the leader knows all answers to the
// machine's reports.
func (m *Machine) answersKnownUntil(now time.Time) time.Time {
	if m.holder != nil && m.holder.KnownUntil.Before(now) {
		return m.holder.KnownUntil
	}
	return now
}

// Stale reports whether a report must not be answered because the ledger does not apply
// its content. The report may be a duplicate or delayed: the worker no longer waits for the
// answer. It may also come from a worker that has restarted without memory and numbers its
// session and its messages from 1 again. Such a worker would accept an answer and keep its
// session, while the ledger ignores its reports and keeps the tasks that ended with the
// restart. Without answers, its session ends within a lease.
//
// A single report that is older than an answer to a direct command is not stale. The answer
// has overtaken the report, and the worker has only one report in flight.
func (m *Machine) Stale(session, seq uint64) bool {
	if session != m.Session {
		return session < m.Session
	}
	duplicate := seq <= m.lastReportSeq
	ignored := seq <= m.lastSeq && m.overtaken
	leaseExpired := m.Lost && m.Session != 0
	return duplicate || ignored || leaseExpired
}

// Repeats reports whether a report has the number of the newest report observed.
func (m *Machine) Repeats(session, seq uint64) bool {
	return session == m.Session && seq == m.lastReportSeq
}

// RecordRenewal records that the holder answered, at the given time, a report with the same
// content as the one before. Launches in answers to earlier reports were not received,
// because the report would list their tasks; RecordRenewal removes them. If the ledger does
// not contain the tasks of the report before, it sets Machine.TasksUnknown.
func (f *Fleet) RecordRenewal(m *Machine, session, seq uint64, at time.Time) (events []Event) {
	if session != m.Session || m.Lost || m.Stale(session, seq) {
		return nil
	}
	m.lastReportSeq = seq
	if at.After(m.leaseRenewedAt) {
		m.leaseRenewedAt = at
	}
	if seq <= m.lastSeq {
		m.overtaken = true
		return nil
	}
	m.lastSeq = seq
	m.TasksUnknown = !m.listsReport
	m.CallUnanswered = false
	m.OutboundCutSince = time.Time{}
	for _, s := range m.Slots {
		if s.LaunchSent && !s.Observed && !s.DirectLaunch && seq > s.launchReportSeq {
			events = append(events, f.removeSlot(m, s, NeverStarted)...)
		}
	}
	if events != nil {
		events = append(events, f.MarkInboundCut(m, at)...)
		m.Recount()
	}
	return events
}
