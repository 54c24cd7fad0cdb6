package control

import (
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/metrics"
	"vetchstream/internal/wire"
)

// taskTracker handles heartbeats, task exits and gang attempts. It has no state of its
// own: the slots are in core.fleet, the progress of a job is in job.Job.
type taskTracker struct {
	*core
	nameIndex        *nameIndex
	jobTable         *jobTable
	registry         *registry
	machinePool      *machinePool
	completions      *completions
	results          *results
	rollouts         *rollouts
	reservationHolds *reservationHolds
}

// observe applies a worker's report, which is a heartbeat or the response to a direct
// command. fresh reports whether it is newer than the last one applied. ok is false if
// the worker has seen a later term.
func (tt *taskTracker) observe(machine *fleet.Machine, heartbeat *wire.Heartbeat, isHeartbeat bool, now time.Time) (fresh, ok bool) {
	if !machine.Described || machine.Type < 0 {
		tt.nameIndex.describeMachine(machine, heartbeat.Type, heartbeat.Zone, heartbeat.Spot)
	}
	wasBooting := machine.Booting
	wasInboundCut := machine.InboundCut()
	result := tt.fleet.Observe(machine, heartbeat, isHeartbeat, now, tt.jobTable.findOrAdd)
	if result.Deposed {
		tt.log.Info("worker has seen a later term", "machine", machine.Name, "seen_term", heartbeat.Token)
		tt.controller.Deposed(heartbeat.Token)
		return false, false
	}
	tt.reachabilityChanged(machine, wasInboundCut)
	if result.Fresh && wasBooting && !machine.Booting {
		tt.machineUp(machine, now)
	}
	tt.observeSlots(machine, now)
	tt.applyEvents(result.Events, now)
	if machine.Fenced && !machine.Registered && machine.Described && machine.Addr != "" && !machine.Lost && !machine.Releasing {
		tt.registry.addMachine(machine, tt.nameIndex.machineTypes()[machine.Type].Name, tt.nameIndex.zoneNames()[machine.Zone])
	}
	if result.Fresh && !machine.ReclaimAt.IsZero() {
		tt.machinePool.handleSpotNotice(machine, now)
	}
	return result.Fresh, true
}

// reachabilityChanged handles a machine that has stopped or resumed receiving messages.
func (tt *taskTracker) reachabilityChanged(machine *fleet.Machine, wasInboundCut bool) {
	switch {
	case machine.InboundCut() && !wasInboundCut:
		tt.log.Info("machine sends heartbeats but receives no messages, no new tasks are placed on it", "machine", machine.Name)
	case wasInboundCut && !machine.InboundCut():
		tt.log.Info("machine receives messages again", "machine", machine.Name)
		tt.requestPlan()
	}
}

// machineUp handles the first heartbeat of a booting machine.
func (tt *taskTracker) machineUp(machine *fleet.Machine, now time.Time) {
	bootTime := now.Sub(machine.AddedAt)
	tt.log.Info("machine is up", "machine", machine.Name, "boot_time", bootTime.Round(time.Second))
	machine.IdleSince = now
	tt.reservationHolds.machineBooted(machine, bootTime)
	tt.requestPlan()
}

// observeSlots stops the tasks on a machine whose jobs have ended, and updates the
// attempts of its gangs.
func (tt *taskTracker) observeSlots(machine *fleet.Machine, now time.Time) {
	for _, slot := range machine.Slots {
		// This includes tasks of a job that is not in the job table. As all active jobs
		// are loaded, such a job has ended or its record cannot be read. The record is
		// read to learn the job's resource usage, which takes long in an outage of the
		// key-value store. Meanwhile the lease must not be renewed for a task whose user
		// may already have been notified of the cancellation.
		if slot.Active() && slot.Job.Phase+slot.Job.EndingPhase != "" && !slot.Stopping {
			tt.applyEvents(tt.fleet.Stop(slot, 0), now)
		}
		if slot.Job.Shape == job.Gang && slot.Active() && !slot.Restarted {
			tt.observeGang(slot)
		}
	}
}

// applyEvents handles changes of slots.
func (tt *taskTracker) applyEvents(events []fleet.Event, now time.Time) {
	for _, event := range events {
		tt.requestPlan()
		slot := event.Slot
		if tt.jobTable.isUnidentified(slot.Job) {
			slot.Settled = event.Kind == fleet.Exited
			continue
		}
		if !slot.Machine.Busy() {
			slot.Machine.IdleSince = now
		}
		tt.applyEvent(event, now)
		if slot.Job.Shape == job.Gang && len(slot.Job.Live) == 0 {
			resetGang(slot.Job)
		}
	}
}

// applyEvent handles one change of a slot whose job's record is known.
func (tt *taskTracker) applyEvent(event fleet.Event, now time.Time) {
	slot := event.Slot
	switch event.Kind {
	case fleet.Started:
		tt.taskStarted(slot, now)
	case fleet.Exited:
		tt.taskEnded(slot, slot.Job, slot.Machine, now)
	case fleet.Restarted:
		tt.taskRestarted(slot, now)
	case fleet.TurnedUnhealthy:
		tt.rollouts.recordFailure(slot.Job, slot.Task, slot.Machine.Name)
	case fleet.Lost, fleet.NeverStarted:
		if slot.Job.Shape == job.Gang && slot.Job.GangStarted && !slot.Restarted {
			tt.stopGangAttempt(slot.Job)
		}
	}
}

// taskStarted handles a task that has started: its machine now has the image.
func (tt *taskTracker) taskStarted(slot *fleet.Slot, now time.Time) {
	j := slot.Job
	cacheGB := 0.0
	if machineType := tt.nameIndex.machineType(slot.Machine); machineType != nil {
		cacheGB = machineType.CacheGB
	}
	slot.Machine.UseImage(j.ImageIdx, j.ImageGB, cacheGB)
	if tt.debug {
		tt.log.Debug("task running", "task", job.TaskName(j.ID, slot.Task), "machine", slot.Machine.Name, "since_placement", now.Sub(slot.PlacedAt))
	}
	if j.Shape == job.Gang && !slot.Restarted {
		j.GangStarted = true
	}
}

// taskRestarted stops a task that the worker runs again after its attempt had ended. Only this
// task is stopped: a gang may be running with another attempt.
func (tt *taskTracker) taskRestarted(slot *fleet.Slot, now time.Time) {
	tt.controller.Meter.Add(metrics.TasksRestarted, "", 1)
	tt.log.Warn("worker runs a task again after its attempt had ended, stopping it", "task", job.TaskName(slot.Job.ID, slot.Task),
		"attempt", slot.Attempt, "machine", slot.Machine.Name, "session", slot.Machine.Session, "token", slot.Machine.Token)
	tt.applyEvents(tt.fleet.Stop(slot, 0), now)
}

// taskEnded handles a task that has exited, according to the cause.
func (tt *taskTracker) taskEnded(slot *fleet.Slot, j *job.Job, machine *fleet.Machine, now time.Time) {
	if tt.debug {
		tt.log.Debug("task ended", "task", job.TaskName(j.ID, slot.Task), "machine", machine.Name, "cause", slot.Cause)
	}
	slot.Settled = true
	if j.Phase != "" {
		return
	}
	switch slot.Cause {
	case wire.CauseDone:
		tt.taskDone(slot, j, machine, now)
		return
	case wire.CauseError:
		tt.attributeFailure(j, machine, now)
		tt.rollouts.recordFailure(j, slot.Task, machine.Name)
	case wire.CauseUnknownTask:
		tt.backOffJob(j, now)
	}
	if j.Shape != job.Gang || slot.Restarted || slot.Cause == wire.CauseNoResources {
		return
	}
	if slot.Cause == wire.CauseGangIncomplete && tt.waitsOnlyForImages(j) {
		return
	}
	tt.stopGangAttempt(j)
}

// taskDone handles a task that has completed. Its exit is settled once its result has
// been stored.
func (tt *taskTracker) taskDone(slot *fleet.Slot, j *job.Job, machine *fleet.Machine, now time.Time) {
	machine.TaskFailures = 0
	clear(machine.FailedJobs)
	if !j.HasSucceeded {
		tt.recordFirstSuccess(j)
	}
	tt.checkSpeed(slot, j, machine, now)
	if !slot.RunningSince.IsZero() && !slot.Adopted {
		tt.reservationHolds.taskCompleted(j, now.Sub(slot.RunningSince).Seconds())
	}
	tt.results.addCompleted(slot)
	if j.Shape == job.Service {
		slot.Settled = true // a replica that exits is restarted
		return
	}
	j.MarkDone(slot.Task)
	if j.Shape == job.Gang {
		// The members of a gang complete together, so one exit marks all of them as done.
		for task := range j.Tasks {
			j.MarkDone(int32(task))
		}
	}
	if j.Complete() && j.EndingPhase == "" {
		tt.completions.finish(j, wire.JobDone)
	}
}

// recordFirstSuccess records that a job can succeed. Its backoff ends, and its earlier
// failures now count against the machines on which they occurred.
func (tt *taskTracker) recordFirstSuccess(j *job.Job) {
	j.HasSucceeded = true
	j.Backoff = 0
	j.NotBefore = time.Time{}
	for _, machine := range tt.fleet.All() {
		if machine.FailedJobs[j] {
			tt.quarantineIfFaulty(machine)
		}
	}
}
