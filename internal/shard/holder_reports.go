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
	// NotHeld means that the machine is not in the share; the leader knows who holds it.
	NotHeld Outcome = iota
	// GrantExpired means that the machine is in the share, but the grant has ended or
	// does not cover the report. The report must not be answered with status 200: the
	// leader may have assigned the machine to another holder.
	GrantExpired
	// Answered means that the orders are the answer.
	Answered
	// ReportChanged means that the report differs from the one before. The worker waits
	// for the leader's answer; if none comes in time, the orders are the answer.
	ReportChanged
	// LeaderRequired means that the report shows a task that the leader has not
	// acknowledged. It may be of a cancelled job, which only an answer of the leader
	// halts: the holder gives none of its own.
	LeaderRequired
)

// placement names an attempt at a task on a machine.
type placement struct {
	task    string
	attempt uint64
}

// heldMachine is a machine of the share, with what its worker has reported.
type heldMachine struct {
	// dropped: the machine was taken away. It stays here until the leader has
	// acknowledged what it reported before.
	dropped bool

	session    uint64    // of the last report
	seq        uint64    // of the last report
	reportedAt time.Time // when the last report came
	digest     uint64    // of the last report
	hasDigest  bool      // there was a report since the machine was added

	// tasks are the tasks of the last report in full that have not exited, reportedExits
	// those that have.
	tasks         []placement
	reportedExits []placement
	// settledExits are the exits that the worker may forget.
	settledExits []placement
	// acknowledgedTasks are the tasks of the last report that the leader has acknowledged.
	acknowledgedTasks []placement

	// lastReport counts the reports; acknowledgedReport is the last one that the leader
	// has acknowledged.
	lastReport         uint64
	acknowledgedReport uint64
	// fullReport is the encoded report number fullReportAt, the last one that differs from
	// the one before. It is sent to the leader until that is acknowledged.
	fullReport   []byte
	fullReportAt uint64
}

// Report handles a report of a worker, whose encoded form is body. The orders of the
// answer are exits that the worker may forget. The leader's orders come by its answer
// to a report that has changed, or by direct commands.
func (h *Holder) Report(m *wire.Report, body []byte, now time.Time) ([]wire.Order, Outcome) {
	k := h.machines[m.Host]
	if k == nil || k.dropped {
		return nil, NotHeld
	}
	if !now.Before(h.grantUntil) || m.Token > h.term {
		return nil, GrantExpired
	}
	if m.Session < k.session || (m.Session == k.session && m.Seq <= k.seq) {
		// A delayed report. The answer to a newer one has renewed the lease already.
		return nil, GrantExpired
	}
	k.session = m.Session
	k.seq = m.Seq
	k.reportedAt = now
	k.lastReport++
	outcome := k.compare(m)
	if outcome != Answered {
		k.fullReport = slices.Clone(body)
		k.fullReportAt = k.lastReport
	}
	return k.clearOrders(), outcome
}

// compare compares a report with the one before, and records its tasks if they differ.
func (k *heldMachine) compare(m *wire.Report) Outcome {
	outcome := Answered
	d := digest(m)
	if !k.hasDigest || d != k.digest || m.Notice != nil {
		outcome = ReportChanged
		k.recordTasks(m)
	}
	if k.hasUnacknowledgedTask() {
		outcome = LeaderRequired
	}
	if outcome != Answered {
		k.digest = d
		k.hasDigest = true
	}
	return outcome
}

// recordTasks records the tasks and exits that a report shows.
func (k *heldMachine) recordTasks(m *wire.Report) {
	k.reportedExits = k.reportedExits[:0]
	k.tasks = k.tasks[:0]
	for i := range m.Tasks {
		t := &m.Tasks[i]
		p := placement{task: t.Task, attempt: t.Attempt}
		if t.Phase == wire.Exited {
			k.reportedExits = append(k.reportedExits, p)
		} else {
			k.tasks = append(k.tasks, p)
		}
	}
}

// hasUnacknowledgedTask reports whether the last report shows a task that the leader
// has not acknowledged.
func (k *heldMachine) hasUnacknowledgedTask() bool {
	return slices.ContainsFunc(k.tasks, func(t placement) bool { return !slices.Contains(k.acknowledgedTasks, t) })
}

// acknowledge notes that the leader has acknowledged the reports up to that number.
func (k *heldMachine) acknowledge(report uint64) {
	k.acknowledgedReport = max(k.acknowledgedReport, report)
	if k.acknowledgedReport >= k.fullReportAt {
		k.acknowledgedTasks = append(k.acknowledgedTasks[:0], k.tasks...)
	}
}

// settle notes exits that the worker may forget. One that the last report does not show
// is ignored: the exit has been cleared since, and the same attempt of a gang may have
// come back.
func (k *heldMachine) settle(clears []wire.Order) {
	for _, order := range clears {
		exit := placement{task: order.Task, attempt: order.Attempt}
		if slices.Contains(k.reportedExits, exit) && !slices.Contains(k.settledExits, exit) {
			k.settledExits = append(k.settledExits, exit)
		}
	}
}

// clearOrders are the orders to forget the settled exits that the worker still reports.
func (k *heldMachine) clearOrders() []wire.Order {
	k.settledExits = slices.DeleteFunc(k.settledExits, func(e placement) bool { return !slices.Contains(k.reportedExits, e) })
	orders := []wire.Order{}
	for _, exit := range k.settledExits {
		orders = append(orders, wire.Order{Op: wire.Clear, Task: exit.task, Attempt: exit.attempt})
	}
	return orders
}

// digest sums up what the leader acts on in a report. The number of the report is left
// out, so that two reports with the same digest say the same.
func digest(m *wire.Report) uint64 {
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
		writeString(t.Phase)
		writeString(t.Cause)
		writeString(t.Health)
		if t.Saved {
			writeNumber(1)
		}
	}
	return d.Sum64()
}
