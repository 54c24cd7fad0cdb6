package fleet

import (
	"slices"
	"testing"
	"time"

	"vetchstream/internal/wire"
)

// TestOneWayPartitions checks the ledger when only one direction between worker and
// controllers works, and when delayed duplicates of reports arrive. Which placements may be
// on the machine and whether it may get launches are checked separately. The numbers in the
// names are the points of docs/safety.md.
func TestOneWayPartitions(t *testing.T) {
	tests := slices.Concat(inboundCutLaunchTests(), inboundCutSessionTests(), duplicateReportTests(), newSessionTests())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.do(newLedgerFixture(t)) })
	}
}

// inboundCutLaunchTests returns tests of point 18: launches to a worker that receives no
// messages.
func inboundCutLaunchTests() []ledgerTest {
	return []ledgerTest{
		{"18: after an answer that the worker did not receive, the machine gets no launches and unsent ones are removed", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, nil)
			f.assign(1)
			f.compose(1, true)
			f.fleet.Assign(f.machine, PlacementKey{f.job, 1, 2}, f.now)
			f.observe(true, 1, 2, testToken, nil)
			f.checkLive(0, "after a report without the launched task")
			if f.job.Live[1] != 0 {
				f.t.Error("the unsent launch was not removed from the unreachable machine")
			}
			checkUsable(f, false, "after a report without the launched task")
		}},
		{"18: the answer to a direct command makes the machine usable again, a report does not", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, nil)
			f.assign(1)
			f.compose(1, true)
			f.observe(true, 1, 2, testToken, nil)
			f.observe(true, 1, 3, testToken, nil)
			checkUsable(f, false, "after a report, which does not show that the worker receives messages")
			f.observe(false, 1, 4, testToken, nil)
			checkUsable(f, true, "after the answer to a direct command")
		}},
		{"18: a report that lists a direct launch makes the machine usable again", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, nil)
			f.assign(1)
			f.compose(1, true)
			f.fleet.Assign(f.machine, PlacementKey{f.job, 1, 2}, f.now)
			f.compose(0, true)
			f.observe(true, 1, 2, testToken, nil)
			checkUsable(f, false, "after the worker did not receive an answer")
			message := &wire.Heartbeat{Machine: "host-1", Session: 1, Seq: 3, Token: testToken, Tasks: []wire.TaskStatus{{Task: "run-1/1", Attempt: 2, Phase: wire.TaskRunning}}}
			f.fleet.Observe(f.machine, message, true, f.now, find(f))
			checkUsable(f, true, "after a report that lists the direct launch")
		}},
	}
}

// inboundCutSessionTests returns tests of point 18: the placements of a machine whose
// inbound direction is cut, across sessions of its worker.
func inboundCutSessionTests() []ledgerTest {
	runningTask := map[uint64]wire.TaskPhase{1: wire.TaskRunning}
	return []ledgerTest{
		{"18: a session that ends although its reports were answered makes the machine unusable", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, runningTask)
			f.now = f.now.Add(8 * time.Second)
			f.observe(true, 1, 2, testToken, runningTask)
			f.now = f.now.Add(5 * time.Second)
			f.observe(true, 2, 3, testToken, nil)
			f.checkLive(0, "after a report of the next session")
			checkUsable(f, false, "after a report of the next session")
		}},
		{"18: while its reports are answered, a machine with a cut inbound direction keeps a direct launch until the session ends", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, nil)
			f.assign(1)
			f.compose(0, true)
			f.fleet.MarkInboundCut(f.machine, f.now)
			f.checkLive(1, "after a direct launch without an answer")
			f.now = f.now.Add(9 * time.Second)
			f.observe(true, 1, 2, testToken, nil)
			f.now = f.now.Add(9 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(1, "18 s after the launch, 9 s after a report was answered")
			f.observe(true, 2, 3, testToken, nil)
			f.checkLive(0, "after a report of the next session")
		}},
		{"18: an unanswered direct command makes the machine unusable until its next report", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, nil)
			f.machine.CallUnanswered = true
			checkUsable(f, false, "after a direct command without an answer")
			f.observe(true, 1, 2, testToken, nil)
			checkUsable(f, true, "after a report")
		}},
	}
}

// duplicateReportTests returns tests of points 9 and 19: delayed duplicates of reports.
func duplicateReportTests() []ledgerTest {
	runningTask := map[uint64]wire.TaskPhase{1: wire.TaskRunning}
	return []ledgerTest{
		{"19: a duplicate of a report does not renew the lease", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, runningTask)
			f.observe(true, 1, 2, testToken, runningTask)
			for range 3 {
				f.now = f.now.Add(4 * time.Second)
				f.observe(true, 1, 2, testToken, runningTask)
				f.observe(true, 1, 1, testToken, runningTask)
			}
			f.fleet.ExpireLeases(f.now)
			f.checkLive(0, "12 s after the last report, 0 s after its duplicate")
		}},
		{"19: a duplicate of a report to the holder does not renew the lease", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, runningTask)
			f.fleet.RecordRenewal(f.machine, 1, 2, f.now)
			f.now = f.now.Add(9 * time.Second)
			f.fleet.RecordRenewal(f.machine, 1, 2, f.now)
			f.now = f.now.Add(4 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(0, "13 s after the last report, 4 s after its duplicate")
		}},
		{"19: a new leader treats a duplicate as stale once it has received a newer report", func(f *ledgerFixture) {
			f.observe(true, 1, 9, testToken, nil)
			if !f.machine.Stale(1, 8) || f.machine.Stale(1, 10) || f.machine.Stale(2, 1) {
				f.t.Error("Stale misjudges an older report, a newer report or a report of a newer session")
			}
			f.observe(true, 1, 8, testToken, runningTask)
			f.checkLive(0, "after a duplicate that lists the task")
		}},
		{"9, 19: a report that the answer to a direct command overtook is not a duplicate", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, runningTask)
			f.observe(false, 1, 3, testToken, runningTask)
			f.now = f.now.Add(9 * time.Second)
			f.observe(true, 1, 2, testToken, runningTask)
			f.now = f.now.Add(5 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(1, "14 s after the first report, 5 s after the overtaken one")
		}},
	}
}

// newSessionTests returns tests of points 18, 19 and 21: a worker that has restarted.
func newSessionTests() []ledgerTest {
	runningTask := map[uint64]wire.TaskPhase{1: wire.TaskRunning}
	return []ledgerTest{
		{"21: a direct launch to a restarted worker may be on the machine for one lease", func(f *ledgerFixture) {
			f.observe(true, 1, 40, testToken, nil)
			f.now = f.now.Add(6 * time.Second)
			f.assign(1)
			f.compose(0, true)
			f.observe(false, 1, 1, testToken, runningTask) // the restarted worker counts from 1 again, so this is stale
			f.now = f.now.Add(6 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(1, "12 s after the last report, 6 s after the launch")
			f.now = f.now.Add(5 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(0, "11 s after the launch")
		}},
		{"18: a new session that only answers to direct commands show makes the machine unusable until a report arrives", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, nil)
			f.assign(1)
			f.compose(0, true)
			f.observe(false, 2, 2, testToken, nil)
			f.checkLive(0, "after a direct command is answered in a new session")
			checkUsable(f, false, "after a direct command is answered in a new session")
			f.observe(false, 2, 3, testToken, nil)
			f.observe(false, 3, 4, testToken, nil)
			checkUsable(f, false, "after a direct command is answered in a third session")
			if f.now = f.now.Add(time.Second); !f.machine.OutboundCutSince.Equal(f.now.Add(-time.Second)) {
				f.t.Error("OutboundCutSince is not the time of the first answer in a new session")
			}
			f.observe(true, 3, 5, testToken, nil)
			checkUsable(f, true, "after a report")
		}},
		{"18: a machine whose first message to a new leader answers a direct command is usable", func(f *ledgerFixture) {
			f.observe(false, 4, 9, testToken, nil)
			checkUsable(f, true, "after the first message")
		}},
		{"19: stale reports of a restarted worker do not renew the lease, and its next session is accepted", func(f *ledgerFixture) {
			f.observe(true, 1, 40, testToken, runningTask)
			f.now = f.now.Add(time.Second)
			for seq := range uint64(6) { // the restarted worker counts from 1 and has no tasks
				f.observe(true, 1, seq+1, 0, nil)
				f.now = f.now.Add(2 * time.Second)
			}
			f.fleet.ExpireLeases(f.now)
			f.checkLive(0, "after the lease of the known session")
			f.observe(true, 2, 7, 0, nil)
			if f.machine.Lost {
				f.t.Error("the machine is still lost after a report of a newer session")
			}
		}},
	}
}

// checkUsable checks whether the machine may get launches.
func checkUsable(f *ledgerFixture, want bool, when string) {
	f.t.Helper()
	if got := f.machine.Usable(); got != want {
		f.t.Errorf("%s: usable %v, want %v", when, got, want)
	}
}
