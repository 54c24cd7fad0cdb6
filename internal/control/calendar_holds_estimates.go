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
	// maxJobClasses bounds the job classes with recorded run times, since users choose the
	// names of classes.
	maxJobClasses = 1000
	// defaultOverrunRatio is the assumed upper bound on the ratio of a run time to its
	// estimate until enough jobs of a class have run. Estimates are wrong by half or more.
	defaultOverrunRatio = 2.0
	// minJobsPerClass is the number of jobs of a class from which on the measured ratio
	// replaces the default.
	minJobsPerClass = 10
	// overrunAllowanceDivisor determines the allowance for a task that has exceeded its
	// longest expected run time: that run time divided by the divisor.
	overrunAllowanceDivisor = 5
	// heartbeatsToDetectEnd and heartbeatsToDetectBoot are the heartbeat intervals until the
	// leader detects the end of a task and the boot of a new machine.
	heartbeatsToDetectEnd  = 2
	heartbeatsToDetectBoot = 3
)

// machineProvisioned marks a machine as provisioned in this term, so that its boot time is
// measured. A machine that was already running when the term began would yield a boot time
// of zero, and later holds would provision too late.
func (rh *reservationHolds) machineProvisioned(machine *fleet.Machine) {
	if rh.calendarStore.enabled() {
		rh.provisioned[machine] = true
	}
}

// machineBooted records the boot time of a machine.
func (rh *reservationHolds) machineBooted(machine *fleet.Machine, took time.Duration) {
	if !rh.provisioned[machine] {
		return
	}
	delete(rh.provisioned, machine)
	if rh.bootTimes[machine.Type] == nil {
		rh.bootTimes[machine.Type] = &calendar.Estimator{}
	}
	rh.bootTimes[machine.Type].Add(took.Seconds())
}

// taskCompleted records the ratio of a run time to its estimate for the first completed task
// of a job. The tasks of a job have similar run times; counting all of them would make the
// estimates of a class seem more accurate than they are, and tasks of the next job would run
// past the start of an occurrence.
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

// maxRunSeconds returns an upper bound on the run time of a job's tasks in seconds, based on
// the accuracy of the estimates of its class. The bound is infinite for a service.
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

// maxSecondsToEnd returns an upper bound on the seconds until the leader detects the end of
// a task that is placed now. It includes the time to fetch the image.
func (rh *reservationHolds) maxSecondsToEnd(j *job.Job) float64 {
	fetch := 0.0
	for i := range rh.nameIndex.machineTypes() {
		if rate := rh.nameIndex.machineTypes()[i].FetchRate; rate > 0 {
			fetch = max(fetch, j.ImageGB/rate)
		}
	}
	return fetch + heartbeatsToDetectEnd*rh.heartbeatInterval().Seconds() + rh.maxRunSeconds(j)
}

// requiredSeconds returns for how many seconds a task of the job needs its machine if it is
// placed now. For the claimer of an occurrence, the time is limited to the end of the
// occurrence, until which the calendar keeps the machines free of maintenance. Without this
// limit, the claimer could not use its held machines if maintenance follows the occurrence
// within twice its estimate.
func (rh *reservationHolds) requiredSeconds(j *job.Job, now time.Time) float64 {
	required := rh.maxSecondsToEnd(j)
	if hold := rh.holds[j.Reservation]; hold != nil && hold.claimer == j {
		left := time.UnixMilli(hold.span.To).Sub(rh.calendarStore.wallTime(now)) - rh.maintenanceDrains.returnMargin()
		required = min(required, max(0, left.Seconds()))
	}
	return required
}

// maxRemainingSeconds returns an upper bound on the seconds until a placed task ends. For a
// task close to or beyond the longest expected run time of its class, it returns the overrun
// allowance.
func (rh *reservationHolds) maxRemainingSeconds(slot *fleet.Slot, now time.Time) float64 {
	longest := rh.maxRunSeconds(slot.Job)
	if slot.RunningSince.IsZero() {
		return rh.maxSecondsToEnd(slot.Job)
	}
	return max(longest/overrunAllowanceDivisor, longest-now.Sub(slot.RunningSince).Seconds())
}

// holdLeadTime returns how long before the start of a reservation running machines are held
// for it. It is at least the lead time of provisioning: if no machine can be provisioned,
// the running ones are busy with tasks that take longer to end than a machine takes to boot.
func (rh *reservationHolds) holdLeadTime(booking *calendar.Booking) time.Duration {
	return max(rh.provisionLeadTime(booking), config.Seconds(rh.controller.Tuning.Calendar.HoldS))
}

// provisionLeadTime returns how long before the start of a reservation its missing machines
// are provisioned: the upper bound of their boot times plus the time until the leader
// detects that they have booted.
func (rh *reservationHolds) provisionLeadTime(booking *calendar.Booking) time.Duration {
	if booking.LeadS != nil {
		return config.Seconds(*booking.LeadS)
	}
	boot := 0.0
	for i := range rh.nameIndex.machineTypes() {
		machineType := &rh.nameIndex.machineTypes()[i]
		if !slices.ContainsFunc(booking.Allocations, func(a calendar.Allocation) bool { return a.Type == machineType.Name }) {
			continue
		}
		var unmeasured calendar.Estimator
		bootTime := rh.bootTimes[i]
		if bootTime == nil {
			bootTime = &unmeasured
		}
		boot = max(boot, bootTime.UpperBound(machineType.BootS))
	}
	return config.Seconds(boot) + heartbeatsToDetectBoot*rh.heartbeatInterval() + 2*calendarInterval
}
