package fleet

import "time"

// A network partition can cut one direction between a worker and the controllers
// alone. With the inbound direction cut, reports come but nothing that is sent reaches
// the worker. With the outbound direction cut, the worker answers direct commands but
// its reports reach no controller, so its lease is not renewed.

// InboundCut reports whether the worker is known not to receive what is sent to it.
func (m *Machine) InboundCut() bool { return !m.InboundCutSince.IsZero() }

// OutboundCut reports whether the worker is known to be alive and to reach no
// controller.
func (m *Machine) OutboundCut() bool { return !m.OutboundCutSince.IsZero() }

// MarkInboundCut notes that the worker has not received what was sent to it. Until a
// message shows that it receives again, it gets no launches, and those that were not
// sent are removed. Launches that were sent stay in the ledger: they may have arrived
// after the worker's last message.
func (f *Fleet) MarkInboundCut(m *Machine, now time.Time) []Event {
	if m.InboundCutSince.IsZero() {
		m.InboundCutSince = now
	}
	return f.RemoveUnsent(m)
}

// RemoveUnsent removes the launches that were not sent to a machine yet.
func (f *Fleet) RemoveUnsent(m *Machine) (ev []Event) {
	for _, s := range m.Slots {
		if !s.LaunchSent {
			ev = append(ev, f.removeSlot(m, s, NeverStarted)...)
		}
	}
	m.Recount()
	return ev
}
