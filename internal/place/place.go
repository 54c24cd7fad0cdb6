// Package place decides what runs where. It is pure: machines, demands and the
// time are passed in, and the same input gives the same plan.
//
// The choice among machines with room is the one of Hać and Johnson's paper:
// the machine with the shortest vector of squared, weighted loads and unmet
// conditions.
package place

import (
	"math"
	"slices"
	"sort"

	"vetchstream/internal/job"
)

// Weights scale the dimensions of the vector.
type Weights struct {
	Queue, Jobs, CPU, Price                    float64
	Image, Sticky, SameZone, Unreliable, Empty float64
}

// Resources is what a task takes, or a machine has.
type Resources struct{ CPUs, GPUs, MemGB float64 }

// slack absorbs the rounding of sums of decimal amounts.
const slack = 1e-6

// Fits reports whether a has room for b.
func (a Resources) Fits(b Resources) bool {
	return b.CPUs <= a.CPUs+slack && b.GPUs <= a.GPUs+slack && b.MemGB <= a.MemGB+slack
}

func (a Resources) addScaled(b Resources, k float64) Resources {
	return Resources{a.CPUs + k*b.CPUs, a.GPUs + k*b.GPUs, a.MemGB + k*b.MemGB}
}

// FitCount is how many of b fit into a.
func (a Resources) FitCount(b Resources) int {
	n := math.Inf(1)
	for _, p := range [][2]float64{{a.CPUs, b.CPUs}, {a.GPUs, b.GPUs}, {a.MemGB, b.MemGB}} {
		if p[1] > 0 {
			n = min(n, math.Floor((p[0]+slack)/p[1]))
		}
	}
	return int(max(0, min(n, job.MaxTasks)))
}

// Victim is a placement that could be stopped to make room.
type Victim struct {
	ID   int
	Rank job.Rank
	Team int
	Need Resources
	// Released is what leaves with it: all of its gang, or itself alone.
	Released Resources
	// Loss is the work that stopping it would throw away, in CPU seconds, and
	// Left the time in which it is expected to end by itself, in seconds.
	Loss, Remaining float64
	// Late: its job has to start now to be in time, so that it looks for work to stop
	// itself.
	Late bool
}

// Machine is a machine that may get launches.
type Machine struct {
	ID         int
	Type, Zone int
	Spot       bool
	Total      Resources
	Free       Resources
	// Queue and Jobs are the paper's loads, with placements that no report has
	// covered yet already in them.
	Queue, Jobs int
	// Scale brings Queue and Jobs to a common size: the CPUs of the smallest
	// machine over those of this one. The paper's hosts are alike, ours are not.
	Scale float64
	// Price is what a CPU costs here, in multiples of the cheapest.
	Price float64
	// Images are those that are cached here or on their way, and FetchRate is how fast
	// others come, in GB a second.
	Images    []int
	FetchRate float64
	// Unreliable: a task failed here recently.
	Unreliable bool
	// Kept is the room that is kept for the demand KeptFor (0: none). Reserved:
	// nothing has been stopped for it yet.
	ReservedFor      int
	Reserved         Resources
	AwaitsCompletion bool
	// HeldFor is the demand for which the whole machine is held by the calendar (0: not
	// held, Nobody: for one that is not there yet), and HeldIn in how many seconds it is
	// needed; until then others may use it that are sure to be gone.
	HeldFor int
	HeldIn  float64
	// MaintenanceDue: its maintenance begins in LeavesIn seconds. Draining: work that could be
	// moved is kept off already.
	MaintenanceDue, Draining bool
	MaintenanceIn            float64
	Victims                  []Victim
	// UnclearedExits are tasks whose exits the worker still reports: it would refuse
	// another attempt of them.
	UnclearedExits map[Task]bool
}

// FutureDemand is a demand that never is there.
const FutureDemand = -1

// Task names a task of a demand.
type Task struct {
	Job  int
	Task int32
}

// Demand is a job with tasks that need a place.
type Demand struct {
	ID           int // above 0
	Shape        job.Shape
	Rank         job.Rank
	Team         int
	Need         Resources
	AllowedTypes []bool // nil: any
	Zone         int    // -1: any
	OneZone      bool
	Spread       bool
	Spot         bool
	Image        int
	ImageGB      float64
	LastMachine  int
	Total        int
	Pending      []int32
	// Waiting is the number of tasks that wait, of which Pending may hold a part.
	Waiting int
	// TasksByZone counts, per zone, what may be running of the job.
	TasksByZone []int
	// LatestStart orders demands of one rank: when the job has to start to be
	// in time, in seconds.
	LatestStart float64
	// MayPreempt: the demand may stop others' work now.
	MayPreempt bool
	// Waited is how long it has waited, in seconds. Overdue: nothing of it has begun for
	// so long that it goes first, whatever its rank.
	Waited  float64
	Overdue bool
	// EndsIn is in how many seconds a task that starts now is sure to have ended; it
	// matters where machines are held or leave. Movable: it can be stopped and go on
	// elsewhere.
	EndsIn  float64
	Movable bool
	// FetchTooSlow: a fetch would make it late, so that room is made where its image is rather
	// than taken where it is not.
	FetchTooSlow bool
	// CanDelay: there is time to leave a machine without its image to a demand behind
	// it that has its own there.
	CanDelay bool
	// OnlyHeldMachines: the machines that are held for the demand are enough for it.
	OnlyHeldMachines bool
}

// Team is a team's guarantee, limit and use; a limit of 0 is none. Leaving is the
// part of its use that is being stopped already, Claimed the room that is being made for
// it and that it does not use yet.
type Team struct {
	Guarantee, Limit, Used, Stopping, Claimed Resources
}

// canYield reports whether the team keeps its guarantee without a. What it has
// beyond may be stopped for another's guarantee, and no more: a team that fell
// inside its own would claim it back, and the two would stop each other's work
// for ever.
func (t *Team) canYield(a Resources) bool {
	left := t.Used.addScaled(t.Stopping, -1).addScaled(a, -1)
	return left.CPUs >= t.Guarantee.CPUs-slack && left.GPUs >= t.Guarantee.GPUs-slack
}

// withinGuarantee reports whether need is still inside the team's guarantee. A resource of
// which nothing is guaranteed says nothing about it, but what takes none of the
// others is inside no guarantee.
func (t *Team) withinGuarantee(need Resources) bool {
	u, inside := t.Used.addScaled(need, 1), false
	for _, r := range [...]struct{ guaranteed, used, need float64 }{
		{t.Guarantee.CPUs, u.CPUs, need.CPUs}, {t.Guarantee.GPUs, u.GPUs, need.GPUs}} {
		if r.guaranteed == 0 {
			continue
		}
		if r.used > r.guaranteed+slack {
			return false
		}
		inside = inside || r.need > 0
	}
	return inside
}

func (t *Team) withinLimit(need Resources) bool {
	u := t.Used.addScaled(need, 1)
	return (t.Limit.CPUs == 0 || u.CPUs <= t.Limit.CPUs+slack) && (t.Limit.GPUs == 0 || u.GPUs <= t.Limit.GPUs+slack)
}

// borrowed is what the team uses beyond its guarantee. A team that is guaranteed
// accelerators alone borrows none of the CPUs that come with them; one without any
// guarantee borrows all that it uses.
func (t *Team) borrowed() (a Resources) {
	if t.Guarantee.CPUs == 0 && t.Guarantee.GPUs == 0 {
		return t.Used
	}
	if t.Guarantee.CPUs > 0 {
		a.CPUs = max(0, t.Used.CPUs-t.Guarantee.CPUs)
	}
	if t.Guarantee.GPUs > 0 {
		a.GPUs = max(0, t.Used.GPUs-t.Guarantee.GPUs)
	}
	return a
}

func (t *Team) borrows() bool {
	b := t.borrowed()
	return b.CPUs > slack || b.GPUs > slack
}

// dominantShare is the larger of an amount's parts of another, CPUs and accelerators apart:
// the one that binds.
func (a Resources) dominantShare(of Resources) (p float64) {
	if of.CPUs > 0 {
		p = a.CPUs / of.CPUs
	}
	if of.GPUs > 0 {
		p = max(p, a.GPUs/of.GPUs)
	}
	return p
}

// Input is all that a plan depends on.
type Input struct {
	Machines []Machine
	Demands  []Demand
	Teams    []Team
	Weights  Weights
}

// Assignment places a task.
type Assignment struct {
	Demand  int // index into Input.Demands
	Task    int32
	Machine int // index into Input.Machines
}

// Preemption stops victims to keep room for a demand.
type Preemption struct {
	Demand  int
	Machine int
	Victims []int // ids
}

// Reservation keeps a machine for a gang until its room has come together.
type Reservation struct{ Demand, Machine int }

// Plan is the outcome.
type Plan struct {
	Assignments  []Assignment
	Preemptions  []Preemption
	Reservations []Reservation
	// Unplaced counts, per demand, the tasks that found no machine although their
	// team has room for them.
	Unplaced []int
	// OverLimit: the team's limit stood in the way of the demand.
	OverLimit []bool
}

// Length is the vector's squared length for placing d on m.
func Length(w *Weights, m *Machine, d *Demand) float64 {
	sq := func(x float64) float64 { return x * x }
	l := sq(w.Queue*m.Scale*float64(m.Queue)) + sq(w.Jobs*m.Scale*float64(m.Jobs)) + sq(w.Price*m.Price)
	if m.Total.CPUs > 0 {
		l += sq(w.CPU * 100 * (1 - m.Free.CPUs/m.Total.CPUs))
	}
	if !slices.Contains(m.Images, d.Image) {
		l += sq(w.Image)
	}
	if d.Shape == job.Service {
		l += sq(w.SameZone) * float64(d.TasksByZone[m.Zone])
	} else if d.LastMachine != m.ID {
		l += sq(w.Sticky)
	}
	if m.Unreliable {
		l += sq(w.Unreliable)
	}
	if m.Jobs == 0 {
		l += sq(w.Empty)
	}
	return l
}

// fetchSeconds is how long the demand's image takes to come to the machine, in seconds.
func (m *Machine) fetchSeconds(d *Demand) float64 {
	if m.FetchRate <= 0 || slices.Contains(m.Images, d.Image) {
		return 0
	}
	return d.ImageGB / m.FetchRate
}

type planner struct {
	Input
	plan Plan
	// byZone lists the machines of each zone, in their order.
	byZone [][]int
	// victimsSorted marks the machines whose victims are in the order in which they are
	// stopped.
	victimsSorted []bool
	// lowestRank is the lowest rank that could be stopped.
	lowestRank job.Rank
	hasVictims bool // there is anything that could be stopped
	// lastQueue is the queue of the demand before, for one that is alike.
	lastQueue *candidateQueue
	// reservedFor are the demands for which room is kept or held on some machine.
	reservedFor map[int]bool
	// calendarBound: some machine is held by the calendar or leaves.
	calendarBound bool
}

// buildIndex prepares what the demands share.
func (p *planner) buildIndex() {
	zones := 0
	for i := range p.Machines {
		zones = max(zones, p.Machines[i].Zone+1)
	}
	for i := range p.Demands {
		zones = max(zones, len(p.Demands[i].TasksByZone))
	}
	p.byZone = make([][]int, zones)
	p.victimsSorted = make([]bool, len(p.Machines))
	p.reservedFor = map[int]bool{}
	teams := map[int]int{}
	for i := range p.Demands {
		teams[p.Demands[i].ID] = p.Demands[i].Team
	}
	for i := range p.Machines {
		if m := &p.Machines[i]; m.ReservedFor > 0 && !m.AwaitsCompletion {
			if t, waits := teams[m.ReservedFor]; waits && t >= 0 {
				p.Teams[t].Claimed = p.Teams[t].Claimed.addScaled(m.Reserved, 1)
			}
		}
		m := &p.Machines[i]
		p.reservedFor[m.ReservedFor], p.reservedFor[m.HeldFor] = true, true
		p.calendarBound = p.calendarBound || m.HeldFor != 0 || m.MaintenanceDue
		p.byZone[m.Zone] = append(p.byZone[m.Zone], i)
		for v := range m.Victims {
			if r := m.Victims[v].Rank; !p.hasVictims || r < p.lowestRank {
				p.lowestRank, p.hasVictims = r, true
			}
		}
	}
}

// borrowPenaltyS is what borrowing the whole fleet costs a team in the order of
// work of the same rank.
const borrowPenaltyS = 60.0

// Make makes a plan.
func Make(in Input) Plan {
	p := &planner{Input: in}
	p.plan.Unplaced = make([]int, len(in.Demands))
	p.plan.OverLimit = make([]bool, len(in.Demands))
	order := make([]int, len(in.Demands))
	for i := range order {
		order[i] = i
	}
	var total Resources
	for i := range in.Machines {
		total = total.addScaled(in.Machines[i].Total, 1)
	}
	inside := make([]bool, len(in.Demands))
	start := make([]float64, len(in.Demands))
	for i := range in.Demands {
		d := &in.Demands[i]
		start[i] = d.LatestStart
		if d.Team >= 0 {
			t := &in.Teams[d.Team]
			inside[i] = t.withinGuarantee(d.Need)
			// A team that borrows much yields to the others, as if its work had
			// more time: no team's burst starves another's.
			start[i] += borrowPenaltyS * t.borrowed().dominantShare(total)
		}
	}
	sort.SliceStable(order, func(a, b int) bool {
		x, y := &in.Demands[order[a]], &in.Demands[order[b]]
		if x.Overdue != y.Overdue {
			return x.Overdue
		}
		if x.Rank != y.Rank {
			return x.Rank > y.Rank
		}
		if inside[order[a]] != inside[order[b]] {
			return inside[order[a]]
		}
		if s, t := start[order[a]], start[order[b]]; s != t {
			return s < t
		}
		return x.ID < y.ID
	})
	p.buildIndex()
	for _, i := range order {
		if in.Demands[i].Shape == job.Gang {
			p.placeGang(i)
			p.lastQueue = nil // it may have reserved machines, or made room on them
		} else if in.Demands[i].FetchTooSlow && p.canPreemptAny(&in.Demands[i]) {
			p.placeWhereCached(i)
		} else {
			// What is inside a guarantee need not wait for others.
			in.Demands[i].CanDelay = in.Demands[i].CanDelay && !inside[i]
			p.placeTasks(i, in.Demands[i].CanDelay)
		}
	}
	// What is left goes to those that have waited for a machine with their image.
	for _, i := range order {
		if in.Demands[i].CanDelay && len(in.Demands[i].Pending) > 0 {
			p.placeTasks(i, false)
		}
	}
	return p.plan
}

// eligible holds the conditions that no length can outweigh.
func (p *planner) eligible(m *Machine, d *Demand) bool {
	return (d.AllowedTypes == nil || d.AllowedTypes[m.Type]) && (d.Zone < 0 || d.Zone == m.Zone) &&
		(d.Spot || !m.Spot) && p.zoneAllowed(d, m.Zone) && respectsCalendar(m, d)
}

// respectsCalendar reports whether a task that starts now leaves the machine's room to what
// the calendar has promised it to. It is an exception from the choice by length:
// without it a slot's machines would be full of work that nothing may stop, and
// maintenance would cut off what had just begun.
func respectsCalendar(m *Machine, d *Demand) bool {
	if m.HeldFor != d.ID && (d.OnlyHeldMachines || (m.HeldFor != 0 && d.EndsIn > m.HeldIn)) {
		return false
	}
	return !m.MaintenanceDue || d.EndsIn <= m.MaintenanceIn || (d.Movable && !m.Draining)
}

func (p *planner) zoneAllowed(d *Demand, zone int) bool {
	if d.Spread && d.TasksByZone[zone] >= (d.Total+1)/2 {
		return false
	}
	if d.OneZone {
		for z, n := range d.TasksByZone {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return true
}

func available(m *Machine, d *Demand) Resources {
	if m.ReservedFor != 0 && m.ReservedFor != d.ID {
		return m.Free.addScaled(m.Reserved, -1)
	}
	return m.Free
}

// eachMachine calls f for the machines of a zone, or of all zones, in their order.
func (p *planner) eachMachine(zone int, f func(i int, m *Machine)) {
	if zone >= 0 {
		for _, i := range p.byZone[zone] {
			f(i, &p.Machines[i])
		}
		return
	}
	for i := range p.Machines {
		f(i, &p.Machines[i])
	}
}

// assign debits a placement, so that a burst does not pile up on one machine.
func (p *planner) assign(d *Demand, i int) {
	m := &p.Machines[i]
	m.Free = m.Free.addScaled(d.Need, -1)
	if m.ReservedFor == d.ID {
		if d.Team >= 0 && !m.AwaitsCompletion {
			t := &p.Teams[d.Team]
			t.Claimed = t.Claimed.addScaled(m.Reserved, -1)
		}
		m.Reserved = m.Reserved.addScaled(d.Need, -1)
		if m.Reserved.CPUs < slack && m.Reserved.GPUs < slack && m.Reserved.MemGB < slack {
			m.ReservedFor, m.Reserved = 0, Resources{}
		}
	}
	m.Jobs++
	m.Queue++
	d.TasksByZone[m.Zone]++
	if d.Team >= 0 {
		t := &p.Teams[d.Team]
		t.Used = t.Used.addScaled(d.Need, 1)
	}
}

// placeWhereCached places a demand that a fetch would make late: where its image is, also by
// making room there, and only what is left anywhere.
func (p *planner) placeWhereCached(i int) {
	d := &p.Demands[i]
	p.placeTasks(i, true)
	if len(d.Pending) == 0 || p.plan.OverLimit[i] {
		return
	}
	n := len(d.Pending)
	made := min(n, p.preparedMachines(d))
	if d.MayPreempt {
		if more := p.preempt(i, -1, n-made, 0); more > 0 {
			made += more
			p.lastQueue = nil
		}
	}
	d.Pending, d.Waiting = d.Pending[:n-made], d.Waiting-made
	if made < n {
		p.placeTasks(i, false)
	}
}

// placeTasks places what fits of an array or a service; cached: only where its image is.
func (p *planner) placeTasks(i int, cached bool) {
	d := &p.Demands[i]
	zone := d.Zone
	if d.OneZone && zone < 0 {
		zone = p.roomiestZone(d)
	}
	q := p.reuseQueue(d, zone, cached)
	p.lastQueue = q
	pending := d.Pending
	for n, t := range pending {
		if d.Team >= 0 && !p.Teams[d.Team].withinLimit(d.Need) {
			p.plan.OverLimit[i] = true
			return
		}
		m := q.next(t)
		if m < 0 {
			if cached {
				return
			}
			p.plan.Unplaced[i] = p.limitedCount(d, max(d.Waiting, len(pending)-n))
			if d.MayPreempt && p.preempt(i, -1, p.plan.Unplaced[i]-p.preparedMachines(d), math.Inf(1)) > 0 {
				p.lastQueue = nil
			}
			return
		}
		p.assign(d, m)
		q.placed(m)
		p.plan.Assignments = append(p.plan.Assignments, Assignment{i, t, m})
		d.Pending, d.Waiting = pending[n+1:], d.Waiting-1
	}
}

// limitedCount cuts a number of waiting tasks to what the team's limit lets run.
func (p *planner) limitedCount(d *Demand, n int) int {
	if d.Team < 0 {
		return n
	}
	t := &p.Teams[d.Team]
	left := Resources{math.Inf(1), math.Inf(1), math.Inf(1)}
	if t.Limit.CPUs > 0 {
		left.CPUs = t.Limit.CPUs - t.Used.CPUs
	}
	if t.Limit.GPUs > 0 {
		left.GPUs = t.Limit.GPUs - t.Used.GPUs
	}
	return min(n, left.FitCount(d.Need))
}

// roomiestZone is the zone in which most tasks of the demand fit.
func (p *planner) roomiestZone(d *Demand) int {
	fit := make([]int, len(d.TasksByZone))
	for i := range p.Machines {
		m := &p.Machines[i]
		if p.eligible(m, d) {
			fit[m.Zone] += available(m, d).FitCount(d.Need)
		}
	}
	for z, n := range d.TasksByZone {
		if n > 0 {
			return z
		}
	}
	best := 0
	for z, n := range fit {
		if n > fit[best] {
			best = z
		}
	}
	return best
}
