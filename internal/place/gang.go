package place

import (
	"cmp"
	"math"
	"slices"
)

// commonImageFactor is the number of gangs of the same size that the machines with a gang's
// image must be able to hold, when empty, for the gang to wait until some of them have room.
const commonImageFactor = 8

// minReservationS and maxReservationS bound the time, in seconds, for which machines may be
// reserved for a gang until all of them have room. If room takes longer to become free, other
// tasks use it better until then. Among long tasks, no set of machines for a wide gang has
// room that soon, so the bound grows with the time that the gang has waited. The maximum keeps
// a gang that cannot be placed from reserving machines for ever.
const (
	minReservationS = 60
	maxReservationS = 180
)

// placeGang places either all pending members of a gang or none.
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
		// Machines without the image have room, but fetching it would make the gang late.
		p.makeRoomForGang(i, zones, 0)
	case !p.withinTeamLimit(d, Resources{}.addScaled(d.Need, float64(len(d.Pending)))):
		p.plan.OverLimit[i] = true
	default:
		p.plan.Unplaced[i] = len(d.Pending)
		p.makeRoomForGang(i, zones, math.Inf(1))
	}
}

// gangZones returns the zones in which the whole gang may be placed, or only -1 if the members
// need not share a zone.
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

// bestGangPlacement returns the placement of a gang in one of the zones with the lowest total
// cost, or nil if there is none.
func (p *planner) bestGangPlacement(i int, zones []int, cachedOnly bool) (best []Assignment) {
	lowestCost := math.Inf(1)
	for _, zone := range zones {
		if placed, cost, ok := p.tryGang(i, zone, cachedOnly); ok && cost < lowestCost {
			best = placed
			lowestCost = cost
		}
	}
	return best
}

// imageIsCommon reports whether so many machines have a gang's image that some of them should
// have room soon.
func (p *planner) imageIsCommon(d *Demand) bool {
	capacity := 0
	for i := range p.Machines {
		if m := &p.Machines[i]; m.hasImage(d) && p.eligible(m, d) {
			capacity += m.Total.FitCount(d.Need)
		}
	}
	return capacity >= commonImageFactor*len(d.Pending)
}

// snapshot records the state that placing tasks of a demand changes, so that it can be
// restored.
type snapshot struct {
	planner     *planner
	demand      *Demand
	tasksByZone []int
	team        Team
	// machines holds copies of the machines at indices, in the order in which they were changed.
	machines []Machine
	indices  []int
}

// snapshot returns a snapshot for a demand that contains no machines yet.
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

// record saves machine i. It has to be called before the machine is changed.
func (s *snapshot) record(i int) {
	s.machines = append(s.machines, s.planner.Machines[i])
	s.indices = append(s.indices, i)
}

// restore undoes the changes since the snapshot was taken.
func (s *snapshot) restore() {
	for n, i := range slices.Backward(s.indices) {
		s.planner.Machines[i] = s.machines[n]
	}
	copy(s.demand.TasksByZone, s.tasksByZone)
	if s.demand.Team >= 0 {
		s.planner.Teams[s.demand.Team] = s.team
	}
}

// tryGang returns a placement of a gang in a zone and its total cost, without changing the
// state. ok is false if there is no such placement.
func (p *planner) tryGang(i, zone int, cachedOnly bool) (placed []Assignment, cost float64, ok bool) {
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
		cost += q.cost(&p.Machines[m])
		s.record(m)
		p.assign(d, m)
		q.placed(m)
		placed = append(placed, Assignment{Demand: i, Task: task, Machine: m})
	}
	return placed, cost, true
}

// makeRoomForGang preempts tasks or reserves machines for a gang, if it may preempt and no tasks
// are already being preempted for it. It uses only machines that fetch the image within maxFetchS
// seconds.
func (p *planner) makeRoomForGang(i int, zones []int, maxFetchS float64) {
	d := &p.Demands[i]
	if d.MayPreempt && p.hasVictims && p.countMachinesBeingFreed(d) == 0 {
		p.preemptOrReserve(i, zones, maxFetchS)
	}
}

// preemptOrReserve makes room for a whole gang in one of the zones. It preempts tasks where
// that suffices, and otherwise reserves the machines that will have room soonest as tasks
// complete. Without a reservation, arrays would use each CPU as it becomes free, and the gang
// would starve as long as arrays are submitted.
func (p *planner) preemptOrReserve(i int, zones []int, maxFetchS float64) {
	var best []int
	soonestS := math.Inf(1)
	for _, zone := range zones {
		preempted, machines, afterS := p.preemptOrReserveInZone(i, zone, maxFetchS)
		if preempted {
			return
		}
		if machines != nil && afterS < soonestS {
			best = machines
			soonestS = afterS
		}
	}
	d := &p.Demands[i]
	if soonestS > max(minReservationS, min(d.WaitedS, maxReservationS)) {
		return
	}
	for _, m := range best {
		p.Machines[m].reserve(d, true)
		p.plan.Reservations = append(p.plan.Reservations, Reservation{Demand: i, Machine: m})
	}
}

// preemptOrReserveInZone makes room for a gang in a zone by preemption. If that does not
// suffice, it preempts nothing and returns the machines that will have room for the gang
// soonest, and the time in seconds until then. machines is nil if there are too few.
func (p *planner) preemptOrReserveInZone(i, zone int, maxFetchS float64) (preempted bool, machines []int, afterS float64) {
	d := &p.Demands[i]
	s := p.snapshot(d)
	planned := len(p.plan.Preemptions)
	machines = p.debitFreeRoom(s, p.newQueue(d, zone, maxFetchS == 0))
	missing := len(d.Pending) - len(machines)
	if p.preempt(i, zone, missing, maxFetchS) == missing {
		return true, nil, 0
	}
	p.cancelPreemptions(planned)
	upcoming := p.upcomingRoom(d, zone, maxFetchS)
	s.restore()
	if len(upcoming) < missing {
		return false, nil, 0
	}
	slices.SortFunc(upcoming, func(a, b upcomingMachine) int {
		return cmp.Or(cmp.Compare(a.afterS, b.afterS), cmp.Compare(a.machine, b.machine))
	})
	for _, u := range upcoming[:missing] {
		machines = append(machines, u.machine)
		afterS = u.afterS
	}
	return false, machines, afterS
}

// debitFreeRoom debits members of a gang from the machines that have room now. It returns one
// machine for each such member.
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

// cancelPreemptions removes the preemptions from index planned on from the plan.
func (p *planner) cancelPreemptions(planned int) {
	for _, preemption := range p.plan.Preemptions[planned:] {
		p.Machines[preemption.Machine].endReservation()
	}
	p.plan.Preemptions = p.plan.Preemptions[:planned]
}

// upcomingMachine is a machine that will have room and the image for a member of a gang.
type upcomingMachine struct {
	machine int     // index into Input.Machines
	afterS  float64 // time in seconds until then
}

// upcomingRoom returns the machines that have no room for a task of the demand now but will
// have later.
func (p *planner) upcomingRoom(d *Demand, zone int, maxFetchS float64) []upcomingMachine {
	var upcoming []upcomingMachine
	p.eachMachine(zone, func(i int, m *Machine) {
		if !p.canMakeRoom(m, d, maxFetchS) || m.Free.Fits(d.Need) {
			return
		}
		if fitS := p.secondsUntilFit(m, d); !math.IsInf(fitS, 1) {
			upcoming = append(upcoming, upcomingMachine{machine: i, afterS: fitS + m.fetchSeconds(d)})
		}
	})
	return upcoming
}

// secondsUntilFit returns the time in seconds until a machine has room for a task of the
// demand, or infinity if it never will. Tasks that the demand may preempt count as leaving at
// once, the others when they complete.
func (p *planner) secondsUntilFit(m *Machine, d *Demand) float64 {
	victims := slices.Clone(m.Victims)
	remainingS := func(v *Victim) float64 {
		if p.canPreempt(d, v) {
			return 0
		}
		return v.RemainingS
	}
	slices.SortFunc(victims, func(a, b Victim) int {
		return cmp.Compare(remainingS(&a), remainingS(&b))
	})
	free := m.Free
	for i := range victims {
		free = free.addScaled(victims[i].Need, 1)
		if free.Fits(d.Need) {
			return remainingS(&victims[i])
		}
	}
	return math.Inf(1)
}
