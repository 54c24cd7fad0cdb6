// Package election implements leader election among the controllers over the
// consensus-backed key-value store (the state service). A member that wins a
// compare-and-swap on the leader and term keys holds a lease in the store and a
// term that only ever rises; the term is the fencing token of its writes. The
// member may act as leader while its lease, less a clock margin, or the
// promises of all its siblings not to campaign last.
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
	Number uint64 // the term number, the fencing token of the leader's writes
	// TermVersion is the version of the term key that this term wrote.
	TermVersion uint64
	// Since is a moment at or after the end of every earlier leader's entitlement.
	Since time.Time
	// LeaderHeardAt is when the previous leader last sent a heartbeat; zero: never.
	LeaderHeardAt time.Time
	// Restored reports that the stored term was behind what workers or siblings had
	// seen: the state service has lost its latest writes.
	Restored bool
}

// View is what a node believes about the leadership.
type View struct {
	Leader string // member name of the leader; empty: unknown or none
	Term   uint64 // highest term known
	// StoreSeenAt is when the state service last answered this node.
	StoreSeenAt time.Time
}

// Elector takes part in the election on behalf of one member. Its methods are
// safe for concurrent use; Run drives it.
type Elector struct {
	member string
	ttl    time.Duration
	state  *state.Client
	log    *slog.Logger
	lead   func(ctx context.Context, r Term)

	mu                 sync.Mutex
	view               View
	leaderHeardAt      time.Time // when a leader was last heard of
	leaseUntil         time.Time
	leadingTerm        uint64
	deposed            chan struct{}
	promises           *promiseState
	requestPromise     RequestPromiseFunc
	requestingPromises bool
	onPromises         bool // the entitlement rests on promises
	resigns            bool // the lease is not renewed any more
	// notBefore holds a member back that has given the lead away.
	notBefore time.Time
}

// RequestPromiseFunc asks a sibling to promise that it does not campaign for the
// length of a promise, on behalf of the leader of term. It is like a pre-vote
// request; promised is false if the sibling declines.
type RequestPromiseFunc func(ctx context.Context, sibling string, term uint64) (promised bool, err error)

// EnablePromises lets a leader that the state service does not answer go on for
// as long as every sibling promises not to campaign. length is how long one
// promise lasts; 0 turns promises off. requestPromise asks one sibling.
func (e *Elector) EnablePromises(length time.Duration, siblings []string, requestPromise RequestPromiseFunc) {
	e.promises, e.requestPromise = newPromiseState(length, siblings, time.Now()), requestPromise
}

// New makes an elector for member with a lease of ttl in the state service st.
// lead is run, with a context that ends with the term, each time the member
// takes the lead. Promises are off until EnablePromises.
func New(member string, ttl time.Duration, st *state.Client, log *slog.Logger, lead func(context.Context, Term)) *Elector {
	return &Elector{member: member, ttl: ttl, state: st, log: log, lead: lead, promises: newPromiseState(0, nil, time.Now())}
}

// Entitled reports whether the member may act as leader of the term right now.
// It is asked as late as possible, at each sending, because a decision can wait
// behind a busy processor for longer than the lease lasts.
func (e *Elector) Entitled(term uint64) bool {
	return e.EntitlementLeft(term) > 0
}

// EntitlementLeft is how long the member may still act as leader of the term without another
// lease renewal or promise; 0: it may not.
func (e *Elector) EntitlementLeft(term uint64) time.Duration {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leadingTerm != term || term == 0 {
		return 0
	}
	return max(0, e.entitledUntil().Sub(now))
}

// entitledUntil is when the entitlement ends without another renewal, by the state
// service or by the siblings; the caller holds the lock.
func (e *Elector) entitledUntil() time.Time {
	if t := e.promises.until(); !e.leaseUntil.IsZero() && t.After(e.leaseUntil) {
		return t
	}
	return e.leaseUntil
}

// probeTime bounds the check whether the state service answers this member.
const probeTime = 400 * time.Millisecond

// Promise answers a leader of term that asks this member not to campaign. It
// promises, and then does not campaign for the length of a promise, only if the
// state service does not answer this member either (within probeTime).
func (e *Elector) Promise(ctx context.Context, leader string, term uint64) bool {
	// A member that still holds a lapsed term does not promise: if it did not learn here
	// that it is over, nobody would be entitled while the state service is out.
	e.ObserveLeader(leader, term)
	e.mu.Lock()
	off := e.promises.length == 0 || term < e.view.Term
	e.mu.Unlock()
	if off {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	_, err := e.state.Get(ctx, keyLeader)
	refused := err != nil && !errors.Is(err, state.ErrNotFound)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.promises.promise(refused, time.Now())
}

// resignTime is how long a member that has given the lead away leaves it to the
// others.
const resignTime = 5 * time.Second

// Resign gives up the lead of the term: the lease is no longer renewed and is
// revoked once the entitlement, and every grant that rests on it, has run out.
// Afterwards this member does not campaign for resignTime.
func (e *Elector) Resign(term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leadingTerm == term && term != 0 {
		e.resigns = true
	}
}

// ObserveSibling takes in whether a sibling says in its heartbeat that it leads.
func (e *Elector) ObserveSibling(member string, leads bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.promises.observe(member, leads)
}

// promiseRequestInterval spaces the rounds of promise requests: a promise that is
// not renewed ends the entitlement.
const promiseRequestInterval = 300 * time.Millisecond

// requestPromises asks every sibling for its promise, one round at a time.
func (e *Elector) requestPromises(ctx context.Context, term uint64) {
	e.mu.Lock()
	if e.promises.length == 0 || e.requestingPromises {
		e.mu.Unlock()
		return
	}
	e.requestingPromises = true
	siblings := e.promises.siblings
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 2*probeTime)
	var wg sync.WaitGroup
	for _, m := range siblings {
		wg.Go(func() { e.requestPromiseFrom(ctx, m, term) })
	}
	go func() {
		wg.Wait()
		cancel()
		e.endPromiseRound(term)
	}()
}

// requestPromiseFrom asks one sibling and records its promise while the term
// lasts.
func (e *Elector) requestPromiseFrom(ctx context.Context, sibling string, term uint64) {
	asked := time.Now()
	if ok, err := e.requestPromise(ctx, sibling, term); err != nil || !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leadingTerm == term {
		e.promises.record(sibling, asked, time.Now(), e.entitledUntil())
	}
}

// endPromiseRound lets the next round begin and logs when the entitlement has
// come to rest on the siblings' promises alone.
func (e *Elector) endPromiseRound(term uint64) {
	e.mu.Lock()
	e.requestingPromises = false
	now := time.Now()
	onPromises := e.leadingTerm == term && now.After(e.leaseUntil) && now.Before(e.promises.until())
	was := e.onPromises
	e.onPromises = onPromises
	e.mu.Unlock()
	if onPromises && !was {
		e.log.Info("the state service answers nobody, going on by the siblings' promises", "term", term)
	}
}

// View returns what the node knows of the leadership.
func (e *Elector) View() View {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view
}

// ObserveLeader takes in a leader of term that a sibling or a worker has seen
// (empty when only the term is known). A member that leads an earlier term
// steps down. A node that is cut from the state service alone learns of its
// successor this way.
func (e *Elector) ObserveLeader(leader string, term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if term > e.view.Term {
		e.view.Leader, e.view.Term = leader, term
	}
	if e.leadingTerm != 0 && term > e.leadingTerm && e.deposed != nil {
		e.leaseUntil = time.Time{}
		close(e.deposed)
		e.deposed = nil
	}
}

// ObserveHeartbeat notes that the leader has given a sign of life.
func (e *Elector) ObserveHeartbeat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaderHeardAt = time.Now()
}

// LeaderLeaseLeft is how long the lead may still be held by a leader that sends
// no heartbeat: what is left of its lease, as far as this node knows.
func (e *Elector) LeaderLeaseLeft() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(0, e.ttl-time.Since(e.leaderHeardAt))
}

// Run takes part in the election until ctx ends: it watches the election keys,
// campaigns when there is no leader, and leads when it wins.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, held, termVersion, term, err := e.readLeadership(ctx)
		if err != nil {
			pause(ctx, 250*time.Millisecond)
			continue
		}
		if !held {
			e.mu.Lock()
			now := time.Now()
			may := !now.Before(e.notBefore) && e.promises.startCampaign(now)
			e.mu.Unlock()
			if may {
				e.campaign(ctx, term, termVersion)
				e.mu.Lock()
				e.promises.endCampaign()
				e.mu.Unlock()
			}
			pause(ctx, 50*time.Millisecond)
			continue
		}
		if _, _, err := e.state.Watch(ctx, keyPrefix, revision, 5*time.Second); err != nil && !errors.Is(err, state.ErrGone) {
			pause(ctx, 250*time.Millisecond)
			continue
		}
		e.markSeen()
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// markSeen notes that the state service has just answered.
func (e *Elector) markSeen() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view.StoreSeenAt = time.Now()
}

// readLeadership reads the leader and term keys in one listing, so that they
// belong to the same revision, and updates the view. It returns that revision,
// whether a leader holds the lead, and the stored term with its version.
func (e *Elector) readLeadership(ctx context.Context) (revision uint64, held bool, termVersion, term uint64, err error) {
	entries, revision, err := e.state.List(ctx, keyPrefix)
	if err != nil {
		return
	}
	var h leaderRecord
	for _, en := range entries {
		switch en.Key {
		case keyLeader:
			held = wire.Unmarshal(en.Value, &h) == nil
		case KeyTerm:
			var t termRecord
			if err = wire.Unmarshal(en.Value, &t); err != nil {
				return
			}
			term, termVersion = t.Term, en.Version
		}
	}
	e.mu.Lock()
	e.view.StoreSeenAt = time.Now()
	if term >= e.view.Term {
		e.view.Term = term
		e.view.Leader = h.Member
	}
	e.mu.Unlock()
	return
}

// clockMargin is taken off the lease: steady clocks differ by up to 0.05 %, on both
// sides, and the processor can be late.
func (e *Elector) clockMargin() time.Duration { return e.ttl/500 + 50*time.Millisecond }

// campaign tries to take the lead for the term after the stored one, under a
// lease of its own, and leads until the term ends if it wins.
func (e *Elector) campaign(ctx context.Context, term, termVersion uint64) {
	begun := time.Now()
	lease, err := e.state.GrantLease(ctx, e.ttl)
	if err != nil {
		return
	}
	term, restored := e.nextTerm(term)
	writes, err := e.leadershipWrites(term, lease)
	if err != nil {
		return
	}
	version, err := e.commitLeadership(ctx, writes, term, termVersion, lease)
	if err != nil {
		// Without its lease a transaction that is applied late fails.
		_ = e.state.RevokeLease(ctx, lease)
		return
	}
	e.mu.Lock()
	alive := e.leaderHeardAt
	e.mu.Unlock()
	e.holdTerm(ctx, Term{Number: term, TermVersion: version, Since: time.Now(), LeaderHeardAt: alive, Restored: restored}, lease, begun)
}

// nextTerm is the term to campaign for after the stored one. restored reports
// that the stored term was behind the highest this node has seen, and the next
// term is counted from that one instead.
func (e *Elector) nextTerm(stored uint64) (next uint64, restored bool) {
	e.mu.Lock()
	heard := e.view.Term
	e.mu.Unlock()
	restored = heard > stored
	if restored {
		// A state service that has lost its last moments names a term below the tokens
		// that workers have seen. They would drop every answer of the next one.
		e.log.Warn("the stored term is behind what workers or siblings have seen, going above it", "stored", stored, "seen", heard)
		stored = heard
	}
	return stored + 1, restored
}

// leadershipWrites are the writes that make this member leader of the term: the
// leader key, bound to the lease, and the term key.
func (e *Elector) leadershipWrites(term, lease uint64) ([]state.Write, error) {
	leader, err1 := state.Put(keyLeader, leaderRecord{Member: e.member, Term: term})
	termWrite, err2 := state.Put(KeyTerm, termRecord{Term: term})
	if err1 != nil || err2 != nil {
		return nil, errors.Join(err1, err2)
	}
	leader.Lease = lease
	return []state.Write{leader, termWrite}, nil
}

// commitLeadership commits the writes as a compare-and-swap: the leader key must
// be absent and the term key at the version that was read. It returns the
// revision of the commit. If the answer was lost, the leader key tells whether
// the commit went through.
func (e *Elector) commitLeadership(ctx context.Context, writes []state.Write, term, termVersion, lease uint64) (uint64, error) {
	version, err := e.state.Commit(ctx, state.Txn{
		If:     []state.Condition{{Key: keyLeader}, {Key: KeyTerm, Version: termVersion}},
		Writes: writes,
	})
	if errors.Is(err, state.ErrUnknown) {
		// The commit may have gone through: the lease on the leader key tells.
		en, gerr := e.state.Get(ctx, keyLeader)
		var h leaderRecord
		if gerr == nil && en.Lease == lease && wire.Unmarshal(en.Value, &h) == nil && h.Term == term {
			version, err = en.Version, nil
		}
	}
	return version, err
}

// holdTerm leads for the term: it runs the lead function and renews the lease
// until the term ends, then steps down and waits for the lead function to return.
func (e *Elector) holdTerm(ctx context.Context, r Term, lease uint64, begun time.Time) {
	rctx, cancel := context.WithCancel(ctx)
	deposed := make(chan struct{})
	e.mu.Lock()
	e.leadingTerm, e.leaseUntil = r.Number, begun.Add(e.ttl-e.clockMargin())
	e.view = View{Leader: e.member, Term: r.Number, StoreSeenAt: time.Now()}
	e.deposed = deposed
	e.mu.Unlock()
	e.log.Info("took the lead", "term", r.Number)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		e.lead(rctx, r)
	}()
	e.renew(rctx, r.Number, lease, deposed)
	e.mu.Lock()
	resigned := e.resigns
	e.leadingTerm, e.leaseUntil, e.deposed, e.resigns = 0, time.Time{}, nil, false
	if resigned {
		e.notBefore = time.Now().Add(resignTime)
	}
	if e.view.Term == r.Number {
		e.view.Leader = ""
	}
	e.mu.Unlock()
	cancel()
	<-finished
	if resigned {
		_ = e.state.RevokeLease(ctx, lease) // if it fails, the lease runs out
	}
	e.log.Info("left the lead", "term", r.Number)
}

// resigning reports whether the lead is being given away, and what is left of the
// entitlement.
func (e *Elector) resigning() (left time.Duration, resigns bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Until(e.leaseUntil), e.resigns
}

// renew extends the lease until it is gone or a later term was heard of. In an
// outage without promises the entitlement lapses but the term goes on: leases have
// their full time again afterwards, so the same term may resume once the state
// service says that the lease is still there. Nobody else's word brings it back.
func (e *Elector) renew(ctx context.Context, term, lease uint64, deposed <-chan struct{}) {
	tick := time.NewTimer(e.ttl / 4)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-deposed:
			return
		case <-tick.C:
		}
		if left, resigns := e.resigning(); resigns {
			if left <= 0 {
				return
			}
			tick.Reset(left)
			continue
		}
		wait, ended := e.extendLease(ctx, term, lease)
		if ended {
			return
		}
		tick.Reset(wait)
	}
}

// extendLease renews the lease once and returns when to try next; ended reports
// that the lease is gone. While renewals fail and the member is entitled, it
// asks the siblings for promises.
func (e *Elector) extendLease(ctx context.Context, term, lease uint64) (wait time.Duration, ended bool) {
	begun := time.Now()
	err := e.state.RenewLease(ctx, lease)
	switch {
	case err == nil:
		e.mu.Lock()
		e.leaseUntil = begun.Add(e.ttl - e.clockMargin())
		e.view.StoreSeenAt = time.Now()
		e.mu.Unlock()
		return e.ttl / 4, false
	case errors.Is(err, state.ErrNotFound):
		return 0, true
	default:
		e.log.Debug("lease renewal failed", "error", err)
		if e.Entitled(term) {
			e.requestPromises(ctx, term)
		}
		return promiseRequestInterval, false
	}
}
