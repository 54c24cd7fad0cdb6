package control

import (
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
)

// blame decides whether an error is the machine's or the job's. A job that has
// failed on several machines and worked on none is at fault itself; the others'
// errors count against the machine.
func (tt *taskTracker) blame(j *job.Job, h *fleet.Host, now time.Time) {
	j.FailedMachines[h.Name] = true
	if !j.HasSucceeded && len(j.FailedMachines) > 1 {
		tt.holdBack(j, now)
		return
	}
	h.Errors++
	h.ErrorJobs[j] = true
	tt.judge(h)
}

// judge condemns a machine on which sound work keeps failing: several jobs, or
// one that works elsewhere. One job alone may be at fault itself; until another
// machine has shown that, this one is only avoided.
func (tt *taskTracker) judge(h *fleet.Host) {
	sound, jobs := false, 0
	for j := range h.ErrorJobs {
		if j.HasSucceeded {
			sound = true
		}
		if j.HasSucceeded || len(j.FailedMachines) < 2 {
			jobs++
		}
	}
	if h.Draining || h.Errors < tt.controller.Tuning.Hosts.SickErrors || (!sound && jobs < 2) {
		return
	}
	tt.log.Info("machine fails what it starts, returning it", "host", h.Name, "errors", h.Errors, "jobs", len(h.ErrorJobs))
	h.Draining = true
}

const (
	// slowTasks is how many tasks must have run slowly before a machine is held
	// to be faulty, and slowFactor how much longer than elsewhere they took.
	// Machines of a type differ by a tenth; a faulty one can be much slower.
	slowTasks  = 6
	slowFactor = 2.0
)

// pace compares a completed task with its job's others on other machines.
func (tt *taskTracker) pace(s *fleet.Slot, j *job.Job, h *fleet.Host, now time.Time) {
	// Of a task that an earlier leader launched only the end is known: its short
	// remainder would make all others look slow.
	if s.RunAt.IsZero() || s.Adopted {
		return
	}
	ran := now.Sub(s.RunAt).Seconds()
	if n := j.RunTimeCount - j.RunTimesByMachine[h.Name].Count; n >= slowTasks {
		mean := (j.RunTimeSumS - j.RunTimesByMachine[h.Name].SumS) / float64(n)
		if mean > 1 && ran > slowFactor*mean {
			h.Slow++
		} else {
			h.Slow = 0
		}
		if h.Slow >= slowTasks && !h.Draining {
			tt.log.Info("machine is far slower than others, returning it", "host", h.Name, "ran", ran, "elsewhere", mean)
			h.Draining = true
		}
	}
	j.RecordRunTime(h.Name, ran)
}

// holdBack makes a job that keeps failing wait, longer each time.
func (tt *taskTracker) holdBack(j *job.Job, now time.Time) {
	if now.Before(j.NotBefore) {
		return
	}
	j.Backoff = min(30*time.Second, max(time.Second, 2*j.Backoff))
	j.NotBefore = now.Add(j.Backoff)
	tt.log.Info("job fails, holding it back", "job", j.ID, "for", j.Backoff, "hosts", len(j.FailedMachines))
}
