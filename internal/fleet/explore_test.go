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

// The game plays every order of a few steps of a leader, a holder, a worker and direct
// commands that are held on their way, and looks for a task of a cancelled job that is on
// its machine when its time is over.

// guard is one that can be taken out of a world, to see that the explorer notices.
type guard uint8

const (
	none          guard = iota
	withholds           // the leader does not renew a lease past the limit while a launch is on its way
	givesBack           // a holder gives the machine back before the limit
	inTime              // by as much before it as its grant may last
	tellsFirst          // a holder does not answer by itself a report with a task that the leader does not know of
	alwaysHalts         // each answer of the leader halts what is cancelled, also what was halted a moment ago
	fromSending         // the time counts from when the commit of the cancellation was sent
	unknownIsPast       // a job that an earlier leader cancelled may have been cancelled at any time before
)

const (
	tick       = 4 * time.Second
	leaseTime  = 9 * time.Second
	cancelTime = 21 * time.Second
	grantTime  = 2500 * time.Millisecond
	// mostHeld bounds the commands on their way; what is sent beyond never arrives.
	mostHeld = 2
)

// How a report fares.
const (
	prompt = iota // it is answered
	slow          // the leader's answer comes too late for a worker that waits at a holder
	lost          // it arrives, and the answer does not
	fates
)

// world is one machine, at most one holder of it, and one job of one task.
type world struct {
	out       guard
	now       time.Time
	f         *Fleet
	a         *shard.Assigner
	holder    *shard.Holder
	grantEnd  time.Time
	by        *Holder
	h         *Host
	j         *job.Job
	kept      bool
	launched  bool
	cancelled time.Time // when the user may first have been told
	over      bool      // the leader has not loaded the job: it was over before
	held      []wire.Direct
	w         worker
	broken    string
}

// worker is the machine's side.
type worker struct {
	session, seq, token uint64
	leased              time.Time
	phase               string // of the one task; empty: it has not been here
}

func newWorld(out guard) *world {
	w := &world{out: out, now: time.Unix(1000, 0), holder: shard.NewHolder("n1", "", 1),
		j: job.New(&job.Record{Spec: job.Spec{ID: "run-1", ShapeName: "array", PriorityName: "standard", Tasks: 1, CPUs: 1}}, time.Unix(1000, 0))}
	w.w = worker{session: 1, leased: w.now}
	w.lead(1)
	return w
}

// lead begins a term.
func (w *world) lead(term uint64) {
	w.f = New(term, leaseTime, cancelTime)
	w.h = w.f.Add("host-1", w.now)
	w.h.Known, w.h.Durable, w.h.Type, w.h.Zone = true, true, 0, 0
	w.a = shard.NewAssigner(term, "n0", "", shard.Settings{Grant: grantTime, Rest: tick, RestMost: tick, PerS: 1000, Own: 0.01, Room: 1}, w.now)
	w.a.Known("host-1", "")
	w.by, w.kept = &Holder{Name: "n1"}, false
	w.j.NotedMachines.Add(w.h.Idx)
	w.over = !w.cancelled.IsZero()
	if w.over {
		rec := &job.Record{Spec: w.j.Spec, Phase: wire.JobAborted}
		w.j.ReplaceRecord(rec, w.now)
		if w.out == unknownIsPast {
			w.j.CancelledAt = w.now
		}
	}
	for s := range w.f.On(w.j) {
		delete(w.f.On(w.j), s)
	}
}

func (w *world) find(string) *job.Job { return w.j }

// observe takes in a message as the leader does.
func (w *world) observe(m *wire.Report, isReport bool) (fresh bool) {
	fresh = w.f.Observe(w.h, m, isReport, w.now, w.find).Fresh
	for s := range w.f.On(w.j) {
		if s.On() && w.j.Cancelled() && !s.Stopping {
			w.f.Stop(s, 0)
		}
	}
	return fresh
}

// keep takes the machine back from its holder when it is time.
func (w *world) keep() {
	limit, bounded := w.f.RenewalLimit(w.h)
	early := w.a.HandoverTime()
	if w.out == inTime {
		early = 0
	}
	switch {
	case w.out == givesBack:
	case bounded && limit.Sub(w.now) <= early:
		w.kept = true
		w.a.Keep("host-1", "", w.now)
	case !bounded && w.kept:
		w.kept = false
		w.a.Release("host-1")
	}
}

// answer makes the leader's answer to a report; nil: there is none.
func (w *world) answer(m *wire.Report, fresh bool) *wire.Answer {
	if w.out != withholds && !w.f.Renewable(w.h, w.now, 100) {
		return nil
	}
	var lately bool
	for s := range w.f.On(w.j) {
		lately = lately || s.Halted.Equal(w.now)
	}
	orders, _, _ := w.f.Compose(w.h, m.Seq, fresh, w.now, 100)
	if w.out == alwaysHalts && lately {
		orders = nil
	}
	return &wire.Answer{Token: w.f.Term, Orders: orders}
}

// report is the worker's next report.
func (w *world) report() *wire.Report {
	w.w.seq++
	m := &wire.Report{Host: "host-1", Session: w.w.session, Seq: w.w.seq, Token: w.w.token}
	if w.w.phase != "" {
		m.Tasks = []wire.TaskReport{{Task: "run-1/0", Attempt: 1, Phase: w.w.phase, Cause: wire.CauseHalted}}
	}
	return m
}

// take lets the worker take in an answer at once.
func (w *world) take(a *wire.Answer) {
	if a == nil || a.Token < w.w.token {
		return
	}
	w.w.token, w.w.leased = a.Token, w.now
	w.obey(a.Orders)
}

func (w *world) obey(orders []wire.Order) {
	for _, o := range orders {
		switch {
		case o.Op == wire.Launch && w.w.phase == "":
			w.w.phase = wire.Running
			w.judge("starts")
		case o.Op == wire.Halt && w.w.phase != "":
			w.w.phase = wire.Exited
		}
	}
}

// judge looks whether a task is there that must not be.
func (w *world) judge(what string) {
	if w.w.phase == wire.Running && !w.cancelled.IsZero() && w.now.Sub(w.cancelled) > cancelTime {
		w.broken = "ran_cancelled: the task " + what + " " + w.now.Sub(w.cancelled).String() + " after the cancellation"
	}
}

// checkin lets the worker report to whoever answers it.
func (w *world) checkin(fate int) bool {
	take := w.take
	if fate == lost {
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
		if fate != slow && w.holder.Term() == w.f.Term {
			w.sync()
			if w.h.Holder() != nil {
				take(w.answer(m, true))
				return true
			}
		}
		if verdict == shard.ReportChanged || w.out == tellsFirst {
			take(&wire.Answer{Token: w.holder.Term()})
		}
		return true
	}
	if r, _ := w.a.Report("host-1", "", w.now); r != shard.Serve || fate == slow {
		return false
	}
	fresh := w.observe(m, true)
	take(w.answer(m, fresh))
	w.keep()
	w.a.Served("host-1", "", w.now)
	w.bind()
	return true
}

func (w *world) bind() {
	if by, _ := w.a.Holder("host-1"); by != "" && w.h.Holder() == nil {
		w.f.Hold(w.h, w.by)
	}
}

// sync is a request of the holder's with its reply.
func (w *world) sync() {
	if w.f.Term > w.holder.Term() {
		w.holder.EndTerm()
	}
	r := w.holder.Request(10, 1, false, w.now)
	freed, ok := w.a.Sync(r, w.now)
	if !ok {
		w.holder.Missed()
		return
	}
	w.by.Told = w.a.Told("n1")
	if r.Term == w.f.Term {
		for i := range r.Entries {
			w.entry(&r.Entries[i])
		}
	}
	w.free(freed)
	w.keep()
	p := w.a.Reply("n1", w.now)
	w.holder.Granted(p, w.now)
	w.grantEnd = w.now.Add(time.Duration(p.ForMs) * time.Millisecond)
	w.bind()
}

func (w *world) entry(e *shard.Entry) {
	w.a.Heard(e.Host)
	if len(e.Report) > 0 {
		m := &wire.Report{}
		if err := wire.Unmarshal(e.Report, m); err != nil {
			panic(err)
		}
		w.observe(m, true)
	}
	w.f.Renew(w.h, e.Session, e.Seq, w.now.Add(-time.Duration(e.AgeMs)*time.Millisecond))
}

func (w *world) free(freed []shard.Revocation) {
	for _, f := range freed {
		w.h.Unhold(f.Until)
	}
}

// send puts the machine's next direct command on its way.
func (w *world) send() bool {
	orders, _, _ := w.f.Compose(w.h, 0, w.h.Usable(), w.now, 100)
	if len(orders) > 0 && len(w.held) < mostHeld {
		w.held = append(w.held, wire.Direct{Token: w.f.Term, Session: max(1, w.h.Session), Orders: orders})
	}
	return len(orders) > 0
}

// deliver lets the first command arrive that is on its way; its answer may be lost.
func (w *world) deliver(answered bool) bool {
	if len(w.held) == 0 {
		return false
	}
	d := w.held[0]
	w.held = w.held[1:]
	if d.Token >= w.w.token && d.Session == w.w.session {
		w.w.token = d.Token
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
		if w.now.Sub(w.w.leased) > leaseTime {
			w.w = worker{session: w.w.session + 1, token: w.w.token, leased: w.now}
		}
		w.judge("is there")
		w.f.Expire(w.now)
		w.keep()
		w.free(w.a.Step(w.now))
	}
}

var actions = []explorer.Action[*world]{
	{Name: "tick", Count: 1, Do: func(w *world, _ int) bool { w.pass(tick); return true }},
	{Name: "second", Count: 1, Do: func(w *world, _ int) bool { w.pass(time.Second); return true }},
	{Name: "sync", Count: 1, Do: func(w *world, _ int) bool { w.sync(); return true }},
	{Name: "report", Count: fates, Do: func(w *world, fate int) bool { return w.checkin(fate) }},
	{Name: "tick, report", Count: fates, Do: func(w *world, fate int) bool { w.pass(tick); return w.checkin(fate) }},
	{Name: "tick in touch, report", Count: fates, Do: func(w *world, fate int) bool {
		for d := time.Duration(0); d < tick; d += time.Second {
			w.pass(time.Second)
			w.sync()
		}
		return w.checkin(fate)
	}},
	{Name: "tick, halt, report", Count: fates, Do: func(w *world, fate int) bool { w.pass(tick); w.send(); return w.checkin(fate) }},
	{Name: "launch", Count: 1, Do: func(w *world, _ int) bool {
		if w.launched || w.j.Cancelled() || !w.h.Usable() {
			return false
		}
		w.launched = true
		w.f.Assign(w.h, Key{w.j, 0, 1}, w.now)
		return w.send()
	}},
	{Name: "cancel", Count: 1, Do: func(w *world, _ int) bool {
		if !w.launched || !w.cancelled.IsZero() {
			return false
		}
		w.cancelled, w.j.Closing, w.j.CancelledAt = w.now, wire.JobAborted, w.now
		if w.out == fromSending {
			w.j.CancelledAt = w.now.Add(tick)
		}
		for s := range w.f.On(w.j) {
			w.f.Stop(s, 0)
		}
		return true
	}},
	{Name: "halt", Count: 1, Do: func(w *world, _ int) bool { return !w.cancelled.IsZero() && w.send() }},
	{Name: "deliver", Count: 2, Do: func(w *world, answered int) bool { return w.deliver(answered == 1) }},
	{Name: "succeed", Count: 1, Do: func(w *world, _ int) bool {
		if w.f.Term > 1 || w.now.Before(w.grantEnd) || !w.launched {
			return false
		}
		w.lead(2)
		w.sync()
		return true
	}},
}

// Broken implements explorer.World.
func (w *world) Broken() string { return w.broken }

// Print implements explorer.World.
func (w *world) Print() string {
	p := &explorer.Printer{Now: w.now, MaxAge: cancelTime + tick}
	p.Values(w.f.Term, w.launched, w.over, w.kept, w.w.session, w.w.token, w.w.phase, len(w.held), w.holder.Term(), " ")
	p.Times(w.cancelled, w.w.leased, w.grantEnd, w.h.heard, w.h.directAt)
	by, asked := w.a.Holder("host-1")
	p.Values(by, asked, w.h.Session, w.h.Fenced, w.h.Withheld, w.h.Lost, w.h.holder != nil, w.h.seq == w.w.seq, w.h.reported == w.w.seq, " ")
	for s := range w.f.On(w.j) {
		p.Values(s.Phase, s.Seen, s.Direct, s.Stopping)
		p.Times(s.Halted, s.again, s.At)
	}
	for _, d := range w.held {
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
		{"as it is", none, [][]string{met, held, slices.Concat(met, runs), slices.Concat(held, runs), slices.Concat(held, runs, answered),
			slices.Concat(held, []string{"launch", "cancel"}, answered), slices.Concat(held, runs, answered, nearLimit)}},
		{"the leader renews while a launch is on its way", withholds, [][]string{met}},
		{"a holder retains the machine", givesBack, [][]string{slices.Concat(held, runs)}},
		{"a holder gives the machine back at the limit", inTime, [][]string{slices.Concat(held, runs, answered, nearLimit)}},
		{"a holder answers for tasks that the leader does not know of", tellsFirst, [][]string{slices.Concat(held, []string{"launch", "cancel"}, answered)}},
		{"the leader halts once in a while", alwaysHalts, [][]string{slices.Concat(met, runs)}},
		{"the time counts from the answer to the user", fromSending, [][]string{met}},
		{"a new leader counts from its own begin", unknownIsPast, [][]string{slices.Concat(held, runs)}},
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
			if (broken != "") != (tt.out != none) {
				t.Errorf("after %d steps: %q", steps, broken)
			}
		})
	}
}
