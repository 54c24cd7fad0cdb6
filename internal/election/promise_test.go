package election

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"vetchstream/internal/explorer"
)

// guard is a rule of the promises that a world can disable, to check that the
// explorer finds the fault that the rule prevents.
type guard uint8

const (
	noGuard                      guard = iota
	promiserMustNotCampaign            // a member that has promised does not campaign
	restartedMemberWaits               // a new process waits for as long as an earlier promise may last
	promiseCountsFromRequest           // a promise counts from its request, not from its response
	allSiblingsMustPromise             // every sibling has to have promised
	campaignerMustNotPromise           // a member that campaigns does not promise
	lapsedEntitlementStaysLapsed       // a promise does not restore a lapsed entitlement
)

const (
	tickInterval    = 500 * time.Millisecond
	leaseTTL        = 2 * time.Second
	promiseDuration = 1200 * time.Millisecond
)

// member is the process of a controller, with the promises on their way to it.
type member struct {
	promises     *promiseState
	leading      bool
	term         int // of its last term
	leaseUntil   time.Time
	campaigning  bool // a campaign that is not decided yet
	storeRefuses bool // the state service refuses this member alone
	// promisesInFlight holds when each promise on its way was requested, by the
	// sibling that gave it.
	promisesInFlight map[int]time.Time
}

// world is a state service with three members. A lease does not expire in an
// outage of the service, and has its full ttl afterwards.
type world struct {
	disabled     guard // noGuard: none
	now          time.Time
	storeDown    bool
	leader       int // -1: none
	leaseExpires time.Time
	lastTerm     int
	members      [3]member
}

func newWorld(disabled guard) *world {
	w := &world{disabled: disabled, now: time.Unix(1000, 0), leader: -1}
	for i := range w.members {
		w.startMember(i)
	}
	w.now = w.now.Add(2 * promiseDuration)
	return w
}

// startMember starts the process of a member, or starts it anew.
func (w *world) startMember(i int) {
	siblings := slices.Delete([]string{"0", "1", "2"}, i, i+1)
	w.members[i] = member{
		promises:         newPromiseState(promiseDuration, siblings, w.now),
		storeRefuses:     w.members[i].storeRefuses,
		promisesInFlight: map[int]time.Time{},
	}
}

// served reports whether the state service answers a member.
func (w *world) served(i int) bool { return !w.storeDown && !w.members[i].storeRefuses }

// entitled reports whether a member may act as leader.
func (w *world) entitled(i int) bool {
	return w.members[i].leading && w.now.Before(w.entitledUntil(i))
}

// entitledUntil is when the entitlement of a member ends.
func (w *world) entitledUntil(i int) time.Time {
	m := &w.members[i]
	until := m.leaseUntil
	t := m.promises.allPromisedUntil()
	if w.disabled == allSiblingsMustPromise {
		for _, got := range m.promises.receivedUntil {
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

// actions are the steps of the explorer, for each member.
var actions = []explorer.Action[*world]{
	{Name: "tick", Count: 1, Do: func(w *world, _ int) bool {
		w.now = w.now.Add(tickInterval)
		if w.leader >= 0 && !w.storeDown && !w.now.Before(w.leaseExpires) {
			w.leader = -1
		}
		return true
	}},
	{Name: "outage", Count: 1, Do: func(w *world, _ int) bool {
		w.storeDown = !w.storeDown
		if !w.storeDown {
			w.leaseExpires = w.now.Add(leaseTTL)
		}
		return true
	}},
	{Name: "refuse", Count: 3, Do: func(w *world, i int) bool { w.members[i].storeRefuses = !w.members[i].storeRefuses; return true }},
	{Name: "renew", Count: 2, Do: func(w *world, i int) bool {
		m := &w.members[i]
		if !m.leading || !w.served(i) {
			return false
		}
		if w.leader != i {
			m.leading = false
			m.promises.endCampaign()
			return true
		}
		m.leaseUntil, w.leaseExpires = w.now.Add(leaseTTL-50*time.Millisecond), w.now.Add(leaseTTL)
		return true
	}},
	{Name: "campaign", Count: 3, Do: func(w *world, i int) bool {
		m := &w.members[i]
		if m.leading || m.campaigning || !w.served(i) || w.leader >= 0 {
			return false
		}
		may := m.promises.startCampaign(w.now)
		if w.disabled == promiserMustNotCampaign || w.disabled == restartedMemberWaits && w.now.Before(m.promises.startedAt.Add(2*promiseDuration)) {
			m.promises.campaigning, may = true, true
		}
		m.campaigning = may
		return may
	}},
	// The election's commit comes later than the decision for it.
	{Name: "elected", Count: 3, Do: func(w *world, i int) bool {
		m := &w.members[i]
		if !m.campaigning || !w.served(i) {
			return false
		}
		m.campaigning = false
		if w.leader >= 0 {
			m.promises.endCampaign()
			return true
		}
		w.leader, w.leaseExpires = i, w.now.Add(leaseTTL)
		w.lastTerm++
		m.leading, m.term, m.leaseUntil = true, w.lastTerm, w.now.Add(leaseTTL-50*time.Millisecond)
		return true
	}},
	// The leader, member 0 in most cases, asks a sibling, which answers at once, but the
	// answer may come late. No sibling knows of a later term than the leader's.
	{Name: "ask", Count: 2, Do: func(w *world, i int) bool {
		m, s := &w.members[0], &w.members[1+i]
		if !m.leading || w.served(0) {
			return false
		}
		if w.disabled == campaignerMustNotPromise {
			s.promises.campaigning = false
		}
		if !s.leading && s.promises.grant(!w.served(1+i), w.now) {
			m.promisesInFlight[1+i] = w.now
		}
		return true
	}},
	{Name: "answer", Count: 2, Do: func(w *world, i int) bool {
		m := &w.members[0]
		asked, ok := m.promisesInFlight[1+i]
		if !ok || !m.leading {
			return false
		}
		delete(m.promisesInFlight, 1+i)
		if w.disabled == promiseCountsFromRequest {
			asked = w.now
		}
		entitled := w.entitledUntil(0)
		if w.disabled == lapsedEntitlementStaysLapsed {
			entitled = w.now.Add(leaseTTL)
		}
		m.promises.recordReceived(fmt.Sprint(1+i), asked, w.now, entitled)
		return true
	}},
	{Name: "end", Count: 2, Do: func(w *world, i int) bool { w.startMember(i); return true }},
	{Name: "hear", Count: 2, Do: func(w *world, i int) bool {
		// Member 1 has heartbeats of the two others.
		j := 2 * i
		w.members[1].promises.observeSibling(fmt.Sprint(j), w.members[j].leading)
		return true
	}},
}

// Violation implements explorer.World.
func (w *world) Violation() string {
	var leads []string
	for i := range w.members {
		if !w.entitled(i) {
			continue
		}
		leads = append(leads, fmt.Sprint(i))
		if w.members[i].term < w.lastTerm {
			return fmt.Sprintf("%d is entitled by term %d after %d", i, w.members[i].term, w.lastTerm)
		}
	}
	if len(leads) > 1 {
		return "entitled: " + strings.Join(leads, " and ")
	}
	return ""
}

// Fingerprint implements explorer.World.
func (w *world) Fingerprint() string {
	p := &explorer.Printer{Now: w.now, MaxAge: 2 * promiseDuration}
	p.Values(w.storeDown, w.leader)
	p.Times(w.leaseExpires)
	for i := range w.members {
		m := &w.members[i]
		p.Values("|", m.leading, w.lastTerm-m.term, m.campaigning, m.storeRefuses, m.promises.campaigning, len(m.promises.knownNotLeading))
		p.Times(m.leaseUntil, m.promises.grantedUntil, m.promises.startedAt.Add(promiseDuration+m.promises.clockSlack()))
		for j := range 3 {
			p.Times(m.promises.receivedUntil[fmt.Sprint(j)], m.promisesInFlight[j])
		}
	}
	return p.String()
}

// TestAtMostOneMemberEntitled: never two entitled members, whatever fails, ends or comes
// late. With a guard disabled the explorer finds the fault that it prevents.
func TestAtMostOneMemberEntitled(t *testing.T) {
	tests := []struct {
		name     string
		disabled guard
	}{
		{"as it is", noGuard},
		{"a member that has promised campaigns", promiserMustNotCampaign},
		{"a fresh process does not wait", restartedMemberWaits},
		{"a promise counted from its answer", promiseCountsFromRequest},
		{"not every sibling has promised", allSiblingsMustPromise},
		{"a promise during an election", campaignerMustNotPromise},
		{"a promise after a lapse", lapsedEntitlementStaysLapsed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &explorer.Explorer[*world]{New: func() *world { return newWorld(tt.disabled) }, Actions: actions, MaxStates: 2000}
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
			if (broken != "") != (tt.disabled != noGuard) {
				t.Errorf("after %d states: %q", states, broken)
			}
		})
	}
}

// TestPromiseState: when a promise is given, and when its end lets a member campaign.
func TestPromiseState(t *testing.T) {
	now := time.Unix(1000, 0)
	late := now.Add(time.Minute)
	tests := []struct {
		name string
		do   func(p *promiseState) bool
		want bool
	}{
		{"not refused: it had better lead itself", func(p *promiseState) bool { return p.grant(false, late) }, false},
		{"refused as well", func(p *promiseState) bool { return p.grant(true, late) }, true},
		{"while it campaigns", func(p *promiseState) bool { p.startCampaign(late); return p.grant(true, late) }, false},
		{"it campaigns again after its promise", func(p *promiseState) bool {
			p.grant(true, late)
			return !p.startCampaign(late.Add(promiseDuration)) && p.startCampaign(late.Add(promiseDuration+p.clockSlack()))
		}, true},
		{"a fresh process waits", func(p *promiseState) bool { return p.startCampaign(now.Add(promiseDuration)) }, false},
		{"unless no sibling leads", func(p *promiseState) bool {
			p.observeSibling("a", false)
			p.observeSibling("b", false)
			return p.startCampaign(now)
		}, true},
		{"one does", func(p *promiseState) bool {
			p.observeSibling("a", false)
			p.observeSibling("b", false)
			p.observeSibling("b", true)
			return p.startCampaign(now)
		}, false},
		{"the leader counts from the first promise that ends", func(p *promiseState) bool {
			p.recordReceived("a", late, late, late.Add(time.Second))
			missing := p.allPromisedUntil().IsZero()
			p.recordReceived("b", late.Add(time.Second), late, late.Add(time.Second))
			return missing && p.allPromisedUntil().Equal(late.Add(promiseDuration))
		}, true},
		{"the last of them comes after the entitlement has lapsed", func(p *promiseState) bool {
			p.recordReceived("a", late, late, late.Add(time.Second))
			p.recordReceived("b", late, late.Add(time.Second), late.Add(time.Second))
			return !p.allPromisedUntil().IsZero()
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.do(newPromiseState(promiseDuration, []string{"a", "b"}, now)); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
