package control

import (
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// taskTracker follows the tasks on the machines: heartbeats, exits and gangs. What is
// on the machines is in the ledger (core.fleet), and what is known of a job in the
// job, so it has no state of its own.
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

// observe applies a worker's report, a heartbeat or the answer to a direct command.
// fresh reports whether it is newer than what was known; ok is false if the worker has
// seen a later term.
func (tt *taskTracker) observe(h *fleet.Machine, m *wire.Heartbeat, isHeartbeat bool, now time.Time) (fresh, ok bool) {
	if !h.Described || h.Type < 0 {
		tt.nameIndex.describeHost(h, m.Type, m.Zone, m.Spot)
	}
	wasBooting := h.Booting
	wasInboundCut := h.InboundCut()
	res := tt.fleet.Observe(h, m, isHeartbeat, now, tt.jobTable.findOrAdd)
	if res.Deposed {
		tt.log.Info("worker has seen a later term", "machine", h.Name, "seen_term", m.Token)
		tt.controller.Deposed(m.Token)
		return false, false
	}
	tt.reachabilityChanged(h, wasInboundCut)
	if res.Fresh && wasBooting && !h.Booting {
		tt.machineUp(h, now)
	}
	tt.observeSlots(h, now)
	tt.applyEvents(res.Events, now)
	if h.Fenced && !h.Registered && h.Described && h.Addr != "" && !h.Lost && !h.Releasing {
		tt.registry.addMachine(h, tt.nameIndex.machineTypes()[h.Type].Name, tt.nameIndex.zoneNames()[h.Zone])
	}
	if res.Fresh && !h.ReclaimAt.IsZero() {
		tt.machinePool.handleSpotNotice(h, now)
	}
	return res.Fresh, true
}

// reachabilityChanged handles a machine that has stopped, or begun again, to receive
// what is sent to it.
func (tt *taskTracker) reachabilityChanged(h *fleet.Machine, wasInboundCut bool) {
	switch {
	case h.InboundCut() && !wasInboundCut:
		tt.log.Info("machine sends heartbeats but receives nothing, no new tasks are placed on it", "machine", h.Name)
	case wasInboundCut && !h.InboundCut():
		tt.log.Info("machine receives messages again", "machine", h.Name)
		tt.requestPlan()
	}
}

// machineUp handles the first heartbeat of a machine that was booting.
func (tt *taskTracker) machineUp(h *fleet.Machine, now time.Time) {
	bootTime := now.Sub(h.AddedAt)
	tt.log.Info("machine is up", "machine", h.Name, "boot_time", bootTime.Round(time.Second))
	h.IdleSince = now
	tt.reservationHolds.machineBooted(h, bootTime)
	tt.requestPlan()
}

// observeSlots stops the tasks on a machine whose jobs are over, and follows the
// attempts of its gangs.
func (tt *taskTracker) observeSlots(h *fleet.Machine, now time.Time) {
	for _, s := range h.Slots {
		// Also tasks of a job that is not known here. All that was active is loaded, so it
		// is over, or its record cannot be read. Its record is read to know what it takes;
		// in an outage that takes long, and its lease must not be renewed meanwhile for a
		// task whose user may have been notified that it is cancelled.
		if s.Active() && s.Job.Phase+s.Job.Closing != "" && !s.Stopping {
			tt.applyEvents(tt.fleet.Stop(s, 0), now)
		}
		if s.Job.Shape == job.Gang && s.Active() {
			tt.observeGang(s)
		}
	}
}

// applyEvents handles what has become of placements.
func (tt *taskTracker) applyEvents(events []fleet.Event, now time.Time) {
	for _, e := range events {
		tt.requestPlan()
		s := e.Slot
		if tt.jobTable.isUnidentified(s.Job) {
			s.Settled = e.Kind == fleet.Exited
			continue
		}
		if !s.Machine.Busy() {
			s.Machine.IdleSince = now
		}
		tt.applyEvent(e, now)
		if s.Job.Shape == job.Gang && len(s.Job.Live) == 0 {
			resetGang(s.Job)
		}
	}
}

// applyEvent handles one event of a job whose record is known.
func (tt *taskTracker) applyEvent(e fleet.Event, now time.Time) {
	s := e.Slot
	switch e.Kind {
	case fleet.Started:
		tt.taskStarted(s, now)
	case fleet.Exited:
		tt.taskEnded(s, s.Job, s.Machine, now)
	case fleet.TurnedUnhealthy:
		tt.rollouts.recordFailure(s.Job, s.Task, s.Machine.Name)
	case fleet.Lost, fleet.NeverStarted:
		if s.Job.Shape == job.Gang && s.Job.GangStarted {
			tt.stopGangAttempt(s.Job)
		}
	}
}

// taskStarted handles a task that runs: its machine has the image.
func (tt *taskTracker) taskStarted(s *fleet.Slot, now time.Time) {
	j := s.Job
	cacheGB := 0.0
	if t := tt.nameIndex.machineType(s.Machine); t != nil {
		cacheGB = t.CacheGB
	}
	s.Machine.UseImage(j.ImageIdx, j.ImageGB, cacheGB)
	if tt.debug {
		tt.log.Debug("task running", "task", job.TaskName(j.ID, s.Task), "machine", s.Machine.Name, "since_placement", now.Sub(s.PlacedAt))
	}
	if j.Shape == job.Gang {
		j.GangStarted = true
	}
}

// taskEnded handles a task that has exited, by its cause.
func (tt *taskTracker) taskEnded(s *fleet.Slot, j *job.Job, h *fleet.Machine, now time.Time) {
	if tt.debug {
		tt.log.Debug("task ended", "task", job.TaskName(j.ID, s.Task), "machine", h.Name, "cause", s.Cause)
	}
	s.Settled = true
	if j.Phase != "" {
		return
	}
	switch s.Cause {
	case wire.CauseDone:
		tt.taskDone(s, j, h, now)
		return
	case wire.CauseError:
		tt.attributeFailure(j, h, now)
		tt.rollouts.recordFailure(j, s.Task, h.Name)
	case wire.CauseUnknownTask:
		tt.backOffJob(j, now)
	}
	if j.Shape != job.Gang || s.Cause == wire.CauseNoResources {
		return
	}
	if s.Cause == wire.CauseGangIncomplete && tt.waitsForImages(j) {
		return
	}
	tt.stopGangAttempt(j)
}

// taskDone handles a task that has completed. Its exit is settled once its result is
// stored.
func (tt *taskTracker) taskDone(s *fleet.Slot, j *job.Job, h *fleet.Machine, now time.Time) {
	h.TaskFailures = 0
	clear(h.FailedJobs)
	if !j.HasSucceeded {
		tt.firstSuccess(j)
	}
	tt.checkSpeed(s, j, h, now)
	if !s.RunningSince.IsZero() && !s.Adopted {
		tt.reservationHolds.taskCompleted(j, now.Sub(s.RunningSince).Seconds())
	}
	tt.results.addCompleted(s)
	if j.Shape == job.Service {
		s.Settled = true // a replica that ends is started again
		return
	}
	j.MarkDone(s.Task)
	if j.Shape == job.Gang {
		// The members complete together: one that is done shows it for all.
		for t := range j.Tasks {
			j.MarkDone(int32(t))
		}
	}
	if j.Complete() && j.Closing == "" {
		tt.completions.finish(j, wire.JobDone)
	}
}

// firstSuccess notes that a job's own work is not at fault: it is no longer held back,
// and its errors count against the machines on which it failed.
func (tt *taskTracker) firstSuccess(j *job.Job) {
	j.HasSucceeded = true
	j.Backoff = 0
	j.NotBefore = time.Time{}
	for _, h := range tt.fleet.All() {
		if h.FailedJobs[j] {
			tt.quarantineIfFaulty(h)
		}
	}
}
