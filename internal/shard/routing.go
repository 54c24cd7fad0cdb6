package shard

import (
	"slices"
	"time"
)

// Route is the decision about a heartbeat that the leader has received.
type Route uint8

const (
	// Serve means that the leader answers the heartbeat.
	Serve Route = iota
	// Redirect means that the leader redirects the worker to the holder.
	Redirect
	// Wait means that the holder is changing. The heartbeat is routed again once the new
	// holder is known.
	Wait
)

const (
	// maxContactGap is the time without a request after which the leader no longer redirects
	// workers to a holder. A holder normally makes several requests per second.
	maxContactGap = 500 * time.Millisecond
	// redirectTimeout is the time after a redirect within which another heartbeat of the
	// worker at the leader means that the worker cannot reach the holder.
	redirectTimeout = 20 * time.Second
	// leaderCutOffTimeout is the time after which a leader that receives only forwarded
	// heartbeats, and none from workers directly, is considered cut off from the workers.
	// It then gets no machines.
	leaderCutOffTimeout = 5 * time.Second
	// pinDuration is the time for which a machine prefers the member that has forwarded a
	// heartbeat of its worker to the leader.
	pinDuration = time.Minute
)

// A member has to leave if, within redirectTimeout, at least minUnreached of its workers
// and at least 1/unreachedDivisor of its workers fail to reach it.
const (
	unreachedDivisor = 10
	minUnreached     = 3
)

// RouteHeartbeat decides how the leader handles a heartbeat that it has received. holder is
// set only for Redirect.
func (a *Assigner) RouteHeartbeat(name, zone string, now time.Time) (route Route, holder string) {
	machine := a.machines[name]
	if machine == nil {
		machine = &machineState{name: name, zone: zone, neverAssigned: true}
		a.machines[name] = machine
	}
	if machine.zone != zone && zone != "" {
		machine.zone = zone
		machine.rankedEpoch = 0
	}
	switch machine.phase {
	case assigned:
		return a.routeToHolder(machine, now)
	case assigning, revoking:
		return Wait, ""
	}
	return Serve, ""
}

// routeToHolder decides about a heartbeat of a machine that a member holds.
func (a *Assigner) routeToHolder(machine *machineState, now time.Time) (Route, string) {
	if now.Sub(machine.holder.lastRequestAt) > maxContactGap {
		return Wait, "" // the holder may have stopped; its machines are returned when its grant ends
	}
	if !machine.redirectedAt.IsZero() && now.Sub(machine.redirectedAt) < redirectTimeout {
		a.recordUnreached(machine, now)
		return Wait, ""
	}
	machine.redirectedAt = now
	return Redirect, machine.holder.name
}

// recordUnreached revokes a machine whose worker cannot reach its holder. If many workers
// cannot reach the holder, the holder has to leave.
func (a *Assigner) recordUnreached(machine *machineState, now time.Time) {
	member := machine.holder
	a.revoke(machine, "its worker does not reach the holder", now)
	member.unreachedAt = slices.DeleteFunc(member.unreachedAt, func(at time.Time) bool { return now.Sub(at) > redirectTimeout })
	member.unreachedAt = append(member.unreachedAt, now)
	if member.leavingReason == "" && len(member.unreachedAt) >= max(minUnreached, len(member.machines)/unreachedDivisor) {
		a.startLeaving(member, "its workers do not reach it", now)
	}
}

// ConfirmContact records that the holder has had contact with a machine.
func (a *Assigner) ConfirmContact(name string) {
	if machine := a.machines[name]; machine != nil {
		machine.redirectedAt = time.Time{}
	}
}

// HeartbeatServed records that the leader has answered a machine's heartbeat. It may assign
// the machine to a member, which then holds the machine before the next heartbeat. via is
// the member that forwarded the heartbeat; it is empty if the worker sent the heartbeat to
// the leader itself. A leader that is cut off from its workers assigns their machines to
// members that are not.
func (a *Assigner) HeartbeatServed(name, via string, now time.Time) {
	machine := a.machines[name]
	if machine == nil || machine.phase != heldByLeader || machine.retained || len(a.machines) < a.settings.MinMachines {
		return
	}
	if via != "" {
		machine.pinned = via
		machine.pinnedUntil = now.Add(pinDuration)
		a.forwardedHeartbeatAt = now
	} else {
		a.directHeartbeatAt = now
	}
	a.updateCandidates(now)
	if len(a.candidates) == 1 {
		return
	}
	if target := a.target(machine, now); target.member != nil && (machine.neverAssigned || a.takeMove(now)) {
		a.assign(machine, target.member, "its share", now)
	}
}
