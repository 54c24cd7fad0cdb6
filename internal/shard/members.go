package shard

import (
	"cmp"
	"slices"
	"time"
)

// The members of an Assigner: which controllers hold a share, what they have acknowledged,
// and the requests and replies that tell.

// member is a controller that may hold a share.
type member struct {
	name, zone       string
	incarnation, seq uint64
	// lastReply is that of the last reply, acked that of the last one taken in. at are the
	// times of the replies from acked on.
	lastReply, ackedReply uint64
	replyTimes            map[uint64]time.Time
	ackedAt               time.Time
	// grantUntil is when the last grant has ended for certain, in the leader's time.
	grantUntil time.Time
	// knownUntil is up to when all that the member has answered is known.
	knownUntil      time.Time
	contactSince    time.Time // asks without a gap since
	heardAt         time.Time
	joined          bool
	joinedAt        time.Time
	leavingReason   string // why it is to give everything back; empty: it is not
	noJoinBefore    time.Time
	rejoinDelay     time.Duration
	capacity        int
	overloadedSince time.Time // since when it has been short of processor; zero: it is not
	unreachedAt     []time.Time
	machines        map[*machine]struct{}
	pending         map[*machine]struct{} // of these, those in phase giving or taking
	needsReset      bool                  // it has to forget what it held
	// resetInReply is the first reply that says so. An acknowledgement of an earlier one,
	// which may have added machines, does not settle it: the holder would go on with
	// machines that are another's.
	resetInReply uint64
}

// extendRejoinDelay lengthens the time for which a member that has left gets no machines. A
// member that comes and goes every few seconds moves its share a few times only.
func (a *Assigner) extendRejoinDelay(m *member, now time.Time) {
	if now.Sub(m.joinedAt) > a.settings.MaxRejoinDelay {
		m.rejoinDelay = 0
	}
	m.rejoinDelay = min(max(a.settings.RejoinDelay, 2*m.rejoinDelay), a.settings.MaxRejoinDelay)
	m.noJoinBefore = now.Add(m.rejoinDelay)
}

// startLeaving lets a member give back what it has, at the ordinary pace.
func (a *Assigner) startLeaving(m *member, why string, now time.Time) {
	if m.leavingReason != "" || !m.joined {
		return
	}
	m.leavingReason, a.candidatesStale = why, true
	a.extendRejoinDelay(m, now)
}

// revokeAll settles all machines of a member whose grants have ended.
func (a *Assigner) revokeAll(m *member, until time.Time, why string, now time.Time) []Revocation {
	var out []Revocation
	for k := range m.machines {
		if k.phase != revoking {
			k.since, k.reason = now, why
		}
		out = append(out, a.endHolding(k, until))
	}
	slices.SortFunc(out, func(x, y Revocation) int { return cmp.Compare(x.Name, y.Name) })
	if m.joined {
		m.joined, a.candidatesStale = false, true
		a.extendRejoinDelay(m, now)
	}
	m.leavingReason, m.needsReset, m.resetInReply, m.contactSince = "", true, 0, now
	return out
}

// HandleRequest takes in a request. It is refused, and its reports with it, if it is not the
// member's newest.
func (a *Assigner) HandleRequest(r *Request, now time.Time) (freed []Revocation, ok bool) {
	m := a.members[r.Member]
	if m == nil {
		m = &member{name: r.Member, zone: r.Zone, incarnation: r.Incarnation, contactSince: now, ackedAt: now, replyTimes: map[uint64]time.Time{},
			machines: map[*machine]struct{}{}, pending: map[*machine]struct{}{}, needsReset: true}
		a.members[r.Member] = m
	}
	if r.Incarnation != m.incarnation {
		// A request of a life that is over may come late. A clock that was set back is
		// let in once every grant of the other life has ended.
		if r.Incarnation < m.incarnation && now.Before(m.grantUntil) {
			return nil, false
		}
		// The process before has ended, so it answers nothing after this.
		freed = a.revokeAll(m, now, "the holder was started anew", now)
		m.incarnation, m.seq, m.ackedAt = r.Incarnation, 0, now
		clear(m.replyTimes)
	}
	if r.Seq <= m.seq {
		return freed, false
	}
	m.seq, m.capacity, m.heardAt = r.Seq, r.Capacity, now
	switch {
	case !r.Overloaded:
		m.overloadedSince = time.Time{}
	case m.overloadedSince.IsZero():
		m.overloadedSince = now
	}
	if r.Term == a.term && r.Number > m.ackedReply {
		more, known := a.acknowledge(m, r, now)
		if !known {
			return freed, false // no reply of ours
		}
		freed = append(freed, more...)
	}
	a.admitMember(m, len(r.PreviousHosts) > 0, now)
	if m.joined && r.Term != a.term {
		a.restoreHosts(m, r.PreviousHosts, now)
	}
	return freed, true
}

// acknowledge takes in which of the leader's replies a member has taken in last, and with it
// the changes that the reply carried.
func (a *Assigner) acknowledge(m *member, r *Request, now time.Time) (freed []Revocation, known bool) {
	at, known := m.replyTimes[r.Number]
	if !known {
		return nil, false
	}
	m.ackedReply, m.ackedAt = r.Number, now
	if !r.More {
		m.knownUntil = at
	}
	for n := range m.replyTimes {
		if n < r.Number {
			delete(m.replyTimes, n)
		}
	}
	if m.resetInReply != 0 && m.ackedReply >= m.resetInReply {
		m.needsReset, m.resetInReply = false, 0
	}
	for k := range m.pending {
		switch {
		case k.announcedIn == 0 || k.announcedIn > m.ackedReply:
		case k.phase == assigning:
			k.phase = assigned
			delete(m.pending, k)
		case k.phase == revoking:
			// This request holds all that it answered before it let go.
			freed = append(freed, a.endHolding(k, at))
		}
	}
	return freed, true
}

// admitMember lets a member join that has asked without a gap for long enough; one that
// dealt with machines until the lead changed, at once.
func (a *Assigner) admitMember(m *member, had bool, now time.Time) {
	if m.joined || m.leavingReason != "" || !m.overloadedSince.IsZero() || now.Before(m.noJoinBefore) || m.capacity <= 0 {
		return
	}
	if had || now.Sub(m.contactSince) >= a.settings.JoinDelay {
		m.joined, m.joinedAt, a.candidatesStale, m.unreachedAt = true, now, true, nil
	}
}

// restoreHosts leaves a member what it dealt with under the leader before, whose grants
// have all ended, as far as the machines have not come here meanwhile: their
// workers need not turn to another controller.
func (a *Assigner) restoreHosts(m *member, have []string, now time.Time) {
	if len(a.machines) < a.settings.MinMachines {
		return
	}
	for _, name := range have {
		if k := a.machines[name]; k != nil && k.phase == heldByLeader && !k.retained && len(m.machines) < m.capacity {
			a.assign(k, m, "it had it before", now)
		}
	}
}

// ReplyDue reports whether a reply has something to say besides the grant.
func (a *Assigner) ReplyDue(member string) bool {
	m := a.members[member]
	if m == nil {
		return false
	}
	for k := range m.pending {
		if k.announcedIn == 0 {
			return true
		}
	}
	return false
}

// Reply makes the answer to the member's newest request. The caller shortens ForMs
// to what is left of the leader's own entitlement.
func (a *Assigner) Reply(member string, now time.Time) *Reply {
	m := a.members[member]
	m.lastReply++
	m.replyTimes[m.lastReply] = now
	r := &Reply{Term: a.term, Number: m.lastReply, Reset: m.needsReset}
	if m.needsReset && m.resetInReply == 0 {
		m.resetInReply = m.lastReply
	}
	for k := range m.pending {
		if k.announcedIn == 0 {
			k.announcedIn = m.lastReply
		}
		if k.phase == assigning {
			r.Add = append(r.Add, k.name)
		} else {
			r.Drop = append(r.Drop, k.name)
		}
	}
	slices.Sort(r.Add)
	slices.Sort(r.Drop)
	switch {
	case len(m.machines) == 0:
		m.ackedAt = now
	case now.Sub(m.ackedAt) <= a.settings.GrantDuration:
		r.ForMs = a.settings.GrantDuration.Milliseconds()
		// The holder counts from before it asked, so it ends sooner than this.
		m.grantUntil = now.Add(a.settings.GrantDuration + drift(a.settings.GrantDuration))
	default:
		// Its requests come, and what is sent to it is lost: it has no valid grant, and
		// its machines must not wait for one.
	}
	return r
}
