package control

import (
	"errors"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/state"
)

// resultsInterval is the least time between transactions of results.
const resultsInterval = time.Second

// results stores the results of completed tasks, and deletes them when their job is
// over.
type results struct {
	*core
	recordWriter *recordWriter

	unstored map[*job.Job][]*fleet.Slot // completed, and not durable yet
	// storing: a transaction of results is under way.
	storing     bool
	nextStoreAt time.Time
	// obsoleteKeys are stored keys that are of no use any more.
	obsoleteKeys []string
	// deleting: a transaction that deletes obsolete keys is under way.
	deleting bool
}

func newResults(co *core) *results {
	return &results{core: co, unstored: map[*job.Job][]*fleet.Slot{}}
}

// reset forgets the obsolete keys that a load which failed half-way has found.
func (rs *results) reset() { rs.obsoleteKeys = nil }

// addCompleted records a placement whose task is done; its exit is settled once the
// result is durable.
func (rs *results) addCompleted(s *fleet.Slot) {
	s.Settled = false
	rs.unstored[s.Job] = append(rs.unstored[s.Job], s)
}

// discard settles the exits of a job that is durably over, and has its results
// deleted.
func (rs *results) discard(j *job.Job) {
	for _, s := range rs.unstored[j] {
		s.Settled = true
	}
	delete(rs.unstored, j)
	for _, index := range j.SavedChunks() {
		rs.deleteLater(j.ChunkKey(index))
	}
}

// deleteLater has a key deleted when the budget is idle.
func (rs *results) deleteLater(key string) { rs.obsoleteKeys = append(rs.obsoleteKeys, key) }

// deleteObsolete deletes obsolete keys while the budget is idle. The results of a job
// are not deleted with the write of its final record, to keep that transaction small.
func (rs *results) deleteObsolete() {
	if rs.deleting || len(rs.obsoleteKeys) == 0 || !rs.controller.State.Idle(rs.recordWriter.maxWrites()) {
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

// chunkID names one chunk of a job's results.
type chunkID struct {
	job   *job.Job
	index int
}

// key is where the chunk is stored.
func (id chunkID) key() string { return id.job.ChunkKey(id.index) }

// resultsTxn is a transaction of results, with the placements whose exits it
// settles.
type resultsTxn struct {
	txn    state.Txn
	chunks []chunkID
	slots  map[*job.Job][]*fleet.Slot
}

// storeCompleted stores results, so that the workers may forget the exits. The
// transaction is conditional on each chunk's version: if one that had no response
// were executed after a newer one, results would be lost and their tasks would run
// again under the next leader.
func (rs *results) storeCompleted(now time.Time) {
	if rs.storing || now.Before(rs.nextStoreAt) || rs.controller.State.SpareWrites() < rs.recordWriter.maxWrites() {
		return
	}
	t := rs.nextTransaction()
	if len(t.chunks) == 0 {
		return
	}
	rs.storing = true
	rs.nextStoreAt = now.Add(resultsInterval)
	go func() {
		found, err := rs.commit(t)
		rs.enqueue(func() { rs.handleStored(t, found, err) })
	}()
}

// nextTransaction makes a transaction of as many jobs' results as fit into one.
func (rs *results) nextTransaction() *resultsTxn {
	t := &resultsTxn{
		txn:   state.Txn{If: []state.Condition{rs.fence}},
		slots: map[*job.Job][]*fleet.Slot{},
	}
	for j := range rs.unstored {
		if j.Closing != "" || j.Phase != "" {
			continue
		}
		dirty := j.DirtyChunks()
		if n := len(t.txn.Writes); len(dirty) == 0 || (n > 0 && n+len(dirty) > rs.recordWriter.maxWrites()) {
			continue
		}
		for _, index := range dirty {
			t.addChunk(chunkID{job: j, index: index})
		}
		t.slots[j] = rs.unstored[j]
		delete(rs.unstored, j)
	}
	return t
}

// addChunk adds the write of a chunk. One that does not encode is left out.
func (t *resultsTxn) addChunk(id chunkID) {
	write, err := state.Put(id.key(), id.job.TakeChunk(id.index))
	if err != nil {
		return
	}
	version := id.job.ChunkVersion(id.index)
	id.job.MarkChunkSaved(id.index, version) // it may be stored from the moment the commit is sent
	t.chunks = append(t.chunks, id)
	t.txn.Writes = append(t.txn.Writes, write)
	t.txn.If = append(t.txn.If, state.Condition{Key: write.Put, Version: version})
}

// commit runs the transaction once, and returns the versions that the chunks then
// have, as far as they are known.
func (rs *results) commit(t *resultsTxn) (found map[chunkID]uint64, err error) {
	version, err := rs.controller.State.Commit(rs.ctx, t.txn)
	if err != nil {
		rs.sleep(commitRetryPause)
	}
	found = map[chunkID]uint64{}
	for _, id := range t.chunks {
		switch {
		case err == nil:
			found[id] = version
		case errors.Is(err, state.ErrConflict):
			if current, known := rs.recordWriter.readVersion(id.key()); known {
				found[id] = current
			}
		}
	}
	return found, err
}

// handleStored applies the outcome of a transaction: exits whose results are stored
// are settled, results that are not are stored again.
func (rs *results) handleStored(t *resultsTxn, found map[chunkID]uint64, err error) {
	rs.storing = false
	rs.recordWriter.shrinkIfRejected(err)
	for id, version := range found {
		id.job.MarkChunkSaved(id.index, version)
	}
	if err == nil {
		for _, slots := range t.slots {
			for _, s := range slots {
				s.Settled = true
			}
		}
		return
	}
	for _, id := range t.chunks {
		id.job.MarkChunkDirty(id.index)
	}
	for j, slots := range t.slots {
		rs.unstored[j] = append(rs.unstored[j], slots...)
	}
}
