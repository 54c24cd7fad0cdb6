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

// size is the most writes that a transaction may have.
func (wr *recordWriter) size() int { return wr.batch }

// smaller halves the batches when the state service rejects one: its limits may
// have become tighter than the settings say, and the same transaction again
// would stop all placing.
func (wr *recordWriter) smaller(err error) {
	if errors.Is(err, state.ErrRejected) && (wr.batch > 1 || wr.registry.loose()) {
		wr.batch = max(1, wr.batch/2)
		wr.registry.tighten()
		wr.log.Error("state service rejects a transaction, making them smaller", "writes", wr.batch, "error", err)
	}
}

// write runs a fenced transaction and hands its outcome to the actor. The
// writes may be repeated safely: only this term can make them.
func (wr *recordWriter) write(writes []state.Write, then func(error)) {
	go func() {
		_, err := wr.controller.State.Commit(wr.ctx, state.Txn{If: []state.Cond{wr.fence}, Writes: writes})
		if err != nil {
			wr.sleep(200 * time.Millisecond)
		}
		wr.enqueue(func() { then(err) })
	}()
}
