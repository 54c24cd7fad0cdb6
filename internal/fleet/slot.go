package fleet

import (
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// PlacementKey identifies a placement, that is, one attempt at a task.
type PlacementKey struct {
	Job     *job.Job
	Task    int32
	Attempt uint64
}

// attemptTermShift is the bit position of the term in an attempt number.
const attemptTermShift = 24

// NewAttempt returns the attempt number that a term's leader makes as its count-th. It is unique
// across terms.
func NewAttempt(term, count uint64) uint64 { return term<<attemptTermShift | count }

// term returns the term in which the attempt was made.
func (k PlacementKey) term() uint64 { return k.Attempt >> attemptTermShift }

// Slot is a placement that may be on a machine.
type Slot struct {
	PlacementKey
	Machine *Machine
	// Phase is the phase in the worker's last message that listed the task, or empty if
	// none has. Cause is the cause of an exit. CheckpointSaved reports whether the task has
	// saved its progress.
	Phase           wire.TaskPhase
	Cause           wire.ExitCause
	CheckpointSaved bool
	// Health is the health of a running replica as reported by the worker. ProbeHealth is
	// the result of the controllers' last probe of it. Either is empty if unknown.
	Health, ProbeHealth wire.ReplicaHealth
	// UnhealthySince is the time since which Health or ProbeHealth has been bad. It is zero
	// if neither is.
	UnhealthySince time.Time
	// LaunchSent reports whether the launch was, or may have been, sent. Before that, the
	// slot only reserves resources.
	LaunchSent bool
	// Observed reports whether a message of the current session has listed the task.
	Observed bool
	// DirectLaunch reports whether the launch was sent by a direct command and no message
	// has listed the task since. A report without the task does not settle such a launch,
	// because it can arrive minutes later.
	DirectLaunch bool
	// launchReportSeq is the sequence number of the report whose answer carried the launch.
	launchReportSeq uint64
	// launchResentAt is when a direct launch with an unknown outcome was last sent again.
	launchResentAt time.Time
	// launchToken is the highest token of a direct command that carried the launch, or 0. The
	// worker executes a late copy of that command until it has seen a higher token.
	launchToken uint64
	// PlacedAt is when the task was placed or, once LaunchSent is set, when its launch was
	// first sent.
	PlacedAt time.Time
	// RunningSince is when a message first listed the task as running.
	RunningSince time.Time
	// exitedAt is when a message first listed the task as exited.
	exitedAt time.Time
	// Adopted reports whether the leader learned of the placement from a message, so that
	// its start time is unknown.
	Adopted bool
	// Stopping reports whether the task has to be stopped. GraceS is the time in seconds
	// that the task gets to save its progress. HaltSentAt is when the last halt was sent.
	Stopping   bool
	GraceS     float64
	HaltSentAt time.Time
	// Settled reports whether the leader has processed the exit and stored its result where
	// one is needed, so that the worker may discard its record of the exit.
	Settled bool
	// Restarted reports whether the worker runs the task although the attempt had ended. No
	// decision of a leader wants it.
	Restarted bool
	// lastListedIn is the value of Machine.messageCount at the last message that listed the
	// task.
	lastListedIn uint64
}

// UpdateHealth updates UnhealthySince after a change of Health or ProbeHealth.
func (s *Slot) UpdateHealth(now time.Time) {
	switch bad := s.Health == wire.HealthBad || s.ProbeHealth == wire.HealthBad; {
	case !bad:
		s.UnhealthySince = time.Time{}
	case s.UnhealthySince.IsZero():
		s.UnhealthySince = now
	}
}

// Active reports whether the task may be using resources of its machine.
func (s *Slot) Active() bool { return s.Phase != wire.TaskExited }

// EventKind is the kind of a change to a slot.
type EventKind uint8

const (
	// Started means that a message lists the task as running for the first time.
	Started EventKind = iota
	// Exited means that the worker reports the exit of the task. The slot remains until the
	// exit is cleared.
	Exited
	// Restarted means that the worker runs an attempt again that had ended.
	Restarted
	// Lost means that the task certainly no longer runs but its result is unknown.
	Lost
	// NeverStarted means that the launch was certainly not executed.
	NeverStarted
	// TurnedUnhealthy means that the worker reports a replica as bad that it had reported as
	// good.
	TurnedUnhealthy
)

// Event is a change to a slot that the leader has to handle.
type Event struct {
	Kind EventKind
	Slot *Slot
}
