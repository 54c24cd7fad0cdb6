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
	// stepInterval is the time between steps of a worker's tasks.
	stepInterval = 100 * time.Millisecond
	// minHeartbeatGap is the protocol's minimum time between heartbeats that report changes.
	minHeartbeatGap = 500 * time.Millisecond
	// failoverDelay is the protocol's delay before a worker tries the next controller.
	failoverDelay = time.Second
	// responseTimeout is the protocol's timeout for the response to a heartbeat.
	responseTimeout = 4 * time.Second
)

// heartbeat returns the worker's next heartbeat.
func (worker *Worker) heartbeat() wire.Heartbeat {
	worker.sequence++
	heartbeat := wire.Heartbeat{
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
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{
			Task:            t.name,
			Attempt:         t.attempt,
			Phase:           t.phase,
			Cause:           t.cause,
			CheckpointSaved: t.checkpointed,
			Health:          t.health,
		})
	}
	return heartbeat
}

// run boots the worker, then serves requests and sends heartbeats until the worker is removed or the
// world is closed.
func (worker *Worker) run() {
	w := worker.world
	if !w.sleep(time.Until(worker.bootedAt)) {
		return
	}
	listener, err := w.cfg.Network.Listen(worker.addr)
	if err != nil {
		w.cfg.Log.Error("worker cannot listen", "machine", worker.name, "error", err)
		return
	}
	w.mu.Lock()
	worker.leaseStart = time.Now()
	worker.addr = listener.Addr().String()
	from := worker.Host()
	w.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(worker.serve), ReadHeaderTimeout: 10 * time.Second}
	w.wg.Go(func() { _ = server.Serve(listener) })
	defer server.Close()
	transport := &http.Transport{DialContext: w.cfg.Network.Dialer(from), MaxIdleConnsPerHost: 1}
	client := &http.Client{Timeout: responseTimeout, Transport: transport}
	defer client.CloseIdleConnections()
	sending := make(chan struct{}, 1)
	for w.sleep(stepInterval) {
		if !worker.tick(client, sending) {
			return
		}
	}
}

// sleep waits for d. It returns false if the world is closed first.
func (w *World) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-w.done:
		return false
	case <-timer.C:
		return true
	}
}

// tick steps the worker's tasks and sends a heartbeat if one is due and none is being sent. The
// channel sending holds an element while a heartbeat is being sent. tick returns false once the
// worker is removed.
func (worker *Worker) tick(client *http.Client, sending chan struct{}) bool {
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
			worker.sendHeartbeat(client, heartbeat, now)
		})
	default:
	}
	return true
}

// sendHeartbeat sends a heartbeat to the current controller and handles the response.
func (worker *Worker) sendHeartbeat(client *http.Client, heartbeat wire.Heartbeat, sent time.Time) {
	w := worker.world
	encoded, err := wire.Marshal(heartbeat)
	if err != nil {
		w.cfg.Log.Error("heartbeat cannot be encoded", "machine", worker.name, "error", err)
		return
	}
	w.mu.Lock()
	controller := worker.controllerIndex
	if w.capturing && len(w.captured) < maxCapturedHeartbeats {
		w.captured = append(w.captured, CapturedHeartbeat{worker.Host(), encoded})
	}
	worker.duplicateHeartbeat(client, encoded)
	w.mu.Unlock()
	response, err := client.Post("http://"+w.cfg.Controllers[controller].Addr+"/checkin", wire.ContentType, bytes.NewReader(encoded))
	var body []byte
	status := 0
	if err == nil {
		status = response.StatusCode
		body, err = io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
		_ = response.Body.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil && status == http.StatusOK {
		worker.handleResponse(controller, body, heartbeat.Session, sent)
		return
	}
	worker.failover(controller, status, body, sent)
}

// handleResponse renews the lease and executes the commands of the response to a heartbeat. It ignores
// a response that is late, that comes from a superseded leader or that belongs to an earlier session.
// The caller holds the lock.
func (worker *Worker) handleResponse(controller int, body []byte, session uint64, sent time.Time) {
	w := worker.world
	var response wire.HeartbeatResponse
	if wire.Unmarshal(body, &response) != nil || response.Token < worker.token || session != worker.session {
		return
	}
	if time.Since(sent) > responseTimeout || worker.removed || worker.hanging {
		return
	}
	worker.raiseToken(response.Token)
	worker.leaseStart = sent
	if !worker.unansweredSince.IsZero() {
		_ = w.checker.unansweredTime.RecordValue(max(1, time.Since(worker.unansweredSince).Milliseconds())) // the value is within the histogram's range
		worker.unansweredSince = time.Time{}
	}
	w.checker.heartbeatsAnswered[w.cfg.Controllers[controller].Member]++
	worker.execute(response.Commands)
}

// failover selects the next controller after a heartbeat without a valid response. After a redirect
// it selects the controller that the redirect names, without a delay. The caller holds the lock.
func (worker *Worker) failover(controller, status int, body []byte, sent time.Time) {
	w := worker.world
	if worker.unansweredSince.IsZero() {
		worker.unansweredSince = sent
	}
	worker.heartbeatSent = time.Now().Add(failoverDelay - w.cfg.HeartbeatInterval)
	worker.controllerIndex = (controller + 1) % len(w.cfg.Controllers)
	var redirect wire.Redirect
	if status != http.StatusMisdirectedRequest || wire.Unmarshal(body, &redirect) != nil {
		return
	}
	isTarget := func(c Controller) bool { return c.Member == redirect.ReportTo }
	if i := slices.IndexFunc(w.cfg.Controllers, isTarget); i >= 0 && i != controller {
		worker.controllerIndex = i
		worker.heartbeatSent = time.Time{}
	}
}
