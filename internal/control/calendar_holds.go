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

// reservationHolds collects the capacity of reservations before their start: machines that
// will be free are held, the others are provisioned ahead by the boot times that were
// measured in this term. Holds follow from the calendar and from the observed state of the
// machines, so they are not stored: a successor computes them again.
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
	// provisioned are the machines that were provisioned in this term and are not up yet.
	provisioned map[*fleet.Machine]bool
	// runTimeRatios are run times divided by their estimates, by job class.
	runTimeRatios map[string]*calendar.Estimator
	// requests are the machines that have to be provisioned, as of the last refresh.
	requests []autoscale.UnmetDemand
}

// occurrenceHold is the capacity that is collected for one occurrence of a reservation.
type occurrenceHold struct {
	reservation string
	span        calendar.Span
	allocations []calendar.Allocation
	machines    map[*fleet.Machine]bool
	spot        bool
	// claimer is the job that claims the occurrence; nil: none yet, or it has ended.
	claimer *job.Job
	// startedJob is the first claimer that was observed to run with all its tasks, and
	// startedAt when that was.
	startedJob string
	startedAt  time.Time
	// provisioning: missing machines are provisioned, and idle ones are not released.
	provisioning bool
	// covered: what the claimer needs is held or is being provisioned for the occurrence.
	covered bool
}

func newReservationHolds(co *core) *reservationHolds {
	rh := &reservationHolds{core: co}
	rh.reset()
	return rh
}

// reset forgets all holds and measurements.
func (rh *reservationHolds) reset() {
	rh.holds = map[string]*occurrenceHold{}
	rh.holdOf = map[*fleet.Machine]*occurrenceHold{}
	rh.bootTimes = map[int]*calendar.Estimator{}
	rh.provisioned = map[*fleet.Machine]bool{}
	rh.runTimeRatios = map[string]*calendar.Estimator{}
	rh.requests = nil
}

// refresh brings the holds up to date: which there are, which machines are held for
// them, and which have to be provisioned.
func (rh *reservationHolds) refresh(now time.Time) {
	if !rh.calendarStore.enabled() {
		return
	}
	rh.requests = nil
	upcoming := rh.calendarStore.upcomingOccurrences(now, rh.holdLeadTime)
	for name, hold := range rh.holds {
		if o, ok := upcoming[name]; !ok || o.span != hold.span {
			rh.deleteHold(hold)
		}
	}
	defer func() { rh.controller.Meter.Set(metrics.ReservedMachines, len(rh.holdOf)) }()
	// The earliest start chooses first, so that two leaders choose alike.
	order := slices.SortedFunc(maps.Keys(upcoming), func(a, b string) int {
		return cmp.Or(cmp.Compare(upcoming[a].span.From, upcoming[b].span.From), cmp.Compare(a, b))
	})
	for _, name := range order {
		rh.refreshHold(name, upcoming[name], now)
	}
}

// refreshHold brings the hold of one upcoming occurrence up to date.
func (rh *reservationHolds) refreshHold(name string, o upcomingOccurrence, now time.Time) {
	hold := rh.holds[name]
	if hold == nil {
		hold = &occurrenceHold{
			reservation: name,
			span:        o.span,
			allocations: o.booking.Allocations,
			machines:    map[*fleet.Machine]bool{},
			spot:        o.booking.Spot,
		}
		rh.holds[name] = hold
	}
	hold.claimer = o.claimer
	rh.recordStart(hold, now)
	if o.decided && hold.claimer == nil {
		rh.releaseMachines(hold) // its job has ended
		return
	}
	if rh.controller.Tuning.Calendar.Hold {
		rh.holdMachines(hold, o.booking, now)
	}
}

// deleteHold releases a hold's machines and forgets it.
func (rh *reservationHolds) deleteHold(hold *occurrenceHold) {
	rh.releaseMachines(hold)
	delete(rh.holds, hold.reservation)
}

// releaseMachines gives up the machines of a hold.
func (rh *reservationHolds) releaseMachines(hold *occurrenceHold) {
	for h := range hold.machines {
		delete(rh.holdOf, h)
	}
	if len(hold.machines) > 0 {
		rh.requestPlan()
	}
	clear(hold.machines)
}

// addMachine holds a machine.
func (rh *reservationHolds) addMachine(hold *occurrenceHold, h *fleet.Machine) {
	hold.machines[h] = true
	rh.holdOf[h] = hold
}

// removeMachine gives up one machine of a hold.
func (rh *reservationHolds) removeMachine(hold *occurrenceHold, h *fleet.Machine) {
	delete(hold.machines, h)
	delete(rh.holdOf, h)
}

// machineRemoved forgets a machine that has been released.
func (rh *reservationHolds) machineRemoved(h *fleet.Machine) {
	delete(rh.provisioned, h)
	if hold := rh.holdOf[h]; hold != nil {
		rh.removeMachine(hold, h)
	}
}

// recordStart records when all tasks of the claimer were first observed running.
func (rh *reservationHolds) recordStart(hold *occurrenceHold, now time.Time) {
	if hold.claimer != nil && hold.startedJob != hold.claimer.ID && rh.fullyRunning(hold.claimer) {
		hold.startedJob = hold.claimer.ID
		hold.startedAt = rh.calendarStore.timeOfDay(now)
	}
}

// fullyRunning reports whether all tasks of a job that have not ended are running.
func (rh *reservationHolds) fullyRunning(j *job.Job) bool {
	n := rh.jobTable.runningTasks(j)
	return n > 0 && (j.CountUnplaced() == 0 || j.Complete()) && (j.Shape != job.Gang || n == j.Tasks)
}

// startTime is when all tasks of an occurrence's claimer were first observed running;
// zero: not yet.
func (rh *reservationHolds) startTime(o occurrence) time.Time {
	hold := rh.holds[o.reservation]
	if hold != nil && hold.span.From == o.start && hold.claimer != nil && hold.startedJob == hold.claimer.ID {
		return hold.startedAt
	}
	return time.Time{}
}

// startedJob is the job that was observed running in an occurrence, which may have ended
// since, and when it started; empty: none.
func (rh *reservationHolds) startedJob(o occurrence) (id string, at time.Time) {
	if hold := rh.holds[o.reservation]; hold != nil && hold.span.From == o.start && hold.startedJob != "" {
		return hold.startedJob, hold.startedAt
	}
	return "", time.Time{}
}

// heldMachines is the number of machines that are held for a reservation.
func (rh *reservationHolds) heldMachines(reservation string) int {
	if hold := rh.holds[reservation]; hold != nil {
		return len(hold.machines)
	}
	return 0
}

// providesFor reports whether the hold of a job's occurrence already provides what the
// job needs: the autoscaler must not provision it a second time.
func (rh *reservationHolds) providesFor(j *job.Job) bool {
	hold := rh.holds[j.Reservation]
	return hold != nil && hold.claimer == j && hold.covered
}

// machineRequests lists what has to be provisioned for the holds. It refreshes them
// first: a machine that has come up since the last refresh would be provisioned again.
func (rh *reservationHolds) machineRequests(now time.Time) []autoscale.UnmetDemand {
	rh.refresh(now)
	return rh.requests
}

// retains reports whether a machine is not to be released although it is idle: it is held
// for an occurrence that starts soon, or nothing else may run on it.
func (rh *reservationHolds) retains(h *fleet.Machine) bool {
	return rh.holdOf[h] != nil && (rh.holdOf[h].provisioning || !rh.controller.Tuning.Calendar.Backfill)
}

// annotate sets in the planner's view of a machine for which job it is held, and in how
// many seconds the occurrence starts.
func (rh *reservationHolds) annotate(m *place.Machine, h *fleet.Machine, now time.Time) {
	hold := rh.holdOf[h]
	if hold == nil {
		return
	}
	m.HeldFor = place.FutureDemandID
	if hold.claimer != nil {
		m.HeldFor = rh.jobTable.index(hold.claimer)
	}
	if rh.controller.Tuning.Calendar.Backfill {
		m.HeldInS = rh.secondsToStart(hold, now)
	}
}

// secondsToStart is in how many seconds a hold's occurrence starts; negative: it has
// started.
func (rh *reservationHolds) secondsToStart(hold *occurrenceHold, now time.Time) float64 {
	return time.UnixMilli(hold.span.From).Sub(rh.calendarStore.timeOfDay(now)).Seconds()
}

// hasCapacity reports whether the machines that are held for a job have free capacity for
// n of its tasks now.
func (rh *reservationHolds) hasCapacity(j *job.Job, n int) bool {
	hold := rh.holds[j.Reservation]
	if hold == nil || hold.claimer != j {
		return false
	}
	for h := range hold.machines {
		if t := rh.nameIndex.machineType(h); t != nil && h.Usable() {
			n -= freeCapacity(t, h).FitCount(taskRequirements(j))
		}
	}
	return n <= 0
}

// taskRequirements is the resource requirement of one task of a job.
func taskRequirements(j *job.Job) place.Resources {
	return place.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemGB: j.MemGB}
}

// freeCapacity is what a machine of type t has free.
func freeCapacity(t *wire.MachineType, h *fleet.Machine) place.Resources {
	return place.Resources{CPUs: t.CPUs - h.UsedCPUs, GPUs: t.GPUs - h.UsedGPUs, MemGB: t.MemGB - h.UsedMemGB}
}
