package control

import (
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/place"
)

const (
	// restartS is what a task with checkpoints loses when it is stopped, and a gang for each of
	// its members: saving, a new placement, the image and a common start, in seconds.
	restartS = 15
	// overrunShare: a task that runs longer than expected is expected to go on for one in
	// overrunShare of its estimate.
	overrunShare = 5
)

// addVictims adds the tasks on a machine that may be preempted.
func (p *planInput) addVictims(m *place.Machine, h *fleet.Machine) {
	for _, s := range h.Slots {
		if !s.Active() || s.Stopping || !s.LaunchSent || s.Job.Closing != "" || s.Job.Phase != "" {
			continue
		}
		m.Victims = append(m.Victims, place.Victim{
			ID:             len(p.slots),
			Priority:       s.Job.Priority,
			Team:           s.Job.TeamIdx,
			Need:           taskRequirements(s.Job),
			Released:       releasedWith(s.Job),
			LossCPUSeconds: preemptionLoss(s, p.now),
			RemainingS:     remainingSeconds(s, p.now),
			Late:           p.isLate(s.Job),
		})
		p.slots = append(p.slots, s)
	}
}

// releasedWith returns what is stopped with a task of a job: a gang stops whole.
func releasedWith(j *job.Job) place.Resources {
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

// preemptionLoss returns the work that stopping a task throws away, in CPU seconds. A gang
// stops whole: even where a member itself has not run yet, all members lose their time.
func preemptionLoss(s *fleet.Slot, now time.Time) float64 {
	switch {
	case s.Job.Shape == job.Gang:
		return restartS * s.Job.CPUs * float64(s.Job.Tasks)
	case s.RunningSince.IsZero():
		return 0
	case s.Job.CheckpointS > 0:
		return min(restartS, now.Sub(s.RunningSince).Seconds()) * s.Job.CPUs
	}
	return now.Sub(s.RunningSince).Seconds() * s.Job.CPUs
}

// remainingSeconds returns in how many seconds a task is expected to complete.
func remainingSeconds(s *fleet.Slot, now time.Time) float64 {
	run := runTimeEstimate(s.Job)
	if s.RunningSince.IsZero() {
		return run
	}
	return max(run/overrunShare, run-now.Sub(s.RunningSince).Seconds())
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
