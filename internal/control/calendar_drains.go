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

// maintenanceDrains drains machines before their maintenance, so that they can be returned
// when it starts. It derives every action from the windows and the wall-clock time: a leader
// that takes over late performs the remaining actions, and none once the window has ended.
type maintenanceDrains struct {
	*core
	nameIndex        *nameIndex
	jobTable         *jobTable
	calendarStore    *calendarStore
	reservationHolds *reservationHolds
	taskTracker      *taskTracker

	// windowOf maps each machine with pending maintenance to the earliest window that had
	// not ended at assignedAt.
	windowOf   map[*fleet.Machine]*calendar.PlannedWindow
	assignedAt time.Time
	// atRisk are the tasks that are not expected to end before the maintenance and cannot
	// write a checkpoint.
	atRisk map[*fleet.Slot]bool
	// loggedStates are the last logged states of the windows, by name.
	loggedStates map[string]calendar.WindowState
}

func newMaintenanceDrains(co *core) *maintenanceDrains {
	md := &maintenanceDrains{core: co}
	md.reset()
	return md
}

// reset discards all state that was derived from the windows.
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

// covers reports whether a window includes a machine.
func (md *maintenanceDrains) covers(window *calendar.Window, machine *fleet.Machine) bool {
	t := md.nameIndex.machineType(machine)
	return t != nil && machine.Zone >= 0 && window.Covers(machine.Name, machine.Addr, t.Name, md.nameIndex.zoneNames()[machine.Zone])
}

// machinesByPool returns the number of machines that a window names, by type and zone. It
// returns nil for a window that closes whole pools.
func (md *maintenanceDrains) machinesByPool(window *calendar.Window) []calendar.Allocation {
	if !window.NamesMachines() {
		return nil
	}
	var pools []calendar.Allocation
	for _, machine := range md.fleet.All() {
		if machine.Releasing || !md.covers(window, machine) {
			continue
		}
		typ, zone := md.nameIndex.machineType(machine).Name, md.nameIndex.zoneNames()[machine.Zone]
		i := slices.IndexFunc(pools, func(a calendar.Allocation) bool { return a.Type == typ && a.Zone == zone })
		if i < 0 {
			i = len(pools)
			pools = append(pools, calendar.Allocation{Type: typ, Zone: zone})
		}
		pools[i].Machines++
	}
	return pools
}

// windowAssignmentInterval is the interval at which windows are assigned to machines.
const windowAssignmentInterval = time.Second

// assignWindows assigns each machine its next window.
func (md *maintenanceDrains) assignWindows(now time.Time) {
	if now.Sub(md.assignedAt) < windowAssignmentInterval {
		return
	}
	md.assignedAt = now
	clear(md.windowOf)
	wallTime := md.calendarStore.wallTime(now).UnixMilli()
	for _, window := range md.calendarStore.windowsByName() {
		if window.Span().To <= wallTime {
			continue
		}
		for _, machine := range md.fleet.All() {
			if first := md.windowOf[machine]; (first == nil || window.Span().From < first.Span().From) && md.covers(window.Window, machine) {
				md.windowOf[machine] = window
			}
		}
	}
}

// nextWindow returns a machine's next window, or nil if there is none.
func (md *maintenanceDrains) nextWindow(machine *fleet.Machine, now time.Time) *calendar.PlannedWindow {
	if !md.enabled() || !md.calendarStore.hasWindows() {
		return nil
	}
	md.assignWindows(now)
	return md.windowOf[machine]
}

// freeOfMaintenance reports whether a machine's next window does not overlap a span.
func (md *maintenanceDrains) freeOfMaintenance(machine *fleet.Machine, span calendar.Span) bool {
	window := md.nextWindow(machine, time.Now())
	return window == nil || !window.Span().Overlaps(span)
}

// returnMargin returns how long before the start of its maintenance a machine must be empty.
// The margin covers the time until the leader detects, from the worker's heartbeats, that
// the last task has ended.
func (md *maintenanceDrains) returnMargin() time.Duration {
	return heartbeatsToDetectEnd*md.heartbeatInterval() + time.Second
}

// annotate sets the maintenance fields in the planner's view of a machine: whether
// maintenance is due, in how many seconds the machine must be empty, and whether it is being
// drained.
func (md *maintenanceDrains) annotate(view *place.Machine, machine *fleet.Machine, now time.Time) {
	window := md.nextWindow(machine, now)
	if window == nil {
		return
	}
	wallTime := md.calendarStore.wallTime(now)
	view.MaintenanceDue = true
	view.MaintenanceInS = md.secondsToReturn(window, wallTime)
	view.Draining = wallTime.UnixMilli() >= window.DrainAt()
}

// secondsToReturn returns the seconds until the machines of a window must be empty.
func (md *maintenanceDrains) secondsToReturn(window *calendar.PlannedWindow, wallTime time.Time) float64 {
	return time.UnixMilli(window.Span().From).Add(-md.returnMargin()).Sub(wallTime).Seconds()
}

// poolClosed reports whether an active window closes all machines of a type in a zone. A new
// machine would have to be returned at once.
func (md *maintenanceDrains) poolClosed(typ, zone string, now time.Time) bool {
	if !md.enabled() {
		return false
	}
	wallTime := md.calendarStore.wallTime(now).UnixMilli()
	for _, window := range md.calendarStore.windowsByName() {
		if window.ClosesPool(typ, zone) && wallTime >= window.DrainAt() && wallTime < window.Span().To {
			return true
		}
	}
	return false
}

// started reports whether a machine's maintenance has started.
func (md *maintenanceDrains) started(machine *fleet.Machine, now time.Time) bool {
	window := md.nextWindow(machine, now)
	return window != nil && md.calendarStore.wallTime(now).UnixMilli() >= window.Span().From
}

// step evicts tasks that can continue on other machines, and stops the remaining ones before
// the maintenance starts.
func (md *maintenanceDrains) step(now time.Time) {
	if !md.enabled() || !md.calendarStore.hasWindows() {
		return
	}
	md.assignWindows(now)
	wallTime := md.calendarStore.wallTime(now)
	for slot := range md.atRisk {
		if !slot.Active() || slot.Stopping || md.windowOf[slot.Machine] == nil {
			delete(md.atRisk, slot)
			slot.Job.Notice = ""
		}
	}
	for machine, window := range md.windowOf {
		if wallTime.UnixMilli() >= window.DrainAt() && !machine.Lost {
			md.drainMachine(machine, window, wallTime, now)
		}
	}
	for name, window := range md.calendarStore.windowsByName() {
		md.logState(name, window, wallTime)
	}
}

// logState logs the state of a window if it has changed since it was last logged.
func (md *maintenanceDrains) logState(name string, window *calendar.PlannedWindow, wallTime time.Time) {
	status := calendar.NewWindowStatus(window, wallTime)
	if status.State == calendar.WindowPlanned || md.loggedStates[name] == status.State {
		return
	}
	md.loggedStates[name] = status.State
	md.addMachineStatus(&status, window)
	md.log.Info("maintenance window changed state", "window", name, "state", status.State, "machines", status.Machines, "busy_machines", status.Busy, "late_tasks", len(status.Late))
}

// drainMachine lets a machine's tasks run to their end, or evicts or stops them, depending
// on the remaining time.
func (md *maintenanceDrains) drainMachine(machine *fleet.Machine, window *calendar.PlannedWindow, wallTime, now time.Time) {
	left := md.secondsToReturn(window, wallTime)
	for _, slot := range machine.Slots {
		if !slot.Active() || slot.Stopping {
			continue
		}
		if !slot.LaunchSent {
			md.taskTracker.applyEvents(md.taskTracker.fleet.Stop(slot, 0), now)
			continue
		}
		md.drainTask(slot, window, left, now)
	}
}

// drainTask drains one task of a machine that must be empty in left seconds.
func (md *maintenanceDrains) drainTask(slot *fleet.Slot, window *calendar.PlannedWindow, left float64, now time.Time) {
	grace := saveGrace(slot.Job)
	switch {
	case slot.Job.Shape == job.Service:
		// Replicas are evicted one at a time, so that the others continue to serve.
		if left <= grace+md.returnMargin().Seconds() || md.servingReplicas(slot.Job) >= desiredReplicas(slot.Job) {
			md.evict(slot, grace, window)
		}
	case md.reservationHolds.maxRemainingSeconds(slot, now) <= left:
		// The task ends in time.
	case grace > 0:
		md.evict(slot, grace, window) // the task resumes on another machine from its checkpoint
	case left <= 0:
		md.evict(slot, 0, window)
	case !md.atRisk[slot]:
		md.warnAtRisk(slot, window, left)
	}
}

// warnAtRisk logs that maintenance may stop a task in left seconds, and sets the notice in
// the status of its job.
func (md *maintenanceDrains) warnAtRisk(slot *fleet.Slot, window *calendar.PlannedWindow, left float64) {
	md.atRisk[slot] = true
	task, machine := job.TaskName(slot.Job.ID, slot.Task), slot.Machine.Name
	start := time.UnixMilli(window.Span().From).UTC().Format(time.RFC3339)
	slot.Job.Notice = "maintenance of " + machine + " at " + start + " may stop " + task
	md.log.Info("maintenance may stop task before it ends", "task", task, "machine", machine, "window", window.Name, "remaining_s", left)
}

// servingReplicas returns the number of replicas that run and are not being stopped. A
// replica that is being stopped stays in phase running until its worker confirms the stop;
// if it were counted, all replicas on a machine would be evicted at once.
func (md *maintenanceDrains) servingReplicas(j *job.Job) (n int) {
	for s := range md.fleet.SlotsOf(j) {
		if s.Phase == wire.TaskRunning && !s.Stopping {
			n++
		}
	}
	return n
}

// desiredReplicas returns how many replicas of a service should run.
func desiredReplicas(j *job.Job) int {
	n := 0
	for t := range int32(j.Tasks) {
		if j.MayRun(t) {
			n++
		}
	}
	return n
}

// evict stops a task because of maintenance. The task has grace seconds to write a
// checkpoint.
func (md *maintenanceDrains) evict(slot *fleet.Slot, grace float64, window *calendar.PlannedWindow) {
	md.log.Info("evicting task for maintenance", "task", job.TaskName(slot.Job.ID, slot.Task), "machine", slot.Machine.Name, "window", window.Name, "grace_s", grace)
	md.controller.Meter.Add(metrics.MaintenanceMoves, "", 1)
	md.taskTracker.stopSlot(slot, grace)
}

// maxListedTasks bounds the tasks that are listed in a window's status.
const maxListedTasks = 20

// addMachineStatus adds to the status of a window the number of its machines, the number of
// busy ones, and the tasks that the maintenance may stop.
func (md *maintenanceDrains) addMachineStatus(status *calendar.WindowStatus, window *calendar.PlannedWindow) {
	for _, machine := range md.fleet.All() {
		if machine.Releasing || !md.covers(window.Window, machine) {
			continue
		}
		status.Machines++
		if machine.Busy() {
			status.Busy++
		}
		for _, slot := range machine.Slots {
			if md.atRisk[slot] && len(status.Late) < maxListedTasks {
				status.Late = append(status.Late, job.TaskName(slot.Job.ID, slot.Task))
			}
		}
	}
	slices.Sort(status.Late)
}
