package control

import (
	"context"
	"net/http"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/rpc"
	"vetchstream/internal/wire"
)

// freshReadTimeout bounds a read of a job's record for an answer.
const freshReadTimeout = 3 * time.Second

// answerFromMemory answers from memory; nil if the job is not there, or is about to
// be over. From the moment the commit of its end is sent another node may have read
// that end and answered with it, while this one does not know of it yet: only a fresh
// read can say.
func (cp *completions) answerFromMemory(id string) *rpc.Reply {
	if j := cp.jobTable.identified(id); j != nil {
		if j.Closing != "" && j.Phase == "" {
			return nil
		}
		return reply(http.StatusOK, j.Status(cp.jobTable.runningTasks(j)))
	}
	return cp.answerIfFinished(id)
}

// answerIfFinished answers for a job that is over; nil: it is not, or it is no longer
// remembered.
func (cp *completions) answerIfFinished(id string) *rpc.Reply {
	if status, ok := cp.finalStatuses.get(id); ok {
		return reply(http.StatusOK, status)
	}
	if rec := cp.admissionGroups.find(id); rec != nil && rec.Phase != "" {
		return recordReply(rec)
	}
	return nil
}

// answerFromStore answers from a fresh read; absent is the answer for a job that was
// never accepted, active makes the answer for a job that is not over.
func (cp *completions) answerFromStore(id string, notFound *rpc.Reply, answerActive func(*job.Record) *rpc.Reply, respond func(*rpc.Reply)) {
	go func() {
		ctx, cancel := context.WithTimeout(cp.ctx, freshReadTimeout)
		defer cancel()
		rec, err := cp.controller.findRecord(ctx, id)
		switch {
		case err != nil:
			respond(Unavailable("job record cannot be read at the moment"))
		case rec == nil:
			respond(notFound)
		case rec.Phase == "":
			respond(answerActive(rec))
		default:
			cp.enqueueForUser(func() { cp.cacheFinalStatus(rec) })
			respond(recordReply(rec))
		}
	}()
}

// recordStatus is the status of the job of a record.
func recordStatus(rec *job.Record) wire.JobStatus {
	status := wire.JobStatus{ID: rec.Spec.ID, Phase: rec.Phase, Done: rec.Done}
	if status.Phase == "" {
		status.Phase = wire.JobPending
	}
	return status
}

// recordReply answers with the status of the job of a record.
func recordReply(rec *job.Record) *rpc.Reply { return reply(http.StatusOK, recordStatus(rec)) }

// cancel cancels a job for its user and answers once that is stored.
func (cp *completions) cancel(id string, respond func(*rpc.Reply)) {
	notFound := reply(http.StatusNotFound, wire.Error{Error: "no such job"})
	if !job.ValidID(id) {
		respond(notFound)
		return
	}
	j := cp.jobTable.identified(id)
	if j == nil {
		cp.cancelUnknown(id, notFound, respond)
		return
	}
	if j.Phase != "" {
		cp.admission.status(id, respond)
		return
	}
	cp.cancelWaiters[j] = append(cp.cancelWaiters[j], respond)
	if j.Closing == "" {
		cp.finish(j, wire.JobCancelled)
	}
}

// cancelUnknown answers for a job that is over and no longer remembered, that was
// never accepted, or that another node admitted a moment ago: that one is taken in,
// and the user's next try finds it.
func (cp *completions) cancelUnknown(id string, notFound *rpc.Reply, respond func(*rpc.Reply)) {
	if response := cp.answerIfFinished(id); response != nil {
		respond(response)
		return
	}
	adopt := func(*job.Record) *rpc.Reply {
		cp.enqueueForUser(func() { cp.admission.adopt(id) })
		return Unavailable("job is being taken in")
	}
	cp.answerFromStore(id, notFound, adopt, respond)
}
