package control

import (
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/wire"
)

// handleSpotNotice drains a spot machine that the cloud reclaims: it stops the tasks that
// can save a checkpoint in time, and those that are not expected to complete in time.
func (mp *machinePool) handleSpotNotice(h *fleet.Machine, now time.Time) {
	left := h.ReclaimAt.Sub(now).Seconds()
	if !mp.noticeLogged[h] {
		mp.log.Info("spot machine is being reclaimed", "machine", h.Name, "remaining_s", left)
		mp.noticeLogged[h] = true
	}
	for _, s := range h.Slots {
		if !s.Active() || s.Stopping {
			continue
		}
		if grace := saveGrace(s.Job); grace > 0 && left > s.Job.SaveS {
			mp.taskTracker.stopSlot(s, grace)
			continue
		}
		if s.Phase != wire.TaskRunning || remainingEstimate(s, now) > left {
			mp.taskTracker.stopSlot(s, 0)
		}
	}
}

// remainingEstimate returns the part of a task's estimated run time that it has not run yet,
// in seconds; negative if it runs longer than estimated.
func remainingEstimate(s *fleet.Slot, now time.Time) float64 {
	if s.RunningSince.IsZero() {
		return runTimeEstimate(s.Job)
	}
	return runTimeEstimate(s.Job) - now.Sub(s.RunningSince).Seconds()
}
