package control

import (
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/wire"
)

// handleSpotNotice drains a spot machine that the cloud reclaims. It stops the tasks that
// can save a checkpoint before the deadline, and those that are not expected to complete
// before it.
func (mp *machinePool) handleSpotNotice(machine *fleet.Machine, now time.Time) {
	remainingS := machine.ReclaimAt.Sub(now).Seconds()
	if !mp.noticeLogged[machine] {
		mp.log.Info("spot machine is being reclaimed", "machine", machine.Name, "remaining_s", remainingS)
		mp.noticeLogged[machine] = true
	}
	for _, slot := range machine.Slots {
		if !slot.Active() || slot.Stopping {
			continue
		}
		if grace := saveGrace(slot.Job); grace > 0 && remainingS > slot.Job.SaveS {
			mp.taskTracker.stopSlot(slot, grace)
			continue
		}
		if slot.Phase != wire.TaskRunning || remainingEstimate(slot, now) > remainingS {
			mp.taskTracker.stopSlot(slot, 0)
		}
	}
}

// remainingEstimate returns the estimated run time that a task has left, in seconds. It
// is negative if the task exceeds its estimate.
func remainingEstimate(slot *fleet.Slot, now time.Time) float64 {
	if slot.RunningSince.IsZero() {
		return runTimeEstimate(slot.Job)
	}
	return runTimeEstimate(slot.Job) - now.Sub(slot.RunningSince).Seconds()
}
