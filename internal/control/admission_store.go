package control

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/metrics"
	"vetchstream/internal/rpc"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

const (
	// maxCommitsInFlight bounds the concurrent admission transactions. Occasionally a
	// transaction takes a few hundred milliseconds, and it must not block later ones.
	maxCommitsInFlight = 8
	// storeRetryPause is the delay before admission accesses the key-value store again
	// after a commit with unknown outcome, a conflict without key names or a failed read.
	storeRetryPause = 200 * time.Millisecond
	// conditionsPerWrite is the ratio of the protocol's limits for conditions and writes
	// in a transaction.
	conditionsPerWrite = 4
	// conditionsPerJob is the number of conditions for the admission of a job: the job has
	// neither an active nor a final record. conditionsPerGroup is the number of additional
	// conditions in a group's transaction: the fence and the group's key.
	conditionsPerJob   = 2
	conditionsPerGroup = 2
)

// submissionRate returns the number of submissions that can be stored per second.
func (ad *admission) submissionRate() float64 {
	return float64(ad.limit.Limit()) * float64(ad.jobsPerTxn())
}

// jobsPerTxn returns the maximum number of jobs that one transaction may admit.
func (ad *admission) jobsPerTxn() int {
	conditions := conditionsPerWrite * ad.recordWriter.maxWrites()
	return max(1, (conditions-conditionsPerGroup)/conditionsPerJob)
}

// storeQueued stores the queued submissions in batches, each as large as a transaction
// permits. Beyond its rate limit, admission commits only while the request budget is
// idle.
func (ad *admission) storeQueued(now time.Time) {
	for len(ad.queue) > 0 && ad.commitsInFlight < maxCommitsInFlight {
		if !ad.controller.State.WritesIdle(ad.recordWriter.maxWrites()) && !ad.limit.AllowN(now, 1) {
			return
		}
		n := ad.nextBatchSize()
		batch := slices.Clone(ad.queue[:n])
		ad.queue = slices.Delete(ad.queue, 0, n)
		groupKey := "" // a single submission gets its own record
		if n > 1 {
			groupKey = ad.admissionGroups.nextKey()
		}
		ad.commitsInFlight++
		go func() {
			ad.storeBatch(groupKey, batch)
			ad.enqueueForUser(func() { ad.commitsInFlight-- })
		}()
	}
}

// nextBatchSize returns how many of the queued submissions fit into one transaction, but
// at least one.
func (ad *admission) nextBatchSize() int {
	n := 0
	bytes := 0
	for n < len(ad.queue) && n < ad.jobsPerTxn() {
		encoded, err := wire.Marshal(ad.queue[n].rec)
		if err != nil {
			ad.log.Error("cannot encode the job record of a submission", "job", ad.queue[n].id(), "error", err)
		}
		bytes += recordSize(encoded)
		if n > 0 && bytes > ad.maxGroupBytes {
			break
		}
		n++
	}
	return n
}

// recordSize estimates the size of an encoded record as the key-value store counts it,
// including space for the final phase and counters.
func recordSize(encoded []byte) int { return len(encoded)*5/4 + 40 }

// storeBatch makes submissions durable and then answers them. A single submission is
// stored under the job's own key (groupKey is empty), several submissions in a group
// record. A commit with unknown outcome is retried: if it was applied, the conditions of
// the retry fail; otherwise the retry replaces it.
func (ad *admission) storeBatch(groupKey string, batch []*pendingSubmission) {
	outcomeUnknown := false // whether an earlier commit may have been applied
	for ad.ctx.Err() == nil {
		txn, err := admissionTxn(groupKey, batch)
		if err != nil {
			ad.finishAll(batch, reply(http.StatusBadRequest, wire.Error{Error: err.Error()}))
			return
		}
		txn.If = append(txn.If, ad.fence)
		version, err := ad.controller.State.CommitHedged(ad.ctx, txn)
		var conflict *state.ConflictError
		switch {
		case err == nil:
			ad.recordAccepted(groupKey, version, batch)
			return
		case errors.As(err, &conflict) && groupKey == "":
			ad.answerExisting(batch[0])
			return
		case errors.As(err, &conflict):
			remaining, stillUnknown := ad.handleConflict(groupKey, batch, conflict)
			if len(remaining) == 0 {
				return
			}
			batch = remaining
			outcomeUnknown = outcomeUnknown || stillUnknown
		case errors.Is(err, state.ErrRefused) && !outcomeUnknown:
			// The batch is certainly not stored, so the users can retry immediately.
			ad.finishAll(batch, Unavailable("the key-value store refuses writes"))
			return
		case errors.Is(err, state.ErrRejected) && !outcomeUnknown:
			ad.requeueRejected(batch, err)
			return
		default:
			outcomeUnknown = true
			ad.answerOutcomeUnknown(batch)
			ad.sleep(storeRetryPause)
		}
	}
}

// finishAll makes the actor finish all submissions of a batch with the same response.
func (ad *admission) finishAll(batch []*pendingSubmission, response *rpc.Reply) {
	ad.enqueueForUser(func() {
		for _, ps := range batch {
			ad.finish(ps, response)
		}
	})
}

// answerOutcomeUnknown makes the actor ask the users waiting for a batch to retry, because
// the outcome of its commit is unknown. The submissions stay pending.
func (ad *admission) answerOutcomeUnknown(batch []*pendingSubmission) {
	ad.enqueueForUser(func() {
		for _, ps := range batch {
			ps.answer(Unavailable("the outcome of storing the submission is not known yet"))
		}
	})
}

// requeueRejected makes the actor reduce the transaction size and requeue a batch that
// the key-value store rejected as too large. A single submission is refused instead.
func (ad *admission) requeueRejected(batch []*pendingSubmission, err error) {
	ad.enqueueForUser(func() {
		ad.recordWriter.shrinkIfRejected(err)
		if len(batch) == 1 {
			ad.finish(batch[0], Unavailable("the key-value store rejects the submission"))
			return
		}
		ad.queue = append(ad.queue, batch...)
	})
}

// recordAccepted makes the actor add the jobs of a batch that was stored with the given
// version, and answer their users.
func (ad *admission) recordAccepted(groupKey string, version uint64, batch []*pendingSubmission) {
	kind := "own"
	if groupKey != "" {
		kind = "group"
	}
	ad.controller.Meter.Add(metrics.JobsAccepted, kind, len(batch))
	ad.enqueueForUser(func() {
		if groupKey != "" {
			recs := make([]job.Record, len(batch))
			for i, ps := range batch {
				recs[i] = *ps.rec
			}
			ad.admissionGroups.add(groupKey, version, recs)
			version = 0 // the jobs have no individual records
		}
		for _, ps := range batch {
			if ad.jobTable.identified(ps.id()) == nil {
				ad.jobTable.add(ps.rec, version, time.Now())
			}
			ad.finish(ps, reply(http.StatusCreated, recordStatus(ps.rec)))
		}
	})
}

// answerExisting answers a submission whose job already exists, after reading the job's
// record from the key-value store.
func (ad *admission) answerExisting(ps *pendingSubmission) {
	for ad.ctx.Err() == nil {
		found, version, err := readJobRecord(ad.ctx, ad.controller.State, ps.id())
		if err != nil {
			ad.sleep(storeRetryPause)
			continue
		}
		ad.enqueueForUser(func() { ad.finishExisting(ps, found, version) })
		return
	}
}

// finishExisting answers a submission with the job's record, which was read at the given
// version, and adopts the job if it is active and not in the job table.
func (ad *admission) finishExisting(ps *pendingSubmission, found *job.Record, version uint64) {
	id := ps.id()
	switch {
	case found == nil:
		// The failed condition was the fence: a later term has begun.
		ad.finish(ps, Unavailable("the leader has changed"))
		return
	case found.Phase != "":
		ad.completions.cacheFinalStatus(found)
	case ad.completions.isFinished(id):
		// The job finished after the read. Adopting it from the outdated record would run
		// it again and report it as pending to its user.
		ad.finish(ps, ad.completions.answerIfFinished(id))
		return
	case ad.jobTable.identified(id) == nil:
		ad.jobTable.add(found, version, time.Now())
	}
	ad.finish(ps, recordReply(found))
}

// handleConflict handles a group commit whose conditions failed. Either an earlier commit
// with unknown outcome was applied, the leader has changed, or some of the jobs already
// exist. It returns the submissions to retry, or none if all are answered.
// outcomeUnknown reports that an earlier commit may still have been applied.
func (ad *admission) handleConflict(groupKey string, batch []*pendingSubmission, conflict *state.ConflictError) (remaining []*pendingSubmission, outcomeUnknown bool) {
	stored, err := ad.controller.State.Get(ad.ctx, groupKey)
	switch {
	case err == nil: // the commit with unknown outcome was applied
		ad.recordAccepted(groupKey, stored.Version, batch)
		return nil, false
	case !errors.Is(err, state.ErrNotFound):
		ad.sleep(storeRetryPause)
		return batch, true
	case slices.Contains(conflict.FailedKeys, ad.fence.Key):
		ad.finishAll(batch, Unavailable("the leader has changed"))
		return nil, false
	}
	// Existing jobs must not prevent the admission of the others. An earlier commit of the
	// whole batch with unknown outcome can no longer be applied: records of jobs move but
	// are never removed, so its conditions will fail.
	existing, remaining := partitionByKey(batch, conflict.FailedKeys)
	for _, ps := range existing {
		ad.answerExisting(ps)
	}
	if len(existing) == 0 {
		ad.sleep(storeRetryPause) // the store did not name the keys of the failed conditions
	}
	return remaining, false
}

// partitionByKey separates the submissions whose active or final key is among the keys
// from the others.
func partitionByKey(batch []*pendingSubmission, keys []string) (named, others []*pendingSubmission) {
	for _, ps := range batch {
		id := ps.id()
		if slices.Contains(keys, job.ActivePrefix+id) || slices.Contains(keys, job.FinalPrefix+id) {
			named = append(named, ps)
		} else {
			others = append(others, ps)
		}
	}
	return named, others
}

// admissionTxn composes the transaction that creates the records of jobs without one: a
// single job's record under its own key if groupKey is empty, otherwise a group record
// of all jobs.
func admissionTxn(groupKey string, batch []*pendingSubmission) (txn state.Txn, err error) {
	var put state.Write
	if groupKey == "" {
		put, err = state.Put(job.ActivePrefix+batch[0].id(), batch[0].rec)
	} else {
		var group job.Group
		for _, ps := range batch {
			group.Jobs = append(group.Jobs, *ps.rec)
		}
		put, err = state.Put(groupKey, group)
		txn.If = append(txn.If, state.Condition{Key: groupKey})
	}
	for _, ps := range batch {
		txn.If = append(txn.If,
			state.Condition{Key: job.ActivePrefix + ps.id()},
			state.Condition{Key: job.FinalPrefix + ps.id()},
		)
	}
	txn.Writes = []state.Write{put}
	return txn, err
}
