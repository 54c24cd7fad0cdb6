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
	// maxCommitsInFlight bounds the concurrent transactions of admission. Now and then
	// one takes a few hundred milliseconds, and later ones must not wait for it.
	maxCommitsInFlight = 8
	// storeRetryPause is the wait before admission tries the state service again:
	// after an unclear commit, a conflict that did not name its keys, or a failed read.
	storeRetryPause = 200 * time.Millisecond
	// conditionsPerWrite is how many conditions a transaction may have for each of the
	// writes that it may have (protocol).
	conditionsPerWrite = 4
	// conditionsPerJob is how many conditions the admission of a job takes: it has
	// neither an active nor a final record. conditionsPerGroup is how many a group's
	// transaction has besides: the fence and the group's key.
	conditionsPerJob   = 2
	conditionsPerGroup = 2
)

// submissionRate is how many submissions can be stored in a second.
func (ad *admission) submissionRate() float64 {
	return float64(ad.limit.Limit()) * float64(ad.jobsPerTxn())
}

// jobsPerTxn is how many jobs one transaction may admit.
func (ad *admission) jobsPerTxn() int {
	conditions := conditionsPerWrite * ad.recordWriter.maxWrites()
	return max(1, (conditions-conditionsPerGroup)/conditionsPerJob)
}

// storeQueued stores the queued submissions, as many together as fit into a
// transaction. Beyond its rate limit, admission uses the budget only while it is
// idle.
func (ad *admission) storeQueued(now time.Time) {
	for len(ad.queue) > 0 && ad.commitsInFlight < maxCommitsInFlight {
		if !ad.controller.State.Idle(ad.recordWriter.maxWrites()) && !ad.limit.AllowN(now, 1) {
			return
		}
		n := ad.nextBatchSize()
		batch := slices.Clone(ad.queue[:n])
		ad.queue = slices.Delete(ad.queue, 0, n)
		groupKey := "" // one submission has a record of its own
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

// nextBatchSize is how many of the queued submissions fit into one transaction, at
// least one.
func (ad *admission) nextBatchSize() int {
	n := 0
	bytes := 0
	for n < len(ad.queue) && n < ad.jobsPerTxn() {
		encoded, err := wire.Marshal(ad.queue[n].rec)
		if err != nil {
			ad.log.Error("job record cannot be encoded", "job", ad.queue[n].id(), "error", err)
		}
		bytes += recordSize(encoded)
		if n > 0 && bytes > ad.maxGroupBytes {
			break
		}
		n++
	}
	return n
}

// recordSize estimates the size of an encoded record in the form in which the state
// service counts it, with room for how the job ends.
func recordSize(encoded []byte) int { return len(encoded)*5/4 + 40 }

// storeBatch makes submissions durable and then answers them: one under the job's own
// key (groupKey is empty), several in a group record. An unclear commit is tried
// again: either it was applied, which the conditions of the next one reveal, or the
// next one takes its place.
func (ad *admission) storeBatch(groupKey string, batch []*pendingSubmission) {
	outcomeUnknown := false // an earlier commit may have been applied
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
			// Certainly not stored: the users are told at once to retry.
			ad.finishAll(batch, Unavailable("state service refuses writes"))
			return
		case errors.Is(err, state.ErrRejected) && !outcomeUnknown:
			ad.requeueRejected(batch, err)
			return
		default:
			outcomeUnknown = true
			ad.answerUnclear(batch)
			ad.sleep(storeRetryPause)
		}
	}
}

// finishAll has the actor give all submissions of a batch the same answer.
func (ad *admission) finishAll(batch []*pendingSubmission, response *rpc.Reply) {
	ad.enqueueForUser(func() {
		for _, ps := range batch {
			ad.finish(ps, response)
		}
	})
}

// answerUnclear has the actor tell the users who wait for a batch to ask again later.
// The submissions stay pending.
func (ad *admission) answerUnclear(batch []*pendingSubmission) {
	ad.enqueueForUser(func() {
		for _, ps := range batch {
			ps.answer(Unavailable("submission is not settled yet"))
		}
	})
}

// requeueRejected has the actor make transactions smaller and queue a batch again
// that the state service has rejected as too large. A single submission is refused.
func (ad *admission) requeueRejected(batch []*pendingSubmission, err error) {
	ad.enqueueForUser(func() {
		ad.recordWriter.shrinkIfRejected(err)
		if len(batch) == 1 {
			ad.finish(batch[0], Unavailable("state service rejects the submission"))
			return
		}
		ad.queue = append(ad.queue, batch...)
	})
}

// recordAccepted has the actor add the jobs of a batch that was stored at the
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
			version = 0 // the jobs have no records of their own
		}
		for _, ps := range batch {
			if ad.jobTable.identified(ps.id()) == nil {
				ad.jobTable.add(ps.rec, version, time.Now())
			}
			ad.finish(ps, reply(http.StatusCreated, recordStatus(ps.rec)))
		}
	})
}

// answerExisting answers a submission whose job exists already, after a fresh read of
// the job's record.
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

// finishExisting answers a submission with the record of its job that was found at
// the version, and adopts the job if it is active and not known.
func (ad *admission) finishExisting(ps *pendingSubmission, found *job.Record, version uint64) {
	id := ps.id()
	switch {
	case found == nil:
		// The conflict was with the fence: a later term has begun.
		ad.finish(ps, Unavailable("leadership has changed"))
		return
	case found.Phase != "":
		ad.completions.cacheFinalStatus(found)
	case ad.completions.isFinished(id):
		// The job has ended since the read. Adopted from that record it would run again,
		// and its user would be told that it is pending.
		ad.finish(ps, ad.completions.answerIfFinished(id))
		return
	case ad.jobTable.identified(id) == nil:
		ad.jobTable.add(found, version, time.Now())
	}
	ad.finish(ps, recordReply(found))
}

// handleConflict handles a commit of a group whose conditions failed: the unclear
// commit before it may have been applied, the leadership may have changed, or some of
// the jobs exist already. It returns the submissions to try again, none if all are
// answered; unclear reports that the last commit may still have been applied.
func (ad *admission) handleConflict(groupKey string, batch []*pendingSubmission, conflict *state.ConflictError) (remaining []*pendingSubmission, outcomeUnknown bool) {
	stored, err := ad.controller.State.Get(ad.ctx, groupKey)
	switch {
	case err == nil: // the unclear commit was applied
		ad.recordAccepted(groupKey, stored.Version, batch)
		return nil, false
	case !errors.Is(err, state.ErrNotFound):
		ad.sleep(storeRetryPause)
		return batch, true
	case slices.Contains(conflict.Failed, ad.fence.Key):
		ad.finishAll(batch, Unavailable("leadership has changed"))
		return nil, false
	}
	// Jobs that exist already must not keep out the others. An unclear commit of the
	// whole batch can no longer be applied: a job's record moves, but is never removed.
	existing, remaining := partitionByKey(batch, conflict.Failed)
	for _, ps := range existing {
		ad.answerExisting(ps)
	}
	if len(existing) == 0 {
		ad.sleep(storeRetryPause) // the service did not name the keys
	}
	return remaining, false
}

// partitionByKey parts the submissions of whose job one of the keys is the active or
// final record from the others.
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

// admissionTxn is the transaction that makes jobs durable that have no record yet:
// one under its own key if groupKey is empty, otherwise all in the group's record.
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
