package shard

import (
	"fmt"
	"slices"
	"time"
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
	waitInterval        = 700 * time.Millisecond
	grantDuration       = 1500 * time.Millisecond
	entitlementDuration = 2200 * time.Millisecond
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
	lastAnswer      [2]time.Time // the last answer of a holder
	assumedAnswer   [2]time.Time // the last answer that the leader knows of, or assumes
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

// beginTerm begins a leader's term.
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
	for _, n := range w.names {
		w.leader.AddMachine(n, "")
	}
	w.assumedAnswer = [2]time.Time{w.now, w.now} // a new leader counts from its own begin
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

// startHolder starts the process of a holder, or starts it anew.
func (w *world) startHolder(i int) {
	s := &w.holders[i]
	s.incarnation++
	if s.requestInFlight != nil {
		s.lateRequest = s.requestInFlight
	}
	s.requestInFlight, s.replyInFlight = nil, nil
	s.holder = NewHolder(fmt.Sprintf("h%d", i), "", s.incarnation)
}

// recordRevocations notes the machines that the leader has revoked, and a fault if one was
// answered later than it assumes.
func (w *world) recordRevocations(revocations []Revocation) {
	for _, f := range revocations {
		k := slices.Index(w.names[:], f.Name)
		if f.Until.After(w.assumedAnswer[k]) {
			w.assumedAnswer[k] = f.Until
		}
		if w.lastAnswer[k].After(w.assumedAnswer[k]) {
			w.violation = fmt.Sprintf("%s was answered at %v, and the leader counts from %v", f.Name, w.rel(w.lastAnswer[k]), w.rel(w.assumedAnswer[k]))
		}
	}
}

// rel is a time relative to now.
func (w *world) rel(t time.Time) time.Duration { return t.Sub(w.now) }

// handleRequest has the leader handle a request, and returns its reply.
func (w *world) handleRequest(r *Request) *Reply {
	if !w.entitled() {
		return &Reply{}
	}
	c := *r
	if m := w.leader.members[c.Member]; w.disabled == confirmedByHolder && m != nil {
		c.LastReply, c.Term = m.lastReply, w.leader.term
	}
	if w.disabled == reportsBeforeRevocation {
		c.Reports = nil
	}
	fs, ok := w.leader.HandleRequest(&c, w.now)
	if ok && c.Term == w.leader.term {
		for _, e := range c.Reports {
			k := slices.Index(w.names[:], e.Machine)
			if at := w.now.Add(-time.Duration(e.AgeMs) * time.Millisecond); at.After(w.assumedAnswer[k]) {
				w.assumedAnswer[k] = at
			}
		}
	}
	w.recordRevocations(fs)
	if !ok {
		return &Reply{}
	}
	p := w.leader.Reply(c.Member, w.now)
	if w.disabled != grantWithinEntitlement {
		p.GrantMs = min(p.GrantMs, w.entitledUntil.Sub(w.now).Milliseconds())
	}
	return p
}
