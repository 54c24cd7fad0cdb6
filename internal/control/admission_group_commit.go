package control

import (
	"errors"
	"slices"
	"time"

	"vetchstream/internal/state"
)

// moveRetryDelay is the wait before finished entries of a group are moved again after
// a conflict.
const moveRetryDelay = time.Second

// groupCommit is a transaction that writes a group's record on its version. Each group
// has one at a time, and only an entitled leader writes groups: a version that has
// changed is the work of an earlier, unclear try of this very transaction.
type groupCommit struct {
	gs    *admissionGroups
	group *admissionGroup
	txn   state.Txn
	// version is that of the group before the transaction.
	version uint64
	// moveConds are the conditions of a move: no active record of the moved jobs; none
	// for a transaction that stores ends.
	moveConds []state.Condition
	// deletes: the transaction deletes the group's record.
	deletes  bool
	onStored func()
}

// commitGroup writes a group's record; the last of writes is that of the record
// itself. It tries until the outcome is known and then calls onStored on the actor. A
// move that cannot be made as it is is given up, and made anew later.
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

// run tries the transaction until its outcome is known or the term ends.
func (gc *groupCommit) run() {
	gs := gc.gs
	outcomeUnknown := false // an earlier try may have been applied
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

// resolveConflict finds out why a condition failed, and reports whether the
// transaction needs no other try. unclear: an earlier try may have been applied.
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
		// A job was admitted twice: its active record is deleted before the move.
		gs.enqueueForUser(func() {
			for _, cond := range gc.moveConds {
				if slices.Contains(conflict.Failed, cond.Key) {
					gs.results.deleteLater(cond.Key)
				}
			}
			gc.postponeMove()
		})
		return true
	}
	return false
}

// finish has the actor apply a transaction that was stored at the version.
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

// postponeMove gives up a move that cannot be made as it is. It is called on the
// actor.
func (gc *groupCommit) postponeMove() {
	gc.group.writing = false
	gc.gs.moving = false
	gc.group.noMoveBefore = time.Now().Add(moveRetryDelay)
}
