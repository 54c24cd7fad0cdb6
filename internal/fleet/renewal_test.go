package fleet

import (
	"testing"
	"time"

	"vetchstream/internal/wire"
)

// cancelJob cancels the job: its user may be told from now on.
func (f *ledgerFixture) cancelJob() {
	f.job.Closing = wire.JobCancelled
	f.job.CancelledAt = f.now
	for s := range f.fleet.SlotsOf(f.job) {
		f.fleet.Stop(s, 0)
	}
}

// checkRenewable checks whether the leader may renew the machine's lease.
func (f *ledgerFixture) checkRenewable(want bool, when string) {
	f.t.Helper()
	if got := f.fleet.Renewable(f.machine, f.now, 100); got != want {
		f.t.Errorf("%s: the lease may be renewed: %v, want %v", when, got, want)
	}
}

// renewalTest is a case of the tests below.
type renewalTest struct {
	name string
	do   func(f *ledgerFixture)
}

// cancelWithLaunchInFlight cancels the job while its launch by direct command is in flight.
func cancelWithLaunchInFlight(f *ledgerFixture) {
	f.observe(true, 1, 1, testTerm, nil)
	f.assign(1)
	f.checkOrders(f.compose(0, true), "launch 1;")
	f.cancelJob()
}

var running = map[uint64]wire.TaskPhase{1: wire.TaskRunning}

// renewalWindow is how long after the cancellation the lease may still be renewed:
// cancel_s is 25 s, the lease with its margin 10.51 s.
const renewalWindow = 14490 * time.Millisecond

// TestRenewal: the lease of a machine where a task of a cancelled job may be, or may still
// start, is not renewed beyond the time that the job's user was told.
func TestRenewal(t *testing.T) {
	tests := []renewalTest{
		{"a launch on its way: until the limit, not from it on", func(f *ledgerFixture) {
			cancelWithLaunchInFlight(f)
			f.now = f.now.Add(renewalWindow - time.Millisecond)
			f.observe(true, 1, 2, testTerm, nil)
			f.checkRenewable(true, "before the limit")
			f.now = f.now.Add(time.Millisecond)
			f.observe(true, 1, 3, testTerm, nil)
			f.checkRenewable(false, "at the limit")
			f.observe(true, 2, 1, testTerm, nil)
			f.checkRenewable(true, "once the session has ended")
			f.checkLive(0, "once the session has ended")
		}},
		{"a launch that arrives late is halted, and what halts it renews", func(f *ledgerFixture) {
			cancelWithLaunchInFlight(f)
			f.now = f.now.Add(renewalWindow + time.Second)
			f.observe(true, 1, 2, testTerm, running)
			f.checkRenewable(true, "shown by the report")
			f.checkOrders(f.compose(2, true), "halt 1;")
			if _, bounded := f.fleet.RenewalLimit(f.machine); !bounded {
				f.t.Error("who answers without halts may renew")
			}
			f.observe(true, 1, 3, testTerm, map[uint64]wire.TaskPhase{1: wire.TaskExited})
			if _, bounded := f.fleet.RenewalLimit(f.machine); bounded {
				f.t.Error("bounded after the exit")
			}
		}},
		{"a launch that the answer to a direct command settles", func(f *ledgerFixture) {
			cancelWithLaunchInFlight(f)
			f.fleet.RemoveUndelivered(f.sent)
			f.now = f.now.Add(renewalWindow)
			f.checkRenewable(true, "after the refusal")
		}},
		{"cancelled by an earlier leader: nobody knows when", func(f *ledgerFixture) {
			f.job.Phase = wire.JobCancelled
			f.observe(true, 1, 1, testTerm-1, running)
			f.checkRenewable(true, "by an answer with halts")
			if at, bounded := f.fleet.RenewalLimit(f.machine); !bounded || at.After(f.now) {
				f.t.Error("a holder may renew")
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.do(newLedgerFixture(t)) })
	}
}

// TestRenewalLimitScope: what else the bound concerns, and what it does not.
func TestRenewalLimitScope(t *testing.T) {
	tests := []renewalTest{
		{"more to halt than an answer holds", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, map[uint64]wire.TaskPhase{1: wire.TaskRunning, 2: wire.TaskRunning})
			f.cancelJob()
			f.now = f.now.Add(renewalWindow)
			if f.fleet.Renewable(f.machine, f.now, 1) || !f.fleet.Renewable(f.machine, f.now, 2) {
				f.t.Error("an answer that cannot halt everything renews")
			}
		}},
		{"a job that is done, or goes on, bounds nothing", func(f *ledgerFixture) {
			cancelWithLaunchInFlight(f)
			f.job.Phase = wire.JobDone
			f.now = f.now.Add(time.Minute)
			f.checkRenewable(true, "its end came first")
		}},
		{"no work for a machine whose session may have to end", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, nil)
			f.assign(1)
			f.compose(0, true)
			if !f.machine.Usable() {
				f.t.Error("not usable before the cancellation")
			}
			f.cancelJob()
			if f.machine.Usable() {
				f.t.Error("usable after it")
			}
			f.fleet.StopRenewal(f.machine)
			f.observe(true, 2, 1, testTerm, nil)
			if !f.machine.Usable() || f.machine.InboundCut() {
				f.t.Error("not usable in the next session")
			}
		}},
		{"8: a launch on its way is sent once more when its machine goes to a holder", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testTerm, nil)
			f.assign(1)
			f.compose(0, true)
			if len(f.fleet.AwaitingCommand()) != 0 {
				f.t.Error("the leader sends it in an answer")
			}
			f.fleet.SetHolder(f.machine, &Holder{Name: "n1"})
			if len(f.fleet.AwaitingCommand()) != 1 {
				f.t.Error("nobody sends it")
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.do(newLedgerFixture(t)) })
	}
}
