package control

import (
	"context"
	"errors"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"vetchstream/internal/job"
	"vetchstream/internal/metrics"
	"vetchstream/internal/rpc"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// Shares of the leader's budget of writes. A swarm of small jobs comes faster
// than their records can be stored; without shares of their own, acceptance and
// endings would leave nothing for the registry, and no task would start.
const (
	admitShare  = 0.5
	endingShare = 0.35
)

// completions moves jobs to their final phase, once and for ever, and answers for
// jobs from what is known of them.
type completions struct {
	*core
	jobTable        *jobTable
	results         *results
	taskTracker     *taskTracker
	recordWriter    *recordWriter
	admission       *admission
	admissionGroups *admissionGroups

	finals  *finalStatusCache
	waiters map[*job.Job][]func(*rpc.Reply) // who has asked to cancel
	limit   *rate.Limiter
	moves   []move // records of jobs that are over, still under the key of active ones
	moving  bool
}

func newCompletions(co *core, limit *rate.Limiter) *completions {
	return &completions{core: co, limit: limit, finals: newFinalStatusCache(4096), waiters: map[*job.Job][]func(*rpc.Reply){}}
}

// reset forgets what a load that failed half-way has found.
func (en *completions) reset() { en.moves = nil }

// remember notes how a job has ended.
func (en *completions) remember(rec *job.Record) { en.finals.put(recordStatus(rec)) }

// over reports whether a job is remembered as over.
func (en *completions) over(id string) bool {
	_, ok := en.finals.get(id)
	return ok
}

// inherit takes in a record of a job that is over and still under its active key.
func (en *completions) inherit(rec *job.Record, version uint64) {
	en.remember(rec)
	en.moves = append(en.moves, move{rec, version})
}

// move is the record of a job that is over and still under its active key.
type move struct {
	rec     *job.Record
	version uint64
}

// settleFinals moves records of jobs that are over to their own keys, when there
// is nothing better to do with the budget: the list of active jobs is what a
// successor has to read.
func (en *completions) settleFinals() {
	if en.moving || len(en.moves) == 0 || !en.c.State.Idle(en.recordWriter.maxWrites()) {
		return
	}
	n := min(len(en.moves), max(1, en.recordWriter.maxWrites()/2))
	txn := state.Txn{If: []state.Condition{en.fence}}
	for _, m := range en.moves[:n] {
		id := m.rec.Spec.ID
		put, err := state.Put(job.FinalPrefix+id, m.rec)
		if err != nil {
			en.log.Error("record does not encode", "job", id, "error", err)
			continue
		}
		txn.If = append(txn.If, state.Condition{Key: job.ActivePrefix + id, Version: m.version})
		txn.Writes = append(txn.Writes, state.Write{Delete: job.ActivePrefix + id}, put)
	}
	en.moving = true
	go func() {
		_, err := en.c.State.Commit(en.ctx, txn)
		if err != nil {
			en.pause(200 * time.Millisecond)
		}
		en.ahead(func() {
			en.moving = false
			en.recordWriter.shrinkIfRejected(err)
			// On a conflict an unclear commit of before was applied; what is left of the
			// batch is found by the next leader.
			if err == nil || errors.Is(err, state.ErrConflict) {
				en.moves = en.moves[n:]
			}
		})
	}()
}

// known answers from memory; nil if the job is not there, or is about to be over.
// From the moment the commit of its end is sent another node may have read and
// told that end, while this one does not know of it yet: only a fresh read can say.
func (en *completions) known(id string) *rpc.Reply {
	if j := en.jobTable.sound(id); j != nil {
		if j.Closing != "" && j.Phase == "" {
			return nil
		}
		return reply(http.StatusOK, j.Status(en.jobTable.running(j)))
	}
	return en.past(id)
}

// past answers for a job that is over; nil: it is not, or it is forgotten here.
func (en *completions) past(id string) *rpc.Reply {
	if s, ok := en.finals.get(id); ok {
		return reply(http.StatusOK, s)
	}
	if rec := en.admissionGroups.find(id); rec != nil && rec.Phase != "" {
		return recorded(rec)
	}
	return nil
}

// readBack answers from a fresh read; absent is the answer for a job that was
// never accepted, active makes the one for a job that is not over.
func (en *completions) readBack(id string, absent *rpc.Reply, active func(*job.Record) *rpc.Reply, back func(*rpc.Reply)) {
	go func() {
		ctx, cancel := context.WithTimeout(en.ctx, 3*time.Second)
		defer cancel()
		rec, err := en.c.findRecord(ctx, id)
		switch {
		case err != nil:
			back(Later("the job's record cannot be read now"))
		case rec == nil:
			back(absent)
		case rec.Phase == "":
			back(active(rec))
		default:
			en.ahead(func() { en.remember(rec) })
			back(recorded(rec))
		}
	}()
}

// recorded answers with what a job's record says.
func recorded(rec *job.Record) *rpc.Reply { return reply(http.StatusOK, recordStatus(rec)) }

func (en *completions) abort(id string, back func(*rpc.Reply)) {
	absent := reply(http.StatusNotFound, wire.Error{Error: "no such job"})
	if !job.ValidID(id) {
		back(absent)
		return
	}
	j := en.jobTable.sound(id)
	if j == nil {
		en.abortUnknown(id, absent, back)
		return
	}
	if j.Phase != "" {
		en.admission.status(id, back)
		return
	}
	en.waiters[j] = append(en.waiters[j], back)
	if j.Closing == "" {
		en.finish(j, wire.JobAborted)
	}
}

// abortUnknown answers for a job that is over and forgotten here, was never
// accepted, or was admitted by another node a moment ago: that one is taken in,
// and the user's next try finds it.
func (en *completions) abortUnknown(id string, absent *rpc.Reply, back func(*rpc.Reply)) {
	if p := en.past(id); p != nil {
		back(p)
		return
	}
	en.readBack(id, absent, func(*job.Record) *rpc.Reply {
		en.ahead(func() { en.admission.adopt(id) })
		return Later("job is being taken in")
	}, back)
}

// finish moves a job to its final phase. From here on nothing of it is launched,
// whatever becomes of the commit. Done and aborted race on the version of the
// active record; the first to commit stands for ever.
func (en *completions) finish(j *job.Job, phase string) {
	j.Closing = phase
	if phase == wire.JobAborted {
		j.CancelledAt = time.Now()
	}
	en.taskTracker.stopAll(j)
	rec := &job.Record{Spec: j.Spec, Phase: phase, Done: j.DoneCount}
	rec.At = j.At
	if en.admissionGroups.has(j.ID) {
		en.admissionGroups.recordEnd(rec, func() { en.finished(j, rec) })
		return
	}
	// The final record moves to its own key at once, or later where many jobs end
	// together: the phase alone takes half the writes.
	inPlace := !en.c.State.Idle(en.recordWriter.maxWrites())
	key, writes := job.FinalPrefix+j.ID, []state.Write{{Delete: job.ActivePrefix + j.ID}}
	if inPlace {
		key, writes = job.ActivePrefix+j.ID, nil
	}
	put, err := state.Put(key, rec)
	if err != nil {
		en.log.Error("record does not encode", "job", j.ID, "error", err)
		return
	}
	writes = append(writes, put)
	txn := state.Txn{If: []state.Condition{en.fence, {Key: job.ActivePrefix + j.ID, Version: j.Version}}, Writes: writes}
	id := j.ID
	go func() {
		for en.ctx.Err() == nil {
			// A user waits for the end of a cancelled job; the others take turns.
			if phase == wire.JobDone && en.limit.WaitN(en.ctx, len(writes)) != nil {
				return
			}
			version, err := en.c.State.Commit(en.ctx, txn)
			switch {
			case err == nil && inPlace:
				en.ahead(func() { en.moves = append(en.moves, move{rec, version}) })
			case err == nil:
			case errors.Is(err, state.ErrConflict):
				found, _, err := readJobRecord(en.ctx, en.c.State, id)
				if err != nil || found == nil || found.Phase == "" {
					// Deposed, or not to be told now: the term ends or the loop goes on.
					en.pause(200 * time.Millisecond)
					continue
				}
				// An unclear commit of our own that left the record in its place is found
				// and moved by the next leader.
				rec = found
			default:
				en.pause(200 * time.Millisecond)
				continue
			}
			en.ahead(func() { en.finished(j, rec) })
			return
		}
	}()
}

func (en *completions) finished(j *job.Job, rec *job.Record) {
	j.Phase = rec.Phase
	en.c.Meter.Add(metrics.Endings, j.Phase, 1)
	s := recordStatus(rec)
	en.finals.put(s)
	for _, back := range en.waiters[j] {
		back(reply(http.StatusOK, s))
	}
	delete(en.waiters, j)
	en.results.discard(j)
	en.log.Info("job is over", "job", j.ID, "phase", j.Phase, "class", j.Class, "after", time.Since(j.Submitted).Round(time.Second))
	en.changed()
}
