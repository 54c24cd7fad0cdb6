package control

import (
	"sort"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/place"
)

const (
	// maxPending bounds the tasks of one job that one plan looks at.
	maxPending = 600
	// backoffPending bounds them for a job of which every task has failed so far.
	backoffPending = 2
	// overdueAfter is for how long nothing of a job may have started before it goes first:
	// users expect the largest jobs to start within four minutes, also beside a steady stream
	// of small jobs or of those of a higher priority.
	overdueAfter = 2 * time.Minute
	// overdueShare: an overdue array goes first with one in overdueShare of its tasks. That
	// starts it, and does not let all of it pass the other jobs.
	overdueShare = 20
	// lateMarginS is how much time a job has left when it counts as late, in seconds.
	lateMarginS = 5
	// delayMarginS is how much time an array must have left for delay scheduling, in seconds.
	delayMarginS = 15
	// preemptDelay is for how long a job waits before it looks for tasks to preempt.
	preemptDelay = 300 * time.Millisecond
	// preemptInterval is how often a job looks for them: that takes a look at every task of the
	// fleet.
	preemptInterval = 500 * time.Millisecond
)

// addDemands adds the jobs that wait for machines, ordered by index.
func (p *planInput) addDemands() {
	blocked := p.takeover.blockedJobs(p.input.Teams)
	for _, j := range p.jobTable.all() {
		if blocked[j] || !p.placeable(j) {
			continue
		}
		if d, waits := p.demand(j); waits {
			p.input.Demands = append(p.input.Demands, d)
		}
	}
	sort.Slice(p.input.Demands, func(a, b int) bool {
		return p.input.Demands[a].ID < p.input.Demands[b].ID
	})
}

// placeable reports whether a job has tasks to place and may have them placed now.
func (p *planInput) placeable(j *job.Job) bool {
	over := j.Phase != "" || j.Closing != ""
	if over || p.jobTable.isUnidentified(j) || p.now.Before(j.NotBefore) || j.TeamIdx < 0 || p.calendarStore.waitsForStart(j, p.now) {
		return false
	}
	// A gang that has broken or has run gets its next attempt when all of this one is gone.
	gangInAttempt := j.Shape == job.Gang && (j.GangStopping || j.GangStarted)
	return j.CountUnplaced() > 0 && !gangInAttempt
}

// demand describes a job that waits; waits is false if nothing of it is to be placed now.
func (p *planInput) demand(j *job.Job) (d place.Demand, waits bool) {
	d = place.Demand{
		ID:           p.jobTable.index(j),
		Shape:        j.Shape,
		Priority:     j.Priority,
		Team:         j.TeamIdx,
		Need:         taskRequirements(j),
		AllowedTypes: j.TypeAllowed,
		Zone:         j.ZoneIdx,
		OneZone:      j.OneZone,
		Spread:       j.Spread,
		Spot:         j.Spot,
		Image:        j.ImageIdx,
		ImageGB:      j.ImageGB,
		LastMachine:  j.LastMachine,
		Total:        j.Tasks,
		Waiting:      j.CountUnplaced(),
		TasksByZone:  p.tasksByZone(j),
		LatestStart:  p.jobTable.latestStart(j),
		WaitedS:      p.now.Sub(j.WaitingSince).Seconds(),
		Overdue:      p.now.Sub(j.Submitted) > overdueAfter && j.DoneCount == 0 && len(j.Live) == 0,
	}
	listPending(j, &d)
	if len(d.Pending) == 0 {
		return d, false
	}
	if p.calendarStore.enabled() {
		d.EndsInS = p.reservationHolds.requiredSeconds(j, p.now)
		d.Movable = j.Shape == job.Service || j.CheckpointS > 0
		d.OnlyHeldMachines = j.Reservation != "" && p.reservationHolds.hasCapacity(j, len(d.Pending))
	}
	left := d.LatestStart - p.now.Sub(p.termStart).Seconds()
	isArray := j.Shape == job.Array
	d.FetchTooSlow = !isArray && left > 0 && left < j.ImageGB/p.slowestFetchRate
	d.CanDelay = isArray && left > delayMarginS
	if p.looksForVictims(j, &d, left) {
		d.MayPreempt = true
		p.mayPreempt = true
		p.lastPreemptAt[j] = p.now
	}
	return d, true
}

// looksForVictims reports whether a job that has left seconds until its latest start may
// preempt tasks in this plan. Arrays do so only when they are late.
func (p *planInput) looksForVictims(j *job.Job, d *place.Demand, left float64) bool {
	hasWaited := p.now.Sub(j.WaitingSince) > preemptDelay || (d.FetchTooSlow && j.Shape == job.Service)
	isPressing := j.Shape != job.Array || left < lateMarginS
	return hasWaited && isPressing && p.now.Sub(p.lastPreemptAt[j]) >= preemptInterval
}

// listPending lists the tasks of a job that a plan may place.
func listPending(j *job.Job, d *place.Demand) {
	limit := pendingLimit(j, d.Overdue)
	for task := range j.Unplaced {
		if j.Replicas != nil {
			// The replicas of a roll-out's batch have their zones: one zone a plan.
			zone := j.ZoneOf(task)
			if len(d.Pending) == 0 {
				d.Zone = zone
			} else if d.Zone != zone {
				continue
			}
		}
		d.Pending = append(d.Pending, task)
		if len(d.Pending) >= limit {
			return
		}
	}
}

// pendingLimit returns how many tasks of a job one plan may place.
func pendingLimit(j *job.Job, overdue bool) int {
	switch {
	case j.Shape == job.Gang:
		return j.Tasks
	case !j.HasSucceeded && j.Backoff > 0:
		return backoffPending
	case overdue:
		return 1 + j.Tasks/overdueShare
	}
	return maxPending
}

// tasksByZone counts, per zone, the tasks of a job that may be running, those of its other
// versions included.
func (pl *planner) tasksByZone(j *job.Job) []int {
	tasks := make([]int, len(pl.nameIndex.zoneNames()))
	if j.Shape == job.Array && !j.OneZone && !j.Spread {
		return tasks // nothing depends on it
	}
	for _, version := range append([]*job.Job{j}, j.Versions...) {
		for s := range pl.fleet.SlotsOf(version) {
			if s.Active() && s.Machine.Zone >= 0 {
				tasks[s.Machine.Zone]++
			}
		}
	}
	return tasks
}
