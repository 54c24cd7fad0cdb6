package fleet

import (
	"time"

	"vetchstream/internal/wire"
)

// This file lets workers discard their records of exits that are settled.

// maxClearDelay bounds the time for which direct commands in flight delay a clear command. It
// is longer than a direct command is in flight.
const maxClearDelay = 5 * time.Second

// clearable reports whether the worker may discard its record of the slot's exit. If that
// takes a higher token, the clear command waits for a direct command in flight, which the
// worker would refuse after it, but for no longer than maxClearDelay.
func (s *Slot) clearable(now time.Time) bool {
	if s.Active() || !s.Settled {
		return false
	}
	refusesCall := s.Machine.CallInFlight && s.launchToken >= s.Machine.Token
	return !refusesCall || now.Sub(s.exitedAt) >= maxClearDelay
}

// clear returns the command that makes the worker discard its record of the slot's exit. The
// message with the command has a higher token than the direct launches of the slot: without
// its record, the worker would execute a late copy of such a launch once more.
func (s *Slot) clear() wire.Command {
	s.Machine.Token = max(s.Machine.Token, s.launchToken+1)
	return s.command(wire.CommandClear)
}

// ClearCommands returns at most limit commands to clear exits, which the machine's holder
// includes in its next answer. The answer must have Machine.Token or a higher token.
func (m *Machine) ClearCommands(now time.Time, limit int) (commands []wire.Command) {
	if m.ReportedExits == 0 {
		return nil
	}
	for _, s := range m.Slots {
		if s.clearable(now) && len(commands) < limit {
			commands = append(commands, s.clear())
		}
	}
	return commands
}
