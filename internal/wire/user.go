package wire

// JobPhase is the state of a job as reported to its user.
type JobPhase string

// Phases of a job. JobDone and JobCancelled are final: once a user has received one of
// them, every later response has the same phase.
const (
	JobPending   JobPhase = "pending" // no task is running
	JobRunning   JobPhase = "running"
	JobDone      JobPhase = "done" // all tasks have completed
	JobCancelled JobPhase = "aborted"
)

// Final reports whether the phase is final.
func (p JobPhase) Final() bool { return p == JobDone || p == JobCancelled }

// JobStatus is the response of a controller to a user whose submission, poll or
// cancellation it has accepted.
type JobStatus struct {
	ID      string   `codec:"uid"`
	Phase   JobPhase `codec:"phase"`
	Done    int      `codec:"done"`    // number of completed tasks
	Running int      `codec:"running"` // number of running tasks
	// Notice tells the user about a future event that affects the job, such as
	// maintenance. It is an addition to the protocol.
	Notice string `codec:"notice,omitempty"`
}

// Error is the body of a response that refuses a request. Controllers send it to users
// and workers; the cloud and the key-value store send it to controllers.
type Error struct {
	Error string `codec:"error"`
}
