package fleet

import (
	"testing"
	"time"

	"vetchstream/internal/wire"
)

// cancel notes that the job's cancellation is sent.
func (b *ledgerFixture) cancel() {
	b.job.Closing, b.job.CancelledAt = wire.JobAborted, b.now
	for s := range b.fleet.SlotsOf(b.job) {
		b.fleet.Stop(s, 0)
	}
}

func (b *ledgerFixture) renewable(want bool, when string) {
	b.t.Helper()
	if got := b.fleet.Renewable(b.host, b.now, 100); got != want {
		b.t.Errorf("%s: the lease may be renewed: %v, want %v", when, got, want)
	}
}

// renewalCase is a case of the tests below.
type renewalCase struct {
	name string
	do   func(b *ledgerFixture)
}

// inFlight lets a job be cancelled whose launch is on its way.
func inFlight(b *ledgerFixture) {
	b.msg(true, 1, 1, term, nil)
	b.assign(1)
	b.orders(b.compose(0, true), "launch 1;")
	b.cancel()
}

var running = map[uint64]string{1: wire.Running}

// limit is when, after the cancellation, the lease may be renewed no more: cancel_s is 25 s,
// the lease with its margin 10.51 s.
const limit = 14490 * time.Millisecond

// TestRenewal: the lease of a machine that a cancelled job may be on, or may come to, is not
// renewed beyond what the job's user was told.
func TestRenewal(t *testing.T) {
	tests := []renewalCase{
		{"a launch on its way: until the limit, not from it on", func(b *ledgerFixture) {
			inFlight(b)
			b.now = b.now.Add(limit - time.Millisecond)
			b.msg(true, 1, 2, term, nil)
			b.renewable(true, "before the limit")
			b.now = b.now.Add(time.Millisecond)
			b.msg(true, 1, 3, term, nil)
			b.renewable(false, "at the limit")
			b.msg(true, 2, 1, term, nil)
			b.renewable(true, "once the session has ended")
			b.live(0, "once the session has ended")
		}},
		{"a launch that arrives late is halted, and what halts it renews", func(b *ledgerFixture) {
			inFlight(b)
			b.now = b.now.Add(limit + time.Second)
			b.msg(true, 1, 2, term, running)
			b.renewable(true, "shown by the report")
			b.orders(b.compose(2, true), "halt 1;")
			if _, bounded := b.fleet.RenewalLimit(b.host); !bounded {
				b.t.Error("who answers without halts may renew")
			}
			b.msg(true, 1, 3, term, map[uint64]string{1: wire.Exited})
			if _, bounded := b.fleet.RenewalLimit(b.host); bounded {
				b.t.Error("bounded after the exit")
			}
		}},
		{"a launch that the answer to a direct command settles", func(b *ledgerFixture) {
			inFlight(b)
			b.fleet.RemoveNotDelivered(b.sent)
			b.now = b.now.Add(limit)
			b.renewable(true, "after the refusal")
		}},
		{"cancelled by an earlier leader: nobody knows when", func(b *ledgerFixture) {
			b.job.Phase = wire.JobAborted
			b.msg(true, 1, 1, term-1, running)
			b.renewable(true, "by an answer with halts")
			if at, bounded := b.fleet.RenewalLimit(b.host); !bounded || at.After(b.now) {
				b.t.Error("a holder may renew")
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.do(newLedgerFixture(t)) })
	}
}

// TestRenewalBeside: what else the bound concerns, and what it does not.
func TestRenewalBeside(t *testing.T) {
	tests := []renewalCase{
		{"more to halt than an answer holds", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, map[uint64]string{1: wire.Running, 2: wire.Running})
			b.cancel()
			b.now = b.now.Add(limit)
			if b.fleet.Renewable(b.host, b.now, 1) || !b.fleet.Renewable(b.host, b.now, 2) {
				b.t.Error("an answer that cannot halt everything renews")
			}
		}},
		{"a job that is done, or goes on, bounds nothing", func(b *ledgerFixture) {
			inFlight(b)
			b.job.Phase = wire.JobDone
			b.now = b.now.Add(time.Minute)
			b.renewable(true, "its end came first")
		}},
		{"no work for a machine whose session may have to end", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, nil)
			b.assign(1)
			b.compose(0, true)
			if !b.host.Usable() {
				b.t.Error("not usable before the cancellation")
			}
			b.cancel()
			if b.host.Usable() {
				b.t.Error("usable after it")
			}
			b.fleet.StopRenewal(b.host)
			b.msg(true, 2, 1, term, nil)
			if !b.host.Usable() || b.host.InboundCut() {
				b.t.Error("not usable in the next session")
			}
		}},
		{"8: a launch on its way is sent once more when its machine goes to a holder", func(b *ledgerFixture) {
			b.msg(true, 1, 1, term, nil)
			b.assign(1)
			b.compose(0, true)
			if len(b.fleet.AwaitingCommand()) != 0 {
				b.t.Error("the leader sends it in an answer")
			}
			b.fleet.SetHolder(b.host, &Holder{Name: "n1"})
			if len(b.fleet.AwaitingCommand()) != 1 {
				b.t.Error("nobody sends it")
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.do(newLedgerFixture(t)) })
	}
}
