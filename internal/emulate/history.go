package emulate

import (
	"slices"
	"time"

	"vetchstream/internal/wire"
)

// Event is a start of a task, or the end of one that ran.
type Event struct {
	At      time.Time
	Task    string
	Image   string
	Machine string
	Zone    string
	Start   bool
	// Cause is why it ended, as the worker reports it, or CauseLost.
	Cause wire.ExitCause
}

// CauseLost is the cause of an end with the machine or its lease, which no worker reports.
const CauseLost = "lost"

// RecordHistory lets the world record the history of starts and ends from now on, which grows
// without bound.
func (w *World) RecordHistory() {
	w.mu.Lock()
	w.recording = true
	w.mu.Unlock()
}

// record adds to the history; the caller holds the lock.
func (w *World) record(e Event) {
	if w.recording {
		w.history = append(w.history, e)
	}
}

// History is what has happened so far, in order.
func (w *World) History() []Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.history)
}

// WorkersInZone are the workers of a zone.
func (w *World) WorkersInZone(zone string) (out []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range w.workers {
		if worker.zone == zone {
			out = append(out, worker)
		}
	}
	return out
}
