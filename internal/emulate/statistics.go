package emulate

import (
	"maps"
	"time"

	"vetchstream/internal/wire"
)

// Starts returns the number of task starts, counted when the image pull completes.
func (w *World) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checker.starts
}

// StartsAfterCancellation returns the number of task starts after the cancellation of their job was
// confirmed. Launches that were in flight cause them.
func (w *World) StartsAfterCancellation() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checker.startsAfterCancellation
}

// OverdueLaunches returns the number of direct launch commands that reached a worker after the cancel
// timeout of their job, and how many of them the worker executed. A task that was launched so late
// may still be stopped before its image is pulled.
func (w *World) OverdueLaunches() (arrived, executed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checker.overdueLaunches, w.checker.overdueExecuted
}

// MaxBlockedCommands returns the highest number of direct requests that waited at hanging machines at
// the same time.
func (w *World) MaxBlockedCommands() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checker.maxBlockedCommands
}

// TasksLost returns the number of tasks that were running when their machine was lost or its lease
// expired.
func (w *World) TasksLost() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checker.tasksLost
}

// HeartbeatsByController returns the number of heartbeats that each controller has answered.
func (w *World) HeartbeatsByController() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.checker.heartbeatsAnswered)
}

// UnansweredQuantiles returns the number of periods in which a worker got no response to its
// heartbeats, with the median, the 99th percentile and the maximum of their lengths. A period starts
// with the first unanswered heartbeat and ends with the next answered one.
func (w *World) UnansweredQuantiles() (n int64, median, p99, longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	milliseconds := func(v int64) time.Duration { return time.Duration(v) * time.Millisecond }
	times := w.checker.unansweredTime
	return times.TotalCount(), milliseconds(times.ValueAtQuantile(50)), milliseconds(times.ValueAtQuantile(99)), milliseconds(times.Max())
}

// TeamCPUs returns the CPUs that the tasks of a team take, including tasks that are being stopped.
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

// CPUsByTeam returns the CPUs that the tasks of each team take.
func (w *World) CPUsByTeam() map[string]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	byTeam := map[string]float64{}
	for _, worker := range w.workers {
		for _, t := range worker.tasks {
			if t.spec != nil && worker.occupies(t) {
				byTeam[t.spec.Team] += t.spec.CPUs
			}
		}
	}
	return byTeam
}

// CancellationsConfirmed returns the number of cancellations that were first confirmed at or after
// from and before to.
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

// Load has the current number of tasks on the workers and the number of messages so far.
type Load struct {
	// RunningTasks counts the tasks that count as running on their machines.
	RunningTasks int
	// Heartbeats counts the answered heartbeats, DirectCommands the accepted direct requests.
	Heartbeats, DirectCommands int
}

// Load returns the current load of the workers.
func (w *World) Load() Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	load := Load{DirectCommands: w.checker.directCommands}
	for _, n := range w.checker.heartbeatsAnswered {
		load.Heartbeats += n
	}
	for _, worker := range w.workers {
		for _, t := range worker.tasks {
			if worker.occupies(t) {
				load.RunningTasks++
			}
		}
	}
	return load
}

// AnsweredWorkers returns the number of workers that have received a response to a heartbeat.
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

// RunningTasks returns the number of running tasks of a job.
func (w *World) RunningTasks(id string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range w.workers {
		for _, t := range worker.tasks {
			if t.phase == wire.TaskRunning && t.spec.ID == id {
				n++
			}
		}
	}
	return n
}
