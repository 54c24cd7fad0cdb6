package control

import (
	"sort"
	"time"

	"vetchstream/internal/autoscale"
	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/metrics"
	"vetchstream/internal/place"
	"vetchstream/internal/wire"
)

// minPlanInterval keeps bursts of messages from making a plan each; and a plan may
// take one part in placeShare of the time, so that reports, aborts and the lease
// are served while a large fleet is full of work.
const (
	minPlanInterval = 50 * time.Millisecond
	planTimeShare   = 4
)

// machineReservation is room that is being made on a machine for a job.
type machineReservation struct {
	job   *job.Job
	until time.Time
	// awaitsCompletion: the room comes by itself, nothing is stopped for it.
	awaitsCompletion bool
}

// planner makes plans and carries them out: what is placed, stopped and kept.
type planner struct {
	*core
	nameIndex         *nameIndex
	jobTable          *jobTable
	registry          *registry
	machinePool       *machinePool
	takeover          *takeover
	taskTracker       *taskTracker
	calendarStore     *calendarStore
	reservationHolds  *reservationHolds
	maintenanceDrains *maintenanceDrains
	teamQuotas        *teamQuotas

	reservations     map[*fleet.Host]machineReservation
	attemptCount     uint64 // made in this term
	lastPlanAt       time.Time
	lastPlanDuration time.Duration
	lastPreemptAt    map[*job.Job]time.Time // when a job last looked for work to stop
	lastWaitLogAt    time.Time
}

func newPlanner(co *core) *planner {
	return &planner{core: co, reservations: map[*fleet.Host]machineReservation{}, lastPreemptAt: map[*job.Job]time.Time{}}
}

// reserved reports whether room is being kept on a machine.
func (pl *planner) reserved(h *fleet.Host) bool { return pl.reservations[h].job != nil }

// reservedFor is the job for which room is being kept on a machine; nil: none.
func (pl *planner) reservedFor(h *fleet.Host) *job.Job { return pl.reservations[h].job }

// forgetMachine forgets a machine that has been returned.
func (pl *planner) forgetMachine(h *fleet.Host) { delete(pl.reservations, h) }

// forgetJob forgets a job that is over.
func (pl *planner) forgetJob(j *job.Job) { delete(pl.lastPreemptAt, j) }

// expireReservations ends the keeping of room that nobody came for. It is not left to the
// next plan: a machine must not be kept for as long as no work comes.
func (pl *planner) expireReservations(now time.Time) {
	for h, k := range pl.reservations {
		if now.After(k.until) || k.job.Phase+k.job.Closing != "" {
			delete(pl.reservations, h)
		}
	}
}

// place makes and carries out a plan, if anything has changed.
func (pl *planner) place(now time.Time) {
	if now.Sub(pl.lastPlanAt) < max(minPlanInterval, planTimeShare*pl.lastPlanDuration) || (!pl.dirty && now.Sub(pl.lastPlanAt) < time.Second) {
		return
	}
	if !pl.takeover.settle(now) {
		return
	}
	if len(pl.jobTable.strange()) > 0 {
		// What a stranger takes is not counted for any team yet.
		for j := range pl.jobTable.strange() {
			if len(j.Live) > 0 {
				return
			}
		}
	}
	pl.lastPlanAt, pl.dirty = now, false
	pl.reservationHolds.gather(now) // a machine that has just come up for a slot must not be filled
	defer func() {
		pl.lastPlanDuration = time.Since(now)
		pl.c.Meter.Took(metrics.PlanTime, "", pl.lastPlanDuration)
	}()
	in, ms, slots := pl.input(now)
	if len(in.Demands) == 0 {
		pl.machinePool.setUnmetDemand(nil)
		return
	}
	plan := place.Make(in)
	attempts := map[*job.Job]uint64{}
	for _, a := range plan.Assignments {
		j := pl.jobTable.at(in.Demands[a.Demand].ID)
		h := ms[a.Machine]
		n := attempts[j]
		switch {
		case j.Shape == job.Gang && j.GangAttempt != 0:
			n = j.GangAttempt
		case j.Shape == job.Gang:
			n = pl.nextAttempt()
			j.GangAttempt = n
		case n == 0:
			n = pl.nextAttempt()
			attempts[j] = n
		}
		if pl.debug {
			pl.log.Debug("task is placed", "task", job.TaskName(j.ID, a.Task), "host", h.Name, "waited", now.Sub(j.WaitFrom))
		}
		pl.fleet.Assign(h, fleet.Key{Job: j, Task: a.Task, Attempt: n}, now)
		pl.registry.note(j, h)
		j.LastHost = h.Idx
		pl.c.Meter.Took(metrics.StartWait, j.Class, now.Sub(j.WaitFrom))
		j.WaitFrom = now
		if k, ok := pl.reservations[h]; ok && k.job == j {
			delete(pl.reservations, h)
		}
	}
	for _, p := range plan.Preemptions {
		j, h := pl.jobTable.at(in.Demands[p.Demand].ID), ms[p.Machine]
		pl.log.Info("making room", "job", j.ID, "host", h.Name, "stops", len(p.Victims))
		pl.reservations[h] = machineReservation{job: j, until: now.Add(15 * time.Second)}
		for _, v := range p.Victims {
			pl.taskTracker.stopSlot(slots[v], saveGrace(slots[v].Job))
		}
	}
	pl.renewReservations(now, in, plan.Reservations, ms)
	var wants []autoscale.UnmetDemand
	for i := range in.Demands {
		d := &in.Demands[i]
		if plan.Unplaced[i] == 0 {
			continue
		}
		j := pl.jobTable.at(d.ID)
		if pl.reservationHolds.covers(j) {
			continue
		}
		wants = append(wants, autoscale.UnmetDemand{Demand: d, Count: plan.Unplaced[i], TaskS: estimate(j), ImageGB: j.ImageGB,
			WaitedS: d.Waited, Urgent: j.Shape == job.Gang})
	}
	sort.SliceStable(wants, func(a, b int) bool { return wants[a].Demand.LatestStart < wants[b].Demand.LatestStart })
	pl.machinePool.setUnmetDemand(wants)
	if now.Sub(pl.lastWaitLogAt) > 5*time.Second && len(wants) > 0 {
		pl.lastWaitLogAt = now
		for i, w := range wants {
			if i == 5 {
				break
			}
			j := pl.jobTable.at(w.Demand.ID)
			pl.log.Info("no machine has room", "job", j.ID, "class", j.Class, "tasks", w.Count, "waited", w.WaitedS)
		}
	}
}

// cpuPrice is what a CPU of the type costs an hour. It is never 0, so that it
// can be compared.
func cpuPrice(t *wire.MachineType, spot bool) float64 {
	p := t.Price
	if spot {
		p = t.SpotPrice
	}
	return max(p, 1e-6) / max(t.CPUs, 1e-6)
}

// overdueAfter is for how long nothing of a job may have begun before it goes first:
// users expect the largest jobs to begin within four minutes, also beside a steady
// stream of what is small or of a higher rank. An array gets one part in overduePart
// of its tasks that way.
const (
	overdueAfter = 2 * time.Minute
	overdueShare = 20
)

// lateMarginS is how much time a job has left, in seconds, when it is late.
const lateMarginS = 5

// delayMarginS is how much time an array must have left, in seconds, to wait for machines
// that have its image while others with theirs could use what is free.
const delayMarginS = 15

// preemptInterval is how often a waiting job looks for work to stop: the look is at
// every task of the fleet.
const preemptInterval = 500 * time.Millisecond

// tasksByZone counts, per zone, what may be running of a job.
func (pl *planner) tasksByZone(j *job.Job) []int {
	z := make([]int, len(pl.nameIndex.zoneNames()))
	if j.Shape == job.Array && !j.OneZone && !j.Spread {
		return z // nothing depends on it
	}
	for _, v := range append([]*job.Job{j}, j.Versions...) {
		for s := range pl.fleet.On(v) {
			if s.On() && s.Host.Zone >= 0 {
				z[s.Host.Zone]++
			}
		}
	}
	return z
}

// unclearedExits are the tasks whose exits the worker still reports and that may be
// placed again.
func (pl *planner) unclearedExits(h *fleet.Host) map[place.Task]bool {
	if h.Exits == 0 {
		return nil
	}
	var out map[place.Task]bool
	for _, s := range h.Slots {
		if s.On() || (s.Job.IsDone(s.Task) && s.Job.Shape != job.Service) {
			continue
		}
		if id := pl.jobTable.index(s.Job); id != 0 {
			if out == nil {
				out = map[place.Task]bool{}
			}
			out[place.Task{Job: id, Task: s.Task}] = true
		}
	}
	return out
}

// remainingSeconds is the time in which a task is expected to end by itself, in seconds. One
// that runs longer than expected may go on for a while.
func remainingSeconds(s *fleet.Slot, now time.Time) float64 {
	run := estimate(s.Job)
	if s.RunAt.IsZero() {
		return run
	}
	return max(run/5, run-now.Sub(s.RunAt).Seconds())
}

// renewReservations keeps the machines that a plan has chosen for gangs until the next look,
// and gives back those that it has not chosen again.
func (pl *planner) renewReservations(now time.Time, in place.Input, chosen []place.Reservation, ms []*fleet.Host) {
	looked := map[*job.Job]bool{}
	for i := range in.Demands {
		if in.Demands[i].MayPreempt {
			looked[pl.jobTable.at(in.Demands[i].ID)] = true
		}
	}
	for h, k := range pl.reservations {
		if k.awaitsCompletion && looked[k.job] {
			delete(pl.reservations, h)
		}
	}
	for _, c := range chosen {
		pl.reservations[ms[c.Machine]] = machineReservation{job: pl.jobTable.at(in.Demands[c.Demand].ID), until: now.Add(4 * preemptInterval), awaitsCompletion: true}
	}
}

// restartS is what a task loses that has saved, and a gang with every member that
// is stopped: saving, a new place, its image and a common start, in seconds.
const restartS = 15

// preemptionLoss is the work that stopping a task throws away, in CPU seconds. A gang
// stops whole: for a member that looks free to stop it loses all its members'
// time.
func preemptionLoss(s *fleet.Slot, now time.Time) float64 {
	switch {
	case s.Job.Shape == job.Gang:
		return restartS * s.Job.CPUs * float64(s.Job.Tasks)
	case s.RunAt.IsZero():
		return 0
	case s.Job.Checkpoint > 0:
		return min(restartS, now.Sub(s.RunAt).Seconds()) * s.Job.CPUs
	}
	return now.Sub(s.RunAt).Seconds() * s.Job.CPUs
}

// nextAttempt makes a number that no other term can make.
func (pl *planner) nextAttempt() uint64 {
	pl.attemptCount++
	return pl.term<<24 | pl.attemptCount
}
