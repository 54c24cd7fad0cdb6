package control

import (
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
)

const (
	// minSlowTasks is how many tasks in a row must have run slowly before a machine counts as
	// faulty, and how many others each is compared with. slowFactor is how much longer than
	// those it must have taken. Machines of a type differ by a tenth; a faulty one can be much
	// slower.
	minSlowTasks = 6
	slowFactor   = 2.0
	// minComparableS is the mean run time, in seconds, that others must have to be compared
	// with.
	minComparableS = 1
	// minFailedMachines is on how many machines a job must have failed before the fault may be
	// its own, and minFailedJobs how many jobs must have failed on a machine before the fault
	// is the machine's although none of them has worked elsewhere.
	minFailedMachines = 2
	minFailedJobs     = 2
	// A job that goes on failing waits between minJobBackoff and maxJobBackoff.
	minJobBackoff = time.Second
	maxJobBackoff = 30 * time.Second
)

// attributeFailure decides whether a failed task is the machine's fault or the job's. A job
// that has failed on several machines and worked on none is at fault itself; the failures of
// others count against the machine.
func (tt *taskTracker) attributeFailure(j *job.Job, h *fleet.Machine, now time.Time) {
	j.FailedMachines[h.Name] = true
	if !j.HasSucceeded && len(j.FailedMachines) >= minFailedMachines {
		tt.backOffJob(j, now)
		return
	}
	h.TaskFailures++
	h.FailedJobs[j] = true
	tt.quarantineIfFaulty(h)
}

// quarantineIfFaulty quarantines a machine on which several jobs keep failing, or one that works
// elsewhere. One job alone may be at fault itself; until another machine has shown that, the
// machine is only avoided.
func (tt *taskTracker) quarantineIfFaulty(h *fleet.Machine) {
	worksElsewhere := false
	jobs := 0
	for j := range h.FailedJobs {
		if j.HasSucceeded {
			worksElsewhere = true
		}
		if j.HasSucceeded || len(j.FailedMachines) < minFailedMachines {
			jobs++
		}
	}
	if h.Quarantined || h.TaskFailures < tt.controller.Tuning.Machines.QuarantineErrors || (!worksElsewhere && jobs < minFailedJobs) {
		return
	}
	tt.log.Info("quarantining a machine: its tasks keep failing", "machine", h.Name, "failures", h.TaskFailures, "jobs", len(h.FailedJobs))
	h.Quarantined = true
}

// checkSpeed compares a completed task with those of its job on other machines, and quarantines a
// machine that is far slower.
func (tt *taskTracker) checkSpeed(s *fleet.Slot, j *job.Job, h *fleet.Machine, now time.Time) {
	// Of a task that an earlier leader launched only the end is known: its short remainder
	// would make all others look slow.
	if s.RunningSince.IsZero() || s.Adopted {
		return
	}
	ran := now.Sub(s.RunningSince).Seconds()
	here := j.RunTimesByMachine[h.Name]
	if others := j.RunTimeCount - here.Count; others >= minSlowTasks {
		mean := (j.RunTimeSumS - here.SumS) / float64(others)
		tt.countSlow(h, ran, mean)
	}
	j.RecordRunTime(h.Name, ran)
}

// countSlow counts a task that ran for ran seconds on a machine, against a mean of others on
// other machines, and quarantines the machine if it is far slower.
func (tt *taskTracker) countSlow(h *fleet.Machine, ran, mean float64) {
	if mean > minComparableS && ran > slowFactor*mean {
		h.SlowTasks++
	} else {
		h.SlowTasks = 0
	}
	if h.SlowTasks >= minSlowTasks && !h.Quarantined {
		tt.log.Info("quarantining a machine: it is much slower than others", "machine", h.Name, "run_time_s", ran, "mean_elsewhere_s", mean)
		h.Quarantined = true
	}
}

// backOffJob makes a job that goes on failing wait, longer each time.
func (tt *taskTracker) backOffJob(j *job.Job, now time.Time) {
	if now.Before(j.NotBefore) {
		return
	}
	j.Backoff = min(maxJobBackoff, max(minJobBackoff, 2*j.Backoff))
	j.NotBefore = now.Add(j.Backoff)
	tt.log.Info("job fails repeatedly, backing off", "job", j.ID, "backoff", j.Backoff, "machines", len(j.FailedMachines))
}
