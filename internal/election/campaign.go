package election

import (
	"context"
	"errors"
	"time"

	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// startCampaign reports whether the member may campaign now, and if so notes that
// it does.
func (e *Elector) startCampaign() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	return !now.Before(e.noCampaignBefore) && e.promises.startCampaign(now)
}

// endCampaign notes that the campaign, and the term if it was won, is over.
func (e *Elector) endCampaign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.promises.endCampaign()
}

// campaign tries to be elected for the term after the stored one, under a lease
// of its own, and leads until the term ends if it is.
func (e *Elector) campaign(ctx context.Context, stored storedLeadership) {
	start := time.Now()
	lease, err := e.store.GrantLease(ctx, e.ttl)
	if err != nil {
		return
	}
	term, restored := e.nextTerm(stored.term)
	writes, err := e.leadershipWrites(term, lease)
	if err != nil {
		return
	}
	version, err := e.commitLeadership(ctx, writes, term, stored.termVersion, lease)
	if err != nil {
		// Without its lease, a commit that is executed late fails.
		_ = e.store.RevokeLease(ctx, lease)
		return
	}
	heartbeat := e.lastHeartbeat()
	won := Term{
		Number:          term,
		TermVersion:     version,
		Since:           time.Now(),
		LastHeartbeatAt: heartbeat,
		StoreRolledBack: restored,
	}
	e.holdTerm(ctx, won, lease, start)
}

// nextTerm is the term to campaign for after the stored one. restored reports
// that the stored term was behind the highest that this node has seen; the next
// term is then the one after that.
func (e *Elector) nextTerm(stored uint64) (next uint64, restored bool) {
	e.mu.Lock()
	seen := e.view.Term
	e.mu.Unlock()
	restored = seen > stored
	if restored {
		// A state service that has lost its latest writes names a term below the fencing
		// tokens that workers have seen. They would ignore a leader of the next one.
		e.log.Warn("stored term is lower than a term that workers or siblings have seen, advancing past it", "stored_term", stored, "seen_term", seen)
		stored = seen
	}
	return stored + 1, restored
}

// leadershipWrites are the writes that make this member leader of the term: the
// leader key, bound to the lease, and the term key.
func (e *Elector) leadershipWrites(term, lease uint64) ([]state.Write, error) {
	leaderWrite, leaderErr := state.Put(keyLeader, leaderRecord{Member: e.member, Term: term})
	termWrite, termErr := state.Put(KeyTerm, termRecord{Term: term})
	if leaderErr != nil || termErr != nil {
		return nil, errors.Join(leaderErr, termErr)
	}
	leaderWrite.Lease = lease
	return []state.Write{leaderWrite, termWrite}, nil
}

// commitLeadership commits the writes as a compare-and-swap: the leader key must
// be absent and the term key at the version that was read. It returns the
// revision of the commit. If the response was lost, the lease on the leader key
// tells whether the commit was executed.
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
// leaseStart is a moment before the lease was granted.
func (e *Elector) holdTerm(ctx context.Context, term Term, lease uint64, leaseStart time.Time) {
	leadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	deposed := e.beginTerm(term.Number, leaseStart)
	e.log.Info("became leader", "term", term.Number)
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
		_ = e.store.RevokeLease(ctx, lease) // if it fails, the lease expires by itself
	}
	e.log.Info("stepped down as leader", "term", term.Number)
}

// beginTerm notes that this member leads the term. The channel is closed when a
// later term is observed.
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

// endTerm notes that this member no longer leads the term, and reports whether it
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
