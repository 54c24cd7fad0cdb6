package emulate

import (
	"fmt"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// Names of job shapes in messages.
const (
	gang    = job.GangName
	service = job.ServiceName
)

// task is one attempt of a task on a worker.
type task struct {
	name    string
	spec    *job.Spec // nil if the job is unknown
	index   int32
	attempt uint64
	phase   wire.TaskPhase
	cause   wire.ExitCause     // cause of its end
	health  wire.ReplicaHealth // last health of a replica

	pulledAt       time.Time // time at which the image pull completes
	runningSince   time.Time
	checkpointedAt time.Time // time at which saving the checkpoint completes
	checkpointed   bool
}

// run marks the task as running.
func (t *task) run(now time.Time) {
	t.phase = wire.TaskRunning
	t.runningSince = now
}

// exit marks the task as exited with the given cause.
func (t *task) exit(cause wire.ExitCause) {
	t.phase = wire.TaskExited
	t.cause = cause
}

// jobID returns the id of the job, or an empty string if the job is unknown.
func (t *task) jobID() string {
	if t.spec == nil {
		return ""
	}
	return t.spec.ID
}

// taskKey returns the key of an attempt of a task in Worker.tasks.
func taskKey(name string, attempt uint64) string { return fmt.Sprintf("%s#%d", name, attempt) }
