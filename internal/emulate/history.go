package emulate

import (
	"slices"
	"time"

	"vetchstream/internal/wire"
)

// Event is the start of a task or the end of a running one.
type Event struct {
	At      time.Time
	Task    string
	Image   string
	Machine string
	Zone    string
	Start   bool
	// Cause is the cause of the end that the worker reports, or CauseLost.
	Cause wire.ExitCause
}

// CauseLost is the cause of an end by the loss of the machine or the expiry of its lease. Workers do
// not report it.
const CauseLost = "lost"

// RecordHistory makes the world record starts and ends of tasks from now on. The history grows
// without bound.
func (w *World) RecordHistory() {
	w.mu.Lock()
	w.recording = true
	w.mu.Unlock()
}

// record adds an event to the history if it is recorded; the caller holds the lock.
func (w *World) record(e Event) {
	if w.recording {
		w.history = append(w.history, e)
	}
}

// History returns the events recorded so far, in the order of their occurrence.
func (w *World) History() []Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.history)
}

// WorkersInZone returns the workers of a zone.
func (w *World) WorkersInZone(zone string) (workers []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range w.workers {
		if worker.zone == zone {
			workers = append(workers, worker)
		}
	}
	return workers
}
