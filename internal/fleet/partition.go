package fleet

import "time"

// A network partition can cut one direction between a worker and the controllers
// alone. With the inbound direction cut, reports come but nothing that is sent reaches
// the worker. With the outbound direction cut, the worker answers direct commands but
// its reports reach no controller, so its lease is not renewed.

// InboundCut reports whether the worker is known not to receive what is sent to it.
func (h *Host) InboundCut() bool { return !h.InboundCutAt.IsZero() }

// OutboundCut reports whether the worker is known to be alive and to reach no
// controller.
func (h *Host) OutboundCut() bool { return !h.OutboundCutAt.IsZero() }

// MarkInboundCut notes that the worker has not received what was sent to it. Until a
// message shows that it receives again, it gets no launches, and those that were not
// sent are removed. Launches that were sent stay in the ledger: they may have arrived
// after the worker's last message.
func (f *Fleet) MarkInboundCut(h *Host, now time.Time) []Event {
	if h.InboundCutAt.IsZero() {
		h.InboundCutAt = now
	}
	return f.RemoveUnsent(h)
}

// RemoveUnsent removes the launches that were not sent to a machine yet.
func (f *Fleet) RemoveUnsent(h *Host) (ev []Event) {
	for _, s := range h.Slots {
		if !s.Sent {
			ev = append(ev, f.removeSlot(h, s, NeverStarted)...)
		}
	}
	h.Recount()
	return ev
}
