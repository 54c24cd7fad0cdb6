package fleet

import (
	"time"
)

// Holder is a controller that answers the reports of machines in the leader's
// place (package share).
type Holder struct {
	// Name is the holder's member name.
	Name string
	// KnownUntil is up to when all that it has answered is known. A machine that it deals
	// with can only be judged as of then: a later answer may have renewed its lease.
	KnownUntil time.Time
}

// Holder is who answers the machine's reports; nil: the leader.
func (h *Host) Holder() *Holder { return h.holder }

// SetHolder notes that a holder may answer the machine's reports from now on. What the leader
// would have sent once more in an answer of its own has to go by a command.
func (f *Fleet) SetHolder(h *Host, by *Holder) {
	h.holder = by
	for _, s := range h.Slots {
		if s.awaitsCommand() {
			f.markAwaitingCommand(h)
			return
		}
	}
}

// ClearHolder notes that the holder does not any more; it may have until the moment
// given.
func (h *Host) ClearHolder(until time.Time) {
	if h.holder == nil {
		return
	}
	h.holder = nil
	if !h.Lost && until.After(h.renewedAt) {
		h.renewedAt = until
	}
}

// knownUntil is the time up to which all answers to the machine's reports are known.
func (h *Host) knownUntil(now time.Time) time.Time {
	if h.holder != nil && h.holder.KnownUntil.Before(now) {
		return h.holder.KnownUntil
	}
	return now
}

// Stale reports whether a report is older than another that was taken in: a copy, or
// one that was held back. The worker does not wait for its answer any more, so that
// renews nothing, and what is sent in it arrives nowhere.
func (h *Host) Stale(session, seq uint64) bool {
	return session < h.Session || (session == h.Session && seq <= h.reportSeq)
}

// Renew takes in that the holder has answered a report which said the same as the
// one before. A launch in an answer to an earlier report did not arrive, or the
// report would have shown it.
func (f *Fleet) Renew(h *Host, session, seq uint64, at time.Time) (ev []Event) {
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
	h.seq, h.CallUnanswered, h.OutboundCutAt = seq, false, time.Time{}
	for _, s := range h.Slots {
		if s.Sent && !s.Seen && !s.Direct && seq > s.answeredSeq {
			ev = append(ev, f.removeSlot(h, s, NeverStarted)...)
		}
	}
	if ev != nil {
		ev = append(ev, f.MarkInboundCut(h, at)...)
		h.Recount()
	}
	return ev
}

// MarkInboundCut notes that the worker has not taken in what was sent to it. It gets no
// launches, and what waits to be sent goes elsewhere, until a message shows that it
// hears again. What has been sent stays possible: it may have arrived after the
// worker's last word.
func (f *Fleet) MarkInboundCut(h *Host, now time.Time) []Event {
	if h.InboundCutAt.IsZero() {
		h.InboundCutAt = now
	}
	return f.RemoveUnsent(h)
}

// RemoveUnsent takes back what waits to be sent to a machine.
func (f *Fleet) RemoveUnsent(h *Host) (ev []Event) {
	for _, s := range h.Slots {
		if !s.Sent {
			ev = append(ev, f.removeSlot(h, s, NeverStarted)...)
		}
	}
	h.Recount()
	return ev
}
