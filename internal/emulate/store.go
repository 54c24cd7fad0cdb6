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
	mu      sync.Mutex
	epoch   uint64
	kv      map[string]state.Entry
	dropped map[string]uint64 // key -> revision of its last removal
	leases  map[uint64]time.Time
	ttl     map[uint64]time.Duration
	next    uint64
	refuse  func(from string) bool
	ops     int // the most writes in a transaction
	slow    time.Duration
	late    func() time.Duration // what becomes of a transaction; 0: it is served
	page    int                  // entries in a listing
	changed chan struct{}
	lost    int // answers to transactions that were carried out at once
	load    StoreLoad
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

// unread answers nobody.
type unread struct{ http.ResponseWriter }

func (unread) WriteHeader(int)             {}
func (unread) Write(b []byte) (int, error) { return len(b), nil }

// Lost counts the transactions that were carried out at once and whose answers were lost.
func (s *Store) Lost() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// Page sets how many entries a listing may have.
func (s *Store) Page(entries int) {
	s.mu.Lock()
	s.page = entries
	s.mu.Unlock()
}

// NewStore makes an empty state service.
func NewStore() *Store {
	return &Store{kv: map[string]state.Entry{}, dropped: map[string]uint64{}, leases: map[uint64]time.Time{}, ttl: map[uint64]time.Duration{},
		refuse: func(string) bool { return false }, ops: 12, page: 500, changed: make(chan struct{})}
}

// Refuse turns away the hosts for which f is true with 503.
func (s *Store) Refuse(f func(from string) bool) {
	s.mu.Lock()
	s.refuse = f
	s.mu.Unlock()
}

// Limit sets the most writes in a transaction.
func (s *Store) Limit(ops int) {
	s.mu.Lock()
	s.ops = ops
	s.mu.Unlock()
}

// Late lets transactions go without an answer for as long as f says, each time that it
// is asked, and carries them out then; below 0: at once, and only the answer is lost.
// nil: all are served.
func (s *Store) Late(f func() time.Duration) {
	s.mu.Lock()
	s.late = f
	s.mu.Unlock()
}

// Slow makes every answer but those of watches take that much longer.
func (s *Store) Slow(d time.Duration) {
	s.mu.Lock()
	s.slow = d
	s.mu.Unlock()
}

// Count is how many keys are below a prefix.
func (s *Store) Count(prefix string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.kv {
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
	e, ok := s.kv[key]
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
	s.epoch++
	s.kv[key] = state.Entry{Key: key, Value: b, Version: s.epoch}
	s.bump()
	return nil
}

// Snapshot is what there is below a prefix.
func (s *Store) Snapshot(prefix string) (entries []state.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, e := range s.kv {
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
	for k := range s.kv {
		if strings.HasPrefix(k, prefix) {
			delete(s.kv, k)
		}
	}
	for _, e := range entries {
		s.kv[e.Key] = e
	}
	s.bump()
}

// Job finds the description of a job among the records that controllers keep:
// the emulated workers read there what users would have uploaded for them.
func (s *Store) Job(id string) *job.Spec {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, prefix := range []string{job.ActivePrefix, job.FinalPrefix} {
		var rec job.Record
		if e, ok := s.kv[prefix+id]; ok && wire.Unmarshal(e.Value, &rec) == nil {
			return &rec.Spec
		}
	}
	for k, e := range s.kv {
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

func (s *Store) bump() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases whose time is over; the caller holds the lock.
func (s *Store) expire() {
	now := time.Now()
	for id, until := range s.leases {
		if now.After(until) {
			s.end(id)
		}
	}
}

func (s *Store) end(id uint64) {
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

// Outage refuses everybody for a while; afterwards leases have their full time.
func (s *Store) Outage(on bool) {
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

// ServeHTTP implements http.Handler: the published protocol of the state service.
func (s *Store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	from, _, _ := net.SplitHostPort(q.RemoteAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load.Requests++
	path := q.URL.Path
	if s.slow > 0 && path != "/changes" {
		s.unlocked(s.slow)
	}
	if s.refuse(from) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.expire()
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

// unlocked waits without the lock; the caller holds it before and after.
func (s *Store) unlocked(wait time.Duration) {
	s.mu.Unlock()
	time.Sleep(wait)
	s.mu.Lock()
}

// serveList answers a listing by prefix; the caller holds the lock.
func (s *Store) serveList(w http.ResponseWriter, q *http.Request) {
	under, after := q.URL.Query().Get("under"), q.URL.Query().Get("after")
	out := []state.Entry{}
	for _, k := range slices.Sorted(maps.Keys(s.kv)) {
		if strings.HasPrefix(k, under) && k > after {
			out = append(out, s.kv[k])
		}
	}
	page := min(len(out), s.page)
	encode(w, http.StatusOK, map[string]any{"entries": out[:page], "more": page < len(out), "epoch": s.epoch})
}

// serveEntry answers a read of one key; the caller holds the lock.
func (s *Store) serveEntry(w http.ResponseWriter, key string) {
	e, ok := s.kv[key]
	if !ok {
		encode(w, http.StatusNotFound, map[string]any{"epoch": s.epoch})
		return
	}
	encode(w, http.StatusOK, e)
}

// serveCommit carries out a transaction, late or without an answer where Late asks for
// that; the caller holds the lock.
func (s *Store) serveCommit(w http.ResponseWriter, q *http.Request) {
	var t state.Txn
	if !decode(q, &t) || len(t.Writes) > s.ops {
		encode(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	s.load.Writes += len(t.Writes)
	if s.late != nil {
		switch d := s.late(); {
		case d < 0:
			w = unread{w}
			s.lost++
			defer func() {
				s.unlocked(-d)
				panic(http.ErrAbortHandler)
			}()
		case d > 0:
			// Its sender gives up long before. What it says is carried out all the same.
			s.unlocked(d)
			s.expire()
		}
	}
	s.commit(w, &t)
}

// commit applies a transaction whose conditions hold; the caller holds the lock.
func (s *Store) commit(w http.ResponseWriter, t *state.Txn) {
	var failed []string
	for _, c := range t.If {
		if s.kv[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		encode(w, http.StatusConflict, map[string]any{"failed": failed, "epoch": s.epoch})
		return
	}
	for _, x := range t.Writes {
		if _, ok := s.leases[x.Lease]; x.Lease != 0 && !ok {
			encode(w, http.StatusBadRequest, map[string]any{"error": "no such lease"})
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
	encode(w, http.StatusOK, map[string]any{"epoch": s.epoch})
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
	s.next++
	s.ttl[s.next] = time.Duration(in.TTL) * time.Millisecond
	s.leases[s.next] = time.Now().Add(s.ttl[s.next])
	encode(w, http.StatusOK, map[string]any{"tenure": s.next})
}

// serveLease renews or ends a lease; the caller holds the lock.
func (s *Store) serveLease(w http.ResponseWriter, q *http.Request) {
	id, _ := strconv.ParseUint(strings.TrimSuffix(q.URL.Path[len("/leases/"):], "/extend"), 10, 64)
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if q.Method == http.MethodDelete {
		s.end(id)
	} else {
		s.leases[id] = time.Now().Add(s.ttl[id])
	}
	encode(w, http.StatusOK, map[string]any{})
}

// changesPoll is how often a watch looks for leases that have run out.
const changesPoll = 100 * time.Millisecond

// serveChanges answers a watch; the caller holds the lock.
func (s *Store) serveChanges(w http.ResponseWriter, q *http.Request, from string) {
	v := q.URL.Query()
	after, _ := strconv.ParseUint(v.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(v.Get("wait_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.expire()
		events := s.events(v.Get("under"), after)
		if (len(events) > 0 && !s.refuse(from)) || time.Now().After(end) {
			encode(w, http.StatusOK, map[string]any{"epoch": s.epoch, "events": events})
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
	for k, e := range s.kv {
		if strings.HasPrefix(k, under) && e.Version > after {
			events = append(events, map[string]any{"put": k, "data": e.Value, "stamp": e.Version})
		}
	}
	for k, rev := range s.dropped {
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
	case <-time.After(changesPoll):
	case <-q.Context().Done():
		return false
	}
	return true
}
