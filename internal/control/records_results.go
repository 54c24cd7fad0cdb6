package control

import (
	"errors"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/state"
)

// results holds what has completed until it is durable, and drops it when its job
// is over.
type results struct {
	*core
	recordWriter *recordWriter

	unstored map[*job.Job][]*fleet.Slot // done, and not durable yet
	orphans  []string                   // keys that are of no use any more
	dropping bool
	flushAt  time.Time
	flushing bool
}

func newResults(co *core) *results {
	return &results{core: co, unstored: map[*job.Job][]*fleet.Slot{}}
}

// reset forgets what a load that failed half-way has found.
func (rs *results) reset() { rs.orphans = nil }

// add notes a placement whose task is done; its exit is settled once that is
// durable.
func (rs *results) add(s *fleet.Slot) {
	s.Settled = false
	rs.unstored[s.Job] = append(rs.unstored[s.Job], s)
}

// over settles what is left of a job that is durably over: its results are of no
// use any more.
func (rs *results) over(j *job.Job) {
	for _, s := range rs.unstored[j] {
		s.Settled = true
	}
	delete(rs.unstored, j)
	for _, c := range j.SavedChunks() {
		rs.drop(j.ChunkKey(c))
	}
}

// drop deletes a key when there is nothing better to do.
func (rs *results) drop(key string) { rs.orphans = append(rs.orphans, key) }

// tidy drops results of jobs that are over. It comes after the final record and
// apart from it, so that ending a job takes a small transaction.
func (rs *results) tidy() {
	if rs.dropping || len(rs.orphans) == 0 || !rs.controller.State.Idle(rs.recordWriter.size()) {
		return
	}
	keys := rs.orphans[:min(len(rs.orphans), rs.recordWriter.size())]
	var writes []state.Write
	for _, k := range keys {
		writes = append(writes, state.Write{Delete: k})
	}
	rs.dropping = true
	rs.recordWriter.write(writes, func(err error) {
		rs.dropping = false
		rs.recordWriter.smaller(err)
		if err == nil {
			rs.orphans = rs.orphans[len(keys):]
		}
	})
}

// chunk is a part of a job's results.
type chunk struct {
	j *job.Job
	c int
}

// resultsTxn is a transaction of results, with what it settles.
type resultsTxn struct {
	txn    state.Txn
	chunks []chunk
	settle map[*job.Job][]*fleet.Slot
}

// flush stores results, so that the workers may forget them.
func (rs *results) flush(now time.Time) {
	if rs.flushing || now.Before(rs.flushAt) || rs.controller.State.Spare() < rs.recordWriter.size() {
		return
	}
	t := rs.gather()
	if len(t.chunks) == 0 {
		return
	}
	// On each chunk's version: a try without an answer that is carried out after a newer
	// one would take results back, and their tasks would run again after a change of
	// leader.
	rs.flushing, rs.flushAt = true, now.Add(time.Second)
	go func() {
		found, err := rs.commit(t)
		rs.enqueue(func() { rs.flushed(t, found, err) })
	}()
}

// gather takes what fits into a transaction.
func (rs *results) gather() *resultsTxn {
	t := &resultsTxn{txn: state.Txn{If: []state.Cond{rs.fence}}, settle: map[*job.Job][]*fleet.Slot{}}
	for j := range rs.unstored {
		if j.Closing != "" || j.Phase != "" {
			continue
		}
		dirty := j.DirtyChunks()
		if n := len(t.txn.Writes); len(dirty) == 0 || (n > 0 && n+len(dirty) > rs.recordWriter.size()) {
			continue
		}
		for _, c := range dirty {
			w, err := state.Put(j.ChunkKey(c), j.TakeChunk(c))
			if err != nil {
				continue
			}
			v := j.ChunkVersion(c)
			j.MarkChunkSaved(c, v) // it may exist from the moment the commit is sent
			t.chunks, t.txn.Writes = append(t.chunks, chunk{j, c}), append(t.txn.Writes, w)
			t.txn.If = append(t.txn.If, state.Cond{Key: w.Put, Version: v})
		}
		t.settle[j] = rs.unstored[j]
		delete(rs.unstored, j)
	}
	return t
}

// commit runs the transaction once, and returns the versions of the chunks as far as they
// are known.
func (rs *results) commit(t *resultsTxn) (found map[chunk]uint64, err error) {
	version, err := rs.controller.State.Commit(rs.ctx, t.txn)
	found = map[chunk]uint64{}
	if err != nil {
		rs.sleep(commitRetryPause)
	}
	for _, p := range t.chunks {
		if err == nil {
			found[p] = version
			continue
		}
		if !errors.Is(err, state.ErrConflict) {
			continue
		}
		if e, gerr := rs.controller.State.Get(rs.ctx, p.j.ChunkKey(p.c)); gerr == nil || errors.Is(gerr, state.ErrNotFound) {
			found[p] = e.Version
		}
	}
	return found, err
}

// flushed takes in what has become of the transaction.
func (rs *results) flushed(t *resultsTxn, found map[chunk]uint64, err error) {
	rs.flushing = false
	rs.recordWriter.smaller(err)
	for p, v := range found {
		p.j.MarkChunkSaved(p.c, v)
	}
	if err == nil {
		for _, ss := range t.settle {
			for _, s := range ss {
				s.Settled = true
			}
		}
		return
	}
	for _, p := range t.chunks {
		p.j.MarkChunkDirty(p.c)
	}
	for j, ss := range t.settle {
		rs.unstored[j] = append(rs.unstored[j], ss...)
	}
}
