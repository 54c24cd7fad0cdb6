package emulate

import (
	"maps"
	"net"
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

// Store is a stand-in for the state service, after its published protocol.
type Store struct {
	mu               sync.Mutex
	revision         uint64
	entries          map[string]state.Entry
	deletedAt        map[string]uint64 // key -> revision of its last removal
	leaseExpiry      map[uint64]time.Time
	leaseTTL         map[uint64]time.Duration
	lastLease        uint64
	refuses          func(from string) bool
	maxWrites        int // the most writes in a transaction
	latency          time.Duration
	transactionDelay func() time.Duration // what becomes of a transaction; 0: it is served
	pageSize         int                  // entries in a listing
	changed          chan struct{}
	answersLost      int // answers to transactions that were carried out at once
	load             StoreLoad
}

// StoreLoad is what a state service has been asked for so far.
type StoreLoad struct {
	// Requests counts all requests, watches and renewals of leases included.
	Requests int `json:"requests"`
	// Writes counts the puts and deletes of transactions, also of refused ones.
	Writes int `json:"writes"`
}

// Load is what the service has been asked for so far.
func (s *Store) Load() StoreLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load
}

// discardResponse answers nobody.
type discardResponse struct{ http.ResponseWriter }

func (discardResponse) WriteHeader(int)             {}
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }

// AnswersLost counts the transactions that were carried out at once and whose answers were lost.
func (s *Store) AnswersLost() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answersLost
}

// SetPageSize sets how many entries a listing may have.
func (s *Store) SetPageSize(entries int) {
	s.mu.Lock()
	s.pageSize = entries
	s.mu.Unlock()
}

// NewStore makes an empty state service.
func NewStore() *Store {
	return &Store{entries: map[string]state.Entry{}, deletedAt: map[string]uint64{}, leaseExpiry: map[uint64]time.Time{}, leaseTTL: map[uint64]time.Duration{},
		refuses: func(string) bool { return false }, maxWrites: 12, pageSize: 500, changed: make(chan struct{})}
}

// RefuseFrom turns away the hosts for which f is true with 503.
func (s *Store) RefuseFrom(f func(from string) bool) {
	s.mu.Lock()
	s.refuses = f
	s.mu.Unlock()
}

// SetMaxWrites sets the most writes in a transaction.
func (s *Store) SetMaxWrites(ops int) {
	s.mu.Lock()
	s.maxWrites = ops
	s.mu.Unlock()
}

// DelayTransactions lets transactions go without an answer for as long as f says, each time that it
// is asked, and carries them out then; below 0: at once, and only the answer is lost.
// nil: all are served.
func (s *Store) DelayTransactions(f func() time.Duration) {
	s.mu.Lock()
	s.transactionDelay = f
	s.mu.Unlock()
}

// SetLatency makes every answer but those of watches take that much longer.
func (s *Store) SetLatency(d time.Duration) {
	s.mu.Lock()
	s.latency = d
	s.mu.Unlock()
}

// CountKeys is how many keys are below a prefix.
func (s *Store) CountKeys(prefix string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.entries {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}

// Entry reads a key.
func (s *Store) Entry(key string) (state.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	return e, ok
}

// Put sets a key past every condition, as one who restores an older state does.
func (s *Store) Put(key string, data any) error {
	b, err := wire.Marshal(data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.entries[key] = state.Entry{Key: key, Value: b, Version: s.revision}
	s.notifyWatchers()
	return nil
}

// Snapshot is what there is below a prefix.
func (s *Store) Snapshot(prefix string) (entries []state.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			entries = append(entries, e)
		}
	}
	return entries
}

// Restore puts what is below a prefix back to a snapshot, past every condition, as a
// service that has lost its last moments does.
func (s *Store) Restore(prefix string, entries []state.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.entries {
		if strings.HasPrefix(k, prefix) {
			delete(s.entries, k)
		}
	}
	for _, e := range entries {
		s.entries[e.Key] = e
	}
	s.notifyWatchers()
}

// Job finds the description of a job among the records that controllers keep:
// the emulated workers read there what users would have uploaded for them.
func (s *Store) Job(id string) *job.Spec {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, prefix := range []string{job.ActivePrefix, job.FinalPrefix} {
		var rec job.Record
		if e, ok := s.entries[prefix+id]; ok && wire.Unmarshal(e.Value, &rec) == nil {
			return &rec.Spec
		}
	}
	for k, e := range s.entries {
		var g job.Group
		if !strings.HasPrefix(k, job.GroupPrefix) || wire.Unmarshal(e.Value, &g) != nil {
			continue
		}
		for i := range g.Jobs {
			if g.Jobs[i].Spec.ID == id {
				return &g.Jobs[i].Spec
			}
		}
	}
	return nil
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends leases whose time is over; the caller holds the lock.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, until := range s.leaseExpiry {
		if now.After(until) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leaseExpiry, id)
	for k, e := range s.entries {
		if e.Lease == id {
			s.revision++
			delete(s.entries, k)
			s.deletedAt[k] = s.revision
		}
	}
	s.notifyWatchers()
}

// SetOutage refuses everybody for a while; afterwards leases have their full time.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on {
		s.refuses = func(string) bool { return true }
		for id := range s.leaseExpiry {
			s.leaseExpiry[id] = time.Now().Add(time.Hour)
		}
		return
	}
	s.refuses = func(string) bool { return false }
	for id := range s.leaseExpiry {
		s.leaseExpiry[id] = time.Now().Add(s.leaseTTL[id])
	}
}

// ServeHTTP implements http.Handler: the published protocol of the state service.
func (s *Store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	from, _, _ := net.SplitHostPort(q.RemoteAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load.Requests++
	path := q.URL.Path
	if s.latency > 0 && path != "/changes" {
		s.sleepUnlocked(s.latency)
	}
	if s.refuses(from) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.expireLeases()
	switch {
	case path == "/kv":
		s.serveList(w, q)
	case strings.HasPrefix(path, "/kv/"):
		s.serveEntry(w, path[len("/kv/"):])
	case path == "/commit":
		s.serveCommit(w, q)
	case path == "/leases":
		s.serveGrant(w, q)
	case strings.HasPrefix(path, "/leases/"):
		s.serveLease(w, q)
	case path == "/changes":
		s.serveChanges(w, q, from)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// sleepUnlocked waits without the lock; the caller holds it before and after.
func (s *Store) sleepUnlocked(wait time.Duration) {
	s.mu.Unlock()
	time.Sleep(wait)
	s.mu.Lock()
}

// serveList answers a listing by prefix; the caller holds the lock.
func (s *Store) serveList(w http.ResponseWriter, q *http.Request) {
	under, after := q.URL.Query().Get("under"), q.URL.Query().Get("after")
	out := []state.Entry{}
	for _, k := range slices.Sorted(maps.Keys(s.entries)) {
		if strings.HasPrefix(k, under) && k > after {
			out = append(out, s.entries[k])
		}
	}
	page := min(len(out), s.pageSize)
	encode(w, http.StatusOK, map[string]any{"entries": out[:page], "more": page < len(out), "epoch": s.revision})
}

// serveEntry answers a read of one key; the caller holds the lock.
func (s *Store) serveEntry(w http.ResponseWriter, key string) {
	e, ok := s.entries[key]
	if !ok {
		encode(w, http.StatusNotFound, map[string]any{"epoch": s.revision})
		return
	}
	encode(w, http.StatusOK, e)
}

// serveCommit carries out a transaction, late or without an answer where Late asks for
// that; the caller holds the lock.
func (s *Store) serveCommit(w http.ResponseWriter, q *http.Request) {
	var t state.Txn
	if !decode(q, &t) || len(t.Writes) > s.maxWrites {
		encode(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	s.load.Writes += len(t.Writes)
	if s.transactionDelay != nil {
		switch d := s.transactionDelay(); {
		case d < 0:
			w = discardResponse{w}
			s.answersLost++
			defer func() {
				s.sleepUnlocked(-d)
				panic(http.ErrAbortHandler)
			}()
		case d > 0:
			// Its sender gives up long before. What it says is carried out all the same.
			s.sleepUnlocked(d)
			s.expireLeases()
		}
	}
	s.commit(w, &t)
}

// commit applies a transaction whose conditions hold; the caller holds the lock.
func (s *Store) commit(w http.ResponseWriter, t *state.Txn) {
	var failed []string
	for _, c := range t.If {
		if s.entries[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		encode(w, http.StatusConflict, map[string]any{"failed": failed, "epoch": s.revision})
		return
	}
	for _, x := range t.Writes {
		if _, ok := s.leaseExpiry[x.Lease]; x.Lease != 0 && !ok {
			encode(w, http.StatusBadRequest, map[string]any{"error": "no such lease"})
			return
		}
	}
	s.revision++
	for _, x := range t.Writes {
		if x.Delete != "" {
			delete(s.entries, x.Delete)
			s.deletedAt[x.Delete] = s.revision
			continue
		}
		s.entries[x.Put] = state.Entry{Key: x.Put, Value: append(wire.Raw(nil), x.Value...), Version: s.revision, Lease: x.Lease}
	}
	s.notifyWatchers()
	encode(w, http.StatusOK, map[string]any{"epoch": s.revision})
}

// serveGrant makes a lease; the caller holds the lock.
func (s *Store) serveGrant(w http.ResponseWriter, q *http.Request) {
	var in struct {
		TTL int64 `codec:"ttl_ms"`
	}
	if !decode(q, &in) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lastLease++
	s.leaseTTL[s.lastLease] = time.Duration(in.TTL) * time.Millisecond
	s.leaseExpiry[s.lastLease] = time.Now().Add(s.leaseTTL[s.lastLease])
	encode(w, http.StatusOK, map[string]any{"tenure": s.lastLease})
}

// serveLease renews or ends a lease; the caller holds the lock.
func (s *Store) serveLease(w http.ResponseWriter, q *http.Request) {
	id, _ := strconv.ParseUint(strings.TrimSuffix(q.URL.Path[len("/leases/"):], "/extend"), 10, 64)
	if _, ok := s.leaseExpiry[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if q.Method == http.MethodDelete {
		s.endLease(id)
	} else {
		s.leaseExpiry[id] = time.Now().Add(s.leaseTTL[id])
	}
	encode(w, http.StatusOK, map[string]any{})
}

// watchPollInterval is how often a watch looks for leases that have run out.
const watchPollInterval = 100 * time.Millisecond

// serveChanges answers a watch; the caller holds the lock.
func (s *Store) serveChanges(w http.ResponseWriter, q *http.Request, from string) {
	v := q.URL.Query()
	after, _ := strconv.ParseUint(v.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(v.Get("wait_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.expireLeases()
		events := s.events(v.Get("under"), after)
		if (len(events) > 0 && !s.refuses(from)) || time.Now().After(end) {
			encode(w, http.StatusOK, map[string]any{"epoch": s.revision, "events": events})
			return
		}
		if !s.awaitChange(q) {
			return
		}
	}
}

// events are the changes below a prefix after a revision; the caller holds the lock.
func (s *Store) events(under string, after uint64) []map[string]any {
	events := []map[string]any{}
	for k, e := range s.entries {
		if strings.HasPrefix(k, under) && e.Version > after {
			events = append(events, map[string]any{"put": k, "data": e.Value, "stamp": e.Version})
		}
	}
	for k, rev := range s.deletedAt {
		if strings.HasPrefix(k, under) && rev > after {
			events = append(events, map[string]any{"drop": k, "stamp": rev})
		}
	}
	return events
}

// awaitChange waits without the lock for a change or for a lease that may have run out;
// false: the watcher has left.
func (s *Store) awaitChange(q *http.Request) bool {
	changed := s.changed
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-changed:
	case <-time.After(watchPollInterval):
	case <-q.Context().Done():
		return false
	}
	return true
}
