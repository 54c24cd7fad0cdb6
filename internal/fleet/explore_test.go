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

// actions are the steps of the explorer.
var actions = []explorer.Action[*world]{
	{Name: "tick", Count: 1, Do: func(w *world, _ int) bool { w.advance(reportInterval); return true }},
	{Name: "second", Count: 1, Do: func(w *world, _ int) bool { w.advance(time.Second); return true }},
	{Name: "sync", Count: 1, Do: func(w *world, _ int) bool { w.syncHolder(); return true }},
	{Name: "report", Count: reportOutcomes, Do: func(w *world, outcome int) bool { return w.sendReport(outcome) }},
	{Name: "tick, report", Count: reportOutcomes, Do: func(w *world, outcome int) bool { w.advance(reportInterval); return w.sendReport(outcome) }},
	{Name: "tick in touch, report", Count: reportOutcomes, Do: func(w *world, outcome int) bool {
		for d := time.Duration(0); d < reportInterval; d += time.Second {
			w.advance(time.Second)
			w.syncHolder()
		}
		return w.sendReport(outcome)
	}},
	{Name: "tick, halt, report", Count: reportOutcomes, Do: func(w *world, outcome int) bool {
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
		w.cancelledAt, w.job.Closing, w.job.CancelledAt = w.now, wire.JobCancelled, w.now
		if w.disabled == deadlineFromCommit {
			w.job.CancelledAt = w.now.Add(reportInterval)
		}
		for s := range w.fleet.SlotsOf(w.job) {
			w.fleet.Stop(s, 0)
		}
		return true
	}},
	{Name: "halt", Count: 1, Do: func(w *world, _ int) bool { return !w.cancelledAt.IsZero() && w.sendDirectCommand() }},
	{Name: "deliver", Count: 2, Do: func(w *world, answered int) bool { return w.deliverCommand(answered == 1) }},
	{Name: "succeed", Count: 1, Do: func(w *world, _ int) bool {
		if w.fleet.Term > 1 || w.now.Before(w.grantEnd) || !w.launched {
			return false
		}
		w.beginTerm(2)
		w.syncHolder()
		return true
	}},
}

// Violation implements explorer.World.
func (w *world) Violation() string { return w.violation }

// Fingerprint implements explorer.World.
func (w *world) Fingerprint() string {
	p := &explorer.Printer{Now: w.now, MaxAge: cancelTimeout + reportInterval}
	p.Values(w.fleet.Term, w.launched, w.endedBeforeTerm, w.retainedByLeader, w.worker.session, w.worker.token, w.worker.phase, len(w.delayedCommands), w.holder.Term(), " ")
	p.Times(w.cancelledAt, w.worker.leaseRenewedAt, w.grantEnd, w.machine.leaseRenewedAt, w.machine.directLaunchAt)
	by, asked := w.assigner.Holder("host-1")
	p.Values(by, asked, w.machine.Session, w.machine.Fenced, w.machine.RenewalStopped, w.machine.Lost, w.machine.holder != nil, w.machine.lastSeq == w.worker.seq, w.machine.lastReportSeq == w.worker.seq, " ")
	for s := range w.fleet.SlotsOf(w.job) {
		p.Values(s.Phase, s.Observed, s.DirectLaunch, s.Stopping)
		p.Times(s.HaltSentAt, s.launchResentAt, s.PlacedAt)
	}
	for _, d := range w.delayedCommands {
		p.Values(d.Token, d.Session, len(d.Commands), d.Commands[0].Verb)
	}
	return p.String()
}

// walks is how many random walks a case makes, each of stepsEach steps after those that it
// begins with. A fault takes some twenty steps, too many to try every order of them.
var walks = flag.Int("walks", 4000, "random walks of each case of TestExplore")

const stepsPerWalk = 24

// TestExplore: no task of a cancelled job is on a machine, or starts there, after its
// deadline, whatever is delayed. With a guard disabled the explorer finds the fault that it
// prevents.
func TestExplore(t *testing.T) {
	met, held := []string{"report", "report"}, []string{"sync", "second", "sync", "report", "report", "sync", "sync", "report"}
	runs := []string{"launch", "deliver", "report", "cancel"}
	answered := []string{"tick in touch, report", "tick in touch, report"}
	nearLimit := []string{"second", "sync", "second", "sync", "second", "sync", "second", "second"}
	tests := []struct {
		name     string
		disabled guard
		starts   [][]string
	}{
		{"as it is", noGuard, [][]string{met, held, slices.Concat(met, runs), slices.Concat(held, runs), slices.Concat(held, runs, answered),
			slices.Concat(held, []string{"launch", "cancel"}, answered), slices.Concat(held, runs, answered, nearLimit)}},
		{"the leader renews while a launch is on its way", leaderStopsAtLimit, [][]string{met}},
		{"a holder retains the machine", holderReturnsBeforeLimit, [][]string{slices.Concat(held, runs)}},
		{"a holder gives the machine back at the limit", returnAllowsForGrantTime, [][]string{slices.Concat(held, runs, answered, nearLimit)}},
		{"a holder answers for tasks that the leader does not know of", holderReportsTasksFirst, [][]string{slices.Concat(held, []string{"launch", "cancel"}, answered)}},
		{"the leader halts once in a while", everyAnswerHalts, [][]string{slices.Concat(met, runs)}},
		{"the time counts from the answer to the user", deadlineFromCommit, [][]string{met}},
		{"a new leader counts from its own begin", unknownCancelCountsAsPast, [][]string{slices.Concat(held, runs)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &explorer.Explorer[*world]{New: func() *world { return newWorld(tt.disabled) }, Actions: actions}
			steps, broken := 0, ""
			for i, start := range tt.starts {
				if broken != "" {
					break
				}
				g.Start = g.Steps(1, start...)
				var n int
				n, broken = g.RandomWalk(rand.New(rand.NewPCG(1, uint64(i))), *walks/len(tt.starts), stepsPerWalk)
				steps += n
			}
			t.Logf("%d steps: %s", steps, broken)
			if (broken != "") != (tt.disabled != noGuard) {
				t.Errorf("after %d steps: %q", steps, broken)
			}
		})
	}
}
