package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"vetchstream/internal/autoscale"
	"vetchstream/internal/calendar"
	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/metrics"
	"vetchstream/internal/place"
	"vetchstream/internal/wire"
)

// reservationHolds provides the capacity of reservations before they start. It holds
// machines that will be free in time and provisions the missing ones early enough for the
// boot times measured in this term. Holds are derived from the calendar and the observed
// state of the machines, so they are not stored; the next leader computes them again.
type reservationHolds struct {
	*core
	nameIndex         *nameIndex
	jobTable          *jobTable
	calendarStore     *calendarStore
	maintenanceDrains *maintenanceDrains
	machinePool       *machinePool
	planner           *planner
	rollouts          *rollouts

	holds  map[string]*occurrenceHold // by reservation
	holdOf map[*fleet.Machine]*occurrenceHold
	// bootTimes are measured boot times in seconds, by index of the machine type.
	bootTimes map[int]*calendar.Estimator
	// provisioned are the machines that were provisioned in this term and have not booted
	// yet.
	provisioned map[*fleet.Machine]bool
	// runTimeRatios are the ratios of run times to their estimates, by job class.
	runTimeRatios map[string]*calendar.Estimator
	// requests are the machines to provision, as of the last refresh.
	requests []autoscale.UnmetDemand
}

// occurrenceHold is the capacity that is held for one occurrence of a reservation.
type occurrenceHold struct {
	reservation string
	span        calendar.Span
	allocations []calendar.Allocation
	machines    map[*fleet.Machine]bool
	spot        bool
	// claimer is the job that claims the occurrence. It is nil if there is no such job yet, or
	// if the job has ended.
	claimer *job.Job
	// startedJob is the ID of the claimer whose tasks were all observed running, and startedAt
	// the wall-clock time of that observation.
	startedJob string
	startedAt  time.Time
	// provisioning is set once missing machines are provisioned. From then on, idle machines
	// of the hold are not released.
	provisioning bool
	// covered is set if the capacity that the claimer needs is held or being provisioned.
	covered bool
}

func newReservationHolds(co *core) *reservationHolds {
	rh := &reservationHolds{core: co}
	rh.reset()
	return rh
}

// reset discards all holds and measurements.
func (rh *reservationHolds) reset() {
	rh.holds = map[string]*occurrenceHold{}
	rh.holdOf = map[*fleet.Machine]*occurrenceHold{}
	rh.bootTimes = map[int]*calendar.Estimator{}
	rh.provisioned = map[*fleet.Machine]bool{}
	rh.runTimeRatios = map[string]*calendar.Estimator{}
	rh.requests = nil
}

// refresh updates the holds, the machines that they hold and the machines to provision.
func (rh *reservationHolds) refresh(now time.Time) {
	if !rh.calendarStore.enabled() {
		return
	}
	rh.requests = nil
	upcoming := rh.calendarStore.upcomingOccurrences(now, rh.holdLeadTime)
	for name, hold := range rh.holds {
		if current, ok := upcoming[name]; !ok || current.span != hold.span {
			rh.deleteHold(hold)
		}
	}
	defer func() { rh.controller.Meter.Set(metrics.ReservedMachines, len(rh.holdOf)) }()
	// Occurrences choose machines in the order of their starts, so that successive leaders
	// choose the same machines.
	order := slices.SortedFunc(maps.Keys(upcoming), func(a, b string) int {
		return cmp.Or(cmp.Compare(upcoming[a].span.From, upcoming[b].span.From), cmp.Compare(a, b))
	})
	for _, name := range order {
		rh.refreshHold(name, upcoming[name], now)
	}
}

// refreshHold updates the hold of one upcoming occurrence, or creates it.
func (rh *reservationHolds) refreshHold(name string, upcoming upcomingOccurrence, now time.Time) {
	hold := rh.holds[name]
	if hold == nil {
		hold = &occurrenceHold{
			reservation: name,
			span:        upcoming.span,
			allocations: upcoming.booking.Allocations,
			machines:    map[*fleet.Machine]bool{},
			spot:        upcoming.booking.Spot,
		}
		rh.holds[name] = hold
	}
	hold.claimer = upcoming.claimer
	rh.recordStart(hold, now)
	if upcoming.decided && hold.claimer == nil {
		rh.releaseMachines(hold) // the claimer has ended, or there was none
		return
	}
	if rh.controller.Tuning.Calendar.Hold {
		rh.holdMachines(hold, upcoming.booking, now)
	}
}

// deleteHold releases a hold's machines and deletes the hold.
func (rh *reservationHolds) deleteHold(hold *occurrenceHold) {
	rh.releaseMachines(hold)
	delete(rh.holds, hold.reservation)
}

// releaseMachines releases all machines of a hold.
func (rh *reservationHolds) releaseMachines(hold *occurrenceHold) {
	for machine := range hold.machines {
		delete(rh.holdOf, machine)
	}
	if len(hold.machines) > 0 {
		rh.requestPlan()
	}
	clear(hold.machines)
}

// addMachine adds a machine to a hold.
func (rh *reservationHolds) addMachine(hold *occurrenceHold, machine *fleet.Machine) {
	hold.machines[machine] = true
	rh.holdOf[machine] = hold
}

// removeMachine removes a machine from a hold.
func (rh *reservationHolds) removeMachine(hold *occurrenceHold, machine *fleet.Machine) {
	delete(hold.machines, machine)
	delete(rh.holdOf, machine)
}

// machineRemoved discards the state of a machine that was removed from the fleet.
func (rh *reservationHolds) machineRemoved(machine *fleet.Machine) {
	delete(rh.provisioned, machine)
	if hold := rh.holdOf[machine]; hold != nil {
		rh.removeMachine(hold, machine)
	}
}

// recordStart records when all tasks of the claimer are first observed running.
func (rh *reservationHolds) recordStart(hold *occurrenceHold, now time.Time) {
	if hold.claimer != nil && hold.startedJob != hold.claimer.ID && rh.fullyRunning(hold.claimer) {
		hold.startedJob = hold.claimer.ID
		hold.startedAt = rh.calendarStore.wallTime(now)
	}
}

// fullyRunning reports whether tasks of a job are running and none waits for a placement. Of
// a gang, all tasks must be running.
func (rh *reservationHolds) fullyRunning(j *job.Job) bool {
	running := rh.jobTable.runningTasks(j)
	return running > 0 && (j.CountUnplaced() == 0 || j.Complete()) && (j.Shape != job.Gang || running == j.Tasks)
}

// startTime returns when all tasks of an occurrence's claimer were first observed running,
// or the zero time if they were not.
func (rh *reservationHolds) startTime(o occurrence) time.Time {
	hold := rh.holds[o.reservation]
	if hold != nil && hold.span.From == o.start && hold.claimer != nil && hold.startedJob == hold.claimer.ID {
		return hold.startedAt
	}
	return time.Time{}
}

// startedJob returns the ID of the job that was observed running in an occurrence, and its
// start time. The job may have ended since. The ID is empty if there was no such job.
func (rh *reservationHolds) startedJob(o occurrence) (id string, at time.Time) {
	if hold := rh.holds[o.reservation]; hold != nil && hold.span.From == o.start && hold.startedJob != "" {
		return hold.startedJob, hold.startedAt
	}
	return "", time.Time{}
}

// heldMachines returns the number of machines that are held for a reservation.
func (rh *reservationHolds) heldMachines(reservation string) int {
	if hold := rh.holds[reservation]; hold != nil {
		return len(hold.machines)
	}
	return 0
}

// providesFor reports whether a hold already covers a job's capacity, so that the autoscaler
// must not provision it a second time.
func (rh *reservationHolds) providesFor(j *job.Job) bool {
	hold := rh.holds[j.Reservation]
	return hold != nil && hold.claimer == j && hold.covered
}

// machineRequests returns the machines to provision for the holds. It refreshes the holds
// first; otherwise a machine that booted after the last refresh would be provisioned again.
func (rh *reservationHolds) machineRequests(now time.Time) []autoscale.UnmetDemand {
	rh.refresh(now)
	return rh.requests
}

// retains reports whether a machine must not be released when it is idle. This applies to
// held machines if their occurrence starts soon or backfilling is disabled.
func (rh *reservationHolds) retains(machine *fleet.Machine) bool {
	return rh.holdOf[machine] != nil && (rh.holdOf[machine].provisioning || !rh.controller.Tuning.Calendar.Backfill)
}

// annotate sets the hold fields in the planner's view of a machine: the job for which it is
// held, and the seconds until the occurrence starts.
func (rh *reservationHolds) annotate(view *place.Machine, machine *fleet.Machine, now time.Time) {
	hold := rh.holdOf[machine]
	if hold == nil {
		return
	}
	view.HeldFor = place.FutureDemandID
	if hold.claimer != nil {
		view.HeldFor = rh.jobTable.index(hold.claimer)
	}
	if rh.controller.Tuning.Calendar.Backfill {
		view.HeldInS = rh.secondsToStart(hold, now)
	}
}

// secondsToStart returns the seconds until a hold's occurrence starts. The value is negative
// once the occurrence has started.
func (rh *reservationHolds) secondsToStart(hold *occurrenceHold, now time.Time) float64 {
	return time.UnixMilli(hold.span.From).Sub(rh.calendarStore.wallTime(now)).Seconds()
}

// hasCapacity reports whether the machines held for a job currently have free capacity for
// the given number of its tasks.
func (rh *reservationHolds) hasCapacity(j *job.Job, tasks int) bool {
	hold := rh.holds[j.Reservation]
	if hold == nil || hold.claimer != j {
		return false
	}
	for machine := range hold.machines {
		if t := rh.nameIndex.machineType(machine); t != nil && machine.Usable() {
			tasks -= freeCapacity(t, machine).FitCount(taskRequirements(j))
		}
	}
	return tasks <= 0
}

// taskRequirements returns the resource requirements of one task of a job.
func taskRequirements(j *job.Job) place.Resources {
	return place.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemGB: j.MemGB}
}

// freeCapacity returns the unused resources of a machine of type t.
func freeCapacity(t *wire.MachineType, machine *fleet.Machine) place.Resources {
	return place.Resources{CPUs: t.CPUs - machine.UsedCPUs, GPUs: t.GPUs - machine.UsedGPUs, MemGB: t.MemGB - machine.UsedMemGB}
}
