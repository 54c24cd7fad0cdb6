package shard

import (
	"math"
	"time"
)

// machineState is a machineState of the fleet as the Assigner knows it.
type machineState struct {
	name, zone string
	holder     *memberState // nil in phase heldByLeader
	phase      handoverPhase
	// announcedIn is the number of the first reply to the holder that carried the current
	// phase; 0: none has.
	announcedIn uint64
	since       time.Time // of the phase
	reason      string    // for the phase
	// redirectedAt is when the worker was last redirected to the holder; zero: the
	// holder has had contact with it since, or it was not redirected.
	redirectedAt time.Time
	// neverAssigned: the machine has come up in this term and has had no holder yet. It
	// may move to one at any time, since its worker connects anyway.
	neverAssigned bool
	// pinned is the member that has forwarded a report of the worker. Until pinnedUntil
	// the worker is taken to reach no other.
	pinned      string
	pinnedUntil time.Time
	// ranked are the candidates in the order of their scores for the machine, as of
	// rankedEpoch.
	ranked      []*candidate
	rankedEpoch int
	// retained: the leader deals with the machine until Release.
	retained bool
}

// Assigner is the leader's side: it decides which member holds which machine. Its
// owner steps it and passes the time in.
type Assigner struct {
	term     uint64
	name     string // member name of the leader
	zone     string
	settings Settings
	members  map[string]*memberState
	machines map[string]*machineState
	moves    int // changes of holder

	candidates      []*candidate
	candidatesEpoch int  // counts how often they were made anew
	candidatesStale bool // they have to be made anew

	movesAllowed   float64 // at movesAllowedAt, by the rate of the settings
	movesAllowedAt time.Time
	rebalancedAt   time.Time
	steppedAt      time.Time
	// directHeartbeatAt and forwardedReportAt are when a report last came to the leader
	// itself, and through a member.
	directHeartbeatAt    time.Time
	forwardedHeartbeatAt time.Time
	noExpiryBefore       time.Time // no member counts as silent before
}

// NewAssigner makes the assignment of a term that has just begun: the leader deals with
// all machines.
func NewAssigner(term uint64, name, zone string, settings Settings, now time.Time) *Assigner {
	return &Assigner{
		term:            term,
		name:            name,
		zone:            zone,
		settings:        settings,
		members:         map[string]*memberState{},
		machines:        map[string]*machineState{},
		candidatesStale: true,
		movesAllowedAt:  now,
		steppedAt:       now,
	}
}

// Moves counts the changes of holder, to and from the leader.
func (a *Assigner) Moves() int { return a.moves }

// HeldCounts returns how many machines each member holds, including the leader.
func (a *Assigner) HeldCounts() map[string]int {
	counts := map[string]int{a.name: len(a.machines)}
	for _, m := range a.members {
		if n := len(m.machines); n > 0 {
			counts[m.name] = n
			counts[a.name] -= n
		}
	}
	return counts
}

// Holder names the member that may answer a machine's reports; empty: the leader.
// confirmed reports whether the member has confirmed that, so that it can send direct
// commands.
func (a *Assigner) Holder(name string) (member string, confirmed bool) {
	mc := a.machines[name]
	if mc == nil || mc.holder == nil {
		return "", false
	}
	return mc.holder.name, mc.phase == assigned
}

// AnswersKnownUntil is the time up to which all answers of the member are known.
func (a *Assigner) AnswersKnownUntil(member string) time.Time {
	if m := a.members[member]; m != nil {
		return m.answersKnownUntil
	}
	return time.Time{}
}

// AddMachine adds a machine that has not reported yet.
func (a *Assigner) AddMachine(name, zone string) {
	if a.machines[name] == nil {
		a.machines[name] = &machineState{name: name, zone: zone}
	}
}

// RemoveMachine removes a machine that was returned to the cloud.
func (a *Assigner) RemoveMachine(name string, now time.Time) {
	mc := a.machines[name]
	if mc == nil {
		return
	}
	if mc.phase == heldByLeader {
		delete(a.machines, name)
		return
	}
	a.revoke(mc, "it was returned", now)
	delete(a.machines, name)
}

const (
	// overloadGrace is how long a member may be overloaded before it has to return its
	// machines.
	overloadGrace = 8 * time.Second
	// joinContactGap is the longest gap in a member's requests that does not restart the
	// time that it needs to join.
	joinContactGap = time.Second
)

// Step expires members that have fallen silent, and moves machines where the shards
// have become too large, at the rate of the settings. It returns the machines that
// have no holder any more.
func (a *Assigner) Step(now time.Time) (freed []Revocation) {
	if now.Sub(a.steppedAt) > joinContactGap {
		// The leader itself was stalled: the members' requests wait to be handled after
		// this step.
		a.noExpiryBefore = now.Add(joinContactGap)
	}
	a.steppedAt = now
	freed = a.expireMembers(now)
	if now.Sub(a.rebalancedAt) < rebalanceInterval {
		return freed
	}
	a.rebalancedAt = now
	a.rebalance(now)
	return freed
}

// coreShareForMoves is the part of the processor that is left to redirected workers,
// and coreSecondsPerMove what one takes of it: a connection and its first report.
const (
	coreShareForMoves  = 0.25
	coreSecondsPerMove = 0.002
	minMovesPerSecond  = 5
)

// MovesPerSecond is how many workers a controller with that share of a core can move
// between holders in a second. At a lower rate, a fleet that boots within a minute
// would first gather at the leader.
func MovesPerSecond(coreShare float64) float64 {
	return max(minMovesPerSecond, math.Round(coreShare*coreShareForMoves/coreSecondsPerMove))
}
