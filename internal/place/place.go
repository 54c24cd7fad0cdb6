// Package place decides which tasks run on which machines. It is pure: machines, demands and
// the time are passed in, and the same input gives the same plan.
//
// Hard constraints (eligible) rule machines out. Among the remaining machines with room, the
// one with the lowest cost (Length) is chosen. The cost function follows Hać and Johnson's paper
// on load balancing: the best machine has the shortest vector of weighted loads and unmet
// preferences. A demand that finds no room may preempt other tasks.
package place

import "vetchstream/internal/job"

// Input is the input of MakePlan, which modifies the slices and maps in it.
type Input struct {
	Machines []Machine
	Demands  []Demand
	Teams    []Team
	Weights  Weights
}

// Plan is the result of MakePlan.
type Plan struct {
	Assignments  []Assignment
	Preemptions  []Preemption
	Reservations []Reservation
	// Unplaced is, for each demand, the number of tasks for which no machine has room, counting
	// only tasks that fit into their team's limit.
	Unplaced []int
	// OverLimit reports, for each demand, whether its team's limit kept tasks from being placed.
	OverLimit []bool
}

// Assignment places a task on a machine.
type Assignment struct {
	Demand  int // index into Input.Demands
	Task    int32
	Machine int // index into Input.Machines
}

// Preemption stops tasks on a machine and reserves their resources for a task of a demand.
type Preemption struct {
	Demand  int   // index into Input.Demands
	Machine int   // index into Input.Machines
	Victims []int // IDs of the victims
}

// Reservation reserves resources of a machine for a member of a gang. They become free as
// other tasks complete.
type Reservation struct {
	Demand  int // index into Input.Demands
	Machine int // index into Input.Machines
}

// planner holds the state of one call of MakePlan.
type planner struct {
	Input
	plan Plan
	// withinGuarantee reports, for each demand, whether its next task is within its team's
	// guarantee.
	withinGuarantee []bool
	// machinesByZone lists the indexes of the machines of each zone in ascending order.
	machinesByZone [][]int
	// victimsSorted reports, for each machine, whether sortVictims has sorted its victims.
	victimsSorted []bool
	// hasVictims reports whether any machine has victims, and lowestPriority is the lowest
	// priority among them.
	hasVictims     bool
	lowestPriority job.Priority
	// lastQueue is the queue of the previous demand, which the next demand reuses if the two
	// are interchangeable.
	lastQueue *candidateQueue
	// reservedFor is the set of IDs of demands for which a machine is reserved or held by the
	// calendar.
	reservedFor map[int]bool
	// usesCalendar reports whether the calendar holds any machine or has maintenance due on one.
	usesCalendar bool
}

// MakePlan decides where the tasks of the demands run.
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

// placeDemand places as many tasks of a demand as fit.
func (p *planner) placeDemand(i int) {
	d := &p.Demands[i]
	switch {
	case d.Shape == job.Gang:
		p.placeGang(i)
		p.lastQueue = nil // placeGang may have reserved machines
	case d.FetchTooSlow && p.canPreemptAny(d):
		p.placeWhereCached(i)
	default:
		// A demand within its guarantee need not leave machines to others.
		d.CanDelay = d.CanDelay && !p.withinGuarantee[i]
		p.placeTasks(i, d.CanDelay)
	}
}

// placeDelayed places the remaining tasks of demands with delay scheduling, which until then
// left machines without their image to others.
func (p *planner) placeDelayed(order []int) {
	for _, i := range order {
		if d := &p.Demands[i]; d.CanDelay && len(d.Pending) > 0 {
			p.placeTasks(i, false)
		}
	}
}

// buildIndex builds the indexes of machines, victims and reservations that all demands share.
func (p *planner) buildIndex() {
	p.machinesByZone = make([][]int, p.zoneCount())
	p.victimsSorted = make([]bool, len(p.Machines))
	p.reservedFor = map[int]bool{}
	teamByDemand := map[int]int{}
	for i := range p.Demands {
		teamByDemand[p.Demands[i].ID] = p.Demands[i].Team
	}
	for i := range p.Machines {
		m := &p.Machines[i]
		if m.ReservedFor > 0 && !m.AwaitsCompletion {
			if t, ok := teamByDemand[m.ReservedFor]; ok && t >= 0 {
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

// zoneCount returns the number of zones that occur in the machines and the demands.
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

// addVictimPriorities updates hasVictims and lowestPriority with a machine's victims.
func (p *planner) addVictimPriorities(m *Machine) {
	for v := range m.Victims {
		if priority := m.Victims[v].Priority; !p.hasVictims || priority < p.lowestPriority {
			p.lowestPriority = priority
			p.hasVictims = true
		}
	}
}

// eachMachine calls f for the machines of a zone, or of all zones if zone is negative, in
// ascending order of their indexes.
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
