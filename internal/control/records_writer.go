package control

import (
	"errors"
	"time"

	"vetchstream/internal/state"
)

// recordWriter runs the leader's transactions and knows how large the state service
// lets them be.
type recordWriter struct {
	*core
	registry *registry

	batch int // writes in one transaction
}

// maxWrites is the most writes that a transaction may have.
func (wr *recordWriter) maxWrites() int { return wr.batch }

// shrinkIfRejected halves the batches when the state service rejects one: its limits may
// have become tighter than the settings say, and the same transaction again
// would stop all placing.
func (wr *recordWriter) shrinkIfRejected(err error) {
	if errors.Is(err, state.ErrRejected) && (wr.batch > 1 || wr.registry.canShrinkPages()) {
		wr.batch = max(1, wr.batch/2)
		wr.registry.shrinkPages()
		wr.log.Error("state service rejects a transaction, making them smaller", "writes", wr.batch, "error", err)
	}
}

// write runs a fenced transaction and hands its outcome to the actor. The
// writes may be repeated safely: only this term can make them.
func (wr *recordWriter) write(writes []state.Write, then func(error)) {
	go func() {
		_, err := wr.c.State.Commit(wr.ctx, state.Txn{If: []state.Condition{wr.fence}, Writes: writes})
		if err != nil {
			wr.pause(200 * time.Millisecond)
		}
		wr.post(func() { then(err) })
	}()
}
