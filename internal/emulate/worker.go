package emulate

import (
	"net"
	"slices"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// Worker is an emulated machine, booting or running, with its worker. The world's lock guards it.
type Worker struct {
	world     *World
	name      string
	addr      string
	typeName  string
	zone      string
	spot      bool
	createdAt time.Time
	bootedAt  time.Time
	tasks     map[string]*task // by taskKey

	removed   bool          // whether the machine was removed from the cloud
	hanging   bool          // whether the worker hangs: it does not run tasks, send or respond
	faulty    bool          // whether every task fails at its start
	pullDelay time.Duration // added to the time of each image pull

	// session and sequence identify the worker's messages. token is the highest fencing token that
	// the worker has received from a controller.
	session  uint64
	sequence uint64
	token    uint64
	restarts int // see Reboot
	// leaseStart is the time at which the last answered heartbeat was sent.
	leaseStart      time.Time
	controllerIndex int // index of the controller for the next heartbeat
	heartbeatSent   time.Time
	changed         bool // whether there are changes since the last heartbeat
	// unansweredSince is the time at which the first unanswered heartbeat after the last answered one
	// was sent. It is zero if there is none.
	unansweredSince time.Time
}

// Name returns the machine's name in the cloud.
func (worker *Worker) Name() string { return worker.name }

// Host returns the worker's host name on the network.
func (worker *Worker) Host() string {
	host, _, _ := net.SplitHostPort(worker.addr)
	return host
}

// overcommitted reports whether the tasks need more resources than the machine has.
func (worker *Worker) overcommitted() bool { return !worker.hasRoom(&job.Spec{}, 0) }

// rounding is the tolerance for rounding errors in sums of resources.
const rounding = 1e-9

// hasRoom reports whether the machine has resources for n tasks of a job in addition to its current
// tasks.
func (worker *Worker) hasRoom(spec *job.Spec, n int) bool {
	machineType := worker.world.machineType(worker.typeName)
	cpus := machineType.CPUs + rounding - float64(n)*spec.CPUs
	gpus := machineType.GPUs + rounding - float64(n)*spec.GPUs
	memGB := machineType.MemGB + rounding - float64(n)*spec.MemGB
	for _, t := range worker.tasks {
		if t.phase != wire.TaskExited && t.spec != nil {
			cpus -= t.spec.CPUs
			gpus -= t.spec.GPUs
			memGB -= t.spec.MemGB
		}
	}
	return cpus >= 0 && gpus >= 0 && memGB >= 0
}

// occupies reports whether the task counts as running on its machine: its image is pulled, it has
// not exited, and the machine's lease has not expired.
func (worker *Worker) occupies(t *task) bool {
	runs := t.phase != wire.TaskExited && t.phase != wire.TaskFetching
	leased := time.Since(worker.leaseStart) <= worker.world.cfg.LeaseDuration
	return runs && !worker.removed && leased
}

// step advances the worker's tasks to the given time. If the lease has expired it drops all tasks
// and starts a new session. Ends of tasks are recorded after all tasks have advanced.
func (worker *Worker) step(now time.Time) {
	if now.Sub(worker.leaseStart) > worker.world.cfg.LeaseDuration {
		worker.dropTasks(now)
		worker.session++
		worker.leaseStart = now
		worker.changed = true
	}
	for _, t := range worker.tasks {
		previous := t.phase
		defer worker.recordEnd(t, previous, now)
		worker.stepTask(t, now)
		worker.world.checkRunning(worker, t)
		worker.changed = worker.changed || previous != t.phase
	}
}

// stepTask moves a task to its next phase if the task is due for it.
func (worker *Worker) stepTask(t *task, now time.Time) {
	switch t.phase {
	case wire.TaskFetching:
		worker.finishPull(t, now)
	case wire.TaskWaiting:
		if worker.world.countGangMembers(t, wire.TaskWaiting, wire.TaskRunning) == t.spec.Tasks {
			t.run(now)
		} else if now.Sub(t.runningSince) > worker.world.cfg.GangTimeout {
			t.exit(wire.CauseGangIncomplete)
		}
	case wire.TaskRunning:
		worker.stepRunning(t, now)
	case wire.TaskCheckpointing:
		if now.After(t.checkpointedAt) {
			t.exit(wire.CauseStopped)
			t.checkpointed = true
		}
	}
}

// finishPull starts a task if its image pull has completed.
func (worker *Worker) finishPull(t *task, now time.Time) {
	if now.Before(t.pulledAt) {
		return
	}
	worker.world.checkStart(worker, t)
	start := worker.event(t, now)
	start.Start = true
	worker.world.record(start)
	t.run(now)
	if t.spec.ShapeName == gang {
		t.phase = wire.TaskWaiting
	}
	if worker.faulty {
		t.exit(wire.CauseError)
	}
	if t.spec.ShapeName != service && worker.world.checker.completedTasks[t.spec.ID][t.index] {
		t.exit(wire.CauseDone)
	}
}

// stepRunning ends a running task that has completed, crashed or lost a member of its gang, and
// updates the health of a replica.
func (worker *Worker) stepRunning(t *task, now time.Time) {
	ran := now.Sub(t.runningSince)
	crash := worker.world.images[t.spec.Image].CrashAfter
	switch {
	case t.spec.ShapeName == gang && worker.world.countGangMembers(t, wire.TaskWaiting, wire.TaskRunning, wire.TaskExited) < t.spec.Tasks:
		t.exit(wire.CausePeerLost)
	case crash > 0 && ran > crash:
		t.exit(wire.CauseError)
	case t.spec.ShapeName == service:
		if h := worker.world.images[t.spec.Image].health(ran); h != t.health {
			t.health = h
			worker.changed = true
		}
	case ran > seconds(t.spec.EstimateS):
		t.exit(wire.CauseDone)
		worker.world.recordCompleted(t)
	}
}

// countGangMembers counts the tasks of t's gang and attempt that are in one of the phases and have not
// failed.
func (w *World) countGangMembers(t *task, phases ...wire.TaskPhase) (n int) {
	for member := range w.tasks.byJob[t.jobID()] {
		failed := member.phase == wire.TaskExited && member.cause != wire.CauseDone
		if member.attempt == t.attempt && slices.Contains(phases, member.phase) && !failed {
			n++
		}
	}
	return n
}

// event returns an event of a task at the given time.
func (worker *Worker) event(t *task, now time.Time) Event {
	return Event{At: now, Task: t.name, Image: t.spec.Image, Machine: worker.name, Zone: worker.zone}
}

// recordEnd records the end of a task whose previous phase counts as running.
func (worker *Worker) recordEnd(t *task, previous wire.TaskPhase, now time.Time) {
	if (previous == wire.TaskRunning || previous == wire.TaskCheckpointing) && t.phase == wire.TaskExited {
		end := worker.event(t, now)
		end.Cause = t.cause
		worker.world.record(end)
	}
}

// remove removes the machine and its tasks from the world.
func (worker *Worker) remove(now time.Time) {
	worker.dropTasks(now)
	worker.removed = true
	delete(worker.world.workers, worker.name)
}

// dropTasks deletes all tasks and records those that were running as lost.
func (worker *Worker) dropTasks(now time.Time) {
	for id, t := range worker.tasks {
		worker.deleteTask(id)
		if t.phase == wire.TaskRunning || t.phase == wire.TaskCheckpointing {
			worker.world.checker.tasksLost++
			end := worker.event(t, now)
			end.Cause = CauseLost
			worker.world.record(end)
		}
	}
}
