package emulate

import (
	"net/http"
	"strings"
	"time"

	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// discardResponse is a response writer that discards the response.
type discardResponse struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (discardResponse) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }

// ResponsesLost returns the number of transactions that were applied at once but whose responses
// were lost.
func (s *Store) ResponsesLost() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.responsesLost
}

// RefuseFrom makes the store refuse requests with status 503 if f is true for their host.
func (s *Store) RefuseFrom(f func(from string) bool) {
	s.mu.Lock()
	s.refuses = f
	s.mu.Unlock()
}

// DelayTransactions makes the store call f for each transaction. If the result is above 0, the store
// applies the transaction and responds after that delay. If it is below 0, the store applies the
// transaction at once and closes the connection without a response after the absolute value of the
// result. If it is 0, or f is nil, the store serves the transaction normally.
func (s *Store) DelayTransactions(f func() time.Duration) {
	s.mu.Lock()
	s.transactionDelay = f
	s.mu.Unlock()
}

// SetLatency sets a delay that is added to every response except those to watches.
func (s *Store) SetLatency(d time.Duration) {
	s.mu.Lock()
	s.latency = d
	s.mu.Unlock()
}

// outageLeaseDuration is the time to live of leases during an outage, longer than any outage.
const outageLeaseDuration = time.Hour

// SetOutage starts or ends an outage. During an outage the store refuses all requests and no lease
// expires. At its end all leases are renewed.
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

// Put writes a key without conditions, like an operator who restores an older state.
func (s *Store) Put(key string, data any) error {
	value, err := wire.Marshal(data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.entries[key] = state.Entry{Key: key, Value: value, Version: s.revision}
	s.notifyWatchers()
	return nil
}

// Snapshot returns the entries whose keys have the given prefix.
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

// Restore replaces the entries whose keys have the given prefix by a snapshot, without conditions.
// This simulates a store that has lost its last writes.
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
