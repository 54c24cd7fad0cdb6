package job

import (
	"time"

	"vetchstream/internal/wire"
)

// anyIndex is the index of a team, zone, image or machine that is unknown or not
// restricted.
const anyIndex = -1

// Job is an active job, or an ended job whose tasks may still be on machines. Only the
// leader's actor goroutine may access it.
type Job struct {
	Spec
	Shape    Shape
	Priority Priority

	// Dense indices of the names in the spec; -1 if any zone is allowed, or the index has
	// not been determined yet.
	TeamIdx  int
	ZoneIdx  int
	ImageIdx int
	// TypeAllowed holds whether the job allows each machine type; nil if it allows all.
	TypeAllowed []bool

	Version     uint64 // version of the active record
	SubmittedMS int64  // wall-clock time of the submission, in milliseconds
	Submitted   time.Time
	// Phase is empty until the final record is committed.
	Phase wire.JobPhase
	// EndingPhase is the final phase whose commit has been sent. No task is launched from
	// then on, whatever the outcome of the commit.
	EndingPhase wire.JobPhase
	// CancelledAt is when the commit of the job's cancellation was first sent. The user
	// may have been notified since then. Zero if an earlier leader sent the commit.
	CancelledAt time.Time

	done          []uint64 // bit set of the completed tasks
	DoneCount     int
	dirtyChunks   map[int]bool
	chunkVersions map[int]uint64 // versions of the chunks that may exist as keys

	// Replicas restricts which replicas of a service may run during a roll-out; nil if
	// all may run.
	Replicas *ReplicaPlan
	// Versions are the other versions of the service.
	Versions []*Job
	// IsVersionGroup reports that the user refers to all versions of the service by this
	// job's id.
	IsVersionGroup bool

	// Live is, by task, the number of placements that may be on a machine.
	Live map[int32]int
	// liveIncomplete is the number of tasks in Live that have not completed.
	liveIncomplete int
	// lowestIncomplete is a lower bound of the tasks that have not completed.
	lowestIncomplete int32
	// RegisteredMachines are the machines for which the stored registry is certain to list
	// the job. The job is launched only on these, so that the next leader can determine
	// what a machine that sends no heartbeats may run.
	RegisteredMachines MachineSet

	// GangAttempt is the attempt of the gang that tasks are placed for; 0 if there is none.
	GangAttempt uint64
	// GangStopping reports that the current attempt has failed or is being stopped. All
	// tasks of the attempt must have left their machines before the next attempt.
	GangStopping bool
	// GangStarted reports that the tasks of the attempt have started to run.
	GangStarted bool

	// NotBefore and Backoff delay the launches of a job that fails repeatedly.
	NotBefore time.Time
	Backoff   time.Duration
	// Notice is a message to the user in addition to the phase; empty if there is none.
	Notice string
	// FailedMachines are the machines on which a task of the job has failed, by name.
	FailedMachines map[string]bool
	// HasSucceeded reports that a task has completed or has run for some time, so that
	// further failures are not attributed to the job.
	HasSucceeded bool

	// Run times of completed tasks, in total and by machine. A machine on which tasks take
	// much longer than on others is faulty.
	RunTimeSumS       float64
	RunTimeCount      int
	RunTimesByMachine map[string]RunTimes

	// LastMachine is the index of the machine of the job's previous placement.
	LastMachine int
	// WaitingSince is when the job started to wait for a placement.
	WaitingSince time.Time
}

// New returns the job that a record describes.
func New(record *Record, submitted time.Time) *Job {
	words := (record.Spec.Tasks + wordBits - 1) / wordBits
	return &Job{
		Spec:              record.Spec,
		Shape:             record.Spec.ParsedShape(),
		Priority:          record.Spec.ParsedPriority(),
		TeamIdx:           anyIndex,
		ZoneIdx:           anyIndex,
		ImageIdx:          anyIndex,
		LastMachine:       anyIndex,
		SubmittedMS:       record.SubmittedMS,
		Phase:             record.Phase,
		Submitted:         submitted,
		WaitingSince:      submitted,
		done:              make([]uint64, words),
		dirtyChunks:       map[int]bool{},
		chunkVersions:     map[int]uint64{},
		Live:              map[int32]int{},
		FailedMachines:    map[string]bool{},
		RunTimesByMachine: map[string]RunTimes{},
	}
}

// ReplaceRecord resets the job to the state that a record describes. It keeps the
// placements, the registered machines and the state of the roll-out.
func (j *Job) ReplaceRecord(record *Record, submitted time.Time) {
	old := *j
	*j = *New(record, submitted)
	j.Live = old.Live
	j.RegisteredMachines = old.RegisteredMachines
	j.Replicas = old.Replicas
	j.Versions = old.Versions
	j.IsVersionGroup = old.IsVersionGroup
	j.recountDone()
}

// RunTimes is the sum of the run times of completed tasks, in seconds, and their number.
type RunTimes struct {
	SumS  float64
	Count int
}

// RecordRunTime records the run time of a completed task, in seconds.
func (j *Job) RecordRunTime(machine string, seconds float64) {
	j.RunTimeSumS += seconds
	j.RunTimeCount++
	times := j.RunTimesByMachine[machine]
	times.SumS += seconds
	times.Count++
	j.RunTimesByMachine[machine] = times
}

// Complete reports whether all tasks of the job have completed. A service is never
// complete.
func (j *Job) Complete() bool {
	return j.Shape != Service && j.DoneCount == j.Tasks
}

// Cancelled reports whether the user may have been notified that the job is cancelled.
func (j *Job) Cancelled() bool {
	return j.Phase == wire.JobCancelled || (j.Phase == "" && j.EndingPhase == wire.JobCancelled)
}

// Status returns the status of the job for its user. running is the number of its
// running tasks.
func (j *Job) Status(running int) wire.JobStatus {
	status := wire.JobStatus{
		ID:      j.ID,
		Phase:   wire.JobPending,
		Done:    j.DoneCount,
		Running: running,
		Notice:  j.Notice,
	}
	switch {
	case j.Phase != "":
		status.Phase = j.Phase
		status.Running = 0
	case running > 0:
		status.Phase = wire.JobRunning
	}
	return status
}
