package fleet

import (
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// commandComposer collects the commands of one message to a machine.
type commandComposer struct {
	fleet         *Fleet
	machine       *Machine
	reportSeq     uint64 // sequence number of the report being answered; 0 for a direct command
	allowLaunches bool
	now           time.Time
	commands      []wire.Command
	launched      []*Slot // slots whose launch is in the message
	events        []Event
}

// ComposeCommands returns at most limit commands for a machine and marks the launches among
// them as sent. reportSeq is the sequence number of the report being answered, or 0 for a
// direct command; a direct command carries no clear commands. allowLaunches must be false
// when the report is stale, and while a direct command is in flight, because that command
// may arrive before or after this message. The message must carry Machine.Token, which a
// clear command may have raised.
func (f *Fleet) ComposeCommands(m *Machine, reportSeq uint64, allowLaunches bool, now time.Time, limit int) (commands []wire.Command, launched []*Slot, events []Event) {
	c := commandComposer{
		fleet:         f,
		machine:       m,
		reportSeq:     reportSeq,
		allowLaunches: allowLaunches,
		now:           now,
		commands:      []wire.Command{},
	}
	if c.isAnswer() {
		c.haltCancelled(limit)
	}
	for _, s := range m.Slots {
		if len(c.commands) >= limit {
			break
		}
		c.addCommands(s)
	}
	m.Recount()
	return c.commands, c.launched, c.events
}

// isAnswer reports whether the message answers a report rather than being a direct
// command.
func (c *commandComposer) isAnswer() bool { return c.reportSeq != 0 }

// haltCancelled adds halts without a grace period for all tasks of cancelled jobs that
// the worker has reported. Every answer repeats these halts, and puts them first, because
// the answer also renews the worker's lease (see renewal.go).
func (c *commandComposer) haltCancelled(limit int) {
	for _, s := range c.machine.Slots {
		if s.Observed && s.cancelPending() && len(c.commands) < limit {
			s.GraceS = 0
			c.commands = append(c.commands, s.halt(c.now))
		}
	}
}

// addCommands adds the commands that one slot needs.
func (c *commandComposer) addCommands(s *Slot) {
	switch {
	case c.isAnswer() && s.Observed && s.cancelPending():
		// haltCancelled has already added the halt.
	case !s.LaunchSent:
		c.launch(s)
	case c.mayResend() && s.resendDue(c.now):
		c.resend(s)
	case s.haltDue(c.now):
		c.commands = append(c.commands, s.halt(c.now))
	case c.isAnswer() && s.clearable(c.now):
		c.commands = append(c.commands, s.clear())
	}
}

// command returns a command for the slot's task.
func (s *Slot) command(verb wire.Verb) wire.Command {
	return wire.Command{Verb: verb, Task: job.TaskName(s.Job.ID, s.Task), Attempt: s.Attempt}
}

// halt returns the command that stops the slot's task and records when it was sent.
func (s *Slot) halt(now time.Time) wire.Command {
	s.HaltSentAt = now
	grace := s.GraceS
	halt := s.command(wire.CommandStop)
	halt.GraceS = &grace
	return halt
}

// haltInterval is the interval between repeated halts of a task that has not exited.
const haltInterval = 1500 * time.Millisecond

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
