package shard

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"vetchstream/internal/wire"
)

// Outcome is the result of a holder's handling of a heartbeat.
type Outcome uint8

const (
	// NotHeld means that the machine is not in the shard. The leader knows its holder.
	NotHeld Outcome = iota
	// GrantExpired means that the machine is in the shard, but the grant has ended or does
	// not cover the heartbeat. The holder must not answer the heartbeat with status 200,
	// because the leader may have assigned the machine to another holder.
	GrantExpired
	// Answered means that the holder answers the heartbeat with the returned commands.
	Answered
	// HeartbeatChanged means that the heartbeat differs from the last one. The holder waits
	// for the leader's answer. If none arrives in time, it answers with the returned commands.
	HeartbeatChanged
	// LeaderRequired means that the heartbeat has a task that the leader has not
	// acknowledged. The job of the task may be cancelled, in which case only the leader's
	// answer stops the task. The holder therefore does not answer by itself.
	LeaderRequired
)

// taskAttempt identifies one attempt of a task.
type taskAttempt struct {
	task    string
	attempt uint64
}

// heldMachine is a machine of the shard with the state from its worker's heartbeats.
type heldMachine struct {
	// dropped means that the leader has removed the machine from the shard. The holder keeps
	// it until the leader has acknowledged its heartbeats.
	dropped bool

	// token is the lowest fencing token with which the worker may get clear commands.
	token uint64

	session     uint64    // of the last heartbeat
	seq         uint64    // of the last heartbeat
	heartbeatAt time.Time // when the last heartbeat arrived
	digest      uint64    // of the last heartbeat
	hasDigest   bool      // a heartbeat has arrived since the machine was added

	// tasks are the tasks in the last changed heartbeat that have not exited, reportedExits
	// those that have.
	tasks         []taskAttempt
	reportedExits []taskAttempt
	// settledExits are the exited tasks that the worker may clear.
	settledExits []taskAttempt
	// acknowledgedTasks are the tasks of the last heartbeat that the leader has
	// acknowledged.
	acknowledgedTasks []taskAttempt

	// lastHeartbeat is the number of the last heartbeat, counted by the holder.
	// acknowledgedHeartbeat is the number of the last one that the leader has acknowledged.
	lastHeartbeat         uint64
	acknowledgedHeartbeat uint64
	// fullHeartbeat is the last encoded heartbeat that differs from its predecessor, and
	// fullHeartbeatNumber its number. The holder sends it to the leader until the leader
	// acknowledges it.
	fullHeartbeat       []byte
	fullHeartbeatNumber uint64
}

// HandleHeartbeat handles a worker's heartbeat, whose encoded form is body. The commands of
// the returned answer clear exited tasks. All other commands come from the leader, in its
// answer to a changed heartbeat or as direct commands.
func (h *Holder) HandleHeartbeat(heartbeat *wire.Heartbeat, body []byte, now time.Time) (wire.HeartbeatResponse, Outcome) {
	none := wire.HeartbeatResponse{}
	machine := h.machines[heartbeat.Machine]
	if machine == nil || machine.dropped {
		return none, NotHeld
	}
	if !now.Before(h.grantUntil) || heartbeat.Token > h.term {
		return none, GrantExpired
	}
	if heartbeat.Session < machine.session || (heartbeat.Session == machine.session && heartbeat.Seq <= machine.seq) {
		// The heartbeat was delayed. The answer to a newer one has already renewed the lease.
		return none, GrantExpired
	}
	machine.session = heartbeat.Session
	machine.seq = heartbeat.Seq
	machine.heartbeatAt = now
	machine.lastHeartbeat++
	outcome := machine.compare(heartbeat)
	if outcome != Answered {
		machine.fullHeartbeat = slices.Clone(body)
		machine.fullHeartbeatNumber = machine.lastHeartbeat
	}
	token := max(h.firstToken, machine.token, heartbeat.Token)
	return wire.HeartbeatResponse{Token: token, Commands: machine.clearCommands()}, outcome
}

// compare compares a heartbeat with the last one, and records its tasks if the two differ.
func (hm *heldMachine) compare(heartbeat *wire.Heartbeat) Outcome {
	outcome := Answered
	newDigest := digest(heartbeat)
	if !hm.hasDigest || newDigest != hm.digest || heartbeat.NoticeS != nil {
		outcome = HeartbeatChanged
		hm.recordTasks(heartbeat)
	}
	if hm.hasUnacknowledgedTask() {
		outcome = LeaderRequired
	}
	if outcome != Answered {
		hm.digest = newDigest
		hm.hasDigest = true
	}
	return outcome
}

// recordTasks records the tasks in a heartbeat, with exited tasks in a list of their own.
func (hm *heldMachine) recordTasks(heartbeat *wire.Heartbeat) {
	hm.reportedExits = hm.reportedExits[:0]
	hm.tasks = hm.tasks[:0]
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		attempt := taskAttempt{task: status.Task, attempt: status.Attempt}
		if status.Phase == wire.TaskExited {
			hm.reportedExits = append(hm.reportedExits, attempt)
		} else {
			hm.tasks = append(hm.tasks, attempt)
		}
	}
}

// hasUnacknowledgedTask reports whether the last heartbeat has a task that the leader has
// not acknowledged.
func (hm *heldMachine) hasUnacknowledgedTask() bool {
	return slices.ContainsFunc(hm.tasks, func(attempt taskAttempt) bool { return !slices.Contains(hm.acknowledgedTasks, attempt) })
}

// acknowledge records that the leader has acknowledged the heartbeats up to a number.
func (hm *heldMachine) acknowledge(number uint64) {
	hm.acknowledgedHeartbeat = max(hm.acknowledgedHeartbeat, number)
	if hm.acknowledgedHeartbeat >= hm.fullHeartbeatNumber {
		hm.acknowledgedTasks = append(hm.acknowledgedTasks[:0], hm.tasks...)
	}
}

// recordSettledExits records exited tasks that the worker may clear. It ignores tasks that the
// last heartbeat does not show as exited: they have been cleared in the meantime, and the
// same attempt of a gang may have started again.
func (hm *heldMachine) recordSettledExits(commands []wire.Command) {
	for _, command := range commands {
		exit := taskAttempt{task: command.Task, attempt: command.Attempt}
		if slices.Contains(hm.reportedExits, exit) && !slices.Contains(hm.settledExits, exit) {
			hm.settledExits = append(hm.settledExits, exit)
		}
	}
}

// clearCommands returns commands that clear the settled exits that the worker still reports.
func (hm *heldMachine) clearCommands() []wire.Command {
	hm.settledExits = slices.DeleteFunc(hm.settledExits, func(exit taskAttempt) bool { return !slices.Contains(hm.reportedExits, exit) })
	commands := []wire.Command{}
	for _, exit := range hm.settledExits {
		commands = append(commands, wire.Command{Verb: wire.CommandClear, Task: exit.task, Attempt: exit.attempt})
	}
	return commands
}

// digest returns a hash of the fields of a heartbeat that the leader acts on. It leaves out
// the sequence number, so that heartbeats with the same content have the same digest.
func digest(heartbeat *wire.Heartbeat) uint64 {
	hash := xxhash.New()
	writeNumber := func(number uint64) {
		var encoded [8]byte
		binary.LittleEndian.PutUint64(encoded[:], number)
		_, _ = hash.Write(encoded[:]) // never fails
	}
	writeString := func(text string) {
		writeNumber(uint64(len(text)))
		_, _ = hash.WriteString(text) // never fails
	}
	writeNumber(heartbeat.Session)
	writeNumber(heartbeat.Token)
	writeString(heartbeat.Addr)
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		writeString(task.Task)
		writeNumber(task.Attempt)
		writeString(string(task.Phase))
		writeString(string(task.Cause))
		writeString(string(task.Health))
		if task.CheckpointSaved {
			writeNumber(1)
		}
	}
	return hash.Sum64()
}
