package control

import (
	"slices"
	"time"

	"vetchstream/internal/calendar"
	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/metrics"
	"vetchstream/internal/place"
	"vetchstream/internal/wire"
)

// maintenanceDrains drains machines before their maintenance and returns them at its start.
// What is to be done follows from the windows and the time of day: a leader that takes over
// late does what is left of it, and nothing once the window is over.
type maintenanceDrains struct {
	*core
	nameIndex        *nameIndex
	jobTable         *jobTable
	calendarStore    *calendarStore
	reservationHolds *reservationHolds
	taskTracker      *taskTracker

	// windowOf is the first window that is not over of each machine that has one, as of
	// assignedAt.
	windowOf   map[*fleet.Machine]*calendar.PlannedWindow
	assignedAt time.Time
	// atRisk are tasks that are not expected to end in time and have no checkpoint.
	atRisk map[*fleet.Slot]bool
	// loggedStates are the states of the windows that were logged last, by name.
	loggedStates map[string]calendar.WindowState
}

func newMaintenanceDrains(co *core) *maintenanceDrains {
	md := &maintenanceDrains{core: co}
	md.reset()
	return md
}

// reset forgets what was derived from the windows.
func (md *maintenanceDrains) reset() {
	md.windowOf = map[*fleet.Machine]*calendar.PlannedWindow{}
	md.assignedAt = time.Time{}
	md.atRisk = map[*fleet.Slot]bool{}
	md.loggedStates = map[string]calendar.WindowState{}
}

// enabled reports whether machines are drained for maintenance.
func (md *maintenanceDrains) enabled() bool {
	return md.calendarStore.enabled() && md.controller.Tuning.Calendar.Drain
}

// covers reports whether a machine is serviced in a window.
func (md *maintenanceDrains) covers(w *calendar.Window, h *fleet.Machine) bool {
	t := md.nameIndex.machineType(h)
	return t != nil && h.Zone >= 0 && w.Covers(h.Name, h.Addr, t.Name, md.nameIndex.zoneNames()[h.Zone])
}

// machinesByPool counts the machines that a window names, by type and zone; nil for a
// window that closes whole pools.
func (md *maintenanceDrains) machinesByPool(w *calendar.Window) []calendar.Allocation {
	if !w.NamesMachines() {
		return nil
	}
	var pools []calendar.Allocation
	for _, h := range md.fleet.All() {
		if h.Releasing || !md.covers(w, h) {
			continue
		}
		typ, zone := md.nameIndex.machineType(h).Name, md.nameIndex.zoneNames()[h.Zone]
		i := slices.IndexFunc(pools, func(a calendar.Allocation) bool { return a.Type == typ && a.Zone == zone })
		if i < 0 {
			i = len(pools)
			pools = append(pools, calendar.Allocation{Type: typ, Zone: zone})
		}
		pools[i].Machines++
	}
	return pools
}

// windowAssignmentInterval is how often the machines' windows are determined.
const windowAssignmentInterval = time.Second

// assignWindows determines the next window of each machine.
func (md *maintenanceDrains) assignWindows(now time.Time) {
	if now.Sub(md.assignedAt) < windowAssignmentInterval {
		return
	}
	md.assignedAt = now
	clear(md.windowOf)
	timeOfDay := md.calendarStore.timeOfDay(now).UnixMilli()
	for _, w := range md.calendarStore.windowsByName() {
		if w.Span().To <= timeOfDay {
			continue
		}
		for _, h := range md.fleet.All() {
			if first := md.windowOf[h]; (first == nil || w.Span().From < first.Span().From) && md.covers(w.Window, h) {
				md.windowOf[h] = w
			}
		}
	}
}

// nextWindow is a machine's next window; nil: it has none.
func (md *maintenanceDrains) nextWindow(h *fleet.Machine, now time.Time) *calendar.PlannedWindow {
	if !md.enabled() || !md.calendarStore.hasWindows() {
		return nil
	}
	md.assignWindows(now)
	return md.windowOf[h]
}

// freeOfMaintenance reports whether a machine is free of maintenance for a span.
func (md *maintenanceDrains) freeOfMaintenance(h *fleet.Machine, s calendar.Span) bool {
	w := md.nextWindow(h, time.Now())
	return w == nil || !w.Span().Overlaps(s)
}

// returnMargin is how long before the start of its maintenance a machine has to be empty:
// its worker has to confirm that in a heartbeat.
func (md *maintenanceDrains) returnMargin() time.Duration {
	return heartbeatsToDetectEnd*md.heartbeatInterval() + time.Second
}

// annotate sets in the planner's view of a machine in how many seconds it leaves for
// maintenance, and whether it is being drained.
func (md *maintenanceDrains) annotate(m *place.Machine, h *fleet.Machine, now time.Time) {
	w := md.nextWindow(h, now)
	if w == nil {
		return
	}
	timeOfDay := md.calendarStore.timeOfDay(now)
	m.MaintenanceDue = true
	m.MaintenanceInS = md.secondsToReturn(w, timeOfDay)
	m.Draining = timeOfDay.UnixMilli() >= w.DrainAt()
}

// secondsToReturn is in how many seconds the machines of a window have to be empty.
func (md *maintenanceDrains) secondsToReturn(w *calendar.PlannedWindow, timeOfDay time.Time) float64 {
	return time.UnixMilli(w.Span().From).Add(-md.returnMargin()).Sub(timeOfDay).Seconds()
}

// poolClosed reports whether new machines of a type in a zone would have to be returned at
// once, since a window closes all of them.
func (md *maintenanceDrains) poolClosed(typ, zone string, now time.Time) bool {
	if !md.enabled() {
		return false
	}
	timeOfDay := md.calendarStore.timeOfDay(now).UnixMilli()
	for _, w := range md.calendarStore.windowsByName() {
		if w.ClosesPool(typ, zone) && timeOfDay >= w.DrainAt() && timeOfDay < w.Span().To {
			return true
		}
	}
	return false
}

// started reports whether a machine's maintenance has begun.
func (md *maintenanceDrains) started(h *fleet.Machine, now time.Time) bool {
	w := md.nextWindow(h, now)
	return w != nil && md.calendarStore.timeOfDay(now).UnixMilli() >= w.Span().From
}

// step evicts what can go on elsewhere, and finally stops what has not ended.
func (md *maintenanceDrains) step(now time.Time) {
	if !md.enabled() || !md.calendarStore.hasWindows() {
		return
	}
	md.assignWindows(now)
	timeOfDay := md.calendarStore.timeOfDay(now)
	for s := range md.atRisk {
		if !s.Active() || s.Stopping || md.windowOf[s.Machine] == nil {
			delete(md.atRisk, s)
			s.Job.Notice = ""
		}
	}
	for h, w := range md.windowOf {
		if timeOfDay.UnixMilli() >= w.DrainAt() && !h.Lost {
			md.drainMachine(h, w, timeOfDay, now)
		}
	}
	for name, w := range md.calendarStore.windowsByName() {
		md.logState(name, w, timeOfDay)
	}
}

// logState logs the state of a window if it has changed since it was last logged.
func (md *maintenanceDrains) logState(name string, w *calendar.PlannedWindow, timeOfDay time.Time) {
	s := calendar.NewWindowStatus(w, timeOfDay)
	if s.State == calendar.WindowPlanned || md.loggedStates[name] == s.State {
		return
	}
	md.loggedStates[name] = s.State
	md.addMachineStatus(&s, w)
	md.log.Info("maintenance window state", "window", name, "state", s.State, "machines", s.Machines, "busy_machines", s.Busy, "late_tasks", len(s.Late))
}

// drainMachine lets a machine's tasks end, evicts them or stops them, as the time that is
// left demands.
func (md *maintenanceDrains) drainMachine(h *fleet.Machine, w *calendar.PlannedWindow, timeOfDay, now time.Time) {
	left := md.secondsToReturn(w, timeOfDay)
	for _, s := range h.Slots {
		if !s.Active() || s.Stopping {
			continue
		}
		if !s.LaunchSent {
			md.taskTracker.applyEvents(md.taskTracker.fleet.Stop(s, 0), now)
			continue
		}
		md.drainTask(s, w, left, now)
	}
}

// drainTask decides about one task of a machine that has to be empty in left seconds.
func (md *maintenanceDrains) drainTask(s *fleet.Slot, w *calendar.PlannedWindow, left float64, now time.Time) {
	grace := saveGrace(s.Job)
	switch {
	case s.Job.Shape == job.Service:
		// One replica of a service at a time, so that the others continue to serve.
		if left <= grace+md.returnMargin().Seconds() || md.servingReplicas(s.Job) >= desiredReplicas(s.Job) {
			md.evict(s, grace, w)
		}
	case md.reservationHolds.maxRemainingSeconds(s, now) <= left:
		// It ends in time.
	case grace > 0:
		md.evict(s, grace, w) // early: it goes on elsewhere from its checkpoint
	case left <= 0:
		md.evict(s, 0, w)
	case !md.atRisk[s]:
		md.warnAtRisk(s, w, left)
	}
}

// warnAtRisk logs that maintenance may stop a task in left seconds, and sets the notice in the
// status of its job.
func (md *maintenanceDrains) warnAtRisk(s *fleet.Slot, w *calendar.PlannedWindow, left float64) {
	md.atRisk[s] = true
	task, host := job.TaskName(s.Job.ID, s.Task), s.Machine.Name
	start := time.UnixMilli(w.Span().From).UTC().Format(time.RFC3339)
	s.Job.Notice = "maintenance of " + host + " at " + start + " may stop " + task
	md.log.Info("maintenance may stop a task", "task", task, "machine", host, "window", w.Name, "remaining_s", left)
}

// servingReplicas counts the replicas that run and are not being stopped. Those that are
// being stopped run until their worker confirms the stop: if they were counted, all replicas
// on a machine would be evicted at once.
func (md *maintenanceDrains) servingReplicas(j *job.Job) (n int) {
	for s := range md.fleet.SlotsOf(j) {
		if s.Phase == wire.TaskRunning && !s.Stopping {
			n++
		}
	}
	return n
}

// desiredReplicas is how many replicas of a service should run.
func desiredReplicas(j *job.Job) int {
	n := 0
	for t := range int32(j.Tasks) {
		if j.MayRun(t) {
			n++
		}
	}
	return n
}

// evict stops a task for maintenance; it has grace seconds to write a checkpoint.
func (md *maintenanceDrains) evict(s *fleet.Slot, grace float64, w *calendar.PlannedWindow) {
	md.log.Info("evicting a task for maintenance", "task", job.TaskName(s.Job.ID, s.Task), "machine", s.Machine.Name, "window", w.Name, "grace_s", grace)
	md.controller.Meter.Add(metrics.MaintenanceMoves, "", 1)
	md.taskTracker.stopSlot(s, grace)
}

// maxListedTasks bounds the tasks that a status names.
const maxListedTasks = 20

// addMachineStatus completes the status of a window: how many machines it takes, how many of
// them are busy, and the tasks that it may cut off.
func (md *maintenanceDrains) addMachineStatus(status *calendar.WindowStatus, w *calendar.PlannedWindow) {
	for _, h := range md.fleet.All() {
		if h.Releasing || !md.covers(w.Window, h) {
			continue
		}
		status.Machines++
		if h.Busy() {
			status.Busy++
		}
		for _, s := range h.Slots {
			if md.atRisk[s] && len(status.Late) < maxListedTasks {
				status.Late = append(status.Late, job.TaskName(s.Job.ID, s.Task))
			}
		}
	}
	slices.Sort(status.Late)
}
