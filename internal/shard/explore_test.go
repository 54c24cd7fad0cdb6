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

// actions are the steps of the explorer, for each holder or each machine.
var actions = []explorer.Action[*world]{
	{Name: "tick", Do: func(w *world, _ int) bool {
		w.now = w.now.Add(tick)
		if w.entitled() {
			w.recordRevocations(w.leader.Step(w.now))
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
		s.replyInFlight, s.requestInFlight = w.handleRequest(s.requestInFlight), nil
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
		w.handleRequest(s.lateRequest) // nobody waits for the reply
		s.lateRequest = nil
		return true
	}, Count: 2},
	{Name: "end", Do: func(w *world, i int) bool { w.startHolder(i); return true }, Count: 1},
	{Name: "report", Do: func(w *world, k int) bool {
		if w.entitled() {
			if r, _ := w.leader.RouteHeartbeat(w.names[k], "", w.now); r == Serve {
				w.leader.HeartbeatServed(w.names[k], "", w.now)
			}
		}
		return true
	}, Count: 2},
	{Name: "checkin", Do: func(w *world, k int) bool {
		// The worker reports to whoever answers it.
		for i := range w.holders {
			w.seq[k]++
			m := &wire.Heartbeat{Machine: w.names[k], Session: 1, Seq: w.seq[k]}
			if _, v := w.holders[i].holder.HandleHeartbeat(m, []byte{1}, w.now); v >= Answered {
				w.lastAnswer[k] = w.now
				return true
			}
		}
		return false
	}, Count: 2},
	{Name: "depose", Do: func(w *world, _ int) bool { was := w.deposed; w.deposed = true; return !was && w.leader.term == 1 }, Count: 1},
	{Name: "succeed", Do: func(w *world, _ int) bool {
		if !w.deposed || (w.entitled() && w.disabled != leaderAfterEntitlement) {
			return false
		}
		w.beginTerm(w.leader.term + 1)
		return true
	}, Count: 1},
	{Name: "renew", Do: func(w *world, _ int) bool {
		if w.deposed || !w.entitled() {
			return false
		}
		w.renewEntitlement()
		return true
	}, Count: 1},
}

// Violation checks what must hold in every state, and returns the fault.
func (w *world) Violation() string {
	if w.disabled == silentHolderUntilGrantEnds {
		for _, m := range w.leader.members {
			if len(m.machines) > 0 && w.now.Sub(m.lastRequestAt) >= tick {
				w.recordRevocations(w.leader.revokeAll(m, w.now, "", w.now))
			}
		}
	}
	for k, name := range w.names {
		n := 0
		if h, _ := w.leader.Holder(name); h == "" && w.entitled() {
			n++
		}
		for i := range w.holders {
			h := w.holders[i].holder
			if e := h.machines[name]; e == nil || e.dropped || !h.GrantValid(h.Term(), w.now) {
				continue
			}
			n++
			if !w.now.Before(w.entitlementEnds[h.Term()]) {
				w.violation = fmt.Sprintf("h%d answers %s outside the entitlement of term %d", i, name, h.Term())
			}
		}
		if n > 1 {
			w.violation = name + " has two valid holders"
		}
		if h, _ := w.leader.Holder(name); h != "" && w.entitled() && w.lastAnswer[k].Before(w.leader.AnswersKnownUntil(h)) && w.lastAnswer[k].Sub(w.assumedAnswer[k]) > time.Millisecond && w.lastAnswer[k].After(w.termStart()) {
			w.violation = fmt.Sprintf("%s was answered at %v, told up to %v, known %v", name, w.rel(w.lastAnswer[k]), w.rel(w.leader.AnswersKnownUntil(h)), w.rel(w.assumedAnswer[k]))
		}
	}
	return w.violation
}

// termStart is when the current term began.
func (w *world) termStart() time.Time { return w.entitlementEnds[w.leader.term-1] }

// Fingerprint describes the state: times are relative to now, and those long past are equal.
func (w *world) Fingerprint() string {
	p := &explorer.FingerprintBuilder{Now: w.now, MaxAge: 4 * tick}
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
		p.Times(w.lastAnswer[k], w.assumedAnswer[k])
	}
	for i := range w.holders {
		s := &w.holders[i]
		p.Values("|", s.requestInFlight != nil, s.replyInFlight != nil, s.lateRequest != nil, s.holder.Term(), len(s.holder.previousMachines))
		p.Times(s.holder.grantUntil)
		if s.requestInFlight != nil || s.replyInFlight != nil {
			p.Times(s.sent)
		}
		if s.replyInFlight != nil {
			p.Values(s.replyInFlight.GrantMs, s.replyInFlight.Add, s.replyInFlight.Drop, s.replyInFlight.Reset, s.replyInFlight.Term)
		}
		for _, n := range w.names {
			if k := s.holder.machines[n]; k != nil {
				p.Values(n, k.dropped, k.lastHeartbeat-k.acknowledgedHeartbeat)
			}
		}
		if m := a.members[fmt.Sprintf("h%d", i)]; m != nil {
			p.Values(m.joined, m.leavingReason, m.needsReset, m.lastReply-m.ackedReply, m.incarnation == s.incarnation, int64(s.holder.lastReply)-int64(m.ackedReply))
			p.Times(m.grantUntil, m.lastRequestAt, m.ackedAt, m.answersKnownUntil, m.noJoinBefore)
		}
	}
	return p.String()
}

// settle continues without faults: every machine has to be served in the end.
func settle(g *explorer.Explorer[*world], w *world) string {
	for range 14 {
		g.Do(w, "tick", 0)
		g.Do(w, "renew", 0)
		if !w.entitled() {
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
	if !w.entitled() {
		return "nobody leads"
	}
	return ""
}

// maxStates is how many states a case explores from each start. 200,000 states found
// nothing more, and take long with the race detector.
var maxStates = flag.Int("states", 9000, "states that TestExplore looks at")

// TestExplore: never two valid holders of a machine, no answer outside the leader's
// entitlement, no answer that the leader does not allow for, and every machine served
// again. With a guard disabled the explorer finds the fault that it prevents.
func TestExplore(t *testing.T) {
	tests := []struct {
		name     string
		disabled guard
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
			g := &explorer.Explorer[*world]{New: func() *world { return newWorld(tt.disabled) }, Actions: actions, MaxStates: *maxStates}
			holders := 2
			if tt.disabled == noGuard {
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
			if (broken != "") != (tt.disabled != noGuard) {
				t.Errorf("after %d states: %q", states, broken)
			}
		})
	}
}
