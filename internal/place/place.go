// Package place decides which tasks run on which machines. It is pure: machines, demands
// and the time are passed in, and the same input gives the same plan.
//
// Filters (eligible) rule machines out; among those with room the score (Cost) decides.
// It is the one of Hać and Johnson's paper on load balancing: the best machine is the one
// with the shortest vector of squared, weighted loads and unmet conditions. A demand that
// finds no room may preempt other tasks.
package place

import "vetchstream/internal/job"

// Input is all that a plan depends on. MakePlan changes what it refers to.
type Input struct {
	Machines []Machine
	Demands  []Demand
	Teams    []Team
	Weights  Weights
}

// Plan is what MakePlan decides.
type Plan struct {
	Assignments  []Assignment
	Preemptions  []Preemption
	Reservations []Reservation
	// Unplaced counts, per demand, the tasks that found no machine although their team's
	// limit has room for them.
	Unplaced []int
	// OverLimit tells, per demand, whether its team's limit kept tasks from being placed.
	OverLimit []bool
}

// Assignment places a task on a machine.
type Assignment struct {
	Demand  int // index into Input.Demands
	Task    int32
	Machine int // index into Input.Machines
}

// Preemption stops tasks on a machine and reserves the room for a task of a demand.
type Preemption struct {
	Demand  int   // index into Input.Demands
	Machine int   // index into Input.Machines
	Victims []int // ids of the victims
}

// Reservation reserves room on a machine for a member of a gang, which becomes free as
// other tasks complete.
type Reservation struct {
	Demand  int // index into Input.Demands
	Machine int // index into Input.Machines
}

// planner holds the state of one call of MakePlan.
type planner struct {
	Input
	plan Plan
	// withinGuarantee tells, per demand, whether its next task is inside its team's guarantee.
	withinGuarantee []bool
	// machinesByZone lists the machines of each zone, in their order.
	machinesByZone [][]int
	// victimsSorted tells of which machines the victims are in the order of preemption.
	victimsSorted []bool
	// hasVictims: there are tasks that may be preempted; lowestPriority is the lowest of their
	// priorities.
	hasVictims     bool
	lowestPriority job.Priority
	// lastQueue is the queue of the previous demand, for one that is interchangeable with it.
	lastQueue *candidateQueue
	// reservedFor holds the demands for which a machine is reserved, or held by the calendar.
	reservedFor map[int]bool
	// usesCalendar: the calendar holds some machine, or has maintenance due there.
	usesCalendar bool
}

// MakePlan makes a plan.
func MakePlan(in Input) Plan {
	p := &planner{Input: in}
	p.plan.Unplaced = make([]int, len(in.Demands))
	p.plan.OverLimit = make([]bool, len(in.Demands))
	order := p.demandOrder()
	p.buildIndex()
	for _, i := range order {
		p.placeDemand(i)
	}
	p.placeDelayed(order)
	return p.plan
}

// placeDemand places what fits of a demand.
func (p *planner) placeDemand(i int) {
	d := &p.Demands[i]
	switch {
	case d.Shape == job.Gang:
		p.placeGang(i)
		p.lastQueue = nil // it may have reserved machines
	case d.FetchTooSlow && p.canPreemptAny(d):
		p.placeWhereCached(i)
	default:
		// What is inside a guarantee need not leave machines to others.
		d.CanDelay = d.CanDelay && !p.withinGuarantee[i]
		p.placeTasks(i, d.CanDelay)
	}
}

// placeDelayed gives the room that is left to the demands that left machines without their
// image to others.
func (p *planner) placeDelayed(order []int) {
	for _, i := range order {
		if d := &p.Demands[i]; d.CanDelay && len(d.Pending) > 0 {
			p.placeTasks(i, false)
		}
	}
}

// buildIndex prepares what the demands share.
func (p *planner) buildIndex() {
	p.machinesByZone = make([][]int, p.zoneCount())
	p.victimsSorted = make([]bool, len(p.Machines))
	p.reservedFor = map[int]bool{}
	teams := map[int]int{}
	for i := range p.Demands {
		teams[p.Demands[i].ID] = p.Demands[i].Team
	}
	for i := range p.Machines {
		m := &p.Machines[i]
		if m.ReservedFor > 0 && !m.AwaitsCompletion {
			if t, waits := teams[m.ReservedFor]; waits && t >= 0 {
				p.Teams[t].Claimed = p.Teams[t].Claimed.addScaled(m.Reserved, 1)
			}
		}
		p.reservedFor[m.ReservedFor] = true
		p.reservedFor[m.HeldFor] = true
		p.usesCalendar = p.usesCalendar || m.HeldFor != 0 || m.MaintenanceDue
		p.machinesByZone[m.Zone] = append(p.machinesByZone[m.Zone], i)
		p.addVictimPriorities(m)
	}
}

// zoneCount returns how many zones the machines and the demands know of.
func (p *planner) zoneCount() int {
	zones := 0
	for i := range p.Machines {
		zones = max(zones, p.Machines[i].Zone+1)
	}
	for i := range p.Demands {
		zones = max(zones, len(p.Demands[i].TasksByZone))
	}
	return zones
}

// addVictimPriorities updates the lowest priority that may be preempted with a machine's victims.
func (p *planner) addVictimPriorities(m *Machine) {
	for v := range m.Victims {
		if r := m.Victims[v].Priority; !p.hasVictims || r < p.lowestPriority {
			p.lowestPriority = r
			p.hasVictims = true
		}
	}
}

// eachMachine calls f for the machines of a zone, or of all zones if zone is negative, in
// their order.
func (p *planner) eachMachine(zone int, f func(i int, m *Machine)) {
	if zone >= 0 {
		for _, i := range p.machinesByZone[zone] {
			f(i, &p.Machines[i])
		}
		return
	}
	for i := range p.Machines {
		f(i, &p.Machines[i])
	}
}
