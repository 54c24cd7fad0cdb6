package control

import (
	"errors"

	"vetchstream/internal/state"
)

// recordWriter runs the leader's transactions and adapts their size to what the
// key-value store accepts.
type recordWriter struct {
	*core
	registry *registry

	maxBatch int // maximum number of writes in a transaction
}

// maxWrites returns the maximum number of writes in a transaction.
func (wr *recordWriter) maxWrites() int { return wr.maxBatch }

// shrinkIfRejected halves the size limits of transactions and pages if the key-value
// store has rejected one. Its limits may be tighter than the settings state, and
// sending the same transaction again would stop all placement.
func (wr *recordWriter) shrinkIfRejected(err error) {
	if errors.Is(err, state.ErrRejected) && (wr.maxBatch > 1 || wr.registry.canShrinkPages()) {
		wr.maxBatch = max(1, wr.maxBatch/2)
		wr.registry.shrinkPages()
		wr.log.Error("key-value store rejected a transaction, reducing the batch size", "max_writes", wr.maxBatch, "error", err)
	}
}

// write runs a fenced transaction once and calls onDone with its outcome in the actor.
// The writes can be repeated safely, because only this term can make them.
func (wr *recordWriter) write(writes []state.Write, onDone func(error)) {
	go func() {
		_, err := wr.controller.State.Commit(wr.ctx, state.Txn{If: []state.Condition{wr.fence}, Writes: writes})
		if err != nil {
			wr.sleep(commitRetryPause)
		}
		wr.enqueue(func() { onDone(err) })
	}()
}

// readVersion reads the version of a key; it is 0 if the key does not exist. The result
// known is false if the key-value store did not answer.
func (wr *recordWriter) readVersion(key string) (version uint64, known bool) {
	entry, err := wr.controller.State.Get(wr.ctx, key)
	return entry.Version, err == nil || errors.Is(err, state.ErrNotFound)
}
