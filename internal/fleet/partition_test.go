package fleet

import (
	"slices"
	"testing"
	"time"

	"vetchstream/internal/wire"
)

// TestOneWayPartitions: a worker whose reports arrive while it receives nothing, and
// copies of its reports that come late. What may be on the machine, and whether it
// can be used, are different questions. The numbers are the points of
// docs/safety.md.
func TestOneWayPartitions(t *testing.T) {
	tests := slices.Concat(inboundCutLaunchTests(), inboundCutSessionTests(), duplicateReportTests(), newSessionTests())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.do(newLedgerFixture(t)) })
	}
}

// inboundCutLaunchTests: point 18, launches to a worker that receives nothing.
func inboundCutLaunchTests() []ledgerTest {
	return []ledgerTest{
		{"18: an answer that was not taken in: no more launches, the rest goes elsewhere", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, nil)
			f.assign(1)
			f.compose(1, true)
			f.fleet.Assign(f.machine, PlacementKey{f.job, 1, 2}, f.now)
			f.observe(true, 1, 2, testTerm, nil)
			f.checkLive(0, "the launch did not arrive")
			if f.job.Live[1] != 0 {
				f.t.Error("what waited to be sent still waits for the unreachable machine")
			}
			checkUsable(f, false, "after the lost launch")
		}},
		{"18: it is used again once it has taken something in", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, nil)
			f.assign(1)
			f.compose(1, true)
			f.observe(true, 1, 2, testTerm, nil)
			f.observe(true, 1, 3, testTerm, nil)
			checkUsable(f, false, "a report alone shows nothing")
			f.observe(false, 1, 4, testTerm, nil)
			checkUsable(f, true, "after its answer to a direct command")
		}},
		{"18: so does a launch that was thought lost", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, nil)
			f.assign(1)
			f.compose(1, true)
			f.fleet.Assign(f.machine, PlacementKey{f.job, 1, 2}, f.now)
			f.compose(0, true)
			f.observe(true, 1, 2, testTerm, nil)
			checkUsable(f, false, "after the lost answer")
			m := &wire.Heartbeat{Host: "host-1", Session: 1, Seq: 3, Token: testTerm, Tasks: []wire.TaskStatus{{Task: "run-1/1", Attempt: 2, Phase: wire.TaskRunning}}}
			f.fleet.Observe(f.machine, m, true, f.now, find(f))
			checkUsable(f, true, "its report shows the direct launch")
		}},
	}
}

// inboundCutSessionTests: point 18, what may be on a machine whose inbound direction is
// cut, across sessions.
func inboundCutSessionTests() []ledgerTest {
	run := map[uint64]wire.TaskPhase{1: wire.TaskRunning}
	return []ledgerTest{
		{"18: a session that ends although its reports were answered", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, run)
			f.now = f.now.Add(8 * time.Second)
			f.observe(true, 1, 2, testTerm, run)
			f.now = f.now.Add(5 * time.Second)
			f.observe(true, 2, 3, testTerm, nil)
			f.checkLive(0, "the session is over")
			checkUsable(f, false, "in the new session")
		}},
		{"18: what may be on it goes by the answers, not by what it hears", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, nil)
			f.assign(1)
			f.compose(0, true)
			f.fleet.MarkInboundCut(f.machine, f.now)
			f.checkLive(1, "a direct launch without an answer")
			f.now = f.now.Add(9 * time.Second)
			f.observe(true, 1, 2, testTerm, nil)
			f.now = f.now.Add(9 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(1, "18 s after the launch, 9 s after a report was answered")
			f.observe(true, 2, 3, testTerm, nil)
			f.checkLive(0, "after the session")
		}},
		{"18: a machine that hangs gets nothing until it is heard", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, nil)
			f.machine.CallUnanswered = true
			checkUsable(f, false, "after a direct command without an answer")
			f.observe(true, 1, 2, testTerm, nil)
			checkUsable(f, true, "after a report")
		}},
	}
}

// duplicateReportTests: points 9 and 19, copies of reports that come late.
func duplicateReportTests() []ledgerTest {
	run := map[uint64]wire.TaskPhase{1: wire.TaskRunning}
	return []ledgerTest{
		{"19: copies renew no lease", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, run)
			f.observe(true, 1, 2, testTerm, run)
			for range 3 {
				f.now = f.now.Add(4 * time.Second)
				f.observe(true, 1, 2, testTerm, run)
				f.observe(true, 1, 1, testTerm, run)
			}
			f.fleet.ExpireLeases(f.now)
			f.checkLive(0, "12 s after the last report, 0 s after its copy")
		}},
		{"19: nor do they through a holder", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, run)
			f.fleet.RecordRenewal(f.machine, 1, 2, f.now)
			f.now = f.now.Add(9 * time.Second)
			f.fleet.RecordRenewal(f.machine, 1, 2, f.now)
			f.now = f.now.Add(4 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(0, "13 s after the last report, 4 s after its copy")
		}},
		{"19: a copy at the next leader is the past once a report has come", func(f *ledgerFixture) {
			f.observe(true, 1, 9, testTerm, nil)
			if !f.machine.Stale(1, 8) || f.machine.Stale(1, 10) || f.machine.Stale(2, 1) {
				f.t.Error("the past is what is older than the newest report")
			}
			f.observe(true, 1, 8, testTerm, run)
			f.checkLive(0, "after a copy that shows the task")
		}},
		{"9, 19: a report that a direct answer overtook is no copy", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, run)
			f.observe(false, 1, 3, testTerm, run)
			f.now = f.now.Add(9 * time.Second)
			f.observe(true, 1, 2, testTerm, run)
			f.now = f.now.Add(5 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(1, "14 s after the first report, 5 s after the one that was overtaken")
		}},
	}
}

// newSessionTests: points 18, 19 and 21, a worker that began anew.
func newSessionTests() []ledgerTest {
	run := map[uint64]wire.TaskPhase{1: wire.TaskRunning}
	return []ledgerTest{
		{"21: what was sent directly to a machine that began anew is on it for a lease", func(f *ledgerFixture) {
			f.observe(true, 1, 40, testTerm, nil)
			f.now = f.now.Add(6 * time.Second)
			f.assign(1)
			f.compose(0, true)
			f.observe(false, 1, 1, testTerm, run) // its answer counts as old
			f.now = f.now.Add(6 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(1, "12 s after the last report, 6 s after the launch")
			f.now = f.now.Add(5 * time.Second)
			f.fleet.ExpireLeases(f.now)
			f.checkLive(0, "11 s after the launch")
		}},
		{"18: a new session that only a direct answer tells of: mute until a report comes", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, nil)
			f.assign(1)
			f.compose(0, true)
			f.observe(false, 2, 2, testTerm, nil)
			f.checkLive(0, "its lease has run out")
			checkUsable(f, false, "it lives and reaches nobody")
			f.observe(false, 2, 3, testTerm, nil)
			f.observe(false, 3, 4, testTerm, nil)
			checkUsable(f, false, "another lease later")
			if f.now = f.now.Add(time.Second); !f.machine.OutboundCutSince.Equal(f.now.Add(-time.Second)) {
				f.t.Error("counted from its second session")
			}
			f.observe(true, 3, 5, testTerm, nil)
			checkUsable(f, true, "a report came")
		}},
		{"18: at a new leader that meets it by a direct answer it is used at once", func(f *ledgerFixture) {
			f.observe(false, 4, 9, testTerm, nil)
			checkUsable(f, true, "its first message")
		}},
		{"19: a copy takes nothing of a machine that began anew", func(f *ledgerFixture) {
			f.observe(true, 1, 40, testTerm, run)
			f.now = f.now.Add(time.Second)
			for seq := range uint64(6) { // it counts from the start, with nothing on it
				f.observe(true, 1, seq+1, 0, nil)
				f.now = f.now.Add(2 * time.Second)
			}
			f.fleet.ExpireLeases(f.now)
			f.checkLive(0, "its tasks are given up with the lease of the session that is known")
			f.observe(true, 2, 7, 0, nil)
			if f.machine.Lost {
				f.t.Error("shut out for good")
			}
		}},
	}
}

// checkUsable checks whether the machine can be given work.
func checkUsable(f *ledgerFixture, want bool, when string) {
	f.t.Helper()
	if got := f.machine.Usable(); got != want {
		f.t.Errorf("%s: usable %v, want %v", when, got, want)
	}
}
