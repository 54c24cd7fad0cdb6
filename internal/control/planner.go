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
	// minPlanInterval prevents a plan for each message of a burst.
	minPlanInterval = 50 * time.Millisecond
	// maxPlanInterval is after what time a plan is made although nothing is known to have
	// changed.
	maxPlanInterval = time.Second
	// minPlanIntervalFactor bounds the part of the time that plans take to one in minPlanIntervalFactor, so
	// that heartbeats, cancellations and the lease are served while a large fleet is full.
	minPlanIntervalFactor = 4
	// preemptionReservationTime is for how long a machine stays reserved for the job for which work was
	// preempted there.
	preemptionReservationTime = 15 * time.Second
	// gangReservationTime is for how long a machine stays reserved for a gang that waits for room;
	// each plan in which the gang may preempt renews or ends it.
	gangReservationTime = 4 * preemptInterval
	// waitLogInterval and maxWaitLogJobs bound the log of jobs that find no machine.
	waitLogInterval = 5 * time.Second
	maxWaitLogJobs  = 5
	// attemptTermShift is the position of the term in an attempt number.
	attemptTermShift = 24
)

// machineReservation reserves room on a machine for a job.
type machineReservation struct {
	job   *job.Job
	until time.Time
	// awaitsCompletion: the room becomes free as tasks complete; nothing was preempted for it.
	awaitsCompletion bool
}

// planner makes plans and carries them out: which tasks are placed and preempted, and which
// machines are reserved.
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
	// attemptCount counts the attempt numbers made in this term.
	attemptCount uint64
	// lastPlanAt is when the last plan was begun, lastPlanDuration how long it took.
	lastPlanAt       time.Time
	lastPlanDuration time.Duration
	// lastPreemptAt is when a job last looked for tasks to preempt.
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

// reserved reports whether a machine is reserved for some job.
func (pl *planner) reserved(h *fleet.Machine) bool { return pl.reservations[h].job != nil }

// reservedFor returns the job for which a machine is reserved, or nil.
func (pl *planner) reservedFor(h *fleet.Machine) *job.Job { return pl.reservations[h].job }

// removeMachine forgets a machine that has been released.
func (pl *planner) removeMachine(h *fleet.Machine) { delete(pl.reservations, h) }

// removeJob forgets a job that is over.
func (pl *planner) removeJob(j *job.Job) { delete(pl.lastPreemptAt, j) }

// expireReservations ends the reservations that were not used in time, and those of jobs
// that are over. It is not left to the next plan: while no job waits there is none.
func (pl *planner) expireReservations(now time.Time) {
	for h, r := range pl.reservations {
		if now.After(r.until) || r.job.Phase+r.job.Closing != "" {
			delete(pl.reservations, h)
		}
	}
}

// place makes a plan and carries it out, if one is due.
func (pl *planner) place(now time.Time) {
	if !pl.due(now) || !pl.takeover.reconcile(now) || pl.hasUnidentifiedTasks() {
		return
	}
	pl.lastPlanAt = now
	pl.planRequested = false
	pl.reservationHolds.refresh(now) // a machine that has just come up for a reservation must not be filled
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

// due reports whether it is time for a plan.
func (pl *planner) due(now time.Time) bool {
	sinceLast := now.Sub(pl.lastPlanAt)
	if sinceLast < max(minPlanInterval, minPlanIntervalFactor*pl.lastPlanDuration) {
		return false
	}
	return pl.planRequested || sinceLast >= maxPlanInterval
}

// hasUnidentifiedTasks reports whether there are tasks of jobs whose records have not been
// read: what these use is not counted for any team yet.
func (pl *planner) hasUnidentifiedTasks() bool {
	for j := range pl.jobTable.unidentifiedJobs() {
		if len(j.Live) > 0 {
			return true
		}
	}
	return false
}

// applyAssignments enters the placements of a plan into the ledger.
func (pl *planner) applyAssignments(in *planInput, assignments []place.Assignment) {
	attempts := map[*job.Job]uint64{} // of this plan
	for _, a := range assignments {
		pl.assign(in.job(a.Demand), a.Task, in.machines[a.Machine], attempts, in.now)
	}
}

// assign places a task of a job on a machine. The tasks that a plan places of an array or a
// service share an attempt number; attempts holds those made so far.
func (pl *planner) assign(j *job.Job, task int32, h *fleet.Machine, attempts map[*job.Job]uint64, now time.Time) {
	attempt := pl.attemptFor(j, attempts)
	waited := now.Sub(j.WaitingSince)
	if pl.debug {
		pl.log.Debug("task placed", "task", job.TaskName(j.ID, task), "machine", h.Name, "waited", waited)
	}
	pl.fleet.Assign(h, fleet.PlacementKey{Job: j, Task: task, Attempt: attempt}, now)
	pl.registry.recordPlacement(j, h)
	j.LastMachine = h.Index
	pl.controller.Meter.Observe(metrics.StartWait, j.Class, waited)
	j.WaitingSince = now
	if pl.reservedFor(h) == j {
		delete(pl.reservations, h)
	}
}

// attemptFor returns the attempt number for the next task of a job: that of its gang, or
// that of the job in this plan.
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

// nextAttempt returns an attempt number that no other term can make.
func (pl *planner) nextAttempt() uint64 {
	pl.attemptCount++
	return pl.term<<attemptTermShift | pl.attemptCount
}

// applyPreemptions stops the victims of a plan and reserves the machines.
func (pl *planner) applyPreemptions(in *planInput, preemptions []place.Preemption) {
	for _, p := range preemptions {
		j, h := in.job(p.Demand), in.machines[p.Machine]
		pl.log.Info("preempting tasks", "job", j.ID, "machine", h.Name, "tasks", len(p.Victims))
		pl.reservations[h] = machineReservation{job: j, until: in.now.Add(preemptionReservationTime)}
		for _, v := range p.Victims {
			s := in.victimSlots[v]
			pl.taskTracker.stopSlot(s, saveGrace(s.Job))
		}
	}
}

// renewReservations reserves the machines that a plan has chosen for gangs, and ends the
// earlier reservations of the gangs that looked for machines in this plan.
func (pl *planner) renewReservations(in *planInput, chosen []place.Reservation) {
	looked := map[*job.Job]bool{}
	for i := range in.input.Demands {
		if in.input.Demands[i].MayPreempt {
			looked[in.job(i)] = true
		}
	}
	for h, r := range pl.reservations {
		if r.awaitsCompletion && looked[r.job] {
			delete(pl.reservations, h)
		}
	}
	for _, c := range chosen {
		pl.reservations[in.machines[c.Machine]] = machineReservation{
			job:              in.job(c.Demand),
			until:            in.now.Add(gangReservationTime),
			awaitsCompletion: true,
		}
	}
}

// unmetDemand returns the jobs for whose tasks a plan has found no machine, the most urgent
// first; unplaced counts those tasks, by demand.
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
		d := &in.input.Demands[i]
		unmet = append(unmet, autoscale.UnmetDemand{
			Demand:  d,
			Count:   unplaced[i],
			TaskS:   runTimeEstimate(j),
			ImageGB: j.ImageGB,
			WaitedS: d.WaitedS,
			Urgent:  j.Shape == job.Gang,
		})
	}
	sort.SliceStable(unmet, func(a, b int) bool {
		return unmet[a].Demand.LatestStart < unmet[b].Demand.LatestStart
	})
	return unmet
}

// logUnmetDemand logs the most urgent jobs that found no machine, at most once in
// waitLogInterval.
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
