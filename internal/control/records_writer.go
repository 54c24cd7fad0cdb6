package control

import (
	"errors"

	"vetchstream/internal/state"
)

// recordWriter runs the leader's transactions, and adapts their size to what the
// state service accepts.
type recordWriter struct {
	*core
	registry *registry

	maxBatch int // most writes in one transaction
}

// maxWrites is the most writes that a transaction may have.
func (wr *recordWriter) maxWrites() int { return wr.maxBatch }

// shrinkIfRejected halves the size of transactions if the state service has rejected
// one: its limits may be tighter than the settings say, and sending the same
// transaction again would stop all placement.
func (wr *recordWriter) shrinkIfRejected(err error) {
	if errors.Is(err, state.ErrRejected) && (wr.maxBatch > 1 || wr.registry.canShrinkPages()) {
		wr.maxBatch = max(1, wr.maxBatch/2)
		wr.registry.shrinkPages()
		wr.log.Error("key-value store rejected a transaction, reducing the batch size", "max_writes", wr.maxBatch, "error", err)
	}
}

// write runs a fenced transaction once and calls then with its outcome on the actor.
// The writes may be repeated safely: only this term can make them.
func (wr *recordWriter) write(writes []state.Write, then func(error)) {
	go func() {
		_, err := wr.controller.State.Commit(wr.ctx, state.Txn{If: []state.Condition{wr.fence}, Writes: writes})
		if err != nil {
			wr.sleep(commitRetryPause)
		}
		wr.enqueue(func() { then(err) })
	}()
}

// readVersion reads the version of a key, 0 if it is absent; known is false if the
// state service does not answer.
func (wr *recordWriter) readVersion(key string) (version uint64, known bool) {
	entry, err := wr.controller.State.Get(wr.ctx, key)
	return entry.Version, err == nil || errors.Is(err, state.ErrNotFound)
}
