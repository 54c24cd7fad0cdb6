package fleet

import (
	"testing"
	"time"

	"vetchstream/internal/wire"
)

// cancelJob cancels the job: its user may be told from now on.
func (b *ledgerFixture) cancelJob() {
	b.job.Closing = wire.JobAborted
	b.job.CancelledAt = b.now
	for s := range b.fleet.SlotsOf(b.job) {
		b.fleet.Stop(s, 0)
	}
}

// checkRenewable checks whether the leader may renew the machine's lease.
func (b *ledgerFixture) checkRenewable(want bool, when string) {
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

// launchInFlight cancels the job while its launch by direct command is in flight.
func launchInFlight(b *ledgerFixture) {
	b.observe(true, 1, 1, term, nil)
	b.assign(1)
	b.checkOrders(b.compose(0, true), "launch 1;")
	b.cancelJob()
}

var running = map[uint64]string{1: wire.Running}

// renewalDeadline is how long after the cancellation the lease may still be renewed:
// cancel_s is 25 s, the lease with its margin 10.51 s.
const renewalDeadline = 14490 * time.Millisecond

// TestRenewal: the lease of a machine where a task of a cancelled job may be, or may still
// start, is not renewed beyond the time that the job's user was told.
func TestRenewal(t *testing.T) {
	tests := []renewalCase{
		{"a launch on its way: until the limit, not from it on", func(b *ledgerFixture) {
			launchInFlight(b)
			b.now = b.now.Add(renewalDeadline - time.Millisecond)
			b.observe(true, 1, 2, term, nil)
			b.checkRenewable(true, "before the limit")
			b.now = b.now.Add(time.Millisecond)
			b.observe(true, 1, 3, term, nil)
			b.checkRenewable(false, "at the limit")
			b.observe(true, 2, 1, term, nil)
			b.checkRenewable(true, "once the session has ended")
			b.checkLive(0, "once the session has ended")
		}},
		{"a launch that arrives late is halted, and what halts it renews", func(b *ledgerFixture) {
			launchInFlight(b)
			b.now = b.now.Add(renewalDeadline + time.Second)
			b.observe(true, 1, 2, term, running)
			b.checkRenewable(true, "shown by the report")
			b.checkOrders(b.compose(2, true), "halt 1;")
			if _, bounded := b.fleet.RenewalLimit(b.host); !bounded {
				b.t.Error("who answers without halts may renew")
			}
			b.observe(true, 1, 3, term, map[uint64]string{1: wire.Exited})
			if _, bounded := b.fleet.RenewalLimit(b.host); bounded {
				b.t.Error("bounded after the exit")
			}
		}},
		{"a launch that the answer to a direct command settles", func(b *ledgerFixture) {
			launchInFlight(b)
			b.fleet.RemoveNotDelivered(b.sent)
			b.now = b.now.Add(renewalDeadline)
			b.checkRenewable(true, "after the refusal")
		}},
		{"cancelled by an earlier leader: nobody knows when", func(b *ledgerFixture) {
			b.job.Phase = wire.JobAborted
			b.observe(true, 1, 1, term-1, running)
			b.checkRenewable(true, "by an answer with halts")
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
			b.observe(true, 1, 1, term, map[uint64]string{1: wire.Running, 2: wire.Running})
			b.cancelJob()
			b.now = b.now.Add(renewalDeadline)
			if b.fleet.Renewable(b.host, b.now, 1) || !b.fleet.Renewable(b.host, b.now, 2) {
				b.t.Error("an answer that cannot halt everything renews")
			}
		}},
		{"a job that is done, or goes on, bounds nothing", func(b *ledgerFixture) {
			launchInFlight(b)
			b.job.Phase = wire.JobDone
			b.now = b.now.Add(time.Minute)
			b.checkRenewable(true, "its end came first")
		}},
		{"no work for a machine whose session may have to end", func(b *ledgerFixture) {
			b.observe(true, 1, 1, term, nil)
			b.assign(1)
			b.compose(0, true)
			if !b.host.Usable() {
				b.t.Error("not usable before the cancellation")
			}
			b.cancelJob()
			if b.host.Usable() {
				b.t.Error("usable after it")
			}
			b.fleet.StopRenewal(b.host)
			b.observe(true, 2, 1, term, nil)
			if !b.host.Usable() || b.host.InboundCut() {
				b.t.Error("not usable in the next session")
			}
		}},
		{"8: a launch on its way is sent once more when its machine goes to a holder", func(b *ledgerFixture) {
			b.observe(true, 1, 1, term, nil)
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
