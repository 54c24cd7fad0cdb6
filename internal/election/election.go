// Package election implements leader election among the controllers over the
// consensus-backed key-value store (the state service). A member that wins a
// compare-and-swap on the leader and term keys holds a lease in the store for a
// term, whose number only ever rises and is the fencing token of its writes. The
// member is entitled to act as leader until its lease, less a clock margin, has
// expired; in an outage of the store, until the first of its siblings' promises
// not to campaign ends.
package election

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// Keys of the election in the state service.
const (
	keyPrefix = "lead/"
	// keyLeader holds the leaderRecord, bound to the leader's lease.
	keyLeader = "lead/holder"
	// KeyTerm holds the highest term; every write of a leader is conditional on
	// its version.
	KeyTerm = "lead/term"
)

// leaderRecord is the value of keyLeader.
type leaderRecord struct {
	Member string `codec:"member"`
	Term   uint64 `codec:"term"`
}

// termRecord is the value of KeyTerm.
type termRecord struct {
	Term uint64 `codec:"term"`
}

// Term describes one term of leadership that this member has won; it is passed
// to the lead function.
type Term struct {
	// Number is the number of the term, the fencing token of the leader's writes.
	Number uint64
	// TermVersion is the version of the term key that this term wrote.
	TermVersion uint64
	// Since is a moment at or after the end of every earlier leader's entitlement.
	Since time.Time
	// LastHeartbeatAt is when the previous leader's last heartbeat came; zero: never.
	LastHeartbeatAt time.Time
	// StoreRolledBack reports that the stored term was behind what workers or siblings had
	// seen: the state service has lost its latest writes.
	StoreRolledBack bool
}

// View is what a node believes about the leadership.
type View struct {
	Leader string // member name of the leader; empty: unknown or none
	Term   uint64 // highest term known
	// StoreRespondedAt is when this node last had a response from the state service.
	StoreRespondedAt time.Time
}

// Intervals of the election loop.
const (
	// retryInterval is the wait after a failed read or watch of the election keys.
	retryInterval = 250 * time.Millisecond
	// campaignInterval is the wait between campaigns.
	campaignInterval = 50 * time.Millisecond
	// watchTimeout bounds one watch of the election keys.
	watchTimeout = 5 * time.Second
)

// Elector takes part in the election on behalf of one member. Its methods are
// safe for concurrent use; Run drives it.
type Elector struct {
	member   string
	ttl      time.Duration // of the lease
	store    *state.Client
	log      *slog.Logger
	leadFunc func(context.Context, Term)
	// requestPromise asks one sibling for a promise.
	requestPromise RequestPromiseFunc

	mu              sync.Mutex // guards what follows
	view            View
	lastHeartbeatAt time.Time // when a heartbeat of a leader last came
	// leadingTerm is the term that this member leads, 0 for none; leaseUntil is when
	// its lease expires, less the clock margin; deposed is closed when a later term
	// is observed.
	leadingTerm uint64
	leaseUntil  time.Time
	deposed     chan struct{}
	// resigning: the lease is no longer renewed, because the member gives up the lead.
	resigning bool
	// noCampaignBefore is until when a member that has resigned does not campaign.
	noCampaignBefore time.Time
	promises         *promiseState
	// promiseRoundActive: the siblings are being asked for promises.
	promiseRoundActive bool
	// leadingOnPromises: the lease has expired and only the promises last.
	leadingOnPromises bool
}

// New makes an elector for member with a lease of ttl in the state service. Each
// time the member is elected, lead is run with a context that ends with the term.
// Promises are off until EnablePromises.
func New(member string, ttl time.Duration, store *state.Client, log *slog.Logger, lead func(context.Context, Term)) *Elector {
	return &Elector{
		member:   member,
		ttl:      ttl,
		store:    store,
		log:      log,
		leadFunc: lead,
		promises: newPromiseState(0, nil, time.Now()),
	}
}

// Run takes part in the election until ctx ends: it watches the election keys,
// campaigns when there is no leader, and leads when it is elected.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		stored, err := e.readLeadership(ctx)
		if err != nil {
			sleep(ctx, retryInterval)
			continue
		}
		if !stored.hasLeader {
			if e.startCampaign() {
				e.campaign(ctx, stored)
				e.endCampaign()
			}
			sleep(ctx, campaignInterval)
			continue
		}
		if _, _, err := e.store.Watch(ctx, keyPrefix, stored.revision, watchTimeout); err != nil && !errors.Is(err, state.ErrCompacted) {
			sleep(ctx, retryInterval)
			continue
		}
		e.markStoreResponse()
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// storedLeadership is what the election keys hold at one revision of the store.
type storedLeadership struct {
	revision    uint64
	hasLeader   bool   // some member holds the leader key
	term        uint64 // highest term; 0: none yet
	termVersion uint64 // version of the term key; 0: it is absent
}

// readLeadership reads the leader and term keys in one listing, so that they
// belong to the same revision, and updates the view.
func (e *Elector) readLeadership(ctx context.Context) (storedLeadership, error) {
	entries, revision, err := e.store.List(ctx, keyPrefix)
	if err != nil {
		return storedLeadership{}, err
	}
	stored := storedLeadership{revision: revision}
	var leader leaderRecord
	for _, entry := range entries {
		switch entry.Key {
		case keyLeader:
			stored.hasLeader = wire.Unmarshal(entry.Value, &leader) == nil
		case KeyTerm:
			var record termRecord
			if err := wire.Unmarshal(entry.Value, &record); err != nil {
				return storedLeadership{}, err
			}
			stored.term = record.Term
			stored.termVersion = entry.Version
		}
	}
	e.observeStored(leader.Member, stored.term)
	return stored, nil
}
