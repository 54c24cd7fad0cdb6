package election

import (
	"context"
	"errors"
	"sync"
	"time"

	"vetchstream/internal/state"
)

// RequestPromiseFunc asks a sibling, on behalf of the leader of term, to promise
// that it does not campaign for the length of a promise; promised is false if the
// sibling declines. It resembles the pre-vote request of Raft.
type RequestPromiseFunc func(ctx context.Context, sibling string, term uint64) (promised bool, err error)

// EnablePromises lets a leader that the state service does not answer continue for
// as long as every sibling promises not to campaign. length is how long one
// promise lasts; 0 turns promises off. requestPromise asks one sibling. It has to
// be called before Run.
func (e *Elector) EnablePromises(length time.Duration, siblings []string, requestPromise RequestPromiseFunc) {
	e.promises = newPromiseState(length, siblings, time.Now())
	e.requestPromise = requestPromise
}

const (
	// promiseProbeTimeout bounds a sibling's check whether the state service answers
	// it.
	promiseProbeTimeout = 400 * time.Millisecond
	// promiseRoundTimeout bounds a round of promise requests.
	promiseRoundTimeout = 2 * promiseProbeTimeout
	// promiseRequestInterval is the time between rounds of promise requests: the
	// entitlement ends with a promise that is not renewed.
	promiseRequestInterval = 300 * time.Millisecond
)

// HandlePromiseRequest handles the request of a leader of term that this member does not
// campaign. The member promises, and then does not campaign for the length of a
// promise, only if the state service does not answer it either (within
// promiseProbeTimeout).
func (e *Elector) HandlePromiseRequest(ctx context.Context, leader string, term uint64) bool {
	// A member that still leads an earlier, lapsed term does not promise. It has to
	// learn here that its term is over: otherwise the leader would lack its promise,
	// and nobody would be entitled during the outage.
	e.ObserveLeader(leader, term)
	e.mu.Lock()
	off := e.promises.duration == 0 || term < e.view.Term
	e.mu.Unlock()
	if off {
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

// requestPromises starts a round of promise requests to every sibling, unless one
// is under way.
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
	var wg sync.WaitGroup
	for _, sibling := range siblings {
		wg.Go(func() { e.requestPromiseFrom(ctx, sibling, term) })
	}
	go func() {
		wg.Wait()
		cancel()
		e.endPromiseRound(term)
	}()
}

// requestPromiseFrom asks one sibling and records its promise, provided that the
// member still leads the term.
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

// endPromiseRound lets the next round begin, and logs when the entitlement begins
// to depend on the siblings' promises alone.
func (e *Elector) endPromiseRound(term uint64) {
	e.mu.Lock()
	e.promiseRoundActive = false
	now := time.Now()
	onPromises := e.leadingTerm == term && now.After(e.leaseUntil) && now.Before(e.promises.allPromisedUntil())
	was := e.leadingOnPromises
	e.leadingOnPromises = onPromises
	e.mu.Unlock()
	if onPromises && !was {
		e.log.Info("key-value store is unavailable, leading on the promises of the siblings", "term", term)
	}
}
