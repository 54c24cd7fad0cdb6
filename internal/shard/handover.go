package shard

import "time"

// handoverPhase is the phase of a machine's handover between the leader and a holder.
type handoverPhase uint8

const (
	// heldByLeader means that the leader handles the machine.
	heldByLeader handoverPhase = iota
	// assigning means that the member may handle the machine but has not confirmed that.
	assigning
	// assigned means that the member has confirmed that it handles the machine.
	assigned
	// revoking means that the member has to stop handling the machine but may not have
	// stopped yet.
	revoking
)

// Revocation describes a machine that its holder no longer handles.
type Revocation struct {
	// Name is the machine's name. From is the member that held it. Reason is the reason for
	// the revocation.
	Name, From, Reason string
	// Until is the latest time at which the holder may have answered a heartbeat.
	Until time.Time
	// Since is when the revocation began.
	Since time.Time
}

// RevocationTime returns the longest time for which a holder may still answer a machine
// after its revocation has begun. It covers the rest of the last grant.
func (a *Assigner) RevocationTime() time.Duration {
	return a.settings.GrantDuration + clockMargin(a.settings.GrantDuration)
}

// Retain makes the leader handle a machine until Release, and revokes the machine from its
// holder if it has one.
func (a *Assigner) Retain(name, reason string, now time.Time) {
	if machine := a.machines[name]; machine != nil && !machine.retained {
		machine.retained = true
		a.revoke(machine, reason, now)
	}
}

// Revoke revokes a machine from its holder if it has one. The leader handles the machine
// until it has answered its worker again.
func (a *Assigner) Revoke(name, reason string, now time.Time) {
	if machine := a.machines[name]; machine != nil {
		a.revoke(machine, reason, now)
	}
}

// Release lets a retained machine be assigned to a holder again.
func (a *Assigner) Release(name string) {
	if machine := a.machines[name]; machine != nil {
		machine.retained = false
	}
}

// assign starts the handover of a machine to a member.
func (a *Assigner) assign(machine *machineState, member *memberState, reason string, now time.Time) {
	machine.holder = member
	machine.phase = assigning
	machine.announcedIn = 0
	machine.since = now
	machine.reason = reason
	machine.redirectedAt = time.Time{}
	machine.neverAssigned = false
	member.machines[machine] = struct{}{}
	member.pending[machine] = struct{}{}
	if len(member.machines) == 1 && now.After(member.grantUntil) {
		// The member has no grant yet. It must not be treated as silent before its next request.
		member.grantUntil = now.Add(a.settings.GrantDuration)
	}
	a.moves++
}

// revoke starts the handover of a machine from its holder back to the leader.
func (a *Assigner) revoke(machine *machineState, reason string, now time.Time) {
	if machine.phase == heldByLeader || machine.phase == revoking {
		return
	}
	machine.phase = revoking
	machine.announcedIn = 0
	machine.since = now
	machine.reason = reason
	machine.holder.pending[machine] = struct{}{}
}

// returnToLeader completes the handover of a machine back to the leader. The holder may
// have answered heartbeats of the machine up to the time until.
func (a *Assigner) returnToLeader(machine *machineState, until time.Time) Revocation {
	revocation := Revocation{Name: machine.name, From: machine.holder.name, Reason: machine.reason, Until: until, Since: machine.since}
	delete(machine.holder.machines, machine)
	delete(machine.holder.pending, machine)
	machine.holder = nil
	machine.phase = heldByLeader
	machine.announcedIn = 0
	machine.redirectedAt = time.Time{}
	a.moves++
	return revocation
}
