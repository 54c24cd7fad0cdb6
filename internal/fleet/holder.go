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

// SetHolder records that a holder may answer the machine's reports from now on. Orders
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

// Stale reports whether a report is a duplicate or was delayed, that is, not newer than
// the newest one observed. The worker no longer waits for the answer to a stale report, so
// the answer neither renews the lease nor delivers orders.
func (m *Machine) Stale(session, seq uint64) bool {
	return session < m.Session || (session == m.Session && seq <= m.lastReportSeq)
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
