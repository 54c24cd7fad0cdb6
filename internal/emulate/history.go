package emulate

import (
	"slices"
	"time"
)

// Event is a start of a task, or the end of one that ran.
type Event struct {
	At    time.Time
	Task  string
	Image string
	Host  string
	Zone  string
	Start bool
	// Cause is why it ended: the worker's word, or Lost with its machine or lease.
	Cause string
}

// CauseLost is the cause of an end that no worker has told.
const CauseLost = "lost"

// RecordHistory lets the world keep a history of starts and ends from now on: it grows
// without a bound.
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

// WorkersInZone takes a zone's machines.
func (w *World) WorkersInZone(zone string) (out []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		if k.zone == zone {
			out = append(out, k)
		}
	}
	return out
}
