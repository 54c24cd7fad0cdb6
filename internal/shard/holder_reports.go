package shard

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"vetchstream/internal/wire"
)

// Outcome says what a holder does with a report.
type Outcome uint8

const (
	// NotHeld means that the machine is not in the shard; the leader knows who holds it.
	NotHeld Outcome = iota
	// GrantExpired means that the machine is in the shard, but the grant has ended or
	// does not cover the report. The report must not be answered with status 200: the
	// leader may have assigned the machine to another holder.
	GrantExpired
	// Answered means that the orders are the answer.
	Answered
	// HeartbeatChanged means that the report differs from the one before. The worker waits
	// for the leader's answer; if none comes in time, the orders are the answer.
	HeartbeatChanged
	// LeaderRequired means that the report shows a task that the leader has not
	// acknowledged. It may be of a cancelled job, which only an answer of the leader
	// halts: the holder gives none of its own.
	LeaderRequired
)

// taskAttempt names an attempt at a task on a machine.
type taskAttempt struct {
	task    string
	attempt uint64
}

// heldMachine is a machine of the shard, with what its worker has reported.
type heldMachine struct {
	// dropped: the machine was taken away. It stays here until the leader has
	// acknowledged what it reported before.
	dropped bool

	session     uint64    // of the last report
	seq         uint64    // of the last report
	heartbeatAt time.Time // when the last report came
	digest      uint64    // of the last report
	hasDigest   bool      // there was a report since the machine was added

	// tasks are the tasks of the last report in full that have not exited, reportedExits
	// those that have.
	tasks         []taskAttempt
	reportedExits []taskAttempt
	// settledExits are the exits that the worker may forget.
	settledExits []taskAttempt
	// acknowledgedTasks are the tasks of the last report that the leader has acknowledged.
	acknowledgedTasks []taskAttempt

	// lastHeartbeat counts the reports; acknowledgedReport is the last one that the leader
	// has acknowledged.
	lastHeartbeat         uint64
	acknowledgedHeartbeat uint64
	// fullHeartbeat is the encoded report number fullReportAt, the last one that differs from
	// the one before. It is sent to the leader until that is acknowledged.
	fullHeartbeat       []byte
	fullHeartbeatNumber uint64
}

// HandleHeartbeat handles a report of a worker, whose encoded form is body. The orders of the
// answer are exits that the worker may forget. The leader's orders come by its answer
// to a report that has changed, or by direct commands.
func (h *Holder) HandleHeartbeat(m *wire.Heartbeat, body []byte, now time.Time) ([]wire.Command, Outcome) {
	hm := h.machines[m.Machine]
	if hm == nil || hm.dropped {
		return nil, NotHeld
	}
	if !now.Before(h.grantUntil) || m.Token > h.term {
		return nil, GrantExpired
	}
	if m.Session < hm.session || (m.Session == hm.session && m.Seq <= hm.seq) {
		// A delayed report. The answer to a newer one has renewed the lease already.
		return nil, GrantExpired
	}
	hm.session = m.Session
	hm.seq = m.Seq
	hm.heartbeatAt = now
	hm.lastHeartbeat++
	outcome := hm.compare(m)
	if outcome != Answered {
		hm.fullHeartbeat = slices.Clone(body)
		hm.fullHeartbeatNumber = hm.lastHeartbeat
	}
	return hm.clearCommands(), outcome
}

// compare compares a report with the one before, and records its tasks if they differ.
func (hm *heldMachine) compare(m *wire.Heartbeat) Outcome {
	outcome := Answered
	d := digest(m)
	if !hm.hasDigest || d != hm.digest || m.NoticeS != nil {
		outcome = HeartbeatChanged
		hm.recordTasks(m)
	}
	if hm.hasUnacknowledgedTask() {
		outcome = LeaderRequired
	}
	if outcome != Answered {
		hm.digest = d
		hm.hasDigest = true
	}
	return outcome
}

// recordTasks records the tasks and exits that a report shows.
func (hm *heldMachine) recordTasks(m *wire.Heartbeat) {
	hm.reportedExits = hm.reportedExits[:0]
	hm.tasks = hm.tasks[:0]
	for i := range m.Tasks {
		t := &m.Tasks[i]
		p := taskAttempt{task: t.Task, attempt: t.Attempt}
		if t.Phase == wire.TaskExited {
			hm.reportedExits = append(hm.reportedExits, p)
		} else {
			hm.tasks = append(hm.tasks, p)
		}
	}
}

// hasUnacknowledgedTask reports whether the last report shows a task that the leader
// has not acknowledged.
func (hm *heldMachine) hasUnacknowledgedTask() bool {
	return slices.ContainsFunc(hm.tasks, func(t taskAttempt) bool { return !slices.Contains(hm.acknowledgedTasks, t) })
}

// acknowledge notes that the leader has acknowledged the reports up to that number.
func (hm *heldMachine) acknowledge(report uint64) {
	hm.acknowledgedHeartbeat = max(hm.acknowledgedHeartbeat, report)
	if hm.acknowledgedHeartbeat >= hm.fullHeartbeatNumber {
		hm.acknowledgedTasks = append(hm.acknowledgedTasks[:0], hm.tasks...)
	}
}

// recordSettledExits notes exits that the worker may forget. One that the last report does not show
// is ignored: the exit has been cleared since, and the same attempt of a gang may have
// come back.
func (hm *heldMachine) recordSettledExits(clears []wire.Command) {
	for _, order := range clears {
		exit := taskAttempt{task: order.Task, attempt: order.Attempt}
		if slices.Contains(hm.reportedExits, exit) && !slices.Contains(hm.settledExits, exit) {
			hm.settledExits = append(hm.settledExits, exit)
		}
	}
}

// clearCommands are the orders to forget the settled exits that the worker still reports.
func (hm *heldMachine) clearCommands() []wire.Command {
	hm.settledExits = slices.DeleteFunc(hm.settledExits, func(e taskAttempt) bool { return !slices.Contains(hm.reportedExits, e) })
	orders := []wire.Command{}
	for _, exit := range hm.settledExits {
		orders = append(orders, wire.Command{Verb: wire.CommandClear, Task: exit.task, Attempt: exit.attempt})
	}
	return orders
}

// digest sums up what the leader acts on in a report. The number of the report is left
// out, so that two reports with the same digest say the same.
func digest(m *wire.Heartbeat) uint64 {
	d := xxhash.New()
	writeNumber := func(n uint64) {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], n)
		_, _ = d.Write(b[:]) // never fails
	}
	writeString := func(s string) {
		writeNumber(uint64(len(s)))
		_, _ = d.WriteString(s) // never fails
	}
	writeNumber(m.Session)
	writeNumber(m.Token)
	writeString(m.Addr)
	for i := range m.Tasks {
		t := &m.Tasks[i]
		writeString(t.Task)
		writeNumber(t.Attempt)
		writeString(string(t.Phase))
		writeString(string(t.Cause))
		writeString(string(t.Health))
		if t.CheckpointSaved {
			writeNumber(1)
		}
	}
	return d.Sum64()
}
