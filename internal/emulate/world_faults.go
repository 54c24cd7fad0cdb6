package emulate

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// RandomWorkers returns up to n randomly selected workers.
func (w *World) RandomWorkers(r *rand.Rand, n int) (workers []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := slices.Sorted(maps.Keys(w.workers))
	for range min(n, len(names)) {
		i := r.IntN(len(names))
		workers = append(workers, w.workers[names[i]])
		names = slices.Delete(names, i, i+1)
	}
	return workers
}

// Kill removes the workers' machines without notice.
func (w *World) Kill(workers []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range workers {
		worker.remove(time.Now())
	}
}

// Hang makes the workers hang if on is true, and lets them continue otherwise.
func (w *World) Hang(workers []*Worker, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range workers {
		worker.hanging = on
	}
}

// DropHealthChecks sets whether all health checks of replicas go unanswered. This simulates that
// only the controller that checks the replicas is cut off from them.
func (w *World) DropHealthChecks(on bool) {
	w.mu.Lock()
	w.dropHealthChecks = on
	w.mu.Unlock()
}

// DelayBoots adds a delay to the boot time of the next n provisioned machines.
func (w *World) DelayBoots(n int, by time.Duration) {
	w.mu.Lock()
	w.delayedBoots = n
	w.bootDelay = by
	w.mu.Unlock()
}

// Reboot restarts workers at once. They lose their tasks, sessions, sequence numbers and fencing
// tokens. The protocol does not define the session number of a rebooted worker; here it starts
// again at 1, like that of a new machine. Copies of the commands that they have executed before do
// not reach them any more.
func (w *World) Reboot(workers []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range workers {
		worker.dropTasks(time.Now())
		worker.session = 1
		worker.sequence = 0
		worker.token = 0
		worker.restarts++
		worker.leaseStart = time.Now()
		worker.changed = true
	}
}

// CapturedHeartbeat is an encoded heartbeat as its worker sent it.
type CapturedHeartbeat struct {
	Host string // network name of the worker
	Body []byte
}

// maxCapturedHeartbeats bounds the number of captured heartbeats.
const maxCapturedHeartbeats = 2000

// CaptureHeartbeats sets whether heartbeats that workers send are captured.
func (w *World) CaptureHeartbeats(on bool) {
	w.mu.Lock()
	w.capturing = on
	w.mu.Unlock()
}

// CapturedHeartbeats returns the captured heartbeats and clears the list.
func (w *World) CapturedHeartbeats() []CapturedHeartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	captured := w.captured
	w.captured = nil
	return captured
}

// MakeFaulty makes the workers fail every task from now on.
func (w *World) MakeFaulty(workers []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range workers {
		worker.faulty = true
	}
}

// LimitZone replaces the capacity of a zone. A negative limit restores the configured capacity.
func (w *World) LimitZone(zone string, limit int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if limit < 0 {
		delete(w.zoneLimits, zone)
	} else {
		w.zoneLimits[zone] = limit
	}
}

// SlowImagePulls adds a delay to each image pull of the workers.
func (w *World) SlowImagePulls(workers []*Worker, by time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range workers {
		worker.pullDelay = by
	}
}
