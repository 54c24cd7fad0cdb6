package emulate

import (
	"fmt"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// Shapes of jobs by their names on the wire.
const (
	gang    = "ensemble"
	service = "daemon"
)

// task is one attempt of a task on a worker.
type task struct {
	name    string
	spec    *job.Spec // nil: the job is not known
	index   int32
	attempt uint64
	phase   string
	cause   string // of its end
	health  string // of a replica, as it was last reported

	pulledAt       time.Time // it has its image from then on
	runningSince   time.Time
	checkpointedAt time.Time // it has saved its checkpoint from then on
	checkpointed   bool
}

// run starts the task.
func (t *task) run(now time.Time) {
	t.phase = wire.Running
	t.runningSince = now
}

// exit ends the task.
func (t *task) exit(cause string) {
	t.phase = wire.Exited
	t.cause = cause
}

// jobID is the job's id, or empty if it is not known.
func (t *task) jobID() string {
	if t.spec == nil {
		return ""
	}
	return t.spec.ID
}

// taskKey names an attempt of a task on its worker.
func taskKey(name string, attempt uint64) string { return fmt.Sprintf("%s#%d", name, attempt) }
