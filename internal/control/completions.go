package control

import (
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

// Shares of the leader's write budget. Bursts of small jobs arrive faster than their
// records can be stored. Without these limits, admissions and completions would leave no
// budget for the registry, and no task could start.
const (
	admissionWriteShare  = 0.5
	completionWriteShare = 0.35
)

const (
	// finalStatusCacheSize is the number of finished jobs whose status is cached.
	finalStatusCacheSize = 4096

	// finalRetryPause is the delay before a failed commit of final records is retried.
	finalRetryPause = 200 * time.Millisecond
)

// completions moves jobs to their final phase, which never changes afterwards, and
// answers users' requests for the status or cancellation of jobs.
type completions struct {
	*core
	jobTable        *jobTable
	results         *results
	taskTracker     *taskTracker
	recordWriter    *recordWriter
	admission       *admission
	admissionGroups *admissionGroups

	finalStatuses *finalStatusCache
	cancelWaiters map[*job.Job][]func(*rpc.Reply) // callbacks of requests waiting for a cancellation
	writeLimit    *rate.Limiter
	pendingMoves  []finalRecordMove
	moveInFlight  bool
}

func newCompletions(co *core, writeLimit *rate.Limiter) *completions {
	return &completions{
		core:          co,
		finalStatuses: newFinalStatusCache(finalStatusCacheSize),
		cancelWaiters: map[*job.Job][]func(*rpc.Reply){},
		writeLimit:    writeLimit,
	}
}

// reset discards the pending moves of an incomplete load.
func (cp *completions) reset() { cp.pendingMoves = nil }

// cacheFinalStatus caches the final status of a job.
func (cp *completions) cacheFinalStatus(rec *job.Record) { cp.finalStatuses.put(recordStatus(rec)) }

// isFinished reports whether the cache contains a final status of the job.
func (cp *completions) isFinished(id string) bool {
	_, ok := cp.finalStatuses.get(id)
	return ok
}

// finish moves a job to its final phase. None of its tasks is launched afterwards,
// whatever the outcome of the commit. Completion and cancellation compete on the version
// of the active record; the first commit wins.
func (cp *completions) finish(j *job.Job, phase wire.JobPhase) {
	j.EndingPhase = phase
	if phase == wire.JobCancelled {
		j.CancelledAt = time.Now()
	}
	cp.taskTracker.killJob(j)
	rec := &job.Record{
		Spec:        j.Spec,
		Phase:       phase,
		Done:        j.DoneCount,
		SubmittedMS: j.SubmittedMS,
	}
	if cp.admissionGroups.has(j.ID) {
		cp.admissionGroups.recordCompletion(rec, func() { cp.completionStored(j, rec) })
		return
	}
	final, err := cp.newFinalCommit(j, rec)
	if err != nil {
		cp.log.Error("cannot encode the final record of a job; its final phase is not stored", "job", j.ID, "error", err)
		return
	}
	go cp.commitFinal(final)
}

// finalCommit is the transaction that stores the final record of a job. The goroutine
// that commits it must not access the job, which belongs to the actor.
type finalCommit struct {
	job     *job.Job
	rec     *job.Record
	txn     state.Txn
	inPlace bool // the final record stays under the active key and is moved later
}

// newFinalCommit composes the transaction. If the request budget is idle, the record
// moves to its final key immediately. Otherwise only the active record is updated, which
// takes half the writes, and the move follows later.
func (cp *completions) newFinalCommit(j *job.Job, rec *job.Record) (finalCommit, error) {
	activeKey := job.ActivePrefix + j.ID
	inPlace := !cp.controller.State.WritesIdle(cp.recordWriter.maxWrites())
	key := job.FinalPrefix + j.ID
	writes := []state.Write{{Delete: activeKey}}
	if inPlace {
		key = activeKey
		writes = nil
	}
	put, err := state.Put(key, rec)
	if err != nil {
		return finalCommit{}, err
	}
	txn := state.Txn{
		If:     []state.Condition{cp.fence, {Key: activeKey, Version: j.Version}},
		Writes: append(writes, put),
	}
	return finalCommit{job: j, rec: rec, txn: txn, inPlace: inPlace}, nil
}

// commitFinal retries the transaction until a final record of the job is stored, by this
// or a competing commit, or the term ends.
func (cp *completions) commitFinal(final finalCommit) {
	for cp.ctx.Err() == nil {
		// Only completions wait for the rate limit. The user of a cancelled job is waiting.
		if final.rec.Phase == wire.JobDone && cp.writeLimit.WaitN(cp.ctx, len(final.txn.Writes)) != nil {
			return
		}
		version, err := cp.controller.State.Commit(cp.ctx, final.txn)
		rec := final.rec
		switch {
		case err == nil && final.inPlace:
			cp.enqueueForUser(func() { cp.pendingMoves = append(cp.pendingMoves, finalRecordMove{rec, version}) })
		case err == nil:
		case errors.Is(err, state.ErrConflict):
			// An earlier try with unknown outcome may have been applied. If it left the
			// record under the active key, the next leader finds and moves it.
			rec = cp.storedFinalRecord(rec.Spec.ID)
		default:
			rec = nil
		}
		if rec == nil {
			cp.sleep(finalRetryPause)
			continue
		}
		cp.enqueueForUser(func() { cp.completionStored(final.job, rec) })
		return
	}
}

// storedFinalRecord reads the final record of a job. It returns nil if the record is not
// final or cannot be read, or if the term has ended.
func (cp *completions) storedFinalRecord(id string) *job.Record {
	rec, _, err := readJobRecord(cp.ctx, cp.controller.State, id)
	if err != nil || rec == nil || rec.Phase == "" {
		return nil
	}
	return rec
}

// completionStored updates a job whose final record has been stored, and answers the
// users waiting for its cancellation.
func (cp *completions) completionStored(j *job.Job, rec *job.Record) {
	j.Phase = rec.Phase
	cp.controller.Meter.Add(metrics.JobsEnded, string(j.Phase), 1)
	status := recordStatus(rec)
	cp.finalStatuses.put(status)
	for _, respond := range cp.cancelWaiters[j] {
		respond(reply(http.StatusOK, status))
	}
	delete(cp.cancelWaiters, j)
	cp.results.discard(j)
	cp.log.Info("job finished", "job", j.ID, "phase", j.Phase, "class", j.Class, "duration", time.Since(j.Submitted).Round(time.Second))
	cp.requestPlan()
}

// finalRecordMove is a final record that is still stored under the job's active key.
type finalRecordMove struct {
	rec     *job.Record
	version uint64
}

// addPendingMove queues the move of a final record that is still stored under the job's
// active key.
func (cp *completions) addPendingMove(rec *job.Record, version uint64) {
	cp.cacheFinalStatus(rec)
	cp.pendingMoves = append(cp.pendingMoves, finalRecordMove{rec, version})
}

// moveFinalRecords moves final records to their own keys while the request budget is
// idle. This keeps the list of active jobs short, which the next leader has to read.
func (cp *completions) moveFinalRecords() {
	if cp.moveInFlight || len(cp.pendingMoves) == 0 || !cp.controller.State.WritesIdle(cp.recordWriter.maxWrites()) {
		return
	}
	batchSize := min(len(cp.pendingMoves), max(1, cp.recordWriter.maxWrites()/2))
	txn := cp.moveTxn(cp.pendingMoves[:batchSize])
	cp.moveInFlight = true
	go func() {
		_, err := cp.controller.State.Commit(cp.ctx, txn)
		if err != nil {
			cp.sleep(finalRetryPause)
		}
		cp.enqueueForUser(func() {
			cp.moveInFlight = false
			cp.recordWriter.shrinkIfRejected(err)
			// On a conflict, an earlier commit with unknown outcome was applied. The next
			// leader finds the rest of the batch.
			if err == nil || errors.Is(err, state.ErrConflict) {
				cp.pendingMoves = cp.pendingMoves[batchSize:]
			}
		})
	}()
}

// moveTxn composes the transaction that moves final records to their own keys.
func (cp *completions) moveTxn(moves []finalRecordMove) state.Txn {
	txn := state.Txn{If: []state.Condition{cp.fence}}
	for _, move := range moves {
		id := move.rec.Spec.ID
		put, err := state.Put(job.FinalPrefix+id, move.rec)
		if err != nil {
			cp.log.Error("cannot encode the final record of a job; it stays under the active key", "job", id, "error", err)
			continue
		}
		activeKey := job.ActivePrefix + id
		txn.If = append(txn.If, state.Condition{Key: activeKey, Version: move.version})
		txn.Writes = append(txn.Writes, state.Write{Delete: activeKey}, put)
	}
	return txn
}
