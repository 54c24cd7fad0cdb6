package control

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"vetchstream/internal/autoscale"
	"vetchstream/internal/config"
	"vetchstream/internal/election"
	"vetchstream/internal/metrics"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// Deps are a controller's dependencies.
type Deps struct {
	Settings *config.Settings
	Tuning   *config.Tuning
	State    *state.Client
	Cloud    *autoscale.Cloud
	Dial     state.DialFunc
	Log      *slog.Logger
	Meter    *metrics.Meter // nil: off
	// Entitled reports whether this node may act for the term now.
	Entitled func(term uint64) bool
	// Remaining is how long the node stays entitled without another renewal.
	Remaining func(term uint64) time.Duration
	// Deposed is called with a later term that a worker has seen.
	Deposed func(term uint64)
	// Follow asks the leader of the home region from another region.
	Follow FollowFunc
}

// Controller answers for the cluster while its node leads.
type Controller struct {
	Deps
	directClient *http.Client
	groups       groupReader

	mu         sync.Mutex
	leaderTerm *leaderTerm
	types      []wire.MachineType // the last price list, kept over terms
}

// New makes a controller that does not lead yet.
func New(deps Deps) *Controller {
	maxCalls := MaxDirectCalls(deps.Settings.Facts.Resources.MaxSockets)
	return &Controller{
		Deps:         deps,
		groups:       groupReader{state: deps.State},
		directClient: DirectClient(deps.Dial, maxCalls),
	}
}

// Shares of the state service's limits, by role: nearly all requests are the
// leader's, the other nodes read for users and watch. Together they stay below the
// limits, so that a storm of users at all nodes does not get the leader's own
// requests refused. What is left is the election's.
const (
	leaderReadShare    = 0.55
	leaderWriteShare   = 0.75
	followerReadShare  = 0.18
	followerWriteShare = 0.1
)

// StateBudget is a node's share of the state service's limits.
func StateBudget(settings *config.Settings, leads bool) state.Budget {
	reads := followerReadShare
	writes := followerWriteShare
	if leads {
		reads = leaderReadShare
		writes = leaderWriteShare
	}
	return state.Budget{RPS: reads * settings.Facts.State.RPS, WriteRPS: writes * settings.Facts.State.WriteRPS}
}

// Lead runs one leader term until its context ends.
func (c *Controller) Lead(ctx context.Context, term election.Term) {
	c.State.SetBudget(StateBudget(c.Settings, true))
	defer c.State.SetBudget(StateBudget(c.Settings, false))
	lt := newLeaderTerm(ctx, c, term)
	c.setCurrentTerm(lt)
	c.Meter.Set(metrics.Leading, 1)
	lt.run()
	c.Meter.Set(metrics.Leading, 0)
	c.setCurrentTerm(nil)
}

// setCurrentTerm publishes the term that the node leads; nil: none.
func (c *Controller) setCurrentTerm(lt *leaderTerm) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderTerm = lt
}

// currentTerm is the term that the node leads; nil: it does not lead.
func (c *Controller) currentTerm() *leaderTerm {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaderTerm
}

// Leading reports whether the node leads and is entitled to.
func (c *Controller) Leading() bool {
	lt := c.currentTerm()
	return lt != nil && c.Entitled(lt.term)
}
