package election

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"vetchstream/internal/explorer"
)

// guard is a rule of the promises. A world can disable one, to check that the explorer
// finds the violation that the rule prevents.
type guard uint8

const (
	noGuard                      guard = iota
	promiserMustNotCampaign            // a member that has promised does not campaign
	restartedMemberWaits               // a new process waits until a promise of the earlier process has ended
	promiseCountsFromRequest           // a promise lasts from its request on, not from its response
	allSiblingsMustPromise             // a promise of every sibling is required
	campaignerMustNotPromise           // a member that campaigns does not promise
	lapsedEntitlementStaysLapsed       // a promise does not restore a lapsed entitlement
)

const (
	tickInterval    = 500 * time.Millisecond
	leaseTTL        = 2 * time.Second
	promiseDuration = 1200 * time.Millisecond
)

// member is the process of a controller, with the responses in transit to it.
type member struct {
	promises     *promiseState
	leading      bool
	term         int // latest term that it has won
	leaseUntil   time.Time
	campaigning  bool // its campaign has not been decided yet
	storeRefuses bool // the state service refuses the requests of this member
	// promisesInFlight holds, by the sibling that granted it, when each promise in
	// transit was requested.
	promisesInFlight map[int]time.Time
}

// world is a state service with three members. During an outage of the service a lease
// does not expire; afterwards it has its full TTL again.
type world struct {
	disabled     guard // noGuard if every guard is enabled
	now          time.Time
	storeDown    bool
	leader       int // index of the member; -1 if there is no leader
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

// startMember starts or restarts the process of a member.
func (w *world) startMember(i int) {
	siblings := slices.Delete([]string{"0", "1", "2"}, i, i+1)
	w.members[i] = member{
		promises:         newPromiseState(promiseDuration, siblings, w.now),
		storeRefuses:     w.members[i].storeRefuses,
		promisesInFlight: map[int]time.Time{},
	}
}

// served reports whether the state service serves the requests of a member.
func (w *world) served(i int) bool { return !w.storeDown && !w.members[i].storeRefuses }

// entitled reports whether a member may act as leader.
func (w *world) entitled(i int) bool {
	return w.members[i].leading && w.now.Before(w.entitledUntil(i))
}

// entitledUntil returns when the entitlement of a member ends.
func (w *world) entitledUntil(i int) time.Time {
	m := &w.members[i]
	until := m.leaseUntil
	promised := m.promises.allPromisedUntil()
	if w.disabled == allSiblingsMustPromise {
		for _, received := range m.promises.receivedUntil {
			if received.After(promised) {
				promised = received
			}
		}
	}
	if promised.After(until) {
		until = promised
	}
	return until
}

// actions are the actions that the explorer can take. The index i selects a member, or
// one of the siblings of member 0 or of member 1.
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
		allowed := m.promises.startCampaign(w.now)
		if w.disabled == promiserMustNotCampaign || w.disabled == restartedMemberWaits && w.now.Before(m.promises.startedAt.Add(2*promiseDuration)) {
			m.promises.campaigning, allowed = true, true
		}
		m.campaigning = allowed
		return allowed
	}},
	// The store executes the commit of a campaign some time after the campaign started.
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
	// Member 0, if it leads, requests a promise from a sibling. The sibling handles the
	// request at once, but the response may arrive late. No sibling has observed a term
	// later than the leader's.
	{Name: "request", Count: 2, Do: func(w *world, i int) bool {
		m, sibling := &w.members[0], &w.members[1+i]
		if !m.leading || w.served(0) {
			return false
		}
		if w.disabled == campaignerMustNotPromise {
			sibling.promises.campaigning = false
		}
		if !sibling.leading && sibling.promises.grant(!w.served(1+i), w.now) {
			m.promisesInFlight[1+i] = w.now
		}
		return true
	}},
	{Name: "response", Count: 2, Do: func(w *world, i int) bool {
		m := &w.members[0]
		requested, ok := m.promisesInFlight[1+i]
		if !ok || !m.leading {
			return false
		}
		delete(m.promisesInFlight, 1+i)
		if w.disabled == promiseCountsFromRequest {
			requested = w.now
		}
		entitled := w.entitledUntil(0)
		if w.disabled == lapsedEntitlementStaysLapsed {
			entitled = w.now.Add(leaseTTL)
		}
		m.promises.recordReceived(fmt.Sprint(1+i), requested, w.now, entitled)
		return true
	}},
	{Name: "restart", Count: 2, Do: func(w *world, i int) bool { w.startMember(i); return true }},
	{Name: "heartbeat", Count: 2, Do: func(w *world, i int) bool {
		// Member 1 receives a heartbeat of one of the two others.
		sender := 2 * i
		w.members[1].promises.observeSibling(fmt.Sprint(sender), w.members[sender].leading)
		return true
	}},
}

// Violation implements explorer.World.
func (w *world) Violation() string {
	var entitled []string
	for i := range w.members {
		if !w.entitled(i) {
			continue
		}
		entitled = append(entitled, fmt.Sprint(i))
		if w.members[i].term < w.lastTerm {
			return fmt.Sprintf("member %d is entitled for term %d after term %d has started", i, w.members[i].term, w.lastTerm)
		}
	}
	if len(entitled) > 1 {
		return "several members are entitled: " + strings.Join(entitled, " and ")
	}
	return ""
}

// Fingerprint implements explorer.World.
func (w *world) Fingerprint() string {
	printer := &explorer.FingerprintBuilder{Now: w.now, MaxAge: 2 * promiseDuration}
	printer.Values(w.storeDown, w.leader)
	printer.Times(w.leaseExpires)
	for i := range w.members {
		m := &w.members[i]
		printer.Values("|", m.leading, w.lastTerm-m.term, m.campaigning, m.storeRefuses, m.promises.campaigning, len(m.promises.knownNotLeading))
		printer.Times(m.leaseUntil, m.promises.grantedUntil, m.promises.startedAt.Add(promiseDuration+m.promises.clockSlack()))
		for j := range 3 {
			printer.Times(m.promises.receivedUntil[fmt.Sprint(j)], m.promisesInFlight[j])
		}
	}
	return printer.String()
}

// TestAtMostOneMemberEntitled explores outages, refusals, restarts and late responses:
// two members must never be entitled at the same time. With a guard disabled, the
// explorer must find the violation that the guard prevents.
func TestAtMostOneMemberEntitled(t *testing.T) {
	tests := []struct {
		name     string
		disabled guard
	}{
		{"every guard enabled: no violation", noGuard},
		{"a member campaigns despite its promise: violation", promiserMustNotCampaign},
		{"a restarted member campaigns without waiting: violation", restartedMemberWaits},
		{"a promise lasts from its response on: violation", promiseCountsFromRequest},
		{"a promise of one sibling is enough: violation", allSiblingsMustPromise},
		{"a campaigning member grants a promise: violation", campaignerMustNotPromise},
		{"a promise restores a lapsed entitlement: violation", lapsedEntitlementStaysLapsed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &explorer.Explorer[*world]{New: func() *world { return newWorld(tt.disabled) }, Actions: actions, MaxStates: 2000}
			second := func(name string) []explorer.Step { return g.Steps(2, name)[1:] } // for index 1 only
			elected := slices.Concat(g.Steps(1, "campaign", "elected"))
			refused := slices.Concat(elected, g.Steps(3, "refuse"), g.Steps(1, "tick", "tick", "tick"))
			requested := slices.Concat(refused, g.Steps(2, "request"))
			// The leader's entitlement lapses, member 1 is elected, and an outage of the
			// state service begins. Member 1 may restart after that.
			deposed := slices.Concat(refused, g.Steps(1, "tick"), second("refuse"), second("campaign"), second("elected"), g.Steps(1, "outage"))
			// Promises requested early in the lease, with responses shortly before its end.
			late := slices.Concat(elected, g.Steps(3, "refuse"), g.Steps(1, "tick"), g.Steps(2, "request"), g.Steps(1, "tick", "tick"), g.Steps(2, "response"))
			// Member 1 started to campaign before member 0 was elected.
			campaigning := slices.Concat(second("campaign"), refused, g.Steps(2, "request", "response"))
			states, violation := g.ExploreFrom(elected, refused, requested, slices.Concat(requested, g.Steps(2, "response")), late,
				slices.Concat(refused, second("request"), second("response")), campaigning, deposed, slices.Concat(deposed, second("restart"), g.Steps(2, "request")))
			t.Logf("%d states visited, violation: %q", states, violation)
			if (violation != "") != (tt.disabled != noGuard) {
				t.Errorf("after %d states: violation %q, want one if and only if a guard is disabled", states, violation)
			}
		})
	}
}

// TestPromiseState checks when a member grants a promise, when it may campaign, and
// until when received promises entitle a leader.
func TestPromiseState(t *testing.T) {
	now := time.Unix(1000, 0)
	late := now.Add(time.Minute)
	tests := []struct {
		name string
		do   func(p *promiseState) bool
		want bool
	}{
		{"a member that reaches the store grants no promise", func(p *promiseState) bool { return p.grant(false, late) }, false},
		{"a member that does not reach the store grants a promise", func(p *promiseState) bool { return p.grant(true, late) }, true},
		{"a campaigning member grants no promise", func(p *promiseState) bool { p.startCampaign(late); return p.grant(true, late) }, false},
		{"a member may campaign only when its promise has ended and the clock slack has passed", func(p *promiseState) bool {
			p.grant(true, late)
			return !p.startCampaign(late.Add(promiseDuration)) && p.startCampaign(late.Add(promiseDuration+p.clockSlack()))
		}, true},
		{"a restarted member may not campaign until an earlier promise has ended", func(p *promiseState) bool { return p.startCampaign(now.Add(promiseDuration)) }, false},
		{"a restarted member may campaign once every sibling reports that it does not lead", func(p *promiseState) bool {
			p.observeSibling("a", false)
			p.observeSibling("b", false)
			return p.startCampaign(now)
		}, true},
		{"a restarted member may not campaign if a sibling reports that it leads", func(p *promiseState) bool {
			p.observeSibling("a", false)
			p.observeSibling("b", false)
			p.observeSibling("b", true)
			return p.startCampaign(now)
		}, false},
		{"the leader is entitled until the first promise ends, and only with all promises", func(p *promiseState) bool {
			p.recordReceived("a", late, late, late.Add(time.Second))
			missing := p.allPromisedUntil().IsZero()
			p.recordReceived("b", late.Add(time.Second), late, late.Add(time.Second))
			return missing && p.allPromisedUntil().Equal(late.Add(promiseDuration))
		}, true},
		{"a promise that arrives after the entitlement has lapsed does not count", func(p *promiseState) bool {
			p.recordReceived("a", late, late, late.Add(time.Second))
			p.recordReceived("b", late, late.Add(time.Second), late.Add(time.Second))
			return !p.allPromisedUntil().IsZero()
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.do(newPromiseState(promiseDuration, []string{"a", "b"}, now)); got != tt.want {
				t.Errorf("result %v, want %v", got, tt.want)
			}
		})
	}
}
