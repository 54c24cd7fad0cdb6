package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

const term = 7

// ledgerFixture is a fleet with one machine and one job, driven step by step.
type ledgerFixture struct {
	t     *testing.T
	now   time.Time
	fleet *Fleet
	host  *Host
	job   *job.Job
	sent  []*Slot
}

func newLedgerFixture(t *testing.T) *ledgerFixture {
	now := time.Unix(1000, 0)
	b := &ledgerFixture{t: t, now: now, fleet: New(term, 10*time.Second, 25*time.Second),
		job: job.New(&job.Record{Spec: job.Spec{ID: "run-1", ShapeName: "array", PriorityName: "standard", Tasks: 4, CPUs: 1}}, now)}
	b.host = b.fleet.Add("host-1", now)
	b.host.Known, b.host.Durable, b.host.Type, b.host.Zone = true, true, 0, 0
	b.job.NotedMachines.Add(b.host.Index)
	return b
}

// msg lets the worker speak; phases maps attempts of task 0 to their phases.
func (b *ledgerFixture) msg(report bool, session, seq, token uint64, phases map[uint64]string) Result {
	m := &wire.Report{Host: "host-1", Session: session, Seq: seq, Token: token}
	for a, p := range phases {
		tr := wire.TaskReport{Task: "run-1/0", Attempt: a, Phase: p}
		if p == wire.Exited {
			tr.Cause = wire.CauseDone
		}
		m.Tasks = append(m.Tasks, tr)
	}
	return b.fleet.Observe(b.host, m, report, b.now, find(b))
}

func (b *ledgerFixture) assign(attempt uint64) { b.fleet.Assign(b.host, Key{b.job, 0, attempt}, b.now) }

func (b *ledgerFixture) compose(seq uint64, launches bool) []wire.Order {
	o, sent, _ := b.fleet.ComposeOrders(b.host, seq, launches, b.now, 100)
	b.sent = sent
	return o
}

func (b *ledgerFixture) live(want int, when string) {
	b.t.Helper()
	if got := b.job.Live[0]; got != want {
		b.t.Errorf("%s: %d placements may be on a machine, want %d", when, got, want)
	}
}

func (b *ledgerFixture) orders(o []wire.Order, want string) {
	b.t.Helper()
	got := ""
	for _, x := range o {
		got += fmt.Sprintf("%s %d;", x.Op, x.Attempt)
	}
	if got != want {
		b.t.Errorf("orders %q, want %q", got, want)
	}
}

// ledgerCase is a case of TestLedger and TestOneWayPartitions.
type ledgerCase struct {
	name string
	do   func(b *ledgerFixture)
}

// TestLedger holds what may be on a machine through the messages that settle it.
// The numbers are the points of docs/safety.md.
func TestLedger(t *testing.T) {
	tests := slices.Concat(ledgerLaunchCases(), ledgerDirectCases(), ledgerHolderCases(), ledgerLeaseCases(), ledgerSessionCases(), ledgerAbortCases())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.do(newLedgerFixture(t)) })
	}
}

// ledgerLaunchCases: points 5 to 8, what is launched, and when it is settled.
func ledgerLaunchCases() []ledgerCase {
	run := map[uint64]string{1: wire.Running}
	return []ledgerCase{
		{"5: nothing is launched on a machine that is not fenced", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term-1, nil)
			b.assign(1)
			b.orders(b.compose(1, true), "")
			b.msg(true, 1, 2, term, nil)
			b.orders(b.compose(2, true), "launch 1;")
		}},
		{"6: nothing is launched before the job is noted for the machine", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, nil)
			b.job.NotedMachines.Remove(b.host.Index)
			b.assign(1)
			b.orders(b.compose(1, true), "")
			b.orders(b.compose(0, true), "")
			b.job.NotedMachines.Add(b.host.Index)
			b.orders(b.compose(0, true), "launch 1;")
		}},
		{"6: a machine of an earlier leader is open until it is fenced or lost", func(b *ledgerFixture) {
			b.host.Inherited = true
			b.msg(true, 1, 1, term-1, run)
			if len(b.fleet.SettleInherited()) != 1 {
				b.t.Error("settled before it has seen the term")
			}
			b.msg(true, 1, 2, term, run)
			if len(b.fleet.SettleInherited()) != 0 {
				b.t.Error("open although it is fenced")
			}
		}},
		{"7: an older message changes nothing and its answer has no launch", func(b *ledgerFixture) {
			b.msg(true, 1, 5, term, run)
			if r := b.msg(true, 1, 4, term, nil); r.Fresh {
				b.t.Error("an older report is fresh")
			}
			b.live(1, "after an older report")
		}},
		{"8: a launch in an answer is settled by the next report", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, nil)
			b.assign(1)
			b.compose(1, true)
			b.msg(true, 1, 2, term, nil)
			b.live(0, "after the next report")
		}},
	}
}

// ledgerDirectCases: points 8 and 15, halts and direct launches.
func ledgerDirectCases() []ledgerCase {
	run := map[uint64]string{1: wire.Running}
	return []ledgerCase{
		{"15: a halt without grace is repeated also while the task saves, one with grace is not", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, run)
			for s := range b.fleet.SlotsOf(b.job) {
				b.fleet.Stop(s, 5)
				b.orders(b.compose(1, true), "halt 1;")
				b.msg(true, 1, 2, term, map[uint64]string{1: wire.Saving})
				b.now = b.now.Add(haltInterval)
				b.orders(b.compose(2, true), "")
				b.fleet.Stop(s, 0) // its job is cancelled
			}
			for range 2 {
				b.orders(b.compose(2, true), "halt 1;")
				b.now = b.now.Add(haltInterval)
			}
		}},
		{"8: the answer to a direct command does not settle it", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, nil)
			b.assign(1)
			b.compose(1, true)
			b.msg(false, 1, 2, term, nil)
			b.live(1, "after a direct answer that overtook it")
			b.msg(true, 1, 3, term, run)
			b.live(1, "once it is seen")
		}},
		{"8: a direct launch that was lost is sent once more, and its exit is not cleared", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, nil)
			b.assign(1)
			b.compose(0, true)
			b.msg(true, 1, 2, term, nil)
			b.orders(b.compose(2, true), "")
			b.now = b.now.Add(resendAfter)
			b.msg(true, 1, 3, term, nil)
			b.orders(b.compose(3, true), "launch 1;")
			b.msg(true, 1, 4, term, nil)
			b.orders(b.compose(4, true), "")
			b.live(1, "the second copy may be lost too")
			b.msg(true, 1, 5, term, map[uint64]string{1: wire.Exited})
			b.live(0, "once its exit is seen")
			for s := range b.fleet.SlotsOf(b.job) {
				s.Settled = true
			}
			b.orders(b.compose(5, true), "")
			b.msg(true, 2, 1, term, nil)
			b.orders(b.compose(1, true), "")
		}},
	}
}

// ledgerHolderCases: points 4, 8, 9 and 15, machines under a holder, and launches that have to go.
func ledgerHolderCases() []ledgerCase {
	run := map[uint64]string{1: wire.Running}
	return []ledgerCase{
		{"4, 9: a held machine is judged as of what its holder has told, and at its end as of the grant", func(b *ledgerFixture) {
			by := &Holder{Name: "n1", KnownUntil: b.now}
			b.msg(true, 1, 1, term, run)
			b.fleet.SetHolder(b.host, by)
			b.now = b.now.Add(15 * time.Second)
			b.fleet.Expire(b.now)
			b.live(1, "its holder may have renewed the lease since")
			by.KnownUntil = b.now.Add(-10 * time.Second)
			b.fleet.Renew(b.host, 1, 2, b.now.Add(-4*time.Second))
			b.host.ClearHolder(b.now.Add(-time.Second))
			b.now = b.now.Add(9 * time.Second)
			b.fleet.Expire(b.now)
			b.live(1, "within a lease of the grant's end")
			b.now = b.now.Add(time.Second)
			b.fleet.Expire(b.now)
			b.live(0, "beyond it")
		}},
		{"8: a launch in an answer of the holder's is settled by a report that says nothing new", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, nil)
			b.fleet.SetHolder(b.host, &Holder{Name: "n1"})
			b.assign(1)
			b.compose(1, true)
			b.fleet.Renew(b.host, 1, 1, b.now)
			b.live(1, "the same report once more")
			b.fleet.Renew(b.host, 1, 2, b.now)
			b.live(0, "after the next report")
		}},
		{"8, 15: one that has to go is launched to be stopped, one of a cancelled job is not", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, nil)
			b.assign(1)
			b.compose(0, true)
			for s := range b.fleet.SlotsOf(b.job) {
				b.fleet.Stop(s, 0)
			}
			b.now = b.now.Add(resendAfter)
			b.orders(b.compose(1, true), "launch 1;halt 1;")
			b.now = b.now.Add(resendAfter)
			b.job.Closing = wire.JobAborted
			b.orders(b.compose(1, true), "halt 1;")
		}},
	}
}

// ledgerLeaseCases: points 8 and 9, unanswered launches and the lease.
func ledgerLeaseCases() []ledgerCase {
	run := map[uint64]string{1: wire.Running}
	return []ledgerCase{
		{"8: an unanswered direct launch outlives reports without it", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, nil)
			b.assign(1)
			b.orders(b.compose(0, true), "launch 1;")
			b.msg(true, 1, 2, term, nil)
			b.msg(true, 1, 3, term, nil)
			b.live(1, "after two reports")
			b.msg(true, 2, 1, term, nil)
			b.live(0, "after a new session")
		}},
		{"8: a direct launch that was certainly not sent is gone", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, nil)
			b.assign(1)
			b.compose(0, true)
			b.fleet.RemoveNotDelivered(b.sent)
			b.live(0, "after a refused connection")
		}},
		{"9: the lease ends what is on a silent machine, and not a moment earlier", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, run)
			b.now = b.now.Add(10 * time.Second)
			b.fleet.Expire(b.now)
			b.live(1, "at the bare lease")
			b.now = b.now.Add(600 * time.Millisecond)
			b.fleet.Expire(b.now)
			b.live(0, "after the margin")
		}},
		{"9: an older report renews the lease too, when a direct answer overtook it", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, run)
			b.now = b.now.Add(8 * time.Second)
			b.msg(false, 1, 3, term, run)
			b.msg(true, 1, 2, term, run)
			b.now = b.now.Add(8 * time.Second)
			b.fleet.Expire(b.now)
			b.live(1, "8 s after the overtaken report")
		}},
		{"9: direct answers do not renew the lease", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, run)
			b.now = b.now.Add(8 * time.Second)
			b.msg(false, 1, 2, term, run)
			b.now = b.now.Add(3 * time.Second)
			b.fleet.Expire(b.now)
			b.live(0, "11 s after the only report")
		}},
	}
}

// ledgerSessionCases: points 9, 11 and 12, sessions, clears and released machines.
func ledgerSessionCases() []ledgerCase {
	run := map[uint64]string{1: wire.Running}
	return []ledgerCase{
		{"9: a new session has its lease from its own begin", func(b *ledgerFixture) {
			b.now = b.now.Add(9 * time.Second) // after a takeover, by a direct command only
			b.msg(false, 2, 1, term, nil)
			b.assign(1)
			b.compose(0, true)
			b.msg(false, 2, 2, term, run)
			b.now = b.now.Add(5 * time.Second)
			b.fleet.Expire(b.now)
			b.live(1, "14 s after the takeover, 5 s after the session was met")
			b.now = b.now.Add(6 * time.Second)
			b.fleet.Expire(b.now)
			b.live(0, "11 s after the session was met")
		}},
		{"9: a held message of a dead session does not come back", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, run)
			b.now = b.now.Add(11 * time.Second)
			b.fleet.Expire(b.now)
			if r := b.msg(true, 1, 2, term, run); r.Fresh {
				b.t.Error("a dead session is fresh")
			}
			b.live(0, "after a message of the dead session")
		}},
		{"11: clear is sent once the exit is settled", func(b *ledgerFixture) {
			r := b.msg(true, 1, 1, term, map[uint64]string{1: wire.Exited})
			b.orders(b.compose(1, true), "")
			r.Events[0].Slot.Settled = true
			b.orders(b.compose(0, true), "")
			b.orders(b.compose(1, true), "clear 1;")
		}},
		{"12: a released machine takes everything with it", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, run)
			b.fleet.Remove(b.host)
			b.live(0, "after the release")
		}},
	}
}

// ledgerAbortCases: point 15 and terms, aborts and later leaders.
func ledgerAbortCases() []ledgerCase {
	run := map[uint64]string{1: wire.Running}
	return []ledgerCase{
		{"15: nothing is launched once an abort was sent, halts are repeated", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, run)
			b.fleet.Assign(b.host, Key{b.job, 1, 1}, b.now)
			b.job.Closing = wire.JobAborted
			for _, s := range b.host.Slots {
				b.fleet.Stop(s, 0)
			}
			b.orders(b.compose(0, true), "halt 1;")
			b.orders(b.compose(0, true), "")
			b.now = b.now.Add(2 * time.Second)
			b.orders(b.compose(0, true), "halt 1;")
			// What renews the lease halts each time.
			b.orders(b.compose(1, true), "halt 1;")
			b.orders(b.compose(1, true), "halt 1;")
		}},
		{"a worker that has seen a later term deposes the leader", func(b *ledgerFixture) {
			if r := b.msg(true, 1, 1, term+1, run); !r.Deposed {
				b.t.Error("not deposed")
			}
			b.live(0, "after a message of a later term")
		}},
	}
}

func find(b *ledgerFixture) func(string) *job.Job { return func(string) *job.Job { return b.job } }
