package emulate

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// The answers of the key-value store, by their names on the wire.
type (
	listResponse struct {
		Entries  []state.Entry `codec:"entries"`
		More     bool          `codec:"more"`
		Revision uint64        `codec:"epoch"`
	}
	revisionResponse struct {
		Revision uint64 `codec:"epoch"`
	}
	conflictResponse struct {
		Failed   []string `codec:"failed"` // keys whose conditions do not hold
		Revision uint64   `codec:"epoch"`
	}
	grantResponse struct {
		Lease uint64 `codec:"tenure"`
	}
	changesResponse struct {
		Revision uint64   `codec:"epoch"`
		Events   []change `codec:"events"`
	}
	// change is a key that was put or deleted.
	change struct {
		Put      string   `codec:"put,omitempty"`
		Delete   string   `codec:"drop,omitempty"`
		Value    wire.Raw `codec:"data,omitempty"`
		Revision uint64   `codec:"stamp"`
	}
)

// ServeHTTP implements http.Handler: the published protocol of the key-value store.
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
	writeResponse(w, http.StatusOK, listResponse{Entries: out[:page], More: page < len(out), Revision: s.revision})
}

// serveEntry answers a read of one key; the caller holds the lock.
func (s *Store) serveEntry(w http.ResponseWriter, key string) {
	e, ok := s.entries[key]
	if !ok {
		writeResponse(w, http.StatusNotFound, revisionResponse{s.revision})
		return
	}
	writeResponse(w, http.StatusOK, e)
}

// serveCommit carries out a transaction, late or without an answer where DelayTransactions asks
// for that; the caller holds the lock.
func (s *Store) serveCommit(w http.ResponseWriter, q *http.Request) {
	var t state.Txn
	if !decodeRequest(q, &t) || len(t.Writes) > s.maxWrites {
		writeResponse(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	s.load.Writes += len(t.Writes)
	if s.transactionDelay != nil {
		switch d := s.transactionDelay(); {
		case d < 0:
			w = discardResponse{w}
			s.responsesLost++
			defer func() {
				s.sleepUnlocked(-d)
				panic(http.ErrAbortHandler) // ends the connection without an answer
			}()
		case d > 0:
			// The client gives up long before; the transaction is carried out all the same.
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
		writeResponse(w, http.StatusConflict, conflictResponse{Failed: failed, Revision: s.revision})
		return
	}
	for _, x := range t.Writes {
		if _, ok := s.leaseExpiry[x.Lease]; x.Lease != 0 && !ok {
			writeResponse(w, http.StatusBadRequest, wire.Error{Error: "no such lease"})
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
	writeResponse(w, http.StatusOK, revisionResponse{s.revision})
}

// serveGrant grants a lease; the caller holds the lock.
func (s *Store) serveGrant(w http.ResponseWriter, q *http.Request) {
	var in struct {
		TTL int64 `codec:"ttl_ms"`
	}
	if !decodeRequest(q, &in) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lastLease++
	s.leaseTTL[s.lastLease] = time.Duration(in.TTL) * time.Millisecond
	s.leaseExpiry[s.lastLease] = time.Now().Add(s.leaseTTL[s.lastLease])
	writeResponse(w, http.StatusOK, grantResponse{s.lastLease})
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
	writeResponse(w, http.StatusOK, struct{}{})
}

// watchPollInterval is how often a watch looks for leases that have expired.
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
			writeResponse(w, http.StatusOK, changesResponse{Revision: s.revision, Events: events})
			return
		}
		if !s.awaitChange(q) {
			return
		}
	}
}

// events are the changes below a prefix after a revision; the caller holds the lock.
func (s *Store) events(under string, after uint64) []change {
	events := []change{}
	for k, e := range s.entries {
		if strings.HasPrefix(k, under) && e.Version > after {
			events = append(events, change{Put: k, Value: e.Value, Revision: e.Version})
		}
	}
	for k, rev := range s.deletedAt {
		if strings.HasPrefix(k, under) && rev > after {
			events = append(events, change{Delete: k, Revision: rev})
		}
	}
	return events
}

// awaitChange waits without the lock for a change or for a lease that may have expired; false: the
// watcher has left.
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
