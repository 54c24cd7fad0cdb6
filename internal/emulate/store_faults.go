package emulate

import (
	"net/http"
	"strings"
	"time"

	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// discardResponse drops an answer.
type discardResponse struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (discardResponse) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }

// ResponsesLost counts the transactions that were carried out at once and whose answers were
// lost.
func (s *Store) ResponsesLost() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.responsesLost
}

// RefuseFrom refuses the hosts for which f is true, with status 503.
func (s *Store) RefuseFrom(f func(from string) bool) {
	s.mu.Lock()
	s.refuses = f
	s.mu.Unlock()
}

// DelayTransactions lets each transaction go without an answer for as long as f says, and
// carries it out then. Below 0 it is carried out at once, and only the answer is lost; 0: it is
// served. nil: all are served.
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

// outageLeaseDuration is how long a lease lasts in an outage: longer than any outage.
const outageLeaseDuration = time.Hour

// SetOutage begins an outage, in which all are refused and no lease expires, or ends it;
// afterwards leases have their full time.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on {
		s.refuses = func(string) bool { return true }
		for id := range s.leaseExpiry {
			s.leaseExpiry[id] = time.Now().Add(outageLeaseDuration)
		}
		return
	}
	s.refuses = func(string) bool { return false }
	for id := range s.leaseExpiry {
		s.leaseExpiry[id] = time.Now().Add(s.leaseTTL[id])
	}
}

// Put sets a key without conditions, as an operator who restores an older state does.
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

// Snapshot is the entries below a prefix.
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

// Restore replaces the entries below a prefix by a snapshot, without conditions, as in a store
// that has lost its last writes.
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
