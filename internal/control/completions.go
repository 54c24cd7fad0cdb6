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

// Shares of the leader's write budget. A burst of small jobs comes faster than their
// records can be stored; without shares of their own, admissions and completions
// would leave nothing for the registry, and no task would start.
const (
	admissionShare  = 0.5
	completionShare = 0.35
)

const (
	// finalStatusCacheSize is how many jobs that are over are kept in memory.
	finalStatusCacheSize = 4096

	// finalRetryPause is the pause after a failed commit of final records.
	finalRetryPause = 200 * time.Millisecond
)

// completions moves jobs to their final phase, which never changes again, and
// answers users from what is known of their jobs.
type completions struct {
	*core
	jobTable        *jobTable
	results         *results
	taskTracker     *taskTracker
	recordWriter    *recordWriter
	admission       *admission
	admissionGroups *admissionGroups

	finalStatuses *finalStatusCache
	cancelWaiters map[*job.Job][]func(*rpc.Reply) // users that wait for a cancellation
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

// reset discards what a load that failed half-way has found.
func (cp *completions) reset() { cp.pendingMoves = nil }

// cacheFinalStatus remembers the final status of a job.
func (cp *completions) cacheFinalStatus(rec *job.Record) { cp.finalStatuses.put(recordStatus(rec)) }

// isFinished reports whether a job is remembered as over.
func (cp *completions) isFinished(id string) bool {
	_, ok := cp.finalStatuses.get(id)
	return ok
}

// finish moves a job to its final phase. From here on nothing of it is launched,
// whatever becomes of the commit. Done and aborted race on the version of the active
// record; the first to commit is final.
func (cp *completions) finish(j *job.Job, phase wire.JobPhase) {
	j.Closing = phase
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
		cp.log.Error("job record cannot be encoded", "job", j.ID, "error", err)
		return
	}
	go cp.commitFinal(final)
}

// finalCommit is the transaction that stores the final record of a job. Its
// goroutine must not touch the job itself, which is the actor's.
type finalCommit struct {
	job     *job.Job
	rec     *job.Record
	txn     state.Txn
	inPlace bool // the record stays under the active key and has to be moved later
}

// newFinalCommit makes the transaction. The final record moves to its own key at
// once, or later where many jobs end together: the phase alone takes half the writes.
func (cp *completions) newFinalCommit(j *job.Job, rec *job.Record) (finalCommit, error) {
	activeKey := job.ActivePrefix + j.ID
	inPlace := !cp.controller.State.Idle(cp.recordWriter.maxWrites())
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

// commitFinal commits until the job's end is stored, its own or that of an earlier
// try, or the term ends.
func (cp *completions) commitFinal(final finalCommit) {
	for cp.ctx.Err() == nil {
		// A user waits for the end of a cancelled job; the others take turns.
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
			// An unclear commit of our own that left the record in its place is found
			// and moved by the next leader.
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

// storedFinalRecord reads the record of a job that is over; nil: it is not over, or
// that cannot be decided now, or the leader is deposed.
func (cp *completions) storedFinalRecord(id string) *job.Record {
	rec, _, err := readJobRecord(cp.ctx, cp.controller.State, id)
	if err != nil || rec == nil || rec.Phase == "" {
		return nil
	}
	return rec
}

// completionStored takes in that a job's final record is stored, and notifies its user.
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

// finalRecordMove is the record of a job that is over and still under its active key.
type finalRecordMove struct {
	rec     *job.Record
	version uint64
}

// addPendingMove takes in a record of a job that is over and still under its active key.
func (cp *completions) addPendingMove(rec *job.Record, version uint64) {
	cp.cacheFinalStatus(rec)
	cp.pendingMoves = append(cp.pendingMoves, finalRecordMove{rec, version})
}

// moveFinalRecords moves records of jobs that are over to their own keys, when the
// budget is idle: the next leader has to read the list of active jobs.
func (cp *completions) moveFinalRecords() {
	if cp.moveInFlight || len(cp.pendingMoves) == 0 || !cp.controller.State.Idle(cp.recordWriter.maxWrites()) {
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
			// On a conflict an unclear commit of before was applied; what is left of the
			// batch is found by the next leader.
			if err == nil || errors.Is(err, state.ErrConflict) {
				cp.pendingMoves = cp.pendingMoves[batchSize:]
			}
		})
	}()
}

// moveTxn is the transaction that moves final records to their own keys.
func (cp *completions) moveTxn(moves []finalRecordMove) state.Txn {
	txn := state.Txn{If: []state.Condition{cp.fence}}
	for _, move := range moves {
		id := move.rec.Spec.ID
		put, err := state.Put(job.FinalPrefix+id, move.rec)
		if err != nil {
			cp.log.Error("job record cannot be encoded", "job", id, "error", err)
			continue
		}
		activeKey := job.ActivePrefix + id
		txn.If = append(txn.If, state.Condition{Key: activeKey, Version: move.version})
		txn.Writes = append(txn.Writes, state.Write{Delete: activeKey}, put)
	}
	return txn
}
