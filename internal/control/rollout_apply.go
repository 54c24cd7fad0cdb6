package control

import (
	"slices"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/rollout"
	"vetchstream/internal/wire"
)

// applyRecord puts the stored record into effect: it sets the replica quotas of the versions,
// starts health checks, and ends the jobs of versions that are no longer needed.
func (ro *rollouts) applyRecord(svc *service, view *rollout.View) {
	desired := rollout.Desired(svc.rec, view)
	old, next := ro.versions(svc)
	if old != nil {
		ro.applyQuota(old, func(i int) rollout.Placement {
			return rollout.Placement{Wanted: i < len(desired.Old) && desired.Old[i]}
		})
	}
	if next != nil {
		ro.applyQuota(next, func(i int) rollout.Placement {
			if i >= len(desired.New) {
				return rollout.Placement{}
			}
			return desired.New[i]
		})
	}
	if handle := ro.jobTable.identified(svc.rec.Handle); handle != nil && handle != old && handle != next {
		ro.applyQuota(handle, func(int) rollout.Placement { return rollout.Placement{} })
	}
	if !svc.rec.State.Ended() {
		ro.checkHealth(svc, old, next, view.Now)
		return
	}
	replaced := next != nil && len(ro.fleet.SlotsOf(next)) == 0
	svc.idle = view.Cancelled || next == nil || replaced
	switch {
	case view.Cancelled:
		ro.cancelVersion(old, svc.rec.Handle)
		ro.cancelVersion(next, svc.rec.Handle)
	case replaced:
		ro.cancelVersion(next, svc.rec.Handle)
	}
}

// endCancelledVersions ends the jobs of all versions of a service that its user has
// cancelled. It waits neither for the roll-out's record, whose storing an outage of the
// key-value store may delay, nor for the reconciliation of the machines of earlier leaders,
// so that the tasks must stop within the same time as those of any cancelled job.
func (ro *rollouts) endCancelledVersions(svc *service) {
	handle := ro.jobTable.identified(svc.rec.Handle)
	if !jobEnded(handle) {
		return
	}
	var since time.Time // zero if an earlier leader sent the cancellation at an unknown time
	if handle != nil {
		since = handle.CancelledAt
	}
	for _, id := range []string{svc.rec.Current, svc.rec.Next} {
		if j := ro.jobTable.identified(id); !jobEnded(j) {
			ro.cancelVersion(j, svc.rec.Handle)
			j.CancelledAt = since
		}
	}
}

// cancelVersion ends the job of a version that is no longer needed. It does not end the
// handle, which exists until its user cancels it.
func (ro *rollouts) cancelVersion(j *job.Job, handle string) {
	if !jobEnded(j) && j.ID != handle {
		ro.completions.finish(j, wire.JobCancelled)
	}
}

// anyZone is the zone index of a replica that may run in any zone.
const anyZone = -1

// applyQuota sets which replicas of a version may run, and in which zones. It stops the other
// replicas.
func (ro *rollouts) applyQuota(j *job.Job, desired func(replica int) rollout.Placement) {
	quota := &job.ReplicaPlan{
		Allowed: make([]bool, j.Tasks),
		Zone:    make([]int, j.Tasks),
	}
	for i := range j.Tasks {
		placement := desired(i)
		quota.Allowed[i] = placement.Wanted
		quota.Zone[i] = anyZone
		if placement.Zone != "" {
			quota.Zone[i] = ro.nameIndex.zoneIndex(placement.Zone)
		}
	}
	if j.Replicas == nil || !slices.Equal(j.Replicas.Allowed, quota.Allowed) {
		ro.requestPlan()
	}
	j.Replicas = quota
	for slot := range ro.fleet.SlotsOf(j) {
		if slot.Active() && !slot.Stopping && !quota.Allowed[slot.Task] {
			ro.taskTracker.stopSlot(slot, saveGrace(j))
		}
	}
}
