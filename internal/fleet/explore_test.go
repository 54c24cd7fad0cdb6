package fleet

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"vetchstream/internal/explorer"
	"vetchstream/internal/job"
	"vetchstream/internal/shard"
	"vetchstream/internal/wire"
)

// The explorer tries every order of a few steps of a leader, a holder, a worker and
// delayed direct commands, and looks for a task of a cancelled job that is still on its
// machine after the deadline.

// guard is a rule that a world can disable, to check that the explorer finds the fault
// that the rule prevents.
type guard uint8

const (
	noGuard                  guard = iota
	leaderStopsAtLimit             // the leader does not renew a lease past the limit while a launch is on its way
	holderReturnsBeforeLimit       // a holder gives the machine back before the limit
	returnAllowsForGrant           // by as much before it as its grant may last
	holderReportsTasksFirst        // a holder does not answer by itself a report with a task that the leader does not know of
	everyAnswerHalts               // each answer of the leader halts what is cancelled, also what was halted a moment ago
	cancelTimeFromCommit           // the time counts from when the commit of the cancellation was sent
	unknownCancelIsPast            // a job that an earlier leader cancelled may have been cancelled at any time before
)

const (
	tick       = 4 * time.Second
	leaseTime  = 9 * time.Second
	cancelTime = 21 * time.Second
	grantTime  = 2500 * time.Millisecond
	// maxDelayedCommands bounds the commands on their way; what is sent beyond never arrives.
	maxDelayedCommands = 2
)

// How a report fares.
const (
	reportAnswered     = iota // it is answered
	reportAnsweredLate        // the leader's answer comes too late for a worker that waits at a holder
	reportAnswerLost          // it arrives, and the answer does not
	reportOutcomes
)

// world is one machine, at most one holder of it, and one job of one task.
type world struct {
	disabled        guard
	now             time.Time
	fleet           *Fleet
	assigner        *shard.Assigner
	holder          *shard.Holder
	grantEnd        time.Time
	fleetHolder     *Holder
	host            *Host
	job             *job.Job
	retained        bool
	launched        bool
	cancelled       time.Time // when the user may first have been told
	loadedAsOver    bool      // the leader has not loaded the job: it was over before
	delayedCommands []wire.Direct
	worker          worker
	broken          string
}

// worker is the machine's side.
type worker struct {
	session, seq, token uint64
	leaseFrom           time.Time
	phase               string // of the one task; empty: it has not been here
}

func newWorld(out guard) *world {
	w := &world{disabled: out, now: time.Unix(1000, 0), holder: shard.NewHolder("n1", "", 1),
		job: job.New(&job.Record{Spec: job.Spec{ID: "run-1", ShapeName: "array", PriorityName: "standard", Tasks: 1, CPUs: 1}}, time.Unix(1000, 0))}
	w.worker = worker{session: 1, leaseFrom: w.now}
	w.lead(1)
	return w
}

// lead begins a term.
func (w *world) lead(term uint64) {
	w.fleet = New(term, leaseTime, cancelTime)
	w.host = w.fleet.Add("host-1", w.now)
	w.host.Known, w.host.Durable, w.host.Type, w.host.Zone = true, true, 0, 0
	w.assigner = shard.NewAssigner(term, "n0", "", shard.Settings{GrantDuration: grantTime, RejoinDelay: tick, MaxRejoinDelay: tick, MovesPerSecond: 1000, LeaderWeight: 0.01, LeaderCapacity: 1}, w.now)
	w.assigner.AddMachine("host-1", "")
	w.fleetHolder, w.retained = &Holder{Name: "n1"}, false
	w.job.NotedMachines.Add(w.host.Index)
	w.loadedAsOver = !w.cancelled.IsZero()
	if w.loadedAsOver {
		rec := &job.Record{Spec: w.job.Spec, Phase: wire.JobAborted}
		w.job.ReplaceRecord(rec, w.now)
		if w.disabled == unknownCancelIsPast {
			w.job.CancelledAt = w.now
		}
	}
	for s := range w.fleet.SlotsOf(w.job) {
		delete(w.fleet.SlotsOf(w.job), s)
	}
}

func (w *world) find(string) *job.Job { return w.job }

// observe takes in a message as the leader does.
func (w *world) observe(m *wire.Report, isReport bool) (fresh bool) {
	fresh = w.fleet.Observe(w.host, m, isReport, w.now, w.find).Fresh
	for s := range w.fleet.SlotsOf(w.job) {
		if s.Active() && w.job.Cancelled() && !s.Stopping {
			w.fleet.Stop(s, 0)
		}
	}
	return fresh
}

// keep takes the machine back from its holder when it is time.
func (w *world) keep() {
	limit, bounded := w.fleet.RenewalLimit(w.host)
	early := w.assigner.RevocationTime()
	if w.disabled == returnAllowsForGrant {
		early = 0
	}
	switch {
	case w.disabled == holderReturnsBeforeLimit:
	case bounded && limit.Sub(w.now) <= early:
		w.retained = true
		w.assigner.Retain("host-1", "", w.now)
	case !bounded && w.retained:
		w.retained = false
		w.assigner.Release("host-1")
	}
}

// answer makes the leader's answer to a report; nil: there is none.
func (w *world) answer(m *wire.Report, fresh bool) *wire.Answer {
	if w.disabled != leaderStopsAtLimit && !w.fleet.Renewable(w.host, w.now, 100) {
		return nil
	}
	var lately bool
	for s := range w.fleet.SlotsOf(w.job) {
		lately = lately || s.HaltSentAt.Equal(w.now)
	}
	orders, _, _ := w.fleet.ComposeOrders(w.host, m.Seq, fresh, w.now, 100)
	if w.disabled == everyAnswerHalts && lately {
		orders = nil
	}
	return &wire.Answer{Token: w.fleet.Term, Orders: orders}
}

// report is the worker's next report.
func (w *world) report() *wire.Report {
	w.worker.seq++
	m := &wire.Report{Host: "host-1", Session: w.worker.session, Seq: w.worker.seq, Token: w.worker.token}
	if w.worker.phase != "" {
		m.Tasks = []wire.TaskReport{{Task: "run-1/0", Attempt: 1, Phase: w.worker.phase, Cause: wire.CauseHalted}}
	}
	return m
}

// take lets the worker take in an answer at once.
func (w *world) take(a *wire.Answer) {
	if a == nil || a.Token < w.worker.token {
		return
	}
	w.worker.token, w.worker.leaseFrom = a.Token, w.now
	w.obey(a.Orders)
}

func (w *world) obey(orders []wire.Order) {
	for _, o := range orders {
		switch {
		case o.Op == wire.Launch && w.worker.phase == "":
			w.worker.phase = wire.Running
			w.judge("starts")
		case o.Op == wire.Halt && w.worker.phase != "":
			w.worker.phase = wire.Exited
		}
	}
}

// judge looks whether a task is there that must not be.
func (w *world) judge(what string) {
	if w.worker.phase == wire.Running && !w.cancelled.IsZero() && w.now.Sub(w.cancelled) > cancelTime {
		w.broken = "ran_cancelled: the task " + what + " " + w.now.Sub(w.cancelled).String() + " after the cancellation"
	}
}

// checkin lets the worker report to whoever answers it.
func (w *world) checkin(fate int) bool {
	take := w.take
	if fate == reportAnswerLost {
		take = func(*wire.Answer) {}
	}
	m := w.report()
	body, err := wire.Marshal(m)
	if err != nil {
		panic(err)
	}
	_, verdict := w.holder.Report(m, body, w.now)
	switch verdict {
	case shard.GrantExpired:
		return false
	case shard.Answered:
		take(&wire.Answer{Token: w.holder.Term()})
		return true
	case shard.ReportChanged, shard.LeaderRequired:
		if fate != reportAnsweredLate && w.holder.Term() == w.fleet.Term {
			w.sync()
			if w.host.Holder() != nil {
				take(w.answer(m, true))
				return true
			}
		}
		if verdict == shard.ReportChanged || w.disabled == holderReportsTasksFirst {
			take(&wire.Answer{Token: w.holder.Term()})
		}
		return true
	}
	if r, _ := w.assigner.RouteReport("host-1", "", w.now); r != shard.Serve || fate == reportAnsweredLate {
		return false
	}
	fresh := w.observe(m, true)
	take(w.answer(m, fresh))
	w.keep()
	w.assigner.ReportServed("host-1", "", w.now)
	w.bind()
	return true
}

func (w *world) bind() {
	if by, _ := w.assigner.Holder("host-1"); by != "" && w.host.Holder() == nil {
		w.fleet.SetHolder(w.host, w.fleetHolder)
	}
}

// sync is a request of the holder's with its reply.
func (w *world) sync() {
	if w.fleet.Term > w.holder.Term() {
		w.holder.EndTerm()
	}
	r := w.holder.Request(10, 1, false, w.now)
	freed, ok := w.assigner.HandleRequest(r, w.now)
	if !ok {
		w.holder.RequestFailed()
		return
	}
	w.fleetHolder.KnownUntil = w.assigner.KnownUntil("n1")
	if r.Term == w.fleet.Term {
		for i := range r.Reports {
			w.entry(&r.Reports[i])
		}
	}
	w.free(freed)
	w.keep()
	p := w.assigner.Reply("n1", w.now)
	w.holder.HandleReply(p, w.now)
	w.grantEnd = w.now.Add(time.Duration(p.ForMs) * time.Millisecond)
	w.bind()
}

func (w *world) entry(e *shard.HostReport) {
	w.assigner.ConfirmContact(e.Host)
	if len(e.Report) > 0 {
		m := &wire.Report{}
		if err := wire.Unmarshal(e.Report, m); err != nil {
			panic(err)
		}
		w.observe(m, true)
	}
	w.fleet.Renew(w.host, e.Session, e.Seq, w.now.Add(-time.Duration(e.AgeMs)*time.Millisecond))
}

func (w *world) free(freed []shard.Revocation) {
	for _, f := range freed {
		w.host.ClearHolder(f.Until)
	}
}

// send puts the machine's next direct command on its way.
func (w *world) send() bool {
	orders, _, _ := w.fleet.ComposeOrders(w.host, 0, w.host.Usable(), w.now, 100)
	if len(orders) > 0 && len(w.delayedCommands) < maxDelayedCommands {
		w.delayedCommands = append(w.delayedCommands, wire.Direct{Token: w.fleet.Term, Session: max(1, w.host.Session), Orders: orders})
	}
	return len(orders) > 0
}

// deliver lets the first command arrive that is on its way; its answer may be lost.
func (w *world) deliver(answered bool) bool {
	if len(w.delayedCommands) == 0 {
		return false
	}
	d := w.delayedCommands[0]
	w.delayedCommands = w.delayedCommands[1:]
	if d.Token >= w.worker.token && d.Session == w.worker.session {
		w.worker.token = d.Token
		w.obey(d.Orders)
		if m := w.report(); answered {
			w.observe(m, false)
		}
	}
	return true
}

// pass lets time go by, to the worker and the leader.
func (w *world) pass(d time.Duration) {
	const part = 500 * time.Millisecond
	for ; d > 0; d -= part {
		w.now = w.now.Add(part)
		if w.now.Sub(w.worker.leaseFrom) > leaseTime {
			w.worker = worker{session: w.worker.session + 1, token: w.worker.token, leaseFrom: w.now}
		}
		w.judge("is there")
		w.fleet.Expire(w.now)
		w.keep()
		w.free(w.assigner.Step(w.now))
	}
}

var actions = []explorer.Action[*world]{
	{Name: "tick", Count: 1, Do: func(w *world, _ int) bool { w.pass(tick); return true }},
	{Name: "second", Count: 1, Do: func(w *world, _ int) bool { w.pass(time.Second); return true }},
	{Name: "sync", Count: 1, Do: func(w *world, _ int) bool { w.sync(); return true }},
	{Name: "report", Count: reportOutcomes, Do: func(w *world, fate int) bool { return w.checkin(fate) }},
	{Name: "tick, report", Count: reportOutcomes, Do: func(w *world, fate int) bool { w.pass(tick); return w.checkin(fate) }},
	{Name: "tick in touch, report", Count: reportOutcomes, Do: func(w *world, fate int) bool {
		for d := time.Duration(0); d < tick; d += time.Second {
			w.pass(time.Second)
			w.sync()
		}
		return w.checkin(fate)
	}},
	{Name: "tick, halt, report", Count: reportOutcomes, Do: func(w *world, fate int) bool { w.pass(tick); w.send(); return w.checkin(fate) }},
	{Name: "launch", Count: 1, Do: func(w *world, _ int) bool {
		if w.launched || w.job.Cancelled() || !w.host.Usable() {
			return false
		}
		w.launched = true
		w.fleet.Assign(w.host, Key{w.job, 0, 1}, w.now)
		return w.send()
	}},
	{Name: "cancel", Count: 1, Do: func(w *world, _ int) bool {
		if !w.launched || !w.cancelled.IsZero() {
			return false
		}
		w.cancelled, w.job.Closing, w.job.CancelledAt = w.now, wire.JobAborted, w.now
		if w.disabled == cancelTimeFromCommit {
			w.job.CancelledAt = w.now.Add(tick)
		}
		for s := range w.fleet.SlotsOf(w.job) {
			w.fleet.Stop(s, 0)
		}
		return true
	}},
	{Name: "halt", Count: 1, Do: func(w *world, _ int) bool { return !w.cancelled.IsZero() && w.send() }},
	{Name: "deliver", Count: 2, Do: func(w *world, answered int) bool { return w.deliver(answered == 1) }},
	{Name: "succeed", Count: 1, Do: func(w *world, _ int) bool {
		if w.fleet.Term > 1 || w.now.Before(w.grantEnd) || !w.launched {
			return false
		}
		w.lead(2)
		w.sync()
		return true
	}},
}

// Violation implements explorer.World.
func (w *world) Violation() string { return w.broken }

// Fingerprint implements explorer.World.
func (w *world) Fingerprint() string {
	p := &explorer.Printer{Now: w.now, MaxAge: cancelTime + tick}
	p.Values(w.fleet.Term, w.launched, w.loadedAsOver, w.retained, w.worker.session, w.worker.token, w.worker.phase, len(w.delayedCommands), w.holder.Term(), " ")
	p.Times(w.cancelled, w.worker.leaseFrom, w.grantEnd, w.host.renewedAt, w.host.directLaunchAt)
	by, asked := w.assigner.Holder("host-1")
	p.Values(by, asked, w.host.Session, w.host.Fenced, w.host.RenewalStopped, w.host.Lost, w.host.holder != nil, w.host.seq == w.worker.seq, w.host.reportSeq == w.worker.seq, " ")
	for s := range w.fleet.SlotsOf(w.job) {
		p.Values(s.Phase, s.Seen, s.Direct, s.Stopping)
		p.Times(s.HaltSentAt, s.resentAt, s.PlacedAt)
	}
	for _, d := range w.delayedCommands {
		p.Values(d.Token, d.Session, len(d.Orders), d.Orders[0].Op)
	}
	return p.String()
}

// walks is how many orders a case plays, of stepsEach steps beyond those that it begins with:
// what is looked for takes some twenty, more than every order of them can be played of.
var walks = flag.Int("walks", 4000, "orders that TestExplore plays of each case")

const stepsEach = 24

// TestExplore: nothing of a cancelled job is on a machine, or starts there, when its time is
// over, whatever is held on its way. With a guard taken out the explorer finds why it is there.
func TestExplore(t *testing.T) {
	met, held := []string{"report", "report"}, []string{"sync", "second", "sync", "report", "report", "sync", "sync", "report"}
	runs := []string{"launch", "deliver", "report", "cancel"}
	answered := []string{"tick in touch, report", "tick in touch, report"}
	nearLimit := []string{"second", "sync", "second", "sync", "second", "sync", "second", "second"}
	tests := []struct {
		name   string
		out    guard
		starts [][]string
	}{
		{"as it is", noGuard, [][]string{met, held, slices.Concat(met, runs), slices.Concat(held, runs), slices.Concat(held, runs, answered),
			slices.Concat(held, []string{"launch", "cancel"}, answered), slices.Concat(held, runs, answered, nearLimit)}},
		{"the leader renews while a launch is on its way", leaderStopsAtLimit, [][]string{met}},
		{"a holder retains the machine", holderReturnsBeforeLimit, [][]string{slices.Concat(held, runs)}},
		{"a holder gives the machine back at the limit", returnAllowsForGrant, [][]string{slices.Concat(held, runs, answered, nearLimit)}},
		{"a holder answers for tasks that the leader does not know of", holderReportsTasksFirst, [][]string{slices.Concat(held, []string{"launch", "cancel"}, answered)}},
		{"the leader halts once in a while", everyAnswerHalts, [][]string{slices.Concat(met, runs)}},
		{"the time counts from the answer to the user", cancelTimeFromCommit, [][]string{met}},
		{"a new leader counts from its own begin", unknownCancelIsPast, [][]string{slices.Concat(held, runs)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &explorer.Explorer[*world]{New: func() *world { return newWorld(tt.out) }, Actions: actions}
			steps, broken := 0, ""
			for i, start := range tt.starts {
				if broken != "" {
					break
				}
				g.Start = g.Steps(1, start...)
				var n int
				n, broken = g.RandomWalk(rand.New(rand.NewPCG(1, uint64(i))), *walks/len(tt.starts), stepsEach)
				steps += n
			}
			t.Logf("%d steps: %s", steps, broken)
			if (broken != "") != (tt.out != noGuard) {
				t.Errorf("after %d steps: %q", steps, broken)
			}
		})
	}
}
