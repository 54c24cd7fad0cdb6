package shard

import (
	"maps"
	"slices"
	"time"
)

const (
	// rebalanceInterval is the time between two checks of all machines.
	rebalanceInterval = 500 * time.Millisecond
	// minMachinesHysteresisDivisor sets the hysteresis of Settings.MinMachines: the leader
	// holds all machines again only after the fleet has shrunk below MinMachines by more
	// than MinMachines/minMachinesHysteresisDivisor.
	minMachinesHysteresisDivisor = 5
)

// rebalance revokes the machines that should have another holder, within the rate limit of
// moves.
func (a *Assigner) rebalance(now time.Time) {
	a.updateCandidates(now)
	smallFleet := len(a.machines) < a.settings.MinMachines-a.settings.MinMachines/minMachinesHysteresisDivisor
	for _, name := range slices.Sorted(maps.Keys(a.members)) {
		member := a.members[name]
		for machine := range member.machines {
			if machine.phase != assigned {
				continue
			}
			reason := a.moveReason(machine, smallFleet, now)
			if reason == "" {
				continue
			}
			if !a.takeMove(now) {
				return
			}
			for _, c := range a.candidates {
				if c.member == member {
					c.load--
				}
			}
			a.revoke(machine, reason, now)
		}
	}
}

// moveReason returns the reason to move a machine away from its holder; empty if it should
// stay. If it should move to another candidate, moveReason adds it to that candidate's load.
func (a *Assigner) moveReason(machine *machineState, smallFleet bool, now time.Time) string {
	if machine.holder.leavingReason != "" {
		return machine.holder.leavingReason
	}
	if smallFleet {
		return "the fleet is small"
	}
	target := a.target(machine, now)
	if target.member == machine.holder {
		return ""
	}
	target.load++
	return "a share has changed"
}

// takeMove uses up one of the moves that the rate limit allows, and reports whether one was
// available.
func (a *Assigner) takeMove(now time.Time) bool {
	perSecond := a.settings.MovesPerSecond
	a.movesAllowed = min(max(1, perSecond/2), a.movesAllowed+now.Sub(a.movesAllowedAt).Seconds()*perSecond)
	a.movesAllowedAt = now
	if a.movesAllowed < 1 {
		return false
	}
	a.movesAllowed--
	return true
}

// updateCandidates updates the capacities, loads and bounds of the candidates. If members
// have joined or left, it first updates the list of candidates.
func (a *Assigner) updateCandidates(now time.Time) {
	if a.candidatesStale {
		a.listCandidates()
	}
	for _, c := range a.candidates {
		if c.member == nil {
			a.updateLeader(c, now)
			continue
		}
		c.capacity = c.member.capacity
		c.load = len(c.member.machines)
		if !c.member.overloadedSince.IsZero() || now.Sub(c.member.lastRequestAt) > maxContactGap {
			// A member gets no more machines while it is overloaded or may have stopped.
			c.capacity = min(c.capacity, c.load)
		}
	}
	setBounds(a.candidates, len(a.machines))
}

// listCandidates rebuilds the list of candidates, which are the leader and the members that
// have joined and are not leaving.
func (a *Assigner) listCandidates() {
	a.candidatesStale = false
	a.candidatesEpoch++
	a.candidates = []*candidate{{
		name:     a.name,
		zone:     a.zone,
		weight:   a.settings.LeaderWeight,
		capacity: a.settings.LeaderCapacity,
	}}
	for _, name := range slices.Sorted(maps.Keys(a.members)) {
		if member := a.members[name]; member.joined && member.leavingReason == "" {
			a.candidates = append(a.candidates, &candidate{member: member, name: name, zone: member.zone, weight: 1})
		}
	}
}

// updateLeader updates the leader's capacity and load. A leader that is cut off from its
// workers has no capacity.
func (a *Assigner) updateLeader(c *candidate, now time.Time) {
	c.capacity = a.settings.LeaderCapacity
	if now.Sub(a.directHeartbeatAt) > leaderCutOffTimeout && now.Sub(a.forwardedHeartbeatAt) < leaderCutOffTimeout {
		c.capacity = 0
	}
	c.load = len(a.machines)
	for _, member := range a.members {
		c.load -= len(member.machines)
	}
}

// target returns the candidate that should hold a machine. That is the first candidate in
// the machine's ranking whose load is below its bound, with two exceptions: a candidate to
// which the machine is pinned, if it has capacity left, and the current holder, which keeps
// the machine while its load is within its bound, unless the first candidate of the ranking
// is below its own bound. If no candidate is below its bound, the machine stays with its
// holder, or goes to the leader if the holder is not a candidate.
func (a *Assigner) target(machine *machineState, now time.Time) *candidate {
	if machine.rankedEpoch != a.candidatesEpoch {
		machine.ranked = rank(machine.name, machine.zone, a.candidates)
		machine.rankedEpoch = a.candidatesEpoch
	}
	var current *candidate
	for _, c := range machine.ranked {
		if c.member == machine.holder {
			current = c
		}
		if c.name == machine.pinned && now.Before(machine.pinnedUntil) && c.load < c.capacity {
			return c
		}
	}
	if current != nil && current.load <= current.bound {
		if first := machine.ranked[0]; first != current && first.load < first.bound {
			return first
		}
		return current
	}
	for _, c := range machine.ranked {
		if c.load < c.bound {
			return c
		}
	}
	if current != nil {
		return current
	}
	return a.candidates[0]
}
