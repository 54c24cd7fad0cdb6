package fleet

import (
	"testing"
	"time"

	"vetchstream/internal/wire"
)

// cancelJob cancels the job, which may be confirmed to its user from now on.
func (f *ledgerFixture) cancelJob() {
	f.job.EndingPhase = wire.JobCancelled
	f.job.CancelledAt = f.now
	for s := range f.fleet.SlotsOf(f.job) {
		f.fleet.Stop(s, 0)
	}
}

// checkRenewable checks whether the leader may renew the machine's lease.
func (f *ledgerFixture) checkRenewable(want bool, when string) {
	f.t.Helper()
	if got := f.fleet.Renewable(f.machine, f.now, 100); got != want {
		f.t.Errorf("%s: renewable %v, want %v", when, got, want)
	}
}

// renewalTest is a test case of TestRenewal and TestRenewalLimitScope.
type renewalTest struct {
	name string
	do   func(f *ledgerFixture)
}

// cancelWithLaunchInFlight cancels the job while its direct launch is in flight.
func cancelWithLaunchInFlight(f *ledgerFixture) {
	f.observe(true, 1, 1, testToken, nil)
	f.assign(1)
	f.checkCommands(f.compose(0, true), "launch 1;")
	f.cancelJob()
}

var running = map[uint64]wire.TaskPhase{1: wire.TaskRunning}

// renewalWindow is the time from the cancellation up to the renewal limit: the cancel
// timeout of 25 s less the lease, which is 10.51 s with its margin.
const renewalWindow = 14490 * time.Millisecond

// TestRenewal checks that while a task of a cancelled job may be on a machine, or may still
// start there, the lease is not renewed beyond the deadline of the cancellation.
func TestRenewal(t *testing.T) {
	tests := []renewalTest{
		{"with a direct launch in flight, the lease is renewable before the limit only", func(f *ledgerFixture) {
			cancelWithLaunchInFlight(f)
			f.now = f.now.Add(renewalWindow - time.Millisecond)
			f.observe(true, 1, 2, testToken, nil)
			f.checkRenewable(true, "1 ms before the limit")
			f.now = f.now.Add(time.Millisecond)
			f.observe(true, 1, 3, testToken, nil)
			f.checkRenewable(false, "at the limit")
			f.observe(true, 2, 1, testToken, nil)
			f.checkRenewable(true, "after a report of the next session")
			f.checkLive(0, "after a report of the next session")
		}},
		{"the answer that halts a task which started late renews the lease", func(f *ledgerFixture) {
			cancelWithLaunchInFlight(f)
			f.now = f.now.Add(renewalWindow + time.Second)
			f.observe(true, 1, 2, testToken, running)
			f.checkRenewable(true, "after a report that lists the task")
			f.checkCommands(f.compose(2, true), "halt 1;")
			if _, bounded := f.fleet.RenewalLimit(f.machine); !bounded {
				f.t.Error("RenewalLimit sets no limit for a holder while the task runs")
			}
			f.observe(true, 1, 3, testToken, map[uint64]wire.TaskPhase{1: wire.TaskExited})
			if _, bounded := f.fleet.RenewalLimit(f.machine); bounded {
				f.t.Error("RenewalLimit sets a limit after the exit")
			}
		}},
		{"a launch that was certainly not executed does not limit the renewal", func(f *ledgerFixture) {
			cancelWithLaunchInFlight(f)
			f.fleet.RemoveUndelivered(f.sent)
			f.now = f.now.Add(renewalWindow)
			f.checkRenewable(true, "after the launch was removed")
		}},
		{"a job cancelled by an earlier leader at an unknown time lets only answers with halts renew the lease", func(f *ledgerFixture) {
			f.job.Phase = wire.JobCancelled
			f.observe(true, 1, 1, testToken-1, running)
			f.checkRenewable(true, "for an answer with halts")
			if limit, bounded := f.fleet.RenewalLimit(f.machine); !bounded || limit.After(f.now) {
				f.t.Error("RenewalLimit lets a holder renew the lease")
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.do(newLedgerFixture(t)) })
	}
}

// TestRenewalLimitScope checks to which answers, jobs and machines the renewal limit
// applies.
func TestRenewalLimitScope(t *testing.T) {
	tests := []renewalTest{
		{"an answer that cannot hold all halts does not renew the lease", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, map[uint64]wire.TaskPhase{1: wire.TaskRunning, 2: wire.TaskRunning})
			f.cancelJob()
			f.now = f.now.Add(renewalWindow)
			if f.fleet.Renewable(f.machine, f.now, 1) || !f.fleet.Renewable(f.machine, f.now, 2) {
				f.t.Error("for two halts, the lease is renewable with one command or not renewable with two")
			}
		}},
		{"a job that was done before its cancellation does not limit the renewal", func(f *ledgerFixture) {
			cancelWithLaunchInFlight(f)
			f.job.Phase = wire.JobDone
			f.now = f.now.Add(time.Minute)
			f.checkRenewable(true, "1 min after the cancellation of a job that was done")
		}},
		{"a machine with a launch of a cancelled job in flight is unusable until its session ends", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, nil)
			f.assign(1)
			f.compose(0, true)
			if !f.machine.Usable() {
				f.t.Error("the machine is unusable before the cancellation")
			}
			f.cancelJob()
			if f.machine.Usable() {
				f.t.Error("the machine is usable after the cancellation")
			}
			f.fleet.StopRenewal(f.machine)
			f.observe(true, 2, 1, testToken, nil)
			if !f.machine.Usable() || f.machine.InboundCut() {
				f.t.Error("the machine is unusable, or its inbound direction is marked as cut, in the next session")
			}
		}},
		{"8: a direct launch in flight awaits a command only once its machine has a holder", func(f *ledgerFixture) {
			f.observe(true, 1, 1, testToken, nil)
			f.assign(1)
			f.compose(0, true)
			if len(f.fleet.AwaitingCommand()) != 0 {
				f.t.Error("the machine awaits a command although the leader repeats the launch in an answer")
			}
			f.fleet.SetHolder(f.machine, &Holder{Name: "n1"})
			if len(f.fleet.AwaitingCommand()) != 1 {
				f.t.Error("the machine of the holder awaits no command for the launch")
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.do(newLedgerFixture(t)) })
	}
}
