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

// Deps contains the dependencies of a Controller.
type Deps struct {
	Settings *config.Settings
	Tuning   *config.Tuning
	State    *state.Client
	Cloud    *autoscale.Cloud
	Dial     state.DialFunc
	Log      *slog.Logger
	Meter    *metrics.Meter // nil disables metrics
	// Entitled reports whether this node may act for the term now.
	Entitled func(term uint64) bool
	// Remaining returns how long the node stays entitled without another lease renewal.
	Remaining func(term uint64) time.Duration
	// Deposed is called when a worker reports a later term.
	Deposed func(term uint64)
	// Follow sends a request to the leader of the home region.
	Follow FollowFunc
}

// Controller handles the cluster's requests. While its node leads, it runs a leader term.
type Controller struct {
	Deps
	directClient *http.Client
	groups       groupReader

	mu         sync.Mutex
	leaderTerm *leaderTerm
	types      []wire.MachineType // the latest price list, retained across terms
}

// New creates a controller that does not lead yet.
func New(deps Deps) *Controller {
	maxCalls := MaxDirectCalls(deps.Settings.Facts.Resources.MaxSockets)
	return &Controller{
		Deps:         deps,
		groups:       groupReader{state: deps.State},
		directClient: DirectClient(deps.Dial, maxCalls),
	}
}

// Shares of the key-value store's rate limits by role. The leader sends nearly all
// requests; followers read for users and watch. The sum stays below the limits, so that a
// surge of user requests at all nodes does not cause the leader's requests to be refused.
// The rest is reserved for the election.
const (
	leaderReadShare    = 0.55
	leaderWriteShare   = 0.75
	followerReadShare  = 0.18
	followerWriteShare = 0.1
)

// StateBudget returns a node's share of the key-value store's rate limits.
func StateBudget(settings *config.Settings, leads bool) state.Budget {
	reads := followerReadShare
	writes := followerWriteShare
	if leads {
		reads = leaderReadShare
		writes = leaderWriteShare
	}
	return state.Budget{RPS: reads * settings.Facts.State.RPS, WriteRPS: writes * settings.Facts.State.WriteRPS}
}

// Lead runs a leader term until ctx is cancelled.
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

// setCurrentTerm publishes the term that the node leads, or nil if it does not lead.
func (c *Controller) setCurrentTerm(lt *leaderTerm) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderTerm = lt
}

// currentTerm returns the term that the node leads, or nil if it does not lead.
func (c *Controller) currentTerm() *leaderTerm {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaderTerm
}

// Leading reports whether the node leads and is entitled to act as leader.
func (c *Controller) Leading() bool {
	lt := c.currentTerm()
	return lt != nil && c.Entitled(lt.term)
}
