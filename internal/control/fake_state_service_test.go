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

// commitOutcome is how the fake service handles a transaction.
type commitOutcome int

const (
	// applied: the transaction is applied and answered.
	applied commitOutcome = iota
	// appliedUnanswered: it is applied, but not answered.
	appliedUnanswered
	// appliedLate: it is not answered, and is applied after lateDelay.
	appliedLate
	// appliedAfterNewer: it is not answered, and is applied after newerDelay, when later
	// transactions have been applied.
	appliedAfterNewer
	// neverApplied: it is neither answered nor applied.
	neverApplied
)

const (
	lateDelay  = time.Second
	newerDelay = 8 * time.Second
)

// fakeStateService is an in-memory state service. It is the net.Listener of its own HTTP
// server, whose connections are pipes.
type fakeStateService struct {
	mu  sync.Mutex
	rev uint64
	kv  map[string]state.Entry
	// outcomes are those of the next transactions that write a key with a first letter in
	// outcomeLetters. Later transactions are applied.
	outcomes       []commitOutcome
	outcomeLetters string
	maxWrites      int  // limit on the writes of a transaction
	jobTxns        int  // number of transactions that wrote job records
	watchesSilent  bool // watches report no event
	unavailable    bool // every request fails with status 503
	accepted       chan net.Conn
	closed         chan struct{} // closed with the listener, to fail later dials
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
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(s) }()
	t.Cleanup(func() {
		_ = server.Close()
		time.Sleep(5 * time.Second) // lets requests in flight end
	})
	return s
}

// Accept implements net.Listener.
func (s *fakeStateService) Accept() (net.Conn, error) {
	select {
	case c := <-s.accepted:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *fakeStateService) Close() error {
	close(s.closed)
	return nil
}

// Addr implements net.Listener.
func (s *fakeStateService) Addr() net.Addr { return &net.TCPAddr{} }

// dial connects to the service. It fails for any other address.
func (s *fakeStateService) dial(_ context.Context, _, addr string) (net.Conn, error) {
	if addr != "state:1" {
		return nil, net.ErrClosed
	}
	client, server := net.Pipe()
	select {
	case s.accepted <- server:
		return client, nil
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

// setOutcomes sets the outcomes of the next transactions that write a key with a first
// letter in letters, and resets the transaction count.
func (s *fakeStateService) setOutcomes(letters string, outcomes ...commitOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomeLetters = letters
	s.outcomes = outcomes
	s.jobTxns = 0
}

// outcomeCounts returns the number of transactions that have written job records since
// setOutcomes, and the number of unused outcomes.
func (s *fakeStateService) outcomeCounts() (txns, left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobTxns, len(s.outcomes)
}

// absent reports whether the key does not exist.
func (s *fakeStateService) absent(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.kv[key]
	return !ok
}

// apply runs a transaction and returns the response. The caller holds s.mu.
func (s *fakeStateService) apply(txn state.Txn) (status int, body any) {
	var failed []string
	for _, cond := range txn.If {
		if s.kv[cond.Key].Version != cond.Version {
			failed = append(failed, cond.Key)
		}
	}
	if failed != nil {
		return 409, map[string]any{"failed": failed}
	}
	s.rev++
	for _, write := range txn.Writes {
		if write.Delete != "" {
			delete(s.kv, write.Delete)
		} else {
			s.kv[write.Put] = state.Entry{Key: write.Put, Value: write.Value, Version: s.rev}
		}
	}
	return 200, map[string]any{"epoch": s.rev}
}

// ServeHTTP serves a request to the state service.
func (s *fakeStateService) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	respond := func(status int, v any) { writeResponse(rw, status, v) }
	s.mu.Lock()
	defer s.mu.Unlock()
	path := req.URL.Path
	switch {
	case s.unavailable:
		respond(503, map[string]any{})
	case path == "/commit":
		s.serveCommit(req, respond)
	case path == "/kv":
		entries := []state.Entry{}
		for _, k := range slices.Sorted(maps.Keys(s.kv)) {
			if strings.HasPrefix(k, req.URL.Query().Get("under")) {
				entries = append(entries, s.kv[k])
			}
		}
		respond(200, map[string]any{"entries": entries, "epoch": s.rev})
	case strings.HasPrefix(path, "/kv/"):
		e, ok := s.kv[path[4:]]
		if !ok {
			respond(404, map[string]any{})
			return
		}
		respond(200, e)
	default:
		s.serveWatch(respond)
	}
}

// writeResponse writes an encoded response.
func writeResponse(rw http.ResponseWriter, status int, value any) {
	body, err := wire.Marshal(value)
	if err != nil {
		panic(err)
	}
	rw.WriteHeader(status)
	_, _ = rw.Write(body)
}

// serveCommit handles a transaction according to the next outcome. The caller holds s.mu.
func (s *fakeStateService) serveCommit(req *http.Request, respond func(int, any)) {
	body, _ := io.ReadAll(req.Body)
	var txn state.Txn
	if err := wire.Unmarshal(body, &txn); err != nil || len(txn.Writes) > s.maxWrites || len(txn.If) > 4*s.maxWrites {
		respond(400, wire.Error{Error: "malformed"})
		return
	}
	if writesFirstLetter(txn, "jgf") {
		s.jobTxns++
	}
	outcome := applied
	if writesFirstLetter(txn, s.outcomeLetters) && len(s.outcomes) > 0 {
		outcome = s.outcomes[0]
		s.outcomes = s.outcomes[1:]
	}
	switch outcome {
	case applied:
		respond(s.apply(txn))
		return
	case appliedUnanswered:
		s.apply(txn)
	case appliedLate:
		s.applyAfter(lateDelay, txn)
	case appliedAfterNewer:
		s.applyAfter(newerDelay, txn)
	}
	panic(http.ErrAbortHandler)
}

// writesFirstLetter reports whether a transaction writes a key with a first letter in
// letters.
func writesFirstLetter(txn state.Txn, letters string) bool {
	return slices.ContainsFunc(txn.Writes, func(w state.Write) bool {
		return strings.ContainsAny((w.Put + w.Delete)[:1], letters)
	})
}

// applyAfter applies a transaction after a delay.
func (s *fakeStateService) applyAfter(delay time.Duration, txn state.Txn) {
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.apply(txn)
	})
}

// serveWatch answers a watch with the active jobs after a pause. The caller holds s.mu,
// which is released during the pause.
func (s *fakeStateService) serveWatch(respond func(int, any)) {
	s.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	s.mu.Lock()
	var events []state.Event
	for k := range s.kv {
		if strings.HasPrefix(k, job.ActivePrefix) && !s.watchesSilent {
			events = append(events, state.Event{Put: k})
		}
	}
	respond(200, map[string]any{"epoch": s.rev, "events": events})
}

// jobs returns the number of stored jobs: those in groups and those with an active
// record.
func (s *fakeStateService) jobs() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, entry := range s.kv {
		var group job.Group
		switch {
		case strings.HasPrefix(key, job.ActivePrefix):
			n++
		case strings.HasPrefix(key, job.GroupPrefix) && wire.Unmarshal(entry.Value, &group) == nil:
			n += len(group.Jobs)
		}
	}
	return n
}

// keys returns the number of keys with a first letter in letters.
func (s *fakeStateService) keys(letters string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.kv {
		if strings.ContainsAny(k[:1], letters) {
			n++
		}
	}
	return n
}
