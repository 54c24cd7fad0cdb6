package control

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/election"
	"vetchstream/internal/fleet"
	"vetchstream/internal/state"
)

// inboxSize is the capacity of each of the actor's inboxes.
const inboxSize = 256

// core is what all parts of a leader term share: the term and its start, the
// actor's inboxes, and the ledger of what may be on each machine (package fleet,
// which only the actor may touch).
type core struct {
	controller *Controller
	ctx        context.Context // ends with the term
	log        *slog.Logger
	debug      bool // whether debug lines are logged; building them costs time
	term       uint64
	// fence is the condition of every transaction of this leader: no later term
	// has begun.
	fence          state.Condition
	termStart      time.Time
	lastLeaderSeen time.Time // last sign of the previous leader; zero: unknown
	// inbox queues heartbeats and the results of background work.
	inbox chan func()
	// userInbox queues requests that users wait for. It is served first: hundreds
	// of heartbeats can be queued where the processor is short.
	userInbox     chan func()
	fleet         *fleet.Fleet
	planRequested bool // something has changed that the planner may use
}

// newCore makes the shared part of a term.
func newCore(ctx context.Context, controller *Controller, term election.Term) *core {
	return &core{
		controller:     controller,
		ctx:            ctx,
		log:            controller.Log.With("term", term.Number),
		debug:          controller.Log.Enabled(ctx, slog.LevelDebug),
		term:           term.Number,
		fence:          state.Condition{Key: election.KeyTerm, Version: term.TermVersion},
		termStart:      term.Since,
		lastLeaderSeen: term.LeaderHeardAt,
		inbox:          make(chan func(), inboxSize),
		userInbox:      make(chan func(), inboxSize),
		fleet:          newFleet(term.Number, controller.Settings),
	}
}

// newFleet makes the ledger of a term.
func newFleet(term uint64, set *config.Settings) *fleet.Fleet {
	w := &set.Facts.Workers
	return fleet.New(term, config.Seconds(w.LeaseS), config.Seconds(w.CancelS))
}

// enqueue hands a function to the actor's goroutine; it is dropped when the term
// ends.
func (c *core) enqueue(f func()) {
	select {
	case c.inbox <- f:
	case <-c.ctx.Done():
	}
}

// enqueueForUser is enqueue for results that a user waits for.
func (c *core) enqueueForUser(f func()) {
	select {
	case c.userInbox <- f:
	case <-c.ctx.Done():
	}
}

// sleep waits for d, or until the term ends.
func (c *core) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c.ctx.Done():
	case <-t.C:
	}
}

// commitRetryPause spaces the retries of a transaction whose outcome is unclear.
const commitRetryPause = 200 * time.Millisecond

// commitUntilSettled commits a transaction under the term and retries until its
// outcome is clear. It returns the new version of key; was is the version before.
// Only an entitled leader writes the key, so a version of it that has changed is
// the work of an unclear try of this very transaction. The error is
// state.ErrRejected or the context's error at the end of the term.
func (c *core) commitUntilSettled(key string, was uint64, conds []state.Condition, writes []state.Write) (version uint64, err error) {
	txn := state.Txn{If: append([]state.Condition{c.fence}, conds...), Writes: writes}
	for c.ctx.Err() == nil {
		version, err = c.controller.State.Commit(c.ctx, txn)
		if errors.Is(err, state.ErrConflict) {
			if e, gerr := c.controller.State.Get(c.ctx, key); gerr == nil && e.Version != was {
				version, err = e.Version, nil
			}
		}
		if err == nil || errors.Is(err, state.ErrRejected) {
			return version, err
		}
		c.sleep(commitRetryPause)
	}
	return 0, c.ctx.Err()
}

// heartbeatInterval is the interval of the workers' heartbeats.
func (c *core) heartbeatInterval() time.Duration {
	return config.Seconds(c.controller.Settings.Facts.Workers.ReportS)
}

// requestPlan asks the planner for a new plan.
func (c *core) requestPlan() { c.planRequested = true }
