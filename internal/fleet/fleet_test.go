package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

const testTerm = 7

// ledgerFixture is a fleet with one machine and one job, driven step by step.
type ledgerFixture struct {
	t       *testing.T
	now     time.Time
	fleet   *Fleet
	machine *Machine
	job     *job.Job
	sent    []*Slot
}

func newLedgerFixture(t *testing.T) *ledgerFixture {
	now := time.Unix(1000, 0)
	spec := job.Spec{ID: "run-1", ShapeName: "array", PriorityName: "standard", Tasks: 4, CPUs: 1}
	f := &ledgerFixture{
		t:     t,
		now:   now,
		fleet: New(testTerm, 10*time.Second, 25*time.Second),
		job:   job.New(&job.Record{Spec: spec}, now),
	}
	f.machine = f.fleet.Add("host-1", now)
	f.machine.Described, f.machine.Registered, f.machine.Type, f.machine.Zone = true, true, 0, 0
	f.job.NotedMachines.Add(f.machine.Index)
	return f
}

// observe has the fleet observe a message of the worker; phases maps attempts of task 0
// to their phases.
func (f *ledgerFixture) observe(report bool, session, seq, token uint64, phases map[uint64]wire.TaskPhase) ObserveResult {
	m := &wire.Heartbeat{Host: "host-1", Session: session, Seq: seq, Token: token}
	for a, p := range phases {
		tr := wire.TaskStatus{Task: "run-1/0", Attempt: a, Phase: p}
		if p == wire.TaskExited {
			tr.Cause = wire.CauseDone
		}
		m.Tasks = append(m.Tasks, tr)
	}
	return f.fleet.Observe(f.machine, m, report, f.now, find(f))
}

// assign assigns an attempt of task 0 to the machine.
func (f *ledgerFixture) assign(attempt uint64) {
	f.fleet.Assign(f.machine, PlacementKey{f.job, 0, attempt}, f.now)
}

// compose makes the orders for the machine.
func (f *ledgerFixture) compose(seq uint64, launches bool) []wire.Command {
	o, sent, _ := f.fleet.ComposeOrders(f.machine, seq, launches, f.now, 100)
	f.sent = sent
	return o
}

// checkLive checks how many placements of task 0 may be on a machine.
func (f *ledgerFixture) checkLive(want int, when string) {
	f.t.Helper()
	if got := f.job.Live[0]; got != want {
		f.t.Errorf("%s: %d placements may be on a machine, want %d", when, got, want)
	}
}

// checkOrders checks orders, written as "launch 1;halt 2;" with the attempts.
func (f *ledgerFixture) checkOrders(o []wire.Command, want string) {
	f.t.Helper()
	got := ""
	for _, x := range o {
		got += fmt.Sprintf("%s %d;", x.Verb, x.Attempt)
	}
	if got != want {
		f.t.Errorf("orders %q, want %q", got, want)
	}
}

// ledgerTest is a case of TestLedger and TestOneWayPartitions.
type ledgerTest struct {
	name string
	do   func(f *ledgerFixture)
}

// TestLedger: which placements may be on a machine, up to the message that settles each.
// The numbers are the points of docs/safety.md.
func TestLedger(t *testing.T) {
	tests := slices.Concat(ledgerLaunchTests(), ledgerDirectCommandTests(), ledgerHolderTests(), ledgerLeaseTests(), ledgerSessionTests(), ledgerCancelTests())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.do(newLedgerFixture(t)) })
	}
}

// ledgerLaunchTests: points 5 to 8, what is launched, and when it is settled.
func ledgerLaunchTests() []ledgerTest {
	run := map[uint64]wire.TaskPhase{1: wire.TaskRunning}
	return []ledgerTest{
		{"5: nothing is launched on a machine that is not fenced", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm-1, nil)
			f.assign(1)
			f.checkOrders(f.compose(1, true), "")
			f.observe(true, 1, 2, testTerm, nil)
			f.checkOrders(f.compose(2, true), "launch 1;")
		}},
		{"6: nothing is launched before the job is noted for the machine", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, nil)
			f.job.NotedMachines.Remove(f.machine.Index)
			f.assign(1)
			f.checkOrders(f.compose(1, true), "")
			f.checkOrders(f.compose(0, true), "")
			f.job.NotedMachines.Add(f.machine.Index)
			f.checkOrders(f.compose(0, true), "launch 1;")
		}},
		{"6: a machine of an earlier leader is open until it is fenced or lost", func(f *ledgerFixture) {
			f.machine.Inherited = true
			f.observe(true, 1, 1, testTerm-1, run)
			if len(f.fleet.SettleInherited()) != 1 {
				f.t.Error("settled before it has seen the term")
			}
			f.observe(true, 1, 2, testTerm, run)
			if len(f.fleet.SettleInherited()) != 0 {
				f.t.Error("open although it is fenced")
			}
		}},
		{"7: an older message changes nothing and its answer has no launch", func(f *ledgerFixture) {
			f.observe(true, 1, 5, testTerm, run)
			if r := f.observe(true, 1, 4, testTerm, nil); r.Fresh {
				f.t.Error("an older report is fresh")
			}
			f.checkLive(1, "after an older report")
		}},
		{"8: a launch in an answer is settled by the next report", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, nil)
			f.assign(1)
			f.compose(1, true)
			f.observe(true, 1, 2, testTerm, nil)
			f.checkLive(0, "after the next report")
		}},
	}
}

// ledgerDirectCommandTests: points 8 and 15, halts and direct launches.
func ledgerDirectCommandTests() []ledgerTest {
	run := map[uint64]wire.TaskPhase{1: wire.TaskRunning}
	return []ledgerTest{
		{"15: a halt without grace is repeated also while the task saves, one with grace is not", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, run)
			for s := range f.fleet.SlotsOf(f.job) {
				f.fleet.Stop(s, 5)
				f.checkOrders(f.compose(1, true), "halt 1;")
				f.observe(true, 1, 2, testTerm, map[uint64]wire.TaskPhase{1: wire.TaskCheckpointing})
				f.now = f.now.Add(haltInterval)
				f.checkOrders(f.compose(2, true), "")
				f.fleet.Stop(s, 0) // its job is cancelled
			}
			for range 2 {
				f.checkOrders(f.compose(2, true), "halt 1;")
				f.now = f.now.Add(haltInterval)
			}
		}},
		{"8: the answer to a direct command does not settle it", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, nil)
			f.assign(1)
			f.compose(1, true)
			f.observe(false, 1, 2, testTerm, nil)
			f.checkLive(1, "after a direct answer that overtook it")
			f.observe(true, 1, 3, testTerm, run)
			f.checkLive(1, "once it is seen")
		}},
		{"8: a direct launch that was lost is sent once more, and its exit is not cleared", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, nil)
			f.assign(1)
			f.compose(0, true)
			f.observe(true, 1, 2, testTerm, nil)
			f.checkOrders(f.compose(2, true), "")
			f.now = f.now.Add(launchResendDelay)
			f.observe(true, 1, 3, testTerm, nil)
			f.checkOrders(f.compose(3, true), "launch 1;")
			f.observe(true, 1, 4, testTerm, nil)
			f.checkOrders(f.compose(4, true), "")
			f.checkLive(1, "the second copy may be lost too")
			f.observe(true, 1, 5, testTerm, map[uint64]wire.TaskPhase{1: wire.TaskExited})
			f.checkLive(0, "once its exit is seen")
			for s := range f.fleet.SlotsOf(f.job) {
				s.Settled = true
			}
			f.checkOrders(f.compose(5, true), "")
			f.observe(true, 2, 1, testTerm, nil)
			f.checkOrders(f.compose(1, true), "")
		}},
	}
}

// ledgerHolderTests: points 4, 8, 9 and 15, machines under a holder, and launches that have to go.
func ledgerHolderTests() []ledgerTest {
	run := map[uint64]wire.TaskPhase{1: wire.TaskRunning}
	return []ledgerTest{
		{"4, 9: a held machine is judged as of what its holder has told, and at its end as of the grant", func(f *ledgerFixture) {
			by := &Holder{Name: "n1", KnownUntil: f.now}
			f.observe(true, 1, 1, testTerm, run)
			f.fleet.SetHolder(f.machine, by)
			f.now = f.now.Add(15 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(1, "its holder may have renewed the lease since")
			by.KnownUntil = f.now.Add(-10 * time.Second)
			f.fleet.RecordRenewal(f.machine, 1, 2, f.now.Add(-4*time.Second))
			f.machine.ClearHolder(f.now.Add(-time.Second))
			f.now = f.now.Add(9 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(1, "within a lease of the grant's end")
			f.now = f.now.Add(time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(0, "beyond it")
		}},
		{"8: a launch in an answer of the holder's is settled by a report that says nothing new", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, nil)
			f.fleet.SetHolder(f.machine, &Holder{Name: "n1"})
			f.assign(1)
			f.compose(1, true)
			f.fleet.RecordRenewal(f.machine, 1, 1, f.now)
			f.checkLive(1, "the same report once more")
			f.fleet.RecordRenewal(f.machine, 1, 2, f.now)
			f.checkLive(0, "after the next report")
		}},
		{"8, 15: one that has to go is launched to be stopped, one of a cancelled job is not", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, nil)
			f.assign(1)
			f.compose(0, true)
			for s := range f.fleet.SlotsOf(f.job) {
				f.fleet.Stop(s, 0)
			}
			f.now = f.now.Add(launchResendDelay)
			f.checkOrders(f.compose(1, true), "launch 1;halt 1;")
			f.now = f.now.Add(launchResendDelay)
			f.job.Closing = wire.JobCancelled
			f.checkOrders(f.compose(1, true), "halt 1;")
		}},
	}
}

// ledgerLeaseTests: points 8 and 9, unanswered launches and the lease.
func ledgerLeaseTests() []ledgerTest {
	run := map[uint64]wire.TaskPhase{1: wire.TaskRunning}
	return []ledgerTest{
		{"8: an unanswered direct launch outlives reports without it", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, nil)
			f.assign(1)
			f.checkOrders(f.compose(0, true), "launch 1;")
			f.observe(true, 1, 2, testTerm, nil)
			f.observe(true, 1, 3, testTerm, nil)
			f.checkLive(1, "after two reports")
			f.observe(true, 2, 1, testTerm, nil)
			f.checkLive(0, "after a new session")
		}},
		{"8: a direct launch that was certainly not sent is gone", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, nil)
			f.assign(1)
			f.compose(0, true)
			f.fleet.RemoveUndelivered(f.sent)
			f.checkLive(0, "after a refused connection")
		}},
		{"9: the lease ends what is on a silent machine, and not a moment earlier", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, run)
			f.now = f.now.Add(10 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(1, "at the bare lease")
			f.now = f.now.Add(600 * time.Millisecond)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(0, "after the margin")
		}},
		{"9: an older report renews the lease too, when a direct answer overtook it", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, run)
			f.now = f.now.Add(8 * time.Second)
			f.observe(false, 1, 3, testTerm, run)
			f.observe(true, 1, 2, testTerm, run)
			f.now = f.now.Add(8 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(1, "8 s after the overtaken report")
		}},
		{"9: direct answers do not renew the lease", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, run)
			f.now = f.now.Add(8 * time.Second)
			f.observe(false, 1, 2, testTerm, run)
			f.now = f.now.Add(3 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(0, "11 s after the only report")
		}},
	}
}

// ledgerSessionTests: points 9, 11 and 12, sessions, clears and released machines.
func ledgerSessionTests() []ledgerTest {
	run := map[uint64]wire.TaskPhase{1: wire.TaskRunning}
	return []ledgerTest{
		{"9: a new session has its lease from its own begin", func(f *ledgerFixture) {
			f.now = f.now.Add(9 * time.Second) // after a takeover, by a direct command only
			f.observe(false, 2, 1, testTerm, nil)
			f.assign(1)
			f.compose(0, true)
			f.observe(false, 2, 2, testTerm, run)
			f.now = f.now.Add(5 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(1, "14 s after the takeover, 5 s after the session was met")
			f.now = f.now.Add(6 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(0, "11 s after the session was met")
		}},
		{"9: a held message of a dead session does not come back", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, run)
			f.now = f.now.Add(11 * time.Second)
			f.fleet.ExpireLeases(f.now)
			if r := f.observe(true, 1, 2, testTerm, run); r.Fresh {
				f.t.Error("a dead session is fresh")
			}
			f.checkLive(0, "after a message of the dead session")
		}},
		{"11: clear is sent once the exit is settled", func(f *ledgerFixture) {
			r := f.observe(true, 1, 1, testTerm, map[uint64]wire.TaskPhase{1: wire.TaskExited})
			f.checkOrders(f.compose(1, true), "")
			r.Events[0].Slot.Settled = true
			f.checkOrders(f.compose(0, true), "")
			f.checkOrders(f.compose(1, true), "clear 1;")
		}},
		{"12: a released machine takes everything with it", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, run)
			f.fleet.Remove(f.machine)
			f.checkLive(0, "after the release")
		}},
	}
}

// ledgerCancelTests: point 15 and terms, aborts and later leaders.
func ledgerCancelTests() []ledgerTest {
	run := map[uint64]wire.TaskPhase{1: wire.TaskRunning}
	return []ledgerTest{
		{"15: nothing is launched once an abort was sent, halts are repeated", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, run)
			f.fleet.Assign(f.machine, PlacementKey{f.job, 1, 1}, f.now)
			f.job.Closing = wire.JobCancelled
			for _, s := range f.machine.Slots {
				f.fleet.Stop(s, 0)
			}
			f.checkOrders(f.compose(0, true), "halt 1;")
			f.checkOrders(f.compose(0, true), "")
			f.now = f.now.Add(2 * time.Second)
			f.checkOrders(f.compose(0, true), "halt 1;")
			// What renews the lease halts each time.
			f.checkOrders(f.compose(1, true), "halt 1;")
			f.checkOrders(f.compose(1, true), "halt 1;")
		}},
		{"a worker that has seen a later term deposes the leader", func(f *ledgerFixture) {
			if r := f.observe(true, 1, 1, testTerm+1, run); !r.Deposed {
				f.t.Error("not deposed")
			}
			f.checkLive(0, "after a message of a later term")
		}},
	}
}

func find(f *ledgerFixture) func(string) *job.Job { return func(string) *job.Job { return f.job } }
