// Package election implements leader election among the controllers over the
// consensus-backed key-value store (the state service). A member becomes leader by
// a compare-and-swap on the leader and term keys. The leader key is bound to a lease
// of the member; the term increases with every election and is the fencing token of
// the leader's writes. The member is entitled to act as leader until its lease, less
// a clock margin, expires. During an outage of the store it is entitled for longer
// if every sibling has promised not to campaign: until the first of the promises
// ends.
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
	// keyLeader stores the leaderRecord and is bound to the leader's lease.
	keyLeader = "lead/holder"
	// KeyTerm stores the highest term. Every write of a leader is conditional on the
	// version of this key.
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

// Term describes a term that this member has won. It is passed to the lead function.
type Term struct {
	// Number is the term's number, the fencing token of the leader's writes.
	Number uint64
	// TermVersion is the version that the election gave the term key.
	TermVersion uint64
	// Since is a time at or after the end of every earlier leader's entitlement.
	Since time.Time
	// LastHeartbeatAt is when the last heartbeat of an earlier leader arrived; zero if
	// none did.
	LastHeartbeatAt time.Time
	// StoreRolledBack reports that the stored term was lower than a term that workers or
	// siblings had seen: the state service has lost its latest writes.
	StoreRolledBack bool
}

// View is a node's view of the leadership.
type View struct {
	Leader string // member name of the leader; empty if it is unknown or there is none
	Term   uint64 // highest term observed
	// StoreRespondedAt is when the state service last responded to this node.
	StoreRespondedAt time.Time
}

// Intervals of the election loop.
const (
	// retryInterval is the delay after a failed read or watch of the election keys.
	retryInterval = 250 * time.Millisecond
	// campaignInterval is the delay between campaigns.
	campaignInterval = 50 * time.Millisecond
	// watchTimeout limits the duration of one watch of the election keys.
	watchTimeout = 5 * time.Second
)

// Elector takes part in the election for one member. Run contains its main loop; the
// other methods are safe for concurrent use.
type Elector struct {
	member   string
	ttl      time.Duration // of the lease
	store    *state.Client
	log      *slog.Logger
	leadFunc func(context.Context, Term)
	// requestPromise asks one sibling for a promise.
	requestPromise RequestPromiseFunc

	mu              sync.Mutex // guards the fields below
	view            View
	lastHeartbeatAt time.Time // when a leader's last heartbeat arrived; zero if none did
	// leadingTerm is the term that this member leads, 0 if it does not lead. leaseUntil
	// is when its lease expires, less the clock margin. deposed is closed when a later
	// term is observed.
	leadingTerm uint64
	leaseUntil  time.Time
	deposed     chan struct{}
	// resigning is set while the member gives up leadership: it no longer renews the lease.
	resigning bool
	// noCampaignBefore is the earliest time at which a member that has resigned may
	// campaign again.
	noCampaignBefore time.Time
	promises         *promiseState
	// promiseRoundActive is set while a round of promise requests is in progress.
	promiseRoundActive bool
	// leadingOnPromises is set when the lease has expired and the entitlement depends on
	// the siblings' promises.
	leadingOnPromises bool
}

// New returns an elector for member, whose lease in the state service has the given
// TTL. Each time the member is elected, the elector calls lead with a context that is
// cancelled when the term ends. Promises are disabled until EnablePromises is called.
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

// Run takes part in the election until ctx is done: it watches the election keys,
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

// sleep waits until d has passed or ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// storedLeadership is the content of the election keys at one revision of the store.
type storedLeadership struct {
	revision    uint64
	hasLeader   bool   // the leader key is present
	term        uint64 // highest term; 0 before the first election
	termVersion uint64 // version of the term key; 0 if the key is absent
}

// readLeadership reads the leader and term keys and updates the view. It reads both
// keys with one listing, so that they belong to the same revision.
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
