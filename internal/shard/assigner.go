package shard

import (
	"math"
	"time"
)

// machineState is the Assigner's state of one machine of the fleet.
type machineState struct {
	name, zone string
	holder     *memberState // nil in phase heldByLeader
	phase      handoverPhase
	// announcedIn is the number of the first reply that announced the current phase to the
	// holder; 0 if no reply has.
	announcedIn uint64
	since       time.Time // start of the current phase
	reason      string    // reason for the current phase
	// redirectedAt is when the leader last redirected the worker to the holder. It is zero
	// if there was no redirect, or if the holder has had contact with the worker since.
	redirectedAt time.Time
	// neverAssigned means that the machine appeared in this term and has had no holder yet.
	// Its first assignment does not count against the rate of moves, because its worker has
	// to connect to a controller in any case.
	neverAssigned bool
	// pinned is the member that has forwarded a heartbeat of the worker. Until pinnedUntil,
	// the assigner assumes that the worker reaches no other member.
	pinned      string
	pinnedUntil time.Time
	// ranked are the candidates in descending order of their scores for the machine.
	// rankedEpoch is the Assigner's candidatesEpoch when they were ranked.
	ranked      []*candidate
	rankedEpoch int
	// retained means that the leader handles the machine itself until Release.
	retained bool
}

// Assigner decides for the leader which member holds which machine. Callers pass in the
// current time. It is not safe for concurrent use.
type Assigner struct {
	term     uint64
	name     string // member name of the leader
	zone     string
	settings Settings
	members  map[string]*memberState
	machines map[string]*machineState
	moves    int // number of times a machine was assigned to a holder or returned to the leader

	candidates      []*candidate
	candidatesEpoch int  // counts the updates of the list
	candidatesStale bool // the list has to be updated

	movesAllowed   float64 // moves that the rate limit allowed at movesAllowedAt
	movesAllowedAt time.Time
	rebalancedAt   time.Time
	steppedAt      time.Time
	// directHeartbeatAt is when the leader last received a heartbeat from a worker itself,
	// forwardedHeartbeatAt when it last received one through a member.
	directHeartbeatAt    time.Time
	forwardedHeartbeatAt time.Time
	noExpiryBefore       time.Time // no member is treated as silent before this time
}

// NewAssigner returns the Assigner of a term that has just begun. The leader holds all
// machines at first.
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

// Moves returns the number of times that a machine was assigned to a holder or returned to
// the leader.
func (a *Assigner) Moves() int { return a.moves }

// HeldCounts returns the number of machines that each member holds, including the leader.
func (a *Assigner) HeldCounts() map[string]int {
	counts := map[string]int{a.name: len(a.machines)}
	for _, member := range a.members {
		if n := len(member.machines); n > 0 {
			counts[member.name] = n
			counts[a.name] -= n
		}
	}
	return counts
}

// Holder returns the member that may answer a machine's heartbeats; empty if that is the
// leader. confirmed reports whether the member has confirmed the assignment, so that it
// can send direct commands to the worker.
func (a *Assigner) Holder(name string) (member string, confirmed bool) {
	machine := a.machines[name]
	if machine == nil || machine.holder == nil {
		return "", false
	}
	return machine.holder.name, machine.phase == assigned
}

// AnswersKnownUntil returns the time up to which the leader knows all answers of a member to
// heartbeats.
func (a *Assigner) AnswersKnownUntil(name string) time.Time {
	if member := a.members[name]; member != nil {
		return member.answersKnownUntil
	}
	return time.Time{}
}

// AddMachine adds a machine that has not sent a heartbeat yet.
func (a *Assigner) AddMachine(name, zone string) {
	if a.machines[name] == nil {
		a.machines[name] = &machineState{name: name, zone: zone}
	}
}

// RemoveMachine removes a machine that the leader has returned to the cloud.
func (a *Assigner) RemoveMachine(name string, now time.Time) {
	machine := a.machines[name]
	if machine == nil {
		return
	}
	if machine.phase == heldByLeader {
		delete(a.machines, name)
		return
	}
	a.revoke(machine, "it was returned", now)
	delete(a.machines, name)
}

const (
	// overloadGrace is the time for which a member may be overloaded before it has to return
	// its machines.
	overloadGrace = 8 * time.Second
	// joinContactGap is the longest gap between a member's requests that does not restart its
	// Settings.JoinDelay.
	joinContactGap = time.Second
)

// Step takes machines back from members whose grants have ended, and starts moves of
// machines that should have another holder, at most at the configured rate. It returns the
// machines that no longer have a holder.
func (a *Assigner) Step(now time.Time) (freed []Revocation) {
	if now.Sub(a.steppedAt) > joinContactGap {
		// The leader itself was stalled. Requests that members have sent in the meantime are
		// handled after this step.
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

const (
	// coreShareForMoves is the fraction of the processor time that is reserved for
	// redirected workers.
	coreShareForMoves = 0.25
	// coreSecondsPerMove is the processor time that one redirected worker costs: its
	// connection and its first heartbeat.
	coreSecondsPerMove = 0.002
	minMovesPerSecond  = 5
)

// MovesPerSecond returns the rate at which a controller with a given share of a core can
// move workers between holders. At a lower rate, most workers of a fleet that boots within
// a minute would first connect to the leader.
func MovesPerSecond(coreShare float64) float64 {
	return max(minMovesPerSecond, math.Round(coreShare*coreShareForMoves/coreSecondsPerMove))
}
