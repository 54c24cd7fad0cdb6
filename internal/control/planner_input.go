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

// preemptDelay is how long work waits before it looks for other work to stop.
const preemptDelay = 300 * time.Millisecond

// planInput is the fleet and the waiting work as one plan sees them.
type planInput struct {
	*planner
	now      time.Time
	in       place.Input
	hosts    []*fleet.Host // of the input's machines, in their order
	lateJobs map[*job.Job]bool
	// slots are those of the input's victims, by their ids.
	slots []*fleet.Slot
	// mayPreempt: some work may stop other work.
	mayPreempt bool
	// slowestFetchRate is at how many GB a second images come at the least.
	slowestFetchRate float64
}

// input describes the fleet and the waiting work to the planner.
func (pl *planner) input(now time.Time) (in place.Input, ms []*fleet.Host, slots []*fleet.Slot) {
	p := &planInput{planner: pl, now: now, lateJobs: map[*job.Job]bool{}, slowestFetchRate: pl.slowestFetchRate()}
	w := pl.c.Tuning.Weights
	p.in.Weights = place.Weights{Queue: w.Queue, Jobs: w.Jobs, CPU: w.CPU, Image: w.Image, Sticky: w.Sticky,
		SameZone: w.SameZone, Unreliable: w.Unreliable, Empty: w.Empty, Price: w.Price}
	p.addTeams()
	p.addDemands()
	if len(p.in.Demands) == 0 {
		return p.in, nil, nil
	}
	p.addMachines()
	return p.in, p.hosts, p.slots
}

// slowestFetchRate is at how many GB a second images come at the least.
func (pl *planner) slowestFetchRate() float64 {
	slowest := math.Inf(1)
	for i := range pl.nameIndex.machineTypes() {
		if r := pl.nameIndex.machineTypes()[i].FetchRate; r > 0 {
			slowest = min(slowest, r)
		}
	}
	return slowest
}

// addTeams adds the teams with what their work takes.
func (p *planInput) addTeams() {
	for _, t := range p.teamQuotas.all() {
		p.in.Teams = append(p.in.Teams, place.Team{
			Guarantee: place.Resources{CPUs: t.CPUs, GPUs: t.GPUs},
			Limit:     place.Resources{CPUs: t.CPUsMax, GPUs: t.GPUsMax}})
	}
	for _, j := range p.jobTable.all() {
		if j.TeamIdx < 0 {
			continue
		}
		n, leaving := 0.0, 0.0
		for s := range p.fleet.On(j) {
			if s.On() {
				n++
				if s.Stopping {
					leaving++
				}
			}
		}
		t := &p.in.Teams[j.TeamIdx]
		t.Used.CPUs, t.Used.GPUs = t.Used.CPUs+n*j.CPUs, t.Used.GPUs+n*j.GPUs
		t.Stopping.CPUs, t.Stopping.GPUs = t.Stopping.CPUs+leaving*j.CPUs, t.Stopping.GPUs+leaving*j.GPUs
	}
}

// addDemands adds the jobs that wait for machines.
func (p *planInput) addDemands() {
	blocked := p.takeover.blocked(p.in.Teams)
	for _, j := range p.jobTable.all() {
		if j.Phase != "" || j.Closing != "" || p.jobTable.stranger(j) || p.now.Before(j.NotBefore) || j.TeamIdx < 0 || blocked[j] || p.calendarStore.waits(j, p.now) {
			continue
		}
		if j.Waiting() <= 0 || (j.Shape == job.Gang && (j.GangBroken || j.GangRan)) {
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
	d = place.Demand{ID: p.jobTable.index(j), Shape: j.Shape, Rank: j.Rank, Team: j.TeamIdx,
		Need: place.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemGB: j.MemGB}, AllowedTypes: j.TypeOK, Zone: j.ZoneIdx,
		OneZone: j.OneZone, Spread: j.Spread, Spot: j.Spot, Image: j.ImageIdx, ImageGB: j.ImageGB, LastMachine: j.LastHost,
		Total: j.Tasks, Waiting: j.Waiting(), TasksByZone: p.tasksByZone(j), LatestStart: p.jobTable.latestStart(j)}
	waited := p.now.Sub(j.WaitFrom)
	d.Waited = waited.Seconds()
	d.Overdue = p.now.Sub(j.Submitted) > overdueAfter && j.DoneCount == 0 && len(j.Live) == 0
	listPending(j, &d)
	if len(d.Pending) == 0 {
		return d, false
	}
	if p.calendarStore.on() {
		d.EndsIn, d.Movable = p.reservationHolds.needs(j, p.now), j.Shape == job.Service || j.Checkpoint > 0
		d.OnlyHeldMachines = j.Booking != "" && p.reservationHolds.enough(j, len(d.Pending))
	}
	left := d.LatestStart - p.now.Sub(p.since).Seconds()
	late := left < lateMarginS
	d.FetchTooSlow = j.Shape != job.Array && left > 0 && left < j.ImageGB/p.slowestFetchRate
	d.CanDelay = j.Shape == job.Array && left > delayMarginS
	if (waited > preemptDelay || (d.FetchTooSlow && j.Shape == job.Service)) && (j.Shape != job.Array || late) && p.now.Sub(p.lastPreemptAt[j]) >= preemptInterval {
		d.MayPreempt = true
		p.mayPreempt = true
		p.lastPreemptAt[j] = p.now
	}
	return d, true
}

// listPending lists the tasks that a plan looks at.
func listPending(j *job.Job, d *place.Demand) {
	limit := maxPending
	if d.Overdue {
		limit = 1 + j.Tasks/overdueShare // to begin, not to pass the others with all it has
	}
	if !j.Worked && j.Backoff > 0 {
		limit = 2 // a job that has only failed so far is tried with little
	}
	if j.Shape == job.Gang {
		limit = j.Tasks
	}
	for t := range j.Needs {
		if j.Quota != nil {
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
	for i := range p.nameIndex.machineTypes() {
		t := &p.nameIndex.machineTypes()[i]
		smallest = min(smallest, t.CPUs)
		cheapest = min(cheapest, cpuPrice(t, false), cpuPrice(t, true))
	}
	for _, h := range p.fleet.All() {
		// One that answers direct commands and whose reports do not come any more has less
		// than half of its lease left: what it gets now would end with it.
		if !h.Usable() || h.Silent(p.now) > p.fleet.Lease/2 || h.Type >= len(p.nameIndex.machineTypes()) {
			continue
		}
		m := p.machine(h, smallest, cheapest)
		if p.mayPreempt {
			p.addVictims(&m, h)
		}
		p.in.Machines = append(p.in.Machines, m)
		p.hosts = append(p.hosts, h)
	}
}

// machine is a machine with its free room and what it has cached.
func (p *planInput) machine(h *fleet.Host, smallest, cheapest float64) place.Machine {
	t := &p.nameIndex.machineTypes()[h.Type]
	m := place.Machine{ID: h.Idx, Type: h.Type, Zone: h.Zone, Spot: h.Spot,
		Total: place.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB},
		Free:  place.Resources{CPUs: t.CPUs - h.CPUs, GPUs: t.GPUs - h.GPUs, MemGB: t.MemGB - h.MemGB},
		Queue: h.Queue, Jobs: h.Jobs, Unreliable: h.Errors > 0, UnclearedExits: p.unclearedExits(h),
		FetchRate: t.FetchRate, Scale: smallest / t.CPUs, Price: cpuPrice(t, h.Spot) / cheapest}
	for _, im := range h.Images {
		m.Images = append(m.Images, im.Idx)
	}
	if h.Queue > 0 {
		for _, s := range h.Slots {
			if s.On() && (s.Phase == "" || s.Phase == wire.Pulling) && !slices.Contains(m.Images, s.Job.ImageIdx) {
				m.Images = append(m.Images, s.Job.ImageIdx) // one fetch serves all that wait for it
			}
		}
	}
	if k, ok := p.reservations[h]; ok {
		m.ReservedFor, m.AwaitsCompletion = p.jobTable.index(k.job), k.awaitsCompletion
		m.Reserved = place.Resources{CPUs: k.job.CPUs, GPUs: k.job.GPUs, MemGB: k.job.MemGB}
	}
	p.reservationHolds.mark(&m, h, p.now)
	p.maintenanceDrains.mark(&m, h, p.now)
	return m
}

// addVictims adds the work on a machine that other work may stop.
func (p *planInput) addVictims(m *place.Machine, h *fleet.Host) {
	for _, s := range h.Slots {
		if !s.On() || s.Stopping || !s.Sent || s.Job.Closing != "" || s.Job.Phase != "" {
			continue
		}
		need := place.Resources{CPUs: s.Job.CPUs, GPUs: s.Job.GPUs, MemGB: s.Job.MemGB}
		loss, whole := preemptionLoss(s, p.now), need
		if s.Job.Shape == job.Gang {
			n := float64(s.Job.Tasks)
			whole = place.Resources{CPUs: n * need.CPUs, GPUs: n * need.GPUs, MemGB: n * need.MemGB}
		}
		m.Victims = append(m.Victims, place.Victim{ID: len(p.slots), Rank: s.Job.Rank, Team: s.Job.TeamIdx,
			Need: need, Released: whole, Loss: loss, Remaining: remainingSeconds(s, p.now), Late: p.isLate(s.Job)})
		p.slots = append(p.slots, s)
	}
}

// isLate reports whether a job misses its aims unless it starts very soon.
func (p *planInput) isLate(j *job.Job) bool {
	late, known := p.lateJobs[j]
	if !known {
		late = p.jobTable.latestStart(j)-p.now.Sub(p.since).Seconds() < lateMarginS
		p.lateJobs[j] = late
	}
	return late
}
