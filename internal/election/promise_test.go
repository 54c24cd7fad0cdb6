package election

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"vetchstream/internal/explorer"
)

// guard is one that can be taken out of a world, to see that the explorer notices.
type guard uint8

const (
	none         guard = iota
	promiseHolds       // a member that has promised does not campaign
	waits              // a fresh process waits for what the one before may have promised
	fromAsking         // a promise counts from when it was asked for, not from its answer
	all                // every sibling has to have promised
	notMeantime        // a member that campaigns does not promise
	unbroken           // a promise does not bring a lapsed entitlement back
)

const (
	tick   = 500 * time.Millisecond
	ttl    = 2 * time.Second
	length = 1200 * time.Millisecond
)

// member is a process of a controller, with its wire to the two others.
type member struct {
	p       *promiseState
	leading bool
	term    int // of its last term
	until   time.Time
	trying  bool // an election that has begun and is not settled
	refused bool // by the state service alone
	// answers are promises on their way, by who gave them: when they were asked for.
	answers map[int]time.Time
}

// world is a state service with three members. A lease does not run out in an
// outage, and has its full time afterwards.
type world struct {
	out     guard
	now     time.Time
	down    bool
	holder  int // -1: none
	expires time.Time
	term    int // the last one
	m       [3]member
}

func newWorld(out guard) *world {
	w := &world{out: out, now: time.Unix(1000, 0), holder: -1}
	for i := range w.m {
		w.start(i)
	}
	w.now = w.now.Add(2 * length)
	return w
}

func (w *world) start(i int) {
	siblings := slices.Delete([]string{"0", "1", "2"}, i, i+1)
	w.m[i] = member{p: newPromiseState(length, siblings, w.now), refused: w.m[i].refused, answers: map[int]time.Time{}}
}

func (w *world) served(i int) bool { return !w.down && !w.m[i].refused }

func (w *world) entitled(i int) bool {
	return w.m[i].leading && w.now.Before(w.entitledUntil(i))
}

func (w *world) entitledUntil(i int) time.Time {
	m := &w.m[i]
	until := m.until
	t := m.p.until()
	if w.out == all {
		for _, got := range m.p.receivedUntil {
			if got.After(t) {
				t = got
			}
		}
	}
	if t.After(until) {
		until = t
	}
	return until
}

var actions = []explorer.Action[*world]{
	{Name: "tick", Count: 1, Do: func(w *world, _ int) bool {
		w.now = w.now.Add(tick)
		if w.holder >= 0 && !w.down && !w.now.Before(w.expires) {
			w.holder = -1
		}
		return true
	}},
	{Name: "outage", Count: 1, Do: func(w *world, _ int) bool {
		w.down = !w.down
		if !w.down {
			w.expires = w.now.Add(ttl)
		}
		return true
	}},
	{Name: "refuse", Count: 3, Do: func(w *world, i int) bool { w.m[i].refused = !w.m[i].refused; return true }},
	{Name: "renew", Count: 2, Do: func(w *world, i int) bool {
		m := &w.m[i]
		if !m.leading || !w.served(i) {
			return false
		}
		if w.holder != i {
			m.leading = false
			m.p.endCampaign()
			return true
		}
		m.until, w.expires = w.now.Add(ttl-50*time.Millisecond), w.now.Add(ttl)
		return true
	}},
	{Name: "campaign", Count: 3, Do: func(w *world, i int) bool {
		m := &w.m[i]
		if m.leading || m.trying || !w.served(i) || w.holder >= 0 {
			return false
		}
		may := m.p.startCampaign(w.now)
		if w.out == promiseHolds || w.out == waits && w.now.Before(m.p.started.Add(2*length)) {
			m.p.campaigning, may = true, true
		}
		m.trying = may
		return may
	}},
	// The election's commit comes later than the decision for it.
	{Name: "elected", Count: 3, Do: func(w *world, i int) bool {
		m := &w.m[i]
		if !m.trying || !w.served(i) {
			return false
		}
		m.trying = false
		if w.holder >= 0 {
			m.p.endCampaign()
			return true
		}
		w.holder, w.expires = i, w.now.Add(ttl)
		w.term++
		m.leading, m.term, m.until = true, w.term, w.now.Add(ttl-50*time.Millisecond)
		return true
	}},
	// The leader, member 0 in most plays, asks a sibling, which answers at once; the
	// answer may come late. No sibling knows of a later term than the leader's.
	{Name: "ask", Count: 2, Do: func(w *world, i int) bool {
		m, s := &w.m[0], &w.m[1+i]
		if !m.leading || w.served(0) {
			return false
		}
		if w.out == notMeantime {
			s.p.campaigning = false
		}
		if !s.leading && s.p.promise(!w.served(1+i), w.now) {
			m.answers[1+i] = w.now
		}
		return true
	}},
	{Name: "answer", Count: 2, Do: func(w *world, i int) bool {
		m := &w.m[0]
		asked, ok := m.answers[1+i]
		if !ok || !m.leading {
			return false
		}
		delete(m.answers, 1+i)
		if w.out == fromAsking {
			asked = w.now
		}
		entitled := w.entitledUntil(0)
		if w.out == unbroken {
			entitled = w.now.Add(ttl)
		}
		m.p.record(fmt.Sprint(1+i), asked, w.now, entitled)
		return true
	}},
	{Name: "end", Count: 2, Do: func(w *world, i int) bool { w.start(i); return true }},
	{Name: "hear", Count: 2, Do: func(w *world, i int) bool {
		// Member 1 hears of the two others.
		j := 2 * i
		w.m[1].p.observe(fmt.Sprint(j), w.m[j].leading)
		return true
	}},
}

func (w *world) Broken() string {
	var leads []string
	for i := range w.m {
		if !w.entitled(i) {
			continue
		}
		leads = append(leads, fmt.Sprint(i))
		if w.m[i].term < w.term {
			return fmt.Sprintf("%d is entitled by term %d after %d", i, w.m[i].term, w.term)
		}
	}
	if len(leads) > 1 {
		return "entitled: " + strings.Join(leads, " and ")
	}
	return ""
}

func (w *world) Print() string {
	p := &explorer.Printer{Now: w.now, MaxAge: 2 * length}
	p.Values(w.down, w.holder)
	p.Times(w.expires)
	for i := range w.m {
		m := &w.m[i]
		p.Values("|", m.leading, w.term-m.term, m.trying, m.refused, m.p.campaigning, len(m.p.notLeading))
		p.Times(m.until, m.p.givenUntil, m.p.started.Add(length+m.p.clockSlack()))
		for j := range 3 {
			p.Times(m.p.receivedUntil[fmt.Sprint(j)], m.answers[j])
		}
	}
	return p.String()
}

// TestPromisesNeverTwoLeaders: never two members that are entitled, whatever is
// refused, down, ends or comes late. With a guard taken out the explorer finds
// why it is there.
func TestPromisesNeverTwoLeaders(t *testing.T) {
	tests := []struct {
		name string
		out  guard
	}{
		{"as it is", none},
		{"a member that has promised campaigns", promiseHolds},
		{"a fresh process does not wait", waits},
		{"a promise counted from its answer", fromAsking},
		{"not every sibling has promised", all},
		{"a promise during an election", notMeantime},
		{"a promise after a lapse", unbroken},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &explorer.Explorer[*world]{New: func() *world { return newWorld(tt.out) }, Actions: actions, MaxStates: 2000}
			one := func(name string) []explorer.Step { return g.Steps(2, name)[1:] } // for the second thing alone
			leads := slices.Concat(g.Steps(1, "campaign", "elected"))
			refused := slices.Concat(leads, g.Steps(3, "refuse"), g.Steps(1, "tick", "tick", "tick"))
			asked := slices.Concat(refused, g.Steps(2, "ask"))
			// The leader's entitlement lapses, another leads, and the state service is out
			// for all. The other may end and begin anew.
			led := slices.Concat(refused, g.Steps(1, "tick"), one("refuse"), one("campaign"), one("elected"), g.Steps(1, "outage"))
			// Asked while the lease lasts, answered when it has nearly ended.
			late := slices.Concat(leads, g.Steps(3, "refuse"), g.Steps(1, "tick"), g.Steps(2, "ask"), g.Steps(1, "tick", "tick"), g.Steps(2, "answer"))
			// A sibling has been in an election since before the leader won it.
			trying := slices.Concat(one("campaign"), refused, g.Steps(2, "ask", "answer"))
			states, broken := g.ExploreFrom(leads, refused, asked, slices.Concat(asked, g.Steps(2, "answer")), late,
				slices.Concat(refused, one("ask"), one("answer")), trying, led, slices.Concat(led, one("end"), g.Steps(2, "ask")))
			t.Logf("%d states: %s", states, broken)
			if (broken != "") != (tt.out != none) {
				t.Errorf("after %d states: %q", states, broken)
			}
		})
	}
}

// TestPromise: when a promise is given, and when its end lets a member campaign.
func TestPromise(t *testing.T) {
	now := time.Unix(1000, 0)
	late := now.Add(time.Minute)
	tests := []struct {
		name string
		do   func(p *promiseState) bool
		want bool
	}{
		{"not refused: it had better lead itself", func(p *promiseState) bool { return p.promise(false, late) }, false},
		{"refused as well", func(p *promiseState) bool { return p.promise(true, late) }, true},
		{"while it campaigns", func(p *promiseState) bool { p.startCampaign(late); return p.promise(true, late) }, false},
		{"it campaigns again after its promise", func(p *promiseState) bool {
			p.promise(true, late)
			return !p.startCampaign(late.Add(length)) && p.startCampaign(late.Add(length+p.clockSlack()))
		}, true},
		{"a fresh process waits", func(p *promiseState) bool { return p.startCampaign(now.Add(length)) }, false},
		{"unless no sibling leads", func(p *promiseState) bool { p.observe("a", false); p.observe("b", false); return p.startCampaign(now) }, true},
		{"one does", func(p *promiseState) bool {
			p.observe("a", false)
			p.observe("b", false)
			p.observe("b", true)
			return p.startCampaign(now)
		}, false},
		{"the leader counts from the first promise that ends", func(p *promiseState) bool {
			p.record("a", late, late, late.Add(time.Second))
			missing := p.until().IsZero()
			p.record("b", late.Add(time.Second), late, late.Add(time.Second))
			return missing && p.until().Equal(late.Add(length))
		}, true},
		{"the last of them comes after the entitlement has lapsed", func(p *promiseState) bool {
			p.record("a", late, late, late.Add(time.Second))
			p.record("b", late, late.Add(time.Second), late.Add(time.Second))
			return !p.until().IsZero()
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.do(newPromiseState(length, []string{"a", "b"}, now)); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
