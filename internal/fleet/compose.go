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
	reportSeq     uint64 // sequence number of the report being answered; 0 for a direct command
	allowLaunches bool
	now           time.Time
	orders        []wire.Command
	launched      []*Slot // slots whose launch is in the message
	events        []Event
}

// ComposeOrders returns at most limit orders for a machine and marks the launches among
// them as sent. reportSeq is the sequence number of the report being answered, or 0 for a
// direct command; a direct command carries no clear orders. allowLaunches must be false
// when the report is stale, and while a direct command is in flight, because that command
// may arrive before or after this message.
func (f *Fleet) ComposeOrders(m *Machine, reportSeq uint64, allowLaunches bool, now time.Time, limit int) (orders []wire.Command, launched []*Slot, events []Event) {
	c := orderComposer{
		fleet:         f,
		machine:       m,
		reportSeq:     reportSeq,
		allowLaunches: allowLaunches,
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

// isAnswer reports whether the message answers a report rather than being a direct
// command.
func (c *orderComposer) isAnswer() bool { return c.reportSeq != 0 }

// haltCancelled adds halts without a grace period for all tasks of cancelled jobs that
// the worker has reported. Every answer repeats these halts, and puts them first, because
// the answer also renews the worker's lease (see renewal.go).
func (c *orderComposer) haltCancelled(limit int) {
	for _, s := range c.machine.Slots {
		if s.Observed && s.cancelPending() && len(c.orders) < limit {
			s.GraceS = 0
			c.orders = append(c.orders, s.halt(c.now))
		}
	}
}

// addOrders adds the orders that one slot needs.
func (c *orderComposer) addOrders(s *Slot) {
	switch {
	case c.isAnswer() && s.Observed && s.cancelPending():
		// haltCancelled has already added the halt.
	case !s.LaunchSent:
		c.launch(s)
	case (c.isAnswer() || c.machine.holder != nil) && c.allowLaunches && c.machine.Fenced && s.resendDue(c.now) && c.mayLaunch():
		c.resend(s)
	case s.haltDue(c.now):
		c.orders = append(c.orders, s.halt(c.now))
	case c.isAnswer() && s.clearable(c.now):
		c.orders = append(c.orders, s.clear())
	}
}

// launch adds the first launch of a slot if the machine may receive it now.
func (c *orderComposer) launch(s *Slot) {
	m := c.machine
	if s.Job.EndingPhase != "" || s.Job.Phase != "" {
		// The job may have been cancelled since the task was placed.
		c.events = append(c.events, c.fleet.removeSlot(m, s, NeverStarted)...)
		return
	}
	if !c.allowLaunches || !c.mayLaunch() || !m.Fenced || !m.Registered || m.Lost || !s.Job.RegisteredMachines.Has(m.Index) {
		return
	}
	s.LaunchSent = true
	s.DirectLaunch = !c.isAnswer()
	s.launchReportSeq = c.reportSeq
	s.PlacedAt = c.now
	c.launched = append(c.launched, s)
	c.addLaunch(s)
}

// mayLaunch reports whether the message may carry launches. A direct one may not once the
// machine has the term's last token, because nothing could fence off its late copies.
func (c *orderComposer) mayLaunch() bool { return c.isAnswer() || !c.machine.TokensUsedUp() }

// addLaunch adds a launch of the slot's task.
func (c *orderComposer) addLaunch(s *Slot) {
	if !c.isAnswer() {
		c.machine.directLaunchAt = c.now
		s.launchToken = c.machine.Token
	}
	c.orders = append(c.orders, s.order(wire.CommandLaunch))
}

// resend adds a second copy of a direct launch. The worker starts the task only once,
// whichever copy arrives first. If the task is to be
// stopped, the message launches and halts it, so that the worker reports an exit, which
// settles the slot.
func (c *orderComposer) resend(s *Slot) {
	s.launchResentAt = c.now
	c.addLaunch(s)
	if s.Stopping {
		c.orders = append(c.orders, s.halt(c.now))
	}
}

// order returns an order for the slot's task.
func (s *Slot) order(verb wire.Verb) wire.Command {
	return wire.Command{Verb: verb, Task: job.TaskName(s.Job.ID, s.Task), Attempt: s.Attempt}
}

// halt returns the order that stops the slot's task and records when it was sent.
func (s *Slot) halt(now time.Time) wire.Command {
	s.HaltSentAt = now
	grace := s.GraceS
	halt := s.order(wire.CommandStop)
	halt.GraceS = &grace
	return halt
}

const (
	// haltInterval is the interval between repeated halts of a task that has not exited.
	haltInterval = 1500 * time.Millisecond
	// launchResendDelay is the time after which an unsettled direct launch is sent again.
	// It is longer than the timeout of a direct command.
	launchResendDelay = 4 * time.Second
	// maxClearDelay bounds the time for which direct commands in flight delay a clear order.
	// It is longer than a direct command is in flight.
	maxClearDelay = 5 * time.Second
)

// haltDue reports whether a halt has to be sent, for the first time or again. While a
// task saves a checkpoint, the halt is not repeated, unless its grace period is zero: if
// that halt was lost, the task of a cancelled job would otherwise keep saving without a
// time limit.
func (s *Slot) haltDue(now time.Time) bool {
	if !s.Stopping || !s.Active() {
		return false
	}
	if s.HaltSentAt.IsZero() {
		return true
	}
	return now.Sub(s.HaltSentAt) >= haltInterval && (s.Phase != wire.TaskCheckpointing || s.GraceS == 0)
}

// resendDue reports whether a direct launch may have been lost: its call has returned and
// no report lists the task. Without a second copy, the slot would occupy its resources
// for as long as the worker keeps reporting.
func (s *Slot) resendDue(now time.Time) bool {
	unsettled := s.LaunchSent && s.DirectLaunch && !s.Observed && s.Active() && !s.Machine.CallInFlight
	return unsettled && now.Sub(s.PlacedAt) >= launchResendDelay && now.Sub(s.launchResentAt) >= launchResendDelay &&
		s.Job.EndingPhase == "" && s.Job.Phase == ""
}

// clearable reports whether the worker may discard its record of the slot's exit. If that
// takes a higher token, the order waits for a direct command in flight, which the worker
// would refuse after the order, but for no longer than maxClearDelay.
func (s *Slot) clearable(now time.Time) bool {
	if s.Active() || !s.Settled {
		return false
	}
	refusesCall := s.Machine.CallInFlight && s.launchToken >= s.Machine.Token
	return !refusesCall || now.Sub(s.exitedAt) >= maxClearDelay
}

// clear returns the order that makes the worker discard its record of the slot's exit. The
// message with the order has a higher token than the direct launches of the slot: without
// its record, the worker would execute a late copy of such a launch once more.
func (s *Slot) clear() wire.Command {
	s.Machine.Token = max(s.Machine.Token, s.launchToken+1)
	return s.order(wire.CommandClear)
}

// ClearOrders returns at most limit orders to clear exits, which the machine's holder
// includes in its next answer. The answer must have Machine.Token or a higher token.
func (m *Machine) ClearOrders(now time.Time, limit int) (orders []wire.Command) {
	if m.ReportedExits == 0 {
		return nil
	}
	for _, s := range m.Slots {
		if s.clearable(now) && len(orders) < limit {
			orders = append(orders, s.clear())
		}
	}
	return orders
}

// NeedsDirectCommand reports whether the machine has a launch or a halt that is due and
// should not wait for the next report.
func (m *Machine) NeedsDirectCommand(now time.Time) bool {
	for _, s := range m.Slots {
		if !s.LaunchSent && m.Usable() && !m.TokensUsedUp() && s.Job.RegisteredMachines.Has(m.Index) {
			return true
		}
		if m.holder != nil && !m.TokensUsedUp() && s.resendDue(now) {
			return true // a holder's answers carry no launches
		}
		if s.haltDue(now) {
			return true
		}
	}
	return false
}

// RemoveUndelivered removes the launches of a direct command that is known not to have
// been executed.
func (f *Fleet) RemoveUndelivered(slots []*Slot) []Event {
	var events []Event
	for _, s := range slots {
		if s.Machine.Slots[s.PlacementKey] == s && s.DirectLaunch && !s.Observed && s.launchResentAt.IsZero() {
			events = append(events, f.removeSlot(s.Machine, s, NeverStarted)...)
			s.Machine.Recount()
		}
	}
	return events
}
