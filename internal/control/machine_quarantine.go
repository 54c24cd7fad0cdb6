package control

import (
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
)

// attributeFailure decides whether an error is the machine's or the job's. A job that has
// failed on several machines and worked on none is at fault itself; the others'
// errors count against the machine.
func (wk *taskTracker) attributeFailure(j *job.Job, h *fleet.Host, now time.Time) {
	j.ErrorHosts[h.Name] = true
	if !j.Worked && len(j.ErrorHosts) > 1 {
		wk.backOffJob(j, now)
		return
	}
	h.Errors++
	h.ErrorJobs[j] = true
	wk.quarantineIfFaulty(h)
}

// quarantineIfFaulty condemns a machine on which sound work keeps failing: several jobs, or
// one that works elsewhere. One job alone may be at fault itself; until another
// machine has shown that, this one is only avoided.
func (wk *taskTracker) quarantineIfFaulty(h *fleet.Host) {
	sound, jobs := false, 0
	for j := range h.ErrorJobs {
		if j.Worked {
			sound = true
		}
		if j.Worked || len(j.ErrorHosts) < 2 {
			jobs++
		}
	}
	if h.Draining || h.Errors < wk.c.Tuning.Hosts.SickErrors || (!sound && jobs < 2) {
		return
	}
	wk.log.Info("machine fails what it starts, returning it", "host", h.Name, "errors", h.Errors, "jobs", len(h.ErrorJobs))
	h.Draining = true
}

const (
	// minSlowTasks is how many tasks must have run slowly before a machine is held
	// to be faulty, and slowFactor how much longer than elsewhere they took.
	// Machines of a type differ by a tenth; a faulty one can be much slower.
	minSlowTasks = 6
	slowFactor   = 2.0
)

// checkSpeed compares a completed task with its job's others on other machines.
func (wk *taskTracker) checkSpeed(s *fleet.Slot, j *job.Job, h *fleet.Host, now time.Time) {
	// Of a task that an earlier leader launched only the end is known: its short
	// remainder would make all others look slow.
	if s.RunAt.IsZero() || s.Adopted {
		return
	}
	ran := now.Sub(s.RunAt).Seconds()
	if n := j.RunCount - j.RunsOn[h.Name].Count; n >= minSlowTasks {
		mean := (j.RunSum - j.RunsOn[h.Name].Sum) / float64(n)
		if mean > 1 && ran > slowFactor*mean {
			h.Slow++
		} else {
			h.Slow = 0
		}
		if h.Slow >= minSlowTasks && !h.Draining {
			wk.log.Info("machine is far slower than others, returning it", "host", h.Name, "ran", ran, "elsewhere", mean)
			h.Draining = true
		}
	}
	j.Ran(h.Name, ran)
}

// backOffJob makes a job that keeps failing wait, longer each time.
func (wk *taskTracker) backOffJob(j *job.Job, now time.Time) {
	if now.Before(j.NotBefore) {
		return
	}
	j.Backoff = min(30*time.Second, max(time.Second, 2*j.Backoff))
	j.NotBefore = now.Add(j.Backoff)
	wk.log.Info("job fails, holding it back", "job", j.ID, "for", j.Backoff, "hosts", len(j.ErrorHosts))
}
