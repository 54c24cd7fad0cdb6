package shard

import (
	"maps"
	"slices"
	"time"
)

const (
	// rebalanceInterval is the time between checks of all machines.
	rebalanceInterval = 500 * time.Millisecond
	// minMachinesHysteresisDivisor is the fraction, one in that many, by which the fleet has to
	// shrink below Settings.MinMachines before the leader holds all machines again.
	minMachinesHysteresisDivisor = 5
)

// rebalance revokes machines that are to have another holder, within the rate of moves.
func (a *Assigner) rebalance(now time.Time) {
	a.updateCandidates(now)
	smallFleet := len(a.machines) < a.settings.MinMachines-a.settings.MinMachines/minMachinesHysteresisDivisor
	for _, name := range slices.Sorted(maps.Keys(a.members)) {
		m := a.members[name]
		for mc := range m.machines {
			if mc.phase != assigned {
				continue
			}
			reason := a.moveReason(mc, smallFleet, now)
			if reason == "" {
				continue
			}
			if !a.takeMove(now) {
				return
			}
			for _, c := range a.candidates {
				if c.member == m {
					c.load--
				}
			}
			a.revoke(mc, reason, now)
		}
	}
}

// moveReason is why a machine is to leave its holder; empty: it is not. A machine that
// is to have another holder counts as load of that one.
func (a *Assigner) moveReason(mc *machineState, smallFleet bool, now time.Time) string {
	if mc.holder.leavingReason != "" {
		return mc.holder.leavingReason
	}
	if smallFleet {
		return "the fleet is small"
	}
	to := a.target(mc, now)
	if to.member == mc.holder {
		return ""
	}
	to.load++
	return "a share has changed"
}

// takeMove takes one of the moves that may be made now, and reports whether there was
// one.
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

// updateCandidates updates the loads and bounds of the candidates, and makes the
// candidates anew if members have joined or left.
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
			// It gets no more while it is overloaded, or may have ended.
			c.capacity = min(c.capacity, c.load)
		}
	}
	setBounds(a.candidates, len(a.machines))
}

// listCandidates makes the candidates: the leader and the members that have joined and
// are not leaving.
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
		if m := a.members[name]; m.joined && m.leavingReason == "" {
			a.candidates = append(a.candidates, &candidate{member: m, name: name, zone: m.zone, weight: 1})
		}
	}
}

// updateLeader updates the leader's capacity and load. A leader that is cut off from
// its workers has no capacity.
func (a *Assigner) updateLeader(c *candidate, now time.Time) {
	c.capacity = a.settings.LeaderCapacity
	if now.Sub(a.directHeartbeatAt) > leaderCutOffTimeout && now.Sub(a.forwardedHeartbeatAt) < leaderCutOffTimeout {
		c.capacity = 0
	}
	c.load = len(a.machines)
	for _, m := range a.members {
		c.load -= len(m.machines)
	}
}

// target is the candidate that should hold a machine: the first in its ranking that is
// below its bound. The current holder retains the machine while it is within its
// bound, unless the very first of the ranking is below its own.
func (a *Assigner) target(mc *machineState, now time.Time) *candidate {
	if mc.rankedEpoch != a.candidatesEpoch {
		mc.ranked = rank(mc.name, mc.zone, a.candidates)
		mc.rankedEpoch = a.candidatesEpoch
	}
	var current *candidate
	for _, c := range mc.ranked {
		if c.member == mc.holder {
			current = c
		}
		if c.name == mc.pinned && now.Before(mc.pinnedUntil) && c.load < c.capacity {
			return c
		}
	}
	if current != nil && current.load <= current.bound {
		if first := mc.ranked[0]; first != current && first.load < first.bound {
			return first
		}
		return current
	}
	for _, c := range mc.ranked {
		if c.load < c.bound {
			return c
		}
	}
	if current != nil {
		return current
	}
	return a.candidates[0]
}
