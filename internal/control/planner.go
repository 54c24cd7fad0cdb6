package control

import (
	"sort"
	"time"

	"vetchstream/internal/autoscale"
	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/metrics"
	"vetchstream/internal/place"
)

const (
	// minPlanInterval is the shortest interval between two plans. It keeps a burst of
	// messages from causing a plan for each of them.
	minPlanInterval = 50 * time.Millisecond
	// maxPlanInterval is the longest interval between two plans, even if no change has
	// been reported.
	maxPlanInterval = time.Second
	// minPlanIntervalFactor times the duration of a plan is the shortest interval to the
	// start of the next one. It limits planning to a quarter of the time, so that
	// heartbeats, cancellations and the lease are handled in time while a large fleet is
	// fully used.
	minPlanIntervalFactor = 4
	// preemptionReservationTime is how long a machine stays reserved for the job that
	// preempted tasks on it.
	preemptionReservationTime = 15 * time.Second
	// gangReservationTime is how long a machine stays reserved for a gang that waits for
	// running tasks to complete. Each plan in which the gang may preempt renews or ends
	// the reservation.
	gangReservationTime = 4 * preemptInterval
	// waitLogInterval and maxWaitLogJobs limit how often, and for how many jobs, the lack
	// of capacity is logged.
	waitLogInterval = 5 * time.Second
	maxWaitLogJobs  = 5
)

// machineReservation reserves capacity on a machine for a job.
type machineReservation struct {
	job   *job.Job
	until time.Time
	// awaitsCompletion is set if the capacity becomes free as tasks complete, without
	// preemption.
	awaitsCompletion bool
}

// planner makes plans and applies them: it places tasks, preempts others and reserves
// machines.
type planner struct {
	*core
	nameIndex         *nameIndex
	jobTable          *jobTable
	registry          *registry
	machinePool       *machinePool
	takeover          *takeover
	taskTracker       *taskTracker
	calendarStore     *calendarStore
	reservationHolds  *reservationHolds
	maintenanceDrains *maintenanceDrains
	teamQuotas        *teamQuotas

	reservations map[*fleet.Machine]machineReservation
	// attemptCount is the number of attempt numbers assigned in this term.
	attemptCount uint64
	// lastPlanAt is the start of the last plan, lastPlanDuration its duration.
	lastPlanAt       time.Time
	lastPlanDuration time.Duration
	// lastPreemptAt is the time of each job's last plan in which it was allowed to
	// preempt.
	lastPreemptAt map[*job.Job]time.Time
	lastWaitLogAt time.Time
}

func newPlanner(co *core) *planner {
	return &planner{
		core:          co,
		reservations:  map[*fleet.Machine]machineReservation{},
		lastPreemptAt: map[*job.Job]time.Time{},
	}
}

// reserved reports whether a machine is reserved for any job.
func (pl *planner) reserved(machine *fleet.Machine) bool { return pl.reservations[machine].job != nil }

// reservedFor returns the job that a machine is reserved for, or nil.
func (pl *planner) reservedFor(machine *fleet.Machine) *job.Job { return pl.reservations[machine].job }

// removeMachine drops the reservation of a machine that has been released.
func (pl *planner) removeMachine(machine *fleet.Machine) { delete(pl.reservations, machine) }

// removeJob drops the planner's state of a job that has ended.
func (pl *planner) removeJob(j *job.Job) { delete(pl.lastPreemptAt, j) }

// expireReservations deletes reservations that have expired or whose job has ended. It
// runs apart from the plans, because no plan is made while no job waits.
func (pl *planner) expireReservations(now time.Time) {
	for machine, r := range pl.reservations {
		if now.After(r.until) || r.job.Phase+r.job.EndingPhase != "" {
			delete(pl.reservations, machine)
		}
	}
}

// place makes a plan and applies it, if a plan is due.
func (pl *planner) place(now time.Time) {
	if !pl.due(now) || !pl.takeover.reconcile(now) || pl.hasUnidentifiedTasks() {
		return
	}
	pl.lastPlanAt = now
	pl.planRequested = false
	pl.reservationHolds.refresh(now) // before planning: a machine that has just booted for a reservation must stay free
	defer func() {
		pl.lastPlanDuration = time.Since(now)
		pl.controller.Meter.Observe(metrics.PlanTime, "", pl.lastPlanDuration)
	}()
	in := pl.input(now)
	if len(in.input.Demands) == 0 {
		pl.machinePool.setUnmetDemand(nil)
		return
	}
	plan := place.MakePlan(in.input)
	pl.applyAssignments(in, plan.Assignments)
	pl.applyPreemptions(in, plan.Preemptions)
	pl.renewReservations(in, plan.Reservations)
	unmet := pl.unmetDemand(in, plan.Unplaced)
	pl.machinePool.setUnmetDemand(unmet)
	pl.logUnmetDemand(now, unmet)
}

// due reports whether a plan is due.
func (pl *planner) due(now time.Time) bool {
	sinceLast := now.Sub(pl.lastPlanAt)
	if sinceLast < max(minPlanInterval, minPlanIntervalFactor*pl.lastPlanDuration) {
		return false
	}
	return pl.planRequested || sinceLast >= maxPlanInterval
}

// hasUnidentifiedTasks reports whether any task belongs to a job whose record has not
// been read. The usage of such tasks is not attributed to a team yet.
func (pl *planner) hasUnidentifiedTasks() bool {
	for j := range pl.jobTable.unidentifiedJobs() {
		if len(j.Live) > 0 {
			return true
		}
	}
	return false
}

// applyAssignments records the assignments of a plan in the fleet.
func (pl *planner) applyAssignments(in *planInput, assignments []place.Assignment) {
	attempts := map[*job.Job]uint64{} // in this plan, by job
	for _, assignment := range assignments {
		pl.assign(in.job(assignment.Demand), assignment.Task, in.machines[assignment.Machine], attempts, in.now)
	}
}

// assign places a task of a job on a machine. All tasks of an array or a service that one
// plan places share an attempt number; attempts maps the jobs of the plan to these
// numbers.
func (pl *planner) assign(j *job.Job, task int32, machine *fleet.Machine, attempts map[*job.Job]uint64, now time.Time) {
	attempt := pl.attemptFor(j, attempts)
	waited := now.Sub(j.WaitingSince)
	if pl.debug {
		pl.log.Debug("task placed", "task", job.TaskName(j.ID, task), "machine", machine.Name, "waited", waited)
	}
	pl.fleet.Assign(machine, fleet.PlacementKey{Job: j, Task: task, Attempt: attempt}, now)
	pl.registry.recordPlacement(j, machine)
	j.LastMachine = machine.Index
	pl.controller.Meter.Observe(metrics.StartWait, j.Class, waited)
	j.WaitingSince = now
	if pl.reservedFor(machine) == j {
		delete(pl.reservations, machine)
	}
}

// attemptFor returns the attempt number of a job's next task: that of the current attempt
// for a gang, otherwise one per job and plan.
func (pl *planner) attemptFor(j *job.Job, attempts map[*job.Job]uint64) uint64 {
	if j.Shape == job.Gang {
		if j.GangAttempt == 0 {
			j.GangAttempt = pl.nextAttempt()
		}
		return j.GangAttempt
	}
	if attempts[j] == 0 {
		attempts[j] = pl.nextAttempt()
	}
	return attempts[j]
}

// nextAttempt returns an attempt number that is unique across terms.
func (pl *planner) nextAttempt() uint64 {
	pl.attemptCount++
	return fleet.NewAttempt(pl.term, pl.attemptCount)
}

// applyPreemptions stops the victims of a plan and reserves their machines for the
// preempting jobs.
func (pl *planner) applyPreemptions(in *planInput, preemptions []place.Preemption) {
	for _, preemption := range preemptions {
		j, machine := in.job(preemption.Demand), in.machines[preemption.Machine]
		pl.log.Info("preempting tasks", "job", j.ID, "machine", machine.Name, "tasks", len(preemption.Victims))
		pl.reservations[machine] = machineReservation{job: j, until: in.now.Add(preemptionReservationTime)}
		for _, victim := range preemption.Victims {
			slot := in.victimSlots[victim]
			pl.taskTracker.stopSlot(slot, saveGrace(slot.Job))
		}
	}
}

// renewReservations reserves the machines that a plan has chosen for gangs, and deletes
// the earlier reservations of the gangs that were allowed to preempt in this plan.
func (pl *planner) renewReservations(in *planInput, chosen []place.Reservation) {
	preempting := map[*job.Job]bool{}
	for i := range in.input.Demands {
		if in.input.Demands[i].MayPreempt {
			preempting[in.job(i)] = true
		}
	}
	for machine, r := range pl.reservations {
		if r.awaitsCompletion && preempting[r.job] {
			delete(pl.reservations, machine)
		}
	}
	for _, reservation := range chosen {
		pl.reservations[in.machines[reservation.Machine]] = machineReservation{
			job:              in.job(reservation.Demand),
			until:            in.now.Add(gangReservationTime),
			awaitsCompletion: true,
		}
	}
}

// unmetDemand returns the jobs with tasks that a plan could not place, the most urgent
// first. unplaced is the number of these tasks per demand.
func (pl *planner) unmetDemand(in *planInput, unplaced []int) []autoscale.UnmetDemand {
	var unmet []autoscale.UnmetDemand
	for i := range in.input.Demands {
		if unplaced[i] == 0 {
			continue
		}
		j := in.job(i)
		if pl.reservationHolds.providesFor(j) {
			continue
		}
		demand := &in.input.Demands[i]
		unmet = append(unmet, autoscale.UnmetDemand{
			Demand:  demand,
			Count:   unplaced[i],
			TaskS:   runTimeEstimate(j),
			ImageGB: j.ImageGB,
			WaitedS: demand.WaitedS,
			Urgent:  j.Shape == job.Gang,
		})
	}
	sort.SliceStable(unmet, func(a, b int) bool {
		return unmet[a].Demand.LatestStart < unmet[b].Demand.LatestStart
	})
	return unmet
}

// logUnmetDemand logs the most urgent jobs that no machine has capacity for, at most once
// per waitLogInterval.
func (pl *planner) logUnmetDemand(now time.Time, unmet []autoscale.UnmetDemand) {
	if len(unmet) == 0 || now.Sub(pl.lastWaitLogAt) <= waitLogInterval {
		return
	}
	pl.lastWaitLogAt = now
	for _, u := range unmet[:min(len(unmet), maxWaitLogJobs)] {
		j := pl.jobTable.byIndex(u.Demand.ID)
		pl.log.Info("no machine has capacity", "job", j.ID, "class", j.Class, "tasks", u.Count, "waited_s", u.WaitedS)
	}
}
