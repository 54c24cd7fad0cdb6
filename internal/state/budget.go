package state

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// Budget is this node's share of the service's rate limits; the zero value means
// unbounded.
type Budget struct {
	RPS      float64 // requests per second
	WriteRPS float64 // writes per second
}

const (
	// minBudgetFraction is the lowest fraction of the budget to fall back to.
	minBudgetFraction = 0.1
	// reduceFactor and raiseFactor are the steps of the fraction.
	reduceFactor = 0.5
	raiseFactor  = 1.25
	// minReduceInterval and minRaiseInterval are the least times between steps: one burst
	// of refusals counts once, and the budget recovers more slowly than it falls.
	minReduceInterval = 500 * time.Millisecond
	minRaiseInterval  = 2 * time.Second
	// minReadBurst and minWriteBurst are the least that the limiters let through at
	// once.
	minReadBurst  = 1
	minWriteBurst = 12
	// idleBurstFraction is the fraction of the write burst that is idle enough for
	// background work whatever its size.
	idleBurstFraction = 0.95
)

// reduceBudget halves the budget when the service refuses requests for their rate: at
// the same rate the lease renewals would be refused along with everything else.
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

// raiseBudget raises the budget again, one step at a time, while requests are served.
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

// applyBudget sets the limiters' rates; the caller holds the lock.
func (c *Client) applyBudget() {
	c.reads.SetLimit(rate.Limit(c.budgetFraction * c.budget.RPS))
	c.writes.SetLimit(rate.Limit(c.budgetFraction * c.budget.WriteRPS))
}

// bursts is how many reads and writes the limiters let through at once.
func (b Budget) bursts() (reads, writes int) {
	reads = max(minReadBurst, int(b.RPS/2))
	writes = max(minWriteBurst, int(b.WriteRPS/2))
	return reads, writes
}

// SetBudget changes the node's share of the rate limits: a leader needs more than
// the other nodes.
func (c *Client) SetBudget(b Budget) {
	reads, writes := b.bursts()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget = b
	c.applyBudget()
	c.reads.SetBurst(reads)
	c.writes.SetBurst(writes)
}

// adjustBudget narrows the budget on a refusal for the rate and widens it on
// any other answer.
func (c *Client) adjustBudget(status int, now time.Time) {
	if status == http.StatusTooManyRequests {
		c.reduceBudget(now)
	} else {
		c.raiseBudget(now)
	}
}

// SpareWrites is the number of writes that the budget has left at the moment.
// Background work checks it first, to leave the budget to users' requests.
func (c *Client) SpareWrites() int { return int(c.writes.Tokens()) }

// WritesIdle reports whether the write budget is unused at the moment: it has room for
// two transactions of that many writes, or is nearly full. Without the second
// case a service of few writes per second would never have any background work.
func (c *Client) WritesIdle(writes int) bool { return c.writes.Tokens() >= c.idleThreshold(writes) }

// idleThreshold is how many writes the budget must have left to be idle.
func (c *Client) idleThreshold(writes int) float64 {
	return min(2*float64(writes), idleBurstFraction*float64(c.writes.Burst()))
}
