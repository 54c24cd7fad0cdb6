package control

import (
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
)

const (
	// minSlowTasks is how many consecutive tasks must be slow before a machine is
	// quarantined, and how many tasks on other machines each one is compared with at
	// least. A task is slow if it takes more than slowFactor times their mean. Machines
	// of one type differ by a tenth; a faulty one can be much slower.
	minSlowTasks = 6
	slowFactor   = 2.0
	// minComparableS is the mean run time on other machines, in seconds, below which
	// tasks are not compared.
	minComparableS = 1
	// minFailedMachines is how many machines a job must have failed on before its
	// failures may be attributed to the job. minFailedJobs is how many jobs must have
	// failed on a machine before it is quarantined although none of them has succeeded on
	// another machine.
	minFailedMachines = 2
	minFailedJobs     = 2
	// A job that keeps failing is delayed by minJobBackoff to maxJobBackoff.
	minJobBackoff = time.Second
	maxJobBackoff = 30 * time.Second
)

// attributeFailure attributes a task's failure to the machine or to the job. It is
// attributed to a job that has failed on several machines and succeeded on none,
// otherwise to the machine.
func (tt *taskTracker) attributeFailure(j *job.Job, machine *fleet.Machine, now time.Time) {
	j.FailedMachines[machine.Name] = true
	if !j.HasSucceeded && len(j.FailedMachines) >= minFailedMachines {
		tt.backOffJob(j, now)
		return
	}
	machine.TaskFailures++
	machine.FailedJobs[j] = true
	tt.quarantineIfFaulty(machine)
}

// quarantineIfFaulty quarantines a machine on which several jobs keep failing, or one job
// that has succeeded on another machine. While a single job that has not succeeded
// elsewhere fails, the job may be the cause, and the machine is only avoided.
func (tt *taskTracker) quarantineIfFaulty(machine *fleet.Machine) {
	worksElsewhere := false
	failingJobs := 0
	for j := range machine.FailedJobs {
		if j.HasSucceeded {
			worksElsewhere = true
		}
		if j.HasSucceeded || len(j.FailedMachines) < minFailedMachines {
			failingJobs++
		}
	}
	if machine.Quarantined || machine.TaskFailures < tt.controller.Tuning.Machines.QuarantineErrors || (!worksElsewhere && failingJobs < minFailedJobs) {
		return
	}
	tt.log.Info("quarantining machine: its tasks keep failing", "machine", machine.Name, "failures", machine.TaskFailures, "jobs", len(machine.FailedJobs))
	machine.Quarantined = true
}

// checkSpeed compares a completed task's run time with those of its job on other
// machines, and quarantines a machine that is much slower.
func (tt *taskTracker) checkSpeed(slot *fleet.Slot, j *job.Job, machine *fleet.Machine, now time.Time) {
	// The start of a task that an earlier leader launched is unknown. Counting only the
	// observed part of its run time would make all other tasks look slow.
	if slot.RunningSince.IsZero() || slot.Adopted {
		return
	}
	runTimeS := now.Sub(slot.RunningSince).Seconds()
	onMachine := j.RunTimesByMachine[machine.Name]
	if tasksElsewhere := j.RunTimeCount - onMachine.Count; tasksElsewhere >= minSlowTasks {
		meanElsewhereS := (j.RunTimeSumS - onMachine.SumS) / float64(tasksElsewhere)
		tt.countSlow(machine, runTimeS, meanElsewhereS)
	}
	j.RecordRunTime(machine.Name, runTimeS)
}

// countSlow counts consecutive slow tasks on a machine and quarantines it if there are
// minSlowTasks. runTimeS is the run time of a completed task, meanElsewhereS the mean run
// time of its job's tasks on other machines.
func (tt *taskTracker) countSlow(machine *fleet.Machine, runTimeS, meanElsewhereS float64) {
	if meanElsewhereS > minComparableS && runTimeS > slowFactor*meanElsewhereS {
		machine.SlowTasks++
	} else {
		machine.SlowTasks = 0
	}
	if machine.SlowTasks >= minSlowTasks && !machine.Quarantined {
		tt.log.Info("quarantining machine: it is much slower than others", "machine", machine.Name, "run_time_s", runTimeS, "mean_elsewhere_s", meanElsewhereS)
		machine.Quarantined = true
	}
}

// backOffJob delays the next placement of a job that keeps failing, with exponential
// backoff.
func (tt *taskTracker) backOffJob(j *job.Job, now time.Time) {
	if now.Before(j.NotBefore) {
		return
	}
	j.Backoff = min(maxJobBackoff, max(minJobBackoff, 2*j.Backoff))
	j.NotBefore = now.Add(j.Backoff)
	tt.log.Info("job keeps failing, delaying its next placement", "job", j.ID, "backoff", j.Backoff, "machines", len(j.FailedMachines))
}
