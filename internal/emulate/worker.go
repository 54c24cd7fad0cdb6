package emulate

import (
	"net"
	"slices"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// Worker is a machine that is up, or boots. The world's lock guards it.
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

	removed   bool          // from the cloud
	hanging   bool          // it does nothing
	faulty    bool          // every task fails
	pullDelay time.Duration // images take that much longer

	// session and sequence number the worker's messages, token is the highest fencing token of
	// a controller that it has seen.
	session  uint64
	sequence uint64
	token    uint64
	// leaseStart is when the last answered heartbeat was sent.
	leaseStart      time.Time
	controllerIndex int // index of the one that gets the next heartbeat
	heartbeatSent   time.Time
	changed         bool // since the last heartbeat
	// unansweredSince is when the first heartbeat without an answer since the last answered one
	// was sent; zero: there is none.
	unansweredSince time.Time
}

// Name is the machine's name in the cloud.
func (worker *Worker) Name() string { return worker.name }

// Host is the worker's name on the network.
func (worker *Worker) Host() string {
	host, _, _ := net.SplitHostPort(worker.addr)
	return host
}

// overcommitted reports whether the tasks take more than the machine has.
func (worker *Worker) overcommitted() bool { return !worker.hasRoom(&job.Spec{}, 0) }

// rounding is what a sum of resources may be off.
const rounding = 1e-9

// hasRoom reports whether the machine has resources for n tasks of a job beside its own.
func (worker *Worker) hasRoom(s *job.Spec, n int) bool {
	typ := worker.world.machineType(worker.typeName)
	cpus := typ.CPUs + rounding - float64(n)*s.CPUs
	gpus := typ.GPUs + rounding - float64(n)*s.GPUs
	memGB := typ.MemGB + rounding - float64(n)*s.MemGB
	for _, t := range worker.tasks {
		if t.phase != wire.TaskExited && t.spec != nil {
			cpus -= t.spec.CPUs
			gpus -= t.spec.GPUs
			memGB -= t.spec.MemGB
		}
	}
	return cpus >= 0 && gpus >= 0 && memGB >= 0
}

// occupies reports whether the task counts as running on its machine: it has its image, and
// the lease has not expired.
func (worker *Worker) occupies(t *task) bool {
	runs := t.phase != wire.TaskExited && t.phase != wire.TaskFetching
	leased := time.Since(worker.leaseStart) <= worker.world.cfg.LeaseDuration
	return runs && !worker.removed && leased
}

// step lets time pass: an expired lease ends all tasks, and each task goes on. Ends are recorded
// after all tasks have gone on.
func (worker *Worker) step(now time.Time) {
	if now.Sub(worker.leaseStart) > worker.world.cfg.LeaseDuration {
		worker.dropTasks(now)
		worker.session++
		worker.leaseStart = now
		worker.changed = true
	}
	for _, t := range worker.tasks {
		was := t.phase
		defer worker.recordEnd(t, was, now)
		worker.stepTask(t, now)
		worker.world.checkRunning(worker, t)
		worker.changed = worker.changed || was != t.phase
	}
}

// stepTask lets a task go on to its next phase when the time has come.
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

// finishPull starts a task once it has its image.
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

// stepRunning ends a running task whose time has come.
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

// countGangMembers counts the gang's members of the same attempt in one of the phases, without
// those that failed.
func (w *World) countGangMembers(t *task, phases ...wire.TaskPhase) (n int) {
	for member := range w.tasks.byJob[t.jobID()] {
		failed := member.phase == wire.TaskExited && member.cause != wire.CauseDone
		if member.attempt == t.attempt && slices.Contains(phases, member.phase) && !failed {
			n++
		}
	}
	return n
}

// event is an event of a task at a time.
func (worker *Worker) event(t *task, now time.Time) Event {
	return Event{At: now, Task: t.name, Image: t.spec.Image, Machine: worker.name, Zone: worker.zone}
}

// recordEnd records the end of a task that ran before.
func (worker *Worker) recordEnd(t *task, was wire.TaskPhase, now time.Time) {
	if (was == wire.TaskRunning || was == wire.TaskCheckpointing) && t.phase == wire.TaskExited {
		end := worker.event(t, now)
		end.Cause = t.cause
		worker.world.record(end)
	}
}

// remove takes the machine away with all that is on it.
func (worker *Worker) remove(now time.Time) {
	worker.dropTasks(now)
	worker.removed = true
	delete(worker.world.workers, worker.name)
}

// dropTasks forgets all tasks, and records that those that ran are lost.
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
