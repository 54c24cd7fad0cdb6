package fleet

import "time"

// Holder is a controller that answers the reports of machines in the leader's
// place (package shard).
type Holder struct {
	// Name is the holder's member name.
	Name string
	// KnownUntil is the time up to which the leader knows all of the holder's answers.
	// The lease of its machines can only be judged as of then: a later answer may have
	// renewed it.
	KnownUntil time.Time
}

// Holder is the controller that answers the machine's reports; nil: the leader.
func (m *Machine) Holder() *Holder { return m.holder }

// SetHolder notes that a holder may answer the machine's reports from now on. What the
// leader would have sent again in its own answers needs a direct command.
func (f *Fleet) SetHolder(m *Machine, holder *Holder) {
	m.holder = holder
	for _, s := range m.Slots {
		if s.awaitsCommand() {
			f.markAwaitingCommand(m)
			return
		}
	}
}

// ClearHolder notes that the leader answers the machine's reports again. The holder may
// have answered them until the given time.
func (m *Machine) ClearHolder(until time.Time) {
	if m.holder == nil {
		return
	}
	m.holder = nil
	if !m.Lost && until.After(m.leaseRenewedAt) {
		m.leaseRenewedAt = until
	}
}

// answersKnownUntil is the time up to which all answers to the machine's reports are known.
func (m *Machine) answersKnownUntil(now time.Time) time.Time {
	if m.holder != nil && m.holder.KnownUntil.Before(now) {
		return m.holder.KnownUntil
	}
	return now
}

// Stale reports whether a report is not newer than the newest one observed: it is a copy
// or was delayed. The worker no longer waits for its answer, which renews nothing and
// delivers nothing.
func (m *Machine) Stale(session, seq uint64) bool {
	return session < m.Session || (session == m.Session && seq <= m.lastReportSeq)
}

// RecordRenewal notes that the holder has answered a report at the given time that said the
// same as the one before. Launches in answers to earlier reports have not arrived:
// the report would show them.
func (f *Fleet) RecordRenewal(m *Machine, session, seq uint64, at time.Time) (ev []Event) {
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
	m.CallUnanswered = false
	m.OutboundCutSince = time.Time{}
	for _, s := range m.Slots {
		if s.LaunchSent && !s.Observed && !s.DirectLaunch && seq > s.launchReportSeq {
			ev = append(ev, f.removeSlot(m, s, NeverStarted)...)
		}
	}
	if ev != nil {
		ev = append(ev, f.MarkInboundCut(m, at)...)
		m.Recount()
	}
	return ev
}
