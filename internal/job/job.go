package job

import (
	"time"

	"vetchstream/internal/wire"
)

// anyIndex stands for no particular team, zone, image or machine.
const anyIndex = -1

// Job is an active job, or one whose tasks may still be on machines. Only the
// leader's actor touches it.
type Job struct {
	Spec
	Shape    Shape
	Priority Priority

	// Dense indices of the names in the spec; -1: any zone, or not known yet.
	TeamIdx  int
	ZoneIdx  int
	ImageIdx int
	// TypeAllowed tells for each machine type whether the job allows it; nil: all.
	TypeAllowed []bool

	Version     uint64 // of the active record
	SubmittedMS int64  // time of day of the submission, in milliseconds
	Submitted   time.Time
	// Phase is empty until the final record is committed.
	Phase wire.JobPhase
	// EndingPhase is the final phase whose commit has been sent: nothing is launched
	// from that moment on, whatever becomes of the commit.
	EndingPhase wire.JobPhase
	// CancelledAt is when the commit of the job's cancellation was first sent: its user
	// may have been notified from then on. Zero where an earlier leader sent it.
	CancelledAt time.Time

	done          []uint64 // bit set of the completed tasks
	DoneCount     int
	dirtyChunks   map[int]bool
	chunkVersions map[int]uint64 // of the chunks that may exist as keys

	// Replicas is which replicas of a service may run while it is rolled out; nil: all.
	Replicas *ReplicaPlan
	// Versions are the other versions of the service.
	Versions []*Job
	// IsVersionGroup tells that this job's id is its user's name for all versions.
	IsVersionGroup bool

	// Live counts, for each task, the placements that may be on a machine.
	Live map[int32]int
	// liveIncomplete counts the tasks of Live that have not completed.
	liveIncomplete int
	// lowestIncomplete is the lowest task that may still need a placement.
	lowestIncomplete int32
	// RegisteredMachines are the machines for which the registry certainly names the job. It
	// is launched on these alone, so that the next leader knows what a silent machine
	// may run.
	RegisteredMachines MachineSet

	// GangAttempt is the attempt that members are placed with; 0: none.
	GangAttempt uint64
	// GangStopping tells that the running attempt has failed or is being stopped: all
	// members must leave before there is another.
	GangStopping bool
	// GangStarted tells that the members of the attempt have started to run.
	GangStarted bool

	// NotBefore and Backoff delay a job that fails again and again.
	NotBefore time.Time
	Backoff   time.Duration
	// Notice is a message to the user beside the state; empty: none.
	Notice string
	// FailedMachines are the machines on which a task failed.
	FailedMachines map[string]bool
	// HasSucceeded tells that a task has completed or has run for a while, so that
	// further failures are not the job's fault.
	HasSucceeded bool

	// Run times of completed tasks, in all and by machine: a faulty machine shows as
	// far slower than the others.
	RunTimeSumS       float64
	RunTimeCount      int
	RunTimesByMachine map[string]RunTimes

	// LastMachine is the machine of the job's previous placement.
	LastMachine int
	// WaitingSince is when the job began to wait for a placement.
	WaitingSince time.Time
}

// New makes the runtime form of a record.
func New(r *Record, submitted time.Time) *Job {
	words := (r.Spec.Tasks + wordBits - 1) / wordBits
	return &Job{
		Spec:              r.Spec,
		Shape:             r.Spec.ParsedShape(),
		Priority:          r.Spec.ParsedPriority(),
		TeamIdx:           anyIndex,
		ZoneIdx:           anyIndex,
		ImageIdx:          anyIndex,
		LastMachine:       anyIndex,
		SubmittedMS:       r.SubmittedMS,
		Phase:             r.Phase,
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

// ReplaceRecord replaces what is known of a job by its record; what may be on
// machines stays.
func (j *Job) ReplaceRecord(r *Record, submitted time.Time) {
	old := *j
	*j = *New(r, submitted)
	j.Live = old.Live
	j.RegisteredMachines = old.RegisteredMachines
	j.Replicas = old.Replicas
	j.Versions = old.Versions
	j.IsVersionGroup = old.IsVersionGroup
	j.recountDone()
}

// RunTimes sums up run times.
type RunTimes struct {
	SumS  float64
	Count int
}

// RecordRunTime notes the run time of a completed task, in seconds.
func (j *Job) RecordRunTime(machine string, seconds float64) {
	j.RunTimeSumS += seconds
	j.RunTimeCount++
	times := j.RunTimesByMachine[machine]
	times.SumS += seconds
	times.Count++
	j.RunTimesByMachine[machine] = times
}

// Complete reports whether all of the job's tasks are done. A service never is.
func (j *Job) Complete() bool {
	return j.Shape != Service && j.DoneCount == j.Tasks
}

// Cancelled reports whether the job's user may have been notified that it is
// cancelled.
func (j *Job) Cancelled() bool {
	return j.Phase == wire.JobCancelled || (j.Phase == "" && j.EndingPhase == wire.JobCancelled)
}

// Status is the state of the job that its user sees.
func (j *Job) Status(running int) wire.JobStatus {
	s := wire.JobStatus{
		ID:      j.ID,
		Phase:   wire.JobPending,
		Done:    j.DoneCount,
		Running: running,
		Notice:  j.Notice,
	}
	switch {
	case j.Phase != "":
		s.Phase = j.Phase
		s.Running = 0
	case running > 0:
		s.Phase = wire.JobRunning
	}
	return s
}
