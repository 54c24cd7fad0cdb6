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

// core is the state that all parts of a leader term share: the term, the actor's
// inboxes, and the ledger of the tasks that may be on each machine (package fleet,
// which only the actor may access).
type core struct {
	controller *Controller
	ctx        context.Context // ends with the term
	log        *slog.Logger
	debug      bool // debug level is enabled; checked because building the arguments is expensive
	term       uint64
	// fence is a condition of every transaction of this leader: no later term has
	// begun.
	fence          state.Condition
	termStart      time.Time
	lastLeaderSeen time.Time // last time the previous leader was known to be active; zero if unknown
	// inbox queues heartbeats and the results of background work.
	inbox chan func()
	// userInbox queues requests that users wait for. The actor prefers it, because
	// hundreds of heartbeats can be queued when CPU time is scarce.
	userInbox     chan func()
	fleet         *fleet.Fleet
	planRequested bool // something has changed that may allow a placement
}

// newCore makes the shared state of a term.
func newCore(ctx context.Context, controller *Controller, term election.Term) *core {
	return &core{
		controller:     controller,
		ctx:            ctx,
		log:            controller.Log.With("term", term.Number),
		debug:          controller.Log.Enabled(ctx, slog.LevelDebug),
		term:           term.Number,
		fence:          state.Condition{Key: election.KeyTerm, Version: term.TermVersion},
		termStart:      term.Since,
		lastLeaderSeen: term.LastHeartbeatAt,
		inbox:          make(chan func(), inboxSize),
		userInbox:      make(chan func(), inboxSize),
		fleet:          newFleet(term.Number, controller.Settings),
	}
}

// newFleet makes the ledger of a term.
func newFleet(term uint64, settings *config.Settings) *fleet.Fleet {
	workers := &settings.Facts.Workers
	return fleet.New(term, config.Seconds(workers.LeaseS), config.Seconds(workers.CancelS))
}

// enqueue queues f for the actor. It drops f if the term has ended.
func (c *core) enqueue(f func()) {
	select {
	case c.inbox <- f:
	case <-c.ctx.Done():
	}
}

// enqueueForUser is like enqueue, for work that a user waits for.
func (c *core) enqueueForUser(f func()) {
	select {
	case c.userInbox <- f:
	case <-c.ctx.Done():
	}
}

// sleep waits for d or until the term ends.
func (c *core) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c.ctx.Done():
	case <-timer.C:
	}
}

// commitRetryPause is the pause before a transaction with an unknown outcome is
// retried.
const commitRetryPause = 200 * time.Millisecond

// commitUntilSettled commits a transaction of the term, retrying until its outcome
// is known, and returns the new version of key. oldVersion is the version of key
// before the transaction. As only an entitled leader writes key, a changed version
// shows that an earlier try of this transaction was applied. The error is
// state.ErrRejected or, at the end of the term, the context's error.
func (c *core) commitUntilSettled(key string, oldVersion uint64, conds []state.Condition, writes []state.Write) (version uint64, err error) {
	txn := state.Txn{If: append([]state.Condition{c.fence}, conds...), Writes: writes}
	for c.ctx.Err() == nil {
		version, err = c.controller.State.Commit(c.ctx, txn)
		if errors.Is(err, state.ErrConflict) {
			if entry, getErr := c.controller.State.Get(c.ctx, key); getErr == nil && entry.Version != oldVersion {
				version, err = entry.Version, nil
			}
		}
		if err == nil || errors.Is(err, state.ErrRejected) {
			return version, err
		}
		c.sleep(commitRetryPause)
	}
	return 0, c.ctx.Err()
}

// heartbeatInterval returns the interval of the workers' heartbeats.
func (c *core) heartbeatInterval() time.Duration {
	return config.Seconds(c.controller.Settings.Facts.Workers.ReportS)
}

// requestPlan requests a new plan from the planner.
func (c *core) requestPlan() { c.planRequested = true }
