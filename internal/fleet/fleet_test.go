package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// testTerm is the term of the tests' leader, testToken its lowest fencing token.
const (
	testTerm  = 7 * wire.TokensPerTerm
	testToken = testTerm - wire.TokensPerTerm + 1
)

// ledgerFixture is a fleet with one machine and one job, which a test drives step by step.
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
	f.job.RegisteredMachines.Add(f.machine.Index)
	return f
}

// observe passes a message of the worker to the fleet. phases maps attempts of task 0 to
// their phases.
func (f *ledgerFixture) observe(isReport bool, session, seq, token uint64, phases map[uint64]wire.TaskPhase) ObserveResult {
	message := &wire.Heartbeat{Machine: "host-1", Session: session, Seq: seq, Token: token}
	for attempt, phase := range phases {
		status := wire.TaskStatus{Task: "run-1/0", Attempt: attempt, Phase: phase}
		if phase == wire.TaskExited {
			status.Cause = wire.CauseDone
		}
		message.Tasks = append(message.Tasks, status)
	}
	return f.fleet.Observe(f.machine, message, isReport, f.now, find(f))
}

// assign places an attempt of task 0 on the machine.
func (f *ledgerFixture) assign(attempt uint64) {
	f.fleet.Assign(f.machine, PlacementKey{f.job, 0, attempt}, f.now)
}

// compose returns the next commands for the machine and keeps the launched slots in f.sent.
func (f *ledgerFixture) compose(reportSeq uint64, allowLaunches bool) []wire.Command {
	commands, sent, _ := f.fleet.ComposeCommands(f.machine, reportSeq, allowLaunches, f.now, 100)
	f.sent = sent
	return commands
}

// checkLive checks the number of placements of task 0 that may be on a machine.
func (f *ledgerFixture) checkLive(want int, when string) {
	f.t.Helper()
	if got := f.job.Live[0]; got != want {
		f.t.Errorf("%s: %d placements may be on a machine, want %d", when, got, want)
	}
}

// checkCommands checks commands, written as verbs with attempt numbers: "launch 1;halt 2;".
func (f *ledgerFixture) checkCommands(commands []wire.Command, want string) {
	f.t.Helper()
	got := ""
	for _, command := range commands {
		got += fmt.Sprintf("%s %d;", command.Verb, command.Attempt)
	}
	if got != want {
		f.t.Errorf("commands %q, want %q", got, want)
	}
}

// ledgerTest is a test case of TestLedger and TestOneWayPartitions.
type ledgerTest struct {
	name string
	do   func(f *ledgerFixture)
}

// TestLedger checks which placements the ledger keeps for a machine until a message settles
// them. The numbers in the names are the points of docs/safety.md.
func TestLedger(t *testing.T) {
	tests := slices.Concat(ledgerLaunchTests(), ledgerDirectCommandTests(), ledgerHolderTests(), ledgerLeaseTests(), ledgerSessionTests(), ledgerTokenTests(), ledgerRestartTests(), ledgerCancelTests())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.do(newLedgerFixture(t)) })
	}
}

// ledgerLaunchTests returns tests of points 5 to 8: when a task is launched, and when its
// launch is settled.
func ledgerLaunchTests() []ledgerTest {
	runningTask := map[uint64]wire.TaskPhase{1: wire.TaskRunning}
	return []ledgerTest{
		{"5: a machine gets no launch until it is fenced", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken-1, nil)
			f.assign(1)
			f.checkCommands(f.compose(1, true), "")
			f.observe(true, 1, 2, testToken, nil)
			f.checkCommands(f.compose(2, true), "launch 1;")
		}},
		{"6: a machine gets no launch until its record names the job", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, nil)
			f.job.RegisteredMachines.Remove(f.machine.Index)
			f.assign(1)
			f.checkCommands(f.compose(1, true), "")
			f.checkCommands(f.compose(0, true), "")
			f.job.RegisteredMachines.Add(f.machine.Index)
			f.checkCommands(f.compose(0, true), "launch 1;")
		}},
		{"6: an inherited machine is unsettled until it is fenced", func(f *ledgerFixture) {
			f.machine.Inherited = true
			f.observe(true, 1, 1, testToken-1, runningTask)
			if len(f.fleet.SettleInherited()) != 1 {
				f.t.Error("SettleInherited settled a machine whose worker has not sent the current term")
			}
			f.observe(true, 1, 2, testToken, runningTask)
			if len(f.fleet.SettleInherited()) != 0 {
				f.t.Error("SettleInherited left a fenced machine unsettled")
			}
		}},
		{"7: an older report changes nothing", func(f *ledgerFixture) {
			f.observe(true, 1, 5, testToken, runningTask)
			if r := f.observe(true, 1, 4, testToken, nil); r.Fresh {
				f.t.Error("Observe reports an older report as fresh")
			}
			f.checkLive(1, "after an older report")
		}},
		{"8: the next report settles a launch that an answer carried", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, nil)
			f.assign(1)
			f.compose(1, true)
			f.observe(true, 1, 2, testToken, nil)
			f.checkLive(0, "after the next report")
		}},
	}
}

// ledgerDirectCommandTests returns tests of points 8 and 15: halts and direct launches.
func ledgerDirectCommandTests() []ledgerTest {
	runningTask := map[uint64]wire.TaskPhase{1: wire.TaskRunning}
	return []ledgerTest{
		{"15: while the task saves, only a halt without a grace period is repeated", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, runningTask)
			for s := range f.fleet.SlotsOf(f.job) {
				f.fleet.Stop(s, 5)
				f.checkCommands(f.compose(1, true), "halt 1;")
				f.observe(true, 1, 2, testToken, map[uint64]wire.TaskPhase{1: wire.TaskCheckpointing})
				f.now = f.now.Add(haltInterval)
				f.checkCommands(f.compose(2, true), "")
				f.fleet.Stop(s, 0) // its job is cancelled
			}
			for range 2 {
				f.checkCommands(f.compose(2, true), "halt 1;")
				f.now = f.now.Add(haltInterval)
			}
		}},
		{"8: the answer to a direct command does not settle a launch that an answer carried", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, nil)
			f.assign(1)
			f.compose(1, true)
			f.observe(false, 1, 2, testToken, nil)
			f.checkLive(1, "after the answer to a direct command overtook the launch")
			f.observe(true, 1, 3, testToken, runningTask)
			f.checkLive(1, "after a report lists the task")
		}},
		{"8: a lost direct launch is sent again, and its exit is cleared with a higher token", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, nil)
			f.assign(1)
			f.compose(0, true)
			f.observe(true, 1, 2, testToken, nil)
			f.checkCommands(f.compose(2, true), "")
			f.now = f.now.Add(launchResendDelay)
			f.observe(true, 1, 3, testToken, nil)
			f.checkCommands(f.compose(3, true), "launch 1;")
			f.observe(true, 1, 4, testToken, nil)
			f.checkCommands(f.compose(4, true), "")
			f.checkLive(1, "after a report without the task, because the second copy may be lost too")
			f.observe(true, 1, 5, testToken, map[uint64]wire.TaskPhase{1: wire.TaskExited})
			f.checkLive(0, "after a report lists the exit")
			for s := range f.fleet.SlotsOf(f.job) {
				s.Settled = true
			}
			f.checkToken(testToken)
			f.checkCommands(f.compose(5, true), "clear 1;")
			f.checkToken(testToken + 1)
			f.observe(true, 2, 1, testToken+1, nil)
			f.checkCommands(f.compose(1, true), "")
		}},
	}
}

// ledgerHolderTests returns tests of points 4, 8, 9 and 15: machines with a holder, and
// direct launches of tasks that have to be stopped.
func ledgerHolderTests() []ledgerTest {
	runningTask := map[uint64]wire.TaskPhase{1: wire.TaskRunning}
	return []ledgerTest{
		{"4, 9: a lease under a holder is judged as of its known answers, and afterwards as of its last possible answer", func(f *ledgerFixture) {
			holder := &Holder{Name: "n1", KnownUntil: f.now}
			f.observe(true, 1, 1, testToken, runningTask)
			f.fleet.SetHolder(f.machine, holder)
			f.now = f.now.Add(15 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(1, "15 s after the report, while the holder may have renewed the lease")
			holder.KnownUntil = f.now.Add(-10 * time.Second)
			f.fleet.RecordRenewal(f.machine, 1, 2, f.now.Add(-4*time.Second))
			f.machine.ClearHolder(f.now.Add(-time.Second))
			f.now = f.now.Add(9 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(1, "10 s after the last answer that the holder may have sent")
			f.now = f.now.Add(time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(0, "11 s after the last answer that the holder may have sent")
		}},
		{"8: an unchanged report to the holder settles a launch that an answer carried", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, nil)
			f.fleet.SetHolder(f.machine, &Holder{Name: "n1"})
			f.assign(1)
			f.compose(1, true)
			f.fleet.RecordRenewal(f.machine, 1, 1, f.now)
			f.checkLive(1, "after a duplicate of the answered report")
			f.fleet.RecordRenewal(f.machine, 1, 2, f.now)
			f.checkLive(0, "after the next report")
		}},
		{"8, 15: a lost launch of a task to be stopped is sent again with a halt, unless its job is cancelled", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, nil)
			f.assign(1)
			f.compose(0, true)
			for s := range f.fleet.SlotsOf(f.job) {
				f.fleet.Stop(s, 0)
			}
			f.now = f.now.Add(launchResendDelay)
			f.checkCommands(f.compose(1, true), "launch 1;halt 1;")
			f.now = f.now.Add(launchResendDelay)
			f.job.EndingPhase = wire.JobCancelled
			f.checkCommands(f.compose(1, true), "halt 1;")
		}},
	}
}

// ledgerLeaseTests returns tests of points 8 and 9: unanswered launches and the lease.
func ledgerLeaseTests() []ledgerTest {
	runningTask := map[uint64]wire.TaskPhase{1: wire.TaskRunning}
	return []ledgerTest{
		{"8: reports without the task do not settle an unanswered direct launch", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, nil)
			f.assign(1)
			f.checkCommands(f.compose(0, true), "launch 1;")
			f.observe(true, 1, 2, testToken, nil)
			f.observe(true, 1, 3, testToken, nil)
			f.checkLive(1, "after two reports")
			f.observe(true, 2, 1, testToken, nil)
			f.checkLive(0, "after a new session")
		}},
		{"8: a direct launch that was certainly not executed is removed", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, nil)
			f.assign(1)
			f.compose(0, true)
			f.fleet.RemoveUndelivered(f.sent)
			f.checkLive(0, "after a refused connection")
		}},
		{"9: the placements of a silent machine are removed when the lease with its margin expires, not earlier", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, runningTask)
			f.now = f.now.Add(10 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(1, "after the lease without its margin")
			f.now = f.now.Add(600 * time.Millisecond)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(0, "after the lease with its margin")
		}},
		{"9: a report that the answer to a direct command overtook renews the lease", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, runningTask)
			f.now = f.now.Add(8 * time.Second)
			f.observe(false, 1, 3, testToken, runningTask)
			f.observe(true, 1, 2, testToken, runningTask)
			f.now = f.now.Add(8 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(1, "8 s after the overtaken report")
		}},
		{"9: an answer to a direct command does not renew the lease", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, runningTask)
			f.now = f.now.Add(8 * time.Second)
			f.observe(false, 1, 2, testToken, runningTask)
			f.now = f.now.Add(3 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(0, "11 s after the only report")
		}},
	}
}

// ledgerSessionTests returns tests of points 9, 11 and 12: sessions, clear commands and
// machines that are returned to the cloud.
func ledgerSessionTests() []ledgerTest {
	runningTask := map[uint64]wire.TaskPhase{1: wire.TaskRunning}
	return []ledgerTest{
		{"9: the lease of a new session counts from its first message", func(f *ledgerFixture) {
			f.now = f.now.Add(9 * time.Second) // after a takeover, with direct commands only
			f.observe(false, 2, 1, testToken, nil)
			f.assign(1)
			f.compose(0, true)
			f.observe(false, 2, 2, testToken, runningTask)
			f.now = f.now.Add(5 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(1, "14 s after the takeover, 5 s after the first message of the session")
			f.now = f.now.Add(6 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(0, "11 s after the first message of the session")
		}},
		{"9: a delayed message of an expired session restores no placement", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, runningTask)
			f.now = f.now.Add(11 * time.Second)
			f.fleet.ExpireLeases(f.now)
			if r := f.observe(true, 1, 2, testToken, runningTask); r.Fresh {
				f.t.Error("Observe reports a message of an expired session as fresh")
			}
			f.checkLive(0, "after a message of the expired session")
		}},
		{"11: only an answer to a report clears an exit, and only once it is settled", func(f *ledgerFixture) {
			r := f.observe(true, 1, 1, testToken, map[uint64]wire.TaskPhase{1: wire.TaskExited})
			f.checkCommands(f.compose(1, true), "")
			r.Events[0].Slot.Settled = true
			f.checkCommands(f.compose(0, true), "")
			f.checkCommands(f.compose(1, true), "clear 1;")
		}},
		{"12: removing a machine removes its placements", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, runningTask)
			f.fleet.Remove(f.machine)
			f.checkLive(0, "after the removal")
		}},
	}
}

// ledgerCancelTests returns tests of point 15, cancelled jobs, and of later terms.
func ledgerCancelTests() []ledgerTest {
	runningTask := map[uint64]wire.TaskPhase{1: wire.TaskRunning}
	return []ledgerTest{
		{"15: a cancelled job gets no launch, and its halts are repeated", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, runningTask)
			f.fleet.Assign(f.machine, PlacementKey{f.job, 1, 1}, f.now)
			f.job.EndingPhase = wire.JobCancelled
			for _, s := range f.machine.Slots {
				f.fleet.Stop(s, 0)
			}
			f.checkCommands(f.compose(0, true), "halt 1;")
			f.checkCommands(f.compose(0, true), "")
			f.now = f.now.Add(2 * time.Second)
			f.checkCommands(f.compose(0, true), "halt 1;")
			// An answer to a report renews the lease, so each one repeats the halt.
			f.checkCommands(f.compose(1, true), "halt 1;")
			f.checkCommands(f.compose(1, true), "halt 1;")
		}},
		{"a worker that has seen a later term deposes the leader", func(f *ledgerFixture) {
			if r := f.observe(true, 1, 1, testTerm+1, runningTask); !r.Deposed {
				f.t.Error("a report with a later term did not depose the leader")
			}
			f.checkLive(0, "after a report with a later term")
		}},
	}
}

// find returns a lookup function that finds the fixture's job for any ID.
func find(f *ledgerFixture) func(string) *job.Job { return func(string) *job.Job { return f.job } }
