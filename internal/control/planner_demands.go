package control

import (
	"sort"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/place"
)

const (
	// maxPending is the most tasks of one job that a plan considers.
	maxPending = 600
	// backoffPending replaces maxPending for a job of which every task has failed so far.
	backoffPending = 2
	// overdueAfter is the time after which a job without a started task takes precedence.
	// Users expect the largest jobs to start within four minutes, even while small jobs
	// or jobs of a higher priority keep arriving.
	overdueAfter = 2 * time.Minute
	// overdueDivisor limits the precedence of an overdue array to 1/overdueDivisor of its
	// tasks, so that it starts but does not overtake the other jobs as a whole.
	overdueDivisor = 20
	// lateMarginS is the time until its latest start, in seconds, below which a job
	// counts as late.
	lateMarginS = 5
	// delayMarginS is the time until its latest start, in seconds, that an array needs
	// for delay scheduling.
	delayMarginS = 15
	// preemptDelay is how long a job waits before it may preempt tasks.
	preemptDelay = 300 * time.Millisecond
	// preemptInterval is the shortest interval between two plans in which a job may
	// preempt. Such a plan examines every task of the fleet.
	preemptInterval = 500 * time.Millisecond
)

// addDemands adds the jobs that wait for machines, ordered by index.
func (p *planInput) addDemands() {
	blocked := p.takeover.blockedJobs(p.input.Teams)
	for _, j := range p.jobTable.all() {
		if blocked[j] || !p.placeable(j) {
			continue
		}
		if demand, waits := p.demand(j); waits {
			p.input.Demands = append(p.input.Demands, demand)
		}
	}
	sort.Slice(p.input.Demands, func(a, b int) bool {
		return p.input.Demands[a].ID < p.input.Demands[b].ID
	})
}

// placeable reports whether a job has tasks to place and may have them placed now.
func (p *planInput) placeable(j *job.Job) bool {
	ended := j.Phase != "" || j.EndingPhase != ""
	if ended || p.jobTable.isUnidentified(j) || p.now.Before(j.NotBefore) || j.TeamIdx < 0 || p.calendarStore.waitsForStart(j, p.now) {
		return false
	}
	// A gang that is being stopped or has run is placed again only after all members of
	// its current attempt have ended.
	gangInAttempt := j.Shape == job.Gang && (j.GangStopping || j.GangStarted)
	return j.CountUnplaced() > 0 && !gangInAttempt
}

// demand describes a waiting job. waits is false if the plan may place none of its tasks.
func (p *planInput) demand(j *job.Job) (demand place.Demand, waits bool) {
	demand = place.Demand{
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
	listPending(j, &demand)
	if len(demand.Pending) == 0 {
		return demand, false
	}
	if p.calendarStore.enabled() {
		demand.EndsInS = p.reservationHolds.requiredSeconds(j, p.now)
		demand.Movable = j.Shape == job.Service || j.CheckpointS > 0
		demand.OnlyHeldMachines = j.Reservation != "" && p.reservationHolds.hasCapacity(j, len(demand.Pending))
	}
	slackS := demand.LatestStart - p.now.Sub(p.termStart).Seconds()
	isArray := j.Shape == job.Array
	demand.FetchTooSlow = !isArray && slackS > 0 && slackS < j.ImageGB/p.slowestFetchRate
	demand.CanDelay = isArray && slackS > delayMarginS
	if p.shouldPreempt(j, &demand, slackS) {
		demand.MayPreempt = true
		p.mayPreempt = true
		p.lastPreemptAt[j] = p.now
	}
	return demand, true
}

// shouldPreempt reports whether a job may preempt tasks in this plan. slackS is the time
// until its latest start, in seconds. Arrays preempt only when they are late.
func (p *planInput) shouldPreempt(j *job.Job, demand *place.Demand, slackS float64) bool {
	hasWaited := p.now.Sub(j.WaitingSince) > preemptDelay || (demand.FetchTooSlow && j.Shape == job.Service)
	isUrgent := j.Shape != job.Array || slackS < lateMarginS
	return hasWaited && isUrgent && p.now.Sub(p.lastPreemptAt[j]) >= preemptInterval
}

// listPending adds to a demand the tasks of its job that the plan may place.
func listPending(j *job.Job, demand *place.Demand) {
	limit := pendingLimit(j, demand.Overdue)
	for task := range j.Unplaced {
		if j.Replicas != nil {
			// Each replica of a roll-out's batch has its zone; a plan places the replicas
			// of one zone.
			zone := j.RequiredZone(task)
			if len(demand.Pending) == 0 {
				demand.Zone = zone
			} else if demand.Zone != zone {
				continue
			}
		}
		demand.Pending = append(demand.Pending, task)
		if len(demand.Pending) >= limit {
			return
		}
	}
}

// pendingLimit returns the most tasks of a job that one plan may place.
func pendingLimit(j *job.Job, overdue bool) int {
	switch {
	case j.Shape == job.Gang:
		return j.Tasks
	case !j.HasSucceeded && j.Backoff > 0:
		return backoffPending
	case overdue:
		return 1 + j.Tasks/overdueDivisor
	}
	return maxPending
}

// tasksByZone counts a job's active tasks per zone, including those of its other
// versions.
func (pl *planner) tasksByZone(j *job.Job) []int {
	tasks := make([]int, len(pl.nameIndex.zoneNames()))
	if j.Shape == job.Array && !j.OneZone && !j.Spread {
		return tasks // the zones do not affect its placement
	}
	for _, version := range append([]*job.Job{j}, j.Versions...) {
		for slot := range pl.fleet.SlotsOf(version) {
			if slot.Active() && slot.Machine.Zone >= 0 {
				tasks[slot.Machine.Zone]++
			}
		}
	}
	return tasks
}
