package control

import (
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// observeGang ties a gang to the attempt that a report shows: the number survives a
// change of leader this way. A second attempt beside it must not go on.
func (tt *taskTracker) observeGang(s *fleet.Slot) {
	j := s.Job
	switch {
	case j.GangAttempt == 0:
		j.GangAttempt = s.Attempt
	case j.GangAttempt != s.Attempt:
		tt.stopGangAttempt(j)
	}
	if s.Phase == wire.TaskRunning || s.Phase == wire.TaskCheckpointing {
		j.GangStarted = true
	}
}

// stopGangAttempt stops all members of a gang's attempt without grace.
func (tt *taskTracker) stopGangAttempt(j *job.Job) {
	if !j.GangStopping {
		j.GangStopping = true
		tt.killJob(j)
	}
}

// resetGang allows a gang's next attempt: every member has certainly left.
func resetGang(j *job.Job) {
	j.GangAttempt = 0
	j.GangStopping = false
	j.GangStarted = false
}

// killJob stops every placement of a job without grace.
func (tt *taskTracker) killJob(j *job.Job) { tt.stopJob(j, 0) }

// stopJob stops every placement of a job; grace is the time to save, in seconds.
func (tt *taskTracker) stopJob(j *job.Job, grace float64) {
	now := time.Now()
	for s := range tt.fleet.SlotsOf(j) {
		tt.applyEvents(tt.fleet.Stop(s, grace), now)
	}
}

// stopSlot stops one placement in good order: a gang is stopped whole, because a
// save needs all its members.
func (tt *taskTracker) stopSlot(s *fleet.Slot, grace float64) {
	if s.Job.Shape == job.Gang {
		s.Job.GangStopping = true
		tt.stopJob(s.Job, grace)
		return
	}
	tt.applyEvents(tt.fleet.Stop(s, grace), time.Now())
}

// saveMarginS is added to the time that a task needs to save, in seconds.
const saveMarginS = 1

// saveGrace is the time that a placement gets to save, in seconds.
func saveGrace(j *job.Job) float64 {
	if j.CheckpointS <= 0 {
		return 0
	}
	return j.SaveS + saveMarginS
}

// waitsOnlyForImages reports whether a gang of which one member has just left waits for
// nothing but images. That member comes back with the same attempt: if all were
// stopped, the fetches would be given up, and a gang one of whose images takes longer
// than members wait would restart again and again. With another member without a
// placement the attempt is stopped, so that two halves of gangs do not hold each
// other's capacity.
func (tt *taskTracker) waitsOnlyForImages(j *job.Job) bool {
	if j.GangStopping || j.GangStarted || len(j.Live) != j.Tasks-1 {
		return false
	}
	for s := range tt.fleet.SlotsOf(j) {
		if s.Active() && !s.Stopping && (s.Phase == "" || s.Phase == wire.TaskFetching) {
			return true
		}
	}
	return false
}
