package control

import (
	"errors"
	"slices"
	"time"

	"vetchstream/internal/state"
)

// moveRetryDelay is the delay after a failed move before a group's finished entries are
// moved again.
const moveRetryDelay = time.Second

// groupCommit is a transaction that updates a group's record, conditional on the
// record's version. Each group has at most one in flight, and only an entitled leader
// writes groups. A changed version therefore means that an earlier try of the same
// transaction, whose outcome was unknown, has been applied.
type groupCommit struct {
	gs    *admissionGroups
	group *admissionGroup
	txn   state.Txn
	// version is the version of the group's record before the transaction.
	version uint64
	// moveConds are the additional conditions of a move: the moved jobs have no active
	// records. Empty for a transaction that stores completions.
	moveConds []state.Condition
	deletes   bool // the transaction deletes the group's record
	onStored  func()
}

// commitGroup commits writes, the last of which updates or deletes the group's own
// record. It retries until the outcome is known and then calls onStored on the actor. A
// move that cannot succeed in its current form is abandoned; a new one is composed later.
func (gs *admissionGroups) commitGroup(g *admissionGroup, moveConds []state.Condition, writes []state.Write, onStored func()) {
	g.writing = true
	conds := append([]state.Condition{gs.fence, {Key: g.key, Version: g.version}}, moveConds...)
	gc := &groupCommit{
		gs:        gs,
		group:     g,
		txn:       state.Txn{If: conds, Writes: writes},
		version:   g.version,
		moveConds: moveConds,
		deletes:   writes[len(writes)-1].Delete != "",
		onStored:  onStored,
	}
	go gc.run()
}

// isMove reports whether the transaction moves finished entries.
func (gc *groupCommit) isMove() bool { return len(gc.moveConds) > 0 }

// run retries the transaction until its outcome is known or the term ends.
func (gc *groupCommit) run() {
	gs := gc.gs
	outcomeUnknown := false // whether an earlier try may have been applied
	for gs.ctx.Err() == nil {
		version, err := gs.controller.State.Commit(gs.ctx, gc.txn)
		var conflict *state.ConflictError
		switch {
		case err == nil:
			gc.finish(version)
			return
		case errors.As(err, &conflict):
			if gc.resolveConflict(conflict, outcomeUnknown) {
				return
			}
		case errors.Is(err, state.ErrRejected):
			gs.enqueueForUser(func() { gs.recordWriter.shrinkIfRejected(err) })
			if gc.isMove() && !outcomeUnknown {
				gs.enqueueForUser(gc.postponeMove)
				return
			}
		case !errors.Is(err, state.ErrRefused):
			outcomeUnknown = true
		}
		gs.sleep(commitRetryPause)
	}
}

// resolveConflict determines why a condition failed, and reports whether the transaction
// is settled, so that run stops retrying it. outcomeUnknown tells whether an earlier try
// may have been applied.
func (gc *groupCommit) resolveConflict(conflict *state.ConflictError, outcomeUnknown bool) (resolved bool) {
	gs := gc.gs
	entry, err := gs.controller.State.Get(gs.ctx, gc.group.key)
	switch {
	case err == nil && entry.Version != gc.version:
		gc.finish(entry.Version)
		return true
	case errors.Is(err, state.ErrNotFound) && gc.deletes && outcomeUnknown:
		gc.finish(0)
		return true
	case err == nil && gc.isMove():
		// A job was admitted twice. Its active record has to be deleted before the move.
		gs.enqueueForUser(func() {
			for _, cond := range gc.moveConds {
				if slices.Contains(conflict.FailedKeys, cond.Key) {
					gs.results.deleteLater(cond.Key)
				}
			}
			gc.postponeMove()
		})
		return true
	}
	return false
}

// finish makes the actor update the group after the transaction was applied at the given
// version.
func (gc *groupCommit) finish(version uint64) {
	gs, g := gc.gs, gc.group
	gs.enqueueForUser(func() {
		g.writing = false
		g.version = version
		if gc.isMove() {
			gs.moving = false
		}
		gc.onStored()
		if len(g.jobs) == 0 {
			delete(gs.active, g)
		}
	})
}

// postponeMove abandons a move that cannot succeed in its current form, and delays the
// group's next one. It must be called on the actor.
func (gc *groupCommit) postponeMove() {
	gc.group.writing = false
	gc.gs.moving = false
	gc.group.noMoveBefore = time.Now().Add(moveRetryDelay)
}
