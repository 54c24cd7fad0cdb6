package shard

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"vetchstream/internal/explorer"
	"vetchstream/internal/wire"
)

// The explorer tries every order of a few steps of two leaders, two holders and two
// machines, with messages that are late or lost, and processes that end.

// guard is a rule that a world can disable, to check that the explorer finds the fault
// that the rule prevents.
type guard uint8

const (
	noGuard                    guard = iota
	grantFromRequest                 // a grant is counted from before the request, not from its answer
	grantWithinEntitlement           // a grant ends no later than the leader's entitlement
	newestRequestOnly                // a request that is not the newest is refused
	confirmedByHolder                // a change counts once the holder has confirmed it, not once it was sent
	silentHolderUntilGrantEnds       // a silent holder retains its machines until its grant has ended
	leaderAfterEntitlement           // a leader begins once the one before is no longer entitled
	reportsBeforeRevocation          // a holder reports what it answered before it stopped
)

const (
	tick      = 700 * time.Millisecond
	grantTime = 1500 * time.Millisecond
	leadTime  = 2200 * time.Millisecond
)

// holderProcess is a holder with its connection to the leader: one message is in flight
// at a time, and one that was given up may come late.
type holderProcess struct {
	holder          *Holder
	incarnation     uint64
	sent            time.Time
	requestInFlight *Request
	replyInFlight   *Reply
	lateRequest     *Request
}

// world is two leaders, one after the other, with two holders and two machines.
type world struct {
	disabled        guard
	now             time.Time
	leader          *Assigner
	entitledUntil   time.Time // when the leader's entitlement ends
	deposed         bool
	entitlementEnds map[uint64]time.Time // of the entitlement, by term
	holders         [2]holderProcess
	names           [2]string
	seq             [2]uint64
	answered        [2]time.Time // the last answer of a holder
	knownAt         [2]time.Time // the last answer that the leader knows of, or assumes
	broken          string
}

func newWorld(disabled guard) *world {
	w := &world{disabled: disabled, now: time.Unix(1000, 0), names: [2]string{"m1", "m2"}, entitlementEnds: map[uint64]time.Time{}}
	w.begin(1)
	for i := range w.holders {
		w.start(i)
	}
	return w
}

func (w *world) begin(term uint64) {
	w.leader = NewAssigner(term, "lead", "", Settings{GrantDuration: grantTime, RejoinDelay: tick, MaxRejoinDelay: 2 * tick, MovesPerSecond: 1000, LeaderWeight: 0.01, LeaderCapacity: 2}, w.now)
	for _, n := range w.names {
		w.leader.AddMachine(n, "")
	}
	w.knownAt = [2]time.Time{w.now, w.now} // a new leader counts from its own begin
	w.deposed = false
	w.renew()
}

func (w *world) renew() {
	w.entitledUntil = w.now.Add(leadTime)
	w.entitlementEnds[w.leader.term] = w.entitledUntil
}

func (w *world) leads() bool { return w.now.Before(w.entitledUntil) }

func (w *world) start(i int) {
	s := &w.holders[i]
	s.incarnation++
	if s.requestInFlight != nil {
		s.lateRequest = s.requestInFlight
	}
	s.requestInFlight, s.replyInFlight = nil, nil
	s.holder = NewHolder(fmt.Sprintf("h%d", i), "", s.incarnation)
}

// freed takes in what the leader holds to be without a holder.
func (w *world) freed(fs []Revocation) {
	for _, f := range fs {
		k := slices.Index(w.names[:], f.Name)
		if f.Until.After(w.knownAt[k]) {
			w.knownAt[k] = f.Until
		}
		if w.answered[k].After(w.knownAt[k]) {
			w.broken = fmt.Sprintf("%s was answered at %v, and the leader counts from %v", f.Name, w.rel(w.answered[k]), w.rel(w.knownAt[k]))
		}
	}
}

func (w *world) rel(t time.Time) time.Duration { return t.Sub(w.now) }

// arrive lets a request come to the leader.
func (w *world) arrive(i int, r *Request) *Reply {
	if !w.leads() {
		return &Reply{}
	}
	c := *r
	if m := w.leader.members[c.Member]; w.disabled == confirmedByHolder && m != nil {
		c.Number, c.Term = m.lastReply, w.leader.term
	}
	if w.disabled == reportsBeforeRevocation {
		c.Reports = nil
	}
	fs, ok := w.leader.HandleRequest(&c, w.now)
	if ok && c.Term == w.leader.term {
		for _, e := range c.Reports {
			k := slices.Index(w.names[:], e.Host)
			if at := w.now.Add(-time.Duration(e.AgeMs) * time.Millisecond); at.After(w.knownAt[k]) {
				w.knownAt[k] = at
			}
		}
	}
	w.freed(fs)
	if !ok {
		return &Reply{}
	}
	p := w.leader.Reply(c.Member, w.now)
	if w.disabled != grantWithinEntitlement {
		p.ForMs = min(p.ForMs, w.entitledUntil.Sub(w.now).Milliseconds())
	}
	return p
}

// actions are the steps, for the holders or the machines.
var actions = []explorer.Action[*world]{
	{Name: "tick", Do: func(w *world, _ int) bool {
		w.now = w.now.Add(tick)
		if w.leads() {
			w.freed(w.leader.Step(w.now))
		}
		return true
	}, Count: 1},
	{Name: "ask", Do: func(w *world, i int) bool {
		s := &w.holders[i]
		if s.requestInFlight != nil || s.replyInFlight != nil {
			return false
		}
		if w.leader.term > s.holder.Term() {
			s.holder.EndTerm()
		}
		s.sent, s.requestInFlight = w.now, s.holder.Request(2, 1, false, w.now)
		return true
	}, Count: 2},
	{Name: "arrive", Do: func(w *world, i int) bool {
		s := &w.holders[i]
		if s.requestInFlight == nil {
			return false
		}
		s.replyInFlight, s.requestInFlight = w.arrive(i, s.requestInFlight), nil
		return true
	}, Count: 2},
	{Name: "grant", Do: func(w *world, i int) bool {
		s := &w.holders[i]
		if s.replyInFlight == nil {
			return false
		}
		sent := s.sent
		if w.disabled == grantFromRequest {
			sent = w.now
		}
		s.holder.HandleReply(s.replyInFlight, sent)
		s.replyInFlight = nil
		return true
	}, Count: 2},
	{Name: "lose", Do: func(w *world, i int) bool {
		s := &w.holders[i]
		if s.requestInFlight == nil && s.replyInFlight == nil {
			return false
		}
		if s.requestInFlight != nil {
			s.lateRequest = s.requestInFlight
		}
		s.requestInFlight, s.replyInFlight = nil, nil
		s.holder.RequestFailed()
		return true
	}, Count: 2},
	{Name: "late", Do: func(w *world, i int) bool {
		s := &w.holders[i]
		if s.lateRequest == nil {
			return false
		}
		w.arrive(i, s.lateRequest) // nobody waits for the reply
		s.lateRequest = nil
		return true
	}, Count: 2},
	{Name: "end", Do: func(w *world, i int) bool { w.start(i); return true }, Count: 1},
	{Name: "report", Do: func(w *world, k int) bool {
		if w.leads() {
			if r, _ := w.leader.RouteReport(w.names[k], "", w.now); r == Serve {
				w.leader.ReportServed(w.names[k], "", w.now)
			}
		}
		return true
	}, Count: 2},
	{Name: "checkin", Do: func(w *world, k int) bool {
		// The worker reports to whoever answers it.
		for i := range w.holders {
			w.seq[k]++
			m := &wire.Report{Host: w.names[k], Session: 1, Seq: w.seq[k]}
			if _, v := w.holders[i].holder.Report(m, []byte{1}, w.now); v >= Answered {
				w.answered[k] = w.now
				return true
			}
		}
		return false
	}, Count: 2},
	{Name: "depose", Do: func(w *world, _ int) bool { was := w.deposed; w.deposed = true; return !was && w.leader.term == 1 }, Count: 1},
	{Name: "succeed", Do: func(w *world, _ int) bool {
		if !w.deposed || (w.leads() && w.disabled != leaderAfterEntitlement) {
			return false
		}
		w.begin(w.leader.term + 1)
		return true
	}, Count: 1},
	{Name: "renew", Do: func(w *world, _ int) bool {
		if w.deposed || !w.leads() {
			return false
		}
		w.renew()
		return true
	}, Count: 1},
}

// Violation looks at what must hold in every state.
func (w *world) Violation() string {
	if w.disabled == silentHolderUntilGrantEnds {
		for _, m := range w.leader.members {
			if len(m.machines) > 0 && w.now.Sub(m.heardAt) >= tick {
				w.freed(w.leader.revokeAll(m, w.now, "", w.now))
			}
		}
	}
	for k, name := range w.names {
		n := 0
		if h, _ := w.leader.Holder(name); h == "" && w.leads() {
			n++
		}
		for i := range w.holders {
			h := w.holders[i].holder
			if e := h.machines[name]; e == nil || e.dropped || !h.GrantValid(h.Term(), w.now) {
				continue
			}
			n++
			if !w.now.Before(w.entitlementEnds[h.Term()]) {
				w.broken = fmt.Sprintf("h%d answers %s outside the entitlement of term %d", i, name, h.Term())
			}
		}
		if n > 1 {
			w.broken = name + " has two valid holders"
		}
		if h, _ := w.leader.Holder(name); h != "" && w.leads() && w.answered[k].Before(w.leader.KnownUntil(h)) && w.answered[k].Sub(w.knownAt[k]) > time.Millisecond && w.answered[k].After(w.begun()) {
			w.broken = fmt.Sprintf("%s was answered at %v, told up to %v, known %v", name, w.rel(w.answered[k]), w.rel(w.leader.KnownUntil(h)), w.rel(w.knownAt[k]))
		}
	}
	return w.broken
}

// begun is the begin of the present term.
func (w *world) begun() time.Time { return w.entitlementEnds[w.leader.term-1] }

// Fingerprint names the state: times are told from now, and those long past are alike.
func (w *world) Fingerprint() string {
	p := &explorer.Printer{Now: w.now, MaxAge: 4 * tick}
	a := w.leader
	p.Values(a.term, w.deposed)
	p.Times(w.entitledUntil)
	for k, n := range w.names {
		mc := a.machines[n]
		h, _ := a.Holder(n)
		p.Values(h, mc.phase, !mc.redirectedAt.IsZero())
		if h != "" {
			p.Values(int64(mc.announcedIn) - int64(mc.holder.ackedReply))
		}
		p.Times(w.answered[k], w.knownAt[k])
	}
	for i := range w.holders {
		s := &w.holders[i]
		p.Values("|", s.requestInFlight != nil, s.replyInFlight != nil, s.lateRequest != nil, s.holder.Term(), len(s.holder.previousHosts))
		p.Times(s.holder.grantUntil)
		if s.requestInFlight != nil || s.replyInFlight != nil {
			p.Times(s.sent)
		}
		if s.replyInFlight != nil {
			p.Values(s.replyInFlight.ForMs, s.replyInFlight.Add, s.replyInFlight.Drop, s.replyInFlight.Reset, s.replyInFlight.Term)
		}
		for _, n := range w.names {
			if k := s.holder.machines[n]; k != nil {
				p.Values(n, k.dropped, k.lastReport-k.acknowledgedReport)
			}
		}
		if m := a.members[fmt.Sprintf("h%d", i)]; m != nil {
			p.Values(m.joined, m.leavingReason, m.needsReset, m.lastReply-m.ackedReply, m.incarnation == s.incarnation, int64(s.holder.lastReply)-int64(m.ackedReply))
			p.Times(m.grantUntil, m.heardAt, m.ackedAt, m.knownUntil, m.noJoinBefore)
		}
	}
	return p.String()
}

// settle plays on without faults: every machine is to be served.
func settle(g *explorer.Explorer[*world], w *world) string {
	for range 14 {
		g.Do(w, "tick", 0)
		g.Do(w, "renew", 0)
		if !w.leads() {
			g.Do(w, "depose", 0)
			g.Do(w, "succeed", 0)
		}
		for i := range 2 {
			for _, name := range []string{"grant", "arrive", "grant", "ask", "arrive", "grant"} {
				g.Do(w, name, i)
			}
			if h, _ := w.leader.Holder(w.names[i]); h == "" {
				g.Do(w, "report", i) // the worker has nowhere else to go
			}
			g.Do(w, "checkin", i)
			if why := w.Violation(); why != "" {
				return why
			}
		}
	}
	for _, name := range w.names {
		h, _ := w.leader.Holder(name)
		if h == "" {
			continue
		}
		s := &w.holders[h[1]-'0']
		if k := s.holder.machines[name]; k == nil || k.dropped || !s.holder.GrantValid(w.leader.term, w.now) {
			return name + " is not served again"
		}
	}
	if !w.leads() {
		return "nobody leads"
	}
	return ""
}

// most is how many states a case looks at from each start. More find nothing new
// since 200,000 were looked at, and take long with the race detector.
var most = flag.Int("states", 9000, "states that TestExplore looks at")

// TestExplore: never two valid holders of a machine, no answer outside the leader's
// entitlement, nothing answered that the leader does not count with, and every
// machine served again. With a guard taken out the explorer finds why it is there.
func TestExplore(t *testing.T) {
	tests := []struct {
		name string
		out  guard
	}{
		{"as it is", noGuard},
		{"a grant counted from its answer", grantFromRequest},
		{"a grant beyond the entitlement", grantWithinEntitlement},
		{"a change that was sent but not taken in", confirmedByHolder},
		{"a silent holder's machines taken at once", silentHolderUntilGrantEnds},
		{"a leader that begins too early", leaderAfterEntitlement},
		{"a holder that does not tell what it answered", reportsBeforeRevocation},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &explorer.Explorer[*world]{New: func() *world { return newWorld(tt.out) }, Actions: actions, MaxStates: *most}
			holders := 2
			if tt.out == noGuard {
				g.SettleInterval, g.Settle = 37, func(w *world) string { return settle(g, w) }
			} else {
				// One holder and one machine are enough, and go deeper.
				holders = 1
				g.Actions = slices.Clone(actions)
				for a := range g.Actions {
					g.Actions[a].Count = 1
				}
			}
			// The holders have joined; one has a machine, then none has.
			joined := g.Steps(holders, "ask", "arrive", "grant")
			states, broken := g.ExploreFrom(slices.Concat(joined, g.Steps(1, "tick"), joined, g.Steps(1, "report"), joined, joined), joined)
			t.Logf("%d states: %s", states, broken)
			if (broken != "") != (tt.out != noGuard) {
				t.Errorf("after %d states: %q", states, broken)
			}
		})
	}
}
