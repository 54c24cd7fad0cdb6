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
	admissionShare  = 0.5
	completionShare = 0.35
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

	finalStatuses *finalStatusCache
	cancelWaiters map[*job.Job][]func(*rpc.Reply) // who has asked to cancel
	writeLimit    *rate.Limiter
	pendingMoves  []finalRecordMove // records of jobs that are over, still under the key of active ones
	moveInFlight  bool
}

func newCompletions(co *core, limit *rate.Limiter) *completions {
	return &completions{core: co, writeLimit: limit, finalStatuses: newFinalStatusCache(4096), cancelWaiters: map[*job.Job][]func(*rpc.Reply){}}
}

// reset forgets what a load that failed half-way has found.
func (en *completions) reset() { en.pendingMoves = nil }

// cacheFinalStatus notes how a job has ended.
func (en *completions) cacheFinalStatus(rec *job.Record) { en.finalStatuses.put(recordStatus(rec)) }

// isOver reports whether a job is remembered as over.
func (en *completions) isOver(id string) bool {
	_, ok := en.finalStatuses.get(id)
	return ok
}

// addUnmoved takes in a record of a job that is over and still under its active key.
func (en *completions) addUnmoved(rec *job.Record, version uint64) {
	en.cacheFinalStatus(rec)
	en.pendingMoves = append(en.pendingMoves, finalRecordMove{rec, version})
}

// finalRecordMove is the record of a job that is over and still under its active key.
type finalRecordMove struct {
	rec     *job.Record
	version uint64
}

// moveFinalRecords moves records of jobs that are over to their own keys, when there
// is nothing better to do with the budget: the list of active jobs is what a
// successor has to read.
func (en *completions) moveFinalRecords() {
	if en.moveInFlight || len(en.pendingMoves) == 0 || !en.controller.State.Idle(en.recordWriter.size()) {
		return
	}
	n := min(len(en.pendingMoves), max(1, en.recordWriter.size()/2))
	txn := state.Txn{If: []state.Cond{en.fence}}
	for _, m := range en.pendingMoves[:n] {
		id := m.rec.Spec.ID
		put, err := state.Put(job.FinalPrefix+id, m.rec)
		if err != nil {
			en.log.Error("record does not encode", "job", id, "error", err)
			continue
		}
		txn.If = append(txn.If, state.Cond{Key: job.ActivePrefix + id, Version: m.version})
		txn.Writes = append(txn.Writes, state.Write{Delete: job.ActivePrefix + id}, put)
	}
	en.moveInFlight = true
	go func() {
		_, err := en.controller.State.Commit(en.ctx, txn)
		if err != nil {
			en.sleep(200 * time.Millisecond)
		}
		en.enqueueForUser(func() {
			en.moveInFlight = false
			en.recordWriter.smaller(err)
			// On a conflict an unclear commit of before was applied; what is left of the
			// batch is found by the next leader.
			if err == nil || errors.Is(err, state.ErrConflict) {
				en.pendingMoves = en.pendingMoves[n:]
			}
		})
	}()
}

// answerFromMemory answers from memory; nil if the job is not there, or is about to be over.
// From the moment the commit of its end is sent another node may have read and
// told that end, while this one does not know of it yet: only a fresh read can say.
func (en *completions) answerFromMemory(id string) *rpc.Reply {
	if j := en.jobTable.identified(id); j != nil {
		if j.Closing != "" && j.Phase == "" {
			return nil
		}
		return reply(http.StatusOK, j.Status(en.jobTable.runningTasks(j)))
	}
	return en.answerIfOver(id)
}

// answerIfOver answers for a job that is over; nil: it is not, or it is forgotten here.
func (en *completions) answerIfOver(id string) *rpc.Reply {
	if s, ok := en.finalStatuses.get(id); ok {
		return reply(http.StatusOK, s)
	}
	if rec := en.admissionGroups.find(id); rec != nil && rec.Phase != "" {
		return recordReply(rec)
	}
	return nil
}

// answerFromStore answers from a fresh read; absent is the answer for a job that was
// never accepted, active makes the one for a job that is not over.
func (en *completions) answerFromStore(id string, absent *rpc.Reply, active func(*job.Record) *rpc.Reply, back func(*rpc.Reply)) {
	go func() {
		ctx, cancel := context.WithTimeout(en.ctx, 3*time.Second)
		defer cancel()
		rec, err := en.controller.find(ctx, id)
		switch {
		case err != nil:
			back(Unavailable("the job's record cannot be read now"))
		case rec == nil:
			back(absent)
		case rec.Phase == "":
			back(active(rec))
		default:
			en.enqueueForUser(func() { en.cacheFinalStatus(rec) })
			back(recordReply(rec))
		}
	}()
}

// recordStatus is the status of the job of a record.
func recordStatus(rec *job.Record) wire.Status {
	s := wire.Status{ID: rec.Spec.ID, Phase: rec.Phase, Done: rec.Done}
	if s.Phase == "" {
		s.Phase = wire.JobPending
	}
	return s
}

// recordReply answers with what a job's record says.
func recordReply(rec *job.Record) *rpc.Reply { return reply(http.StatusOK, recordStatus(rec)) }

func (en *completions) abort(id string, back func(*rpc.Reply)) {
	absent := reply(http.StatusNotFound, wire.Error{Error: "no such job"})
	if !job.ValidID(id) {
		back(absent)
		return
	}
	j := en.jobTable.identified(id)
	if j == nil {
		en.abortUnknown(id, absent, back)
		return
	}
	if j.Phase != "" {
		en.admission.status(id, back)
		return
	}
	en.cancelWaiters[j] = append(en.cancelWaiters[j], back)
	if j.Closing == "" {
		en.finish(j, wire.JobAborted)
	}
}

// abortUnknown answers for a job that is over and forgotten here, was never
// accepted, or was admitted by another node a moment ago: that one is taken in,
// and the user's next try finds it.
func (en *completions) abortUnknown(id string, absent *rpc.Reply, back func(*rpc.Reply)) {
	if p := en.answerIfOver(id); p != nil {
		back(p)
		return
	}
	en.answerFromStore(id, absent, func(*job.Record) *rpc.Reply {
		en.enqueueForUser(func() { en.admission.admitted(id) })
		return Unavailable("job is being taken in")
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
	en.taskTracker.killJob(j)
	rec := &job.Record{Spec: j.Spec, Phase: phase, Done: j.DoneCount}
	rec.At = j.At
	if en.admissionGroups.has(j.ID) {
		en.admissionGroups.end(rec, func() { en.finished(j, rec) })
		return
	}
	// The final record moves to its own key at once, or later where many jobs end
	// together: the phase alone takes half the writes.
	inPlace := !en.controller.State.Idle(en.recordWriter.size())
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
	txn := state.Txn{If: []state.Cond{en.fence, {Key: job.ActivePrefix + j.ID, Version: j.Version}}, Writes: writes}
	id := j.ID
	go func() {
		for en.ctx.Err() == nil {
			// A user waits for the end of a cancelled job; the others take turns.
			if phase == wire.JobDone && en.writeLimit.WaitN(en.ctx, len(writes)) != nil {
				return
			}
			version, err := en.controller.State.Commit(en.ctx, txn)
			switch {
			case err == nil && inPlace:
				en.enqueueForUser(func() { en.pendingMoves = append(en.pendingMoves, finalRecordMove{rec, version}) })
			case err == nil:
			case errors.Is(err, state.ErrConflict):
				found, _, err := lookup(en.ctx, en.controller.State, id)
				if err != nil || found == nil || found.Phase == "" {
					// Deposed, or not to be told now: the term ends or the loop goes on.
					en.sleep(200 * time.Millisecond)
					continue
				}
				// An unclear commit of our own that left the record in its place is found
				// and moved by the next leader.
				rec = found
			default:
				en.sleep(200 * time.Millisecond)
				continue
			}
			en.enqueueForUser(func() { en.finished(j, rec) })
			return
		}
	}()
}

func (en *completions) finished(j *job.Job, rec *job.Record) {
	j.Phase = rec.Phase
	en.controller.Meter.Add(metrics.Endings, j.Phase, 1)
	s := recordStatus(rec)
	en.finalStatuses.put(s)
	for _, back := range en.cancelWaiters[j] {
		back(reply(http.StatusOK, s))
	}
	delete(en.cancelWaiters, j)
	en.results.over(j)
	en.log.Info("job is over", "job", j.ID, "phase", j.Phase, "class", j.Class, "after", time.Since(j.Submitted).Round(time.Second))
	en.requestPlan()
}
