package node

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

func decode(q *http.Request, v any) bool {
	b, err := io.ReadAll(q.Body)
	return err == nil && wire.Unmarshal(b, v) == nil
}

func encode(w http.ResponseWriter, status int, v any) {
	b, err := wire.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// store is a stand-in for the state service, after its published protocol.
type store struct {
	mu      sync.Mutex
	epoch   uint64
	kv      map[string]state.Entry
	dropped map[string]uint64 // key -> revision of its last removal
	leases  map[uint64]time.Time
	ttl     map[uint64]time.Duration
	next    uint64
	refuse  func(from string) bool
	ops     int // the most writes in a transaction
	changed chan struct{}
}

func newStore() *store {
	return &store{kv: map[string]state.Entry{}, dropped: map[string]uint64{}, leases: map[uint64]time.Time{}, ttl: map[uint64]time.Duration{},
		refuse: func(string) bool { return false }, ops: 12, changed: make(chan struct{})}
}

func (s *store) bump() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases whose time is over; the caller holds the lock.
func (s *store) expire() {
	now := time.Now()
	for id, until := range s.leases {
		if now.After(until) {
			s.end(id)
		}
	}
}

func (s *store) end(id uint64) {
	delete(s.leases, id)
	for k, e := range s.kv {
		if e.Lease == id {
			s.epoch++
			delete(s.kv, k)
			s.dropped[k] = s.epoch
		}
	}
	s.bump()
}

// outage refuses everybody for a while; afterwards leases have their full time.
func (s *store) outage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on {
		s.refuse = func(string) bool { return true }
		for id := range s.leases {
			s.leases[id] = time.Now().Add(time.Hour)
		}
		return
	}
	s.refuse = func(string) bool { return false }
	for id := range s.leases {
		s.leases[id] = time.Now().Add(s.ttl[id])
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	from := strings.Split(q.RemoteAddr, ":")[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse(from) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.expire()
	path := q.URL.Path
	switch {
	case path == "/kv":
		under, after := q.URL.Query().Get("under"), q.URL.Query().Get("after")
		out := []state.Entry{}
		for _, k := range slices.Sorted(maps.Keys(s.kv)) {
			if strings.HasPrefix(k, under) && k > after {
				out = append(out, s.kv[k])
			}
		}
		page := min(len(out), 7) // small pages, so that paging is in use
		encode(w, 200, map[string]any{"entries": out[:page], "more": page < len(out), "epoch": s.epoch})
	case strings.HasPrefix(path, "/kv/"):
		e, ok := s.kv[path[4:]]
		if !ok {
			encode(w, 404, map[string]any{"epoch": s.epoch})
			return
		}
		encode(w, 200, e)
	case path == "/commit":
		var t state.Txn
		if !decode(q, &t) || len(t.Writes) > s.ops {
			encode(w, 400, wire.Error{Error: "malformed"})
			return
		}
		var failed []string
		for _, c := range t.If {
			if s.kv[c.Key].Version != c.Version {
				failed = append(failed, c.Key)
			}
		}
		if failed != nil {
			encode(w, 409, map[string]any{"failed": failed, "epoch": s.epoch})
			return
		}
		for _, x := range t.Writes {
			if _, ok := s.leases[x.Lease]; x.Lease != 0 && !ok {
				encode(w, 400, map[string]any{"error": "no such lease"})
				return
			}
		}
		s.epoch++
		for _, x := range t.Writes {
			if x.Delete != "" {
				delete(s.kv, x.Delete)
				s.dropped[x.Delete] = s.epoch
				continue
			}
			s.kv[x.Put] = state.Entry{Key: x.Put, Value: append(wire.Raw(nil), x.Value...), Version: s.epoch, Lease: x.Lease}
		}
		s.bump()
		encode(w, 200, map[string]any{"epoch": s.epoch})
	case path == "/leases":
		var in struct {
			TTL int64 `codec:"ttl_ms"`
		}
		if !decode(q, &in) {
			w.WriteHeader(400)
			return
		}
		s.next++
		s.ttl[s.next] = time.Duration(in.TTL) * time.Millisecond
		s.leases[s.next] = time.Now().Add(s.ttl[s.next])
		encode(w, 200, map[string]any{"tenure": s.next})
	case strings.HasPrefix(path, "/leases/"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(path[8:], "/extend"), 10, 64)
		if _, ok := s.leases[id]; !ok {
			w.WriteHeader(404)
			return
		}
		if q.Method == http.MethodDelete {
			s.end(id)
		} else {
			s.leases[id] = time.Now().Add(s.ttl[id])
		}
		encode(w, 200, map[string]any{})
	case path == "/changes":
		v := q.URL.Query()
		after, _ := strconv.ParseUint(v.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(v.Get("wait_ms"))
		end := time.Now().Add(time.Duration(wait) * time.Millisecond)
		for {
			s.expire()
			events := []map[string]any{}
			for k, e := range s.kv {
				if strings.HasPrefix(k, v.Get("under")) && e.Version > after {
					events = append(events, map[string]any{"put": k, "data": e.Value, "stamp": e.Version})
				}
			}
			for k, rev := range s.dropped {
				if strings.HasPrefix(k, v.Get("under")) && rev > after {
					events = append(events, map[string]any{"drop": k, "stamp": rev})
				}
			}
			if (len(events) > 0 && !s.refuse(from)) || time.Now().After(end) {
				encode(w, 200, map[string]any{"epoch": s.epoch, "events": events})
				return
			}
			ch := s.changed
			s.mu.Unlock()
			select {
			case <-ch:
			case <-time.After(100 * time.Millisecond):
			case <-q.Context().Done():
				s.mu.Lock()
				return
			}
			s.mu.Lock()
		}
	default:
		w.WriteHeader(404)
	}
}

// world is the simulated outside: cloud, workers and the judge of the rules.
type world struct {
	net   *simNet
	store *store
	set   func(member int) string // settings

	mu      sync.Mutex
	specs   map[string]*job.Spec
	workers map[string]*worker
	hires   map[string][]string
	count   int
	told    map[string]string // job -> last final phase told, or "accepted"
	aborted map[string]time.Time
	doneSet map[string]map[int32]bool
	broken  []string
	starts  int
	lease   time.Duration
	cancel  time.Duration
	limit   map[string]float64
	ctlAddr []string
	wg      sync.WaitGroup
	end     chan struct{}
	faulty  map[string]bool
	most    int // machines that the cloud has
}

func (w *world) break_(format string, a ...any) {
	if len(w.broken) < 20 {
		w.broken = append(w.broken, fmt.Sprintf(format, a...))
	}
}

type task struct {
	name    string
	spec    *job.Spec
	idx     int32
	attempt uint64
	phase   string
	cause   string
	saved   bool
	ready   time.Time // image there
	runs    time.Time
	saves   time.Time
}

type worker struct {
	w       *world
	name    string
	addr    string
	typ     string
	zone    string
	spot    bool
	born    time.Time
	up      time.Time
	gone    bool
	hung    bool
	session uint64
	seq     uint64
	token   uint64
	leased  time.Time // sending of the last answered report
	tasks   map[string]*task
	node    int
	sent    time.Time
	change  bool
	ln      io.Closer
}

func key(name string, attempt uint64) string { return fmt.Sprintf("%s#%d", name, attempt) }

var simTypes = []wire.MachineType{
	{Name: "small", CPUs: 4, MemGB: 16, CacheGB: 10, FetchRate: 1, Price: 0.2, SpotPrice: 0.05, BootS: 4, Zones: []string{"a", "b", "c"}},
	{Name: "large", CPUs: 16, MemGB: 64, CacheGB: 10, FetchRate: 1, Price: 0.7, SpotPrice: 0.2, BootS: 3, Zones: []string{"a", "b"}},
}

// ServeHTTP is the cloud.
func (w *world) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch q.URL.Path {
	case "/machine_types":
		encode(rw, 200, wire.MachineTypes{Types: simTypes})
	case "/hosts/release":
		var in wire.HostNames
		decode(q, &in)
		for _, n := range in.Hosts {
			if k := w.workers[n]; k != nil {
				k.gone = true
				delete(w.workers, n)
			}
		}
		encode(rw, 200, map[string]any{})
	case "/hosts":
		if q.Method == http.MethodGet {
			out := []wire.CloudHost{}
			for _, n := range slices.Sorted(maps.Keys(w.workers)) {
				k := w.workers[n]
				phase := "running"
				if time.Now().Before(k.up) {
					phase = "booting"
				}
				if n > q.URL.Query().Get("after") && time.Since(k.born) > 4*time.Second {
					out = append(out, wire.CloudHost{Name: n, Addr: k.addr, Type: k.typ, Zone: k.zone, Spot: k.spot, Phase: phase, AgeS: time.Since(k.born).Seconds()})
				}
			}
			encode(rw, 200, wire.CloudHosts{Hosts: out})
			return
		}
		var in wire.Hire
		decode(q, &in)
		if old, ok := w.hires[in.Request]; ok {
			encode(rw, 200, wire.HostNames{Hosts: old})
			return
		}
		n := min(in.Count, w.most-len(w.workers))
		if n <= 0 {
			encode(rw, 503, wire.Error{Error: "no capacity"})
			return
		}
		var names []string
		for range n {
			names = append(names, w.boot(in.Type, in.Zone, in.Spot, 4*time.Second))
		}
		w.hires[in.Request] = names
		encode(rw, 200, wire.HostNames{Hosts: names})
	}
}

// boot starts a worker; the caller holds the lock.
func (w *world) boot(typ, zone string, spot bool, in time.Duration) string {
	w.count++
	k := &worker{w: w, name: fmt.Sprintf("host-%06d", w.count), typ: typ, zone: zone, spot: spot, born: time.Now(), up: time.Now().Add(in),
		session: 1, tasks: map[string]*task{}, node: w.count % 3}
	k.addr = fmt.Sprintf("w%d:9000", w.count)
	w.workers[k.name] = k
	w.wg.Go(k.run)
	return k.name
}

func (k *worker) host() string { return strings.Split(k.addr, ":")[0] }

func (k *worker) report() wire.Report {
	k.seq++
	r := wire.Report{Host: k.name, Addr: k.addr, Type: k.typ, Zone: k.zone, Spot: k.spot, Session: k.session, Seq: k.seq, Token: k.token, Tasks: []wire.TaskReport{}}
	for _, n := range slices.Sorted(maps.Keys(k.tasks)) {
		t := k.tasks[n]
		r.Tasks = append(r.Tasks, wire.TaskReport{Task: t.name, Attempt: t.attempt, Phase: t.phase, Cause: t.cause, Saved: t.saved})
	}
	return r
}

func (k *worker) obey(orders []wire.Order) {
	for _, o := range orders {
		id := key(o.Task, o.Attempt)
		t := k.tasks[id]
		switch o.Op {
		case wire.Launch:
			if t != nil {
				continue
			}
			jid, idx, _ := job.SplitTask(o.Task)
			spec := k.w.specs[jid]
			t = &task{name: o.Task, idx: idx, attempt: o.Attempt, spec: spec, phase: wire.Pulling, ready: time.Now().Add(time.Second)}
			k.tasks[id] = t
			k.change = true
			switch {
			case spec == nil:
				t.exit(wire.CauseNoSuch)
			case k.used()+0 > k.cpus()+1e-9:
				t.exit(wire.CauseFull)
			}
		case wire.Halt:
			if t == nil || t.phase == wire.Exited {
				continue
			}
			k.change = true
			if t.phase == wire.Running && t.spec.Checkpoint > 0 && o.Grace != nil && *o.Grace >= t.spec.SaveS {
				t.phase, t.saves = wire.Saving, time.Now().Add(time.Duration(t.spec.SaveS*float64(time.Second)))
				continue
			}
			if t.phase == wire.Saving && o.Grace != nil && *o.Grace > 0 {
				continue
			}
			t.exit(wire.CauseHalted)
		case wire.Clear:
			if t != nil && t.phase == wire.Exited {
				delete(k.tasks, id)
			}
		}
	}
}

func (t *task) exit(cause string) { t.phase, t.cause = wire.Exited, cause }

func (k *worker) cpus() float64 {
	for _, t := range simTypes {
		if t.Name == k.typ {
			return t.CPUs
		}
	}
	return 0
}

func (k *worker) used() (sum float64) {
	for _, t := range k.tasks {
		if t.phase != wire.Exited && t.spec != nil {
			sum += t.spec.CPUs
		}
	}
	return sum
}

// on reports whether the task holds its machine, as the rules count it.
func (k *worker) on(t *task) bool {
	return t.phase != wire.Exited && t.phase != wire.Pulling && !k.gone && time.Since(k.leased) <= k.w.lease
}

// start judges a task that gets its image.
func (k *worker) start(t *task) {
	w := k.w
	w.starts++
	team := 0.0
	for _, o := range w.workers {
		for _, x := range o.tasks {
			if !o.on(x) || x == t || x.spec == nil {
				continue
			}
			if x.name == t.name {
				w.break_("ran_twice: %s starts on %s while it is on %s", t.name, k.name, o.name)
			}
			if x.spec.Team == t.spec.Team {
				team += x.spec.CPUs
			}
			if x.spec.ID == t.spec.ID && t.spec.OneZone && o.zone != k.zone {
				w.break_("wrong_place: %s in %s and %s", t.spec.ID, o.zone, k.zone)
			}
		}
	}
	if l := w.limit[t.spec.Team]; l > 0 && team+t.spec.CPUs > l+1e-6 {
		w.break_("quota: %s uses %v of %v", t.spec.Team, team+t.spec.CPUs, l)
	}
	if k.spot && !t.spec.Spot {
		w.break_("wrong_place: %s on a spot machine", t.name)
	}
	if at, ok := w.aborted[t.spec.ID]; ok && time.Since(at) > w.cancel {
		w.break_("ran_cancelled: %s starts %v after the answer", t.name, time.Since(at))
	}
}

func (k *worker) step(now time.Time) {
	if now.Sub(k.leased) > k.w.lease {
		k.tasks = map[string]*task{}
		k.session++
		k.leased, k.change = now, true
	}
	for _, t := range k.tasks {
		was := t.phase
		switch t.phase {
		case wire.Pulling:
			if now.Before(t.ready) {
				break
			}
			k.start(t)
			t.phase = wire.Running
			t.runs = now
			if t.spec.ShapeName == "ensemble" {
				t.phase = wire.Waiting
			}
			if k.w.faulty[k.name] {
				t.exit(wire.CauseError)
			}
			if k.w.doneSet[t.spec.ID][t.idx] && t.spec.ShapeName != "daemon" {
				t.exit(wire.CauseDone)
			}
		case wire.Waiting:
			if k.w.mates(t, wire.Waiting, wire.Running) == t.spec.Tasks {
				t.phase, t.runs = wire.Running, now
			} else if now.Sub(t.runs) > 20*time.Second {
				t.exit(wire.CauseIncomplete)
			}
		case wire.Running:
			if t.spec.ShapeName == "ensemble" && k.w.mates(t, wire.Waiting, wire.Running, wire.Exited) < t.spec.Tasks {
				t.exit(wire.CauseMatesGone)
			} else if t.spec.ShapeName != "daemon" && now.Sub(t.runs) > time.Duration(t.spec.EstimateS*float64(time.Second)) {
				t.exit(wire.CauseDone)
				set := k.w.doneSet[t.spec.ID]
				if set == nil {
					set = map[int32]bool{}
					k.w.doneSet[t.spec.ID] = set
				}
				set[t.idx] = true
				if t.spec.ShapeName == "ensemble" {
					for i := range t.spec.Tasks {
						set[int32(i)] = true
					}
				}
			}
		case wire.Saving:
			if now.After(t.saves) {
				t.exit(wire.CauseHalted)
				t.saved = true
			}
		}
		if at, ok := k.w.aborted[specID(t)]; ok && k.on(t) && time.Since(at) > k.w.cancel {
			k.w.break_("ran_cancelled: %s is on %s %v after the answer", t.name, k.name, time.Since(at))
		}
		k.change = k.change || was != t.phase
	}
}

func specID(t *task) string {
	if t.spec == nil {
		return ""
	}
	return t.spec.ID
}

// mates counts the gang's members of the attempt in one of the phases.
func (w *world) mates(t *task, phases ...string) (n int) {
	for _, o := range w.workers {
		for _, x := range o.tasks {
			if x.attempt == t.attempt && specID(x) == specID(t) && (slices.Contains(phases, x.phase) && (x.phase != wire.Exited || x.cause == wire.CauseDone)) {
				n++
			}
		}
	}
	return n
}

func (k *worker) run() {
	w := k.w
	wait := func(d time.Duration) bool {
		select {
		case <-w.end:
			return false
		case <-time.After(d):
			return true
		}
	}
	if !wait(time.Until(k.up)) {
		return
	}
	w.mu.Lock()
	k.leased = time.Now()
	w.mu.Unlock()
	ln, err := w.net.listen(k.addr)
	if err != nil {
		panic(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(k.serve)}
	w.wg.Go(func() { _ = srv.Serve(ln) })
	defer srv.Close()
	hc := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DialContext: w.net.dialer(k.host()), MaxIdleConnsPerHost: 1}}
	defer hc.CloseIdleConnections()
	busy := make(chan struct{}, 1)
	for wait(100 * time.Millisecond) {
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
		due := now.Sub(k.sent) > 2*time.Second || (k.change && now.Sub(k.sent) > 500*time.Millisecond)
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

func (k *worker) checkin(hc *http.Client, rep wire.Report, sent time.Time) {
	w := k.w
	b, err := wire.Marshal(rep)
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	node := k.node
	w.mu.Unlock()
	res, err := hc.Post("http://"+w.ctlAddr[node]+"/checkin", wire.ContentType, strings.NewReader(string(b)))
	var body []byte
	status := 0
	if err == nil {
		status = res.StatusCode
		body, err = io.ReadAll(res.Body)
		res.Body.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil && status == 200 {
		var a wire.Answer
		if wire.Unmarshal(body, &a) != nil || a.Token < k.token || rep.Session != k.session || time.Since(sent) > 4*time.Second || k.gone || k.hung {
			return
		}
		if a.Token > k.token {
			k.token, k.change = a.Token, true
		}
		k.leased = sent
		k.obey(a.Orders)
		return
	}
	k.node = (node + 1) % 3
	if status == 421 {
		var to wire.Redirect
		if wire.Unmarshal(body, &to) == nil && strings.HasPrefix(to.ReportTo, "n") {
			if i, err := strconv.Atoi(to.ReportTo[1:]); err == nil && i != node {
				k.node = i
				k.sent = time.Time{}
			}
		}
	}
}

func (k *worker) serve(rw http.ResponseWriter, q *http.Request) {
	var d wire.Direct
	ok := q.URL.Path == "/do" && decode(q, &d)
	for {
		k.w.mu.Lock()
		if !k.hung {
			break
		}
		k.w.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
	defer k.w.mu.Unlock()
	if k.gone {
		return
	}
	k.step(time.Now())
	switch {
	case q.URL.Path == "/show":
	case !ok:
		rw.WriteHeader(400)
		return
	case d.Token < k.token || d.Session != k.session:
		encode(rw, 409, k.report())
		return
	default:
		if d.Token > k.token {
			k.token, k.change = d.Token, true
		}
		k.obey(d.Orders)
	}
	encode(rw, 200, k.report())
}
