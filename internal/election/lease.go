package election

import (
	"context"
	"errors"
	"time"

	"vetchstream/internal/state"
)

const (
	// renewalsPerLease is how often the lease is renewed within its ttl.
	renewalsPerLease = 4
	// resignBackoff is how long a member that has resigned leaves the lead to the
	// others.
	resignBackoff = 5 * time.Second
)

// Entitled reports whether the member may act as leader of the term right now.
// Callers ask just before they send anything: a decision can wait behind a busy
// processor for longer than the lease lasts.
func (e *Elector) Entitled(term uint64) bool {
	return e.EntitlementLeft(term) > 0
}

// EntitlementLeft is how long the member may still act as leader of the term
// without another lease renewal or promise; 0: it may not.
func (e *Elector) EntitlementLeft(term uint64) time.Duration {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leadingTerm != term || term == 0 {
		return 0
	}
	return max(0, e.entitledUntil().Sub(now))
}

// entitledUntil is when the entitlement ends unless the lease is renewed or the
// siblings promise again; the caller holds the lock.
func (e *Elector) entitledUntil() time.Time {
	if promised := e.promises.allPromisedUntil(); !e.leaseUntil.IsZero() && promised.After(e.leaseUntil) {
		return promised
	}
	return e.leaseUntil
}

// clockMargin is deducted from the lease: monotonic clocks differ by up to 0.05 %
// on both sides, and timers can fire late.
func (e *Elector) clockMargin() time.Duration { return e.ttl/500 + 50*time.Millisecond }

// Resign gives up the lead of the term: the lease is no longer renewed, and is
// revoked once the entitlement, and every grant that depends on it, has expired.
// Afterwards this member does not campaign for resignBackoff.
func (e *Elector) Resign(term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leadingTerm == term && term != 0 {
		e.resigning = true
	}
}

// resignStatus reports whether the member is resigning, and how long its lease
// still lasts.
func (e *Elector) resignStatus() (left time.Duration, resigning bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Until(e.leaseUntil), e.resigning
}

// keepLease renews the lease until it is gone, a later term is observed, or the
// member has resigned and the entitlement has expired. In an outage without
// promises the entitlement lapses but the term goes on: the store extends leases
// to their full ttl after an outage, so the same term resumes if a renewal
// succeeds. Only the store can confirm that, not a sibling.
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

// renewInterval is how long after a renewal the lease is renewed again.
func (e *Elector) renewInterval() time.Duration { return e.ttl / renewalsPerLease }

// renewLease renews the lease once and returns how long to wait before the next
// renewal; ended reports that the lease is gone. If the renewal fails while the
// member is entitled, it asks the siblings for promises.
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

// markRenewed notes that a renewal that was sent at start has succeeded.
func (e *Elector) markRenewed(start time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaseUntil = start.Add(e.ttl - e.clockMargin())
	e.view.StoreRespondedAt = time.Now()
}
