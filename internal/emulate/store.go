package emulate

import (
	"strings"
	"sync"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// Store emulates the key-value store according to its published protocol. It keeps its entries in
// memory.
type Store struct {
	mu          sync.Mutex
	revision    uint64
	entries     map[string]state.Entry
	deletedAt   map[string]uint64 // by key: revision of its last deletion
	leaseExpiry map[uint64]time.Time
	leaseTTL    map[uint64]time.Duration
	lastLease   uint64
	changed     chan struct{} // closed and replaced at each change
	load        StoreLoad

	maxWrites int // maximum number of writes in a transaction
	pageSize  int // maximum number of entries in a page of a listing

	// refuses selects the hosts whose requests are refused. latency is added to all responses.
	// transactionDelay returns the delay of a transaction, see DelayTransactions.
	refuses          func(from string) bool
	latency          time.Duration
	transactionDelay func() time.Duration
	responsesLost    int // see ResponsesLost
}

const (
	defaultMaxWrites = 12
	defaultPageSize  = 500
)

// StoreLoad has the number of requests to a store so far.
type StoreLoad struct {
	// Requests counts all requests, including watches and lease renewals.
	Requests int `json:"requests"`
	// Writes counts the puts and deletes of all transactions, including failed ones.
	Writes int `json:"writes"`
}

// Load returns the number of requests so far.
func (s *Store) Load() StoreLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load
}

// SetPageSize sets the maximum number of entries in a page of a listing.
func (s *Store) SetPageSize(entries int) {
	s.mu.Lock()
	s.pageSize = entries
	s.mu.Unlock()
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		entries:     map[string]state.Entry{},
		deletedAt:   map[string]uint64{},
		leaseExpiry: map[uint64]time.Time{},
		leaseTTL:    map[uint64]time.Duration{},
		changed:     make(chan struct{}),
		maxWrites:   defaultMaxWrites,
		pageSize:    defaultPageSize,
		refuses:     func(string) bool { return false },
	}
}

// SetMaxWrites sets the maximum number of writes in a transaction.
func (s *Store) SetMaxWrites(writes int) {
	s.mu.Lock()
	s.maxWrites = writes
	s.mu.Unlock()
}

// CountKeys returns the number of keys with the given prefix.
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

// Entry returns the entry of a key and whether there is one.
func (s *Store) Entry(key string) (state.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	return e, ok
}

// JobSpec returns the specification of a job from the records that controllers store, or nil if
// there is none. Emulated workers read it there instead of from the uploads of users.
func (s *Store) JobSpec(id string) *job.Spec {
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

// notifyWatchers wakes all watches; the caller holds the lock.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases deletes the leases that have expired and their keys; the caller holds the lock.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, expiry := range s.leaseExpiry {
		if now.After(expiry) {
			s.endLease(id)
		}
	}
}

// endLease deletes a lease and the keys that are attached to it; the caller holds the lock.
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
