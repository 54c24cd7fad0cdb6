package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// The members of an Assigner: which controllers hold a shard, what they have
// acknowledged, and the handling of their requests.

// memberState is a controller that may hold a shard of the machines.
type memberState struct {
	name string
	zone string
	// incarnation is that of the member's process, seq the number of its last request.
	incarnation   uint64
	seq           uint64
	lastRequestAt time.Time // when the last request came
	// contactSince is since when its requests come without a gap.
	contactSince time.Time

	// lastReply is the number of the last reply to the member, ackedReply that of the
	// last one that it has acknowledged, at ackedAt. replyTimes are when the replies from
	// ackedReply on were made.
	lastReply  uint64
	ackedReply uint64
	replyTimes map[uint64]time.Time
	ackedAt    time.Time
	// grantUntil is when the last grant has certainly ended, by the leader's clock.
	grantUntil time.Time
	// answersKnownUntil is the time up to which all answers of the member are known.
	answersKnownUntil time.Time

	// joined: the member may hold machines.
	joined   bool
	joinedAt time.Time
	// leavingReason is why the member has to return its machines; empty: it has not.
	leavingReason string
	// noJoinBefore and rejoinDelay space the joins of a member that leaves repeatedly.
	noJoinBefore time.Time
	rejoinDelay  time.Duration

	capacity        int         // machines that it can deal with
	overloadedSince time.Time   // zero: it is not overloaded
	unreachedAt     []time.Time // when workers were found not to reach it
	machines        map[*machineState]struct{}
	pending         map[*machineState]struct{} // those of machines in phase assigning or revoking
	// needsReset: the member has to forget what it held. resetInReply is the number of
	// the first reply that says so. The acknowledgement of an earlier reply, which may
	// have added machines, does not count: the member would retain machines that are
	// another's.
	needsReset   bool
	resetInReply uint64
}

// newMember makes a member that has just made its first request.
func newMember(r *Request, now time.Time) *memberState {
	return &memberState{
		name:         r.Member,
		zone:         r.Zone,
		incarnation:  r.Incarnation,
		contactSince: now,
		ackedAt:      now,
		replyTimes:   map[uint64]time.Time{},
		machines:     map[*machineState]struct{}{},
		pending:      map[*machineState]struct{}{},
		needsReset:   true,
	}
}

// extendRejoinDelay extends the time for which a member that has left gets no machines,
// so that one which joins and leaves all the time moves its machines seldom.
func (a *Assigner) extendRejoinDelay(m *memberState, now time.Time) {
	if now.Sub(m.joinedAt) > a.settings.MaxRejoinDelay {
		m.rejoinDelay = 0
	}
	m.rejoinDelay = min(max(a.settings.RejoinDelay, 2*m.rejoinDelay), a.settings.MaxRejoinDelay)
	m.noJoinBefore = now.Add(m.rejoinDelay)
}

// startLeaving has a member return its machines, at the ordinary rate of moves.
func (a *Assigner) startLeaving(m *memberState, reason string, now time.Time) {
	if m.leavingReason != "" || !m.joined {
		return
	}
	m.leavingReason = reason
	a.candidatesStale = true
	a.extendRejoinDelay(m, now)
}

// revokeAll returns all machines of a member to the leader. The member's grants have
// ended: it may have answered reports until the given time.
func (a *Assigner) revokeAll(m *memberState, until time.Time, reason string, now time.Time) []Revocation {
	var freed []Revocation
	for mc := range m.machines {
		if mc.phase != revoking {
			mc.since = now
			mc.reason = reason
		}
		freed = append(freed, a.returnToLeader(mc, until))
	}
	slices.SortFunc(freed, func(x, y Revocation) int { return cmp.Compare(x.Name, y.Name) })
	if m.joined {
		m.joined = false
		a.candidatesStale = true
		a.extendRejoinDelay(m, now)
	}
	m.leavingReason = ""
	m.needsReset = true
	m.resetInReply = 0
	m.contactSince = now
	return freed
}

// HandleRequest handles a request of a member, and returns the machines that have no
// holder any more. ok is false, and its reports have to be ignored, if the request is
// not the member's newest.
func (a *Assigner) HandleRequest(r *Request, now time.Time) (freed []Revocation, ok bool) {
	m := a.members[r.Member]
	if m == nil {
		m = newMember(r, now)
		a.members[r.Member] = m
	}
	if r.Incarnation != m.incarnation {
		// A request of an earlier process may come late. If it is the clock that was set
		// back, the new process is accepted once every grant of the other has ended.
		if r.Incarnation < m.incarnation && now.Before(m.grantUntil) {
			return nil, false
		}
		// The earlier process has ended, so it answers nothing from now on.
		freed = a.revokeAll(m, now, "the holder was started anew", now)
		m.incarnation = r.Incarnation
		m.seq = 0
		m.ackedAt = now
		clear(m.replyTimes)
	}
	if r.Seq <= m.seq {
		return freed, false
	}
	m.seq = r.Seq
	m.capacity = r.Capacity
	m.lastRequestAt = now
	switch {
	case !r.Overloaded:
		m.overloadedSince = time.Time{}
	case m.overloadedSince.IsZero():
		m.overloadedSince = now
	}
	if r.Term == a.term && r.LastReply > m.ackedReply {
		more, known := a.acknowledge(m, r, now)
		if !known {
			return freed, false // this leader has made no such reply
		}
		freed = append(freed, more...)
	}
	a.admitMember(m, len(r.PreviousMachines) > 0, now)
	if m.joined && r.Term != a.term {
		a.restoreMachines(m, r.PreviousMachines, now)
	}
	return freed, true
}

// acknowledge notes which of the leader's replies a member has handled last, and with it
// the changes that the reply carried. known is false if there is no such reply.
func (a *Assigner) acknowledge(m *memberState, r *Request, now time.Time) (freed []Revocation, known bool) {
	at, known := m.replyTimes[r.LastReply]
	if !known {
		return nil, false
	}
	m.ackedReply = r.LastReply
	m.ackedAt = now
	if !r.Truncated {
		m.answersKnownUntil = at
	}
	for n := range m.replyTimes {
		if n < r.LastReply {
			delete(m.replyTimes, n)
		}
	}
	if m.resetInReply != 0 && m.ackedReply >= m.resetInReply {
		m.needsReset = false
		m.resetInReply = 0
	}
	for mc := range m.pending {
		switch {
		case mc.announcedIn == 0 || mc.announcedIn > m.ackedReply:
		case mc.phase == assigning:
			mc.phase = assigned
			delete(m.pending, mc)
		case mc.phase == revoking:
			// This request has all that the member answered before it stopped.
			freed = append(freed, a.returnToLeader(mc, at))
		}
	}
	return freed, true
}

// admitMember lets a member join whose requests have come without a gap for long enough.
// One that held machines under an earlier leader joins at once.
func (a *Assigner) admitMember(m *memberState, heldMachines bool, now time.Time) {
	if m.joined || m.leavingReason != "" || !m.overloadedSince.IsZero() || now.Before(m.noJoinBefore) || m.capacity <= 0 {
		return
	}
	if heldMachines || now.Sub(m.contactSince) >= a.settings.JoinDelay {
		m.joined = true
		m.joinedAt = now
		m.unreachedAt = nil
		a.candidatesStale = true
	}
}

// restoreMachines assigns to a member the machines that it held under an earlier leader,
// whose grants have all ended, unless they have another holder by now: their workers
// need not connect to another controller.
func (a *Assigner) restoreMachines(m *memberState, names []string, now time.Time) {
	if len(a.machines) < a.settings.MinMachines {
		return
	}
	for _, name := range names {
		if mc := a.machines[name]; mc != nil && mc.phase == heldByLeader && !mc.retained && len(m.machines) < m.capacity {
			a.assign(mc, m, "it had it before", now)
		}
	}
}

// ReplyDue reports whether a reply to the member would carry more than the grant.
func (a *Assigner) ReplyDue(member string) bool {
	m := a.members[member]
	if m == nil {
		return false
	}
	for mc := range m.pending {
		if mc.announcedIn == 0 {
			return true
		}
	}
	return false
}

// Reply makes the reply to the member's newest request. The caller limits ForMs to what
// is left of the leader's own entitlement.
func (a *Assigner) Reply(member string, now time.Time) *Reply {
	m := a.members[member]
	m.lastReply++
	m.replyTimes[m.lastReply] = now
	r := &Reply{Term: a.term, Number: m.lastReply, Reset: m.needsReset}
	if m.needsReset && m.resetInReply == 0 {
		m.resetInReply = m.lastReply
	}
	for mc := range m.pending {
		if mc.announcedIn == 0 {
			mc.announcedIn = m.lastReply
		}
		if mc.phase == assigning {
			r.Add = append(r.Add, mc.name)
		} else {
			r.Drop = append(r.Drop, mc.name)
		}
	}
	slices.Sort(r.Add)
	slices.Sort(r.Drop)
	switch {
	case len(m.machines) == 0:
		m.ackedAt = now
	case now.Sub(m.ackedAt) <= a.settings.GrantDuration:
		r.GrantMs = a.settings.GrantDuration.Milliseconds()
		// The holder counts from before its request, so its grant ends sooner than this.
		m.grantUntil = now.Add(a.settings.GrantDuration + clockMargin(a.settings.GrantDuration))
	default:
		// Its requests come, but the replies are lost: it has no valid grant, and its
		// machines must not wait for the end of a new one.
	}
	return r
}

// expireMembers returns the machines of members that have fallen silent to the leader,
// and lets members leave that have been overloaded for too long.
func (a *Assigner) expireMembers(now time.Time) (freed []Revocation) {
	for _, name := range slices.Sorted(maps.Keys(a.members)) {
		m := a.members[name]
		silent := now.Sub(m.lastRequestAt) > a.settings.GrantDuration
		switch {
		case now.Before(a.noExpiryBefore):
		case len(m.machines) > 0 && now.After(m.grantUntil):
			freed = append(freed, a.revokeAll(m, m.grantUntil, "the holder is silent", now)...)
		case m.joined && len(m.machines) == 0 && silent:
			a.revokeAll(m, now, "", now)
		}
		if !m.joined && now.Sub(m.lastRequestAt) > joinContactGap {
			m.contactSince = now
		}
		if m.joined && !m.overloadedSince.IsZero() && now.Sub(m.overloadedSince) > overloadGrace {
			a.startLeaving(m, "it is short of processor", now)
		}
		if m.leavingReason != "" && len(m.machines) == 0 {
			// The delay begins now: the return of the machines has taken a while.
			m.joined = false
			m.leavingReason = ""
			m.noJoinBefore = now.Add(m.rejoinDelay)
			a.candidatesStale = true
		}
	}
	return freed
}
