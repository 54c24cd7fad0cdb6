package fleet

import "time"

// A network partition can cut the connection between a worker and the controllers in one
// direction only. If the inbound direction is cut, the controllers receive the worker's
// reports, but the worker receives neither answers nor direct commands. If the outbound
// direction is cut, the worker answers direct commands, but its reports reach no
// controller, so its lease is not renewed.

// InboundCut reports whether the worker is known not to receive messages.
func (m *Machine) InboundCut() bool { return !m.InboundCutSince.IsZero() }

// OutboundCut reports whether the worker is known to be alive but unable to reach any
// controller.
func (m *Machine) OutboundCut() bool { return !m.OutboundCutSince.IsZero() }

// MarkInboundCut records that the worker did not receive a message, and removes the
// launches that were not sent yet. The machine gets no launches until a message shows
// that its worker receives commands again. Launches that were sent stay in the ledger,
// because they may have arrived after the worker's last message.
func (f *Fleet) MarkInboundCut(m *Machine, now time.Time) []Event {
	if m.InboundCutSince.IsZero() {
		m.InboundCutSince = now
	}
	return f.RemoveUnsent(m)
}

// RemoveUnsent removes the slots of a machine whose launch was not sent yet.
func (f *Fleet) RemoveUnsent(m *Machine) (events []Event) {
	for _, s := range m.Slots {
		if !s.LaunchSent {
			events = append(events, f.removeSlot(m, s, NeverStarted)...)
		}
	}
	m.Recount()
	return events
}
