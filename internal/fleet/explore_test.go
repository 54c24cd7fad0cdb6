package fleet

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"vetchstream/internal/explorer"
	"vetchstream/internal/wire"
)

// actions are the steps that the explorer combines.
var actions = []explorer.Action[*world]{
	{Name: "wait interval", Count: 1, Do: func(w *world, _ int) bool { w.advance(reportInterval); return true }},
	{Name: "wait 1 s", Count: 1, Do: func(w *world, _ int) bool { w.advance(time.Second); return true }},
	{Name: "sync holder", Count: 1, Do: func(w *world, _ int) bool { w.syncHolder(); return true }},
	{Name: "report", Count: reportOutcomes, Do: func(w *world, outcome int) bool { return w.sendReport(outcome) }},
	{Name: "wait interval, report", Count: reportOutcomes, Do: func(w *world, outcome int) bool { w.advance(reportInterval); return w.sendReport(outcome) }},
	{Name: "wait interval with syncs, report", Count: reportOutcomes, Do: func(w *world, outcome int) bool {
		for d := time.Duration(0); d < reportInterval; d += time.Second {
			w.advance(time.Second)
			w.syncHolder()
		}
		return w.sendReport(outcome)
	}},
	{Name: "wait interval, halt, report", Count: reportOutcomes, Do: func(w *world, outcome int) bool {
		w.advance(reportInterval)
		w.sendDirectCommand()
		return w.sendReport(outcome)
	}},
	{Name: "launch", Count: 1, Do: func(w *world, _ int) bool {
		if w.launched || w.job.Cancelled() || !w.machine.Usable() {
			return false
		}
		w.launched = true
		w.fleet.Assign(w.machine, PlacementKey{w.job, 0, 1}, w.now)
		return w.sendDirectCommand()
	}},
	{Name: "cancel", Count: 1, Do: func(w *world, _ int) bool {
		if !w.launched || !w.cancelledAt.IsZero() {
			return false
		}
		w.cancelledAt, w.job.EndingPhase, w.job.CancelledAt = w.now, wire.JobCancelled, w.now
		if w.disabled == deadlineFromCommit {
			w.job.CancelledAt = w.now.Add(reportInterval)
		}
		for s := range w.fleet.SlotsOf(w.job) {
			w.fleet.Stop(s, 0)
		}
		return true
	}},
	{Name: "halt", Count: 1, Do: func(w *world, _ int) bool { return !w.cancelledAt.IsZero() && w.sendDirectCommand() }},
	{Name: "deliver command", Count: 2, Do: func(w *world, answered int) bool { return w.deliverCommand(answered == 1) }},
	{Name: "new leader", Count: 1, Do: func(w *world, _ int) bool {
		if w.fleet.Term > wire.TokensPerTerm || w.now.Before(w.grantEnd) || !w.launched {
			return false
		}
		w.beginTerm(2)
		w.syncHolder()
		return true
	}},
}

// deliverCopy is a further step, which the guards of the deadline do not need.
var deliverCopy = explorer.Action[*world]{Name: "deliver copy", Count: maxCopies, Do: func(w *world, index int) bool { return w.deliverCopy(index) }}

// Violation implements explorer.World.
func (w *world) Violation() string { return w.violation }

// Fingerprint implements explorer.World.
func (w *world) Fingerprint() string {
	p := &explorer.FingerprintBuilder{Now: w.now, MaxAge: cancelTimeout + reportInterval}
	p.Values(w.fleet.Term, w.launched, w.endedBeforeTerm, w.retainedByLeader, w.worker.session, w.worker.token, w.worker.phase, len(w.delayedCommands), w.holder.Term(), w.machine.Token, len(w.clearances), " ")
	p.Times(w.cancelledAt, w.worker.leaseRenewedAt, w.grantEnd, w.machine.leaseRenewedAt, w.machine.directLaunchAt)
	by, asked := w.assigner.Holder("host-1")
	p.Values(by, asked, w.machine.Session, w.machine.Fenced, w.machine.RenewalStopped, w.machine.Lost, w.machine.holder != nil, w.machine.lastSeq == w.worker.seq, w.machine.lastReportSeq == w.worker.seq, " ")
	for s := range w.fleet.SlotsOf(w.job) {
		p.Values(s.Phase, s.Observed, s.DirectLaunch, s.Stopping)
		p.Times(s.HaltSentAt, s.launchResentAt, s.PlacedAt)
	}
	for _, d := range slices.Concat(w.delayedCommands, w.executedCommands) {
		p.Values(d.Token, d.Session, len(d.Commands), d.Commands[0].Verb)
	}
	return p.String()
}

// walks is the number of random walks of each test case. A walk takes stepsPerWalk steps after
// one of the case's starts. Most faults need about twenty steps, too many to try all orders.
var walks = flag.Int("walks", 4000, "random walks of each case of TestExplore")

const stepsPerWalk = 24

// TestExplore checks that no task of a cancelled job is on a machine, or starts there, after
// its deadline, and that no copy of a launch starts a task again, whichever messages are
// delayed or lost. With one guard disabled, the explorer
// has to find the fault that the guard prevents.
func TestExplore(t *testing.T) {
	withLeader, withHolder := []string{"report", "report"}, []string{"sync holder", "wait 1 s", "sync holder", "report", "report", "sync holder", "sync holder", "report"}
	runAndCancel := []string{"launch", "deliver command", "report", "cancel"}
	syncedReports := []string{"wait interval with syncs, report", "wait interval with syncs, report"}
	nearLimit := []string{"wait 1 s", "sync holder", "wait 1 s", "sync holder", "wait 1 s", "sync holder", "wait 1 s", "wait 1 s"}
	tests := []struct {
		name     string
		disabled guard
		starts   [][]string
	}{
		{"all guards enabled: no task runs after its deadline", noGuard, [][]string{withLeader, withHolder, slices.Concat(withLeader, runAndCancel), slices.Concat(withHolder, runAndCancel), slices.Concat(withHolder, runAndCancel, syncedReports),
			slices.Concat(withHolder, []string{"launch", "cancel"}, syncedReports), slices.Concat(withHolder, runAndCancel, syncedReports, nearLimit)}},
		{"fault found: the leader renews past the limit while a launch is in flight", leaderStopsAtLimit, [][]string{withLeader}},
		{"fault found: a holder keeps the machine past the limit", holderReturnsBeforeLimit, [][]string{slices.Concat(withHolder, runAndCancel)}},
		{"fault found: a holder gives the machine back at the limit, not its grant time earlier", returnAllowsForGrantTime, [][]string{slices.Concat(withHolder, runAndCancel, syncedReports, nearLimit)}},
		{"fault found: a holder answers reports of tasks unknown to the leader", holderReportsTasksFirst, [][]string{slices.Concat(withHolder, []string{"launch", "cancel"}, syncedReports)}},
		{"fault found: not every answer of the leader repeats the halts", everyAnswerHalts, [][]string{slices.Concat(withLeader, runAndCancel)}},
		{"fault found: the deadline counts from a later time than the commit of the cancellation", deadlineFromCommit, [][]string{withLeader}},
		{"fault found: an exit is cleared while a copy of the launch may arrive", clearRaisesToken, [][]string{slices.Concat(withLeader, []string{"launch", "deliver command"})}},
		{"fault found: a new leader counts the deadline from the start of its term", unknownCancelCountsAsPast, [][]string{slices.Concat(withHolder, runAndCancel)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := &explorer.Explorer[*world]{New: func() *world { return newWorld(tt.disabled) }, Actions: actions}
			if tt.disabled == noGuard || tt.disabled == clearRaisesToken {
				x.Actions = append(slices.Clone(actions), deliverCopy)
			}
			steps, violation := 0, ""
			for i, start := range tt.starts {
				if violation != "" {
					break
				}
				x.Start = x.Steps(1, start...)
				var n int
				n, violation = x.RandomWalk(rand.New(rand.NewPCG(1, uint64(i))), *walks/len(tt.starts), stepsPerWalk)
				steps += n
			}
			t.Logf("%d steps: %s", steps, violation)
			if (violation != "") != (tt.disabled != noGuard) {
				t.Errorf("after %d steps: violation %q, want one only with a guard disabled", steps, violation)
			}
		})
	}
}
