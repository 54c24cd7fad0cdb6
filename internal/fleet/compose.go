package fleet

import (
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// orderComposer collects the orders of one message to a machine.
type orderComposer struct {
	fleet         *Fleet
	machine       *Machine
	reportSeq     uint64 // the report that is answered; 0: a direct command
	allowLaunches bool   // launches may be included
	now           time.Time
	orders        []wire.Command
	launched      []*Slot // launched by the message
	events        []Event
}

// ComposeOrders makes at most limit orders for a machine and marks the launches as
// sent. seq is the report that is answered; 0 stands for a direct command, which
// carries no clear. launches is false for a stale report, and while a direct command
// is in flight that may arrive before or after this message.
func (f *Fleet) ComposeOrders(m *Machine, seq uint64, launches bool, now time.Time, limit int) (orders []wire.Command, sent []*Slot, ev []Event) {
	c := orderComposer{
		fleet:         f,
		machine:       m,
		reportSeq:     seq,
		allowLaunches: launches,
		now:           now,
		orders:        []wire.Command{},
	}
	if c.isAnswer() {
		c.haltCancelled(limit)
	}
	for _, s := range m.Slots {
		if len(c.orders) >= limit {
			break
		}
		c.addOrders(s)
	}
	m.Recount()
	return c.orders, c.launched, c.events
}

// isAnswer reports whether the message answers a report. Otherwise it is a direct
// command.
func (c *orderComposer) isAnswer() bool { return c.reportSeq != 0 }

// haltCancelled halts, without time to save, the tasks of cancelled jobs that the
// worker has reported. An answer to a report renews the lease, so each one carries
// these halts first, however recently they were sent (renewal.go).
func (c *orderComposer) haltCancelled(limit int) {
	for _, s := range c.machine.Slots {
		if s.Observed && s.cancelPending() && len(c.orders) < limit {
			s.GraceS = 0
			c.orders = append(c.orders, s.halt(c.now))
		}
	}
}

// addOrders adds the orders for one slot.
func (c *orderComposer) addOrders(s *Slot) {
	switch {
	case c.isAnswer() && s.Observed && s.cancelPending():
		// haltCancelled has added the halt.
	case !s.LaunchSent:
		c.launch(s)
	case (c.isAnswer() || c.machine.holder != nil) && c.allowLaunches && c.machine.Fenced && s.resendDue(c.now):
		c.resend(s)
	case s.haltDue(c.now):
		c.orders = append(c.orders, s.halt(c.now))
	case c.isAnswer() && s.clearable():
		c.orders = append(c.orders, s.order(wire.CommandClear))
	}
}

// launch adds the launch of a slot that was not sent, if the machine may get it.
func (c *orderComposer) launch(s *Slot) {
	m := c.machine
	if s.Job.Closing != "" || s.Job.Phase != "" {
		// The job may have been cancelled after the placement.
		c.events = append(c.events, c.fleet.removeSlot(m, s, NeverStarted)...)
		return
	}
	if !c.allowLaunches || !m.Fenced || !m.Registered || m.Lost || !s.Job.NotedMachines.Has(m.Index) {
		return
	}
	s.LaunchSent = true
	s.DirectLaunch = !c.isAnswer()
	s.launchReportSeq = c.reportSeq
	s.PlacedAt = c.now
	if s.DirectLaunch {
		m.directLaunchAt = c.now
	}
	c.launched = append(c.launched, s)
	c.orders = append(c.orders, s.order(wire.CommandLaunch))
}

// resend adds a second copy of a direct launch. The worker starts the task once,
// whichever copy comes first, as long as its exit is not cleared. A task that is to be
// stopped is launched and halted: its exit settles the slot.
func (c *orderComposer) resend(s *Slot) {
	s.launchResentAt = c.now
	c.orders = append(c.orders, s.order(wire.CommandLaunch))
	if s.Stopping {
		c.orders = append(c.orders, s.halt(c.now))
	}
}

// order makes an order about the slot's task.
func (s *Slot) order(verb wire.Verb) wire.Command {
	return wire.Command{Verb: verb, Task: job.TaskName(s.Job.ID, s.Task), Attempt: s.Attempt}
}

// halt makes the order that stops the slot's task, and notes that it is sent.
func (s *Slot) halt(now time.Time) wire.Command {
	s.HaltSentAt = now
	grace := s.GraceS
	halt := s.order(wire.CommandStop)
	halt.GraceS = &grace
	return halt
}

const (
	// haltInterval is how often a halt is repeated while its task is still there.
	haltInterval = 1500 * time.Millisecond
	// resendAfter is the age from which an unsettled direct launch is sent again. A
	// direct command ends sooner.
	resendAfter = 4 * time.Second
)

// haltDue reports whether a halt is to be sent, for the first time or again. It is not
// repeated while the task saves its progress, unless the task has no time for that:
// then its job is cancelled, and after a lost halt it would save for as long as it
// likes.
func (s *Slot) haltDue(now time.Time) bool {
	if !s.Stopping || !s.Active() {
		return false
	}
	if s.HaltSentAt.IsZero() {
		return true
	}
	return now.Sub(s.HaltSentAt) >= haltInterval && (s.Phase != wire.TaskCheckpointing || s.GraceS == 0)
}

// resendDue reports whether a direct launch may have been lost: its call is over, and
// no report shows the task. Without a second copy, the slot would occupy its resources
// and its task for as long as the worker's reports go on.
func (s *Slot) resendDue(now time.Time) bool {
	unsettled := s.LaunchSent && s.DirectLaunch && !s.Observed && s.Active() && !s.Machine.CallInFlight
	return unsettled && now.Sub(s.PlacedAt) >= resendAfter && now.Sub(s.launchResentAt) >= resendAfter &&
		s.Job.Closing == "" && s.Job.Phase == ""
}

// clearable reports whether the worker may forget the exit of the slot.
func (s *Slot) clearable() bool { return !s.Active() && s.Settled && s.launchResentAt.IsZero() }

// ClearOrders are at most limit orders to forget exits, for the next answer of the
// machine's holder.
func (m *Machine) ClearOrders(limit int) (orders []wire.Command) {
	if m.ReportedExits == 0 {
		return nil
	}
	for _, s := range m.Slots {
		if s.clearable() && len(orders) < limit {
			orders = append(orders, s.order(wire.CommandClear))
		}
	}
	return orders
}

// NeedsDirectCommand reports whether something is to be sent that is worth a direct
// command.
func (m *Machine) NeedsDirectCommand(now time.Time) bool {
	for _, s := range m.Slots {
		if !s.LaunchSent && m.Usable() && s.Job.NotedMachines.Has(m.Index) {
			return true
		}
		if m.holder != nil && s.resendDue(now) {
			return true // the holder's answers carry no launches
		}
		if s.haltDue(now) {
			return true
		}
	}
	return false
}

// RemoveUndelivered removes the launches of a direct command that was certainly not
// executed.
func (f *Fleet) RemoveUndelivered(slots []*Slot) []Event {
	var ev []Event
	for _, s := range slots {
		if s.Machine.Slots[s.PlacementKey] == s && s.DirectLaunch && !s.Observed && s.launchResentAt.IsZero() {
			ev = append(ev, f.removeSlot(s.Machine, s, NeverStarted)...)
			s.Machine.Recount()
		}
	}
	return ev
}
