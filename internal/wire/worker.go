package wire

// TaskPhase is the state of a task on its worker.
type TaskPhase string

// Phases of a task, in the order in which it goes through them.
const (
	TaskFetching      TaskPhase = "pulling" // the machine fetches the task's image
	TaskWaiting       TaskPhase = "waiting" // a gang's task, until all tasks of the gang are ready
	TaskRunning       TaskPhase = "running"
	TaskCheckpointing TaskPhase = "saving" // stopped by a command, writes a checkpoint
	TaskExited        TaskPhase = "exited" // over; TaskStatus.Cause says why
)

// ExitCause says why a task has exited.
type ExitCause string

// Causes of a task's exit. The last three mean that the worker refused the launch.
const (
	CauseDone           ExitCause = "done"       // completed
	CauseStopped        ExitCause = "halted"     // stopped by a command
	CausePeerLost       ExitCause = "mates_gone" // another task of the running gang is gone
	CauseGangIncomplete ExitCause = "incomplete" // the gang was not complete in time
	CauseError          ExitCause = "error"      // failed, mostly because the machine is faulty
	CauseNoResources    ExitCause = "full"       // not enough free resources on the machine
	CauseOtherAttempt   ExitCause = "busy"       // another attempt of the task is on the machine
	CauseUnknownTask    ExitCause = "no_such"    // there is no such job or task
)

// ReplicaHealth is what a worker says of a service's running replica. It is an
// addition to the protocol: empty from workers that have no health checks.
type ReplicaHealth string

// Values of ReplicaHealth.
const (
	HealthGood ReplicaHealth = "good"
	HealthBad  ReplicaHealth = "bad"
)

// TaskStatus is one task in a worker's heartbeat.
type TaskStatus struct {
	Task    string    `codec:"piece"` // "JOB/INDEX"
	Attempt uint64    `codec:"try"`
	Phase   TaskPhase `codec:"phase"`
	// Cause is set only in TaskExited.
	Cause ExitCause `codec:"cause,omitempty"`
	// CheckpointSaved: a task with CauseStopped has saved its progress.
	CheckpointSaved bool `codec:"stored,omitempty"`
	// Health is set only for running replicas, and only by workers that check them.
	Health ReplicaHealth `codec:"health,omitempty"`
}

// Heartbeat is sent by a worker to a controller (POST /checkin). Workers also send
// it to a controller as the response to DirectCommands and to GET /show.
type Heartbeat struct {
	Machine string `codec:"host"`     // name of the machine
	Addr    string `codec:"endpoint"` // host:port for direct commands
	Type    string `codec:"build"`    // machine type
	Zone    string `codec:"yard"`
	Spot    bool   `codec:"loaners"`
	// Session starts at 1 and grows by one each time the worker's lease expires and it
	// has killed all its tasks. Seq grows with each message. The message with the
	// larger (Session, Seq) is the newer one.
	Session uint64 `codec:"shift"`
	Seq     uint64 `codec:"tick"`
	// Token is the highest fencing token that the worker has seen.
	Token uint64 `codec:"baton"`
	// NoticeS is the time until the cloud takes a spot machine back, in seconds; nil:
	// no notice was given.
	NoticeS *float64 `codec:"recall_s"`
	// Tasks are all tasks on the machine, exited ones included until a CommandClear.
	Tasks []TaskStatus `codec:"pieces"`
}

// Verb says what a command does.
type Verb string

// Verbs of commands. Every command may be repeated, except that a launch after a
// clear starts the attempt once more.
const (
	CommandLaunch Verb = "launch" // fetch the image and start the task
	CommandStop   Verb = "halt"   // save a checkpoint if the grace suffices, and exit
	CommandClear  Verb = "clear"  // remove an exited task from the heartbeats
)

// Command is one command of a controller to a worker, about one attempt of a task.
type Command struct {
	Verb    Verb   `codec:"verb"`
	Task    string `codec:"piece"` // "JOB/INDEX"
	Attempt uint64 `codec:"try"`
	// GraceS is how long a stopped task may take to save its progress, in seconds. It
	// is set only with CommandStop.
	GraceS *float64 `codec:"wind_s,omitempty"`
}

// HeartbeatResponse is sent by a controller to a worker, with status 200. It renews
// the worker's lease unless Token is lower than one that the worker has seen. The
// commands are executed in their order.
type HeartbeatResponse struct {
	Token    uint64    `codec:"baton"`
	Commands []Command `codec:"orders"`
}

// DirectCommands is sent by a controller to a worker's own address (POST /do), and
// answered with a Heartbeat. It does not renew the lease, and is executed only if
// Token is not lower than one that the worker has seen and Session is the current one.
type DirectCommands struct {
	Token    uint64    `codec:"baton"`
	Session  uint64    `codec:"shift"`
	Commands []Command `codec:"orders"`
}

// Redirect is sent by a controller to a worker, with status 421: the controller does
// not answer for its machine.
type Redirect struct {
	// ReportTo is the member that the worker should send its heartbeats to; absent: the
	// worker tries the next one that it knows.
	ReportTo string `codec:"herald,omitempty"`
}
