package shard

import (
	"maps"
	"math"
	"slices"
	"time"
)

// handoverPhase is how far the change of a machine's holder is.
type handoverPhase uint8

const (
	heldByLeader handoverPhase = iota // the leader deals with it
	assigning                         // the member may have it, and has not said so yet
	assigned                          // the member has said that it has it
	revoking                          // it may still have it, and is told to let go
)

// machine is a machine of the fleet.
type machine struct {
	name, zone string
	holder     *member // nil in phase own
	phase      handoverPhase
	// announcedIn is the first reply that carried the change; 0: none has.
	announcedIn uint64
	since       time.Time // of the change
	reason      string
	// redirectedAt is when its worker was last sent to the holder, and the holder has not
	// told of it since; zero: it has.
	redirectedAt time.Time
	// neverAssigned: it has come up in this term and has never had a holder. It turns at no
	// cost to a share: its pace is that of the boots.
	neverAssigned bool
	// pinned is the member through which its worker has come, until the time given: it
	// reaches no other.
	pinned      string
	pinnedUntil time.Time
	ranked      []*candidate
	rankedEpoch int // of the seats that it is ranked by
	// retained: the leader deals with it until Release.
	retained bool
}

// Revocation is a machine that its holder does not deal with any more.
type Revocation struct {
	// Name is the machine, From the member that held it, Why the reason for the move.
	Name, From, Reason string
	// Until is the last moment at which the holder may have answered a report.
	Until time.Time
	// Since is when the move began.
	Since time.Time
}

// Assigner is the leader's side. Its owner steps it and passes the time in.
type Assigner struct {
	term            uint64
	name            string
	zone            string
	settings        Settings
	members         map[string]*member
	machines        map[string]*machine
	candidates      []*candidate
	candidatesEpoch int
	candidatesStale bool // the seats have to be made anew
	movesAllowed    float64
	movesAllowedAt  time.Time
	rebalancedAt    time.Time
	steppedAt       time.Time
	// directReportAt and viaAt are when a report came to the leader itself, and through a
	// member.
	directReportAt, forwardedReportAt time.Time
	noExpiryBefore                    time.Time // nobody counts as silent before
	moves                             int
}

// NewAssigner makes the division of a term that has just begun: the leader deals
// with all machines.
func NewAssigner(term uint64, name, zone string, set Settings, now time.Time) *Assigner {
	return &Assigner{term: term, name: name, zone: zone, settings: set, members: map[string]*member{}, machines: map[string]*machine{},
		candidatesStale: true, movesAllowedAt: now, steppedAt: now}
}

// Moves counts the changes of holder, to and from the leader.
func (a *Assigner) Moves() int { return a.moves }

// HeldCounts returns how many machines each member has, with the leader's own.
func (a *Assigner) HeldCounts() map[string]int {
	out := map[string]int{a.name: len(a.machines)}
	for _, m := range a.members {
		if n := len(m.machines); n > 0 {
			out[m.name] = n
			out[a.name] -= n
		}
	}
	return out
}

// Holder names the member that may answer a machine's reports, and whether it may
// be asked to send commands; empty: the leader.
func (a *Assigner) Holder(name string) (member string, asked bool) {
	k := a.machines[name]
	if k == nil || k.holder == nil {
		return "", false
	}
	return k.holder.name, k.phase == assigned
}

// KnownUntil is up to when all that the member has answered is known.
func (a *Assigner) KnownUntil(member string) time.Time {
	if m := a.members[member]; m != nil {
		return m.knownUntil
	}
	return time.Time{}
}

// updateCandidates makes the seats, and their bounds.
func (a *Assigner) updateCandidates(now time.Time) {
	if a.candidatesStale {
		a.candidatesStale = false
		a.candidatesEpoch++
		a.candidates = []*candidate{{name: a.name, zone: a.zone, weight: a.settings.LeaderWeight, capacity: a.settings.LeaderCapacity}}
		for _, name := range slices.Sorted(maps.Keys(a.members)) {
			if m := a.members[name]; m.joined && m.leavingReason == "" {
				a.candidates = append(a.candidates, &candidate{member: m, name: name, zone: m.zone, weight: 1})
			}
		}
	}
	n := len(a.machines)
	for _, s := range a.candidates {
		if s.member == nil {
			s.load, s.capacity = n, a.settings.LeaderCapacity
			if now.Sub(a.directReportAt) > leaderCutAfter && now.Sub(a.forwardedReportAt) < leaderCutAfter {
				s.capacity = 0
			}
			for _, m := range a.members {
				s.load -= len(m.machines)
			}
			continue
		}
		s.capacity, s.load = s.member.capacity, len(s.member.machines)
		if !s.member.overloadedSince.IsZero() || now.Sub(s.member.heardAt) > maxContactGap {
			s.capacity = min(s.capacity, s.load) // no more while it is short of processor, or may have ended
		}
	}
	setBounds(a.candidates, n)
}

// target is the controller that should have a machine: the first in its ranking
// with room. One that has it stays while it is within its bound, unless the
// ranking's very first has come to have room.
func (a *Assigner) target(k *machine, now time.Time) *candidate {
	if k.rankedEpoch != a.candidatesEpoch {
		k.ranked, k.rankedEpoch = rank(k.name, k.zone, a.candidates), a.candidatesEpoch
	}
	var has *candidate
	for _, s := range k.ranked {
		if s.member == k.holder {
			has = s
		}
		if s.name == k.pinned && now.Before(k.pinnedUntil) && s.load < s.capacity {
			return s
		}
	}
	if has != nil && has.load <= has.bound {
		if first := k.ranked[0]; first != has && first.load < first.bound {
			return first
		}
		return has
	}
	for _, s := range k.ranked {
		if s.load < s.bound {
			return s
		}
	}
	if has != nil {
		return has
	}
	return a.candidates[0]
}

// takeMove takes one from the moves that may be made now.
func (a *Assigner) takeMove(now time.Time) bool {
	a.movesAllowed = min(max(1, a.settings.MovesPerSecond/2), a.movesAllowed+now.Sub(a.movesAllowedAt).Seconds()*a.settings.MovesPerSecond)
	a.movesAllowedAt = now
	if a.movesAllowed < 1 {
		return false
	}
	a.movesAllowed--
	return true
}

// Route says what becomes of a report that has come to the leader.
type Route uint8

const (
	// Serve means that the leader answers it.
	Serve Route = iota
	// Send means that the worker is sent to the holder that is named.
	Send
	// Wait means that the holder is changing; the report is looked at again once it is known.
	Wait
)

// maxContactGap is how long a holder may not ask before workers are not sent to it: it
// asks many times a second.
const maxContactGap = 500 * time.Millisecond

// redirectTimeout is how long a worker that was sent to its holder may take to be heard
// of there. One that comes back sooner does not reach it.
const redirectTimeout = 20 * time.Second

// RouteReport says who answers a report that has come to the leader.
func (a *Assigner) RouteReport(name, zone string, now time.Time) (Route, string) {
	k := a.machines[name]
	if k == nil {
		k = &machine{name: name, zone: zone, neverAssigned: true}
		a.machines[name] = k
	}
	if k.zone != zone && zone != "" {
		k.zone, k.rankedEpoch = zone, 0
	}
	switch k.phase {
	case assigned:
		if now.Sub(k.holder.heardAt) > maxContactGap {
			return Wait, "" // it may have ended: its machines are free within a grant
		}
		if !k.redirectedAt.IsZero() && now.Sub(k.redirectedAt) < redirectTimeout {
			a.reportUnreached(k, now)
			return Wait, ""
		}
		k.redirectedAt = now
		return Send, k.holder.name
	case assigning, revoking:
		return Wait, ""
	}
	return Serve, ""
}

// leaderCutAfter is how long no report may come to the leader itself, while others are handed
// on to it, before it counts as cut from the workers and holds no machines.
const leaderCutAfter = 5 * time.Second

// pinDuration is how long a machine stays with the member through which its worker has
// come to the leader.
const pinDuration = time.Minute

// ReportServed notes that the leader has answered a machine's report: this is when it may
// be given away, so that the holder has it before the next report. Via is the
// member that handed the report on; empty: it came from the worker. A leader that is
// cut from its workers gives their machines to those that are not.
func (a *Assigner) ReportServed(name, via string, now time.Time) {
	k := a.machines[name]
	if k == nil || k.phase != heldByLeader || k.retained || len(a.machines) < a.settings.MinMachines {
		return
	}
	if via != "" {
		k.pinned, k.pinnedUntil, a.forwardedReportAt = via, now.Add(pinDuration), now
	} else {
		a.directReportAt = now
	}
	a.updateCandidates(now)
	if len(a.candidates) == 1 {
		return
	}
	if s := a.target(k, now); s.member != nil && (k.neverAssigned || a.takeMove(now)) {
		a.assign(k, s.member, "its share", now)
	}
}

func (a *Assigner) assign(k *machine, m *member, why string, now time.Time) {
	k.holder, k.phase, k.announcedIn, k.since, k.reason, k.redirectedAt, k.neverAssigned = m, assigning, 0, now, why, time.Time{}, false
	m.machines[k] = struct{}{}
	m.pending[k] = struct{}{}
	if len(m.machines) == 1 && now.After(m.grantUntil) {
		// It has no grant yet: it must not count as silent before its next request.
		m.grantUntil = now.Add(a.settings.GrantDuration)
	}
	a.moves++
}

// RevocationTime is how long a machine that is taken back may still be answered by its
// holder: the rest of a grant that was given before.
func (a *Assigner) RevocationTime() time.Duration {
	return a.settings.GrantDuration + drift(a.settings.GrantDuration)
}

// Retain lets the leader deal with a machine until Release; a holder gives it back.
func (a *Assigner) Retain(name, why string, now time.Time) {
	if k := a.machines[name]; k != nil && !k.retained {
		k.retained = true
		a.revoke(k, why, now)
	}
}

// Release lets a machine that was kept go to a holder again.
func (a *Assigner) Release(name string) {
	if k := a.machines[name]; k != nil {
		k.retained = false
	}
}

func (a *Assigner) revoke(k *machine, why string, now time.Time) {
	if k.phase == heldByLeader || k.phase == revoking {
		return
	}
	k.phase, k.announcedIn, k.since, k.reason = revoking, 0, now, why
	k.holder.pending[k] = struct{}{}
}

// unreachedFraction is the part of a member's share, one in that many, whose workers must
// fail to reach it within strayTime for the member to count as cut from them.
const (
	unreachedFraction = 10
	minUnreached      = 3
)

// reportUnreached takes back a machine whose worker does not reach its holder. A holder that
// many do not reach leaves.
func (a *Assigner) reportUnreached(k *machine, now time.Time) {
	m := k.holder
	a.revoke(k, "its worker does not reach the holder", now)
	m.unreachedAt = append(slices.DeleteFunc(m.unreachedAt, func(t time.Time) bool { return now.Sub(t) > redirectTimeout }), now)
	if m.leavingReason == "" && len(m.unreachedAt) >= max(minUnreached, len(m.machines)/unreachedFraction) {
		a.startLeaving(m, "its workers do not reach it", now)
	}
}

// endHolding settles a machine that its holder does not deal with any more.
func (a *Assigner) endHolding(k *machine, until time.Time) Revocation {
	f := Revocation{Name: k.name, From: k.holder.name, Reason: k.reason, Until: until, Since: k.since}
	delete(k.holder.machines, k)
	delete(k.holder.pending, k)
	k.holder, k.phase, k.announcedIn, k.redirectedAt = nil, heldByLeader, 0, time.Time{}
	a.moves++
	return f
}

// AddMachine notes a machine that has not reported yet.
func (a *Assigner) AddMachine(name, zone string) {
	if a.machines[name] == nil {
		a.machines[name] = &machine{name: name, zone: zone}
	}
}

// ConfirmContact notes that the holder has heard a machine.
func (a *Assigner) ConfirmContact(name string) {
	if k := a.machines[name]; k != nil {
		k.redirectedAt = time.Time{}
	}
}

// RemoveMachine forgets a machine that was returned.
func (a *Assigner) RemoveMachine(name string, now time.Time) {
	k := a.machines[name]
	if k == nil {
		return
	}
	if k.phase == heldByLeader {
		delete(a.machines, name)
		return
	}
	a.revoke(k, "it was returned", now)
	delete(a.machines, name)
}

// overloadGrace is how long a member may be short of processor before it gives its
// share back, gapTime how long it may not be heard of before it has to ask for
// Join again, and lookEvery spaces the looks at all machines.
const (
	overloadGrace     = 8 * time.Second
	joinContactGap    = time.Second
	rebalanceInterval = 500 * time.Millisecond
)

// Step does what time brings: members that have fallen silent, and shares that are
// too large, at the pace of the settings.
func (a *Assigner) Step(now time.Time) (freed []Revocation) {
	if now.Sub(a.steppedAt) > joinContactGap {
		// It is the leader that stood still: the members' requests wait behind this look.
		a.noExpiryBefore = now.Add(joinContactGap)
	}
	a.steppedAt = now
	freed = a.expireMembers(now)
	if now.Sub(a.rebalancedAt) < rebalanceInterval {
		return freed
	}
	a.rebalancedAt = now
	a.updateCandidates(now)
	few := len(a.machines) < a.settings.MinMachines-a.settings.MinMachines/5
	for _, name := range slices.Sorted(maps.Keys(a.members)) {
		m := a.members[name]
		for k := range m.machines {
			if k.phase != assigned {
				continue
			}
			why := ""
			switch {
			case m.leavingReason != "":
				why = m.leavingReason
			case few:
				why = "the fleet is small"
			default:
				if s := a.target(k, now); s.member != m {
					why = "a share has changed"
					s.load++
				}
			}
			if why == "" {
				continue
			}
			if !a.takeMove(now) {
				return freed
			}
			for _, s := range a.candidates {
				if s.member == m {
					s.load--
				}
			}
			a.revoke(k, why, now)
		}
	}
	return freed
}

// expireMembers settles the members that have fallen silent, and lets those leave that are short of
// processor.
func (a *Assigner) expireMembers(now time.Time) (freed []Revocation) {
	for _, name := range slices.Sorted(maps.Keys(a.members)) {
		m := a.members[name]
		quiet := now.Sub(m.heardAt) > a.settings.GrantDuration
		switch {
		case now.Before(a.noExpiryBefore):
		case len(m.machines) > 0 && now.After(m.grantUntil):
			freed = append(freed, a.revokeAll(m, m.grantUntil, "the holder is silent", now)...)
		case m.joined && len(m.machines) == 0 && quiet:
			a.revokeAll(m, now, "", now)
		}
		if !m.joined && now.Sub(m.heardAt) > joinContactGap {
			m.contactSince = now
		}
		if m.joined && !m.overloadedSince.IsZero() && now.Sub(m.overloadedSince) > overloadGrace {
			a.startLeaving(m, "it is short of processor", now)
		}
		if m.leavingReason != "" && len(m.machines) == 0 {
			// Its rest begins now: giving back has taken a while.
			m.joined, m.leavingReason, a.candidatesStale, m.noJoinBefore = false, "", true, now.Add(m.rejoinDelay)
		}
	}
	return freed
}

// MovesPerSecond is how many workers a controller with that share of a core turns in a
// second: a connection and its first report take some two milliseconds, and a
// quarter of the processor is left to it. Slower, a fleet that boots within a
// minute would gather at the leader first.
func MovesPerSecond(coreShare float64) float64 { return max(5, math.Round(coreShare*0.25/0.002)) }
