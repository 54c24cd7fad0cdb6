package main

import (
	"fmt"
	"sync"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// Sizes and times of the case "limits".
const (
	burstJobs     = 80
	cancelledJobs = 4
	// watchTime is how long the jobs are watched after the limits were lowered.
	watchTime = 80 * time.Second
	// graceTime is how long after its last task has completed a job is certainly expected to be done. The
	// protocol expects it after 3 s.
	graceTime = 45 * time.Second
)

// smallJob returns an array of one or two short tasks, like those of ocrread.
func smallJob(i int) *job.Spec {
	dueS := 120.0
	return &job.Spec{
		ID: fmt.Sprintf("run-%06d", 4000+i), Class: "ocrread", Team: teams[i%len(teams)].Name, ShapeName: job.ArrayName,
		PriorityName: job.StandardName, Tasks: 1 + i%2, CPUs: 1, MemGB: 1.2, Image: "img-07", ImageGB: 0.6, Spot: true,
		EstimateS: 12, DeadlineS: &dueS,
	}
}

// playLimits plays the case "limits": users submit a burst of small jobs, the state service lowers its limits to
// those of state.next, some users cancel their jobs, and the others wait for theirs.
func playLimits(r *run) int {
	var specs []*job.Spec
	accepted := make([]bool, burstJobs)
	var users sync.WaitGroup
	for i := range burstJobs {
		spec := smallJob(i)
		specs = append(specs, spec)
		users.Go(func() { accepted[i] = r.submit(spec) })
	}
	users.Wait()
	for i := range accepted {
		if !accepted[i] {
			r.logf("not run: %s was not accepted before the trouble", specs[i].ID)
			return notRun
		}
	}
	r.state.mu.Lock()
	logged := map[string]bool{}
	r.state.onRefuse = func(reason string, keys []string) {
		if line := fmt.Sprint(reason, keys); !logged[line] {
			logged[line] = true
			r.logf("state service refuses a transaction of %v: %s", keys, reason)
		}
	}
	r.state.mu.Unlock()
	lowered := time.Now()
	if r.trouble {
		r.state.set(nextLimits)
		r.logf("the state service lowers its limits: %+v", nextLimits)
	}
	deadline := lowered.Add(watchTime)
	phases := make([]wire.JobPhase, burstJobs)
	final := make([]bool, burstJobs)
	for i, spec := range specs {
		users.Go(func() {
			if i < cancelledJobs {
				time.Sleep(time.Second)
				phases[i], final[i] = r.abort(spec.ID)
				return
			}
			time.Sleep(time.Duration(i) * pollInterval / burstJobs)
			phases[i], final[i] = r.awaitFinal(spec.ID, deadline)
		})
	}
	users.Wait()
	return r.judgeLimits(specs, phases, final)
}

// judgeLimits judges the answers that the users got.
func (r *run) judgeLimits(specs []*job.Spec, phases []wire.JobPhase, final []bool) int {
	code := held
	for i, spec := range specs {
		if final[i] {
			continue
		}
		if i < cancelledJobs {
			r.logf("BROKEN: the cancellation of %s got no answer within %v", spec.ID, retryLimit)
			code = broken
			continue
		}
		completed, last := r.completedTasks(spec)
		if completed == spec.Tasks && time.Since(last) > graceTime {
			r.logf("BROKEN: %s is called %q %.0f s after its last task has completed", spec.ID, phases[i], time.Since(last).Seconds())
			code = broken
			continue
		}
		r.logf("%s is not over: %d of %d tasks completed", spec.ID, completed, spec.Tasks)
	}
	return code
}

// completedTasks returns how many tasks of a job have completed, and when the last one did.
func (r *run) completedTasks(spec *job.Spec) (completed int, last time.Time) {
	done := map[string]bool{}
	for _, e := range r.events(spec.ID) {
		if !e.Start && e.Cause == wire.CauseDone && !done[e.Task] {
			done[e.Task] = true
			last = e.At
		}
	}
	return len(done), last
}
