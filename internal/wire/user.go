package wire

// JobPhase is the state of a job as its user sees it.
type JobPhase string

// Phases of a job. JobDone and JobCancelled are final: a user who was sent one of them is
// never sent anything else.
const (
	JobPending   JobPhase = "pending" // no task runs
	JobRunning   JobPhase = "running"
	JobDone      JobPhase = "done" // all tasks have completed
	JobCancelled JobPhase = "aborted"
)

// Final reports whether a job in this phase is over.
func (p JobPhase) Final() bool { return p == JobDone || p == JobCancelled }

// JobStatus is sent by a controller to a user, as the response to a submission, a
// poll or a cancellation that was accepted.
type JobStatus struct {
	ID      string   `codec:"uid"`
	Phase   JobPhase `codec:"phase"`
	Done    int      `codec:"done"`    // tasks that have completed
	Running int      `codec:"running"` // tasks that run
	// Notice is a text for the user about something that lies ahead of the job, such as
	// maintenance: an addition to the protocol.
	Notice string `codec:"notice,omitempty"`
}

// Error is the body of a response that refuses a request: by a controller to users and
// workers, and by the cloud and the key-value store to controllers.
type Error struct {
	Error string `codec:"error"`
}
