package emulate

import (
	"strings"
	"sync"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// Store is an emulated key-value store, after its published protocol. All entries are lost
// with it.
type Store struct {
	mu          sync.Mutex
	revision    uint64
	entries     map[string]state.Entry
	deletedAt   map[string]uint64 // key -> revision of its last deletion
	leaseExpiry map[uint64]time.Time
	leaseTTL    map[uint64]time.Duration
	lastLease   uint64
	changed     chan struct{} // closed and replaced with each change
	load        StoreLoad

	maxWrites int // in a transaction
	pageSize  int // entries in a listing

	// refuses chooses the hosts that are refused, latency delays all answers, and
	// transactionDelay says how late a transaction is carried out, see DelayTransactions.
	refuses          func(from string) bool
	latency          time.Duration
	transactionDelay func() time.Duration
	responsesLost    int // to transactions that were carried out at once
}

const (
	defaultMaxWrites = 12
	defaultPageSize  = 500
)

// StoreLoad counts the requests to a store so far.
type StoreLoad struct {
	// Requests counts all requests, watches and lease renewals included.
	Requests int `json:"requests"`
	// Writes counts the puts and deletes of transactions, those of failed ones included.
	Writes int `json:"writes"`
}

// Load counts the requests so far.
func (s *Store) Load() StoreLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load
}

// SetPageSize sets how many entries a listing may have.
func (s *Store) SetPageSize(entries int) {
	s.mu.Lock()
	s.pageSize = entries
	s.mu.Unlock()
}

// NewStore makes an empty store.
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

// SetMaxWrites sets the most writes in a transaction.
func (s *Store) SetMaxWrites(writes int) {
	s.mu.Lock()
	s.maxWrites = writes
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

// JobSpec finds the description of a job among the records that controllers store; nil: there is
// none. The emulated workers read there what users would have uploaded for them.
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

// notifyWatchers wakes the watches; the caller holds the lock.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends the leases that have expired; the caller holds the lock.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, until := range s.leaseExpiry {
		if now.After(until) {
			s.endLease(id)
		}
	}
}

// endLease deletes a lease and the keys under it; the caller holds the lock.
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
