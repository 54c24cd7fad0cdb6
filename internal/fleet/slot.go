package fleet

import (
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// PlacementKey identifies one placement: an attempt at a task.
type PlacementKey struct {
	Job     *job.Job
	Task    int32
	Attempt uint64
}

// Slot is a placement that may be on a machine.
type Slot struct {
	PlacementKey
	Machine *Machine
	// Phase is the phase that the worker has last reported (wire.TaskRunning and others),
	// empty before the first report; Cause is the cause of an exit, and Saved whether the
	// task has saved its progress.
	Phase           wire.TaskPhase
	Cause           wire.ExitCause
	CheckpointSaved bool
	// Health is the health of a running replica as the worker reports it, ProbeHealth the
	// result of the controllers' last check of it, in the same words; empty: none.
	Health, ProbeHealth wire.ReplicaHealth
	// UnhealthySince is since when either of them is bad; zero: neither is.
	UnhealthySince time.Time
	// LaunchSent: the launch was sent, or may have been. Before that the slot only reserves its
	// resources.
	LaunchSent bool
	// Observed: a message of this session has shown the task.
	Observed bool
	// DirectLaunch: the launch was sent by a direct command. A report that does not show the
	// task does not settle such a launch, which can arrive minutes later.
	DirectLaunch bool
	// launchReportSeq is the number of the report whose answer carried the launch.
	launchReportSeq uint64
	// launchResentAt is when a direct launch whose outcome is unknown was last sent again. A
	// copy may still arrive after the exit, so the exit is not cleared.
	launchResentAt time.Time
	// PlacedAt is when the placement was made or, once Sent, when its launch was sent.
	PlacedAt time.Time
	// RunningSince is when a message first showed the task running.
	RunningSince time.Time
	// Adopted: the placement was found in a message, so its start time is not known.
	Adopted bool
	// Stopping: the task is to be stopped. Grace is the time in seconds that it has to
	// save its progress, HaltSentAt when the last halt was sent.
	Stopping   bool
	GraceS     float64
	HaltSentAt time.Time
	// Settled: the exit has been handled, durably where it matters, so the worker may
	// forget it.
	Settled bool
	// lastListedIn is the value of Machine.messages at the last message that showed the
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

// Active reports whether the task may use resources of its machine.
func (s *Slot) Active() bool { return s.Phase != wire.TaskExited }

// EventKind is the kind of a change of a slot.
type EventKind uint8

const (
	// Started means that the slot was first seen running.
	Started EventKind = iota
	// Exited means that the worker reports the exit; the slot remains until it is cleared.
	Exited
	// Lost means that the task is certainly gone, with no report of its result.
	Lost
	// NeverStarted means that the launch was certainly not executed.
	NeverStarted
	// TurnedUnhealthy means that the worker reports a replica as bad that was good.
	TurnedUnhealthy
)

// Event is a change of a slot that the leader has to handle.
type Event struct {
	// Kind is what has happened to Slot.
	Kind EventKind
	Slot *Slot
}
