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
	name    string
	spec    *job.Spec // nil: nobody has described the job
	idx     int32
	attempt uint64
	phase   string
	cause   string
	saved   bool
	ready   time.Time // its image is there
	runs    time.Time
	saves   time.Time
	health  string
}

func (t *task) exit(cause string) { t.phase, t.cause = wire.Exited, cause }

// id is the job's id, or empty if it is not known.
func (t *task) id() string {
	if t.spec == nil {
		return ""
	}
	return t.spec.ID
}

// Worker is a machine that is up, or boots. The world's lock guards it.
type Worker struct {
	w       *World
	name    string
	addr    string
	typ     string
	zone    string
	spot    bool
	born    time.Time
	up      time.Time
	gone    bool
	hung    bool
	sick    bool          // fails every task
	late    time.Duration // images take that much longer
	session uint64
	seq     uint64
	token   uint64
	leased  time.Time // sending of the last answered report
	tasks   map[string]*task
	node    int
	sent    time.Time
	change  bool
	mute    time.Time // sending of the first report without an answer since the last; zero: none
}

// Name is the machine's name in the cloud.
func (k *Worker) Name() string { return k.name }

// Host is the worker's name on the network.
func (k *Worker) Host() string {
	host, _, _ := net.SplitHostPort(k.addr)
	return host
}

func key(name string, attempt uint64) string { return fmt.Sprintf("%s#%d", name, attempt) }

func (k *Worker) report() wire.Report {
	k.seq++
	r := wire.Report{Host: k.name, Addr: k.addr, Type: k.typ, Zone: k.zone, Spot: k.spot, Session: k.session, Seq: k.seq, Token: k.token, Tasks: []wire.TaskReport{}}
	for _, n := range slices.Sorted(maps.Keys(k.tasks)) {
		t := k.tasks[n]
		r.Tasks = append(r.Tasks, wire.TaskReport{Task: t.name, Attempt: t.attempt, Phase: t.phase, Cause: t.cause, Saved: t.saved, Health: t.health})
	}
	return r
}

func (k *Worker) obey(orders []wire.Order) {
	for _, o := range orders {
		id := key(o.Task, o.Attempt)
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
			k.change = true
			if t.phase == wire.Running && t.spec.CheckpointS > 0 && o.Grace != nil && *o.Grace >= t.spec.SaveS {
				t.phase, t.saves = wire.Saving, time.Now().Add(time.Duration(t.spec.SaveS*float64(time.Second)))
				continue
			}
			if t.phase == wire.Saving && o.Grace != nil && *o.Grace > 0 {
				continue
			}
			was := t.phase
			t.exit(wire.CauseHalted)
			k.ended(t, was, time.Now())
		case wire.Clear:
			if t != nil && t.phase == wire.Exited {
				k.delete(id)
			}
		}
	}
}

func (k *Worker) launch(id string, o wire.Order) {
	jid, idx, _ := job.SplitTask(o.Task)
	spec := k.w.spec(jid)
	t := &task{name: o.Task, idx: idx, attempt: o.Attempt, spec: spec, phase: wire.Pulling, ready: time.Now().Add(k.w.cfg.Fetch + k.late)}
	k.add(id, t)
	k.change = true
	switch {
	case spec == nil:
		t.exit(wire.CauseNoSuch)
	case k.full():
		t.exit(wire.CauseFull)
	}
}

// full reports whether the tasks take more than the machine has.
func (k *Worker) full() bool { return !k.spare(&job.Spec{}, 0) }

// spare reports whether the machine has room for n tasks of a job beside what is there.
func (k *Worker) spare(s *job.Spec, n int) bool {
	typ, m := k.w.kind(k.typ), float64(n)
	cpus, gpus, mem := typ.CPUs+1e-9-m*s.CPUs, typ.GPUs+1e-9-m*s.GPUs, typ.MemGB+1e-9-m*s.MemGB
	for _, t := range k.tasks {
		if t.phase != wire.Exited && t.spec != nil {
			cpus, gpus, mem = cpus-t.spec.CPUs, gpus-t.spec.GPUs, mem-t.spec.MemGB
		}
	}
	return cpus >= 0 && gpus >= 0 && mem >= 0
}

// on reports whether the task holds its machine, as the rules count it.
func (k *Worker) on(t *task) bool {
	return t.phase != wire.Exited && t.phase != wire.Pulling && !k.gone && time.Since(k.leased) <= k.w.cfg.Lease
}

func (k *Worker) step(now time.Time) {
	if now.Sub(k.leased) > k.w.cfg.Lease {
		k.lose(now)
		k.session++
		k.leased, k.change = now, true
	}
	for _, t := range k.tasks {
		was := t.phase
		defer k.ended(t, was, now)
		switch t.phase {
		case wire.Pulling:
			k.begin(t, now)
		case wire.Waiting:
			if k.w.mates(t, wire.Waiting, wire.Running) == t.spec.Tasks {
				t.phase, t.runs = wire.Running, now
			} else if now.Sub(t.runs) > k.w.cfg.GangWait {
				t.exit(wire.CauseIncomplete)
			}
		case wire.Running:
			k.advance(t, now)
		case wire.Saving:
			if now.After(t.saves) {
				t.exit(wire.CauseHalted)
				t.saved = true
			}
		}
		k.w.stays(k, t)
		k.change = k.change || was != t.phase
	}
}

// begin starts a task that has its image.
func (k *Worker) begin(t *task, now time.Time) {
	if now.Before(t.ready) {
		return
	}
	k.w.started(k, t)
	k.w.record(Event{At: now, Task: t.name, Image: t.spec.Image, Host: k.name, Zone: k.zone, Start: true})
	t.phase, t.runs = wire.Running, now
	if t.spec.ShapeName == gang {
		t.phase = wire.Waiting
	}
	if k.sick {
		t.exit(wire.CauseError)
	}
	if t.spec.ShapeName != service && k.w.judge.done[t.spec.ID][t.idx] {
		t.exit(wire.CauseDone)
	}
}

// advance ends a running task whose time has come.
func (k *Worker) advance(t *task, now time.Time) {
	ran := now.Sub(t.runs)
	crash := k.w.images[t.spec.Image].CrashAfter
	switch {
	case t.spec.ShapeName == gang && k.w.mates(t, wire.Waiting, wire.Running, wire.Exited) < t.spec.Tasks:
		t.exit(wire.CauseMatesGone)
	case crash > 0 && ran > crash:
		t.exit(wire.CauseError)
	case t.spec.ShapeName == service:
		if h := k.w.images[t.spec.Image].health(ran); h != t.health {
			t.health, k.change = h, true
		}
	case ran > time.Duration(t.spec.EstimateS*float64(time.Second)):
		t.exit(wire.CauseDone)
		k.w.completed(t)
	}
}

// mates counts the gang's members of the attempt in one of the phases.
func (w *World) mates(t *task, phases ...string) (n int) {
	for x := range w.index.byJob[t.id()] {
		if x.attempt == t.attempt && slices.Contains(phases, x.phase) && (x.phase != wire.Exited || x.cause == wire.CauseDone) {
			n++
		}
	}
	return n
}

const (
	// stepEvery is how often a worker looks at its tasks.
	stepEvery = 100 * time.Millisecond
	// changeEvery is how often it may report changes (protocol).
	changeEvery = 500 * time.Millisecond
	// nextAfter is how long a worker waits before it tries the next node (protocol).
	nextAfter = time.Second
	// answerTime is how late an answer may come (protocol).
	answerTime = 4 * time.Second
)

func (k *Worker) run() {
	w := k.w
	wait := func(d time.Duration) bool {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-w.end:
			return false
		case <-t.C:
			return true
		}
	}
	if !wait(time.Until(k.up)) {
		return
	}
	ln, err := w.cfg.Network.Listen(k.addr)
	if err != nil {
		w.cfg.Log.Error("worker does not listen", "host", k.name, "error", err)
		return
	}
	w.mu.Lock()
	k.leased, k.addr = time.Now(), ln.Addr().String()
	from := k.Host()
	w.mu.Unlock()
	srv := &http.Server{Handler: http.HandlerFunc(k.serve), ReadHeaderTimeout: 10 * time.Second}
	w.wg.Go(func() { _ = srv.Serve(ln) })
	defer srv.Close()
	hc := &http.Client{Timeout: answerTime, Transport: &http.Transport{DialContext: w.cfg.Network.Dialer(from), MaxIdleConnsPerHost: 1}}
	defer hc.CloseIdleConnections()
	busy := make(chan struct{}, 1)
	for wait(stepEvery) {
		w.mu.Lock()
		if k.gone {
			w.mu.Unlock()
			return
		}
		if k.hung {
			w.mu.Unlock()
			continue
		}
		now := time.Now()
		k.step(now)
		due := now.Sub(k.sent) > w.cfg.Report || (k.change && now.Sub(k.sent) > changeEvery)
		if due {
			select {
			case busy <- struct{}{}:
				k.sent, k.change = now, false
				rep := k.report()
				w.wg.Go(func() {
					defer func() { <-busy }()
					k.checkin(hc, rep, now)
				})
			default:
			}
		}
		w.mu.Unlock()
	}
}

func (k *Worker) checkin(hc *http.Client, rep wire.Report, sent time.Time) {
	w := k.w
	b, err := wire.Marshal(rep)
	if err != nil {
		w.cfg.Log.Error("report does not encode", "host", k.name, "error", err)
		return
	}
	w.mu.Lock()
	node := k.node
	if w.copying && len(w.copies) < mostCopies {
		w.copies = append(w.copies, Copy{k.Host(), b})
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
		if wire.Unmarshal(body, &a) != nil || a.Token < k.token || rep.Session != k.session || time.Since(sent) > answerTime || k.gone || k.hung {
			return
		}
		if a.Token > k.token {
			k.token, k.change = a.Token, true
		}
		k.leased = sent
		if !k.mute.IsZero() {
			_ = w.judge.silence.RecordValue(max(1, time.Since(k.mute).Milliseconds())) // within its range
			k.mute = time.Time{}
		}
		w.judge.answers[w.cfg.Controllers[node].Member]++
		k.obey(a.Orders)
		return
	}
	if k.mute.IsZero() {
		k.mute = sent
	}
	k.sent = time.Now().Add(nextAfter - w.cfg.Report)
	k.node = (node + 1) % len(w.cfg.Controllers)
	var to wire.Redirect
	if status == http.StatusMisdirectedRequest && wire.Unmarshal(body, &to) == nil {
		if i := slices.IndexFunc(w.cfg.Controllers, func(c Controller) bool { return c.Member == to.ReportTo }); i >= 0 && i != node {
			k.node, k.sent = i, time.Time{}
		}
	}
}

// ended notes in the history that a task that ran does so no more.
func (k *Worker) ended(t *task, was string, now time.Time) {
	if (was == wire.Running || was == wire.Saving) && t.phase == wire.Exited {
		k.w.record(Event{At: now, Task: t.name, Image: t.spec.Image, Host: k.name, Zone: k.zone, Cause: t.cause})
	}
}

// remove takes the machine away with all that is on it.
func (k *Worker) remove(now time.Time) {
	k.lose(now)
	k.gone = true
	delete(k.w.workers, k.name)
}

// lose forgets all tasks, and notes in the history that what ran is gone.
func (k *Worker) lose(now time.Time) {
	for id, t := range k.tasks {
		k.delete(id)
		if t.phase == wire.Running || t.phase == wire.Saving {
			k.w.judge.lapsed++
			k.w.record(Event{At: now, Task: t.name, Image: t.spec.Image, Host: k.name, Zone: k.zone, Cause: Lost})
		}
	}
}

// check answers a health check of a replica.
func (k *Worker) check(rw http.ResponseWriter, piece string) {
	if k.w.mute {
		panic(http.ErrAbortHandler) // ends the connection without an answer
	}
	for _, t := range k.tasks {
		if t.name != piece || t.phase != wire.Running {
			continue
		}
		if k.w.images[t.spec.Image].health(time.Since(t.runs)) == wire.HealthBad {
			rw.WriteHeader(http.StatusInternalServerError)
		}
		return
	}
	rw.WriteHeader(http.StatusNotFound)
}

// awake waits until the machine does not hang, and returns with the world's lock.
func (k *Worker) awake() {
	j := &k.w.judge
	k.w.mu.Lock()
	if !k.hung {
		return
	}
	j.stuck++
	j.mostStuck = max(j.mostStuck, j.stuck)
	for k.hung {
		k.w.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		k.w.mu.Lock()
	}
	j.stuck--
}

// serve answers direct commands and health checks.
func (k *Worker) serve(rw http.ResponseWriter, q *http.Request) {
	var d wire.Direct
	ok := q.URL.Path == "/do" && decode(q, &d)
	k.awake()
	defer k.w.mu.Unlock()
	if k.gone {
		return
	}
	k.step(time.Now())
	valid := d.Token >= k.token && d.Session == k.session
	k.w.arrived(d.Orders, valid)
	switch {
	case q.URL.Path == "/show":
	case q.Method == http.MethodGet:
		k.check(rw, q.URL.Query().Get("piece"))
		return
	case !ok:
		encode(rw, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	case !valid:
		encode(rw, http.StatusConflict, k.report())
		return
	default:
		if d.Token > k.token {
			k.token, k.change = d.Token, true
		}
		k.w.judge.directs++
		k.obey(d.Orders)
	}
	encode(rw, http.StatusOK, k.report())
}
