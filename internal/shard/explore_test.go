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

// actions are the steps of the explorer. Each is taken for a holder, a machine or the leader.
var actions = []explorer.Action[*world]{
	{Name: "wait interval", Do: func(w *world, _ int) bool {
		w.now = w.now.Add(waitInterval)
		if w.entitled() {
			w.recordRevocations(w.leader.Step(w.now))
		}
		return true
	}, Count: 1},
	{Name: "send request", Do: func(w *world, i int) bool {
		process := &w.holders[i]
		if process.requestInFlight != nil || process.replyInFlight != nil {
			return false
		}
		if w.leader.term > process.holder.Term() {
			process.holder.EndTerm()
		}
		process.sent, process.requestInFlight = w.now, process.holder.Request(2, 1, false, w.now)
		return true
	}, Count: 2},
	{Name: "deliver request", Do: func(w *world, i int) bool {
		process := &w.holders[i]
		if process.requestInFlight == nil {
			return false
		}
		process.replyInFlight, process.requestInFlight = w.handleRequest(process.requestInFlight), nil
		return true
	}, Count: 2},
	{Name: "deliver reply", Do: func(w *world, i int) bool {
		process := &w.holders[i]
		if process.replyInFlight == nil {
			return false
		}
		sent := process.sent
		if w.disabled == grantFromRequest {
			sent = w.now
		}
		process.holder.HandleReply(process.replyInFlight, sent)
		process.replyInFlight = nil
		return true
	}, Count: 2},
	{Name: "lose message", Do: func(w *world, i int) bool {
		process := &w.holders[i]
		if process.requestInFlight == nil && process.replyInFlight == nil {
			return false
		}
		if process.requestInFlight != nil {
			process.lateRequest = process.requestInFlight
		}
		process.requestInFlight, process.replyInFlight = nil, nil
		process.holder.RequestFailed()
		return true
	}, Count: 2},
	{Name: "deliver late request", Do: func(w *world, i int) bool {
		process := &w.holders[i]
		if process.lateRequest == nil {
			return false
		}
		w.handleRequest(process.lateRequest) // the holder has abandoned the request and ignores the reply
		process.lateRequest = nil
		return true
	}, Count: 2},
	{Name: "restart holder", Do: func(w *world, i int) bool { w.startHolder(i); return true }, Count: 1},
	{Name: "heartbeat to leader", Do: func(w *world, machine int) bool {
		if w.entitled() {
			if route, _ := w.leader.RouteHeartbeat(w.names[machine], "", w.now); route == Serve {
				w.leader.HeartbeatServed(w.names[machine], "", w.now)
			}
		}
		return true
	}, Count: 2},
	{Name: "heartbeat to holder", Do: func(w *world, machine int) bool {
		// The worker tries the holders in order until one answers.
		for i := range w.holders {
			w.seq[machine]++
			heartbeat := &wire.Heartbeat{Machine: w.names[machine], Session: 1, Seq: w.seq[machine]}
			if _, outcome := w.holders[i].holder.HandleHeartbeat(heartbeat, []byte{1}, w.now); outcome >= Answered {
				w.lastAnswer[machine] = w.now
				return true
			}
		}
		return false
	}, Count: 2},
	{Name: "depose leader", Do: func(w *world, _ int) bool {
		deposedBefore := w.deposed
		w.deposed = true
		return !deposedBefore && w.leader.term == 1
	}, Count: 1},
	{Name: "new leader", Do: func(w *world, _ int) bool {
		if !w.deposed || (w.entitled() && w.disabled != leaderAfterEntitlement) {
			return false
		}
		w.beginTerm(w.leader.term + 1)
		return true
	}, Count: 1},
	{Name: "renew entitlement", Do: func(w *world, _ int) bool {
		if w.deposed || !w.entitled() {
			return false
		}
		w.renewEntitlement()
		return true
	}, Count: 1},
}

// Violation checks the invariants of a state and describes one that is violated; empty if all
// hold.
func (w *world) Violation() string {
	if w.disabled == silentHolderUntilGrantEnds {
		for _, member := range w.leader.members {
			if len(member.machines) > 0 && w.now.Sub(member.lastRequestAt) >= waitInterval {
				w.recordRevocations(w.leader.revokeAll(member, w.now, "", w.now))
			}
		}
	}
	for k, name := range w.names {
		valid := 0
		if member, _ := w.leader.Holder(name); member == "" && w.entitled() {
			valid++
		}
		for i := range w.holders {
			holder := w.holders[i].holder
			if machine := holder.machines[name]; machine == nil || machine.dropped || !holder.GrantValid(holder.Term(), w.now) {
				continue
			}
			valid++
			if !w.now.Before(w.entitlementEnds[holder.Term()]) {
				w.violation = fmt.Sprintf("h%d may answer %s after the entitlement of the leader of term %d has ended", i, name, holder.Term())
			}
		}
		if valid > 1 {
			w.violation = name + " has two valid holders"
		}
		if member, _ := w.leader.Holder(name); member != "" && w.entitled() && w.lastAnswer[k].Before(w.leader.AnswersKnownUntil(member)) && w.lastAnswer[k].Sub(w.assumedAnswer[k]) > time.Millisecond && w.lastAnswer[k].After(w.termStart()) {
			w.violation = fmt.Sprintf("a holder answered %s at %v, but the leader, which knows all answers up to %v, knows none after %v (all relative to now)", name, w.rel(w.lastAnswer[k]), w.rel(w.leader.AnswersKnownUntil(member)), w.rel(w.assumedAnswer[k]))
		}
	}
	return w.violation
}

// termStart returns the end of the previous leader's entitlement. The current term begins then
// or later.
func (w *world) termStart() time.Time { return w.entitlementEnds[w.leader.term-1] }

// Fingerprint identifies the state. It has times relative to now, and one value for all times
// that are long past.
func (w *world) Fingerprint() string {
	printer := &explorer.FingerprintBuilder{Now: w.now, MaxAge: 4 * waitInterval}
	leader := w.leader
	printer.Values(leader.term, w.deposed)
	printer.Times(w.entitledUntil)
	for i, name := range w.names {
		machine := leader.machines[name]
		holder, _ := leader.Holder(name)
		printer.Values(holder, machine.phase, !machine.redirectedAt.IsZero())
		if holder != "" {
			printer.Values(int64(machine.announcedIn) - int64(machine.holder.ackedReply))
		}
		printer.Times(w.lastAnswer[i], w.assumedAnswer[i])
	}
	for i := range w.holders {
		process := &w.holders[i]
		printer.Values("|", process.requestInFlight != nil, process.replyInFlight != nil, process.lateRequest != nil, process.holder.Term(), len(process.holder.previousMachines))
		printer.Times(process.holder.grantUntil)
		if process.requestInFlight != nil || process.replyInFlight != nil {
			printer.Times(process.sent)
		}
		if process.replyInFlight != nil {
			printer.Values(process.replyInFlight.GrantMs, process.replyInFlight.Add, process.replyInFlight.Drop, process.replyInFlight.Reset, process.replyInFlight.Term)
		}
		for _, name := range w.names {
			if machine := process.holder.machines[name]; machine != nil {
				printer.Values(name, machine.dropped, machine.lastHeartbeat-machine.acknowledgedHeartbeat)
			}
		}
		if member := leader.members[fmt.Sprintf("h%d", i)]; member != nil {
			printer.Values(member.joined, member.leavingReason, member.needsReset, member.lastReply-member.ackedReply, member.incarnation == process.incarnation, int64(process.holder.lastReply)-int64(member.ackedReply))
			printer.Times(member.grantUntil, member.lastRequestAt, member.ackedAt, member.answersKnownUntil, member.noJoinBefore)
		}
	}
	return printer.String()
}

// runWithoutFaults continues a world without faults and checks that in the end a leader or a
// holder serves every machine. It describes what is missing; empty if nothing is.
func runWithoutFaults(g *explorer.Explorer[*world], w *world) string {
	for range 14 {
		g.Do(w, "wait interval", 0)
		g.Do(w, "renew entitlement", 0)
		if !w.entitled() {
			g.Do(w, "depose leader", 0)
			g.Do(w, "new leader", 0)
		}
		for i := range 2 {
			for _, name := range []string{"deliver reply", "deliver request", "deliver reply", "send request", "deliver request", "deliver reply"} {
				g.Do(w, name, i)
			}
			if holder, _ := w.leader.Holder(w.names[i]); holder == "" {
				g.Do(w, "heartbeat to leader", i) // no holder answers the worker
			}
			g.Do(w, "heartbeat to holder", i)
			if violation := w.Violation(); violation != "" {
				return violation
			}
		}
	}
	for _, name := range w.names {
		holder, _ := w.leader.Holder(name)
		if holder == "" {
			continue
		}
		process := &w.holders[holder[1]-'0']
		if machine := process.holder.machines[name]; machine == nil || machine.dropped || !process.holder.GrantValid(w.leader.term, w.now) {
			return name + " is assigned to a holder that does not serve it"
		}
	}
	if !w.entitled() {
		return "no leader is entitled"
	}
	return ""
}

// maxStates is the number of states that a case explores from each start. Exploring 200,000
// states finds no further faults and takes long with the race detector.
var maxStates = flag.Int("states", 9000, "number of states that each case of TestExplore explores from each start")

// TestExplore checks that a machine never has two valid holders, that no holder answers a
// machine after the leader's entitlement has ended, that the leader accounts for all answers
// of holders, and that every machine is served again once faults stop. With a guard
// disabled, the explorer must find the fault that the guard prevents.
func TestExplore(t *testing.T) {
	tests := []struct {
		name     string
		disabled guard
	}{
		{"all guards enabled: no invariant is violated", noGuard},
		{"fault found: the duration of a grant counts from the reply", grantFromRequest},
		{"fault found: a grant ends after the leader's entitlement", grantWithinEntitlement},
		{"fault found: a change takes effect when it is sent, before the holder confirms it", confirmedByHolder},
		{"fault found: a silent holder loses its machines before its grant ends", silentHolderUntilGrantEnds},
		{"fault found: a new leader starts before the entitlement of its predecessor ends", leaderAfterEntitlement},
		{"fault found: a holder does not report the heartbeats that it answered", reportsBeforeRevocation},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &explorer.Explorer[*world]{New: func() *world { return newWorld(tt.disabled) }, Actions: actions, MaxStates: *maxStates}
			holders := 2
			if tt.disabled == noGuard {
				g.SettleInterval, g.Settle = 37, func(w *world) string { return runWithoutFaults(g, w) }
			} else {
				// One holder and one machine suffice, and the exploration goes deeper with them.
				holders = 1
				g.Actions = slices.Clone(actions)
				for a := range g.Actions {
					g.Actions[a].Count = 1
				}
			}
			// All holders have joined in both starts. In the first, one also holds a machine.
			joined := g.Steps(holders, "send request", "deliver request", "deliver reply")
			states, violation := g.ExploreFrom(slices.Concat(joined, g.Steps(1, "wait interval"), joined, g.Steps(1, "heartbeat to leader"), joined, joined), joined)
			t.Logf("explored %d states, violation: %q", states, violation)
			if (violation != "") != (tt.disabled != noGuard) {
				t.Errorf("explored %d states, found violation %q, want one exactly if a guard is disabled", states, violation)
			}
		})
	}
}
