package fleet

import (
	"time"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// Key names one placement.
type Key struct {
	Job     *job.Job
	Task    int32
	Attempt uint64
}

// Slot is a placement that may be on a machine.
type Slot struct {
	Key
	Host *Host
	// Phase is the worker's word, or empty before the first one.
	Phase string
	Cause string
	Saved bool
	// Health is the worker's word on a running replica, Checked what the last check
	// of it said (the same words; empty: nothing).
	Health, ProbeHealth string
	// UnhealthySince is since when either has said that it is bad; zero: neither does.
	UnhealthySince time.Time
	// Sent: the launch has left, or may have. Before that the slot only holds
	// its room.
	Sent bool
	// Seen: a message of this session has shown the slot.
	Seen bool
	// Direct: launched by a direct command; such a launch is not settled by a
	// report that lacks it, because it can arrive minutes later.
	Direct bool
	// answeredSeq is the report whose answer carried the launch.
	answeredSeq uint64
	// resentAt is when a direct launch without a clear answer was last sent once more.
	// A copy of such a launch may still arrive: the exit is not cleared while it can.
	resentAt time.Time
	PlacedAt time.Time
	RunAt    time.Time
	// Adopted: met in a report, so its begin is not known.
	Adopted bool
	// Stopping: the placement has to go; Grace is the time to save, Halted when
	// the last halt was sent.
	Stopping   bool
	Grace      float64
	HaltSentAt time.Time
	// Settled: the exit has been dealt with, durably where it matters, so the
	// worker may forget it.
	Settled bool
	// lastShownMessage is the last message of the worker that has the slot, by Host.messages.
	lastShownMessage uint64
}

// UpdateHealth notes since when the slot has been bad, after a word on its health.
func (s *Slot) UpdateHealth(now time.Time) {
	switch bad := s.Health == wire.HealthBad || s.ProbeHealth == wire.HealthBad; {
	case !bad:
		s.UnhealthySince = time.Time{}
	case s.UnhealthySince.IsZero():
		s.UnhealthySince = now
	}
}

// Active reports whether the task may take room on its machine.
func (s *Slot) Active() bool { return s.Phase != wire.Exited }

// EventKind says what became of a slot.
type EventKind uint8

const (
	// Started means that the slot was first seen running.
	Started EventKind = iota
	// Ended means that the worker reports the exit; the slot stays until it is cleared.
	Ended
	// Gone means that the slot has certainly left without a word about its result.
	Gone
	// NeverStarted means that the launch was certainly not executed.
	NeverStarted
	// TurnedUnhealthy means that the worker says that a replica that was good is bad.
	TurnedUnhealthy
)

// Event tells the leader about a slot.
type Event struct {
	// Kind is what happened to Slot.
	Kind EventKind
	Slot *Slot
}
