package wire

// Phases of a job as its user sees them. JobDone and JobCancelled are final: a user
// who was sent one of them is never sent anything else.
const (
	JobPending   = "pending" // no task runs
	JobRunning   = "running"
	JobDone      = "done" // all tasks have completed
	JobCancelled = "aborted"
)

// JobStatus is sent by a controller to a user, as the response to a submission, a
// poll or a cancellation that was accepted.
type JobStatus struct {
	ID      string `codec:"uid"`
	Phase   string `codec:"phase"`
	Done    int    `codec:"done"`    // tasks that have completed
	Running int    `codec:"running"` // tasks that run
	// Notice is a text for the user about something that lies ahead of the job, such as
	// maintenance: an addition to the protocol.
	Notice string `codec:"notice,omitempty"`
}

// Error is the body of a response that refuses a request: by a controller to users and
// workers, and by the cloud and the key-value store to controllers.
type Error struct {
	Error string `codec:"error"`
}
