package emulate

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// Shapes of jobs by their names on the wire.
const (
	gang    = "ensemble"
	service = "daemon"
)

// task is one attempt on a worker.
type task struct {
	name           string
	spec           *job.Spec // nil: nobody has described the job
	index          int32
	attempt        uint64
	phase          string
	cause          string
	checkpointed   bool
	pulledAt       time.Time // its image is there
	runningSince   time.Time
	checkpointedAt time.Time
	health         string
}

func (t *task) exit(cause string) { t.phase, t.cause = wire.Exited, cause }

// jobID is the job's id, or empty if it is not known.
func (t *task) jobID() string {
	if t.spec == nil {
		return ""
	}
	return t.spec.ID
}

// Worker is a machine that is up, or boots. The world's lock guards it.
type Worker struct {
	world           *World
	name            string
	addr            string
	typ             string
	zone            string
	spot            bool
	createdAt       time.Time
	bootedAt        time.Time
	removed         bool
	hanging         bool
	faulty          bool          // fails every task
	pullDelay       time.Duration // images take that much longer
	session         uint64
	sequence        uint64
	token           uint64
	leaseStart      time.Time // sending of the last answered report
	tasks           map[string]*task
	controller      int
	heartbeatSent   time.Time
	changed         bool
	unansweredSince time.Time // sending of the first report without an answer since the last; zero: none
}

// Name is the machine's name in the cloud.
func (k *Worker) Name() string { return k.name }

// Host is the worker's name on the network.
func (k *Worker) Host() string {
	host, _, _ := net.SplitHostPort(k.addr)
	return host
}

func taskKey(name string, attempt uint64) string { return fmt.Sprintf("%s#%d", name, attempt) }

func (k *Worker) heartbeat() wire.Report {
	k.sequence++
	r := wire.Report{Host: k.name, Addr: k.addr, Type: k.typ, Zone: k.zone, Spot: k.spot, Session: k.session, Seq: k.sequence, Token: k.token, Tasks: []wire.TaskReport{}}
	for _, n := range slices.Sorted(maps.Keys(k.tasks)) {
		t := k.tasks[n]
		r.Tasks = append(r.Tasks, wire.TaskReport{Task: t.name, Attempt: t.attempt, Phase: t.phase, Cause: t.cause, Saved: t.checkpointed, Health: t.health})
	}
	return r
}

func (k *Worker) execute(orders []wire.Order) {
	for _, o := range orders {
		id := taskKey(o.Task, o.Attempt)
		t := k.tasks[id]
		switch o.Op {
		case wire.Launch:
			if t == nil {
				k.launch(id, o)
			}
		case wire.Halt:
			if t == nil || t.phase == wire.Exited {
				continue
			}
			k.changed = true
			if t.phase == wire.Running && t.spec.CheckpointS > 0 && o.Grace != nil && *o.Grace >= t.spec.SaveS {
				t.phase, t.checkpointedAt = wire.Saving, time.Now().Add(time.Duration(t.spec.SaveS*float64(time.Second)))
				continue
			}
			if t.phase == wire.Saving && o.Grace != nil && *o.Grace > 0 {
				continue
			}
			was := t.phase
			t.exit(wire.CauseHalted)
			k.recordEnd(t, was, time.Now())
		case wire.Clear:
			if t != nil && t.phase == wire.Exited {
				k.deleteTask(id)
			}
		}
	}
}

func (k *Worker) launch(id string, o wire.Order) {
	jid, idx, _ := job.SplitTask(o.Task)
	spec := k.world.spec(jid)
	t := &task{name: o.Task, index: idx, attempt: o.Attempt, spec: spec, phase: wire.Pulling, pulledAt: time.Now().Add(k.world.cfg.ImagePull + k.pullDelay)}
	k.addTask(id, t)
	k.changed = true
	switch {
	case spec == nil:
		t.exit(wire.CauseNoSuch)
	case k.overcommitted():
		t.exit(wire.CauseFull)
	}
}

// overcommitted reports whether the tasks take more than the machine has.
func (k *Worker) overcommitted() bool { return !k.hasRoom(&job.Spec{}, 0) }

// hasRoom reports whether the machine has room for n tasks of a job beside what is there.
func (k *Worker) hasRoom(s *job.Spec, n int) bool {
	typ, m := k.world.machineType(k.typ), float64(n)
	cpus, gpus, mem := typ.CPUs+1e-9-m*s.CPUs, typ.GPUs+1e-9-m*s.GPUs, typ.MemGB+1e-9-m*s.MemGB
	for _, t := range k.tasks {
		if t.phase != wire.Exited && t.spec != nil {
			cpus, gpus, mem = cpus-t.spec.CPUs, gpus-t.spec.GPUs, mem-t.spec.MemGB
		}
	}
	return cpus >= 0 && gpus >= 0 && mem >= 0
}

// occupies reports whether the task holds its machine, as the rules count it.
func (k *Worker) occupies(t *task) bool {
	return t.phase != wire.Exited && t.phase != wire.Pulling && !k.removed && time.Since(k.leaseStart) <= k.world.cfg.LeaseDuration
}

func (k *Worker) step(now time.Time) {
	if now.Sub(k.leaseStart) > k.world.cfg.LeaseDuration {
		k.dropTasks(now)
		k.session++
		k.leaseStart, k.changed = now, true
	}
	for _, t := range k.tasks {
		was := t.phase
		defer k.recordEnd(t, was, now)
		switch t.phase {
		case wire.Pulling:
			k.finishPull(t, now)
		case wire.Waiting:
			if k.world.countGangMembers(t, wire.Waiting, wire.Running) == t.spec.Tasks {
				t.phase, t.runningSince = wire.Running, now
			} else if now.Sub(t.runningSince) > k.world.cfg.GangTimeout {
				t.exit(wire.CauseIncomplete)
			}
		case wire.Running:
			k.advance(t, now)
		case wire.Saving:
			if now.After(t.checkpointedAt) {
				t.exit(wire.CauseHalted)
				t.checkpointed = true
			}
		}
		k.world.checkRunning(k, t)
		k.changed = k.changed || was != t.phase
	}
}

// finishPull starts a task that has its image.
func (k *Worker) finishPull(t *task, now time.Time) {
	if now.Before(t.pulledAt) {
		return
	}
	k.world.checkStart(k, t)
	k.world.record(Event{At: now, Task: t.name, Image: t.spec.Image, Host: k.name, Zone: k.zone, Start: true})
	t.phase, t.runningSince = wire.Running, now
	if t.spec.ShapeName == gang {
		t.phase = wire.Waiting
	}
	if k.faulty {
		t.exit(wire.CauseError)
	}
	if t.spec.ShapeName != service && k.world.checker.completed[t.spec.ID][t.index] {
		t.exit(wire.CauseDone)
	}
}

// advance ends a running task whose time has come.
func (k *Worker) advance(t *task, now time.Time) {
	ran := now.Sub(t.runningSince)
	crash := k.world.images[t.spec.Image].CrashAfter
	switch {
	case t.spec.ShapeName == gang && k.world.countGangMembers(t, wire.Waiting, wire.Running, wire.Exited) < t.spec.Tasks:
		t.exit(wire.CauseMatesGone)
	case crash > 0 && ran > crash:
		t.exit(wire.CauseError)
	case t.spec.ShapeName == service:
		if h := k.world.images[t.spec.Image].health(ran); h != t.health {
			t.health, k.changed = h, true
		}
	case ran > time.Duration(t.spec.EstimateS*float64(time.Second)):
		t.exit(wire.CauseDone)
		k.world.recordCompleted(t)
	}
}

// countGangMembers counts the gang's members of the attempt in one of the phases.
func (w *World) countGangMembers(t *task, phases ...string) (n int) {
	for x := range w.tasks.byJob[t.jobID()] {
		if x.attempt == t.attempt && slices.Contains(phases, x.phase) && (x.phase != wire.Exited || x.cause == wire.CauseDone) {
			n++
		}
	}
	return n
}

const (
	// stepInterval is how often a worker looks at its tasks.
	stepInterval = 100 * time.Millisecond
	// minHeartbeatGap is how often it may report changes (protocol).
	minHeartbeatGap = 500 * time.Millisecond
	// failoverDelay is how long a worker waits before it tries the next node (protocol).
	failoverDelay = time.Second
	// answerTimeout is how late an answer may come (protocol).
	answerTimeout = 4 * time.Second
)

func (k *Worker) run() {
	w := k.world
	wait := func(d time.Duration) bool {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-w.done:
			return false
		case <-t.C:
			return true
		}
	}
	if !wait(time.Until(k.bootedAt)) {
		return
	}
	ln, err := w.cfg.Network.Listen(k.addr)
	if err != nil {
		w.cfg.Log.Error("worker does not listen", "host", k.name, "error", err)
		return
	}
	w.mu.Lock()
	k.leaseStart, k.addr = time.Now(), ln.Addr().String()
	from := k.Host()
	w.mu.Unlock()
	srv := &http.Server{Handler: http.HandlerFunc(k.serve), ReadHeaderTimeout: 10 * time.Second}
	w.wg.Go(func() { _ = srv.Serve(ln) })
	defer srv.Close()
	hc := &http.Client{Timeout: answerTimeout, Transport: &http.Transport{DialContext: w.cfg.Network.Dialer(from), MaxIdleConnsPerHost: 1}}
	defer hc.CloseIdleConnections()
	busy := make(chan struct{}, 1)
	for wait(stepInterval) {
		w.mu.Lock()
		if k.removed {
			w.mu.Unlock()
			return
		}
		if k.hanging {
			w.mu.Unlock()
			continue
		}
		now := time.Now()
		k.step(now)
		due := now.Sub(k.heartbeatSent) > w.cfg.HeartbeatInterval || (k.changed && now.Sub(k.heartbeatSent) > minHeartbeatGap)
		if due {
			select {
			case busy <- struct{}{}:
				k.heartbeatSent, k.changed = now, false
				rep := k.heartbeat()
				w.wg.Go(func() {
					defer func() { <-busy }()
					k.sendHeartbeat(hc, rep, now)
				})
			default:
			}
		}
		w.mu.Unlock()
	}
}

func (k *Worker) sendHeartbeat(hc *http.Client, rep wire.Report, sent time.Time) {
	w := k.world
	b, err := wire.Marshal(rep)
	if err != nil {
		w.cfg.Log.Error("report does not encode", "host", k.name, "error", err)
		return
	}
	w.mu.Lock()
	node := k.controller
	if w.capturing && len(w.captured) < maxCapturedHeartbeats {
		w.captured = append(w.captured, CapturedHeartbeat{k.Host(), b})
	}
	w.mu.Unlock()
	res, err := hc.Post("http://"+w.cfg.Controllers[node].Addr+"/checkin", wire.ContentType, bytes.NewReader(b))
	var body []byte
	status := 0
	if err == nil {
		status = res.StatusCode
		body, err = io.ReadAll(io.LimitReader(res.Body, 4*wire.MaxBody))
		_ = res.Body.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil && status == http.StatusOK {
		var a wire.Answer
		if wire.Unmarshal(body, &a) != nil || a.Token < k.token || rep.Session != k.session || time.Since(sent) > answerTimeout || k.removed || k.hanging {
			return
		}
		if a.Token > k.token {
			k.token, k.changed = a.Token, true
		}
		k.leaseStart = sent
		if !k.unansweredSince.IsZero() {
			_ = w.checker.unansweredTime.RecordValue(max(1, time.Since(k.unansweredSince).Milliseconds())) // within its range
			k.unansweredSince = time.Time{}
		}
		w.checker.heartbeatsAnswered[w.cfg.Controllers[node].Member]++
		k.execute(a.Orders)
		return
	}
	if k.unansweredSince.IsZero() {
		k.unansweredSince = sent
	}
	k.heartbeatSent = time.Now().Add(failoverDelay - w.cfg.HeartbeatInterval)
	k.controller = (node + 1) % len(w.cfg.Controllers)
	var to wire.Redirect
	if status == http.StatusMisdirectedRequest && wire.Unmarshal(body, &to) == nil {
		if i := slices.IndexFunc(w.cfg.Controllers, func(c Controller) bool { return c.Member == to.ReportTo }); i >= 0 && i != node {
			k.controller, k.heartbeatSent = i, time.Time{}
		}
	}
}

// recordEnd notes in the history that a task that ran does so no more.
func (k *Worker) recordEnd(t *task, was string, now time.Time) {
	if (was == wire.Running || was == wire.Saving) && t.phase == wire.Exited {
		k.world.record(Event{At: now, Task: t.name, Image: t.spec.Image, Host: k.name, Zone: k.zone, Cause: t.cause})
	}
}

// remove takes the machine away with all that is on it.
func (k *Worker) remove(now time.Time) {
	k.dropTasks(now)
	k.removed = true
	delete(k.world.workers, k.name)
}

// dropTasks forgets all tasks, and notes in the history that what ran is gone.
func (k *Worker) dropTasks(now time.Time) {
	for id, t := range k.tasks {
		k.deleteTask(id)
		if t.phase == wire.Running || t.phase == wire.Saving {
			k.world.checker.tasksLost++
			k.world.record(Event{At: now, Task: t.name, Image: t.spec.Image, Host: k.name, Zone: k.zone, Cause: CauseLost})
		}
	}
}

// serveHealthCheck answers a health check of a replica.
func (k *Worker) serveHealthCheck(rw http.ResponseWriter, piece string) {
	if k.world.dropChecks {
		panic(http.ErrAbortHandler) // ends the connection without an answer
	}
	for _, t := range k.tasks {
		if t.name != piece || t.phase != wire.Running {
			continue
		}
		if k.world.images[t.spec.Image].health(time.Since(t.runningSince)) == wire.HealthBad {
			rw.WriteHeader(http.StatusInternalServerError)
		}
		return
	}
	rw.WriteHeader(http.StatusNotFound)
}

// lockAwake waits until the machine does not hang, and returns with the world's lock.
func (k *Worker) lockAwake() {
	j := &k.world.checker
	k.world.mu.Lock()
	if !k.hanging {
		return
	}
	j.blockedCommands++
	j.maxBlockedCommands = max(j.maxBlockedCommands, j.blockedCommands)
	for k.hanging {
		k.world.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		k.world.mu.Lock()
	}
	j.blockedCommands--
}

// serve answers direct commands and health checks.
func (k *Worker) serve(rw http.ResponseWriter, q *http.Request) {
	var d wire.Direct
	ok := q.URL.Path == "/do" && decode(q, &d)
	k.lockAwake()
	defer k.world.mu.Unlock()
	if k.removed {
		return
	}
	k.step(time.Now())
	valid := d.Token >= k.token && d.Session == k.session
	k.world.recordDirectCommands(d.Orders, valid)
	switch {
	case q.URL.Path == "/show":
	case q.Method == http.MethodGet:
		k.serveHealthCheck(rw, q.URL.Query().Get("piece"))
		return
	case !ok:
		encode(rw, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	case !valid:
		encode(rw, http.StatusConflict, k.heartbeat())
		return
	default:
		if d.Token > k.token {
			k.token, k.changed = d.Token, true
		}
		k.world.checker.directCommands++
		k.execute(d.Orders)
	}
	encode(rw, http.StatusOK, k.heartbeat())
}
