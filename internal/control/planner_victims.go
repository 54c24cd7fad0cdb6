package control

import (
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/place"
)

const (
	// restartCostS is the time, in seconds, that a preempted task with checkpoints loses,
	// and that each member of a preempted gang loses: saving a checkpoint, a new
	// placement, fetching the image and, for a gang, waiting for a common start.
	restartCostS = 15
	// taskOverrunDivisor: a task that exceeds its estimated run time is expected to run
	// for another 1/taskOverrunDivisor of the estimate.
	taskOverrunDivisor = 5
)

// addVictims adds a machine's tasks that may be preempted.
func (p *planInput) addVictims(candidate *place.Machine, machine *fleet.Machine) {
	for _, slot := range machine.Slots {
		if !slot.Active() || slot.Stopping || !slot.LaunchSent || slot.Job.EndingPhase != "" || slot.Job.Phase != "" {
			continue
		}
		candidate.Victims = append(candidate.Victims, place.Victim{
			ID:             len(p.victimSlots),
			Priority:       slot.Job.Priority,
			Team:           slot.Job.TeamIdx,
			Need:           taskRequirements(slot.Job),
			Released:       releasedByPreemption(slot.Job),
			LossCPUSeconds: preemptionLoss(slot, p.now),
			RemainingS:     remainingSeconds(slot, p.now),
			Late:           p.isLate(slot.Job),
		})
		p.victimSlots = append(p.victimSlots, slot)
	}
}

// releasedByPreemption returns the resources that preempting one task of a job releases.
// A gang is stopped as a whole.
func releasedByPreemption(j *job.Job) place.Resources {
	need := taskRequirements(j)
	if j.Shape != job.Gang {
		return need
	}
	members := float64(j.Tasks)
	return place.Resources{
		CPUs:  members * need.CPUs,
		GPUs:  members * need.GPUs,
		MemGB: members * need.MemGB,
	}
}

// preemptionLoss returns the work that is lost if a task is preempted, in CPU seconds. A
// gang is stopped as a whole, so all members lose their time even if this member has not
// run yet.
func preemptionLoss(slot *fleet.Slot, now time.Time) float64 {
	switch {
	case slot.Job.Shape == job.Gang:
		return restartCostS * slot.Job.CPUs * float64(slot.Job.Tasks)
	case slot.RunningSince.IsZero():
		return 0
	case slot.Job.CheckpointS > 0:
		return min(restartCostS, now.Sub(slot.RunningSince).Seconds()) * slot.Job.CPUs
	}
	return now.Sub(slot.RunningSince).Seconds() * slot.Job.CPUs
}

// remainingSeconds returns the expected time until a task completes, in seconds.
func remainingSeconds(slot *fleet.Slot, now time.Time) float64 {
	estimate := runTimeEstimate(slot.Job)
	if slot.RunningSince.IsZero() {
		return estimate
	}
	return max(estimate/taskOverrunDivisor, estimate-now.Sub(slot.RunningSince).Seconds())
}

// isLate reports whether a job will miss its objective unless it starts within
// lateMarginS.
func (p *planInput) isLate(j *job.Job) bool {
	late, known := p.lateJobs[j]
	if !known {
		late = p.jobTable.latestStart(j)-p.now.Sub(p.termStart).Seconds() < lateMarginS
		p.lateJobs[j] = late
	}
	return late
}
