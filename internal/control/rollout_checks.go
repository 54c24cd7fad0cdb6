package control

import (
	"context"
	"io"
	"math"
	"net/http"
	"net/url"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/rollout"
	"vetchstream/internal/wire"
)

// checker makes the health checks of roll-outs, a bounded number at a time over all
// services: they must not take the sockets that heartbeats and users need.
type checker struct {
	availableChecks int // checks that may be started now
	lastCheck       map[*fleet.Slot]time.Time
}

const (
	// checkTimeout bounds one check.
	checkTimeout = 2 * time.Second
	// maxCheckedOldInstances is how many instances of the old version are checked beside the new
	// ones: they tell a bad build from a checker that reaches nobody.
	maxCheckedOldInstances = 3
	// maxLastChecks bounds the instances whose last check is remembered.
	maxLastChecks = 100_000
	// maxDrainedBytes is how much of a response's body is read, so that its connection can be
	// used again.
	maxDrainedBytes = 4096
	// checkNoAnswer is the result of a check without an answer. The other results are the
	// workers' words on health; empty: the worker knows no checks, or not this instance.
	checkNoAnswer = "none"
)

// checkHealth starts the due checks of the new instances, and of a few old ones.
func (ro *rollouts) checkHealth(s *service, old, next *job.Job, now time.Time) {
	if s.rec.Spec.Check == nil || s.rec.State == rollout.RollingBack {
		return
	}
	if ro.checker.lastCheck == nil || len(ro.checker.lastCheck) > maxLastChecks {
		ro.checker.lastCheck = map[*fleet.Slot]time.Time{}
	}
	if next != nil {
		ro.checkInstances(next, math.MaxInt, &s.rec.Spec, now)
	}
	if old != nil {
		ro.checkInstances(old, maxCheckedOldInstances, &s.rec.Spec, now)
	}
}

// checkInstances starts the due checks of at most limit running instances of a version.
func (ro *rollouts) checkInstances(j *job.Job, limit int, spec *rollout.Spec, now time.Time) {
	interval := time.Duration(spec.CheckIntervalS() * float64(time.Second))
	for s := range ro.fleet.SlotsOf(j) {
		if limit == 0 || ro.checker.availableChecks == 0 {
			return
		}
		if !s.Active() || s.Phase != wire.TaskRunning || s.Machine.Addr == "" {
			continue
		}
		limit--
		if now.Sub(ro.checker.lastCheck[s]) < interval {
			continue
		}
		ro.checker.lastCheck[s] = now
		ro.checker.availableChecks--
		ro.probe(s, spec.Check.Path)
	}
}

// probe makes one check in the background.
func (ro *rollouts) probe(s *fleet.Slot, path string) {
	query := url.Values{"piece": {job.TaskName(s.Job.ID, s.Task)}}
	target := "http://" + s.Machine.Addr + path + "?" + query.Encode()
	go func() {
		result := ro.requestHealth(target)
		ro.enqueue(func() { ro.recordCheck(s, result) })
	}()
}

// requestHealth requests the health of an instance from its worker.
func (ro *rollouts) requestHealth(target string) (result wire.ReplicaHealth) {
	ctx, cancel := context.WithTimeout(ro.ctx, checkTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return checkNoAnswer
	}
	res, err := ro.controller.directClient.Do(req)
	if err != nil {
		return checkNoAnswer
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxDrainedBytes))
	_ = res.Body.Close()
	switch {
	case res.StatusCode == http.StatusNotFound:
		return ""
	case res.StatusCode >= 200 && res.StatusCode < 300:
		return wire.HealthGood
	}
	return wire.HealthBad
}

// recordCheck records the result of a check. A turn from good to bad counts as a failure.
func (ro *rollouts) recordCheck(s *fleet.Slot, result wire.ReplicaHealth) {
	ro.checker.availableChecks++
	if s.Machine.Slots[s.PlacementKey] != s {
		delete(ro.checker.lastCheck, s)
		return
	}
	if s.ProbeHealth == wire.HealthGood && result == wire.HealthBad {
		ro.recordFailure(s.Job, s.Task, s.Machine.Name)
	}
	s.ProbeHealth = result
	s.UpdateHealth(time.Now())
}

// checksUnreachable reports whether the checks reach nobody: of at least two instances that
// were checked, of either version, none has answered. Where no old instance is left, the
// silence of all new ones counts as the checker's.
func (ro *rollouts) checksUnreachable(old, next *job.Job) bool {
	checked, answered := 0, 0
	for _, j := range []*job.Job{old, next} {
		if j == nil {
			continue
		}
		for s := range ro.fleet.SlotsOf(j) {
			switch {
			case s.ProbeHealth == checkNoAnswer:
				checked++
			case s.ProbeHealth != "":
				checked++
				answered++
			}
		}
	}
	return checked > 1 && answered == 0
}
