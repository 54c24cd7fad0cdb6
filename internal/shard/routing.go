package shard

import (
	"slices"
	"time"
)

// Route says how a report that has come to the leader is handled.
type Route uint8

const (
	// Serve means that the leader answers it.
	Serve Route = iota
	// Redirect means that the worker is redirected to the holder that is named.
	Redirect
	// Wait means that the holder is changing; the report is routed again once it is known.
	Wait
)

const (
	// maxContactGap is how long a holder may make no request before workers are no
	// longer redirected to it. It makes many a second.
	maxContactGap = 500 * time.Millisecond
	// redirectTimeout is the time within which a redirected worker has to reach its
	// holder. One that comes back to the leader sooner does not reach it.
	redirectTimeout = 20 * time.Second
	// leaderCutOffTimeout is how long no report may come to the leader itself, while others
	// are forwarded to it, before it counts as cut off from the workers and gets no
	// machines.
	leaderCutOffTimeout = 5 * time.Second
	// pinDuration is how long a machine stays with the member through which its worker
	// has reached the leader.
	pinDuration = time.Minute
)

// A member leaves if within redirectTimeout at least minUnreached of its workers, and
// one in unreachedDivisor of them, do not reach it.
const (
	unreachedDivisor = 10
	minUnreached     = 3
)

// RouteHeartbeat decides who answers a report that has come to the leader; for Send it
// names the holder.
func (a *Assigner) RouteHeartbeat(name, zone string, now time.Time) (route Route, holder string) {
	mc := a.machines[name]
	if mc == nil {
		mc = &machineState{name: name, zone: zone, neverAssigned: true}
		a.machines[name] = mc
	}
	if mc.zone != zone && zone != "" {
		mc.zone = zone
		mc.rankedEpoch = 0
	}
	switch mc.phase {
	case assigned:
		return a.routeToHolder(mc, now)
	case assigning, revoking:
		return Wait, ""
	}
	return Serve, ""
}

// routeToHolder decides on a report of a machine that a member holds.
func (a *Assigner) routeToHolder(mc *machineState, now time.Time) (Route, string) {
	if now.Sub(mc.holder.lastRequestAt) > maxContactGap {
		return Wait, "" // the holder may have ended: its machines are free when its grant ends
	}
	if !mc.redirectedAt.IsZero() && now.Sub(mc.redirectedAt) < redirectTimeout {
		a.recordUnreached(mc, now)
		return Wait, ""
	}
	mc.redirectedAt = now
	return Redirect, mc.holder.name
}

// recordUnreached revokes a machine whose worker does not reach its holder. A holder
// that many workers do not reach leaves.
func (a *Assigner) recordUnreached(mc *machineState, now time.Time) {
	m := mc.holder
	a.revoke(mc, "its worker does not reach the holder", now)
	m.unreachedAt = slices.DeleteFunc(m.unreachedAt, func(t time.Time) bool { return now.Sub(t) > redirectTimeout })
	m.unreachedAt = append(m.unreachedAt, now)
	if m.leavingReason == "" && len(m.unreachedAt) >= max(minUnreached, len(m.machines)/unreachedDivisor) {
		a.startLeaving(m, "its workers do not reach it", now)
	}
}

// ConfirmContact notes that the holder has had contact with a machine.
func (a *Assigner) ConfirmContact(name string) {
	if mc := a.machines[name]; mc != nil {
		mc.redirectedAt = time.Time{}
	}
}

// HeartbeatServed notes that the leader has answered a machine's report. This is when the
// machine may be assigned to a member: it then holds the machine before the next
// report. via is the member that has forwarded the report, empty if it came from the
// worker. A leader that is cut off from its workers assigns their machines to members
// that are not.
func (a *Assigner) HeartbeatServed(name, via string, now time.Time) {
	mc := a.machines[name]
	if mc == nil || mc.phase != heldByLeader || mc.retained || len(a.machines) < a.settings.MinMachines {
		return
	}
	if via != "" {
		mc.pinned = via
		mc.pinnedUntil = now.Add(pinDuration)
		a.forwardedHeartbeatAt = now
	} else {
		a.directHeartbeatAt = now
	}
	a.updateCandidates(now)
	if len(a.candidates) == 1 {
		return
	}
	if to := a.target(mc, now); to.member != nil && (mc.neverAssigned || a.takeMove(now)) {
		a.assign(mc, to.member, "its share", now)
	}
}
