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

// Amount is what a task takes, or a machine has.
type Amount struct{ CPUs, GPUs, MemGB float64 }

// slack absorbs the rounding of sums of decimal amounts.
const slack = 1e-6

// Fits reports whether a has room for b.
func (a Amount) Fits(b Amount) bool {
	return b.CPUs <= a.CPUs+slack && b.GPUs <= a.GPUs+slack && b.MemGB <= a.MemGB+slack
}

func (a Amount) plus(b Amount, k float64) Amount {
	return Amount{a.CPUs + k*b.CPUs, a.GPUs + k*b.GPUs, a.MemGB + k*b.MemGB}
}

// Times is how many of b fit into a.
func (a Amount) Times(b Amount) int {
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
	Rank job.Priority
	Team int
	Need Amount
	// Whole is what leaves with it: all of its gang, or itself alone.
	Whole Amount
	// Loss is the work that stopping it would throw away, in CPU seconds, and
	// Left the time in which it is expected to end by itself, in seconds.
	Loss, Left float64
	// Late: its job has to start now to be in time, so that it looks for work to stop
	// itself.
	Late bool
}

// Machine is a machine that may get launches.
type Machine struct {
	ID         int
	Type, Zone int
	Spot       bool
	Total      Amount
	Free       Amount
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
	KeptFor  int
	Kept     Amount
	Reserved bool
	// HeldFor is the demand for which the whole machine is held by the calendar (0: not
	// held, Nobody: for one that is not there yet), and HeldIn in how many seconds it is
	// needed; until then others may use it that are sure to be gone.
	HeldFor int
	HeldIn  float64
	// Leaves: its maintenance begins in LeavesIn seconds. Draining: work that could be
	// moved is kept off already.
	Leaves, Draining bool
	LeavesIn         float64
	Victims          []Victim
	// Exits are tasks whose exits the worker still reports: it would refuse
	// another attempt of them.
	Exits map[Task]bool
}

// Nobody is a demand that never is there.
const Nobody = -1

// Task names a task of a demand.
type Task struct {
	Job  int
	Task int32
}

// Demand is a job with tasks that need a place.
type Demand struct {
	ID          int // above 0
	Shape       job.Shape
	Rank        job.Priority
	Team        int
	Need        Amount
	TypeOK      []bool // nil: any
	Zone        int    // -1: any
	OneZone     bool
	Spread      bool
	Spot        bool
	Image       int
	ImageGB     float64
	LastMachine int
	Total       int
	Pending     []int32
	// Waiting is the number of tasks that wait, of which Pending may hold a part.
	Waiting int
	// InZone counts, per zone, what may be running of the job.
	InZone []int
	// LatestStart orders demands of one rank: when the job has to start to be
	// in time, in seconds.
	LatestStart float64
	// Preempts: the demand may stop others' work now.
	Preempts bool
	// Waited is how long it has waited, in seconds. Overdue: nothing of it has begun for
	// so long that it goes first, whatever its rank.
	Waited  float64
	Overdue bool
	// EndsIn is in how many seconds a task that starts now is sure to have ended; it
	// matters where machines are held or leave. Movable: it can be stopped and go on
	// elsewhere.
	EndsIn  float64
	Movable bool
	// Hurry: a fetch would make it late, so that room is made where its image is rather
	// than taken where it is not.
	Hurry bool
	// Patient: there is time to leave a machine without its image to a demand behind
	// it that has its own there.
	Patient bool
	// HeldOnly: the machines that are held for the demand are enough for it.
	HeldOnly bool
}

// Team is a team's guarantee, limit and use; a limit of 0 is none. Leaving is the
// part of its use that is being stopped already, Claimed the room that is being made for
// it and that it does not use yet.
type Team struct {
	Guarantee, Limit, Used, Leaving, Claimed Amount
}

// spares reports whether the team keeps its guarantee without a. What it has
// beyond may be stopped for another's guarantee, and no more: a team that fell
// inside its own would claim it back, and the two would stop each other's work
// for ever.
func (t *Team) spares(a Amount) bool {
	left := t.Used.plus(t.Leaving, -1).plus(a, -1)
	return left.CPUs >= t.Guarantee.CPUs-slack && left.GPUs >= t.Guarantee.GPUs-slack
}

// within reports whether need is still inside the team's guarantee. A resource of
// which nothing is guaranteed says nothing about it, but what takes none of the
// others is inside no guarantee.
func (t *Team) within(need Amount) bool {
	u, inside := t.Used.plus(need, 1), false
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

func (t *Team) room(need Amount) bool {
	u := t.Used.plus(need, 1)
	return (t.Limit.CPUs == 0 || u.CPUs <= t.Limit.CPUs+slack) && (t.Limit.GPUs == 0 || u.GPUs <= t.Limit.GPUs+slack)
}

// borrowed is what the team uses beyond its guarantee. A team that is guaranteed
// accelerators alone borrows none of the CPUs that come with them; one without any
// guarantee borrows all that it uses.
func (t *Team) borrowed() (a Amount) {
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

// part is the larger of an amount's parts of another, CPUs and accelerators apart:
// the one that binds.
func (a Amount) part(of Amount) (p float64) {
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
	Assign  []Assignment
	Preempt []Preemption
	Reserve []Reservation
	// Short counts, per demand, the tasks that found no machine although their
	// team has room for them.
	Short []int
	// Limited: the team's limit stood in the way of the demand.
	Limited []bool
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
		l += sq(w.SameZone) * float64(d.InZone[m.Zone])
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

// fetch is how long the demand's image takes to come to the machine, in seconds.
func (m *Machine) fetch(d *Demand) float64 {
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
	// sorted marks the machines whose victims are in the order in which they are
	// stopped.
	sorted []bool
	// lowest is the lowest rank that could be stopped.
	lowest job.Priority
	stops  bool // there is anything that could be stopped
	// last is the queue of the demand before, for one that is alike.
	last *queue
	// keptFor are the demands for which room is kept or held on some machine.
	keptFor map[int]bool
	// promised: some machine is held by the calendar or leaves.
	promised bool
}

// index prepares what the demands share.
func (p *planner) index() {
	zones := 0
	for i := range p.Machines {
		zones = max(zones, p.Machines[i].Zone+1)
	}
	for i := range p.Demands {
		zones = max(zones, len(p.Demands[i].InZone))
	}
	p.byZone = make([][]int, zones)
	p.sorted = make([]bool, len(p.Machines))
	p.keptFor = map[int]bool{}
	teams := map[int]int{}
	for i := range p.Demands {
		teams[p.Demands[i].ID] = p.Demands[i].Team
	}
	for i := range p.Machines {
		if m := &p.Machines[i]; m.KeptFor > 0 && !m.Reserved {
			if t, waits := teams[m.KeptFor]; waits && t >= 0 {
				p.Teams[t].Claimed = p.Teams[t].Claimed.plus(m.Kept, 1)
			}
		}
		m := &p.Machines[i]
		p.keptFor[m.KeptFor], p.keptFor[m.HeldFor] = true, true
		p.promised = p.promised || m.HeldFor != 0 || m.Leaves
		p.byZone[m.Zone] = append(p.byZone[m.Zone], i)
		for v := range m.Victims {
			if r := m.Victims[v].Rank; !p.stops || r < p.lowest {
				p.lowest, p.stops = r, true
			}
		}
	}
}

// fairSeconds is what borrowing the whole fleet costs a team in the order of
// work of the same rank.
const fairSeconds = 60.0

// Make makes a plan.
func Make(in Input) Plan {
	p := &planner{Input: in}
	p.plan.Short = make([]int, len(in.Demands))
	p.plan.Limited = make([]bool, len(in.Demands))
	order := make([]int, len(in.Demands))
	for i := range order {
		order[i] = i
	}
	var total Amount
	for i := range in.Machines {
		total = total.plus(in.Machines[i].Total, 1)
	}
	inside := make([]bool, len(in.Demands))
	start := make([]float64, len(in.Demands))
	for i := range in.Demands {
		d := &in.Demands[i]
		start[i] = d.LatestStart
		if d.Team >= 0 {
			t := &in.Teams[d.Team]
			inside[i] = t.within(d.Need)
			// A team that borrows much yields to the others, as if its work had
			// more time: no team's burst starves another's.
			start[i] += fairSeconds * t.borrowed().part(total)
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
	p.index()
	for _, i := range order {
		if in.Demands[i].Shape == job.Gang {
			p.gang(i)
			p.last = nil // it may have reserved machines, or made room on them
		} else if in.Demands[i].Hurry && p.mayStop(&in.Demands[i]) {
			p.hurried(i)
		} else {
			// What is inside a guarantee need not wait for others.
			in.Demands[i].Patient = in.Demands[i].Patient && !inside[i]
			p.tasks(i, in.Demands[i].Patient)
		}
	}
	// What is left goes to those that have waited for a machine with their image.
	for _, i := range order {
		if in.Demands[i].Patient && len(in.Demands[i].Pending) > 0 {
			p.tasks(i, false)
		}
	}
	return p.plan
}

// allowed holds the conditions that no length can outweigh.
func (p *planner) allowed(m *Machine, d *Demand) bool {
	return (d.TypeOK == nil || d.TypeOK[m.Type]) && (d.Zone < 0 || d.Zone == m.Zone) &&
		(d.Spot || !m.Spot) && p.zoneOK(d, m.Zone) && timely(m, d)
}

// timely reports whether a task that starts now leaves the machine's room to what
// the calendar has promised it to. It is an exception from the choice by length:
// without it a slot's machines would be full of work that nothing may stop, and
// maintenance would cut off what had just begun.
func timely(m *Machine, d *Demand) bool {
	if m.HeldFor != d.ID && (d.HeldOnly || (m.HeldFor != 0 && d.EndsIn > m.HeldIn)) {
		return false
	}
	return !m.Leaves || d.EndsIn <= m.LeavesIn || (d.Movable && !m.Draining)
}

func (p *planner) zoneOK(d *Demand, zone int) bool {
	if d.Spread && d.InZone[zone] >= (d.Total+1)/2 {
		return false
	}
	if d.OneZone {
		for z, n := range d.InZone {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return true
}

func free(m *Machine, d *Demand) Amount {
	if m.KeptFor != 0 && m.KeptFor != d.ID {
		return m.Free.plus(m.Kept, -1)
	}
	return m.Free
}

// each calls f for the machines of a zone, or of all zones, in their order.
func (p *planner) each(zone int, f func(i int, m *Machine)) {
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

// take debits a placement, so that a burst does not pile up on one machine.
func (p *planner) take(d *Demand, i int) {
	m := &p.Machines[i]
	m.Free = m.Free.plus(d.Need, -1)
	if m.KeptFor == d.ID {
		if d.Team >= 0 && !m.Reserved {
			t := &p.Teams[d.Team]
			t.Claimed = t.Claimed.plus(m.Kept, -1)
		}
		m.Kept = m.Kept.plus(d.Need, -1)
		if m.Kept.CPUs < slack && m.Kept.GPUs < slack && m.Kept.MemGB < slack {
			m.KeptFor, m.Kept = 0, Amount{}
		}
	}
	m.Jobs++
	m.Queue++
	d.InZone[m.Zone]++
	if d.Team >= 0 {
		t := &p.Teams[d.Team]
		t.Used = t.Used.plus(d.Need, 1)
	}
}

// hurried places a demand that a fetch would make late: where its image is, also by
// making room there, and only what is left anywhere.
func (p *planner) hurried(i int) {
	d := &p.Demands[i]
	p.tasks(i, true)
	if len(d.Pending) == 0 || p.plan.Limited[i] {
		return
	}
	n := len(d.Pending)
	made := min(n, p.making(d))
	if d.Preempts {
		if more := p.preempt(i, -1, n-made, 0); more > 0 {
			made += more
			p.last = nil
		}
	}
	d.Pending, d.Waiting = d.Pending[:n-made], d.Waiting-made
	if made < n {
		p.tasks(i, false)
	}
}

// tasks places what fits of an array or a service; cached: only where its image is.
func (p *planner) tasks(i int, cached bool) {
	d := &p.Demands[i]
	zone := d.Zone
	if d.OneZone && zone < 0 {
		zone = p.roomiest(d)
	}
	q := p.queueAgain(d, zone, cached)
	p.last = q
	pending := d.Pending
	for n, t := range pending {
		if d.Team >= 0 && !p.Teams[d.Team].room(d.Need) {
			p.plan.Limited[i] = true
			return
		}
		m := q.next(t)
		if m < 0 {
			if cached {
				return
			}
			p.plan.Short[i] = p.within(d, max(d.Waiting, len(pending)-n))
			if d.Preempts && p.preempt(i, -1, p.plan.Short[i]-p.making(d), math.Inf(1)) > 0 {
				p.last = nil
			}
			return
		}
		p.take(d, m)
		q.taken(m)
		p.plan.Assign = append(p.plan.Assign, Assignment{i, t, m})
		d.Pending, d.Waiting = pending[n+1:], d.Waiting-1
	}
}

// within cuts a number of waiting tasks to what the team's limit lets run.
func (p *planner) within(d *Demand, n int) int {
	if d.Team < 0 {
		return n
	}
	t := &p.Teams[d.Team]
	left := Amount{math.Inf(1), math.Inf(1), math.Inf(1)}
	if t.Limit.CPUs > 0 {
		left.CPUs = t.Limit.CPUs - t.Used.CPUs
	}
	if t.Limit.GPUs > 0 {
		left.GPUs = t.Limit.GPUs - t.Used.GPUs
	}
	return min(n, left.Times(d.Need))
}

// roomiest is the zone in which most tasks of the demand fit.
func (p *planner) roomiest(d *Demand) int {
	fit := make([]int, len(d.InZone))
	for i := range p.Machines {
		m := &p.Machines[i]
		if p.allowed(m, d) {
			fit[m.Zone] += free(m, d).Times(d.Need)
		}
	}
	for z, n := range d.InZone {
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
