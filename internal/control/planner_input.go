package control

import (
	"math"
	"slices"
	"time"

	"vetchstream/internal/autoscale"
	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/place"
	"vetchstream/internal/wire"
)

const (
	// minPrice and minCPUs make a price per CPU comparable also where a type has none.
	minPrice = 1e-6
	minCPUs  = 1e-6
)

// planInput is the fleet and the waiting jobs as one plan sees them.
type planInput struct {
	*planner
	now   time.Time
	input place.Input
	// hosts are those of input.Machines, in the same order.
	hosts []*fleet.Machine
	// slots are those of the victims in input, by Victim.ID.
	slots []*fleet.Slot
	// lateJobs remembers the answers of isLate.
	lateJobs map[*job.Job]bool
	// mayPreempt: some demand may preempt tasks.
	mayPreempt bool
	// slowestFetchRate is the lowest fetch rate of all machine types, in GB per second.
	slowestFetchRate float64
	// smallestCPUs is the number of CPUs of the smallest machine type, lowestCPUPrice the lowest
	// hourly price of a CPU.
	smallestCPUs   float64
	lowestCPUPrice float64
}

// input describes the fleet and the waiting jobs. Without waiting jobs the machines are left
// out.
func (pl *planner) input(now time.Time) *planInput {
	p := &planInput{
		planner:          pl,
		now:              now,
		lateJobs:         map[*job.Job]bool{},
		slowestFetchRate: pl.slowestFetchRate(),
	}
	w := &pl.controller.Tuning.Weights
	p.input.Weights = place.Weights{
		Queue:      w.Queue,
		Jobs:       w.Jobs,
		CPU:        w.CPU,
		Price:      w.Price,
		Image:      w.Image,
		Sticky:     w.Sticky,
		SameZone:   w.SameZone,
		Unreliable: w.Unreliable,
		Empty:      w.Empty,
	}
	p.addTeams()
	p.addDemands()
	if len(p.input.Demands) > 0 {
		p.addMachines()
	}
	return p
}

// job returns the job of a demand, given its index.
func (p *planInput) job(demand int) *job.Job { return p.jobTable.byIndex(p.input.Demands[demand].ID) }

// slowestFetchRate returns the lowest known fetch rate of all machine types, in GB per
// second; infinity if none is known.
func (pl *planner) slowestFetchRate() float64 {
	slowest := math.Inf(1)
	types := pl.nameIndex.machineTypes()
	for i := range types {
		if rate := types[i].FetchRate; rate > 0 {
			slowest = min(slowest, rate)
		}
	}
	return slowest
}

// addTeams adds the teams with what their tasks use.
func (p *planInput) addTeams() {
	for _, t := range p.teamQuotas.teams() {
		p.input.Teams = append(p.input.Teams, place.Team{
			Guarantee: place.Resources{CPUs: t.CPUs, GPUs: t.GPUs},
			Limit:     place.Resources{CPUs: t.CPUsMax, GPUs: t.GPUsMax},
		})
	}
	for _, j := range p.jobTable.all() {
		if j.TeamIdx >= 0 {
			p.addUse(&p.input.Teams[j.TeamIdx], j)
		}
	}
}

// addUse adds what a job's tasks use to its team. Memory has no quota.
func (p *planInput) addUse(t *place.Team, j *job.Job) {
	tasks, stopping := 0.0, 0.0
	for s := range p.fleet.SlotsOf(j) {
		if !s.Active() {
			continue
		}
		tasks++
		if s.Stopping {
			stopping++
		}
	}
	t.Used.CPUs += tasks * j.CPUs
	t.Used.GPUs += tasks * j.GPUs
	t.Stopping.CPUs += stopping * j.CPUs
	t.Stopping.GPUs += stopping * j.GPUs
}

// addMachines adds the machines that may take tasks, with their victims if some demand may
// preempt.
func (p *planInput) addMachines() {
	types := p.nameIndex.machineTypes()
	p.smallestCPUs, p.lowestCPUPrice = smallestAndCheapest(types)
	for _, h := range p.fleet.All() {
		// A machine that answers direct commands and sends no heartbeats any more has less than
		// half of its lease left. What it got now would end with it.
		if !h.Usable() || h.SinceLastReport(p.now) > p.fleet.Lease/2 || h.Type >= len(types) {
			continue
		}
		m := p.machine(h, &types[h.Type])
		if p.mayPreempt {
			p.addVictims(&m, h)
		}
		p.input.Machines = append(p.input.Machines, m)
		p.hosts = append(p.hosts, h)
	}
}

// smallestAndCheapest returns the number of CPUs of the smallest machine type and the lowest
// hourly price of a CPU.
func smallestAndCheapest(types []wire.MachineType) (cpus, cpuPrice float64) {
	cpus, cpuPrice = math.Inf(1), math.Inf(1)
	for i := range types {
		t := &types[i]
		cpus = min(cpus, t.CPUs)
		cpuPrice = min(cpuPrice, pricePerCPU(t, false), pricePerCPU(t, true))
	}
	return cpus, cpuPrice
}

// pricePerCPU returns the hourly price of a CPU of a machine type. It is never 0, so that it
// can be divided by.
func pricePerCPU(t *wire.MachineType, spot bool) float64 {
	return max(autoscale.HourlyPrice(t, spot), minPrice) / max(t.CPUs, minCPUs)
}

// machine describes a machine with what is free, cached, reserved and held on it.
func (p *planInput) machine(h *fleet.Machine, t *wire.MachineType) place.Machine {
	m := place.Machine{
		ID:             h.Index,
		Type:           h.Type,
		Zone:           h.Zone,
		Spot:           h.Spot,
		Total:          autoscale.MachineResources(t),
		Free:           freeCapacity(t, h),
		WaitingTasks:   h.WaitingTasks,
		Tasks:          h.ActiveTasks,
		Scale:          p.smallestCPUs / t.CPUs,
		Price:          pricePerCPU(t, h.Spot) / p.lowestCPUPrice,
		Images:         imagesOn(h),
		FetchGBPerS:    t.FetchRate,
		Unreliable:     h.TaskFailures > 0,
		UnclearedExits: p.unclearedExits(h),
	}
	if r, ok := p.reservations[h]; ok {
		m.ReservedFor = p.jobTable.index(r.job)
		m.Reserved = taskRequirements(r.job)
		m.AwaitsCompletion = r.awaitsCompletion
	}
	p.reservationHolds.annotate(&m, h, p.now)
	p.maintenanceDrains.annotate(&m, h, p.now)
	return m
}

// imagesOn returns the images that a machine has cached, and those that it fetches: one
// fetch serves all tasks that wait for it.
func imagesOn(h *fleet.Machine) []int {
	var images []int
	for _, image := range h.Images {
		images = append(images, image.Index)
	}
	if h.WaitingTasks == 0 {
		return images
	}
	for _, s := range h.Slots {
		fetches := s.Active() && (s.Phase == "" || s.Phase == wire.TaskFetching)
		if fetches && !slices.Contains(images, s.Job.ImageIdx) {
			images = append(images, s.Job.ImageIdx)
		}
	}
	return images
}

// unclearedExits returns the tasks whose exits the worker still reports and that may be
// placed again.
func (pl *planner) unclearedExits(h *fleet.Machine) map[place.TaskKey]bool {
	if h.ReportedExits == 0 {
		return nil
	}
	var exits map[place.TaskKey]bool
	for _, s := range h.Slots {
		if s.Active() || (s.Job.IsDone(s.Task) && s.Job.Shape != job.Service) {
			continue
		}
		if id := pl.jobTable.index(s.Job); id != 0 {
			if exits == nil {
				exits = map[place.TaskKey]bool{}
			}
			exits[place.TaskKey{Demand: id, Task: s.Task}] = true
		}
	}
	return exits
}
