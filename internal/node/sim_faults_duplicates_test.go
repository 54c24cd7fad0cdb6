package node

import (
	"time"

	"vetchstream/internal/emulate"
)

// duplicateMessages delivers shares of the executed direct commands and of the heartbeats once
// more, up to maxDelay later, for the duration.
func duplicateMessages(seed uint64, commandShare, heartbeatShare float64, maxDelay, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.DuplicateCommands(emulate.Duplication{Share: commandShare, MaxDelay: maxDelay, Random: newRand(seed)})
		s.DuplicateHeartbeats(emulate.Duplication{Share: heartbeatShare, MaxDelay: maxDelay, Random: newRand(seed + 1)})
		time.Sleep(duration)
		s.DuplicateCommands(emulate.Duplication{})
		s.DuplicateHeartbeats(emulate.Duplication{})
	}
}

// checkDuplicatesExecuted checks that workers executed copies of direct commands.
func checkDuplicatesExecuted(s *simulation) {
	if s.DuplicatesExecuted() == 0 {
		s.reportUnreachedCondition("no worker executed a copy of a direct command")
	}
}
