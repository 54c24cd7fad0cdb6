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
	// minPrice and minCPUs are lower bounds that keep the price per CPU positive and
	// finite for machine types without a price or CPUs.
	minPrice = 1e-6
	minCPUs  = 1e-6
)

// planInput is the input of one plan, with the machines and slots that its indices refer
// to.
type planInput struct {
	*planner
	now   time.Time
	input place.Input
	// machines are the fleet's machines of input.Machines, in the same order.
	machines []*fleet.Machine
	// victimSlots are the slots of the victims in input, indexed by Victim.ID.
	victimSlots []*fleet.Slot
	// lateJobs caches the results of isLate.
	lateJobs map[*job.Job]bool
	// mayPreempt is set if any demand may preempt tasks.
	mayPreempt bool
	// slowestFetchRate is the lowest image fetch rate of all machine types, in GB per
	// second.
	slowestFetchRate float64
	// smallestCPUs is the lowest number of CPUs of any machine type, lowestCPUPrice the
	// lowest hourly price per CPU.
	smallestCPUs   float64
	lowestCPUPrice float64
}

// input makes the input of a plan. Without waiting jobs it contains no machines.
func (pl *planner) input(now time.Time) *planInput {
	p := &planInput{
		planner:          pl,
		now:              now,
		lateJobs:         map[*job.Job]bool{},
		slowestFetchRate: pl.slowestFetchRate(),
	}
	weights := &pl.controller.Tuning.Weights
	p.input.Weights = place.Weights{
		Queue:      weights.Queue,
		Jobs:       weights.Jobs,
		CPU:        weights.CPU,
		Price:      weights.Price,
		Image:      weights.Image,
		Sticky:     weights.Sticky,
		SameZone:   weights.SameZone,
		Unreliable: weights.Unreliable,
		Empty:      weights.Empty,
	}
	p.addTeams()
	p.addDemands()
	if len(p.input.Demands) > 0 {
		p.addMachines()
	}
	return p
}

// job returns the job of the demand with the given index.
func (p *planInput) job(demand int) *job.Job { return p.jobTable.byIndex(p.input.Demands[demand].ID) }

// slowestFetchRate returns the lowest known fetch rate of all machine types, in GB per
// second, or infinity if none is known.
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

// addTeams adds the teams with their quotas and usage.
func (p *planInput) addTeams() {
	for _, t := range p.teamQuotas.teams() {
		p.input.Teams = append(p.input.Teams, place.Team{
			Guarantee: place.Resources{CPUs: t.CPUs, GPUs: t.GPUs},
			Limit:     place.Resources{CPUs: t.CPUsMax, GPUs: t.GPUsMax},
		})
	}
	for _, j := range p.jobTable.all() {
		if j.TeamIdx >= 0 {
			p.addUsage(&p.input.Teams[j.TeamIdx], j)
		}
	}
}

// addUsage adds the resources of a job's active tasks to its team's usage. Memory has no
// quota.
func (p *planInput) addUsage(team *place.Team, j *job.Job) {
	tasks, stopping := 0.0, 0.0
	for slot := range p.fleet.SlotsOf(j) {
		if !slot.Active() {
			continue
		}
		tasks++
		if slot.Stopping {
			stopping++
		}
	}
	team.Used.CPUs += tasks * j.CPUs
	team.Used.GPUs += tasks * j.GPUs
	team.Stopping.CPUs += stopping * j.CPUs
	team.Stopping.GPUs += stopping * j.GPUs
}

// addMachines adds the machines that may take tasks, and their victims if any demand may
// preempt.
func (p *planInput) addMachines() {
	types := p.nameIndex.machineTypes()
	p.smallestCPUs, p.lowestCPUPrice = smallestCPUsAndPrice(types)
	for _, machine := range p.fleet.All() {
		// A machine with less than half of its lease left may answer direct commands but
		// no longer send heartbeats. A task placed on it now would be lost with the
		// lease.
		if !machine.Usable() || machine.SinceLastReport(p.now) > p.fleet.Lease/2 || machine.Type >= len(types) {
			continue
		}
		candidate := p.candidate(machine, &types[machine.Type])
		if p.mayPreempt {
			p.addVictims(&candidate, machine)
		}
		p.input.Machines = append(p.input.Machines, candidate)
		p.machines = append(p.machines, machine)
	}
}

// smallestCPUsAndPrice returns the lowest number of CPUs of any machine type and the
// lowest hourly price per CPU.
func smallestCPUsAndPrice(types []wire.MachineType) (cpus, cpuPrice float64) {
	cpus, cpuPrice = math.Inf(1), math.Inf(1)
	for i := range types {
		t := &types[i]
		cpus = min(cpus, t.CPUs)
		cpuPrice = min(cpuPrice, pricePerCPU(t, false), pricePerCPU(t, true))
	}
	return cpus, cpuPrice
}

// pricePerCPU returns the hourly price per CPU of a machine type. It is always positive,
// because it serves as a divisor.
func pricePerCPU(t *wire.MachineType, spot bool) float64 {
	return max(autoscale.HourlyPrice(t, spot), minPrice) / max(t.CPUs, minCPUs)
}

// candidate describes a machine with its free capacity, images and reservations.
func (p *planInput) candidate(machine *fleet.Machine, machineType *wire.MachineType) place.Machine {
	candidate := place.Machine{
		ID:             machine.Index,
		Type:           machine.Type,
		Zone:           machine.Zone,
		Spot:           machine.Spot,
		Total:          autoscale.MachineResources(machineType),
		Free:           freeCapacity(machineType, machine),
		WaitingTasks:   machine.WaitingTasks,
		Tasks:          machine.ActiveTasks,
		Scale:          p.smallestCPUs / machineType.CPUs,
		Price:          pricePerCPU(machineType, machine.Spot) / p.lowestCPUPrice,
		Images:         imagesOn(machine),
		FetchGBPerS:    machineType.FetchRate,
		Unreliable:     machine.TaskFailures > 0,
		UnclearedExits: p.unclearedExits(machine),
	}
	if r, ok := p.reservations[machine]; ok {
		candidate.ReservedFor = p.jobTable.index(r.job)
		candidate.Reserved = needOf(r.job)
		candidate.AwaitsCompletion = r.awaitsCompletion
	}
	p.reservationHolds.annotate(&candidate, machine, p.now)
	p.maintenanceDrains.annotate(&candidate, machine, p.now)
	return candidate
}

// imagesOn returns the images that a machine has cached or is fetching. One fetch serves
// all tasks that wait for the image.
func imagesOn(machine *fleet.Machine) []int {
	var images []int
	for _, image := range machine.Images {
		images = append(images, image.Index)
	}
	if machine.WaitingTasks == 0 {
		return images
	}
	for _, slot := range machine.Slots {
		fetches := slot.Active() && (slot.Phase == "" || slot.Phase == wire.TaskFetching)
		if fetches && !slices.Contains(images, slot.Job.ImageIdx) {
			images = append(images, slot.Job.ImageIdx)
		}
	}
	return images
}

// unclearedExits returns the tasks that may be placed again although the worker still
// reports the exit of an earlier attempt.
func (pl *planner) unclearedExits(machine *fleet.Machine) map[place.TaskKey]bool {
	if machine.ReportedExits == 0 {
		return nil
	}
	var exits map[place.TaskKey]bool
	for _, slot := range machine.Slots {
		if slot.Active() || (slot.Job.IsDone(slot.Task) && slot.Job.Shape != job.Service) {
			continue
		}
		if jobIndex := pl.jobTable.index(slot.Job); jobIndex != 0 {
			if exits == nil {
				exits = map[place.TaskKey]bool{}
			}
			exits[place.TaskKey{Demand: jobIndex, Task: slot.Task}] = true
		}
	}
	return exits
}
