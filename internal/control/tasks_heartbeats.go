package control

import (
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// taskTracker follows what becomes of placements: messages, ends, gangs, blame. What is
// on the machines is in the ledger (core.fleet), and what is known of a job in
// the job, so it has no state of its own.
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

// observe takes in a worker's message.
func (wk *taskTracker) observe(h *fleet.Host, m *wire.Report, isHeartbeat bool, now time.Time) (fresh, ok bool) {
	if !h.Known || h.Type < 0 {
		wk.nameIndex.describe(h, m.Type, m.Zone, m.Spot)
	}
	booting, deaf := h.Booting, h.Deaf()
	res := wk.fleet.Observe(h, m, isHeartbeat, now, wk.jobTable.find)
	if res.Deposed {
		wk.log.Info("a worker has seen a later term", "host", h.Name, "seen", m.Token)
		wk.c.Deposed(m.Token)
		return false, false
	}
	wk.hearing(h, deaf)
	if res.Fresh && booting && !h.Booting {
		wk.log.Info("machine is up", "host", h.Name, "after", now.Sub(h.Born).Round(time.Second))
		h.IdleFrom = now
		wk.reservationHolds.machineBooted(h, now.Sub(h.Born))
		wk.changed()
	}
	for _, s := range h.Slots {
		// Also of a job that is not known here. All that was active is loaded, so it is
		// over, or its record cannot be read. Its record is read to know what it takes; in
		// an outage that takes long, and its lease must not be renewed meanwhile for a task
		// whose user may have been told that it is cancelled.
		if s.On() && s.Job.Phase+s.Job.Closing != "" && !s.Stopping {
			wk.handle(wk.fleet.Stop(s, 0), now)
		}
		if s.Job.Shape == job.Gang && s.On() {
			wk.gangSeen(s)
		}
	}
	wk.handle(res.Events, now)
	if h.Fenced && !h.Durable && h.Known && h.Addr != "" && !h.Lost && !h.Releasing {
		wk.registry.enter(h, wk.nameIndex.list()[h.Type].Name, wk.nameIndex.zoneNames()[h.Zone])
	}
	if res.Fresh && !h.RecallAt.IsZero() {
		wk.machinePool.recall(h, now)
	}
	return res.Fresh, true
}

// hearing tells of a machine that has turned deaf, or hears again.
func (wk *taskTracker) hearing(h *fleet.Host, was bool) {
	switch {
	case h.Deaf() && !was:
		wk.log.Info("machine reports and takes in nothing that is sent to it, no more work for now", "host", h.Name)
	case was && !h.Deaf():
		wk.log.Info("machine hears again", "host", h.Name)
		wk.changed()
	}
}

// gangSeen ties a gang to the attempt that a report shows: the number survives
// a change of leader this way.
func (wk *taskTracker) gangSeen(s *fleet.Slot) {
	j := s.Job
	switch {
	case j.GangAttempt == 0:
		j.GangAttempt = s.Attempt
	case j.GangAttempt != s.Attempt:
		wk.breakGang(j)
	}
	if s.Phase == wire.Running || s.Phase == wire.Saving {
		j.GangRan = true
	}
}

func (wk *taskTracker) breakGang(j *job.Job) {
	if !j.GangBroken {
		j.GangBroken = true
		wk.stopAll(j)
	}
}

// stopAll stops every placement of a job without grace.
func (wk *taskTracker) stopAll(j *job.Job) { wk.stopJob(j, 0) }

func (wk *taskTracker) stopJob(j *job.Job, grace float64) {
	now := time.Now()
	for s := range wk.fleet.On(j) {
		wk.handle(wk.fleet.Stop(s, grace), now)
	}
}

// stopSlot stops one placement in good order: a gang is stopped whole, because
// a save needs all its members.
func (wk *taskTracker) stopSlot(s *fleet.Slot, grace float64) {
	if s.Job.Shape == job.Gang {
		s.Job.GangBroken = true
		wk.stopJob(s.Job, grace)
		return
	}
	wk.handle(wk.fleet.Stop(s, grace), time.Now())
}

// saveGrace is the time that a placement gets to save.
func saveGrace(j *job.Job) float64 {
	if j.Checkpoint <= 0 {
		return 0
	}
	return j.SaveS + 1
}

// handle deals with what became of placements.
func (wk *taskTracker) handle(ev []fleet.Event, now time.Time) {
	for _, e := range ev {
		s, j, h := e.Slot, e.Slot.Job, e.Slot.Host
		wk.changed()
		if wk.jobTable.stranger(j) {
			s.Settled = e.Kind == fleet.Ended
			continue
		}
		if !h.Busy() {
			h.IdleFrom = now
		}
		switch e.Kind {
		case fleet.Started:
			cache := 0.0
			if t := wk.nameIndex.typeOf(h); t != nil {
				cache = t.CacheGB
			}
			h.Touch(j.ImageIdx, j.ImageGB, cache)
			if wk.debug {
				wk.log.Debug("task runs", "task", job.TaskName(j.ID, s.Task), "host", h.Name, "after", now.Sub(s.At))
			}
			if j.Shape == job.Gang {
				j.GangRan = true
			}
		case fleet.Ended:
			wk.ended(s, j, h, now)
		case fleet.Sickened:
			wk.rollouts.recordFailure(j, s.Task, h.Name)
		case fleet.Gone, fleet.Never:
			if j.Shape == job.Gang && j.GangRan {
				wk.breakGang(j)
			}
		}
		if j.Shape == job.Gang && len(j.Live) == 0 {
			// Every member has certainly left: the next attempt may be made.
			j.GangAttempt, j.GangBroken, j.GangRan = 0, false, false
		}
	}
}

func (wk *taskTracker) ended(s *fleet.Slot, j *job.Job, h *fleet.Host, now time.Time) {
	if wk.debug {
		wk.log.Debug("task ended", "task", job.TaskName(j.ID, s.Task), "host", h.Name, "cause", s.Cause)
	}
	s.Settled = true
	if j.Phase != "" {
		return
	}
	switch s.Cause {
	case wire.CauseDone:
		h.Errors = 0
		clear(h.ErrorJobs)
		if !j.Worked {
			j.Worked, j.Backoff, j.NotBefore = true, 0, time.Time{}
			for _, o := range wk.fleet.All() {
				if o.ErrorJobs[j] {
					wk.judge(o)
				}
			}
		}
		wk.pace(s, j, h, now)
		if !s.RunAt.IsZero() && !s.Adopted {
			wk.reservationHolds.taskCompleted(j, now.Sub(s.RunAt).Seconds())
		}
		wk.results.add(s)
		if j.Shape == job.Service {
			s.Settled = true // a replica that ends is started again
			return
		}
		j.SetDone(s.Task)
		if j.Shape == job.Gang {
			// The members complete together: one that is done shows it for all.
			for t := range j.Tasks {
				j.SetDone(int32(t))
			}
		}
		if j.Over() && j.Closing == "" {
			wk.completions.finish(j, wire.JobDone)
		}
		return
	case wire.CauseError:
		wk.blame(j, h, now)
		wk.rollouts.recordFailure(j, s.Task, h.Name)
	case wire.CauseNoSuch:
		wk.holdBack(j, now)
	}
	if j.Shape == job.Gang && s.Cause != wire.CauseFull && !(s.Cause == wire.CauseIncomplete && wk.fetching(j)) {
		wk.breakGang(j)
	}
}

// fetching reports whether a gang of which one member has just left waits for nothing
// but images. That member comes back with the same attempt: if all were stopped, the
// fetches would be given up, and a gang one of whose images takes longer than members
// wait would go round like that for ever. With another member without a place the gang
// gives way, so that two halves of gangs do not hold each other's room.
func (wk *taskTracker) fetching(j *job.Job) bool {
	if j.GangBroken || j.GangRan || len(j.Live) != j.Tasks-1 {
		return false
	}
	for s := range wk.fleet.On(j) {
		if s.On() && !s.Stopping && (s.Phase == "" || s.Phase == wire.Pulling) {
			return true
		}
	}
	return false
}
