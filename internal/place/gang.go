package place

import (
	"cmp"
	"math"
	"slices"
)

// commonImageFactor is for how many gangs of the same size the machines with a gang's image
// must suffice for it to wait until some of them have room.
const commonImageFactor = 8

// minReservationS and maxReservationS bound for how long machines may be reserved for a
// gang before all have room, in seconds. Room that takes longer is better used by others
// until then. A wide gang beside long tasks finds no such machines, so that the bound grows
// with the time it has waited, up to the maximum: a gang that cannot be placed now does not
// reserve machines for ever.
const (
	minReservationS = 60
	maxReservationS = 180
)

// placeGang places all pending members of a gang or none.
func (p *planner) placeGang(i int) {
	d := &p.Demands[i]
	zones := gangZones(d)
	waitForCached := d.FetchTooSlow && p.imageIsCommon(d)
	best := p.bestGangPlacement(i, zones, waitForCached)
	switch {
	case best != nil:
		for _, a := range best {
			p.assign(d, a.Machine)
		}
		p.plan.Assignments = append(p.plan.Assignments, best...)
	case waitForCached && p.bestGangPlacement(i, zones, false) != nil:
		// There is room, but the image would come too late there.
		p.makeRoomForGang(i, zones, 0)
	case !p.withinTeamLimit(d, Resources{}.addScaled(d.Need, float64(len(d.Pending)))):
		p.plan.OverLimit[i] = true
	default:
		p.plan.Unplaced[i] = len(d.Pending)
		p.makeRoomForGang(i, zones, math.Inf(1))
	}
}

// gangZones returns the zones in which a gang may be placed whole; -1 means any.
func gangZones(d *Demand) []int {
	if !d.OneZone {
		return []int{-1}
	}
	zones := make([]int, len(d.TasksByZone))
	for z := range zones {
		zones[z] = z
	}
	return zones
}

// bestGangPlacement returns the placement of a gang in one of the zones with the best total
// score, or nil if there is none.
func (p *planner) bestGangPlacement(i int, zones []int, cachedOnly bool) (best []Assignment) {
	bestLength := math.Inf(1)
	for _, zone := range zones {
		if placed, length, ok := p.tryGang(i, zone, cachedOnly); ok && length < bestLength {
			best = placed
			bestLength = length
		}
	}
	return best
}

// imageIsCommon reports whether a gang's image is on so many machines that room on some of
// them comes soon.
func (p *planner) imageIsCommon(d *Demand) bool {
	n := 0
	for i := range p.Machines {
		if m := &p.Machines[i]; m.hasImage(d) && p.eligible(m, d) {
			n += m.Total.FitCount(d.Need)
		}
	}
	return n >= commonImageFactor*len(d.Pending)
}

// snapshot records what placing tasks of a demand changes, to restore it.
type snapshot struct {
	planner     *planner
	demand      *Demand
	tasksByZone []int
	team        Team
	// machines are copies of the machines at indices, in the order of their changes.
	machines []Machine
	indices  []int
}

// snapshot starts a record for a demand.
func (p *planner) snapshot(d *Demand) *snapshot {
	s := &snapshot{
		planner:     p,
		demand:      d,
		tasksByZone: slices.Clone(d.TasksByZone),
	}
	if d.Team >= 0 {
		s.team = p.Teams[d.Team]
	}
	return s
}

// record has to be called before machine i is changed.
func (s *snapshot) record(i int) {
	s.machines = append(s.machines, s.planner.Machines[i])
	s.indices = append(s.indices, i)
}

// restore takes the changes back.
func (s *snapshot) restore() {
	for n, i := range slices.Backward(s.indices) {
		s.planner.Machines[i] = s.machines[n]
	}
	copy(s.demand.TasksByZone, s.tasksByZone)
	if s.demand.Team >= 0 {
		s.planner.Teams[s.demand.Team] = s.team
	}
}

// tryGang returns a placement of a gang in a zone and its total score, without carrying it
// out; ok is false if there is none.
func (p *planner) tryGang(i, zone int, cachedOnly bool) (placed []Assignment, length float64, ok bool) {
	d := &p.Demands[i]
	q := p.newQueue(d, zone, cachedOnly)
	if q.capacity < len(d.Pending) {
		return nil, 0, false
	}
	s := p.snapshot(d)
	defer s.restore()
	for _, task := range d.Pending {
		if !p.withinTeamLimit(d, d.Need) {
			return nil, 0, false
		}
		m := q.next(task)
		if m < 0 {
			return nil, 0, false
		}
		length += q.cost(&p.Machines[m])
		s.record(m)
		p.assign(d, m)
		q.placed(m)
		placed = append(placed, Assignment{Demand: i, Task: task, Machine: m})
	}
	return placed, length, true
}

// makeRoomForGang makes room for a gang that has none, if it may preempt and no room is being
// made for it yet. Its image takes at most maxFetch seconds on the machines.
func (p *planner) makeRoomForGang(i int, zones []int, maxFetch float64) {
	d := &p.Demands[i]
	if d.MayPreempt && p.hasVictims && p.countMachinesBeingFreed(d) == 0 {
		p.preemptOrReserve(i, zones, maxFetch)
	}
}

// preemptOrReserve makes room for a whole gang in one of the zones: at once by preemption
// where that suffices, and otherwise by reserving the machines where its room comes soonest
// by itself. Without a reservation arrays would use each CPU as it becomes free, and the
// gang would wait for as long as they come.
func (p *planner) preemptOrReserve(i int, zones []int, maxFetch float64) {
	var best []int
	soonest := math.Inf(1)
	for _, zone := range zones {
		preempted, machines, after := p.preemptOrReserveInZone(i, zone, maxFetch)
		if preempted {
			return
		}
		if machines != nil && after < soonest {
			best = machines
			soonest = after
		}
	}
	d := &p.Demands[i]
	if soonest > max(minReservationS, min(d.WaitedS, maxReservationS)) {
		return
	}
	for _, m := range best {
		p.Machines[m].reserve(d, true)
		p.plan.Reservations = append(p.plan.Reservations, Reservation{Demand: i, Machine: m})
	}
}

// preemptOrReserveInZone makes room for a gang in a zone by preemption. If that does not
// suffice, nothing is preempted, and it returns the machines that have room for the gang
// soonest, and in how many seconds; nil if there are too few.
func (p *planner) preemptOrReserveInZone(i, zone int, maxFetch float64) (preempted bool, machines []int, after float64) {
	d := &p.Demands[i]
	s := p.snapshot(d)
	planned := len(p.plan.Preemptions)
	machines = p.debitFreeRoom(s, p.newQueue(d, zone, maxFetch == 0))
	missing := len(d.Pending) - len(machines)
	if p.preempt(i, zone, missing, maxFetch) == missing {
		return true, nil, 0
	}
	p.cancelPreemptions(planned)
	upcoming := p.upcomingRoom(d, zone, maxFetch)
	s.restore()
	if len(upcoming) < missing {
		return false, nil, 0
	}
	slices.SortFunc(upcoming, func(a, b upcomingMachine) int {
		return cmp.Or(cmp.Compare(a.afterS, b.afterS), cmp.Compare(a.machine, b.machine))
	})
	for _, r := range upcoming[:missing] {
		machines = append(machines, r.machine)
		after = r.afterS
	}
	return false, machines, after
}

// debitFreeRoom debits members of a gang from the machines that have room for them, one
// element of machines for each member.
func (p *planner) debitFreeRoom(s *snapshot, q *candidateQueue) (machines []int) {
	d := s.demand
	for len(machines) < len(d.Pending) {
		m := q.next(-1)
		if m < 0 {
			break
		}
		s.record(m)
		p.Machines[m].Free = p.Machines[m].Free.addScaled(d.Need, -1)
		q.placed(m)
		machines = append(machines, m)
	}
	return machines
}

// cancelPreemptions takes back the preemptions from index planned on.
func (p *planner) cancelPreemptions(planned int) {
	for _, e := range p.plan.Preemptions[planned:] {
		p.Machines[e.Machine].endReservation()
	}
	p.plan.Preemptions = p.plan.Preemptions[:planned]
}

// upcomingMachine is a machine that has room for a member of a gang later, its fetch
// included.
type upcomingMachine struct {
	machine int // index into Input.Machines
	afterS  float64
}

// upcomingRoom returns the machines that have room for a task of the demand later and not
// now.
func (p *planner) upcomingRoom(d *Demand, zone int, maxFetch float64) []upcomingMachine {
	var upcoming []upcomingMachine
	p.eachMachine(zone, func(i int, m *Machine) {
		if !p.canMakeRoom(m, d, maxFetch) || m.Free.Fits(d.Need) {
			return
		}
		if after := p.secondsUntilFit(m, d); !math.IsInf(after, 1) {
			upcoming = append(upcoming, upcomingMachine{machine: i, afterS: after + m.fetchSeconds(d)})
		}
	})
	return upcoming
}

// secondsUntilFit returns in how many seconds a machine has room for a task of the demand,
// infinity if never: what the demand may preempt goes at once, the rest when it completes.
func (p *planner) secondsUntilFit(m *Machine, d *Demand) float64 {
	victims := slices.Clone(m.Victims)
	leavesIn := func(v *Victim) float64 {
		if p.canPreempt(d, v) {
			return 0
		}
		return v.RemainingS
	}
	slices.SortFunc(victims, func(a, b Victim) int {
		return cmp.Compare(leavesIn(&a), leavesIn(&b))
	})
	free := m.Free
	for i := range victims {
		free = free.addScaled(victims[i].Need, 1)
		if free.Fits(d.Need) {
			return leavesIn(&victims[i])
		}
	}
	return math.Inf(1)
}
