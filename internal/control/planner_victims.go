package control

import (
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/place"
)

const (
	// restartCostS is what a task with checkpoints loses when it is stopped, and a gang for each of
	// its members: saving, a new placement, the image and a common start, in seconds.
	restartCostS = 15
	// taskOverrunDivisor: a task that runs longer than expected is expected to go on for one in
	// taskOverrunDivisor of its estimate.
	taskOverrunDivisor = 5
)

// addVictims adds the tasks on a machine that may be preempted.
func (p *planInput) addVictims(m *place.Machine, h *fleet.Machine) {
	for _, s := range h.Slots {
		if !s.Active() || s.Stopping || !s.LaunchSent || s.Job.Closing != "" || s.Job.Phase != "" {
			continue
		}
		m.Victims = append(m.Victims, place.Victim{
			ID:             len(p.victimSlots),
			Priority:       s.Job.Priority,
			Team:           s.Job.TeamIdx,
			Need:           needOf(s.Job),
			Released:       releasedByPreemption(s.Job),
			LossCPUSeconds: preemptionLoss(s, p.now),
			RemainingS:     remainingSeconds(s, p.now),
			Late:           p.isLate(s.Job),
		})
		p.victimSlots = append(p.victimSlots, s)
	}
}

// releasedByPreemption returns what is stopped with a task of a job: a gang stops whole.
func releasedByPreemption(j *job.Job) place.Resources {
	need := needOf(j)
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

// preemptionLoss returns the work that stopping a task throws away, in CPU seconds. A gang
// stops whole: even where a member itself has not run yet, all members lose their time.
func preemptionLoss(s *fleet.Slot, now time.Time) float64 {
	switch {
	case s.Job.Shape == job.Gang:
		return restartCostS * s.Job.CPUs * float64(s.Job.Tasks)
	case s.RunningSince.IsZero():
		return 0
	case s.Job.CheckpointS > 0:
		return min(restartCostS, now.Sub(s.RunningSince).Seconds()) * s.Job.CPUs
	}
	return now.Sub(s.RunningSince).Seconds() * s.Job.CPUs
}

// remainingSeconds returns in how many seconds a task is expected to complete.
func remainingSeconds(s *fleet.Slot, now time.Time) float64 {
	run := runTimeEstimate(s.Job)
	if s.RunningSince.IsZero() {
		return run
	}
	return max(run/taskOverrunDivisor, run-now.Sub(s.RunningSince).Seconds())
}

// isLate reports whether a job misses its objective unless it starts very soon.
func (p *planInput) isLate(j *job.Job) bool {
	late, known := p.lateJobs[j]
	if !known {
		late = p.jobTable.latestStart(j)-p.now.Sub(p.termStart).Seconds() < lateMarginS
		p.lateJobs[j] = late
	}
	return late
}
