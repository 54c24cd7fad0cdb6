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

// placeEvery keeps bursts of messages from making a plan each; and a plan may
// take one part in placeShare of the time, so that reports, aborts and the lease
// are served while a large fleet is full of work.
const (
	placeEvery = 50 * time.Millisecond
	placeShare = 4
)

// keep is room that is being made on a machine for a job.
type keep struct {
	job   *job.Job
	until time.Time
	// reserved: the room comes by itself, nothing is stopped for it.
	reserved bool
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

	keeps     map[*fleet.Host]keep
	attempts  uint64 // made in this term
	passAt    time.Time
	passTook  time.Duration
	preempted map[*job.Job]time.Time // when a job last looked for work to stop
	logWaitAt time.Time
}

func newPlanner(co *core) *planner {
	return &planner{core: co, keeps: map[*fleet.Host]keep{}, preempted: map[*job.Job]time.Time{}}
}

// kept reports whether room is being kept on a machine.
func (pl *planner) kept(h *fleet.Host) bool { return pl.keeps[h].job != nil }

// keeper is the job for which room is being kept on a machine; nil: none.
func (pl *planner) keeper(h *fleet.Host) *job.Job { return pl.keeps[h].job }

// gone forgets a machine that has been returned.
func (pl *planner) gone(h *fleet.Host) { delete(pl.keeps, h) }

// forget forgets a job that is over.
func (pl *planner) forget(j *job.Job) { delete(pl.preempted, j) }

// expire ends the keeping of room that nobody came for. It is not left to the
// next plan: a machine must not be kept for as long as no work comes.
func (pl *planner) expire(now time.Time) {
	for h, k := range pl.keeps {
		if now.After(k.until) || k.job.Phase+k.job.Closing != "" {
			delete(pl.keeps, h)
		}
	}
}

// place makes and carries out a plan, if anything has changed.
func (pl *planner) place(now time.Time) {
	if now.Sub(pl.passAt) < max(placeEvery, placeShare*pl.passTook) || (!pl.planRequested && now.Sub(pl.passAt) < time.Second) {
		return
	}
	if !pl.takeover.reconcile(now) {
		return
	}
	if len(pl.jobTable.unidentifiedJobs()) > 0 {
		// What a stranger takes is not counted for any team yet.
		for j := range pl.jobTable.unidentifiedJobs() {
			if len(j.Live) > 0 {
				return
			}
		}
	}
	pl.passAt, pl.planRequested = now, false
	pl.reservationHolds.refresh(now) // a machine that has just come up for a slot must not be filled
	defer func() {
		pl.passTook = time.Since(now)
		pl.controller.Meter.Took(metrics.PlanTime, "", pl.passTook)
	}()
	in, ms, slots := pl.input(now)
	if len(in.Demands) == 0 {
		pl.machinePool.want(nil)
		return
	}
	plan := place.Make(in)
	attempts := map[*job.Job]uint64{}
	for _, a := range plan.Assign {
		j := pl.jobTable.byIndex(in.Demands[a.Demand].ID)
		h := ms[a.Machine]
		n := attempts[j]
		switch {
		case j.Shape == job.Gang && j.GangAttempt != 0:
			n = j.GangAttempt
		case j.Shape == job.Gang:
			n = pl.attempt()
			j.GangAttempt = n
		case n == 0:
			n = pl.attempt()
			attempts[j] = n
		}
		if pl.debug {
			pl.log.Debug("task is placed", "task", job.TaskName(j.ID, a.Task), "host", h.Name, "waited", now.Sub(j.WaitingSince))
		}
		pl.fleet.Assign(h, fleet.Key{Job: j, Task: a.Task, Attempt: n}, now)
		pl.registry.recordPlacement(j, h)
		j.LastMachine = h.Index
		pl.controller.Meter.Took(metrics.StartWait, j.Class, now.Sub(j.WaitingSince))
		j.WaitingSince = now
		if k, ok := pl.keeps[h]; ok && k.job == j {
			delete(pl.keeps, h)
		}
	}
	for _, p := range plan.Preempt {
		j, h := pl.jobTable.byIndex(in.Demands[p.Demand].ID), ms[p.Machine]
		pl.log.Info("making room", "job", j.ID, "host", h.Name, "stops", len(p.Victims))
		pl.keeps[h] = keep{job: j, until: now.Add(15 * time.Second)}
		for _, v := range p.Victims {
			pl.taskTracker.stopSlot(slots[v], saveGrace(slots[v].Job))
		}
	}
	pl.reserve(now, in, plan.Reserve, ms)
	var wants []autoscale.Want
	for i := range in.Demands {
		d := &in.Demands[i]
		if plan.Short[i] == 0 {
			continue
		}
		j := pl.jobTable.byIndex(d.ID)
		if pl.reservationHolds.providesFor(j) {
			continue
		}
		wants = append(wants, autoscale.Want{Demand: d, Count: plan.Short[i], TaskS: runTimeEstimate(j), Image: j.ImageGB,
			Waited: d.Waited, Urgent: j.Shape == job.Gang})
	}
	sort.SliceStable(wants, func(a, b int) bool { return wants[a].Demand.LatestStart < wants[b].Demand.LatestStart })
	pl.machinePool.want(wants)
	if now.Sub(pl.logWaitAt) > 5*time.Second && len(wants) > 0 {
		pl.logWaitAt = now
		for i, w := range wants {
			if i == 5 {
				break
			}
			j := pl.jobTable.byIndex(w.Demand.ID)
			pl.log.Info("no machine has room", "job", j.ID, "class", j.Class, "tasks", w.Count, "waited", w.Waited)
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
	overduePart  = 20
)

// lateS is how much time a job has left, in seconds, when it is late.
const lateS = 5

// patience is how much time an array must have left, in seconds, to wait for machines
// that have its image while others with theirs could use what is free.
const patience = 15

// preemptEvery is how often a waiting job looks for work to stop: the look is at
// every task of the fleet.
const preemptEvery = 500 * time.Millisecond

// inZone counts, per zone, what may be running of a job.
func (pl *planner) inZone(j *job.Job) []int {
	z := make([]int, len(pl.nameIndex.zoneNames()))
	if j.Shape == job.Array && !j.OneZone && !j.Spread {
		return z // nothing depends on it
	}
	for _, v := range append([]*job.Job{j}, j.Versions...) {
		for s := range pl.fleet.SlotsOf(v) {
			if s.Active() && s.Host.Zone >= 0 {
				z[s.Host.Zone]++
			}
		}
	}
	return z
}

// exits are the tasks whose exits the worker still reports and that may be
// placed again.
func (pl *planner) exits(h *fleet.Host) map[place.Task]bool {
	if h.ReportedExits == 0 {
		return nil
	}
	var out map[place.Task]bool
	for _, s := range h.Slots {
		if s.Active() || (s.Job.IsDone(s.Task) && s.Job.Shape != job.Service) {
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

// left is the time in which a task is expected to end by itself, in seconds. One
// that runs longer than expected may go on for a while.
func left(s *fleet.Slot, now time.Time) float64 {
	run := runTimeEstimate(s.Job)
	if s.RunAt.IsZero() {
		return run
	}
	return max(run/5, run-now.Sub(s.RunAt).Seconds())
}

// reserve keeps the machines that a plan has chosen for gangs until the next look,
// and gives back those that it has not chosen again.
func (pl *planner) reserve(now time.Time, in place.Input, chosen []place.Reservation, ms []*fleet.Host) {
	looked := map[*job.Job]bool{}
	for i := range in.Demands {
		if in.Demands[i].Preempts {
			looked[pl.jobTable.byIndex(in.Demands[i].ID)] = true
		}
	}
	for h, k := range pl.keeps {
		if k.reserved && looked[k.job] {
			delete(pl.keeps, h)
		}
	}
	for _, c := range chosen {
		pl.keeps[ms[c.Machine]] = keep{job: pl.jobTable.byIndex(in.Demands[c.Demand].ID), until: now.Add(4 * preemptEvery), reserved: true}
	}
}

// restartS is what a task loses that has saved, and a gang with every member that
// is stopped: saving, a new place, its image and a common start, in seconds.
const restartS = 15

// stopLoss is the work that stopping a task throws away, in CPU seconds. A gang
// stops whole: for a member that looks free to stop it loses all its members'
// time.
func stopLoss(s *fleet.Slot, now time.Time) float64 {
	switch {
	case s.Job.Shape == job.Gang:
		return restartS * s.Job.CPUs * float64(s.Job.Tasks)
	case s.RunAt.IsZero():
		return 0
	case s.Job.CheckpointS > 0:
		return min(restartS, now.Sub(s.RunAt).Seconds()) * s.Job.CPUs
	}
	return now.Sub(s.RunAt).Seconds() * s.Job.CPUs
}

// attempt makes a number that no other term can make.
func (pl *planner) attempt() uint64 {
	pl.attempts++
	return pl.term<<24 | pl.attempts
}
