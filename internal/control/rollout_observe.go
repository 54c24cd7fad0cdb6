package control

import (
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/rollout"
	"vetchstream/internal/wire"
)

// unavailableZones returns the zones that have machines, but none that can accept tasks.
func (ro *rollouts) unavailableZones(now time.Time) map[string]bool {
	zones := ro.nameIndex.zoneNames()
	populated := make([]bool, len(zones))
	available := make([]bool, len(zones))
	limit := ro.silenceLimit()
	for _, machine := range ro.fleet.All() {
		if machine.Zone < 0 || machine.Booting {
			continue
		}
		populated[machine.Zone] = true
		available[machine.Zone] = available[machine.Zone] || (machine.Usable() && machine.SinceLastReport(now) < limit)
	}
	unavailable := map[string]bool{}
	for i, zone := range zones {
		if populated[i] && !available[i] {
			unavailable[zone] = true
		}
	}
	return unavailable
}

// maxSilentHeartbeats is the silence limit in heartbeat intervals. It applies if it is longer
// than half of the workers' lease.
const maxSilentHeartbeats = 2.5

// silenceLimit returns the time without heartbeats after which the instances on a machine
// count as lost.
func (ro *rollouts) silenceLimit() time.Duration {
	workers := ro.controller.Settings.Facts.Workers
	return config.Seconds(max(maxSilentHeartbeats*workers.ReportS, workers.LeaseS/2))
}

// observe returns the current view of a service's instances.
func (ro *rollouts) observe(svc *service, unavailable map[string]bool, now time.Time) *rollout.View {
	old, next := ro.versions(svc)
	view := &rollout.View{
		Now:              now,
		UnavailableZones: unavailable,
		Old:              ro.instances(old, now),
		New:              ro.instances(next, now),
	}
	view.Cancelled = jobEnded(ro.jobTable.identified(svc.rec.Handle)) || jobEnded(old)
	view.ChecksUnreachable = svc.rec.Spec.Check != nil && ro.checksUnreachable(old, next)
	if missing := len(view.Old) - len(view.New); missing > 0 {
		view.New = append(view.New, make([]rollout.Instance, missing)...)
	}
	return view
}

// versions returns the jobs of a service's current and next version. A job is nil if it is
// unknown.
func (ro *rollouts) versions(svc *service) (old, next *job.Job) {
	return ro.jobTable.identified(svc.rec.Current), ro.jobTable.identified(svc.rec.Next)
}

// jobEnded reports whether a job has ended, is ending, or is unknown.
func jobEnded(j *job.Job) bool { return j == nil || j.Phase+j.EndingPhase != "" }

// instances returns the instances of a version, indexed by replica.
func (ro *rollouts) instances(j *job.Job, now time.Time) []rollout.Instance {
	if j == nil {
		return nil
	}
	instances := make([]rollout.Instance, j.Tasks)
	for slot := range ro.fleet.SlotsOf(j) {
		if slot.Active() {
			ro.observeInstance(&instances[slot.Task], slot, now)
		}
	}
	return instances
}

// observeInstance adds the observed state of one placement to a replica's instance.
func (ro *rollouts) observeInstance(instance *rollout.Instance, slot *fleet.Slot, now time.Time) {
	machine := slot.Machine
	instance.Live = true
	instance.Lost = instance.Lost || machine.Lost || machine.Quarantined || machine.Releasing || !machine.ReclaimAt.IsZero() || machine.SinceLastReport(now) > ro.silenceLimit()
	if slot.Phase != wire.TaskRunning || slot.Stopping {
		return
	}
	instance.Running = true
	instance.Health = health(slot)
	if !slot.RunningSince.IsZero() {
		instance.SinceS = now.Sub(slot.RunningSince).Seconds()
	}
	if !slot.UnhealthySince.IsZero() {
		instance.UnhealthyS = now.Sub(slot.UnhealthySince).Seconds()
	}
}

// health combines the health that the worker reports with the result of the last check. An
// instance is unhealthy if either of them is bad, and healthy if one is good and the other
// is not bad.
func health(slot *fleet.Slot) rollout.Health {
	switch {
	case slot.Health == wire.HealthBad || slot.ProbeHealth == wire.HealthBad:
		return rollout.Unhealthy
	case slot.Health == wire.HealthGood || slot.ProbeHealth == wire.HealthGood:
		return rollout.Healthy
	}
	return rollout.Unknown
}
