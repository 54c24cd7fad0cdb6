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
	tests := slices.Concat(inboundCutLaunchCases(), inboundCutSessionCases(), copyCases(), newSessionCases())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.do(newLedgerFixture(t)) })
	}
}

// inboundCutLaunchCases: point 18, launches to a worker that takes in nothing.
func inboundCutLaunchCases() []ledgerCase {
	return []ledgerCase{
		{"18: an answer that was not taken in: no more launches, the rest goes elsewhere", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, nil)
			b.assign(1)
			b.compose(1, true)
			b.fleet.Assign(b.host, Key{b.job, 1, 2}, b.now)
			b.msg(true, 1, 2, term, nil)
			b.live(0, "the launch did not arrive")
			if b.job.Live[1] != 0 {
				b.t.Error("what waited to be sent still waits for the deaf machine")
			}
			usable(b, false, "after the lost launch")
		}},
		{"18: it is used again once it has taken something in", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, nil)
			b.assign(1)
			b.compose(1, true)
			b.msg(true, 1, 2, term, nil)
			b.msg(true, 1, 3, term, nil)
			usable(b, false, "a report alone shows nothing")
			b.msg(false, 1, 4, term, nil)
			usable(b, true, "after its answer to a direct command")
		}},
		{"18: so does a launch that was thought lost", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, nil)
			b.assign(1)
			b.compose(1, true)
			b.fleet.Assign(b.host, Key{b.job, 1, 2}, b.now)
			b.compose(0, true)
			b.msg(true, 1, 2, term, nil)
			usable(b, false, "after the lost answer")
			m := &wire.Report{Host: "host-1", Session: 1, Seq: 3, Token: term, Tasks: []wire.TaskReport{{Task: "run-1/1", Attempt: 2, Phase: wire.Running}}}
			b.fleet.Observe(b.host, m, true, b.now, find(b))
			usable(b, true, "its report shows the direct launch")
		}},
	}
}

// inboundCutSessionCases: point 18, what may be on a deaf machine across sessions.
func inboundCutSessionCases() []ledgerCase {
	run := map[uint64]string{1: wire.Running}
	return []ledgerCase{
		{"18: a session that ends although its reports were answered", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, run)
			b.now = b.now.Add(8 * time.Second)
			b.msg(true, 1, 2, term, run)
			b.now = b.now.Add(5 * time.Second)
			b.msg(true, 2, 3, term, nil)
			b.live(0, "the session is over")
			usable(b, false, "in the new session")
		}},
		{"18: what may be on it goes by the answers, not by what it hears", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, nil)
			b.assign(1)
			b.compose(0, true)
			b.fleet.MarkInboundCut(b.host, b.now)
			b.live(1, "a direct launch without an answer")
			b.now = b.now.Add(9 * time.Second)
			b.msg(true, 1, 2, term, nil)
			b.now = b.now.Add(9 * time.Second)
			b.fleet.Expire(b.now)
			b.live(1, "18 s after the launch, 9 s after a report was answered")
			b.msg(true, 2, 3, term, nil)
			b.live(0, "after the session")
		}},
		{"18: a machine that hangs gets nothing until it is heard", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, nil)
			b.host.CallUnanswered = true
			usable(b, false, "after a direct command without an answer")
			b.msg(true, 1, 2, term, nil)
			usable(b, true, "after a report")
		}},
	}
}

// copyCases: points 9 and 19, copies of reports that come late.
func copyCases() []ledgerCase {
	run := map[uint64]string{1: wire.Running}
	return []ledgerCase{
		{"19: copies renew no lease", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, run)
			b.msg(true, 1, 2, term, run)
			for range 3 {
				b.now = b.now.Add(4 * time.Second)
				b.msg(true, 1, 2, term, run)
				b.msg(true, 1, 1, term, run)
			}
			b.fleet.Expire(b.now)
			b.live(0, "12 s after the last report, 0 s after its copy")
		}},
		{"19: nor do they through a holder", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, run)
			b.fleet.Renew(b.host, 1, 2, b.now)
			b.now = b.now.Add(9 * time.Second)
			b.fleet.Renew(b.host, 1, 2, b.now)
			b.now = b.now.Add(4 * time.Second)
			b.fleet.Expire(b.now)
			b.live(0, "13 s after the last report, 4 s after its copy")
		}},
		{"19: a copy at the next leader is the past once a report has come", func(b *ledgerFixture) {
			b.msg(true, 1, 9, term, nil)
			if !b.host.Stale(1, 8) || b.host.Stale(1, 10) || b.host.Stale(2, 1) {
				b.t.Error("the past is what is older than the newest report")
			}
			b.msg(true, 1, 8, term, run)
			b.live(0, "after a copy that shows the task")
		}},
		{"9, 19: a report that a direct answer overtook is no copy", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, run)
			b.msg(false, 1, 3, term, run)
			b.now = b.now.Add(9 * time.Second)
			b.msg(true, 1, 2, term, run)
			b.now = b.now.Add(5 * time.Second)
			b.fleet.Expire(b.now)
			b.live(1, "14 s after the first report, 5 s after the one that was overtaken")
		}},
	}
}

// newSessionCases: points 18, 19 and 21, a worker that began anew.
func newSessionCases() []ledgerCase {
	run := map[uint64]string{1: wire.Running}
	return []ledgerCase{
		{"21: what was sent directly to a machine that began anew is on it for a lease", func(b *ledgerFixture) {
			b.msg(true, 1, 40, term, nil)
			b.now = b.now.Add(6 * time.Second)
			b.assign(1)
			b.compose(0, true)
			b.msg(false, 1, 1, term, run) // its answer counts as old
			b.now = b.now.Add(6 * time.Second)
			b.fleet.Expire(b.now)
			b.live(1, "12 s after the last report, 6 s after the launch")
			b.now = b.now.Add(5 * time.Second)
			b.fleet.Expire(b.now)
			b.live(0, "11 s after the launch")
		}},
		{"18: a new session that only a direct answer tells of: mute until a report comes", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, nil)
			b.assign(1)
			b.compose(0, true)
			b.msg(false, 2, 2, term, nil)
			b.live(0, "its lease has run out")
			usable(b, false, "it lives and reaches nobody")
			b.msg(false, 2, 3, term, nil)
			b.msg(false, 3, 4, term, nil)
			usable(b, false, "another lease later")
			if b.now = b.now.Add(time.Second); !b.host.OutboundCutAt.Equal(b.now.Add(-time.Second)) {
				b.t.Error("counted from its second session")
			}
			b.msg(true, 3, 5, term, nil)
			usable(b, true, "a report came")
		}},
		{"18: at a new leader that meets it by a direct answer it is used at once", func(b *ledgerFixture) {
			b.msg(false, 4, 9, term, nil)
			usable(b, true, "its first message")
		}},
		{"19: a copy takes nothing of a machine that began anew", func(b *ledgerFixture) {
			b.msg(true, 1, 40, term, run)
			b.now = b.now.Add(time.Second)
			for seq := range uint64(6) { // it counts from the start, with nothing on it
				b.msg(true, 1, seq+1, 0, nil)
				b.now = b.now.Add(2 * time.Second)
			}
			b.fleet.Expire(b.now)
			b.live(0, "its tasks are given up with the lease of the session that is known")
			b.msg(true, 2, 7, 0, nil)
			if b.host.Lost {
				b.t.Error("shut out for good")
			}
		}},
	}
}

// usable checks whether the machine can be given work.
func usable(b *ledgerFixture, want bool, when string) {
	b.t.Helper()
	if got := b.host.Usable(); got != want {
		b.t.Errorf("%s: usable %v, want %v", when, got, want)
	}
}
