package control

import (
	"errors"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/state"
)

// resultsInterval is the minimum time between transactions of results.
const resultsInterval = time.Second

// results stores the results of completed tasks and deletes them when their job has
// ended.
type results struct {
	*core
	recordWriter *recordWriter

	unstored map[*job.Job][]*fleet.Slot // placements of completed tasks whose results are not durable yet
	// storing is set while a transaction of results is in progress.
	storing     bool
	nextStoreAt time.Time
	// obsoleteKeys are stored keys that are no longer needed.
	obsoleteKeys []string
	// deleting is set while a transaction that deletes obsolete keys is in progress.
	deleting bool
}

func newResults(co *core) *results {
	return &results{core: co, unstored: map[*job.Job][]*fleet.Slot{}}
}

// reset discards the obsolete keys found by a load that failed halfway.
func (rs *results) reset() { rs.obsoleteKeys = nil }

// addCompleted records a placement whose task has completed. Its exit is settled once
// the result is durable.
func (rs *results) addCompleted(slot *fleet.Slot) {
	slot.Settled = false
	rs.unstored[slot.Job] = append(rs.unstored[slot.Job], slot)
}

// discard settles the exits of a job whose end is durable, and schedules the deletion
// of its results.
func (rs *results) discard(j *job.Job) {
	for _, slot := range rs.unstored[j] {
		slot.Settled = true
	}
	delete(rs.unstored, j)
	for _, index := range j.StoredChunks() {
		rs.deleteLater(j.ChunkKey(index))
	}
}

// deleteLater schedules a key for deletion while the write budget is idle.
func (rs *results) deleteLater(key string) { rs.obsoleteKeys = append(rs.obsoleteKeys, key) }

// deleteObsolete deletes obsolete keys while the write budget is idle. A job's results
// are not deleted in the transaction that writes its final record, to keep that
// transaction small.
func (rs *results) deleteObsolete() {
	if rs.deleting || len(rs.obsoleteKeys) == 0 || !rs.controller.State.WritesIdle(rs.recordWriter.maxWrites()) {
		return
	}
	keys := rs.obsoleteKeys[:min(len(rs.obsoleteKeys), rs.recordWriter.maxWrites())]
	var writes []state.Write
	for _, key := range keys {
		writes = append(writes, state.Write{Delete: key})
	}
	rs.deleting = true
	rs.recordWriter.write(writes, func(err error) {
		rs.deleting = false
		rs.recordWriter.shrinkIfRejected(err)
		if err == nil {
			rs.obsoleteKeys = rs.obsoleteKeys[len(keys):]
		}
	})
}

// chunkID identifies one chunk of a job's results.
type chunkID struct {
	job   *job.Job
	index int
}

// key returns the key under which the chunk is stored.
func (id chunkID) key() string { return id.job.ChunkKey(id.index) }

// resultsTxn is a transaction of results, with the placements whose exits it
// settles.
type resultsTxn struct {
	txn    state.Txn
	chunks []chunkID
	slots  map[*job.Job][]*fleet.Slot
}

// storeCompleted stores results, so that the workers may discard the exits. The
// transaction is conditional on the version of each chunk: if one without a response
// were executed after a newer one, results would be lost and their tasks would run
// again under the next leader.
func (rs *results) storeCompleted(now time.Time) {
	if rs.storing || now.Before(rs.nextStoreAt) || rs.controller.State.SpareWrites() < rs.recordWriter.maxWrites() {
		return
	}
	transaction := rs.nextTransaction()
	if len(transaction.chunks) == 0 {
		return
	}
	rs.storing = true
	rs.nextStoreAt = now.Add(resultsInterval)
	go func() {
		versions, err := rs.commit(transaction)
		rs.enqueue(func() { rs.handleStored(transaction, versions, err) })
	}()
}

// nextTransaction builds a transaction with the results of as many jobs as fit into it.
func (rs *results) nextTransaction() *resultsTxn {
	transaction := &resultsTxn{
		txn:   state.Txn{If: []state.Condition{rs.fence}},
		slots: map[*job.Job][]*fleet.Slot{},
	}
	for j := range rs.unstored {
		if j.EndingPhase != "" || j.Phase != "" {
			continue
		}
		dirty := j.DirtyChunks()
		if n := len(transaction.txn.Writes); len(dirty) == 0 || (n > 0 && n+len(dirty) > rs.recordWriter.maxWrites()) {
			continue
		}
		for _, index := range dirty {
			transaction.addChunk(chunkID{job: j, index: index})
		}
		transaction.slots[j] = rs.unstored[j]
		delete(rs.unstored, j)
	}
	return transaction
}

// addChunk adds the write of a chunk. It skips a chunk that cannot be encoded.
func (t *resultsTxn) addChunk(id chunkID) {
	write, err := state.Put(id.key(), id.job.EncodeChunk(id.index))
	if err != nil {
		return
	}
	version := id.job.ChunkVersion(id.index)
	id.job.SetChunkVersion(id.index, version) // the chunk may be stored from the moment the commit is sent
	t.chunks = append(t.chunks, id)
	t.txn.Writes = append(t.txn.Writes, write)
	t.txn.If = append(t.txn.If, state.Condition{Key: write.Put, Version: version})
}

// commit runs the transaction once. It returns the versions that the chunks have
// afterwards, as far as they are known.
func (rs *results) commit(transaction *resultsTxn) (versions map[chunkID]uint64, err error) {
	version, err := rs.controller.State.Commit(rs.ctx, transaction.txn)
	if err != nil {
		rs.sleep(commitRetryPause)
	}
	versions = map[chunkID]uint64{}
	for _, id := range transaction.chunks {
		switch {
		case err == nil:
			versions[id] = version
		case errors.Is(err, state.ErrConflict):
			if current, known := rs.recordWriter.readVersion(id.key()); known {
				versions[id] = current
			}
		}
	}
	return versions, err
}

// handleStored applies the outcome of a transaction: it settles the exits whose results
// are stored, and has the other results stored again.
func (rs *results) handleStored(transaction *resultsTxn, versions map[chunkID]uint64, err error) {
	rs.storing = false
	rs.recordWriter.shrinkIfRejected(err)
	for id, version := range versions {
		id.job.SetChunkVersion(id.index, version)
	}
	if err == nil {
		for _, slots := range transaction.slots {
			for _, slot := range slots {
				slot.Settled = true
			}
		}
		return
	}
	for _, id := range transaction.chunks {
		id.job.MarkChunkDirty(id.index)
	}
	for j, slots := range transaction.slots {
		rs.unstored[j] = append(rs.unstored[j], slots...)
	}
}
