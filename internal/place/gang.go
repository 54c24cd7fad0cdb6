package place

import (
	"cmp"
	"math"
	"slices"
)

// gang places all pending members or none.
func (p *planner) gang(i int) {
	d := &p.Demands[i]
	zones := []int{-1}
	if d.OneZone {
		zones = zones[:0]
		for z := range d.InZone {
			zones = append(zones, z)
		}
	}
	hurry := d.Hurry && p.common(d)
	best := p.shortest(i, zones, hurry)
	if best == nil && hurry && p.shortest(i, zones, false) != nil {
		// There is room, and its image would come too late there.
		if d.Preempts && p.stops && p.making(d) == 0 {
			p.makeRoom(i, zones, 0)
		}
		return
	}
	if best == nil {
		if d.Team >= 0 {
			t := &p.Teams[d.Team]
			all := Amount{}.plus(d.Need, float64(len(d.Pending)))
			if !t.room(all) {
				p.plan.Limited[i] = true
				return
			}
		}
		p.plan.Short[i] = len(d.Pending)
		if d.Preempts && p.stops && p.making(d) == 0 {
			p.makeRoom(i, zones, math.Inf(1))
		}
		return
	}
	for _, a := range best {
		p.take(d, a.Machine)
	}
	p.plan.Assign = append(p.plan.Assign, best...)
}

// shortest is the shortest placement of a gang in one of the zones; nil: there is none.
func (p *planner) shortest(i int, zones []int, cached bool) (best []Assignment) {
	length := math.Inf(1)
	for _, z := range zones {
		if set, l, ok := p.tryGang(i, z, cached); ok && l < length {
			best, length = set, l
		}
	}
	return best
}

// commonPlaces is for how many times a gang there must be machines with its image for
// it to wait until one of them has room.
const commonPlaces = 8

// common reports whether a gang's image is on so many machines that room on some of
// them comes soon.
func (p *planner) common(d *Demand) bool {
	n := 0
	for i := range p.Machines {
		if m := &p.Machines[i]; slices.Contains(m.Images, d.Image) && p.allowed(m, d) {
			n += m.Total.Times(d.Need)
		}
	}
	return n >= commonPlaces*len(d.Pending)
}

// mark remembers what placing tasks of a demand changes, to take it back.
type mark struct {
	p      *planner
	d      *Demand
	inZone []int
	team   Team
	was    []Machine
	at     []int
}

func (p *planner) mark(d *Demand) *mark {
	k := &mark{p: p, d: d, inZone: slices.Clone(d.InZone)}
	if d.Team >= 0 {
		k.team = p.Teams[d.Team]
	}
	return k
}

// save is called before machine i is changed.
func (k *mark) save(i int) { k.was, k.at = append(k.was, k.p.Machines[i]), append(k.at, i) }

func (k *mark) undo() {
	for n, i := range slices.Backward(k.at) {
		k.p.Machines[i] = k.was[n]
	}
	copy(k.d.InZone, k.inZone)
	if k.d.Team >= 0 {
		k.p.Teams[k.d.Team] = k.team
	}
}

func (p *planner) tryGang(i, zone int, cached bool) (set []Assignment, length float64, ok bool) {
	d := &p.Demands[i]
	q := p.queue(d, zone, cached)
	if q.room < len(d.Pending) {
		return nil, 0, false
	}
	k := p.mark(d)
	defer k.undo()
	for _, t := range d.Pending {
		if d.Team >= 0 && !p.Teams[d.Team].room(d.Need) {
			return set, 0, false
		}
		m := q.next(t)
		if m < 0 {
			return set, 0, false
		}
		length += Length(&p.Weights, &p.Machines[m], d)
		k.save(m)
		p.take(d, m)
		q.taken(m)
		set = append(set, Assignment{i, t, m})
	}
	return set, length, true
}

// makeRoom makes room for a whole gang in one of the zones: at once where that
// needs nothing but what the gang may stop, and otherwise where it comes soonest
// by itself. There the machines are reserved, because arrays would fill up each
// CPU as it comes free and the gang would wait for as long as they come. Its image
// takes no longer on them than fetch, in seconds.
func (p *planner) makeRoom(i int, zones []int, fetch float64) {
	best, soonest := []int(nil), math.Inf(1)
	for _, z := range zones {
		done, machines, after := p.makeRoomIn(i, z, fetch)
		if done {
			return
		}
		if machines != nil && after < soonest {
			best, soonest = machines, after
		}
	}
	d := &p.Demands[i]
	if soonest > max(leastReserved, min(d.Waited, mostReserved)) {
		return
	}
	for _, m := range best {
		p.Machines[m].KeptFor, p.Machines[m].Kept, p.Machines[m].Reserved = d.ID, d.Need, true
		p.plan.Reserve = append(p.plan.Reserve, Reservation{i, m})
	}
}

// leastReserved is how long machines may be kept from others for a gang, in seconds:
// room that comes later is better used until then. A wide gang beside long tasks finds
// no such machines, so that the longer it has waited the longer it may be, up to
// mostReserved: one that cannot be placed now does not hold room for ever.
const (
	leastReserved = 60
	mostReserved  = 180
)

// makeRoomIn makes room in a zone by stopping work, or else returns the machines
// whose work leaves room for the gang soonest, and in how many seconds.
func (p *planner) makeRoomIn(i, zone int, fetch float64) (done bool, machines []int, after float64) {
	d := &p.Demands[i]
	k, planned := p.mark(d), len(p.plan.Preempt)
	q, need := p.queue(d, zone, fetch == 0), len(d.Pending)
	for need > 0 {
		m := q.next(-1)
		if m < 0 {
			break
		}
		k.save(m)
		p.Machines[m].Free = p.Machines[m].Free.plus(d.Need, -1)
		q.taken(m)
		need--
		machines = append(machines, m)
	}
	if p.preempt(i, zone, need, fetch) == need {
		return true, nil, 0
	}
	for _, e := range p.plan.Preempt[planned:] {
		p.Machines[e.Machine].KeptFor, p.Machines[e.Machine].Kept = 0, Amount{}
	}
	p.plan.Preempt = p.plan.Preempt[:planned]
	type room struct {
		machine int
		after   float64
	}
	var all []room
	p.each(zone, func(mi int, m *Machine) {
		if m.fetch(d) > fetch || p.kept(m, d) || m.Unreliable || !m.Total.Fits(d.Need) || !p.allowed(m, d) || m.Free.Fits(d.Need) {
			return
		}
		if at := p.roomAfter(m, d); !math.IsInf(at, 1) {
			all = append(all, room{mi, at + m.fetch(d)})
		}
	})
	k.undo()
	if len(all) < need {
		return false, nil, 0
	}
	slices.SortFunc(all, func(a, b room) int {
		return cmp.Or(cmp.Compare(a.after, b.after), cmp.Compare(a.machine, b.machine))
	})
	for _, r := range all[:need] {
		machines = append(machines, r.machine)
		after = r.after
	}
	return false, machines, after
}

// roomAfter is when a machine has room for a task of the demand, in seconds: what
// the demand may stop goes at once, the rest when it ends.
func (p *planner) roomAfter(m *Machine, d *Demand) float64 {
	vs := slices.Clone(m.Victims)
	left := func(v *Victim) float64 {
		if p.may(d, v) {
			return 0
		}
		return v.Left
	}
	slices.SortFunc(vs, func(a, b Victim) int { return cmp.Compare(left(&a), left(&b)) })
	free := m.Free
	for i := range vs {
		free = free.plus(vs[i].Need, 1)
		if free.Fits(d.Need) {
			return left(&vs[i])
		}
	}
	return math.Inf(1)
}
