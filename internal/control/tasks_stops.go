package control

import (
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// observeGang binds a gang to the attempt in a worker's report, so that the attempt
// number survives a change of leader. If tasks of two attempts are reported, the gang is
// stopped.
func (tt *taskTracker) observeGang(slot *fleet.Slot) {
	j := slot.Job
	switch {
	case j.GangAttempt == 0:
		j.GangAttempt = slot.Attempt
	case j.GangAttempt != slot.Attempt:
		tt.stopGangAttempt(j)
	}
	if slot.Phase == wire.TaskRunning || slot.Phase == wire.TaskCheckpointing {
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

// resetGang allows the next attempt of a gang. No member may be active.
func resetGang(j *job.Job) {
	j.GangAttempt = 0
	j.GangStopping = false
	j.GangStarted = false
}

// killJob stops all tasks of a job without grace.
func (tt *taskTracker) killJob(j *job.Job) { tt.stopJob(j, 0) }

// stopJob stops all tasks of a job. grace is the time to save a checkpoint, in seconds.
func (tt *taskTracker) stopJob(j *job.Job, grace float64) {
	now := time.Now()
	for slot := range tt.fleet.SlotsOf(j) {
		tt.applyEvents(tt.fleet.Stop(slot, grace), now)
	}
}

// stopSlot stops a task with the given grace, in seconds. A gang is stopped as a whole,
// because a checkpoint needs all its members.
func (tt *taskTracker) stopSlot(slot *fleet.Slot, grace float64) {
	if slot.Job.Shape == job.Gang {
		slot.Job.GangStopping = true
		tt.stopJob(slot.Job, grace)
		return
	}
	tt.applyEvents(tt.fleet.Stop(slot, grace), time.Now())
}

// saveMarginS is added to the time that a task needs to save a checkpoint, in seconds.
const saveMarginS = 1

// saveGrace returns the time that a task of a job is given to save a checkpoint, in
// seconds.
func saveGrace(j *job.Job) float64 {
	if j.CheckpointS <= 0 {
		return 0
	}
	return j.SaveS + saveMarginS
}

// waitsOnlyForImages reports whether a gang of which one member has just exited is only
// waiting for images. Then that member is restarted in the same attempt. Stopping all
// members would abort the image fetches, and a gang with an image that takes longer to
// fetch than members wait for each other would restart forever. If another member has no
// slot either, the attempt is stopped, so that two partly placed gangs do not hold each
// other's capacity.
func (tt *taskTracker) waitsOnlyForImages(j *job.Job) bool {
	if j.GangStopping || j.GangStarted || len(j.Live) != j.Tasks-1 {
		return false
	}
	for slot := range tt.fleet.SlotsOf(j) {
		if slot.Active() && !slot.Stopping && (slot.Phase == "" || slot.Phase == wire.TaskFetching) {
			return true
		}
	}
	return false
}
