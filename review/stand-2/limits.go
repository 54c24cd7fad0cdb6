package main

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
	"vetchstream/review/stand-2/site"
)

const (
	// limitsJobs is the number of jobs that end by themselves, and of those that are cancelled.
	limitsJobs = 16
	// shortRunS and longRunS are the run times of their tasks.
	shortRunS = 12
	longRunS  = 600
	// doneWithin is how long after the end of its task a job may be called unfinished here. The protocol
	// allows 3 s.
	doneWithin = 30 * time.Second
)

// runLimits lowers the limits of the state service while accepted jobs run. Some of them end, the
// others are cancelled.
func runLimits(r *record, trouble bool) (int, error) {
	facts := site.Facts()
	next := facts.State
	next.ValueKB = 2
	next.TxnOps = 4
	next.WriteRPS = 56
	s, err := startSite(&site.Options{Facts: facts, NextState: &next, Machines: 12, MaxMachines: 28, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return failed, err
	}
	defer s.Close()
	s.World.RecordHistory()
	time.Sleep(3 * time.Second) // the workers' first reports
	u := &users{record: r, site: s}
	short, long := submitBurst(u)
	if short == nil {
		return failed, fmt.Errorf("the jobs were not accepted")
	}
	r.note("largest values stored so far: g/ %d bytes, j/ %d bytes", s.Store.Largest("g/"), s.Store.Largest("j/"))
	ended := watchEnds(r, s)
	if trouble {
		s.Store.SetLimits(next)
		r.note("the state service lowers its limits: value_kb %.0f, txn_ops %d, write_rps %.0f", next.ValueKB, next.TxnOps, next.WriteRPS)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var violations []string
	violated := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		violations = append(violations, fmt.Sprintf(format, args...))
	}
	for _, spec := range long {
		wg.Go(func() {
			if phase := u.abort(spec); phase != wire.JobCancelled {
				violated("abort of %s: no answer 200 with aborted or done within %v", spec.ID, retryTime)
			}
		})
	}
	for _, spec := range short {
		wg.Go(func() {
			at := <-ended[spec.ID]
			if phase := u.awaitDone(spec, at.Add(doneWithin)); phase != wire.JobDone {
				violated("%s: its only task was done %.0f s ago, and it is called %q", spec.ID, time.Since(at).Seconds(), phase)
			}
		})
	}
	wg.Wait()
	noteHistory(r, s)
	noteRejected(r, s)
	for _, violation := range append(violations, s.World.Violations()...) {
		r.note("RULE BROKEN: %s", violation)
	}
	if len(violations) > 0 || len(s.World.Violations()) > 0 {
		return broken, nil
	}
	return held, nil
}

// submitBurst submits all jobs at the same time. It returns nil if not all of them were accepted.
func submitBurst(u *users) (short, long []*job.Spec) {
	var wg sync.WaitGroup
	accepted := make([]bool, 2*limitsJobs)
	for i := range 2 * limitsJobs {
		spec := array(4000+i, 1, shortRunS)
		if i%2 == 1 {
			spec.EstimateS = longRunS
			long = append(long, spec)
		} else {
			short = append(short, spec)
		}
		wg.Go(func() { accepted[i] = u.submit(spec) })
	}
	wg.Wait()
	for _, ok := range accepted {
		if !ok {
			return nil, nil
		}
	}
	return short, long
}

// watchEnds returns, for each job of the burst, a channel that gets the time at which its task was done.
func watchEnds(r *record, s *site.Site) map[string]chan time.Time {
	ended := map[string]chan time.Time{}
	for i := range 2 * limitsJobs {
		ended[array(4000+i, 1, 0).ID] = make(chan time.Time, 1)
	}
	s.World.OnLastTaskDone(func(spec *job.Spec) {
		r.note("worker: the last task of %s is done", spec.ID)
		select {
		case ended[spec.ID] <- time.Now():
		default:
		}
	})
	return ended
}

// noteRejected notes which transactions the state service rejected, and what the controllers log about it.
func noteRejected(r *record, s *site.Site) {
	for key, count := range s.Store.Rejected() {
		r.note("rejected by the state service as too large: %d transactions that write %s first", count, key)
	}
	for _, controller := range s.Controllers {
		for _, line := range controller.Log("rejected") {
			r.note("log of %s: %s", controller.Member, strings.TrimSpace(line))
		}
	}
}
