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

// The game plays every order of a few steps of two leaders, two holders and two
// machines, with messages that are late or lost, and processes that end.

// guard is one that can be taken out of a world, to see that the explorer notices.
type guard uint8

const (
	none           guard = iota
	fromRequest          // a grant is counted from before the request, not from its answer
	withinLead           // a grant ends no later than the leader's entitlement
	newestOnly           // a request that is not the newest is refused
	tookIn               // a change counts once the holder has taken it in, not once it was sent
	untilOver            // a silent holder retains its machines until its grant has ended
	afterLead            // a leader begins once the one before is not entitled any more
	toldBeforeGone       // a holder tells what it answered before it let go
)

const (
	tick      = 700 * time.Millisecond
	grantTime = 1500 * time.Millisecond
	leadTime  = 2200 * time.Millisecond
)

// side is a holder with its wire to the leader: one message is under way at a time,
// and one that was given up may come late.
type side struct {
	h     *Holder
	life  uint64
	sent  time.Time
	req   *Request // under way
	reply *Reply   // under way
	late  *Request
}

type world struct {
	out      guard
	now      time.Time
	lead     *Assigner
	entitled time.Time // when the leader's entitlement ends
	deposed  bool
	ends     map[uint64]time.Time // of the entitlement, by term
	sides    [2]side
	names    [2]string
	seq      [2]uint64
	answered [2]time.Time // the last answer of a holder
	known    [2]time.Time // what the leader knows of it, or assumes
	broken   string
}

func newWorld(out guard) *world {
	w := &world{out: out, now: time.Unix(1000, 0), names: [2]string{"m1", "m2"}, ends: map[uint64]time.Time{}}
	w.begin(1)
	for i := range w.sides {
		w.start(i)
	}
	return w
}

func (w *world) begin(term uint64) {
	w.lead = NewAssigner(term, "lead", "", Settings{Grant: grantTime, Rest: tick, RestMost: 2 * tick, PerS: 1000, Own: 0.01, Room: 2}, w.now)
	for _, n := range w.names {
		w.lead.Known(n, "")
	}
	w.known = [2]time.Time{w.now, w.now} // a new leader counts from its own begin
	w.deposed = false
	w.renew()
}

func (w *world) renew() {
	w.entitled = w.now.Add(leadTime)
	w.ends[w.lead.term] = w.entitled
}

func (w *world) leads() bool { return w.now.Before(w.entitled) }

func (w *world) start(i int) {
	s := &w.sides[i]
	s.life++
	if s.req != nil {
		s.late = s.req
	}
	s.req, s.reply = nil, nil
	s.h = NewHolder(fmt.Sprintf("h%d", i), "", s.life)
}

// freed takes in what the leader holds to be without a holder.
func (w *world) freed(fs []Revocation) {
	for _, f := range fs {
		k := slices.Index(w.names[:], f.Name)
		if f.Until.After(w.known[k]) {
			w.known[k] = f.Until
		}
		if w.answered[k].After(w.known[k]) {
			w.broken = fmt.Sprintf("%s was answered at %v, and the leader counts from %v", f.Name, w.rel(w.answered[k]), w.rel(w.known[k]))
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
	if m := w.lead.members[c.Member]; w.out == tookIn && m != nil {
		c.Number, c.Term = m.number, w.lead.term
	}
	if w.out == toldBeforeGone {
		c.Entries = nil
	}
	fs, ok := w.lead.Sync(&c, w.now)
	if ok && c.Term == w.lead.term {
		for _, e := range c.Entries {
			k := slices.Index(w.names[:], e.Host)
			if at := w.now.Add(-time.Duration(e.AgeMs) * time.Millisecond); at.After(w.known[k]) {
				w.known[k] = at
			}
		}
	}
	w.freed(fs)
	if !ok {
		return &Reply{}
	}
	p := w.lead.Reply(c.Member, w.now)
	if w.out != withinLead {
		p.ForMs = min(p.ForMs, w.entitled.Sub(w.now).Milliseconds())
	}
	return p
}

// actions are the steps, for the holders or the machines.
var actions = []explorer.Action[*world]{
	{Name: "tick", Do: func(w *world, _ int) bool {
		w.now = w.now.Add(tick)
		if w.leads() {
			w.freed(w.lead.Step(w.now))
		}
		return true
	}, Count: 1},
	{Name: "ask", Do: func(w *world, i int) bool {
		s := &w.sides[i]
		if s.req != nil || s.reply != nil {
			return false
		}
		if w.lead.term > s.h.Term() {
			s.h.EndTerm()
		}
		s.sent, s.req = w.now, s.h.Request(2, 1, false, w.now)
		return true
	}, Count: 2},
	{Name: "arrive", Do: func(w *world, i int) bool {
		s := &w.sides[i]
		if s.req == nil {
			return false
		}
		s.reply, s.req = w.arrive(i, s.req), nil
		return true
	}, Count: 2},
	{Name: "grant", Do: func(w *world, i int) bool {
		s := &w.sides[i]
		if s.reply == nil {
			return false
		}
		sent := s.sent
		if w.out == fromRequest {
			sent = w.now
		}
		s.h.Granted(s.reply, sent)
		s.reply = nil
		return true
	}, Count: 2},
	{Name: "lose", Do: func(w *world, i int) bool {
		s := &w.sides[i]
		if s.req == nil && s.reply == nil {
			return false
		}
		if s.req != nil {
			s.late = s.req
		}
		s.req, s.reply = nil, nil
		s.h.Missed()
		return true
	}, Count: 2},
	{Name: "late", Do: func(w *world, i int) bool {
		s := &w.sides[i]
		if s.late == nil {
			return false
		}
		w.arrive(i, s.late) // nobody waits for the reply
		s.late = nil
		return true
	}, Count: 2},
	{Name: "end", Do: func(w *world, i int) bool { w.start(i); return true }, Count: 1},
	{Name: "report", Do: func(w *world, k int) bool {
		if w.leads() {
			if r, _ := w.lead.Report(w.names[k], "", w.now); r == Serve {
				w.lead.Served(w.names[k], "", w.now)
			}
		}
		return true
	}, Count: 2},
	{Name: "checkin", Do: func(w *world, k int) bool {
		// The worker reports to whoever answers it.
		for i := range w.sides {
			w.seq[k]++
			m := &wire.Report{Host: w.names[k], Session: 1, Seq: w.seq[k]}
			if _, v := w.sides[i].h.Report(m, []byte{1}, w.now); v >= Answered {
				w.answered[k] = w.now
				return true
			}
		}
		return false
	}, Count: 2},
	{Name: "depose", Do: func(w *world, _ int) bool { was := w.deposed; w.deposed = true; return !was && w.lead.term == 1 }, Count: 1},
	{Name: "succeed", Do: func(w *world, _ int) bool {
		if !w.deposed || (w.leads() && w.out != afterLead) {
			return false
		}
		w.begin(w.lead.term + 1)
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

// Broken looks at what must hold in every state.
func (w *world) Broken() string {
	if w.out == untilOver {
		for _, m := range w.lead.members {
			if len(m.machines) > 0 && w.now.Sub(m.heard) >= tick {
				w.freed(w.lead.silent(m, w.now, "", w.now))
			}
		}
	}
	for k, name := range w.names {
		n := 0
		if h, _ := w.lead.Holder(name); h == "" && w.leads() {
			n++
		}
		for i := range w.sides {
			h := w.sides[i].h
			if e := h.machines[name]; e == nil || e.dropped || !h.Valid(h.Term(), w.now) {
				continue
			}
			n++
			if !w.now.Before(w.ends[h.Term()]) {
				w.broken = fmt.Sprintf("h%d answers %s outside the entitlement of term %d", i, name, h.Term())
			}
		}
		if n > 1 {
			w.broken = name + " has two valid holders"
		}
		if h, _ := w.lead.Holder(name); h != "" && w.leads() && w.answered[k].Before(w.lead.Told(h)) && w.answered[k].Sub(w.known[k]) > time.Millisecond && w.answered[k].After(w.begun()) {
			w.broken = fmt.Sprintf("%s was answered at %v, told up to %v, known %v", name, w.rel(w.answered[k]), w.rel(w.lead.Told(h)), w.rel(w.known[k]))
		}
	}
	return w.broken
}

// begun is the begin of the present term.
func (w *world) begun() time.Time { return w.ends[w.lead.term-1] }

// Print names the state: times are told from now, and those long past are alike.
func (w *world) Print() string {
	p := &explorer.Printer{Now: w.now, MaxAge: 4 * tick}
	a := w.lead
	p.Values(a.term, w.deposed)
	p.Times(w.entitled)
	for k, n := range w.names {
		mc := a.machines[n]
		h, _ := a.Holder(n)
		p.Values(h, mc.phase, !mc.sentAt.IsZero())
		if h != "" {
			p.Values(int64(mc.tag) - int64(mc.m.acked))
		}
		p.Times(w.answered[k], w.known[k])
	}
	for i := range w.sides {
		s := &w.sides[i]
		p.Values("|", s.req != nil, s.reply != nil, s.late != nil, s.h.Term(), len(s.h.have))
		p.Times(s.h.until)
		if s.req != nil || s.reply != nil {
			p.Times(s.sent)
		}
		if s.reply != nil {
			p.Values(s.reply.ForMs, s.reply.Add, s.reply.Drop, s.reply.Fresh, s.reply.Term)
		}
		for _, n := range w.names {
			if k := s.h.machines[n]; k != nil {
				p.Values(n, k.dropped, k.reports-k.told)
			}
		}
		if m := a.members[fmt.Sprintf("h%d", i)]; m != nil {
			p.Values(m.joined, m.leaving, m.fresh, m.number-m.acked, m.life == s.life, int64(s.h.number)-int64(m.acked))
			p.Times(m.until, m.heard, m.ackedAt, m.told, m.notUntil)
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
			if h, _ := w.lead.Holder(w.names[i]); h == "" {
				g.Do(w, "report", i) // the worker has nowhere else to go
			}
			g.Do(w, "checkin", i)
			if why := w.Broken(); why != "" {
				return why
			}
		}
	}
	for _, name := range w.names {
		h, _ := w.lead.Holder(name)
		if h == "" {
			continue
		}
		s := &w.sides[h[1]-'0']
		if k := s.h.machines[name]; k == nil || k.dropped || !s.h.Valid(w.lead.term, w.now) {
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
		{"as it is", none},
		{"a grant counted from its answer", fromRequest},
		{"a grant beyond the entitlement", withinLead},
		{"a change that was sent but not taken in", tookIn},
		{"a silent holder's machines taken at once", untilOver},
		{"a leader that begins too early", afterLead},
		{"a holder that does not tell what it answered", toldBeforeGone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &explorer.Explorer[*world]{New: func() *world { return newWorld(tt.out) }, Actions: actions, MaxStates: *most}
			holders := 2
			if tt.out == none {
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
			if (broken != "") != (tt.out != none) {
				t.Errorf("after %d states: %q", states, broken)
			}
		})
	}
}
