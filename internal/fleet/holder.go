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
func (h *Machine) Holder() *Holder { return h.holder }

// SetHolder notes that a holder may answer the machine's reports from now on. What the
// leader would have sent again in its own answers needs a direct command.
func (f *Fleet) SetHolder(h *Machine, holder *Holder) {
	h.holder = holder
	for _, s := range h.Slots {
		if s.awaitsCommand() {
			f.markAwaitingCommand(h)
			return
		}
	}
}

// ClearHolder notes that the leader answers the machine's reports again. The holder may
// have answered them until the given time.
func (h *Machine) ClearHolder(until time.Time) {
	if h.holder == nil {
		return
	}
	h.holder = nil
	if !h.Lost && until.After(h.renewedAt) {
		h.renewedAt = until
	}
}

// knownUntil is the time up to which all answers to the machine's reports are known.
func (h *Machine) knownUntil(now time.Time) time.Time {
	if h.holder != nil && h.holder.KnownUntil.Before(now) {
		return h.holder.KnownUntil
	}
	return now
}

// Stale reports whether a report is not newer than the newest one observed: it is a copy
// or was delayed. The worker no longer waits for its answer, which renews nothing and
// delivers nothing.
func (h *Machine) Stale(session, seq uint64) bool {
	return session < h.Session || (session == h.Session && seq <= h.reportSeq)
}

// RecordRenewal notes that the holder has answered a report at the given time that said the
// same as the one before. Launches in answers to earlier reports have not arrived:
// the report would show them.
func (f *Fleet) RecordRenewal(h *Machine, session, seq uint64, at time.Time) (ev []Event) {
	if session != h.Session || h.Lost || h.Stale(session, seq) {
		return nil
	}
	h.reportSeq = seq
	if at.After(h.renewedAt) {
		h.renewedAt = at
	}
	if seq <= h.seq {
		return nil
	}
	h.seq = seq
	h.CallUnanswered = false
	h.OutboundCutSince = time.Time{}
	for _, s := range h.Slots {
		if s.LaunchSent && !s.Observed && !s.DirectLaunch && seq > s.answeredSeq {
			ev = append(ev, f.removeSlot(h, s, NeverStarted)...)
		}
	}
	if ev != nil {
		ev = append(ev, f.MarkInboundCut(h, at)...)
		h.Recount()
	}
	return ev
}
