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

// checker limits the concurrent health checks of all roll-outs, so that they do not use up
// the sockets that heartbeats and user requests need.
type checker struct {
	availableChecks int // further checks that may run concurrently
	lastCheck       map[*fleet.Slot]time.Time
}

const (
	// checkTimeout bounds one check.
	checkTimeout = 2 * time.Second
	// maxCheckedOldInstances is the number of instances of the old version that are checked
	// besides the new ones. They distinguish a bad build from a checker without connectivity.
	maxCheckedOldInstances = 3
	// maxLastChecks bounds the instances with a recorded time of the last check.
	maxLastChecks = 100_000
	// maxDrainedBytes is how much of a response body is read so that the connection can be
	// reused.
	maxDrainedBytes = 4096
	// checkNoAnswer is the result of a check without a response. The other results are the
	// health values of the wire protocol; the result is empty if the worker does not support
	// checks or does not run the instance.
	checkNoAnswer = "none"
)

// checkHealth starts the due checks of all new instances and of a few old ones.
func (ro *rollouts) checkHealth(svc *service, old, next *job.Job, now time.Time) {
	if svc.rec.Spec.Check == nil || svc.rec.State == rollout.RollingBack {
		return
	}
	if ro.checker.lastCheck == nil || len(ro.checker.lastCheck) > maxLastChecks {
		ro.checker.lastCheck = map[*fleet.Slot]time.Time{}
	}
	if next != nil {
		ro.checkInstances(next, math.MaxInt, &svc.rec.Spec, now)
	}
	if old != nil {
		ro.checkInstances(old, maxCheckedOldInstances, &svc.rec.Spec, now)
	}
}

// checkInstances starts the due checks among the first limit running instances of a version.
func (ro *rollouts) checkInstances(j *job.Job, limit int, spec *rollout.Spec, now time.Time) {
	interval := time.Duration(spec.CheckIntervalS() * float64(time.Second))
	for slot := range ro.fleet.SlotsOf(j) {
		if limit == 0 || ro.checker.availableChecks == 0 {
			return
		}
		if !slot.Active() || slot.Phase != wire.TaskRunning || slot.Machine.Addr == "" {
			continue
		}
		limit--
		if now.Sub(ro.checker.lastCheck[slot]) < interval {
			continue
		}
		ro.checker.lastCheck[slot] = now
		ro.checker.availableChecks--
		ro.probe(slot, spec.Check.Path)
	}
}

// probe performs one check in the background.
func (ro *rollouts) probe(slot *fleet.Slot, path string) {
	query := url.Values{"piece": {job.TaskName(slot.Job.ID, slot.Task)}}
	target := "http://" + slot.Machine.Addr + path + "?" + query.Encode()
	go func() {
		result := ro.requestHealth(target)
		ro.enqueue(func() { ro.recordCheck(slot, result) })
	}()
}

// requestHealth requests the health of an instance from its worker.
func (ro *rollouts) requestHealth(target string) (result wire.ReplicaHealth) {
	ctx, cancel := context.WithTimeout(ro.ctx, checkTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return checkNoAnswer
	}
	response, err := ro.controller.directClient.Do(request)
	if err != nil {
		return checkNoAnswer
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainedBytes))
	_ = response.Body.Close()
	switch {
	case response.StatusCode == http.StatusNotFound:
		return ""
	case response.StatusCode >= 200 && response.StatusCode < 300:
		return wire.HealthGood
	}
	return wire.HealthBad
}

// recordCheck records the result of a check. A change from good to bad counts as a failure.
func (ro *rollouts) recordCheck(slot *fleet.Slot, result wire.ReplicaHealth) {
	ro.checker.availableChecks++
	if slot.Machine.Slots[slot.PlacementKey] != slot {
		delete(ro.checker.lastCheck, slot)
		return
	}
	if slot.ProbeHealth == wire.HealthGood && result == wire.HealthBad {
		ro.recordFailure(slot.Job, slot.Task, slot.Machine.Name)
	}
	slot.ProbeHealth = result
	slot.UpdateHealth(time.Now())
}

// checksUnreachable reports whether the checker seems to lack connectivity: at least two
// instances of either version were checked, and none of them responded. If only new instances
// are left and none of them responds, this is attributed to the checker, too.
func (ro *rollouts) checksUnreachable(old, next *job.Job) bool {
	checked, answered := 0, 0
	for _, j := range []*job.Job{old, next} {
		if j == nil {
			continue
		}
		for slot := range ro.fleet.SlotsOf(j) {
			switch {
			case slot.ProbeHealth == checkNoAnswer:
				checked++
			case slot.ProbeHealth != "":
				checked++
				answered++
			}
		}
	}
	return checked > 1 && answered == 0
}
