package shard

import (
	"fmt"
	"slices"
	"time"
)

// The explorer combines steps of successive leaders, two holders and two machines, with
// delayed and lost messages and with restarts of holders, and looks for states that violate
// an invariant.

// guard is a rule of the system. A world can disable one, to check that the explorer finds
// the fault that the rule prevents.
type guard uint8

const (
	noGuard                    guard = iota
	grantFromRequest                 // the duration of a grant counts from when its request was sent, not from the reply
	grantWithinEntitlement           // a grant ends no later than the leader's entitlement
	newestRequestOnly                // the leader refuses a request that is not the member's newest
	confirmedByHolder                // a change of a shard takes effect when the holder confirms it, not when the leader sends it
	silentHolderUntilGrantEnds       // a silent holder keeps its machines until its grant ends
	leaderAfterEntitlement           // a new leader starts after the entitlement of its predecessor has ended
	reportsBeforeRevocation          // a holder reports all heartbeats that it answered before a revocation is complete
)

const (
	waitInterval        = 700 * time.Millisecond
	grantDuration       = 1500 * time.Millisecond
	entitlementDuration = 2200 * time.Millisecond
)

// holderProcess is a holder with its connection to the leader. At most one message is in
// flight. An abandoned request may still arrive late.
type holderProcess struct {
	holder          *Holder
	incarnation     uint64
	sent            time.Time // when the last request was sent
	requestInFlight *Request
	replyInFlight   *Reply
	lateRequest     *Request
}

// world is a cluster with successive leaders, two holders and two machines.
type world struct {
	disabled        guard
	now             time.Time
	leader          *Assigner
	entitledUntil   time.Time            // when the leader's entitlement ends
	deposed         bool                 // the leader cannot renew its entitlement
	entitlementEnds map[uint64]time.Time // ends of the leaders' entitlements, by term
	holders         [2]holderProcess
	names           [2]string
	seq             [2]uint64
	lastAnswer      [2]time.Time // when a holder last answered each machine
	assumedAnswer   [2]time.Time // the latest answer to each machine that the leader knows or assumes
	violation       string
}

func newWorld(disabled guard) *world {
	w := &world{disabled: disabled, now: time.Unix(1000, 0), names: [2]string{"m1", "m2"}, entitlementEnds: map[uint64]time.Time{}}
	w.beginTerm(1)
	for i := range w.holders {
		w.startHolder(i)
	}
	return w
}

// beginTerm starts the term of a new leader.
func (w *world) beginTerm(term uint64) {
	settings := Settings{
		GrantDuration:  grantDuration,
		RejoinDelay:    waitInterval,
		MaxRejoinDelay: 2 * waitInterval,
		MovesPerSecond: 1000,
		LeaderWeight:   0.01,
		LeaderCapacity: 2,
	}
	w.leader = NewAssigner(term, "lead", "", settings, w.now)
	for _, name := range w.names {
		w.leader.AddMachine(name, "")
	}
	w.assumedAnswer = [2]time.Time{w.now, w.now} // a new leader assumes answers up to the start of its term
	w.deposed = false
	w.renewEntitlement()
}

// renewEntitlement renews the leader's entitlement.
func (w *world) renewEntitlement() {
	w.entitledUntil = w.now.Add(entitlementDuration)
	w.entitlementEnds[w.leader.term] = w.entitledUntil
}

// entitled reports whether the leader may act.
func (w *world) entitled() bool { return w.now.Before(w.entitledUntil) }

// startHolder starts or restarts the process of a holder.
func (w *world) startHolder(i int) {
	process := &w.holders[i]
	process.incarnation++
	if process.requestInFlight != nil {
		process.lateRequest = process.requestInFlight
	}
	process.requestInFlight, process.replyInFlight = nil, nil
	process.holder = NewHolder(fmt.Sprintf("h%d", i), "", process.incarnation)
}

// recordRevocations records up to when the leader assumes answers to the machines that it has
// revoked. It is a violation if a holder answered a machine later than that.
func (w *world) recordRevocations(revocations []Revocation) {
	for _, revocation := range revocations {
		machine := slices.Index(w.names[:], revocation.Name)
		if revocation.Until.After(w.assumedAnswer[machine]) {
			w.assumedAnswer[machine] = revocation.Until
		}
		if w.lastAnswer[machine].After(w.assumedAnswer[machine]) {
			w.violation = fmt.Sprintf("a holder answered %s at %v, but the leader assumes no answer after %v (both relative to now)", revocation.Name, w.rel(w.lastAnswer[machine]), w.rel(w.assumedAnswer[machine]))
		}
	}
}

// rel returns a time relative to now.
func (w *world) rel(t time.Time) time.Duration { return t.Sub(w.now) }

// handleRequest makes the leader handle a request and returns its reply.
func (w *world) handleRequest(request *Request) *Reply {
	if !w.entitled() {
		return &Reply{}
	}
	received := *request
	if member := w.leader.members[received.Member]; w.disabled == confirmedByHolder && member != nil {
		received.LastReply, received.Term = member.lastReply, w.leader.term
	}
	if w.disabled == reportsBeforeRevocation {
		received.Reports = nil
	}
	revocations, ok := w.leader.HandleRequest(&received, w.now)
	if ok && received.Term == w.leader.term {
		for _, report := range received.Reports {
			machine := slices.Index(w.names[:], report.Machine)
			if at := w.now.Add(-time.Duration(report.AgeMs) * time.Millisecond); at.After(w.assumedAnswer[machine]) {
				w.assumedAnswer[machine] = at
			}
		}
	}
	w.recordRevocations(revocations)
	if !ok {
		return &Reply{}
	}
	reply := w.leader.Reply(received.Member, w.now)
	if w.disabled != grantWithinEntitlement {
		reply.GrantMs = min(reply.GrantMs, w.entitledUntil.Sub(w.now).Milliseconds())
	}
	return reply
}
