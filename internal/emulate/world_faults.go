package emulate

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// RandomWorkers draws up to n workers.
func (w *World) RandomWorkers(r *rand.Rand, n int) (out []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := slices.Sorted(maps.Keys(w.workers))
	for range min(n, len(names)) {
		i := r.IntN(len(names))
		out = append(out, w.workers[names[i]])
		names = slices.Delete(names, i, i+1)
	}
	return out
}

// Kill takes machines away without notice.
func (w *World) Kill(workers []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range workers {
		worker.remove(time.Now())
	}
}

// Hang stops workers, or lets them go on.
func (w *World) Hang(workers []*Worker, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range workers {
		worker.hanging = on
	}
}

// DropHealthChecks lets no health check get an answer, as if only the checking controller were
// cut off, or lets them go on.
func (w *World) DropHealthChecks(on bool) {
	w.mu.Lock()
	w.dropHealthChecks = on
	w.mu.Unlock()
}

// DelayBoots lets the next n provisioned machines boot that much later.
func (w *World) DelayBoots(n int, by time.Duration) {
	w.mu.Lock()
	w.delayedBoots = n
	w.bootDelay = by
	w.mu.Unlock()
}

// Reboot ends workers and starts them again at once, with nothing on them and without
// memory of their sessions, messages and fencing tokens. The protocol does not say what such a
// worker calls its session; it is the first one here, as of a new machine.
func (w *World) Reboot(workers []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range workers {
		worker.dropTasks(time.Now())
		worker.session = 1
		worker.sequence = 0
		worker.token = 0
		worker.leaseStart = time.Now()
		worker.changed = true
	}
}

// CapturedHeartbeat is a heartbeat as its worker sent it.
type CapturedHeartbeat struct {
	Host string // of the worker, on the network
	Body []byte
}

// maxCapturedHeartbeats bounds the captured heartbeats.
const maxCapturedHeartbeats = 2000

// CaptureHeartbeats lets the world capture the heartbeats that are sent from now on, or stops
// it.
func (w *World) CaptureHeartbeats(on bool) {
	w.mu.Lock()
	w.capturing = on
	w.mu.Unlock()
}

// CapturedHeartbeats takes the heartbeats that were captured.
func (w *World) CapturedHeartbeats() []CapturedHeartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	captured := w.captured
	w.captured = nil
	return captured
}

// MakeFaulty lets machines fail every task.
func (w *World) MakeFaulty(workers []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range workers {
		worker.faulty = true
	}
}

// LimitZone bounds the machines of a zone; below 0: by its capacity, as before.
func (w *World) LimitZone(zone string, limit int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if limit < 0 {
		delete(w.zoneLimits, zone)
	} else {
		w.zoneLimits[zone] = limit
	}
}

// SlowImagePulls lets the machines take that much longer to pull an image.
func (w *World) SlowImagePulls(workers []*Worker, by time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range workers {
		worker.pullDelay = by
	}
}
