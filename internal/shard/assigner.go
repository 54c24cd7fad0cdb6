package shard

import (
	"maps"
	"math"
	"slices"
	"time"
)

// phase is how far the change of a machine's holder is.
type phase uint8

const (
	own    phase = iota // the leader deals with it
	giving              // the member may have it, and has not said so yet
	given               // the member has said that it has it
	taking              // it may still have it, and is told to let go
)

// machine is a machine of the fleet.
type machine struct {
	name, zone string
	m          *member // nil in phase own
	phase      phase
	// tag is the first reply that carried the change; 0: none has.
	tag   uint64
	since time.Time // of the change
	why   string
	// sentAt is when its worker was last sent to the holder, and the holder has not
	// told of it since; zero: it has.
	sentAt time.Time
	// fresh: it has come up in this term and has never had a holder. It turns at no
	// cost to a share: its pace is that of the boots.
	fresh bool
	// pinned is the member through which its worker has come, until the time given: it
	// reaches no other.
	pinned string
	until  time.Time
	ranked []*seat
	epoch  int // of the seats that it is ranked by
	// kept: the leader deals with it until Release.
	kept bool
}

// Revocation is a machine that its holder does not deal with any more.
type Revocation struct {
	// Name is the machine, From the member that held it, Why the reason for the move.
	Name, From, Why string
	// Until is the last moment at which the holder may have answered a report.
	Until time.Time
	// Since is when the move began.
	Since time.Time
}

// Assigner is the leader's side. Its owner steps it and passes the time in.
type Assigner struct {
	term     uint64
	name     string
	zone     string
	set      Settings
	members  map[string]*member
	machines map[string]*machine
	seats    []*seat
	epoch    int
	stale    bool // the seats have to be made anew
	turns    float64
	turnsAt  time.Time
	lookAt   time.Time
	stepAt   time.Time
	// directAt and viaAt are when a report came to the leader itself, and through a
	// member.
	directAt, viaAt time.Time
	patient         time.Time // nobody counts as silent before
	moves           int
}

// NewAssigner makes the division of a term that has just begun: the leader deals
// with all machines.
func NewAssigner(term uint64, name, zone string, set Settings, now time.Time) *Assigner {
	return &Assigner{term: term, name: name, zone: zone, set: set, members: map[string]*member{}, machines: map[string]*machine{},
		stale: true, turnsAt: now, stepAt: now}
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
	if k == nil || k.m == nil {
		return "", false
	}
	return k.m.name, k.phase == given
}

// KnownUntil is up to when all that the member has answered is known.
func (a *Assigner) KnownUntil(member string) time.Time {
	if m := a.members[member]; m != nil {
		return m.told
	}
	return time.Time{}
}

// divide makes the seats, and their bounds.
func (a *Assigner) divide(now time.Time) {
	if a.stale {
		a.stale = false
		a.epoch++
		a.seats = []*seat{{name: a.name, zone: a.zone, weight: a.set.LeaderWeight, room: a.set.LeaderCapacity}}
		for _, name := range slices.Sorted(maps.Keys(a.members)) {
			if m := a.members[name]; m.joined && m.leaving == "" {
				a.seats = append(a.seats, &seat{m: m, name: name, zone: m.zone, weight: 1})
			}
		}
	}
	n := len(a.machines)
	for _, s := range a.seats {
		if s.m == nil {
			s.load, s.room = n, a.set.LeaderCapacity
			if now.Sub(a.directAt) > cutTime && now.Sub(a.viaAt) < cutTime {
				s.room = 0
			}
			for _, m := range a.members {
				s.load -= len(m.machines)
			}
			continue
		}
		s.room, s.load = s.m.room, len(s.m.machines)
		if !s.m.behind.IsZero() || now.Sub(s.m.heard) > quietTime {
			s.room = min(s.room, s.load) // no more while it is short of processor, or may have ended
		}
	}
	bounds(a.seats, n)
}

// target is the controller that should have a machine: the first in its ranking
// with room. One that has it stays while it is within its bound, unless the
// ranking's very first has come to have room.
func (a *Assigner) target(k *machine, now time.Time) *seat {
	if k.epoch != a.epoch {
		k.ranked, k.epoch = rank(k.name, k.zone, a.seats), a.epoch
	}
	var has *seat
	for _, s := range k.ranked {
		if s.m == k.m {
			has = s
		}
		if s.name == k.pinned && now.Before(k.until) && s.load < s.room {
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
	return a.seats[0]
}

// turn takes one from the moves that may be made now.
func (a *Assigner) turn(now time.Time) bool {
	a.turns = min(max(1, a.set.MovesPerSecond/2), a.turns+now.Sub(a.turnsAt).Seconds()*a.set.MovesPerSecond)
	a.turnsAt = now
	if a.turns < 1 {
		return false
	}
	a.turns--
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

// quietTime is how long a holder may not ask before workers are not sent to it: it
// asks many times a second.
const quietTime = 500 * time.Millisecond

// strayTime is how long a worker that was sent to its holder may take to be heard
// of there. One that comes back sooner does not reach it.
const strayTime = 20 * time.Second

// RouteReport says who answers a report that has come to the leader.
func (a *Assigner) RouteReport(name, zone string, now time.Time) (Route, string) {
	k := a.machines[name]
	if k == nil {
		k = &machine{name: name, zone: zone, fresh: true}
		a.machines[name] = k
	}
	if k.zone != zone && zone != "" {
		k.zone, k.epoch = zone, 0
	}
	switch k.phase {
	case given:
		if now.Sub(k.m.heard) > quietTime {
			return Wait, "" // it may have ended: its machines are free within a grant
		}
		if !k.sentAt.IsZero() && now.Sub(k.sentAt) < strayTime {
			a.stray(k, now)
			return Wait, ""
		}
		k.sentAt = now
		return Send, k.m.name
	case giving, taking:
		return Wait, ""
	}
	return Serve, ""
}

// cutTime is how long no report may come to the leader itself, while others are handed
// on to it, before it counts as cut from the workers and holds no machines.
const cutTime = 5 * time.Second

// pinTime is how long a machine stays with the member through which its worker has
// come to the leader.
const pinTime = time.Minute

// ReportServed notes that the leader has answered a machine's report: this is when it may
// be given away, so that the holder has it before the next report. Via is the
// member that handed the report on; empty: it came from the worker. A leader that is
// cut from its workers gives their machines to those that are not.
func (a *Assigner) ReportServed(name, via string, now time.Time) {
	k := a.machines[name]
	if k == nil || k.phase != own || k.kept || len(a.machines) < a.set.MinMachines {
		return
	}
	if via != "" {
		k.pinned, k.until, a.viaAt = via, now.Add(pinTime), now
	} else {
		a.directAt = now
	}
	a.divide(now)
	if len(a.seats) == 1 {
		return
	}
	if s := a.target(k, now); s.m != nil && (k.fresh || a.turn(now)) {
		a.give(k, s.m, "its share", now)
	}
}

func (a *Assigner) give(k *machine, m *member, why string, now time.Time) {
	k.m, k.phase, k.tag, k.since, k.why, k.sentAt, k.fresh = m, giving, 0, now, why, time.Time{}, false
	m.machines[k] = struct{}{}
	m.pending[k] = struct{}{}
	if len(m.machines) == 1 && now.After(m.until) {
		// It has no grant yet: it must not count as silent before its next request.
		m.until = now.Add(a.set.GrantDuration)
	}
	a.moves++
}

// HandoverTime is how long a machine that is taken back may still be answered by its
// holder: the rest of a grant that was given before.
func (a *Assigner) HandoverTime() time.Duration {
	return a.set.GrantDuration + drift(a.set.GrantDuration)
}

// Retain lets the leader deal with a machine until Release; a holder gives it back.
func (a *Assigner) Retain(name, why string, now time.Time) {
	if k := a.machines[name]; k != nil && !k.kept {
		k.kept = true
		a.take(k, why, now)
	}
}

// Release lets a machine that was kept go to a holder again.
func (a *Assigner) Release(name string) {
	if k := a.machines[name]; k != nil {
		k.kept = false
	}
}

func (a *Assigner) take(k *machine, why string, now time.Time) {
	if k.phase == own || k.phase == taking {
		return
	}
	k.phase, k.tag, k.since, k.why = taking, 0, now, why
	k.m.pending[k] = struct{}{}
}

// strayTen is the part of a member's share, one in that many, whose workers must
// fail to reach it within strayTime for the member to count as cut from them.
const (
	strayTen   = 10
	strayLeast = 3
)

// stray takes back a machine whose worker does not reach its holder. A holder that
// many do not reach leaves.
func (a *Assigner) stray(k *machine, now time.Time) {
	m := k.m
	a.take(k, "its worker does not reach the holder", now)
	m.strays = append(slices.DeleteFunc(m.strays, func(t time.Time) bool { return now.Sub(t) > strayTime }), now)
	if m.leaving == "" && len(m.strays) >= max(strayLeast, len(m.machines)/strayTen) {
		a.leave(m, "its workers do not reach it", now)
	}
}

// ends settles a machine that its holder does not deal with any more.
func (a *Assigner) ends(k *machine, until time.Time) Revocation {
	f := Revocation{Name: k.name, From: k.m.name, Why: k.why, Until: until, Since: k.since}
	delete(k.m.machines, k)
	delete(k.m.pending, k)
	k.m, k.phase, k.tag, k.sentAt = nil, own, 0, time.Time{}
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
		k.sentAt = time.Time{}
	}
}

// RemoveMachine forgets a machine that was returned.
func (a *Assigner) RemoveMachine(name string, now time.Time) {
	k := a.machines[name]
	if k == nil {
		return
	}
	if k.phase == own {
		delete(a.machines, name)
		return
	}
	a.take(k, "it was returned", now)
	delete(a.machines, name)
}

// behindTime is how long a member may be short of processor before it gives its
// share back, gapTime how long it may not be heard of before it has to ask for
// Join again, and lookEvery spaces the looks at all machines.
const (
	behindTime = 8 * time.Second
	gapTime    = time.Second
	lookEvery  = 500 * time.Millisecond
)

// Step does what time brings: members that have fallen silent, and shares that are
// too large, at the pace of the settings.
func (a *Assigner) Step(now time.Time) (freed []Revocation) {
	if now.Sub(a.stepAt) > gapTime {
		// It is the leader that stood still: the members' requests wait behind this look.
		a.patient = now.Add(gapTime)
	}
	a.stepAt = now
	freed = a.lapse(now)
	if now.Sub(a.lookAt) < lookEvery {
		return freed
	}
	a.lookAt = now
	a.divide(now)
	few := len(a.machines) < a.set.MinMachines-a.set.MinMachines/5
	for _, name := range slices.Sorted(maps.Keys(a.members)) {
		m := a.members[name]
		for k := range m.machines {
			if k.phase != given {
				continue
			}
			why := ""
			switch {
			case m.leaving != "":
				why = m.leaving
			case few:
				why = "the fleet is small"
			default:
				if s := a.target(k, now); s.m != m {
					why = "a share has changed"
					s.load++
				}
			}
			if why == "" {
				continue
			}
			if !a.turn(now) {
				return freed
			}
			for _, s := range a.seats {
				if s.m == m {
					s.load--
				}
			}
			a.take(k, why, now)
		}
	}
	return freed
}

// lapse settles the members that have fallen silent, and lets those leave that are short of
// processor.
func (a *Assigner) lapse(now time.Time) (freed []Revocation) {
	for _, name := range slices.Sorted(maps.Keys(a.members)) {
		m := a.members[name]
		quiet := now.Sub(m.heard) > a.set.GrantDuration
		switch {
		case now.Before(a.patient):
		case len(m.machines) > 0 && now.After(m.until):
			freed = append(freed, a.silent(m, m.until, "the holder is silent", now)...)
		case m.joined && len(m.machines) == 0 && quiet:
			a.silent(m, now, "", now)
		}
		if !m.joined && now.Sub(m.heard) > gapTime {
			m.since = now
		}
		if m.joined && !m.behind.IsZero() && now.Sub(m.behind) > behindTime {
			a.leave(m, "it is short of processor", now)
		}
		if m.leaving != "" && len(m.machines) == 0 {
			// Its rest begins now: giving back has taken a while.
			m.joined, m.leaving, a.stale, m.notUntil = false, "", true, now.Add(m.rest)
		}
	}
	return freed
}

// MovesPerSecond is how many workers a controller with that share of a core turns in a
// second: a connection and its first report take some two milliseconds, and a
// quarter of the processor is left to it. Slower, a fleet that boots within a
// minute would gather at the leader first.
func MovesPerSecond(coreShare float64) float64 { return max(5, math.Round(coreShare*0.25/0.002)) }
