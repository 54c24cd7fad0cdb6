package job

import "vetchstream/internal/wire"

// Key prefixes of the stored records. The record of a job is under ActivePrefix until
// the job has completed or is cancelled, then under FinalPrefix. One transaction moves
// it, so that it is always under one of the two.
//
// Jobs that are submitted at the same time share a group record. The entry of a job in
// the group record takes the place of its active record. When the job ends, the final
// phase is stored in the entry; later one transaction moves the entry to the final key.
const (
	ActivePrefix = "j/"
	FinalPrefix  = "f/"
	DonePrefix   = "d/"
	GroupPrefix  = "g/"
)

// Record is the stored record of a job.
type Record struct {
	Spec Spec `codec:"spec"`
	// Phase is JobDone or JobCancelled for a job that has ended, and empty for an active
	// job.
	Phase wire.JobPhase `codec:"phase,omitempty"`
	Done  int           `codec:"done,omitempty"` // number of completed tasks
	// SubmittedMS is the wall-clock time of the submission, in milliseconds.
	SubmittedMS int64 `codec:"at"`
}

// Group is the record of jobs that were admitted together.
type Group struct {
	Jobs []Record `codec:"jobs"`
}

// UnknownJobRecord returns a placeholder for the record of a job that a worker reports
// although no record of it is loaded. The placeholder is cancelled and has the maximum
// number of tasks, so that every reported task is one of its tasks.
func UnknownJobRecord(id string) *Record {
	return &Record{
		Spec: Spec{
			ID:           id,
			Tasks:        MaxTasks,
			ShapeName:    ArrayName,
			PriorityName: IdleName,
		},
		Phase: wire.JobCancelled,
	}
}
