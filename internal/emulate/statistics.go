package emulate

import (
	"maps"
	"time"

	"vetchstream/internal/wire"
)

// Starts counts the tasks that got their image.
func (w *World) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checker.starts
}

// StartsAfterCancellation counts the tasks that got their image after the cancellation of their
// job was confirmed: launches that were in flight.
func (w *World) StartsAfterCancellation() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checker.startsAfterCancellation
}

// OverdueLaunches counts the direct commands to launch a task that reached a worker after
// the last moment at which a task of the cancelled job may be on a machine, and those of
// them that it carried out. Such a task may still be halted before it has its image.
func (w *World) OverdueLaunches() (arrived, carriedOut int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checker.overdueLaunches, w.checker.overdueExecuted
}

// MaxBlockedCommands is how many direct commands have waited at hanging machines at a time.
func (w *World) MaxBlockedCommands() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checker.maxBlockedCommands
}

// TasksLost counts the tasks that ran when their machine was lost or its lease expired.
func (w *World) TasksLost() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checker.tasksLost
}

// HeartbeatsByController counts the heartbeats that each controller has answered.
func (w *World) HeartbeatsByController() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.checker.heartbeatsAnswered)
}

// UnansweredQuantiles are quantiles of how long workers went without an answer, from the first
// heartbeat that had none: the median, 99 % and the longest; n is how many did.
func (w *World) UnansweredQuantiles() (n int64, half, most99, longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ms := func(v int64) time.Duration { return time.Duration(v) * time.Millisecond }
	h := w.checker.unansweredTime
	return h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max())
}

// TeamCPUs is how many CPUs the tasks of a team take, those that are halted but not gone
// included.
func (w *World) TeamCPUs(team string) (cpus float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range w.workers {
		for _, t := range worker.tasks {
			if t.spec != nil && t.spec.Team == team && worker.occupies(t) {
				cpus += t.spec.CPUs
			}
		}
	}
	return cpus
}

// CPUsByTeam is how many CPUs the tasks of each team take.
func (w *World) CPUsByTeam() map[string]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]float64{}
	for _, worker := range w.workers {
		for _, t := range worker.tasks {
			if t.spec != nil && worker.occupies(t) {
				out[t.spec.Team] += t.spec.CPUs
			}
		}
	}
	return out
}

// CancellationsConfirmed counts the cancellations that were first confirmed from one moment to
// another.
func (w *World) CancellationsConfirmed(from, to time.Time) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.checker.cancelledAt {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// Load is what the workers do at a time, and have done.
type Load struct {
	// RunningTasks counts the tasks that hold their machines.
	RunningTasks int
	// Heartbeats counts the answered ones, DirectCommands those that arrived.
	Heartbeats, DirectCommands int
}

// Load is what the workers do now.
func (w *World) Load() Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := Load{DirectCommands: w.checker.directCommands}
	for _, n := range w.checker.heartbeatsAnswered {
		l.Heartbeats += n
	}
	for _, worker := range w.workers {
		for _, t := range worker.tasks {
			if worker.occupies(t) {
				l.RunningTasks++
			}
		}
	}
	return l
}

// AnsweredWorkers counts the workers that have had an answer to a heartbeat.
func (w *World) AnsweredWorkers() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range w.workers {
		if worker.token > 0 {
			n++
		}
	}
	return n
}

// RunningTasks counts the running tasks of a job.
func (w *World) RunningTasks(id string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range w.workers {
		for _, t := range worker.tasks {
			if t.phase == wire.Running && t.spec.ID == id {
				n++
			}
		}
	}
	return n
}
