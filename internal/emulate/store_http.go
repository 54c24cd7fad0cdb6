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

// Responses of the key-value store.
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
	// change is the event of a put or a deletion of a key.
	change struct {
		Put      string   `codec:"put,omitempty"`
		Delete   string   `codec:"drop,omitempty"`
		Value    wire.Raw `codec:"data,omitempty"`
		Revision uint64   `codec:"stamp"`
	}
)

// ServeHTTP implements http.Handler. It serves the published protocol of the key-value store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load.Requests++
	path := r.URL.Path
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
		s.serveList(w, r)
	case strings.HasPrefix(path, "/kv/"):
		s.serveEntry(w, path[len("/kv/"):])
	case path == "/commit":
		s.serveCommit(w, r)
	case path == "/leases":
		s.serveGrant(w, r)
	case strings.HasPrefix(path, "/leases/"):
		s.serveLease(w, r)
	case path == "/changes":
		s.serveChanges(w, r, from)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// sleepUnlocked releases the lock, waits and acquires the lock again; the caller holds it.
func (s *Store) sleepUnlocked(wait time.Duration) {
	s.mu.Unlock()
	time.Sleep(wait)
	s.mu.Lock()
}

// serveList responds to a listing by prefix; the caller holds the lock.
func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	under, after := r.URL.Query().Get("under"), r.URL.Query().Get("after")
	entries := []state.Entry{}
	for _, k := range slices.Sorted(maps.Keys(s.entries)) {
		if strings.HasPrefix(k, under) && k > after {
			entries = append(entries, s.entries[k])
		}
	}
	page := min(len(entries), s.pageSize)
	writeResponse(w, http.StatusOK, listResponse{Entries: entries[:page], More: page < len(entries), Revision: s.revision})
}

// serveEntry responds to a read of one key; the caller holds the lock.
func (s *Store) serveEntry(w http.ResponseWriter, key string) {
	e, ok := s.entries[key]
	if !ok {
		writeResponse(w, http.StatusNotFound, revisionResponse{s.revision})
		return
	}
	writeResponse(w, http.StatusOK, e)
}

// serveCommit applies a transaction, delayed or without a response if DelayTransactions has been
// called with such a function; the caller holds the lock.
func (s *Store) serveCommit(w http.ResponseWriter, r *http.Request) {
	var txn state.Txn
	if !decodeRequest(r, &txn) || len(txn.Writes) > s.maxWrites {
		writeResponse(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	s.load.Writes += len(txn.Writes)
	if s.transactionDelay != nil {
		switch delay := s.transactionDelay(); {
		case delay < 0:
			w = discardResponse{w}
			s.responsesLost++
			defer func() {
				s.sleepUnlocked(-delay)
				panic(http.ErrAbortHandler) // closes the connection without a response
			}()
		case delay > 0:
			// The client times out long before the transaction is applied.
			s.sleepUnlocked(delay)
			s.expireLeases()
		}
	}
	s.commit(w, &txn)
}

// commit applies a transaction if its conditions hold; the caller holds the lock.
func (s *Store) commit(w http.ResponseWriter, txn *state.Txn) {
	var failed []string
	for _, condition := range txn.If {
		if s.entries[condition.Key].Version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	if failed != nil {
		writeResponse(w, http.StatusConflict, conflictResponse{Failed: failed, Revision: s.revision})
		return
	}
	for _, write := range txn.Writes {
		if _, ok := s.leaseExpiry[write.Lease]; write.Lease != 0 && !ok {
			writeResponse(w, http.StatusBadRequest, wire.Error{Error: "no such lease"})
			return
		}
	}
	s.revision++
	for _, write := range txn.Writes {
		if write.Delete != "" {
			delete(s.entries, write.Delete)
			s.deletedAt[write.Delete] = s.revision
			continue
		}
		s.entries[write.Put] = state.Entry{Key: write.Put, Value: append(wire.Raw(nil), write.Value...), Version: s.revision, Lease: write.Lease}
	}
	s.notifyWatchers()
	writeResponse(w, http.StatusOK, revisionResponse{s.revision})
}

// serveGrant grants a lease; the caller holds the lock.
func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `codec:"ttl_ms"`
	}
	if !decodeRequest(r, &request) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lastLease++
	s.leaseTTL[s.lastLease] = time.Duration(request.TTL) * time.Millisecond
	s.leaseExpiry[s.lastLease] = time.Now().Add(s.leaseTTL[s.lastLease])
	writeResponse(w, http.StatusOK, grantResponse{s.lastLease})
}

// serveLease renews or deletes a lease; the caller holds the lock.
func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(strings.TrimSuffix(r.URL.Path[len("/leases/"):], "/extend"), 10, 64)
	if _, ok := s.leaseExpiry[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if r.Method == http.MethodDelete {
		s.endLease(id)
	} else {
		s.leaseExpiry[id] = time.Now().Add(s.leaseTTL[id])
	}
	writeResponse(w, http.StatusOK, struct{}{})
}

// watchPollInterval is the time between a watch's checks for expired leases.
const watchPollInterval = 100 * time.Millisecond

// serveChanges responds to a watch at the first change, or without changes after its wait time; the
// caller holds the lock.
func (s *Store) serveChanges(w http.ResponseWriter, r *http.Request, from string) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.expireLeases()
		events := s.events(query.Get("under"), after)
		if (len(events) > 0 && !s.refuses(from)) || time.Now().After(end) {
			writeResponse(w, http.StatusOK, changesResponse{Revision: s.revision, Events: events})
			return
		}
		if !s.awaitChange(r) {
			return
		}
	}
}

// events returns the changes after a revision to keys with the given prefix; the caller holds the
// lock.
func (s *Store) events(under string, after uint64) []change {
	events := []change{}
	for k, e := range s.entries {
		if strings.HasPrefix(k, under) && e.Version > after {
			events = append(events, change{Put: k, Value: e.Value, Revision: e.Version})
		}
	}
	for k, revision := range s.deletedAt {
		if strings.HasPrefix(k, under) && revision > after {
			events = append(events, change{Delete: k, Revision: revision})
		}
	}
	return events
}

// awaitChange waits for a change, or at most for watchPollInterval because a lease may have expired.
// It releases the lock while it waits. It returns false if the client has closed the watch.
func (s *Store) awaitChange(r *http.Request) bool {
	changed := s.changed
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-changed:
	case <-time.After(watchPollInterval):
	case <-r.Context().Done():
		return false
	}
	return true
}
