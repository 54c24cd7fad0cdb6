package election

import (
	"context"
	"errors"
	"time"

	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// startCampaign reports whether the member may campaign now, and if so marks it as
// campaigning.
func (e *Elector) startCampaign() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	return !now.Before(e.noCampaignBefore) && e.promises.startCampaign(now)
}

// endCampaign marks the end of the campaign, and of the term if the campaign was
// won.
func (e *Elector) endCampaign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.promises.endCampaign()
}

// campaign grants itself a lease and tries to win the term after the stored one. If
// it wins, it leads until the term ends.
func (e *Elector) campaign(ctx context.Context, stored storedLeadership) {
	start := time.Now()
	lease, err := e.store.GrantLease(ctx, e.ttl)
	if err != nil {
		return
	}
	term, storeRolledBack := e.nextTerm(stored.term)
	writes, err := e.leadershipWrites(term, lease)
	if err != nil {
		return
	}
	version, err := e.commitLeadership(ctx, writes, term, stored.termVersion, lease)
	if err != nil {
		// A commit that the store executes late fails once the lease is revoked.
		_ = e.store.RevokeLease(ctx, lease)
		return
	}
	heartbeat := e.lastHeartbeat()
	won := Term{
		Number:          term,
		TermVersion:     version,
		Since:           time.Now(),
		LastHeartbeatAt: heartbeat,
		StoreRolledBack: storeRolledBack,
	}
	e.holdTerm(ctx, won, lease, start)
}

// nextTerm returns the term to campaign for: the one after the stored term or after
// the highest term that this node has seen, whichever is higher. storeRolledBack
// reports that the stored term was the lower of the two.
func (e *Elector) nextTerm(stored uint64) (next uint64, storeRolledBack bool) {
	e.mu.Lock()
	seen := e.view.Term
	e.mu.Unlock()
	storeRolledBack = seen > stored
	if storeRolledBack {
		// A state service that has lost its latest writes returns a term below the fencing
		// tokens that workers have seen. Workers would ignore a leader of the term after it.
		e.log.Warn("stored term is lower than the highest observed term, advancing past the observed term", "stored_term", stored, "seen_term", seen)
		stored = seen
	}
	return wire.NextTerm(stored), storeRolledBack
}

// leadershipWrites returns the writes that make this member the leader of the term:
// the leader key, bound to the lease, and the term key.
func (e *Elector) leadershipWrites(term, lease uint64) ([]state.Write, error) {
	leaderWrite, leaderErr := state.Put(keyLeader, leaderRecord{Member: e.member, Term: term})
	termWrite, termErr := state.Put(KeyTerm, termRecord{Term: term})
	if leaderErr != nil || termErr != nil {
		return nil, errors.Join(leaderErr, termErr)
	}
	leaderWrite.Lease = lease
	return []state.Write{leaderWrite, termWrite}, nil
}

// commitLeadership commits the writes on condition that the leader key is absent and
// the term key still has the version that was read. It returns the revision of the
// commit. If the response is lost, it reads the leader key: the commit was executed
// if the key is bound to the lease.
func (e *Elector) commitLeadership(ctx context.Context, writes []state.Write, term, termVersion, lease uint64) (uint64, error) {
	version, err := e.store.Commit(ctx, state.Txn{
		If:     []state.Condition{{Key: keyLeader}, {Key: KeyTerm, Version: termVersion}},
		Writes: writes,
	})
	if !errors.Is(err, state.ErrOutcomeUnknown) {
		return version, err
	}
	entry, getErr := e.store.Get(ctx, keyLeader)
	if getErr != nil || entry.Lease != lease {
		return version, err
	}
	var leader leaderRecord
	if wire.Unmarshal(entry.Value, &leader) != nil || leader.Term != term {
		return version, err
	}
	return entry.Version, nil
}

// holdTerm leads for the term: it runs the lead function and renews the lease
// until the term ends, then steps down and waits for the lead function to return.
// leaseStart is a time before the lease was granted.
func (e *Elector) holdTerm(ctx context.Context, term Term, lease uint64, leaseStart time.Time) {
	leadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	deposed := e.beginTerm(term.Number, leaseStart)
	e.log.Info("became leader", "term", term.Number, "first_token", wire.FirstToken(term.Number))
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		e.leadFunc(leadCtx, term)
	}()
	e.keepLease(leadCtx, term.Number, lease, deposed)
	resigned := e.endTerm(term.Number)
	cancel()
	<-finished
	if resigned {
		_ = e.store.RevokeLease(ctx, lease) // if this fails, the lease expires after its TTL
	}
	e.log.Info("stepped down as leader", "term", term.Number)
}

// beginTerm records that this member leads the term. The returned channel is closed
// when a later term is observed.
func (e *Elector) beginTerm(term uint64, leaseStart time.Time) (deposed <-chan struct{}) {
	ch := make(chan struct{})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leadingTerm = term
	e.leaseUntil = leaseStart.Add(e.ttl - e.clockMargin())
	e.view = View{Leader: e.member, Term: term, StoreRespondedAt: time.Now()}
	e.deposed = ch
	return ch
}

// endTerm records that this member no longer leads the term, and reports whether it
// has resigned.
func (e *Elector) endTerm(term uint64) (resigned bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	resigned = e.resigning
	e.leadingTerm = 0
	e.leaseUntil = time.Time{}
	e.deposed = nil
	e.resigning = false
	if resigned {
		e.noCampaignBefore = time.Now().Add(resignBackoff)
	}
	if e.view.Term == term {
		e.view.Leader = ""
	}
	return resigned
}
