package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"vetchstream/internal/wire"
)

// This file handles the requests of members and tracks which replies they have
// acknowledged.

// memberState is the Assigner's state of one controller other than the leader.
type memberState struct {
	name string
	zone string
	// incarnation identifies the member's process. seq is the number of its last request.
	incarnation   uint64
	seq           uint64
	lastRequestAt time.Time // when the last request arrived
	// contactSince is the time since which the member's requests have arrived without a gap.
	contactSince time.Time

	// lastReply is the number of the last reply to the member. ackedReply is the number of
	// the last reply that it has acknowledged, ackedAt the time of the acknowledgement.
	// replyTimes holds the times of the replies from ackedReply on, by number.
	lastReply  uint64
	ackedReply uint64
	replyTimes map[uint64]time.Time
	ackedAt    time.Time
	// grantUntil is the time, by the leader's clock, at which the last grant has ended for
	// certain.
	grantUntil time.Time
	// answersKnownUntil is the time up to which the leader knows all answers of the member to
	// heartbeats.
	answersKnownUntil time.Time

	// joined means that the member may hold machines.
	joined   bool
	joinedAt time.Time
	// leavingReason is the reason for which the member has to return its machines. It is
	// empty if the member is not leaving.
	leavingReason string
	// noJoinBefore is the earliest time at which the member may join again. rejoinDelay is
	// the current delay (Settings.RejoinDelay).
	noJoinBefore time.Time
	rejoinDelay  time.Duration

	capacity        int         // number of machines that it can handle
	overloadedSince time.Time   // zero if it is not overloaded
	unreachedAt     []time.Time // times at which workers were found unable to reach it
	machines        map[*machineState]struct{}
	pending         map[*machineState]struct{} // the machines in phase assigning or revoking
	// needsReset means that the member has to discard the machines that it has held so far.
	// resetInReply is the number of the first reply with the reset. Only an acknowledgement
	// of this reply or a later one clears needsReset: earlier replies may have added machines,
	// and the member would keep machines that another member holds by now.
	needsReset   bool
	resetInReply uint64
}

// newMember returns the state of a member that has made its first request.
func newMember(request *Request, now time.Time) *memberState {
	return &memberState{
		name:         request.Member,
		zone:         request.Zone,
		incarnation:  request.Incarnation,
		contactSince: now,
		ackedAt:      now,
		replyTimes:   map[uint64]time.Time{},
		machines:     map[*machineState]struct{}{},
		pending:      map[*machineState]struct{}{},
		needsReset:   true,
	}
}

// extendRejoinDelay extends the time for which a leaving member gets no machines. Otherwise
// a member that keeps joining and leaving would move its machines each time.
func (a *Assigner) extendRejoinDelay(member *memberState, now time.Time) {
	if now.Sub(member.joinedAt) > a.settings.MaxRejoinDelay {
		member.rejoinDelay = 0
	}
	member.rejoinDelay = min(max(a.settings.RejoinDelay, 2*member.rejoinDelay), a.settings.MaxRejoinDelay)
	member.noJoinBefore = now.Add(member.rejoinDelay)
}

// startLeaving makes a member return its machines, within the rate limit of moves.
func (a *Assigner) startLeaving(member *memberState, reason string, now time.Time) {
	if member.leavingReason != "" || !member.joined {
		return
	}
	member.leavingReason = reason
	a.candidatesStale = true
	a.extendRejoinDelay(member, now)
}

// revokeAll returns all machines of a member to the leader at once. The caller knows that
// the member has answered no heartbeat after the time until.
func (a *Assigner) revokeAll(member *memberState, until time.Time, reason string, now time.Time) []Revocation {
	var freed []Revocation
	for machine := range member.machines {
		if machine.phase != revoking {
			machine.since = now
			machine.reason = reason
		}
		freed = append(freed, a.returnToLeader(machine, until))
	}
	slices.SortFunc(freed, func(left, right Revocation) int { return cmp.Compare(left.Name, right.Name) })
	if member.joined {
		member.joined = false
		a.candidatesStale = true
		a.extendRejoinDelay(member, now)
	}
	member.leavingReason = ""
	member.needsReset = true
	member.resetInReply = 0
	member.contactSince = now
	return freed
}

// HandleRequest handles a request of a member and returns the machines that no longer have
// a holder. If the request is not the member's newest, ok is false and the caller has to
// ignore the reports in the request.
func (a *Assigner) HandleRequest(request *Request, now time.Time) (freed []Revocation, ok bool) {
	member := a.members[request.Member]
	if member == nil {
		member = newMember(request, now)
		a.members[request.Member] = member
	}
	if request.Incarnation != member.incarnation {
		// A lower incarnation usually means that a request of an earlier process has arrived
		// late. It can also mean that the member's clock was set back before a restart: the
		// new process is accepted once all grants of the earlier one have ended.
		if request.Incarnation < member.incarnation && now.Before(member.grantUntil) {
			return nil, false
		}
		// The earlier process has ended and answers no heartbeats from now on.
		freed = a.revokeAll(member, now, "the holder was started anew", now)
		member.incarnation = request.Incarnation
		member.seq = 0
		member.ackedAt = now
		clear(member.replyTimes)
	}
	if request.Seq <= member.seq {
		return freed, false
	}
	member.seq = request.Seq
	member.capacity = request.Capacity
	if !request.MachineTokens {
		member.capacity = 0 // its answers would use up the tokens of its machines
	}
	member.lastRequestAt = now
	switch {
	case !request.Overloaded:
		member.overloadedSince = time.Time{}
	case member.overloadedSince.IsZero():
		member.overloadedSince = now
	}
	if request.Term == a.term && request.LastReply > member.ackedReply {
		acknowledged, known := a.acknowledge(member, request, now)
		if !known {
			return freed, false // this leader has sent no such reply
		}
		freed = append(freed, acknowledged...)
	}
	a.admitMember(member, len(request.PreviousMachines) > 0, now)
	if member.joined && request.Term != a.term {
		a.restoreMachines(member, request.PreviousMachines, now)
	}
	return freed, true
}

// acknowledge records the last reply that a member has handled, and completes the handovers
// that this reply and earlier ones announced. known is false if the leader has not sent the
// reply.
func (a *Assigner) acknowledge(member *memberState, request *Request, now time.Time) (freed []Revocation, known bool) {
	repliedAt, known := member.replyTimes[request.LastReply]
	if !known {
		return nil, false
	}
	member.ackedReply = request.LastReply
	member.ackedAt = now
	if !request.Truncated {
		member.answersKnownUntil = repliedAt
	}
	for number := range member.replyTimes {
		if number < request.LastReply {
			delete(member.replyTimes, number)
		}
	}
	if member.resetInReply != 0 && member.ackedReply >= member.resetInReply {
		member.needsReset = false
		member.resetInReply = 0
	}
	for machine := range member.pending {
		switch {
		case machine.announcedIn == 0 || machine.announcedIn > member.ackedReply:
		case machine.phase == assigning:
			machine.phase = assigned
			delete(member.pending, machine)
		case machine.phase == revoking:
			// The requests up to this one report all heartbeats that the member answered
			// before it stopped.
			freed = append(freed, a.returnToLeader(machine, repliedAt))
		}
	}
	return freed, true
}

// admitMember lets a member join once its requests have arrived without a gap for
// Settings.JoinDelay. A member that held machines under an earlier leader joins at once.
func (a *Assigner) admitMember(member *memberState, heldMachines bool, now time.Time) {
	if member.joined || member.leavingReason != "" || !member.overloadedSince.IsZero() || now.Before(member.noJoinBefore) || member.capacity <= 0 {
		return
	}
	if heldMachines || now.Sub(member.contactSince) >= a.settings.JoinDelay {
		member.joined = true
		member.joinedAt = now
		member.unreachedAt = nil
		a.candidatesStale = true
	}
}

// restoreMachines assigns to a member the machines that it held under an earlier leader,
// except those that another member holds by now. Their workers then need not connect to
// another controller. All grants of the earlier leader have ended.
func (a *Assigner) restoreMachines(member *memberState, names []string, now time.Time) {
	if len(a.machines) < a.settings.MinMachines {
		return
	}
	for _, name := range names {
		if machine := a.machines[name]; machine != nil && machine.phase == heldByLeader && !machine.retained && len(member.machines) < member.capacity {
			a.assign(machine, member, "it had it before", now)
		}
	}
}

// ReplyDue reports whether a reply to the member would announce a change of its shard.
func (a *Assigner) ReplyDue(name string) bool {
	member := a.members[name]
	if member == nil {
		return false
	}
	for machine := range member.pending {
		if machine.announcedIn == 0 {
			return true
		}
	}
	return false
}

// Reply returns the reply to the member's newest request. The caller has to limit GrantMs
// to the time until the leader's own entitlement ends.
func (a *Assigner) Reply(name string, now time.Time) *Reply {
	member := a.members[name]
	member.lastReply++
	member.replyTimes[member.lastReply] = now
	reply := &Reply{
		Term:       a.term,
		Number:     member.lastReply,
		FirstToken: wire.FirstToken(a.term),
		Reset:      member.needsReset,
	}
	if member.needsReset && member.resetInReply == 0 {
		member.resetInReply = member.lastReply
	}
	for machine := range member.pending {
		if machine.announcedIn == 0 {
			machine.announcedIn = member.lastReply
		}
		if machine.phase == assigning {
			reply.Add = append(reply.Add, machine.name)
		} else {
			reply.Drop = append(reply.Drop, machine.name)
		}
	}
	slices.Sort(reply.Add)
	slices.Sort(reply.Drop)
	switch {
	case len(member.machines) == 0:
		member.ackedAt = now
	case now.Sub(member.ackedAt) <= a.settings.GrantDuration:
		reply.GrantMs = a.settings.GrantDuration.Milliseconds()
		// The holder's grant begins before its request and therefore ends before this time.
		member.grantUntil = now.Add(a.settings.GrantDuration + clockMargin(a.settings.GrantDuration))
	default:
		// The member's requests arrive, but the replies to it are lost. It has no valid grant,
		// and a new one would only delay the return of its machines.
	}
	return reply
}

// expireMembers returns to the leader the machines of members whose grants have ended, and
// makes members leave that have been overloaded for more than overloadGrace.
func (a *Assigner) expireMembers(now time.Time) (freed []Revocation) {
	for _, name := range slices.Sorted(maps.Keys(a.members)) {
		member := a.members[name]
		silent := now.Sub(member.lastRequestAt) > a.settings.GrantDuration
		switch {
		case now.Before(a.noExpiryBefore):
		case len(member.machines) > 0 && now.After(member.grantUntil):
			freed = append(freed, a.revokeAll(member, member.grantUntil, "the holder is silent", now)...)
		case member.joined && len(member.machines) == 0 && silent:
			a.revokeAll(member, now, "", now)
		}
		if !member.joined && now.Sub(member.lastRequestAt) > joinContactGap {
			member.contactSince = now
		}
		if member.joined && !member.overloadedSince.IsZero() && now.Sub(member.overloadedSince) > overloadGrace {
			a.startLeaving(member, "it is short of processor", now)
		}
		if member.leavingReason != "" && len(member.machines) == 0 {
			// The delay begins only now, because returning the machines took some time.
			member.joined = false
			member.leavingReason = ""
			member.noJoinBefore = now.Add(member.rejoinDelay)
			a.candidatesStale = true
		}
	}
	return freed
}
