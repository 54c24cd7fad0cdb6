package state

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// Budget is this node's share of the service's rate limits. The zero value means that
// the node's requests are not limited.
type Budget struct {
	RPS      float64 // requests per second
	WriteRPS float64 // writes per second
}

const (
	// minBudgetFraction is the lower bound of the fraction of the budget in use.
	minBudgetFraction = 0.1
	// reduceFactor and raiseFactor multiply the fraction at each step.
	reduceFactor = 0.5
	raiseFactor  = 1.25
	// minReduceInterval and minRaiseInterval are the minimum times between steps. A burst
	// of refusals thus causes only one step, and the budget is raised more slowly than it
	// is reduced.
	minReduceInterval = 500 * time.Millisecond
	minRaiseInterval  = 2 * time.Second
	// minReadBurst and minWriteBurst are the minimum bursts of the limiters.
	minReadBurst  = 1
	minWriteBurst = 12
	// idleBurstFraction is the fraction of the write burst at which the budget counts as
	// idle, however small the burst is.
	idleBurstFraction = 0.95
)

// reduceBudget halves the budget in use after the service has refused a request because
// of the request rate. At an unchanged rate the service would refuse lease renewals as
// well.
func (c *Client) reduceBudget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.budget == (Budget{}) || now.Sub(c.budgetChangedAt) < minReduceInterval {
		return
	}
	c.budgetFraction = max(minBudgetFraction, c.budgetFraction*reduceFactor)
	c.budgetChangedAt = now
	c.applyBudget()
}

// raiseBudget raises the budget in use by one step after a request was not refused
// because of the request rate.
func (c *Client) raiseBudget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.budgetFraction >= 1 || now.Sub(c.budgetChangedAt) < minRaiseInterval {
		return
	}
	c.budgetFraction = min(1, c.budgetFraction*raiseFactor)
	c.budgetChangedAt = now
	c.applyBudget()
}

// applyBudget sets the rates of the limiters. The caller holds c.mu.
func (c *Client) applyBudget() {
	c.reads.SetLimit(rate.Limit(c.budgetFraction * c.budget.RPS))
	c.writes.SetLimit(rate.Limit(c.budgetFraction * c.budget.WriteRPS))
}

// bursts returns the burst sizes of the read limiter and the write limiter.
func (b Budget) bursts() (reads, writes int) {
	reads = max(minReadBurst, int(b.RPS/2))
	writes = max(minWriteBurst, int(b.WriteRPS/2))
	return reads, writes
}

// SetBudget changes the node's share of the rate limits. A leader needs a larger share
// than the other nodes.
func (c *Client) SetBudget(b Budget) {
	reads, writes := b.bursts()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget = b
	c.applyBudget()
	c.reads.SetBurst(reads)
	c.writes.SetBurst(writes)
}

// adjustBudget reduces the budget in use if the response has status 429 (too many
// requests), and raises it otherwise.
func (c *Client) adjustBudget(status int, now time.Time) {
	if status == http.StatusTooManyRequests {
		c.reduceBudget(now)
	} else {
		c.raiseBudget(now)
	}
}

// SpareWrites returns the number of writes that the budget allows at the moment.
// Background work checks it before it writes, so that users' requests have priority.
func (c *Client) SpareWrites() int { return int(c.writes.Tokens()) }

// WritesIdle reports whether the write budget is idle at the moment: it allows two
// transactions of the given number of writes, or it is nearly full. Without the second
// condition background work would never run if the service allows only few writes per
// second.
func (c *Client) WritesIdle(writes int) bool { return c.writes.Tokens() >= c.idleThreshold(writes) }

// idleThreshold returns the number of writes that an idle budget allows at least.
func (c *Client) idleThreshold(writes int) float64 {
	return min(2*float64(writes), idleBurstFraction*float64(c.writes.Burst()))
}
