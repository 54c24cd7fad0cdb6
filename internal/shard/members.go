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
	name, zone string
	life, seq  uint64
	// number is that of the last reply, acked that of the last one taken in. at are the
	// times of the replies from acked on.
	number, acked uint64
	at            map[uint64]time.Time
	ackedAt       time.Time
	// until is when the last grant has ended for certain, in the leader's time.
	until time.Time
	// told is up to when all that the member has answered is known.
	told     time.Time
	since    time.Time // asks without a gap since
	heard    time.Time
	joined   bool
	joinedAt time.Time
	leaving  string // why it is to give everything back; empty: it is not
	notUntil time.Time
	rest     time.Duration
	room     int
	behind   time.Time // since when it has been short of processor; zero: it is not
	strays   []time.Time
	machines map[*machine]struct{}
	pending  map[*machine]struct{} // of these, those in phase giving or taking
	fresh    bool                  // it has to forget what it held
	// freshAt is the first reply that says so. An acknowledgement of an earlier one,
	// which may have added machines, does not settle it: the holder would go on with
	// machines that are another's.
	freshAt uint64
}

// restMore lengthens the time for which a member that has left gets no machines. A
// member that comes and goes every few seconds moves its share a few times only.
func (a *Assigner) restMore(m *member, now time.Time) {
	if now.Sub(m.joinedAt) > a.set.MaxRejoinDelay {
		m.rest = 0
	}
	m.rest = min(max(a.set.RejoinDelay, 2*m.rest), a.set.MaxRejoinDelay)
	m.notUntil = now.Add(m.rest)
}

// leave lets a member give back what it has, at the ordinary pace.
func (a *Assigner) leave(m *member, why string, now time.Time) {
	if m.leaving != "" || !m.joined {
		return
	}
	m.leaving, a.stale = why, true
	a.restMore(m, now)
}

// silent settles all machines of a member whose grants have ended.
func (a *Assigner) silent(m *member, until time.Time, why string, now time.Time) []Revocation {
	var out []Revocation
	for k := range m.machines {
		if k.phase != taking {
			k.since, k.why = now, why
		}
		out = append(out, a.ends(k, until))
	}
	slices.SortFunc(out, func(x, y Revocation) int { return cmp.Compare(x.Name, y.Name) })
	if m.joined {
		m.joined, a.stale = false, true
		a.restMore(m, now)
	}
	m.leaving, m.fresh, m.freshAt, m.since = "", true, 0, now
	return out
}

// HandleRequest takes in a request. It is refused, and its reports with it, if it is not the
// member's newest.
func (a *Assigner) HandleRequest(r *Request, now time.Time) (freed []Revocation, ok bool) {
	m := a.members[r.Member]
	if m == nil {
		m = &member{name: r.Member, zone: r.Zone, life: r.Incarnation, since: now, ackedAt: now, at: map[uint64]time.Time{},
			machines: map[*machine]struct{}{}, pending: map[*machine]struct{}{}, fresh: true}
		a.members[r.Member] = m
	}
	if r.Incarnation != m.life {
		// A request of a life that is over may come late. A clock that was set back is
		// let in once every grant of the other life has ended.
		if r.Incarnation < m.life && now.Before(m.until) {
			return nil, false
		}
		// The process before has ended, so it answers nothing after this.
		freed = a.silent(m, now, "the holder was started anew", now)
		m.life, m.seq, m.ackedAt = r.Incarnation, 0, now
		clear(m.at)
	}
	if r.Seq <= m.seq {
		return freed, false
	}
	m.seq, m.room, m.heard = r.Seq, r.Capacity, now
	switch {
	case !r.Overloaded:
		m.behind = time.Time{}
	case m.behind.IsZero():
		m.behind = now
	}
	if r.Term == a.term && r.Number > m.acked {
		more, known := a.acknowledge(m, r, now)
		if !known {
			return freed, false // no reply of ours
		}
		freed = append(freed, more...)
	}
	a.member(m, len(r.PreviousHosts) > 0, now)
	if m.joined && r.Term != a.term {
		a.adopt(m, r.PreviousHosts, now)
	}
	return freed, true
}

// acknowledge takes in which of the leader's replies a member has taken in last, and with it
// the changes that the reply carried.
func (a *Assigner) acknowledge(m *member, r *Request, now time.Time) (freed []Revocation, known bool) {
	at, known := m.at[r.Number]
	if !known {
		return nil, false
	}
	m.acked, m.ackedAt = r.Number, now
	if !r.More {
		m.told = at
	}
	for n := range m.at {
		if n < r.Number {
			delete(m.at, n)
		}
	}
	if m.freshAt != 0 && m.acked >= m.freshAt {
		m.fresh, m.freshAt = false, 0
	}
	for k := range m.pending {
		switch {
		case k.tag == 0 || k.tag > m.acked:
		case k.phase == giving:
			k.phase = given
			delete(m.pending, k)
		case k.phase == taking:
			// This request holds all that it answered before it let go.
			freed = append(freed, a.ends(k, at))
		}
	}
	return freed, true
}

// member lets a member join that has asked without a gap for long enough; one that
// dealt with machines until the lead changed, at once.
func (a *Assigner) member(m *member, had bool, now time.Time) {
	if m.joined || m.leaving != "" || !m.behind.IsZero() || now.Before(m.notUntil) || m.room <= 0 {
		return
	}
	if had || now.Sub(m.since) >= a.set.JoinDelay {
		m.joined, m.joinedAt, a.stale, m.strays = true, now, true, nil
	}
}

// adopt leaves a member what it dealt with under the leader before, whose grants
// have all ended, as far as the machines have not come here meanwhile: their
// workers need not turn to another controller.
func (a *Assigner) adopt(m *member, have []string, now time.Time) {
	if len(a.machines) < a.set.MinMachines {
		return
	}
	for _, name := range have {
		if k := a.machines[name]; k != nil && k.phase == own && !k.kept && len(m.machines) < m.room {
			a.give(k, m, "it had it before", now)
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
		if k.tag == 0 {
			return true
		}
	}
	return false
}

// Reply makes the answer to the member's newest request. The caller shortens ForMs
// to what is left of the leader's own entitlement.
func (a *Assigner) Reply(member string, now time.Time) *Reply {
	m := a.members[member]
	m.number++
	m.at[m.number] = now
	r := &Reply{Term: a.term, Number: m.number, Reset: m.fresh}
	if m.fresh && m.freshAt == 0 {
		m.freshAt = m.number
	}
	for k := range m.pending {
		if k.tag == 0 {
			k.tag = m.number
		}
		if k.phase == giving {
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
	case now.Sub(m.ackedAt) <= a.set.GrantDuration:
		r.ForMs = a.set.GrantDuration.Milliseconds()
		// The holder counts from before it asked, so it ends sooner than this.
		m.until = now.Add(a.set.GrantDuration + drift(a.set.GrantDuration))
	default:
		// Its requests come, and what is sent to it is lost: it has no valid grant, and
		// its machines must not wait for one.
	}
	return r
}
