package shard

import "time"

// handoverPhase says who deals with a machine while it changes its holder.
type handoverPhase uint8

const (
	// heldByLeader: the leader deals with it.
	heldByLeader handoverPhase = iota
	// assigning: the member may deal with it, and has not confirmed that yet.
	assigning
	// assigned: the member has confirmed that it deals with it.
	assigned
	// revoking: the member may still deal with it, and is told to stop.
	revoking
)

// Revocation is a machine that its holder no longer deals with.
type Revocation struct {
	// Name is the machine's name, From the member that held it, Reason why it no longer
	// does.
	Name, From, Reason string
	// Until is the last moment at which the holder may have answered a report.
	Until time.Time
	// Since is when the revocation began.
	Since time.Time
}

// RevocationTime is how long the holder may still answer a machine that is revoked: the
// rest of an earlier grant.
func (a *Assigner) RevocationTime() time.Duration {
	return a.settings.GrantDuration + clockMargin(a.settings.GrantDuration)
}

// Retain has the leader deal with a machine until Release; a holder returns it.
func (a *Assigner) Retain(name, reason string, now time.Time) {
	if mc := a.machines[name]; mc != nil && !mc.retained {
		mc.retained = true
		a.revoke(mc, reason, now)
	}
}

// Release lets a retained machine be assigned to a holder again.
func (a *Assigner) Release(name string) {
	if mc := a.machines[name]; mc != nil {
		mc.retained = false
	}
}

// assign begins to hand a machine over to a member.
func (a *Assigner) assign(mc *machineState, m *memberState, reason string, now time.Time) {
	mc.holder = m
	mc.phase = assigning
	mc.announcedIn = 0
	mc.since = now
	mc.reason = reason
	mc.redirectedAt = time.Time{}
	mc.neverAssigned = false
	m.machines[mc] = struct{}{}
	m.pending[mc] = struct{}{}
	if len(m.machines) == 1 && now.After(m.grantUntil) {
		// The member has no grant yet: it must not count as silent before its next request.
		m.grantUntil = now.Add(a.settings.GrantDuration)
	}
	a.moves++
}

// revoke begins to take a machine back from its holder.
func (a *Assigner) revoke(mc *machineState, reason string, now time.Time) {
	if mc.phase == heldByLeader || mc.phase == revoking {
		return
	}
	mc.phase = revoking
	mc.announcedIn = 0
	mc.since = now
	mc.reason = reason
	mc.holder.pending[mc] = struct{}{}
}

// returnToLeader returns a machine to the leader; its holder may have answered it until the
// given time.
func (a *Assigner) returnToLeader(mc *machineState, until time.Time) Revocation {
	revocation := Revocation{Name: mc.name, From: mc.holder.name, Reason: mc.reason, Until: until, Since: mc.since}
	delete(mc.holder.machines, mc)
	delete(mc.holder.pending, mc)
	mc.holder = nil
	mc.phase = heldByLeader
	mc.announcedIn = 0
	mc.redirectedAt = time.Time{}
	a.moves++
	return revocation
}
