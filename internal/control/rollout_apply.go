package control

import (
	"slices"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/rollout"
	"vetchstream/internal/wire"
)

// applyRecord lets the planner and the workers follow the stored record.
func (ro *rollouts) applyRecord(s *service, v *rollout.View) {
	desired := rollout.Desired(s.rec, v)
	old, next := ro.versions(s)
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
	if handle := ro.jobTable.identified(s.rec.Handle); handle != nil && handle != old && handle != next {
		ro.applyQuota(handle, func(int) rollout.Placement { return rollout.Placement{} })
	}
	if !s.rec.State.Over() {
		ro.checkHealth(s, old, next, v.Now)
		return
	}
	replaced := next != nil && len(ro.fleet.SlotsOf(next)) == 0
	s.idle = v.Cancelled || next == nil || replaced
	switch {
	case v.Cancelled:
		ro.cancelVersion(old, s.rec.Handle)
		ro.cancelVersion(next, s.rec.Handle)
	case replaced:
		ro.cancelVersion(next, s.rec.Handle)
	}
}

// endCancelledVersions ends the jobs of all versions of a service that its user has cancelled. It
// waits neither for the roll-out's record, which an outage of the key-value store holds up,
// nor until the machines of earlier leaders are reconciled: the tasks have as long to stop
// as those of any cancelled job.
func (ro *rollouts) endCancelledVersions(s *service) {
	handle := ro.jobTable.identified(s.rec.Handle)
	if !jobEnded(handle) {
		return
	}
	var since time.Time // zero: an earlier leader sent the cancellation, nobody knows when
	if handle != nil {
		since = handle.CancelledAt
	}
	for _, id := range []string{s.rec.Current, s.rec.Next} {
		if j := ro.jobTable.identified(id); !jobEnded(j) {
			ro.cancelVersion(j, s.rec.Handle)
			j.CancelledAt = since
		}
	}
}

// cancelVersion ends the job of a version that is not wanted any more. The handle belongs to
// its user, and stays until they cancel it.
func (ro *rollouts) cancelVersion(j *job.Job, handle string) {
	if !jobEnded(j) && j.ID != handle {
		ro.completions.finish(j, wire.JobCancelled)
	}
}

// anyZone is the zone of a replica in a quota that may run in all of them.
const anyZone = -1

// applyQuota sets which replicas of a version may run and in which zone, and stops the
// others.
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
	for s := range ro.fleet.SlotsOf(j) {
		if s.Active() && !s.Stopping && !quota.Allowed[s.Task] {
			ro.taskTracker.stopSlot(s, saveGrace(j))
		}
	}
}
