package place

import (
	"cmp"
	"math"
	"slices"
)

// placeGang places all pending members or none.
func (p *planner) placeGang(i int) {
	d := &p.Demands[i]
	zones := []int{-1}
	if d.OneZone {
		zones = zones[:0]
		for z := range d.TasksByZone {
			zones = append(zones, z)
		}
	}
	hurry := d.FetchTooSlow && p.imageIsCommon(d)
	best := p.bestGangPlacement(i, zones, hurry)
	if best == nil && hurry && p.bestGangPlacement(i, zones, false) != nil {
		// There is room, and its image would come too late there.
		if d.MayPreempt && p.hasVictims && p.preparedMachines(d) == 0 {
			p.preemptOrReserve(i, zones, 0)
		}
		return
	}
	if best == nil {
		if d.Team >= 0 {
			t := &p.Teams[d.Team]
			all := Resources{}.addScaled(d.Need, float64(len(d.Pending)))
			if !t.withinLimit(all) {
				p.plan.OverLimit[i] = true
				return
			}
		}
		p.plan.Unplaced[i] = len(d.Pending)
		if d.MayPreempt && p.hasVictims && p.preparedMachines(d) == 0 {
			p.preemptOrReserve(i, zones, math.Inf(1))
		}
		return
	}
	for _, a := range best {
		p.assign(d, a.Machine)
	}
	p.plan.Assignments = append(p.plan.Assignments, best...)
}

// bestGangPlacement is the shortest placement of a gang in one of the zones; nil: there is none.
func (p *planner) bestGangPlacement(i int, zones []int, cached bool) (best []Assignment) {
	length := math.Inf(1)
	for _, z := range zones {
		if set, l, ok := p.tryGang(i, z, cached); ok && l < length {
			best, length = set, l
		}
	}
	return best
}

// commonImageFactor is for how many times a gang there must be machines with its image for
// it to wait until one of them has room.
const commonImageFactor = 8

// imageIsCommon reports whether a gang's image is on so many machines that room on some of
// them comes soon.
func (p *planner) imageIsCommon(d *Demand) bool {
	n := 0
	for i := range p.Machines {
		if m := &p.Machines[i]; slices.Contains(m.Images, d.Image) && p.eligible(m, d) {
			n += m.Total.FitCount(d.Need)
		}
	}
	return n >= commonImageFactor*len(d.Pending)
}

// snapshot remembers what placing tasks of a demand changes, to take it back.
type snapshot struct {
	planner     *planner
	demand      *Demand
	tasksByZone []int
	team        Team
	machines    []Machine
	indices     []int
}

func (p *planner) snapshot(d *Demand) *snapshot {
	k := &snapshot{planner: p, demand: d, tasksByZone: slices.Clone(d.TasksByZone)}
	if d.Team >= 0 {
		k.team = p.Teams[d.Team]
	}
	return k
}

// record is called before machine i is changed.
func (k *snapshot) record(i int) {
	k.machines, k.indices = append(k.machines, k.planner.Machines[i]), append(k.indices, i)
}

func (k *snapshot) restore() {
	for n, i := range slices.Backward(k.indices) {
		k.planner.Machines[i] = k.machines[n]
	}
	copy(k.demand.TasksByZone, k.tasksByZone)
	if k.demand.Team >= 0 {
		k.planner.Teams[k.demand.Team] = k.team
	}
}

func (p *planner) tryGang(i, zone int, cached bool) (set []Assignment, length float64, ok bool) {
	d := &p.Demands[i]
	q := p.newQueue(d, zone, cached)
	if q.capacity < len(d.Pending) {
		return nil, 0, false
	}
	k := p.snapshot(d)
	defer k.restore()
	for _, t := range d.Pending {
		if d.Team >= 0 && !p.Teams[d.Team].withinLimit(d.Need) {
			return set, 0, false
		}
		m := q.next(t)
		if m < 0 {
			return set, 0, false
		}
		length += Length(&p.Weights, &p.Machines[m], d)
		k.record(m)
		p.assign(d, m)
		q.placed(m)
		set = append(set, Assignment{i, t, m})
	}
	return set, length, true
}

// preemptOrReserve makes room for a whole gang in one of the zones: at once where that
// needs nothing but what the gang may stop, and otherwise where it comes soonest
// by itself. There the machines are reserved, because arrays would fill up each
// CPU as it comes free and the gang would wait for as long as they come. Its image
// takes no longer on them than fetch, in seconds.
func (p *planner) preemptOrReserve(i int, zones []int, fetch float64) {
	best, soonest := []int(nil), math.Inf(1)
	for _, z := range zones {
		done, machines, after := p.preemptOrReserveIn(i, z, fetch)
		if done {
			return
		}
		if machines != nil && after < soonest {
			best, soonest = machines, after
		}
	}
	d := &p.Demands[i]
	if soonest > max(minReservationS, min(d.Waited, maxReservationS)) {
		return
	}
	for _, m := range best {
		p.Machines[m].ReservedFor, p.Machines[m].Reserved, p.Machines[m].AwaitsCompletion = d.ID, d.Need, true
		p.plan.Reservations = append(p.plan.Reservations, Reservation{i, m})
	}
}

// minReservationS is how long machines may be kept from others for a gang, in seconds:
// room that comes later is better used until then. A wide gang beside long tasks finds
// no such machines, so that the longer it has waited the longer it may be, up to
// mostReserved: one that cannot be placed now does not hold room for ever.
const (
	minReservationS = 60
	maxReservationS = 180
)

// preemptOrReserveIn makes room in a zone by stopping work, or else returns the machines
// whose work leaves room for the gang soonest, and in how many seconds.
func (p *planner) preemptOrReserveIn(i, zone int, fetch float64) (done bool, machines []int, after float64) {
	d := &p.Demands[i]
	k, planned := p.snapshot(d), len(p.plan.Preemptions)
	q, need := p.newQueue(d, zone, fetch == 0), len(d.Pending)
	for need > 0 {
		m := q.next(-1)
		if m < 0 {
			break
		}
		k.record(m)
		p.Machines[m].Free = p.Machines[m].Free.addScaled(d.Need, -1)
		q.placed(m)
		need--
		machines = append(machines, m)
	}
	if p.preempt(i, zone, need, fetch) == need {
		return true, nil, 0
	}
	for _, e := range p.plan.Preemptions[planned:] {
		p.Machines[e.Machine].ReservedFor, p.Machines[e.Machine].Reserved = 0, Resources{}
	}
	p.plan.Preemptions = p.plan.Preemptions[:planned]
	type room struct {
		machine int
		after   float64
	}
	var all []room
	p.eachMachine(zone, func(mi int, m *Machine) {
		if m.fetchSeconds(d) > fetch || p.blocked(m, d) || m.Unreliable || !m.Total.Fits(d.Need) || !p.eligible(m, d) || m.Free.Fits(d.Need) {
			return
		}
		if at := p.secondsUntilFit(m, d); !math.IsInf(at, 1) {
			all = append(all, room{mi, at + m.fetchSeconds(d)})
		}
	})
	k.restore()
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

// secondsUntilFit is when a machine has room for a task of the demand, in seconds: what
// the demand may stop goes at once, the rest when it ends.
func (p *planner) secondsUntilFit(m *Machine, d *Demand) float64 {
	vs := slices.Clone(m.Victims)
	left := func(v *Victim) float64 {
		if p.canPreempt(d, v) {
			return 0
		}
		return v.Remaining
	}
	slices.SortFunc(vs, func(a, b Victim) int { return cmp.Compare(left(&a), left(&b)) })
	free := m.Free
	for i := range vs {
		free = free.addScaled(vs[i].Need, 1)
		if free.Fits(d.Need) {
			return left(&vs[i])
		}
	}
	return math.Inf(1)
}
