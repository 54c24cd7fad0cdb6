package election

import (
	"context"
	"errors"
	"sync"
	"time"

	"vetchstream/internal/state"
)

// RequestPromiseFunc asks a sibling, on behalf of the leader of term, to promise not
// to campaign for the duration of a promise. promised is false if the sibling
// declines. The request resembles the pre-vote request of Raft.
type RequestPromiseFunc func(ctx context.Context, sibling string, term uint64) (promised bool, err error)

// EnablePromises lets a leader that cannot reach the state service continue to lead
// while every sibling promises not to campaign. A promise is in force for duration; 0
// disables promises. requestPromise requests a promise from one sibling.
// EnablePromises must be called before Run.
func (e *Elector) EnablePromises(duration time.Duration, siblings []string, requestPromise RequestPromiseFunc) {
	e.promises = newPromiseState(duration, siblings, time.Now())
	e.requestPromise = requestPromise
}

const (
	// promiseProbeTimeout limits the read with which a sibling checks whether it can
	// reach the state service.
	promiseProbeTimeout = 400 * time.Millisecond
	// promiseRoundTimeout limits a round of promise requests.
	promiseRoundTimeout = 2 * promiseProbeTimeout
	// promiseRequestInterval is the time between rounds of promise requests. Promises
	// have to be renewed: the entitlement ends with the first promise that ends.
	promiseRequestInterval = 300 * time.Millisecond
)

// HandlePromiseRequest handles the request of the leader of term that this member
// promise not to campaign, and reports whether the member has promised. It does so
// only if the state service does not answer it within promiseProbeTimeout either.
func (e *Elector) HandlePromiseRequest(ctx context.Context, leader string, term uint64) bool {
	// A member that still leads an earlier term whose entitlement has lapsed grants no
	// promise. ObserveLeader ends that term; otherwise the promise would be missing, and
	// no member would be entitled during the outage.
	e.ObserveLeader(leader, term)
	e.mu.Lock()
	mustDecline := e.promises.duration == 0 || term < e.view.Term
	e.mu.Unlock()
	if mustDecline {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, promiseProbeTimeout)
	defer cancel()
	_, err := e.store.Get(ctx, keyLeader)
	storeFails := err != nil && !errors.Is(err, state.ErrNotFound)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.promises.grant(storeFails, time.Now())
}

// requestPromises starts a round of promise requests to all siblings, unless a round
// is in progress.
func (e *Elector) requestPromises(ctx context.Context, term uint64) {
	e.mu.Lock()
	if e.promises.duration == 0 || e.promiseRoundActive {
		e.mu.Unlock()
		return
	}
	e.promiseRoundActive = true
	siblings := e.promises.siblings
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, promiseRoundTimeout)
	var requests sync.WaitGroup
	for _, sibling := range siblings {
		requests.Go(func() { e.requestPromiseFrom(ctx, sibling, term) })
	}
	go func() {
		requests.Wait()
		cancel()
		e.endPromiseRound(term)
	}()
}

// requestPromiseFrom requests a promise from one sibling and records it if the member
// still leads the term.
func (e *Elector) requestPromiseFrom(ctx context.Context, sibling string, term uint64) {
	requested := time.Now()
	if promised, err := e.requestPromise(ctx, sibling, term); err != nil || !promised {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leadingTerm == term {
		e.promises.recordReceived(sibling, requested, time.Now(), e.entitledUntil())
	}
}

// endPromiseRound allows the next round to start. It logs a message when the lease has
// expired and the entitlement starts to depend on the siblings' promises.
func (e *Elector) endPromiseRound(term uint64) {
	e.mu.Lock()
	e.promiseRoundActive = false
	now := time.Now()
	onPromises := e.leadingTerm == term && now.After(e.leaseUntil) && now.Before(e.promises.allPromisedUntil())
	wasOnPromises := e.leadingOnPromises
	e.leadingOnPromises = onPromises
	e.mu.Unlock()
	if onPromises && !wasOnPromises {
		e.log.Info("lease has expired while the key-value store is unavailable, leading on promises of all siblings", "term", term)
	}
}
