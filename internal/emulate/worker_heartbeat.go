package emulate

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"vetchstream/internal/wire"
)

const (
	// stepInterval is how often a worker lets its tasks go on.
	stepInterval = 100 * time.Millisecond
	// minHeartbeatGap is the least time between heartbeats that report changes (protocol).
	minHeartbeatGap = 500 * time.Millisecond
	// failoverDelay is how long a worker waits before it tries the next controller (protocol).
	failoverDelay = time.Second
	// responseTimeout is how late an answer may come (protocol).
	responseTimeout = 4 * time.Second
)

// heartbeat is the next heartbeat of the worker.
func (worker *Worker) heartbeat() wire.Heartbeat {
	worker.sequence++
	r := wire.Heartbeat{
		Machine: worker.name,
		Addr:    worker.addr,
		Type:    worker.typeName,
		Zone:    worker.zone,
		Spot:    worker.spot,
		Session: worker.session,
		Seq:     worker.sequence,
		Token:   worker.token,
		Tasks:   []wire.TaskStatus{},
	}
	for _, id := range slices.Sorted(maps.Keys(worker.tasks)) {
		t := worker.tasks[id]
		r.Tasks = append(r.Tasks, wire.TaskStatus{
			Task:            t.name,
			Attempt:         t.attempt,
			Phase:           t.phase,
			Cause:           t.cause,
			CheckpointSaved: t.checkpointed,
			Health:          t.health,
		})
	}
	return r
}

// run is the life of a worker: it boots, then serves and sends heartbeats until it is removed or
// the world ends.
func (worker *Worker) run() {
	w := worker.world
	if !w.sleep(time.Until(worker.bootedAt)) {
		return
	}
	ln, err := w.cfg.Network.Listen(worker.addr)
	if err != nil {
		w.cfg.Log.Error("worker cannot listen", "machine", worker.name, "error", err)
		return
	}
	w.mu.Lock()
	worker.leaseStart = time.Now()
	worker.addr = ln.Addr().String()
	from := worker.Host()
	w.mu.Unlock()
	srv := &http.Server{Handler: http.HandlerFunc(worker.serve), ReadHeaderTimeout: 10 * time.Second}
	w.wg.Go(func() { _ = srv.Serve(ln) })
	defer srv.Close()
	transport := &http.Transport{DialContext: w.cfg.Network.Dialer(from), MaxIdleConnsPerHost: 1}
	hc := &http.Client{Timeout: responseTimeout, Transport: transport}
	defer hc.CloseIdleConnections()
	sending := make(chan struct{}, 1)
	for w.sleep(stepInterval) {
		if !worker.tick(hc, sending) {
			return
		}
	}
}

// sleep waits; false: the world has ended before.
func (w *World) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-w.done:
		return false
	case <-t.C:
		return true
	}
}

// tick lets the worker's tasks go on and sends a heartbeat if one is due and none is under way,
// for which sending has room. It returns false once the worker is removed.
func (worker *Worker) tick(hc *http.Client, sending chan struct{}) bool {
	w := worker.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if worker.removed {
		return false
	}
	if worker.hanging {
		return true
	}
	now := time.Now()
	worker.step(now)
	sinceLast := now.Sub(worker.heartbeatSent)
	if sinceLast <= w.cfg.HeartbeatInterval && (!worker.changed || sinceLast <= minHeartbeatGap) {
		return true
	}
	select {
	case sending <- struct{}{}:
		worker.heartbeatSent = now
		worker.changed = false
		heartbeat := worker.heartbeat()
		w.wg.Go(func() {
			defer func() { <-sending }()
			worker.sendHeartbeat(hc, heartbeat, now)
		})
	default:
	}
	return true
}

// sendHeartbeat sends a heartbeat to a controller and deals with its answer.
func (worker *Worker) sendHeartbeat(hc *http.Client, heartbeat wire.Heartbeat, sent time.Time) {
	w := worker.world
	b, err := wire.Marshal(heartbeat)
	if err != nil {
		w.cfg.Log.Error("heartbeat cannot be encoded", "machine", worker.name, "error", err)
		return
	}
	w.mu.Lock()
	controller := worker.controllerIndex
	if w.capturing && len(w.captured) < maxCapturedHeartbeats {
		w.captured = append(w.captured, CapturedHeartbeat{worker.Host(), b})
	}
	w.mu.Unlock()
	res, err := hc.Post("http://"+w.cfg.Controllers[controller].Addr+"/checkin", wire.ContentType, bytes.NewReader(b))
	var body []byte
	status := 0
	if err == nil {
		status = res.StatusCode
		body, err = io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
		_ = res.Body.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil && status == http.StatusOK {
		worker.handleResponse(controller, body, heartbeat.Session, sent)
		return
	}
	worker.failover(controller, status, body, sent)
}

// handleResponse renews the lease by the answer to a heartbeat of a session and carries out its
// orders, unless it comes late or from a leader that is superseded; the caller holds the lock.
func (worker *Worker) handleResponse(controller int, body []byte, session uint64, sent time.Time) {
	w := worker.world
	var a wire.HeartbeatResponse
	if wire.Unmarshal(body, &a) != nil || a.Token < worker.token || session != worker.session {
		return
	}
	if time.Since(sent) > responseTimeout || worker.removed || worker.hanging {
		return
	}
	worker.raiseToken(a.Token)
	worker.leaseStart = sent
	if !worker.unansweredSince.IsZero() {
		_ = w.checker.unansweredTime.RecordValue(max(1, time.Since(worker.unansweredSince).Milliseconds())) // within its range
		worker.unansweredSince = time.Time{}
	}
	w.checker.heartbeatsAnswered[w.cfg.Controllers[controller].Member]++
	worker.execute(a.Commands)
}

// failover turns to the next controller after a heartbeat without an answer, or at once to the
// one that a redirect names; the caller holds the lock.
func (worker *Worker) failover(controller, status int, body []byte, sent time.Time) {
	w := worker.world
	if worker.unansweredSince.IsZero() {
		worker.unansweredSince = sent
	}
	worker.heartbeatSent = time.Now().Add(failoverDelay - w.cfg.HeartbeatInterval)
	worker.controllerIndex = (controller + 1) % len(w.cfg.Controllers)
	var to wire.Redirect
	if status != http.StatusMisdirectedRequest || wire.Unmarshal(body, &to) != nil {
		return
	}
	isTarget := func(c Controller) bool { return c.Member == to.ReportTo }
	if i := slices.IndexFunc(w.cfg.Controllers, isTarget); i >= 0 && i != controller {
		worker.controllerIndex = i
		worker.heartbeatSent = time.Time{}
	}
}
