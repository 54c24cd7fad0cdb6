package control

import (
	"math"
	"slices"
	"time"

	"vetchstream/internal/calendar"
	"vetchstream/internal/config"
	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
)

const (
	// maxJobClasses bounds the job classes whose estimates are judged: users choose their names.
	maxJobClasses = 1000
	// defaultOverrunRatio is by how much run times may exceed their estimates until a class
	// has shown otherwise: estimates are wrong by half or more.
	defaultOverrunRatio = 2.0
	// minJobsPerClass is how many jobs of a class show how accurate its estimates are.
	minJobsPerClass = 10
	// overrunAllowanceDivisor gives the part of the longest expected run time for which a task that has exceeded
	// it may still go on.
	overrunAllowanceDivisor = 5
	// heartbeatsToDetectEnd and heartbeatsToDetectBoot are how many heartbeat intervals pass until the
	// leader knows that a task has ended, and that a new machine is up.
	heartbeatsToDetectEnd  = 2
	heartbeatsToDetectBoot = 3
)

// machineProvisioned notes that a machine's boot can be timed. A machine that was already
// up when this term began would show a boot that takes no time, and later holds would
// provision too late.
func (rh *reservationHolds) machineProvisioned(h *fleet.Machine) {
	if rh.calendarStore.enabled() {
		rh.provisioned[h] = true
	}
}

// machineBooted records how long a machine took to boot.
func (rh *reservationHolds) machineBooted(h *fleet.Machine, took time.Duration) {
	if !rh.provisioned[h] {
		return
	}
	delete(rh.provisioned, h)
	if rh.bootTimes[h.Type] == nil {
		rh.bootTimes[h.Type] = &calendar.Estimator{}
	}
	rh.bootTimes[h.Type].Add(took.Seconds())
}

// taskCompleted records how many seconds a job's first task ran, against its estimate. The
// tasks of one job are alike: to count them all would make the estimates of a class look
// more accurate than they are, and the next job's tasks would overrun the start of an
// occurrence.
func (rh *reservationHolds) taskCompleted(j *job.Job, seconds float64) {
	if !rh.calendarStore.enabled() || j.RunTimeCount != 1 {
		return
	}
	ratios := rh.runTimeRatios[j.Class]
	if ratios == nil {
		if len(rh.runTimeRatios) >= maxJobClasses {
			return
		}
		ratios = &calendar.Estimator{}
		rh.runTimeRatios[j.Class] = ratios
	}
	ratios.Add(seconds / runTimeEstimate(j))
}

// maxRunSeconds is how long a task of the job runs at most, as far as the estimates of its
// class have proved right, in seconds.
func (rh *reservationHolds) maxRunSeconds(j *job.Job) float64 {
	if j.Shape == job.Service {
		return math.Inf(1)
	}
	overrun := defaultOverrunRatio
	if ratios := rh.runTimeRatios[j.Class]; ratios != nil {
		overrun = max(overrun, ratios.UpperBound(1))
		if ratios.Count() >= minJobsPerClass {
			overrun = max(1, ratios.UpperBound(1))
		}
	}
	return runTimeEstimate(j) * overrun
}

// maxSecondsToEnd is in how many seconds a task of the job that is placed now is sure to
// have ended: with the fetch of its image and the heartbeat that says so.
func (rh *reservationHolds) maxSecondsToEnd(j *job.Job) float64 {
	fetch := 0.0
	for i := range rh.nameIndex.machineTypes() {
		if rate := rh.nameIndex.machineTypes()[i].FetchRate; rate > 0 {
			fetch = max(fetch, j.ImageGB/rate)
		}
	}
	return fetch + heartbeatsToDetectEnd*rh.heartbeatInterval().Seconds() + rh.maxRunSeconds(j)
}

// requiredSeconds is for how many seconds a task of the job that is placed now needs its
// machine. The claimer of an occurrence needs it at most until the occurrence ends, which
// the calendar has kept free of maintenance: by twice its estimate it would be refused its
// own machines when maintenance follows soon after.
func (rh *reservationHolds) requiredSeconds(j *job.Job, now time.Time) float64 {
	required := rh.maxSecondsToEnd(j)
	if hold := rh.holds[j.Reservation]; hold != nil && hold.claimer == j {
		left := time.UnixMilli(hold.span.To).Sub(rh.calendarStore.timeOfDay(now)) - rh.maintenanceDrains.returnMargin()
		required = min(required, max(0, left.Seconds()))
	}
	return required
}

// maxRemainingSeconds is in how many seconds a placed task is sure to have ended. One that
// has run longer than anything known of its class may go on for a while.
func (rh *reservationHolds) maxRemainingSeconds(s *fleet.Slot, now time.Time) float64 {
	longest := rh.maxRunSeconds(s.Job)
	if s.RunningSince.IsZero() {
		return rh.maxSecondsToEnd(s.Job)
	}
	return max(longest/overrunAllowanceDivisor, longest-now.Sub(s.RunningSince).Seconds())
}

// holdLeadTime is how long before its start machines that are up are held for a
// reservation. It is no shorter than the lead time of provisioning: where nothing can be
// provisioned the machines are full of work that takes longer to end than a machine to boot.
func (rh *reservationHolds) holdLeadTime(b *calendar.Booking) time.Duration {
	return max(rh.provisionLeadTime(b), config.Seconds(rh.controller.Tuning.Calendar.HoldS))
}

// provisionLeadTime is how long before its start a reservation's missing machines are
// provisioned: the upper bound of their boot times, and the time until the leader knows
// that they are up.
func (rh *reservationHolds) provisionLeadTime(b *calendar.Booking) time.Duration {
	if b.LeadS != nil {
		return config.Seconds(*b.LeadS)
	}
	boot := 0.0
	for i := range rh.nameIndex.machineTypes() {
		t := &rh.nameIndex.machineTypes()[i]
		if !slices.ContainsFunc(b.Allocations, func(a calendar.Allocation) bool { return a.Type == t.Name }) {
			continue
		}
		var unmeasured calendar.Estimator
		bootTime := rh.bootTimes[i]
		if bootTime == nil {
			bootTime = &unmeasured
		}
		boot = max(boot, bootTime.UpperBound(t.BootS))
	}
	return config.Seconds(boot) + heartbeatsToDetectBoot*rh.heartbeatInterval() + 2*calendarInterval
}
