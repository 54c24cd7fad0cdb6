package control

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"vetchstream/internal/autoscale"
	"vetchstream/internal/config"
	"vetchstream/internal/election"
	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/rpc"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// fate is what becomes of a transaction.
type fate int

const (
	served  fate = iota
	unheard      // applied, and the answer is lost
	late         // the answer is lost, and it is applied a second later
	latest       // and eight seconds later, after newer ones
	never        // never applied, no answer
)

// stateService is the state service in memory, on a network of pipes.
type stateService struct {
	mu    sync.Mutex
	rev   uint64
	kv    map[string]state.Entry
	fates []fate // of the next transactions that write what is under doom
	doom  string // first letters of keys
	most  int    // writes in a transaction
	txns  int    // that wrote jobs
	mute  bool   // watches tell of nothing
	out   bool   // an outage: nothing is executed
	conns chan net.Conn
	ended chan struct{} // a dial may still come when the service has ended
}

func newStateService(t *testing.T) *stateService {
	s := &stateService{kv: map[string]state.Entry{}, most: 12, doom: job.GroupPrefix[:1], conns: make(chan net.Conn), ended: make(chan struct{})}
	srv := &http.Server{Handler: s}
	go func() { _ = srv.Serve(s) }()
	t.Cleanup(func() {
		_ = srv.Close()
		time.Sleep(5 * time.Second) // what is under way ends
	})
	return s
}

func (s *stateService) Accept() (net.Conn, error) {
	select {
	case c := <-s.conns:
		return c, nil
	case <-s.ended:
		return nil, net.ErrClosed
	}
}
func (s *stateService) Close() error   { close(s.ended); return nil }
func (s *stateService) Addr() net.Addr { return &net.TCPAddr{} }

func (s *stateService) dial(_ context.Context, _, addr string) (net.Conn, error) {
	if addr != "state:1" {
		return nil, net.ErrClosed
	}
	a, b := net.Pipe()
	select {
	case s.conns <- b:
		return a, nil
	case <-s.ended:
		return nil, net.ErrClosed
	}
}

func (s *stateService) put(key string, v any) {
	w, err := state.Put(key, v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.kv[key] = state.Entry{Key: key, Value: w.Value, Version: s.rev}
}

// will sets what becomes of the next transactions that write keys whose first
// letter is among doom, and starts to count anew.
func (s *stateService) will(doom string, fates ...fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doom, s.fates, s.txns = doom, fates, 0
}

// seen are the transactions that wrote jobs since, and the fates that are left.
func (s *stateService) seen() (txns, left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.txns, len(s.fates)
}

func (s *stateService) absent(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.kv[key]
	return !ok
}

func (s *stateService) apply(t state.Txn) (status int, body any) {
	var failed []string
	for _, c := range t.If {
		if s.kv[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return 409, map[string]any{"failed": failed}
	}
	s.rev++
	for _, w := range t.Writes {
		if w.Delete != "" {
			delete(s.kv, w.Delete)
		} else {
			s.kv[w.Put] = state.Entry{Key: w.Put, Value: w.Value, Version: s.rev}
		}
	}
	return 200, map[string]any{"epoch": s.rev}
}

func (s *stateService) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	answer := func(status int, v any) { writeAnswer(rw, status, v) }
	s.mu.Lock()
	defer s.mu.Unlock()
	path := q.URL.Path
	switch {
	case s.out:
		answer(503, map[string]any{})
	case path == "/commit":
		s.serveCommit(q, answer)
	case path == "/kv":
		out := []state.Entry{}
		for _, k := range slices.Sorted(maps.Keys(s.kv)) {
			if strings.HasPrefix(k, q.URL.Query().Get("under")) {
				out = append(out, s.kv[k])
			}
		}
		answer(200, map[string]any{"entries": out, "epoch": s.rev})
	case strings.HasPrefix(path, "/kv/"):
		e, ok := s.kv[path[4:]]
		if !ok {
			answer(404, map[string]any{})
			return
		}
		answer(200, e)
	default:
		s.serveWatch(answer)
	}
}

// writeAnswer writes an encoded answer.
func writeAnswer(rw http.ResponseWriter, status int, v any) {
	b, err := wire.Marshal(v)
	if err != nil {
		panic(err)
	}
	rw.WriteHeader(status)
	_, _ = rw.Write(b)
}

// serveCommit applies a transaction, or loses its answer, as the next fate says.
// It is called with s.mu held.
func (s *stateService) serveCommit(q *http.Request, answer func(int, any)) {
	b, _ := io.ReadAll(q.Body)
	var t state.Txn
	if err := wire.Unmarshal(b, &t); err != nil || len(t.Writes) > s.most || len(t.If) > 4*s.most {
		answer(400, wire.Error{Error: "malformed"})
		return
	}
	f := served
	of := func(prefixes string) bool {
		return slices.ContainsFunc(t.Writes, func(w state.Write) bool { return strings.ContainsAny((w.Put + w.Delete)[:1], prefixes) })
	}
	if of("jgf") {
		s.txns++
	}
	if of(s.doom) && len(s.fates) > 0 {
		f, s.fates = s.fates[0], s.fates[1:]
	}
	switch f {
	case served:
		answer(s.apply(t))
		return
	case unheard:
		s.apply(t)
	case late, latest:
		time.AfterFunc(map[fate]time.Duration{late: time.Second, latest: 8 * time.Second}[f], func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.apply(t)
		})
	}
	panic(http.ErrAbortHandler)
}

// serveWatch answers a watch with the active jobs, after a pause. It is called
// with s.mu held, and lets it go while it waits.
func (s *stateService) serveWatch(answer func(int, any)) {
	s.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	s.mu.Lock()
	var events []state.Event
	for k := range s.kv {
		if strings.HasPrefix(k, job.ActivePrefix) && !s.mute {
			events = append(events, state.Event{Put: k})
		}
	}
	answer(200, map[string]any{"epoch": s.rev, "events": events})
}

// jobs counts the entries of active jobs, in groups and alone.
func (s *stateService) jobs() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, e := range s.kv {
		var g job.Group
		switch {
		case strings.HasPrefix(k, job.ActivePrefix):
			n++
		case strings.HasPrefix(k, job.GroupPrefix) && wire.Unmarshal(e.Value, &g) == nil:
			n += len(g.Jobs)
		}
	}
	return n
}

// keys are those below the prefixes.
func (s *stateService) keys(prefixes string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.kv {
		if strings.ContainsAny(k[:1], prefixes) {
			n++
		}
	}
	return n
}

// seat is a controller that leads, on that service.
type seat struct {
	*Controller
	t    *testing.T
	s    *stateService
	term uint64
	stop func()
	// lapsed takes the entitlement away.
	lapsed atomic.Bool
}

func sit(t *testing.T, s *stateService, term uint64) *seat {
	t.Helper()
	return sitWith(t, s, term, func(*config.Tuning) {})
}

func sitWith(t *testing.T, s *stateService, term uint64, tune func(*config.Tuning)) *seat {
	t.Helper()
	st := &seat{t: t, s: s, term: term}
	set := &config.Settings{Member: "n0"}
	f := &set.Facts
	f.Workers.LeaseS = 10
	f.Zones = []string{"a"}
	f.Teams = []config.Team{{Name: "red"}}
	// Few writes: what comes together is certain to be grouped.
	f.State.RPS, f.State.WriteRPS, f.State.TxnOps, f.State.ValueKB = 200, 24, 12, 16
	f.Resources.MaxSockets = 800
	c := New(Deps{Settings: set, Tuning: config.Defaults(), State: state.New("state:1", s.dial, StateBudget(set, false)),
		Cloud: autoscale.NewCloud("cloud:1", s.dial, 1), Dial: s.dial, Log: slog.New(slog.DiscardHandler),
		Entitled: func(uint64) bool { return !st.lapsed.Load() }, Deposed: func(uint64) {}})
	st.Controller = c
	tune(c.Tuning)
	c.types = []wire.MachineType{{Name: "small", CPUs: 4, MemGB: 16, Zones: []string{"a"}}}
	s.put(election.KeyTerm, map[string]uint64{"term": term})
	s.mu.Lock()
	version := s.kv[election.KeyTerm].Version
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.Lead(ctx, election.Term{Term: term, TermVersion: version, Since: time.Now()})
	}()
	st.stop = sync.OnceFunc(func() { cancel(); <-ended })
	t.Cleanup(st.stop)
	time.Sleep(300 * time.Millisecond)
	return st
}

func body(id string, edit map[string]any) []byte {
	m := map[string]any{"uid": id, "breed": "c", "owner": "red", "shape": "array", "rank": "idle", "pieces": 1, "cpus": 1.0, "accelerators": 0.0,
		"mem_gb": 1.0, "reel": "i", "image_gb": 0.5, "same_place": false, "apart": false, "loaners": true, "guess_s": 5.0, "mark_s": 0.0, "stash_s": 0.0}
	maps.Copy(m, edit)
	b, err := wire.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

// ask is a user's request, patient for as long as a user is.
func (st *seat) ask(kind, id string, b []byte) *rpc.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 3500*time.Millisecond)
	defer cancel()
	p := st.Answer(ctx, &rpc.Request{Kind: kind, ID: id, Body: b})
	if p == nil {
		p = Unavailable("nobody leads")
	}
	return p
}

// submit hands in jobs at the same moment and returns the answers.
func (st *seat) submit(bodies ...[]byte) []int {
	out := make([]int, len(bodies))
	var wg sync.WaitGroup
	for i, b := range bodies {
		wg.Go(func() { out[i] = st.ask(rpc.KindSubmit, "", b).Status })
	}
	wg.Wait()
	return out
}

func (st *seat) phase(id string) string {
	p := st.ask(rpc.KindStatus, id, nil)
	var s wire.Status
	if p.Status != 200 {
		return fmt.Sprint(p.Status)
	}
	if err := wire.Unmarshal(p.Body, &s); err != nil {
		st.t.Fatal(err)
	}
	return s.Phase
}

func swarm(from, n int) (out [][]byte) {
	for i := range n {
		out = append(out, body(fmt.Sprintf("run-%d", from+i), nil))
	}
	return out
}

func count(out []int, status int) (n int) {
	for _, s := range out {
		if s == status {
			n++
		}
	}
	return n
}

// groupsCase is a case of TestGroups: do runs against a fresh state service.
type groupsCase struct {
	name string
	do   func(t *testing.T, s *stateService)
}

// groupsCases are the cases of TestGroups.
var groupsCases = []groupsCase{
	{"a swarm takes few writes, and one job a record of its own", func(t *testing.T, s *stateService) {
		st := sit(t, s, 1)
		if out := st.submit(swarm(0, 1)...); out[0] != 201 || s.keys("j") != 1 {
			t.Errorf("one job: %v, %d records", out, s.keys("j"))
		}
		s.will("g")
		if out := st.submit(swarm(100, 200)...); count(out, 201) != 200 {
			t.Errorf("%d of 200 accepted", count(out, 201))
		}
		if txns, _ := s.seen(); txns > 30 {
			t.Errorf("%d writes for 200 jobs", txns)
		}
	}},
	{"malformed, impossible and repeated ones are answered each on its own", func(t *testing.T, s *stateService) {
		st := sit(t, s, 1)
		out := st.submit(body("run-1", nil), body("run-2", map[string]any{"pieces": -1}), body("run-3", map[string]any{"cpus": 99.0}),
			body("run-4", nil), body("run-4", nil), body("run-5", map[string]any{"owner": "green"}))
		again := slices.Clone(out[3:5]) // the two that repeat each other may come one after the other
		out = slices.Delete(out, 3, 5)
		if want := []int{201, 400, 422, 422}; !slices.Equal(out, want) || again[0]/100 != 2 || again[1]/100 != 2 {
			t.Errorf("answers %v, want %v; to the repeated one %v", out, want, again)
		}
		if out := st.submit(body("run-4", nil)); out[0] != 200 {
			t.Errorf("once more: %v", out)
		}
	}},
	{"an unclear commit in the middle of a group that was applied", func(t *testing.T, s *stateService) {
		st := sit(t, s, 1)
		s.will("g", unheard)
		st.submit(swarm(0, 100)...)
		time.Sleep(2 * time.Second)
		if out := st.submit(swarm(0, 100)...); count(out, 200) != 100 || s.jobs() != 100 {
			t.Errorf("after it: %v, %d jobs", out, s.jobs())
		}
		if _, left := s.seen(); left > 0 {
			t.Error("no group was stored")
		}
	}},
	{"an unclear commit that is applied after the second try", func(t *testing.T, s *stateService) {
		st := sit(t, s, 1)
		s.will("g", late)
		st.submit(swarm(0, 100)...)
		time.Sleep(5 * time.Second)
		if out := st.submit(swarm(0, 100)...); count(out, 200) != 100 || s.jobs() != 100 {
			t.Errorf("after it: %v, %d jobs", out, s.jobs())
		}
		if _, left := s.seen(); left > 0 {
			t.Error("no group was stored")
		}
	}},
	{"a job alone that was stored and whose answer is lost, while another node reads it", func(t *testing.T, s *stateService) {
		st := sit(t, s, 1)
		s.will("j", unheard)
		go st.ask(rpc.KindSubmit, "", body("run-1", nil))
		time.Sleep(50 * time.Millisecond)
		if p := st.Direct(context.Background(), "run-1"); p.Status != 200 {
			t.Errorf("another node says %d", p.Status)
		}
		if p := st.ask(rpc.KindStatus, "run-1", nil); p.Status != 200 && p.Status != 503 {
			t.Errorf("the leader says %d", p.Status)
		}
		time.Sleep(2 * time.Second)
		if out := st.submit(body("run-1", nil)); out[0] != 200 || st.phase("run-1") != wire.JobPending || s.jobs() != 1 {
			t.Errorf("once more: %v, %d jobs", out, s.jobs())
		}
	}},
	{"admitted by another node, its answer lost, and asked again at the leader", func(t *testing.T, s *stateService) {
		st := sit(t, s, 1)
		s.will("j", unheard)
		if p := st.Admit(context.Background(), body("run-1", nil)); p.Status != 503 {
			t.Errorf("not settled: %d", p.Status)
		}
		for i, ask := range []func() int{func() int { return st.Admit(context.Background(), body("run-1", nil)).Status }, func() int { return st.submit(body("run-1", nil))[0] }} {
			if status := ask(); status != 200 {
				t.Errorf("try %d: %d", i, status)
			}
		}
		if p := st.ask(rpc.KindAbort, "run-1", nil); p.Status != 200 || st.phase("run-1") != wire.JobAborted {
			t.Errorf("cancelled: %d, and it is %s", p.Status, st.phase("run-1"))
		}
	}},
	{"jobs that another node has admitted do not keep out the others", func(t *testing.T, s *stateService) {
		st := sit(t, s, 1)
		for _, b := range swarm(15, 3) {
			if p := st.Admit(context.Background(), b); p.Status != 201 {
				t.Fatalf("admitted: %d", p.Status)
			}
		}
		if out := st.submit(swarm(0, 20)...); count(out, 201) != 17 || count(out, 200) != 3 {
			t.Errorf("answers %v", out)
		}
	}},
	{"the same group admitted by two nodes is one job each, done once", func(t *testing.T, s *stateService) {
		st := sit(t, s, 1)
		s.will("g", late) // the leader's comes after the other node's answer
		var wg sync.WaitGroup
		wg.Go(func() { st.submit(swarm(0, 40)...) })
		for _, b := range swarm(0, 20) {
			wg.Go(func() { st.Admit(context.Background(), b) })
		}
		wg.Wait()
		time.Sleep(3 * time.Second)
		for _, b := range swarm(20, 20) { // as it would be if the group had come between its look and its commit
			_, spec, _ := submission(b)
			if key := job.ActivePrefix + spec.ID; s.absent(key) {
				s.put(key, &job.Record{Spec: *spec})
			}
		}
		time.Sleep(3 * time.Second)
		for i := range 40 {
			if p := st.ask(rpc.KindAbort, fmt.Sprintf("run-%d", i), nil); p.Status != 200 {
				t.Errorf("cancel: %d", p.Status)
			}
		}
		time.Sleep(time.Minute)
		if s.keys("jg") != 0 || s.keys("f") != 40 {
			t.Errorf("%d records of active jobs and groups, %d final ones", s.keys("jg"), s.keys("f"))
		}
	}},
	{"ends that come together take one write, and an unclear one that was applied is told", func(t *testing.T, s *stateService) {
		st := sit(t, s, 1)
		st.submit(swarm(0, 100)...)
		before := s.keys("j")
		s.will("g", unheard)
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				if p := st.ask(rpc.KindAbort, fmt.Sprintf("run-%d", i), nil); p.Status != 200 {
					t.Errorf("run-%d: %d", i, p.Status)
				}
			})
		}
		wg.Wait()
		if txns, left := s.seen(); left > 0 || txns-before > (100-before)/2 {
			t.Errorf("%d writes for 100 ends, %d of them of jobs alone", txns, before)
		}
	}},
	{"what another node reads as over the leader does not call active, before it knows", func(t *testing.T, s *stateService) {
		st := sit(t, s, 1)
		st.submit(swarm(0, 30)...)
		for i := range 30 {
			id := fmt.Sprintf("run-%d", i)
			s.will("jgf", unheard)
			go st.ask(rpc.KindAbort, id, nil)
			time.Sleep(100 * time.Millisecond)
			var told wire.Status
			if p := st.Direct(context.Background(), id); wire.Unmarshal(p.Body, &told) != nil || told.Phase != wire.JobAborted {
				continue // its commit waits for others
			}
			if got := st.phase(id); got != wire.JobAborted {
				t.Errorf("%s is %s at the leader", id, got)
			}
			if out := st.submit(body(id, nil)); out[0] != 200 {
				t.Errorf("%s once more: %d", id, out[0])
			}
		}
	}},
	{"a state service that takes less at a time", func(t *testing.T, s *stateService) {
		s.most = 3 // before anybody asks
		st := sit(t, s, 1)
		st.submit(swarm(0, 40)...)
		time.Sleep(5 * time.Second)
		if out := st.submit(swarm(0, 40)...); count(out, 200) != 40 {
			t.Errorf("answers %v", out)
		}
	}},
	{"a node that does not lead finds them with one listing for all who wait", func(t *testing.T, s *stateService) {
		st := sit(t, s, 1)
		st.submit(swarm(0, 60)...)
		var wg sync.WaitGroup
		for i := range 61 {
			wg.Go(func() {
				want := 200
				if i == 60 {
					want = 404
				}
				if p := st.Direct(context.Background(), fmt.Sprintf("run-%d", i)); p.Status != want {
					t.Errorf("run-%d: %d, want %d", i, p.Status, want)
				}
			})
		}
		wg.Wait()
	}},
}

// TestGroups: submissions that come together are stored together, and each retains
// its own answer.
func TestGroups(t *testing.T) {
	for _, tt := range groupsCases {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { tt.do(t, newStateService(t)) })
		})
	}
}

// TestCompaction: what is over leaves its group. A leader that ends at any of its
// transactions, whatever becomes of that one, leaves every job in one place: what
// was told to be over stays so, and the rest stays active.
func TestCompaction(t *testing.T) {
	const jobs, over = 30, 20
	for step := range 9 {
		for _, f := range []fate{served, unheard, late, never} {
			t.Run(fmt.Sprintf("ends at step %d, %d", step, f), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					s := newStateService(t)
					st := sit(t, s, 1)
					if out := st.submit(swarm(0, jobs)...); count(out, 201) != jobs {
						t.Fatalf("answers %v", out)
					}
					s.mu.Lock()
					s.fates = append(make([]fate, step), f)
					s.mu.Unlock()
					for i := range over {
						go st.ask(rpc.KindAbort, fmt.Sprintf("run-%d", i), nil)
					}
					for range 100 {
						time.Sleep(20 * time.Millisecond)
						s.mu.Lock()
						n := len(s.fates)
						s.mu.Unlock()
						if n == 0 {
							break
						}
					}
					told := map[int]bool{}
					for i := range over {
						told[i] = st.phase(fmt.Sprintf("run-%d", i)) == wire.JobAborted
					}
					st.stop()
					next := sit(t, s, 2)
					time.Sleep(2 * time.Second)
					for i := range jobs {
						id := fmt.Sprintf("run-%d", i)
						got := next.phase(id)
						if told[i] && got != wire.JobAborted || i >= over && got != wire.JobPending || got == "404" {
							t.Errorf("%s is %s, was told to be over: %v", id, got, told[i])
						}
						if i < over {
							next.ask(rpc.KindAbort, id, nil)
						}
					}
					time.Sleep(time.Minute)
					if n := s.keys("f"); n != over {
						t.Errorf("%d final records, want %d", n, over)
					}
					for i := range over {
						if got := next.phase(fmt.Sprintf("run-%d", i)); got != wire.JobAborted {
							t.Errorf("run-%d is %s at the end", i, got)
						}
					}
				})
			})
		}
	}
}

// TestAudit: a job that another node has admitted, and whose event is lost, is taken
// in all the same.
func TestAudit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStateService(t)
		s.mute = true
		st := sit(t, s, 7)
		s.put(job.ActivePrefix+"run-5", &job.Record{Spec: job.Spec{ID: "run-5", Team: "red", ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 1}})
		owned := func() bool {
			has := make(chan bool, 1)
			r := st.currentTerm()
			r.enqueueForUser(func() { has <- r.jobTable.get("run-5") != nil })
			return <-has
		}
		time.Sleep(auditEvery / 2)
		if owned() {
			t.Error("the event was not lost")
		}
		time.Sleep(auditEvery)
		if !owned() {
			t.Error("nobody looks after the job")
		}
	})
}

// TestUnreadable: a record that does not decode holds back its own job only.
func TestUnreadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStateService(t)
		s.put(job.ActivePrefix+"run-4", "no record")
		s.put(job.DonePrefix+"run-4/0", job.Chunk{})
		s.put(job.ActivePrefix+"run-5", &job.Record{Spec: job.Spec{ID: "run-5", Team: "red", ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 1}})
		st := sit(t, s, 7)
		if p := st.ask(rpc.KindStatus, "run-5", nil); p.Status != 200 {
			t.Errorf("another job's status: %d", p.Status)
		}
		if p := st.ask(rpc.KindStatus, "run-4", nil); p.Status != 503 {
			t.Errorf("its own: %d, want 503", p.Status)
		}
		if p := st.ask(rpc.KindSubmit, "run-6", body("run-6", nil)); p.Status/100 != 2 {
			t.Errorf("a new job: %d", p.Status)
		}
		time.Sleep(2 * auditEvery)
		if s.absent(job.ActivePrefix+"run-4") || s.absent(job.DonePrefix+"run-4/0") {
			t.Error("the record, or a result, is gone")
		}
		// A task of it is stopped, and so is one that another machine shows later.
		for _, host := range []string{"host-1", "host-2"} {
			if !st.stops(host, "run-4/0") {
				t.Errorf("its task on %s goes on", host)
			}
		}
	})
}

// TestUnreadableGroup: a group's record that does not decode holds up neither the loading
// nor the jobs that are known. What may be in it is neither denied nor taken for new.
func TestUnreadableGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStateService(t)
		s.put(job.GroupPrefix+"6-1", "no record")
		s.put(job.DonePrefix+"run-4/0", job.Chunk{})
		s.put(job.GroupPrefix+"6-2", job.Group{Jobs: []job.Record{{Spec: job.Spec{ID: "run-6", Team: "red", ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 1}}}})
		s.put(job.ActivePrefix+"run-5", &job.Record{Spec: job.Spec{ID: "run-5", Team: "red", ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 1}})
		s.put(job.FinalPrefix+"run-7", &job.Record{Spec: job.Spec{ID: "run-7", Team: "red", ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 1}, Phase: wire.JobDone})
		st := sit(t, s, 7)
		for _, tt := range []struct {
			kind, id string
			want     int
		}{
			{rpc.KindStatus, "run-5", 200}, {rpc.KindStatus, "run-6", 200}, {rpc.KindStatus, "run-7", 200}, {rpc.KindStatus, "run-4", 503},
			{rpc.KindSubmit, "run-5", 200}, {rpc.KindSubmit, "run-6", 200}, {rpc.KindSubmit, "run-7", 200}, {rpc.KindSubmit, "run-4", 503},
			{rpc.KindAbort, "run-4", 503}, {rpc.KindAbort, "run-6", 200},
		} {
			if p := st.ask(tt.kind, tt.id, body(tt.id, nil)); p.Status != tt.want {
				t.Errorf("%s %s: %d, want %d", tt.kind, tt.id, p.Status, tt.want)
			}
			if p := st.Direct(context.Background(), tt.id); tt.kind == rpc.KindStatus && p.Status != tt.want {
				t.Errorf("%s at another controller: %d, want %d", tt.id, p.Status, tt.want)
			}
		}
		if p := st.Admit(context.Background(), body("run-4", nil)); p.Status != 503 {
			t.Errorf("admitted by another controller: %d", p.Status)
		}
		time.Sleep(2 * auditEvery)
		if s.absent(job.GroupPrefix+"6-1") || s.absent(job.DonePrefix+"run-4/0") {
			t.Error("the record, or a result, is gone")
		}
		if !st.stops("host-1", "run-4/0") {
			t.Error("a task that may be of it goes on")
		}
	})
}

// shows lets a machine report, and returns what the leader then has of it.
func (st *seat) shows(host string, seq uint64, tasks ...wire.TaskReport) (slots []fleet.Slot) {
	r := st.currentTerm()
	r.enqueueForUser(func() {
		h := r.fleet.Add(host, time.Now())
		h.Known, h.Type, h.Zone = true, 0, 0
		r.taskTracker.observe(h, &wire.Report{Host: host, Session: 1, Seq: seq, Token: st.term, Tasks: tasks}, true, time.Now())
	})
	time.Sleep(time.Second)
	done := make(chan struct{})
	r.enqueueForUser(func() {
		defer close(done)
		for _, sl := range r.fleet.Hosts[host].Slots {
			slots = append(slots, *sl)
		}
	})
	<-done
	return slots
}

// stops reports whether the leader stops a task that a machine shows running.
func (st *seat) stops(host, task string) bool {
	slots := st.shows(host, 5, wire.TaskReport{Task: task, Attempt: 1, Phase: wire.Running})
	return len(slots) == 1 && slots[0].Stopping
}

// TestStranger: a machine that is met late shows a task of a job that is over and that
// this leader has not loaded, or has let go of, while the state service is out. It is
// stopped all the same: its user may have been told that it is cancelled, and each
// answer renews the machine's lease.
func TestStranger(t *testing.T) {
	tests := []struct {
		name  string
		phase string // of its record; empty: there is none
	}{
		{"cancelled through the leader before", wire.JobAborted},
		{"done", wire.JobDone},
		{"never heard of", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStateService(t)
				if tt.phase != "" {
					s.put(job.FinalPrefix+"run-4", &job.Record{Spec: job.Spec{ID: "run-4", Team: "red", ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 1}, Phase: tt.phase})
				}
				st := sit(t, s, 7)
				s.mu.Lock()
				s.out = true
				s.mu.Unlock()
				if !st.stops("host-1", "run-4/0") {
					t.Error("the task goes on, and its machine's lease is renewed")
				}
			})
		})
	}
}

// TestLate: a write of results has no answer and is carried out after a newer one. What
// the newer one says stands, also for the next leader.
func TestLate(t *testing.T) {
	tests := []struct {
		name  string
		fates []fate // of the writes of results
	}{
		{"the first", []fate{latest}},
		{"the second", []fate{served, latest}},
		{"two in a row", []fate{served, latest, latest}},
		{"applied, its answer lost", []fate{served, unheard}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStateService(t)
				s.put(job.ActivePrefix+"run-4", &job.Record{Spec: job.Spec{ID: "run-4", Team: "red", ShapeName: "array", PriorityName: "idle", Tasks: 5, CPUs: 1}})
				st := sit(t, s, 7)
				s.will(job.DonePrefix[:1], tt.fates...)
				for i := range 4 {
					st.shows("host-1", uint64(1+i), wire.TaskReport{Task: fmt.Sprintf("run-4/%d", i), Attempt: 1, Phase: wire.Exited, Cause: wire.CauseDone})
					time.Sleep(2 * time.Second)
				}
				time.Sleep(20 * time.Second)
				if _, left := s.seen(); left > 0 {
					t.Errorf("%d writes did not come", left)
				}
				st.stop()
				next := sit(t, s, 8)
				var got wire.Status
				if p := next.ask(rpc.KindStatus, "run-4", nil); wire.Unmarshal(p.Body, &got) != nil || got.Done != 4 {
					t.Errorf("the next leader knows %d results of 4", got.Done)
				}
			})
		})
	}
}

// TestResolve: a submission meets the record of a job that another node has admitted, read
// before the job ended. It is not taken in once more, and its user is told the end.
func TestResolve(t *testing.T) {
	for _, phase := range []string{"", wire.JobDone, wire.JobAborted} {
		t.Run("ended: "+phase, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStateService(t)
				s.mute = true
				st := sit(t, s, 7)
				rec := &job.Record{Spec: job.Spec{ID: "run-5", Team: "red", ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 1}}
				s.put(job.ActivePrefix+"run-5", rec)
				r, got := st.currentTerm(), make(chan *rpc.Reply, 1)
				r.enqueueForUser(func() {
					if phase != "" {
						r.completions.cacheFinalStatus(&job.Record{Spec: rec.Spec, Phase: phase})
					}
					in := &pendingSubmission{rec: rec, backs: []func(*rpc.Reply){func(p *rpc.Reply) { got <- p }}}
					r.admission.pending["run-5"] = in
					go r.admission.resolve(in)
				})
				var told wire.Status
				if p := <-got; p.Status != 200 || wire.Unmarshal(p.Body, &told) != nil || (phase != "" && told.Phase != phase) {
					t.Errorf("answer %d %s", p.Status, told.Phase)
				}
				owned := make(chan bool, 1)
				r.enqueueForUser(func() { owned <- r.jobTable.get("run-5") != nil })
				if has := <-owned; has != (phase == "") {
					t.Errorf("looked after: %v", has)
				}
			})
		})
	}
}

// TestLateRecords: a change of a roll-out or of the calendar has no answer, and is carried
// out at once or after newer ones. What operators were told last stands, also at the next
// leader.
func TestLateRecords(t *testing.T) {
	for _, rec := range lateRecords {
		for name, fates := range map[string][]fate{"carried out at once": {unheard}, "late": {late}, "after newer ones": {latest}, "twice": {latest, latest},
			"the second at once": {served, unheard}, "the second late": {served, latest}} {
			t.Run(rec.name+", "+name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { checkLateRecord(t, rec, fates) })
			})
		}
	}
}

// lateOp is an operation of TestLateRecords, with the spec that goes into its body.
type lateOp struct {
	rpc.Operation
	spec map[string]any
}

// simDay is hour h of day d of the simulated time, which begins in 2000.
func simDay(d, h int) string {
	return time.Date(2000, 1, 1+d, h, 0, 0, 0, time.UTC).Format(time.RFC3339)
}

// namedOp is an operation on the roll-out of service x, or the calendar entry x.
func namedOp(verb string, window bool) lateOp {
	return lateOp{rpc.Operation{Verb: verb, Service: "x", Window: window}, nil}
}

// lateRecord is a case of TestLateRecords.
type lateRecord struct {
	name, kind, doom string
	ops              []lateOp
	want             string // in the state after the last of them; empty: it is not there
}

// lateRecords are the cases of TestLateRecords.
var lateRecords = []lateRecord{
	{"a roll-out is started", rpc.KindRollout, "r", []lateOp{
		{rpc.Operation{Verb: rpc.VerbStart}, map[string]any{"service": "x", "from": "run-1", "to": map[string]any{"uid": "run-2", "reel": "n"}}}}, "run-2"},
	{"a roll-out is started and paused", rpc.KindRollout, "r", []lateOp{
		{rpc.Operation{Verb: rpc.VerbStart}, map[string]any{"service": "x", "from": "run-1", "to": map[string]any{"uid": "run-2", "reel": "n"}}},
		namedOp(rpc.VerbPause, false)}, "paused"},
	{"a reservation is made", rpc.KindCalendar, "c", []lateOp{
		{rpc.Operation{Verb: rpc.VerbStart}, map[string]any{"name": "x", "team": "red", "parts": 1, "cpus": 1.0, "mem_gb": 1.0, "start": simDay(2, 1), "end": simDay(2, 2)}}}, "booked"},
	{"a reservation is made and cancelled", rpc.KindCalendar, "c", []lateOp{
		{rpc.Operation{Verb: rpc.VerbStart}, map[string]any{"name": "x", "team": "red", "parts": 1, "cpus": 1.0, "mem_gb": 1.0, "start": simDay(2, 1), "end": simDay(2, 2)}},
		namedOp(rpc.VerbCancel, false)}, ""},
	{"a window is planned", rpc.KindCalendar, "c", []lateOp{
		{rpc.Operation{Verb: rpc.VerbStart, Window: true}, map[string]any{"name": "x", "yard": "a", "start": simDay(3, 1), "end": simDay(3, 2), "force": true}}}, "2000-01-04"},
	{"a window is planned and cancelled", rpc.KindCalendar, "c", []lateOp{
		{rpc.Operation{Verb: rpc.VerbStart, Window: true}, map[string]any{"name": "x", "yard": "a", "start": simDay(3, 1), "end": simDay(3, 2), "force": true}},
		namedOp(rpc.VerbCancel, true)}, ""},
}

// checkLateRecord carries out the operations of rec while the transactions meet
// the given fates, and checks what the leader, and the next one, tell of it.
func checkLateRecord(t *testing.T, rec lateRecord, fates []fate) {
	s := newStateService(t)
	s.put(job.ActivePrefix+"run-1", &job.Record{Spec: job.Spec{ID: "run-1", Team: "red", ShapeName: "daemon", PriorityName: "idle", Tasks: 1, CPUs: 1, Image: "o"}})
	on := func(tun *config.Tuning) { tun.Rollouts.Enabled, tun.Calendar.Enabled = true, true }
	st := sitWith(t, s, 7, on)
	s.will(rec.doom, fates...)
	for _, o := range rec.ops {
		if p := askUntilAnswered(t, st, rec.kind, o); p.Status/100 != 2 {
			t.Fatalf("%s: %d %s", o.Verb, p.Status, p.Body)
		}
	}
	if _, left := s.seen(); left == len(fates) {
		t.Error("no transaction met its fate")
	}
	look := namedOp(rpc.VerbStatus, strings.Contains(rec.name, "window"))
	told := func(st *seat, who string) {
		p := askUntilAnswered(t, st, rec.kind, look)
		if (rec.want == "") != (p.Status == http.StatusNotFound) || !strings.Contains(string(p.Body), rec.want) {
			t.Errorf("%s: %d %q, want %q", who, p.Status, p.Body, rec.want)
		}
	}
	told(st, "the leader")
	time.Sleep(20 * time.Second)
	told(st, "the leader, later")
	st.stop()
	told(sitWith(t, s, 8, on), "the next one")
}

// askUntilAnswered asks st to carry out o, and asks again while the answer is a
// server error, 30 times at most, a second apart.
func askUntilAnswered(t *testing.T, st *seat, kind string, o lateOp) *rpc.Reply {
	if o.spec != nil {
		b, err := wire.Marshal(o.spec)
		if err != nil {
			t.Fatal(err)
		}
		o.Spec = b
	}
	b, err := wire.Marshal(o.Operation)
	if err != nil {
		t.Fatal(err)
	}
	p := st.ask(kind, "", b)
	for range 30 {
		if p.Status < 500 {
			break
		}
		time.Sleep(time.Second)
		p = st.ask(kind, "", b)
	}
	return p
}

// TestLapsed: an answer that has waited behind a busy actor until the entitlement was gone is
// none: another may lead by then, and have told the user something newer.
func TestLapsed(t *testing.T) {
	for _, kind := range []string{rpc.KindStatus, rpc.KindSubmit, rpc.KindAbort} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := sit(t, newStateService(t), 7)
				if out := st.submit(body("run-5", nil)); out[0] != 201 {
					t.Fatalf("submission: %d", out[0])
				}
				busy, got := make(chan struct{}), make(chan *rpc.Reply, 1)
				st.currentTerm().enqueueForUser(func() { <-busy })
				go func() { got <- st.ask(kind, "run-5", body("run-5", nil)) }()
				time.Sleep(time.Second)
				st.lapsed.Store(true)
				close(busy)
				if p := <-got; p.Status != 503 {
					t.Errorf("answered %d after the lapse", p.Status)
				}
			})
		})
	}
}
