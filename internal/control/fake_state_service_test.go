package control

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// commitOutcome says what the fake service does with a transaction.
type commitOutcome int

const (
	// applied: it is applied and answered.
	applied commitOutcome = iota
	// appliedUnanswered: it is applied, but has no response.
	appliedUnanswered
	// appliedLate: it has no response, and is applied after lateDelay.
	appliedLate
	// appliedAfterNewer: it has no response, and is applied after newerDelay, when newer
	// ones have been.
	appliedAfterNewer
	// neverApplied: it has no response and is not applied.
	neverApplied
)

const (
	lateDelay  = time.Second
	newerDelay = 8 * time.Second
)

// fakeStateService is the state service in memory. It is a net.Listener for the HTTP
// server that it runs on, whose connections are pipes.
type fakeStateService struct {
	mu  sync.Mutex
	rev uint64
	kv  map[string]state.Entry
	// outcomes are those of the next transactions that write keys whose first letter is
	// in outcomePrefixes; later ones are applied.
	outcomes       []commitOutcome
	outcomeLetters string
	maxWrites      int  // in a transaction
	jobTxns        int  // transactions that wrote jobs
	watchesSilent  bool // watches report no event
	unavailable    bool // an outage: nothing is executed
	accepted       chan net.Conn
	closed         chan struct{} // closed with the listener: a dial may still come
}

// newFakeStateService starts a service that runs until the test ends.
func newFakeStateService(t *testing.T) *fakeStateService {
	s := &fakeStateService{
		kv:             map[string]state.Entry{},
		maxWrites:      12,
		outcomeLetters: job.GroupPrefix[:1],
		accepted:       make(chan net.Conn),
		closed:         make(chan struct{}),
	}
	srv := &http.Server{Handler: s}
	go func() { _ = srv.Serve(s) }()
	t.Cleanup(func() {
		_ = srv.Close()
		time.Sleep(5 * time.Second) // requests in flight end
	})
	return s
}

// Accept returns the next connection, as net.Listener does.
func (s *fakeStateService) Accept() (net.Conn, error) {
	select {
	case c := <-s.accepted:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (s *fakeStateService) Close() error {
	close(s.closed)
	return nil
}

// Addr is required by net.Listener.
func (s *fakeStateService) Addr() net.Addr { return &net.TCPAddr{} }

// dial connects to the service; there is nothing at any other address.
func (s *fakeStateService) dial(_ context.Context, _, addr string) (net.Conn, error) {
	if addr != "state:1" {
		return nil, net.ErrClosed
	}
	a, b := net.Pipe()
	select {
	case s.accepted <- b:
		return a, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// put stores v under key.
func (s *fakeStateService) put(key string, v any) {
	w, err := state.Put(key, v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.kv[key] = state.Entry{Key: key, Value: w.Value, Version: s.rev}
}

// setOutcomes sets the outcomes of the next transactions that write keys whose first
// letter is in prefixes, and resets the counts.
func (s *fakeStateService) setOutcomes(prefixes string, outcomes ...commitOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomeLetters = prefixes
	s.outcomes = outcomes
	s.jobTxns = 0
}

// outcomeCounts returns how many transactions have written jobs since setOutcomes,
// and how many of the outcomes are left.
func (s *fakeStateService) outcomeCounts() (txns, left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobTxns, len(s.outcomes)
}

// absent reports whether there is no such key.
func (s *fakeStateService) absent(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.kv[key]
	return !ok
}

// apply runs a transaction, with s.mu held, and returns the response.
func (s *fakeStateService) apply(t state.Txn) (status int, body any) {
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

// ServeHTTP answers a request to the state service.
func (s *fakeStateService) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	answer := func(status int, v any) { writeResponse(rw, status, v) }
	s.mu.Lock()
	defer s.mu.Unlock()
	path := q.URL.Path
	switch {
	case s.unavailable:
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

// writeResponse writes an encoded response.
func writeResponse(rw http.ResponseWriter, status int, v any) {
	b, err := wire.Marshal(v)
	if err != nil {
		panic(err)
	}
	rw.WriteHeader(status)
	_, _ = rw.Write(b)
}

// serveCommit handles a transaction as the next outcome says, with s.mu held.
func (s *fakeStateService) serveCommit(q *http.Request, answer func(int, any)) {
	b, _ := io.ReadAll(q.Body)
	var t state.Txn
	if err := wire.Unmarshal(b, &t); err != nil || len(t.Writes) > s.maxWrites || len(t.If) > 4*s.maxWrites {
		answer(400, wire.Error{Error: "malformed"})
		return
	}
	if writesFirstLetter(t, "jgf") {
		s.jobTxns++
	}
	outcome := applied
	if writesFirstLetter(t, s.outcomeLetters) && len(s.outcomes) > 0 {
		outcome = s.outcomes[0]
		s.outcomes = s.outcomes[1:]
	}
	switch outcome {
	case applied:
		answer(s.apply(t))
		return
	case appliedUnanswered:
		s.apply(t)
	case appliedLate:
		s.applyAfter(lateDelay, t)
	case appliedAfterNewer:
		s.applyAfter(newerDelay, t)
	}
	panic(http.ErrAbortHandler)
}

// writesFirstLetter reports whether a transaction writes a key whose first letter is in
// prefixes.
func writesFirstLetter(t state.Txn, prefixes string) bool {
	return slices.ContainsFunc(t.Writes, func(w state.Write) bool {
		return strings.ContainsAny((w.Put + w.Delete)[:1], prefixes)
	})
}

// applyAfter applies a transaction after a delay.
func (s *fakeStateService) applyAfter(delay time.Duration, t state.Txn) {
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.apply(t)
	})
}

// serveWatch answers a watch with the active jobs, after a pause. It is called
// with s.mu held, which it releases while it waits.
func (s *fakeStateService) serveWatch(answer func(int, any)) {
	s.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	s.mu.Lock()
	var events []state.Event
	for k := range s.kv {
		if strings.HasPrefix(k, job.ActivePrefix) && !s.watchesSilent {
			events = append(events, state.Event{Put: k})
		}
	}
	answer(200, map[string]any{"epoch": s.rev, "events": events})
}

// jobs counts the entries of jobs in groups and the active records.
func (s *fakeStateService) jobs() (n int) {
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

// keys counts the keys whose first letter is in prefixes.
func (s *fakeStateService) keys(prefixes string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.kv {
		if strings.ContainsAny(k[:1], prefixes) {
			n++
		}
	}
	return n
}
