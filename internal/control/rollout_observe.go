package control

import (
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/rollout"
	"vetchstream/internal/wire"
)

// unavailableZones are the zones that have machines, but none that can take work.
func (ro *rollouts) unavailableZones(now time.Time) map[string]bool {
	zones := ro.nameIndex.zoneNames()
	populated := make([]bool, len(zones))
	available := make([]bool, len(zones))
	limit := ro.silenceLimit()
	for _, h := range ro.fleet.All() {
		if h.Zone < 0 || h.Booting {
			continue
		}
		populated[h.Zone] = true
		available[h.Zone] = available[h.Zone] || (h.Usable() && h.SinceLastReport(now) < limit)
	}
	unavailable := map[string]bool{}
	for i, zone := range zones {
		if populated[i] && !available[i] {
			unavailable[zone] = true
		}
	}
	return unavailable
}

// maxSilentHeartbeats is how many heartbeat intervals a machine may be silent before its
// instances count as lost, if that is longer than half of the workers' lease.
const maxSilentHeartbeats = 2.5

// silenceLimit is how long a machine may be silent before its instances count as lost.
func (ro *rollouts) silenceLimit() time.Duration {
	w := ro.controller.Settings.Facts.Workers
	return config.Seconds(max(maxSilentHeartbeats*w.ReportS, w.LeaseS/2))
}

// observe is what is observed of a service.
func (ro *rollouts) observe(s *service, unavailable map[string]bool, now time.Time) *rollout.View {
	old, next := ro.versions(s)
	v := &rollout.View{
		Now:              now,
		UnavailableZones: unavailable,
		Old:              ro.instances(old, now),
		New:              ro.instances(next, now),
	}
	v.Cancelled = jobEnded(ro.jobTable.identified(s.rec.Handle)) || jobEnded(old)
	v.ChecksUnreachable = s.rec.Spec.Check != nil && ro.checksUnreachable(old, next)
	if missing := len(v.Old) - len(v.New); missing > 0 {
		v.New = append(v.New, make([]rollout.Instance, missing)...)
	}
	return v
}

// versions are the jobs of a service's current and next version; nil: unknown.
func (ro *rollouts) versions(s *service) (old, next *job.Job) {
	return ro.jobTable.identified(s.rec.Current), ro.jobTable.identified(s.rec.Next)
}

// jobEnded reports whether a job has ended, is ending, or is unknown.
func jobEnded(j *job.Job) bool { return j == nil || j.Phase+j.Closing != "" }

// instances are the instances of a version, by replica.
func (ro *rollouts) instances(j *job.Job, now time.Time) []rollout.Instance {
	if j == nil {
		return nil
	}
	instances := make([]rollout.Instance, j.Tasks)
	for s := range ro.fleet.SlotsOf(j) {
		if s.Active() {
			ro.observeInstance(&instances[s.Task], s, now)
		}
	}
	return instances
}

// observeInstance adds what is observed of one placement of a replica.
func (ro *rollouts) observeInstance(i *rollout.Instance, s *fleet.Slot, now time.Time) {
	h := s.Machine
	i.Live = true
	i.Lost = i.Lost || h.Lost || h.Quarantined || h.Releasing || !h.ReclaimAt.IsZero() || h.SinceLastReport(now) > ro.silenceLimit()
	if s.Phase != wire.TaskRunning || s.Stopping {
		return
	}
	i.Running = true
	i.Health = health(s)
	if !s.RunningSince.IsZero() {
		i.SinceS = now.Sub(s.RunningSince).Seconds()
	}
	if !s.UnhealthySince.IsZero() {
		i.BadS = now.Sub(s.UnhealthySince).Seconds()
	}
}

// health combines the worker's word on an instance with the last check: unhealthy if either
// says so, healthy if one says so and the other does not object.
func health(s *fleet.Slot) rollout.Health {
	switch {
	case s.Health == wire.HealthBad || s.ProbeHealth == wire.HealthBad:
		return rollout.Unhealthy
	case s.Health == wire.HealthGood || s.ProbeHealth == wire.HealthGood:
		return rollout.Healthy
	}
	return rollout.Unknown
}
