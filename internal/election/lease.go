package election

import (
	"context"
	"errors"
	"time"

	"vetchstream/internal/state"
)

const (
	// renewalsPerLease is the number of renewals per TTL of the lease.
	renewalsPerLease = 4
	// resignBackoff is how long a member does not campaign after it has resigned.
	resignBackoff = 5 * time.Second
)

// Entitled reports whether the member may act as leader of the term right now.
// Callers check it immediately before they send anything: on an overloaded processor
// more time than the lease's TTL can pass between a decision and its sending.
func (e *Elector) Entitled(term uint64) bool {
	return e.EntitlementLeft(term) > 0
}

// EntitlementLeft returns how long the member may still act as leader of the term
// without another lease renewal or promise; 0 if it may not.
func (e *Elector) EntitlementLeft(term uint64) time.Duration {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leadingTerm != term || term == 0 {
		return 0
	}
	return max(0, e.entitledUntil().Sub(now))
}

// entitledUntil returns when the entitlement ends unless the lease or the siblings'
// promises are renewed. The caller holds e.mu.
func (e *Elector) entitledUntil() time.Time {
	if promised := e.promises.allPromisedUntil(); !e.leaseUntil.IsZero() && promised.After(e.leaseUntil) {
		return promised
	}
	return e.leaseUntil
}

// clockMargin is how much earlier than in the store the lease expires for this
// member: the monotonic clocks of the member and the store drift by up to 0.05 % each,
// and timers can fire late.
func (e *Elector) clockMargin() time.Duration { return e.ttl/500 + 50*time.Millisecond }

// Resign gives up the leadership of the term: the member stops renewing the lease,
// and revokes it once the entitlement, and every grant that depends on it, has
// expired. It then does not campaign for resignBackoff.
func (e *Elector) Resign(term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leadingTerm == term && term != 0 {
		e.resigning = true
	}
}

// resignStatus reports whether the member is resigning, and the time left until its
// lease expires.
func (e *Elector) resignStatus() (left time.Duration, resigning bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Until(e.leaseUntil), e.resigning
}

// keepLease renews the lease until it no longer exists, a later term is observed, or
// the member has resigned and its entitlement has expired. In an outage without
// promises the entitlement lapses but the term does not end: the store extends leases
// to their full TTL after an outage, so the member leads the same term again once a
// renewal succeeds. Only the store can confirm this, not a sibling.
func (e *Elector) keepLease(ctx context.Context, term, lease uint64, deposed <-chan struct{}) {
	timer := time.NewTimer(e.renewInterval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-deposed:
			return
		case <-timer.C:
		}
		if left, resigning := e.resignStatus(); resigning {
			if left <= 0 {
				return
			}
			timer.Reset(left)
			continue
		}
		wait, ended := e.renewLease(ctx, term, lease)
		if ended {
			return
		}
		timer.Reset(wait)
	}
}

// renewInterval is the time between renewals of the lease.
func (e *Elector) renewInterval() time.Duration { return e.ttl / renewalsPerLease }

// renewLease renews the lease once and returns how long to wait before the next
// renewal; ended reports that the lease no longer exists. If the renewal fails while
// the member is entitled, it requests promises from the siblings.
func (e *Elector) renewLease(ctx context.Context, term, lease uint64) (wait time.Duration, ended bool) {
	start := time.Now()
	err := e.store.RenewLease(ctx, lease)
	switch {
	case err == nil:
		e.markRenewed(start)
		return e.renewInterval(), false
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

// markRenewed records the success of a renewal that was sent at start.
func (e *Elector) markRenewed(start time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaseUntil = start.Add(e.ttl - e.clockMargin())
	e.view.StoreRespondedAt = time.Now()
}
