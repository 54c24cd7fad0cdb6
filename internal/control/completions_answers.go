package control

import (
	"context"
	"net/http"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/rpc"
	"vetchstream/internal/wire"
)

// freshReadTimeout bounds the read of a job's record for a response.
const freshReadTimeout = 3 * time.Second

// answerFromMemory returns a job's status from memory, or nil if the job is not in memory
// or its final record is being committed. Once that commit has been sent, another node
// may already have read the final record and reported it to the user, while this node
// does not have the outcome yet. Only a read of the key-value store gives a consistent
// answer then.
func (cp *completions) answerFromMemory(id string) *rpc.Reply {
	if j := cp.jobTable.identified(id); j != nil {
		if j.EndingPhase != "" && j.Phase == "" {
			return nil
		}
		return reply(http.StatusOK, j.Status(cp.jobTable.runningTasks(j)))
	}
	return cp.answerIfFinished(id)
}

// answerIfFinished returns the status of a finished job from memory, or nil if the job is
// not finished or its status is no longer cached.
func (cp *completions) answerIfFinished(id string) *rpc.Reply {
	if status, ok := cp.finalStatuses.get(id); ok {
		return reply(http.StatusOK, status)
	}
	if rec := cp.admissionGroups.find(id); rec != nil && rec.Phase != "" {
		return recordReply(rec)
	}
	return nil
}

// answerFromStore answers after reading the job's record from the key-value store.
// ifAbsent is the response if there is no record, ifActive composes the response if the
// job is not finished.
func (cp *completions) answerFromStore(id string, ifAbsent *rpc.Reply, ifActive func(*job.Record) *rpc.Reply, respond func(*rpc.Reply)) {
	go func() {
		ctx, cancel := context.WithTimeout(cp.ctx, freshReadTimeout)
		defer cancel()
		rec, err := cp.controller.findRecord(ctx, id)
		switch {
		case err != nil:
			respond(Unavailable("the job's record cannot be read at the moment"))
		case rec == nil:
			respond(ifAbsent)
		case rec.Phase == "":
			respond(ifActive(rec))
		default:
			cp.enqueueForUser(func() { cp.cacheFinalStatus(rec) })
			respond(recordReply(rec))
		}
	}()
}

// recordStatus returns the job status that a record describes.
func recordStatus(rec *job.Record) wire.JobStatus {
	status := wire.JobStatus{ID: rec.Spec.ID, Phase: rec.Phase, Done: rec.Done}
	if status.Phase == "" {
		status.Phase = wire.JobPending
	}
	return status
}

// recordReply returns a response with the job status that a record describes.
func recordReply(rec *job.Record) *rpc.Reply { return reply(http.StatusOK, recordStatus(rec)) }

// cancel cancels a job at its user's request, and responds once the cancellation is
// stored.
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
	if j.EndingPhase == "" {
		cp.finish(j, wire.JobCancelled)
	}
}

// cancelUnknown answers the cancellation of a job that is not in the job table: it is
// finished, was never accepted, or was recently admitted by another node. In the last
// case the job is adopted, so that the user's next try finds it.
func (cp *completions) cancelUnknown(id string, notFound *rpc.Reply, respond func(*rpc.Reply)) {
	if response := cp.answerIfFinished(id); response != nil {
		respond(response)
		return
	}
	adopt := func(*job.Record) *rpc.Reply {
		cp.enqueueForUser(func() { cp.admission.adopt(id) })
		return Unavailable("the job was admitted by another node and is being adopted")
	}
	cp.answerFromStore(id, notFound, adopt, respond)
}
