package fleet

import (
	"time"

	"vetchstream/internal/wire"
)

// This file sends launches, for the first time or again.

// launchResendDelay is the time after which an unsettled direct launch is sent again. It is
// longer than the timeout of a direct command.
const launchResendDelay = 4 * time.Second

// launch adds the first launch of a slot if the machine may receive it now.
func (c *commandComposer) launch(s *Slot) {
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
func (c *commandComposer) mayLaunch() bool { return c.isAnswer() || !c.machine.TokensUsedUp() }

// addLaunch adds a launch of the slot's task.
func (c *commandComposer) addLaunch(s *Slot) {
	if !c.isAnswer() {
		c.machine.directLaunchAt = c.now
		s.launchToken = c.machine.Token
	}
	c.commands = append(c.commands, s.command(wire.CommandLaunch))
}

// mayResend reports whether the message may carry second copies of launches.
func (c *commandComposer) mayResend() bool {
	viaHolder := c.machine.holder != nil // its reports may be answered without the leader
	return (c.isAnswer() || viaHolder) && c.allowLaunches && c.machine.Fenced && c.mayLaunch()
}

// resend adds a second copy of a direct launch. The worker starts the task only once,
// whichever copy arrives first. If the task is to be stopped, the message launches and halts
// it, so that the worker reports an exit, which settles the slot.
func (c *commandComposer) resend(s *Slot) {
	s.launchResentAt = c.now
	c.addLaunch(s)
	if s.Stopping {
		c.commands = append(c.commands, s.halt(c.now))
	}
}

// resendDue reports whether a direct launch may have been lost: its call has returned and
// no report lists the task. Without a second copy, the slot would occupy its resources
// for as long as the worker keeps reporting.
func (s *Slot) resendDue(now time.Time) bool {
	unsettled := s.LaunchSent && s.DirectLaunch && !s.Observed && s.Active() && !s.Machine.CallInFlight
	return unsettled && now.Sub(s.PlacedAt) >= launchResendDelay && now.Sub(s.launchResentAt) >= launchResendDelay &&
		s.Job.EndingPhase == "" && s.Job.Phase == ""
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
