package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

func init() { cases["lowered"] = loweredLimits }

// levantFacts are the facts of the site levant-claims-grid-next, with its state service, its
// workers and its cloud.
func levantFacts() config.Facts {
	return config.Facts{
		Nodes:  controllers,
		Zones:  []string{"abdali", "sahab", "irbid", "aqaba"},
		SkewMs: 100,
		Teams: []config.Team{
			{Name: "ammanfin", CPUs: 2000, CPUsMax: 10000},
			{Name: "zarqaops", CPUs: 1800, CPUsMax: 4000},
		},
		Workers:   config.Workers{ReportS: 4, LeaseS: 20, GangWaitS: 35, GangPeerS: 6, CancelS: 40},
		State:     config.StateLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 12},
		Cloud:     config.CloudLimits{RPS: 6, ListLagS: 8},
		Resources: config.Resources{CoreShare: 0.24, RAMMB: 179, MaxSockets: 2000},
	}
}

// levantTypes are the machine types of the site.
func levantTypes() []wire.MachineType {
	zones := []string{"abdali", "sahab", "irbid", "aqaba"}
	return []wire.MachineType{
		{Name: "narrow", CPUs: 8, MemGB: 32, CacheGB: 70, FetchRate: 1, Price: 0.3, SpotPrice: 0.07, BootS: 50, Zones: zones},
		{Name: "wide", CPUs: 16, MemGB: 32, CacheGB: 60, FetchRate: 0.4, Price: 0.5, SpotPrice: 0.13, BootS: 25, Zones: zones},
	}
}

// claimJob is a job with one-CPU tasks as of the class ocrread.
func claimJob(n, tasks int, estimateS float64) *job.Spec {
	return &job.Spec{
		ID: fmt.Sprintf("run-%06d", n), Class: "ocrread", Team: "ammanfin", ShapeName: job.ArrayName, PriorityName: job.StandardName,
		Tasks: tasks, CPUs: 1, MemGB: 1.2, Image: "ocr-1", ImageGB: 0.6, Spot: true, EstimateS: estimateS,
	}
}

const (
	burstJobs      = 47               // jobs that arrive together, as at the start of the site's days
	burstRunS      = 25.0             // run time of their tasks
	cancelledJobs  = 3                // jobs among them that their users cancel
	limitsLowerAt  = 8 * time.Second  // after the burst
	observeFor     = 85 * time.Second // after the burst
	expectDoneFor  = 30 * time.Second // a job that is not called done for this long after its last task counts
	expectAbortFor = 60 * time.Second // so does a cancellation without an answer for this long
)

// loweredLimits lowers the limits of the state service as facts.state.next announces, while jobs
// that arrived together run. It checks that each job is called done and each cancellation is
// answered.
func loweredLimits(c *cluster) (broken bool, err error) {
	facts := levantFacts()
	next := "\n[facts.state.next]\nwrite_rps = 56.0\nvalue_kb = 2.0\ntxn_ops = 4\n"
	if err := c.start(facts, levantTypes(), next); err != nil {
		return false, err
	}
	for i := range 8 {
		c.world.Boot("narrow", facts.Zones[i%len(facts.Zones)], false, time.Second)
	}
	time.Sleep(6 * time.Second)
	jobs, err := c.submitTogether()
	if err != nil {
		return false, err
	}
	burst := time.Now()
	c.record.logf("all %d jobs are accepted; the state service has %d records of jobs and %d of groups of jobs",
		len(jobs), c.store.CountKeys(job.ActivePrefix), c.store.CountKeys(job.GroupPrefix))
	time.Sleep(limitsLowerAt)
	if c.trouble {
		lowered := facts.State
		lowered.WriteRPS, lowered.ValueKB, lowered.TxnOps = 56, 2, 4
		c.limits.set(lowered)
		c.record.logf("the state service lowers its limits: values up to 2 KiB, 4 changes a transaction, 56 changes a second")
	}
	answered := make(chan bool, cancelledJobs)
	for i, spec := range jobs[:cancelledJobs] {
		go func() { answered <- c.cancel(i, spec.ID, time.Now().Add(expectAbortFor)) }()
	}
	unfinished := c.pollUntilDone(jobs[cancelledJobs:], burst.Add(observeFor))
	for range cancelledJobs {
		if !<-answered {
			c.record.logf("a cancellation was repeated for %v without an answer", expectAbortFor)
			broken = true
		}
	}
	return c.judgeUnfinished(unfinished) || broken, nil
}

// submitTogether submits the jobs of the burst at the same time, each on its own connection.
func (c *cluster) submitTogether() ([]*job.Spec, error) {
	var jobs []*job.Spec
	errs := make(chan error, burstJobs)
	for i := range burstJobs {
		spec := claimJob(100+i, 1, burstRunS)
		jobs = append(jobs, spec)
		go func() { errs <- c.submit(i, spec) }()
	}
	for range jobs {
		if err := <-errs; err != nil {
			return nil, err
		}
	}
	return jobs, nil
}

// pollUntilDone polls each job every 5 s until it is done or until the end. It returns the jobs
// that no answer called done, with the last answer for each.
func (c *cluster) pollUntilDone(jobs []*job.Spec, end time.Time) map[string]answer {
	var mu sync.Mutex
	unfinished := map[string]answer{}
	var polls sync.WaitGroup
	for i, spec := range jobs {
		polls.Go(func() {
			for n := i; time.Now().Before(end); n++ {
				a := c.poll(c.members[n%controllers], spec.ID)
				mu.Lock()
				unfinished[spec.ID] = a
				if a.code == http.StatusOK && a.status.Phase == wire.JobDone {
					delete(unfinished, spec.ID)
					mu.Unlock()
					return
				}
				mu.Unlock()
				time.Sleep(min(pollPause, time.Until(end)))
			}
		})
	}
	polls.Wait()
	return unfinished
}

// judgeUnfinished reports whether a job whose last task completed long ago was still not called
// done.
func (c *cluster) judgeUnfinished(unfinished map[string]answer) (broken bool) {
	completed := map[string]time.Time{} // the jobs have one task each
	for _, e := range c.world.History() {
		id, _, _ := strings.Cut(e.Task, "/")
		if _, known := completed[id]; !known && !e.Start && e.Cause == wire.CauseDone {
			completed[id] = e.At
		}
	}
	ids := []string{}
	for id := range unfinished {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		at, done := completed[id]
		if !done {
			c.record.logf("job %s: its task has not completed; last answer: %v", id, unfinished[id])
			continue
		}
		late := time.Since(at)
		c.record.logf("job %s: its only task completed %.1f s ago; last answer: %v", id, late.Seconds(), unfinished[id])
		broken = broken || late > expectDoneFor
	}
	return broken
}
