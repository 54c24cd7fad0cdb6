package wire

// TaskPhase is the state of a task on its worker.
type TaskPhase string

// Phases of a task, in the order in which a task goes through them.
const (
	TaskFetching      TaskPhase = "pulling" // the machine is fetching the task's image
	TaskWaiting       TaskPhase = "waiting" // a task of a gang waits until all tasks of the gang are ready
	TaskRunning       TaskPhase = "running"
	TaskCheckpointing TaskPhase = "saving" // the task was stopped by a command and is writing a checkpoint
	TaskExited        TaskPhase = "exited" // TaskStatus.Cause has the reason
)

// ExitCause is the reason for which a task has exited.
type ExitCause string

// Causes of a task's exit. The last three mean that the worker refused to launch the task.
const (
	CauseDone           ExitCause = "done"       // completed
	CauseStopped        ExitCause = "halted"     // stopped by a command
	CausePeerLost       ExitCause = "mates_gone" // another task of the running gang was lost
	CauseGangIncomplete ExitCause = "incomplete" // the gang did not become complete in time
	CauseError          ExitCause = "error"      // failed, usually because the machine is faulty
	CauseNoResources    ExitCause = "full"       // not enough free resources on the machine
	CauseOtherAttempt   ExitCause = "busy"       // the machine already has another attempt of the task
	CauseUnknownTask    ExitCause = "no_such"    // no such job or task exists
)

// ReplicaHealth is the result of a worker's health check of a running replica of a
// service. It is an addition to the protocol: workers without health checks leave it empty.
type ReplicaHealth string

// Values of ReplicaHealth.
const (
	HealthGood ReplicaHealth = "good"
	HealthBad  ReplicaHealth = "bad"
)

// TaskStatus is the state of one task in a worker's heartbeat.
type TaskStatus struct {
	Task    string    `codec:"piece"` // "JOB/INDEX"
	Attempt uint64    `codec:"try"`
	Phase   TaskPhase `codec:"phase"`
	// Cause is set only in phase TaskExited.
	Cause ExitCause `codec:"cause,omitempty"`
	// CheckpointSaved reports whether a task with CauseStopped has saved a checkpoint.
	CheckpointSaved bool `codec:"stored,omitempty"`
	// Health is set only for running replicas, by workers with health checks.
	Health ReplicaHealth `codec:"health,omitempty"`
}

// Heartbeat is sent by a worker to a controller (POST /checkin). It is also a worker's
// response to DirectCommands and to GET /show.
type Heartbeat struct {
	Machine string `codec:"host"`     // name of the machine
	Addr    string `codec:"endpoint"` // host:port for direct commands
	Type    string `codec:"build"`    // machine type
	Zone    string `codec:"yard"`
	Spot    bool   `codec:"loaners"`
	// Session starts at 1. The worker increments it each time its lease has expired and it
	// has killed all its tasks. Seq increases with each message. Of two messages, the one
	// with the larger (Session, Seq) is the newer.
	Session uint64 `codec:"shift"`
	Seq     uint64 `codec:"tick"`
	// Token is the highest fencing token that the worker has seen.
	Token uint64 `codec:"baton"`
	// NoticeS is the time until the cloud reclaims the spot machine, in seconds. It is nil
	// if the cloud has given no notice.
	NoticeS *float64 `codec:"recall_s"`
	// Tasks are all tasks on the machine, including exited tasks that have not been cleared
	// with CommandClear.
	Tasks []TaskStatus `codec:"pieces"`
}

// Verb is the action of a command.
type Verb string

// Verbs of commands. All commands are idempotent, with one exception: a launch that
// arrives after a clear starts the attempt again.
const (
	CommandLaunch Verb = "launch" // fetch the image and start the task
	CommandStop   Verb = "halt"   // save a checkpoint if GraceS suffices, then exit
	CommandClear  Verb = "clear"  // remove an exited task from the heartbeats
)

// Command is a command of a controller to a worker for one attempt of a task.
type Command struct {
	Verb    Verb   `codec:"verb"`
	Task    string `codec:"piece"` // "JOB/INDEX"
	Attempt uint64 `codec:"try"`
	// GraceS is the time that a stopped task has for saving a checkpoint, in seconds. It
	// is set only for CommandStop.
	GraceS *float64 `codec:"wind_s,omitempty"`
}

// HeartbeatResponse is a controller's response to a heartbeat, with status 200. It renews
// the worker's lease unless Token is lower than one that the worker has seen. The worker
// executes the commands in order.
type HeartbeatResponse struct {
	Token    uint64    `codec:"baton"`
	Commands []Command `codec:"orders"`
}

// DirectCommands is sent by a controller to a worker's own address (POST /do). The worker
// responds with a Heartbeat. DirectCommands does not renew the lease. The worker executes
// the commands only if Token is at least the highest that it has seen and Session is its
// current session.
type DirectCommands struct {
	Token    uint64    `codec:"baton"`
	Session  uint64    `codec:"shift"`
	Commands []Command `codec:"orders"`
}

// Redirect is a controller's response to a heartbeat, with status 421, if another
// controller handles the machine.
type Redirect struct {
	// ReportTo is the member to which the worker should send its heartbeats. If it is
	// absent, the worker tries the next member that it knows.
	ReportTo string `codec:"herald,omitempty"`
}
