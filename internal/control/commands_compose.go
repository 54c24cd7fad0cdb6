package control

import (
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/metrics"
	"vetchstream/internal/wire"
)

// commandPath is the way by which commands reach a worker.
type commandPath string

const (
	// pathAnswer: in the leader's answer to a heartbeat, which a shard holder may pass on.
	pathAnswer commandPath = "answer"
	// pathDirect: in a direct command, which a shard holder may send.
	pathDirect commandPath = "direct"
	// pathHolder: in a shard holder's own answers to heartbeats.
	pathHolder commandPath = "holder"
)

// compose returns the commands of the next message to a machine and the slots whose launch
// is among them. reportSeq and allowLaunches are those of fleet.ComposeCommands.
func (cm *commands) compose(machine *fleet.Machine, reportSeq uint64, allowLaunches bool, now time.Time) (commands []wire.Command, sent []*fleet.Slot) {
	commands, sent, events := cm.fleet.ComposeCommands(machine, reportSeq, allowLaunches, now, maxCommands)
	cm.takeover.recordLaunches(len(sent), now)
	cm.taskTracker.applyEvents(events, now)
	path := pathAnswer
	if reportSeq == 0 {
		path = pathDirect
	}
	cm.recordCommands(machine, path, reportSeq, commands)
	return commands, sent
}

// recordCommands counts commands to a machine, and logs them at debug level. reportSeq is
// the number of the heartbeat that they answer, or 0.
func (cm *commands) recordCommands(machine *fleet.Machine, path commandPath, reportSeq uint64, commands []wire.Command) {
	if cm.controller.Meter == nil && !cm.debug {
		return
	}
	for _, command := range commands {
		cm.controller.Meter.Add(metrics.CommandsSent, string(command.Verb)+" "+string(path), 1)
		if cm.debug {
			cm.log.Debug("command sent", "verb", command.Verb, "task", command.Task, "attempt", command.Attempt, "machine", machine.Name,
				"path", path, "token", machine.Token, "session", machine.Session, "heartbeat", reportSeq)
		}
	}
}
