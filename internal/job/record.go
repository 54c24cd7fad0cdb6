package job

import "vetchstream/internal/wire"

// Key prefixes of the durable records: a job is under ActivePrefix until it is
// complete or cancelled, then under FinalPrefix. The move is one transaction, so a
// job is never under neither.
//
// Jobs that arrive together share a group record. A job's entry there stands for its
// active record; when the job is over its entry says so, until it is moved to its
// final key, in one transaction.
const (
	ActivePrefix = "j/"
	FinalPrefix  = "f/"
	DonePrefix   = "d/"
	GroupPrefix  = "g/"
)

// Record is a job's durable record.
type Record struct {
	Spec Spec `codec:"spec"`
	// Phase is empty for an active job. Done and aborted are final.
	Phase wire.JobPhase `codec:"phase,omitempty"`
	Done  int           `codec:"done,omitempty"`
	// SubmittedMS is the time of day of the submission, in milliseconds.
	SubmittedMS int64 `codec:"at"`
}

// Group is the record of jobs that were admitted together.
type Group struct {
	Jobs []Record `codec:"jobs"`
}

// UnknownJobRecord stands in for the record of a job that a worker has reported and
// that is not loaded: it is cancelled, and may have any task.
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
