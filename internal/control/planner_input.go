package control

import (
	"math"
	"slices"
	"sort"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/place"
	"vetchstream/internal/wire"
)

// maxPending bounds the tasks of one job that one plan looks at.
const maxPending = 600

// preemptAfter is how long work waits before it looks for other work to stop.
const preemptAfter = 300 * time.Millisecond

// planInput is the fleet and the waiting work as one plan sees them.
type planInput struct {
	*planner
	now  time.Time
	in   place.Input
	ms   []*fleet.Host // of the input's machines, in their order
	late map[*job.Job]bool
	// slots are those of the input's victims, by their ids.
	slots []*fleet.Slot
	// preempts: some work may stop other work.
	preempts bool
	// slowest is at how many GB a second images come at the least.
	slowest float64
}

// input describes the fleet and the waiting work to the planner.
func (pl *planner) input(now time.Time) (in place.Input, ms []*fleet.Host, slots []*fleet.Slot) {
	p := &planInput{planner: pl, now: now, late: map[*job.Job]bool{}, slowest: pl.slowestFetch()}
	w := pl.controller.Tuning.Weights
	p.in.Weights = place.Weights{Queue: w.Queue, Jobs: w.Jobs, CPU: w.CPU, Image: w.Image, Sticky: w.Sticky,
		SameZone: w.SameZone, Unreliable: w.Unreliable, Empty: w.Empty, Price: w.Price}
	p.addTeams()
	p.addDemands()
	if len(p.in.Demands) == 0 {
		return p.in, nil, nil
	}
	p.addMachines()
	return p.in, p.ms, p.slots
}

// slowestFetch is at how many GB a second images come at the least.
func (pl *planner) slowestFetch() float64 {
	slowest := math.Inf(1)
	for i := range pl.nameIndex.list() {
		if r := pl.nameIndex.list()[i].FetchRate; r > 0 {
			slowest = min(slowest, r)
		}
	}
	return slowest
}

// addTeams adds the teams with what their work takes.
func (p *planInput) addTeams() {
	for _, t := range p.teamQuotas.teams() {
		p.in.Teams = append(p.in.Teams, place.Team{
			Guarantee: place.Amount{CPUs: t.CPUs, GPUs: t.GPUs},
			Limit:     place.Amount{CPUs: t.CPUsMax, GPUs: t.GPUsMax}})
	}
	for _, j := range p.jobTable.all() {
		if j.TeamIdx < 0 {
			continue
		}
		n, leaving := 0.0, 0.0
		for s := range p.fleet.SlotsOf(j) {
			if s.Active() {
				n++
				if s.Stopping {
					leaving++
				}
			}
		}
		t := &p.in.Teams[j.TeamIdx]
		t.Used.CPUs, t.Used.GPUs = t.Used.CPUs+n*j.CPUs, t.Used.GPUs+n*j.GPUs
		t.Leaving.CPUs, t.Leaving.GPUs = t.Leaving.CPUs+leaving*j.CPUs, t.Leaving.GPUs+leaving*j.GPUs
	}
}

// addDemands adds the jobs that wait for machines.
func (p *planInput) addDemands() {
	blocked := p.takeover.blockedJobs(p.in.Teams)
	for _, j := range p.jobTable.all() {
		if j.Phase != "" || j.Closing != "" || p.jobTable.isUnidentified(j) || p.now.Before(j.NotBefore) || j.TeamIdx < 0 || blocked[j] || p.calendarStore.waitsForStart(j, p.now) {
			continue
		}
		if j.UnplacedCount() <= 0 || (j.Shape == job.Gang && (j.GangStopping || j.GangStarted)) {
			continue
		}
		if d, waits := p.demand(j); waits {
			p.in.Demands = append(p.in.Demands, d)
		}
	}
	sort.Slice(p.in.Demands, func(a, b int) bool { return p.in.Demands[a].ID < p.in.Demands[b].ID })
}

// demand is what a job waits for; false: nothing of it may be placed now.
func (p *planInput) demand(j *job.Job) (d place.Demand, waits bool) {
	d = place.Demand{ID: p.jobTable.index(j), Shape: j.Shape, Rank: j.Priority, Team: j.TeamIdx,
		Need: place.Amount{CPUs: j.CPUs, GPUs: j.GPUs, MemGB: j.MemGB}, TypeOK: j.TypeAllowed, Zone: j.ZoneIdx,
		OneZone: j.OneZone, Spread: j.Spread, Spot: j.Spot, Image: j.ImageIdx, ImageGB: j.ImageGB, LastMachine: j.LastMachine,
		Total: j.Tasks, Waiting: j.UnplacedCount(), InZone: p.inZone(j), LatestStart: p.jobTable.latestStart(j)}
	waited := p.now.Sub(j.WaitingSince)
	d.Waited = waited.Seconds()
	d.Overdue = p.now.Sub(j.Submitted) > overdueAfter && j.DoneCount == 0 && len(j.Live) == 0
	pending(j, &d)
	if len(d.Pending) == 0 {
		return d, false
	}
	if p.calendarStore.enabled() {
		d.EndsIn, d.Movable = p.reservationHolds.requiredSeconds(j, p.now), j.Shape == job.Service || j.CheckpointS > 0
		d.HeldOnly = j.Reservation != "" && p.reservationHolds.hasCapacity(j, len(d.Pending))
	}
	left := d.LatestStart - p.now.Sub(p.termStart).Seconds()
	late := left < lateS
	d.Hurry = j.Shape != job.Array && left > 0 && left < j.ImageGB/p.slowest
	d.Patient = j.Shape == job.Array && left > patience
	if (waited > preemptAfter || (d.Hurry && j.Shape == job.Service)) && (j.Shape != job.Array || late) && p.now.Sub(p.preempted[j]) >= preemptEvery {
		d.Preempts = true
		p.preempts = true
		p.preempted[j] = p.now
	}
	return d, true
}

// pending lists the tasks that a plan looks at.
func pending(j *job.Job, d *place.Demand) {
	limit := maxPending
	if d.Overdue {
		limit = 1 + j.Tasks/overduePart // to begin, not to pass the others with all it has
	}
	if !j.HasSucceeded && j.Backoff > 0 {
		limit = 2 // a job that has only failed so far is tried with little
	}
	if j.Shape == job.Gang {
		limit = j.Tasks
	}
	for t := range j.Unplaced {
		if j.Replicas != nil {
			// The replicas of a roll-out's batch belong into its zone: one zone a plan.
			if len(d.Pending) == 0 {
				d.Zone = j.ZoneOf(t)
			} else if d.Zone != j.ZoneOf(t) {
				continue
			}
		}
		d.Pending = append(d.Pending, t)
		if len(d.Pending) >= limit {
			return
		}
	}
}

// addMachines adds the machines that may take work.
func (p *planInput) addMachines() {
	smallest, cheapest := math.Inf(1), math.Inf(1)
	for i := range p.nameIndex.list() {
		t := &p.nameIndex.list()[i]
		smallest = min(smallest, t.CPUs)
		cheapest = min(cheapest, cpuPrice(t, false), cpuPrice(t, true))
	}
	for _, h := range p.fleet.All() {
		// One that answers direct commands and whose reports do not come any more has less
		// than half of its lease left: what it gets now would end with it.
		if !h.Usable() || h.SilentFor(p.now) > p.fleet.Lease/2 || h.Type >= len(p.nameIndex.list()) {
			continue
		}
		m := p.machine(h, smallest, cheapest)
		if p.preempts {
			p.addVictims(&m, h)
		}
		p.in.Machines = append(p.in.Machines, m)
		p.ms = append(p.ms, h)
	}
}

// machine is a machine with its free room and what it has cached.
func (p *planInput) machine(h *fleet.Host, smallest, cheapest float64) place.Machine {
	t := &p.nameIndex.list()[h.Type]
	m := place.Machine{ID: h.Index, Type: h.Type, Zone: h.Zone, Spot: h.Spot,
		Total: place.Amount{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB},
		Free:  place.Amount{CPUs: t.CPUs - h.CPUs, GPUs: t.GPUs - h.GPUs, MemGB: t.MemGB - h.MemGB},
		Queue: h.Queue, Jobs: h.Jobs, Unreliable: h.Errors > 0, Exits: p.exits(h),
		FetchRate: t.FetchRate, Scale: smallest / t.CPUs, Price: cpuPrice(t, h.Spot) / cheapest}
	for _, im := range h.Images {
		m.Images = append(m.Images, im.Index)
	}
	if h.Queue > 0 {
		for _, s := range h.Slots {
			if s.Active() && (s.Phase == "" || s.Phase == wire.Pulling) && !slices.Contains(m.Images, s.Job.ImageIdx) {
				m.Images = append(m.Images, s.Job.ImageIdx) // one fetch serves all that wait for it
			}
		}
	}
	if k, ok := p.keeps[h]; ok {
		m.KeptFor, m.Reserved = p.jobTable.index(k.job), k.reserved
		m.Kept = place.Amount{CPUs: k.job.CPUs, GPUs: k.job.GPUs, MemGB: k.job.MemGB}
	}
	p.reservationHolds.annotate(&m, h, p.now)
	p.maintenanceDrains.annotate(&m, h, p.now)
	return m
}

// addVictims adds the work on a machine that other work may stop.
func (p *planInput) addVictims(m *place.Machine, h *fleet.Host) {
	for _, s := range h.Slots {
		if !s.Active() || s.Stopping || !s.Sent || s.Job.Closing != "" || s.Job.Phase != "" {
			continue
		}
		need := place.Amount{CPUs: s.Job.CPUs, GPUs: s.Job.GPUs, MemGB: s.Job.MemGB}
		loss, whole := stopLoss(s, p.now), need
		if s.Job.Shape == job.Gang {
			n := float64(s.Job.Tasks)
			whole = place.Amount{CPUs: n * need.CPUs, GPUs: n * need.GPUs, MemGB: n * need.MemGB}
		}
		m.Victims = append(m.Victims, place.Victim{ID: len(p.slots), Rank: s.Job.Priority, Team: s.Job.TeamIdx,
			Need: need, Whole: whole, Loss: loss, Left: left(s, p.now), Late: p.isLate(s.Job)})
		p.slots = append(p.slots, s)
	}
}

// isLate reports whether a job misses its aims unless it starts very soon.
func (p *planInput) isLate(j *job.Job) bool {
	late, known := p.late[j]
	if !known {
		late = p.jobTable.latestStart(j)-p.now.Sub(p.termStart).Seconds() < lateS
		p.late[j] = late
	}
	return late
}
