package control

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"vetchstream/internal/job"
	"vetchstream/internal/rpc"
	"vetchstream/internal/wire"
)

const (
	// maxQueueTime bounds the backlog of submissions, measured by the time needed to
	// store them. Submissions beyond it are refused with a retry time.
	maxQueueTime = time.Second
	// minQueueLength is the lower bound of the queue's capacity.
	minQueueLength = 8
	// maxCallbacks bounds the number of requests waiting for one submission.
	maxCallbacks = 8
)

// admission validates and stores users' submissions, and adopts the jobs that other
// nodes admitted while they could not reach the leader.
type admission struct {
	*core
	nameIndex       *nameIndex
	jobTable        *jobTable
	completions     *completions
	recordWriter    *recordWriter
	results         *results
	admissionGroups *admissionGroups
	teamQuotas      *teamQuotas

	limit           *rate.Limiter                 // limits admission transactions
	pending         map[string]*pendingSubmission // by job ID
	queue           []*pendingSubmission          // pending submissions that are not part of a commit yet
	commitsInFlight int
	maxQueueLength  int
	maxGroupBytes   int // bounds the estimated size of a group record
	retryPacer      retryPacer
}

// pendingSubmission is a submission that is not durable yet, with the callbacks of the
// requests waiting for it.
type pendingSubmission struct {
	rec       *job.Record
	callbacks []func(*rpc.Reply)
}

// id returns the ID of the job.
func (ps *pendingSubmission) id() string { return ps.rec.Spec.ID }

// answer sends the response to all waiting requests.
func (ps *pendingSubmission) answer(response *rpc.Reply) {
	for _, respond := range ps.callbacks {
		respond(response)
	}
	ps.callbacks = nil
}

// newAdmission creates the admission part of a term. limit limits the rate of its
// transactions, txnOps is the maximum number of writes per transaction, valueKB the
// maximum size of a value in KiB and maxSockets the node's connection limit. The queue
// holds as many submissions as can be stored within maxQueueTime, but occupies at most
// half of the connections.
func newAdmission(co *core, limit *rate.Limiter, txnOps int, valueKB float64, maxSockets int) *admission {
	backlog := maxQueueTime.Seconds() * float64(limit.Limit()) * float64(2*txnOps)
	return &admission{
		core:           co,
		limit:          limit,
		pending:        map[string]*pendingSubmission{},
		maxQueueLength: max(minQueueLength, min(int(backlog), maxSockets/2)),
		maxGroupBytes:  int(valueKB * 1024 * valueFillFraction),
	}
}

// hasPending reports whether the team has a submission that is not durable yet.
func (ad *admission) hasPending(team string) bool {
	for _, ps := range ad.pending {
		if ps.rec.Spec.Team == team {
			return true
		}
	}
	return false
}

// hasJob reports whether the job is in the leader's memory: cached as finished, pending,
// or in the job table.
func (ad *admission) hasJob(id string) bool {
	return ad.completions.isFinished(id) || ad.pending[id] != nil || ad.jobTable.get(id) != nil
}

// status answers a request for a job's status.
func (ad *admission) status(id string, respond func(*rpc.Reply)) {
	notFound := reply(http.StatusNotFound, wire.Error{Error: "no such job"})
	if !job.ValidID(id) {
		respond(notFound)
		return
	}
	if response := ad.completions.answerFromMemory(id); response != nil {
		respond(response)
		return
	}
	if ad.pending[id] != nil {
		respond(Unavailable("the submission is still being stored"))
		return
	}
	ad.completions.answerFromStore(id, notFound, recordReply, respond)
}

// submit answers a submission. id may be set even if the submission is invalid. If the
// job already exists, the response is its status, regardless of the checks.
func (ad *admission) submit(id string, spec *job.Spec, invalid error, respond func(*rpc.Reply)) {
	if id != "" && ad.answerIfKnown(id, respond) {
		return
	}
	if invalid != nil {
		ad.rejectInvalid(id, invalid, respond)
		return
	}
	if refusal := ad.controller.admissionRefusal(spec, ad.nameIndex.machineTypes(), ad.teamQuotas.teamQuota(spec.Team)); refusal != nil {
		if refusal.Status == http.StatusServiceUnavailable {
			respond(refusal)
			return
		}
		ad.completions.answerFromStore(id, refusal, recordReply, respond)
		return
	}
	if ad.admissionGroups.hasUnreadable() {
		ad.completions.answerFromStore(id, Unavailable("a stored group record cannot be decoded and may contain the job"), recordReply, respond)
		return
	}
	ad.enqueue(id, spec, respond)
}

// answerIfKnown answers a submission whose job is already in the leader's memory, and
// reports whether it did so.
func (ad *admission) answerIfKnown(id string, respond func(*rpc.Reply)) bool {
	if response := ad.completions.answerFromMemory(id); response != nil {
		respond(response)
		return true
	}
	if ad.jobTable.identified(id) != nil {
		ad.completions.answerFromStore(id, finalRefusal(Unavailable("the job's final phase is being stored")), recordReply, respond)
		return true
	}
	ps := ad.pending[id]
	if ps == nil {
		return false
	}
	if len(ps.callbacks) >= maxCallbacks {
		respond(finalRefusal(Unavailable("the submission is still being stored")))
		return true
	}
	ps.callbacks = append(ps.callbacks, respond)
	return true
}

// rejectInvalid answers an invalid submission: with the job's status if the named job
// exists, otherwise with an error.
func (ad *admission) rejectInvalid(id string, invalid error, respond func(*rpc.Reply)) {
	badRequest := reply(http.StatusBadRequest, wire.Error{Error: invalid.Error()})
	if id == "" {
		respond(badRequest)
		return
	}
	ad.completions.answerFromStore(id, badRequest, recordReply, respond)
}

// enqueue adds a validated submission to the queue, or refuses it with a retry time if
// the queue is full.
func (ad *admission) enqueue(id string, spec *job.Spec, respond func(*rpc.Reply)) {
	now := time.Now()
	if len(ad.queue) >= ad.maxQueueLength {
		ad.retryPacer.perSecond = ad.submissionRate()
		respond(tooManySubmissions(ad.retryPacer.retryAfter(now)))
		return
	}
	ps := &pendingSubmission{
		rec:       &job.Record{Spec: *spec, SubmittedMS: now.UnixMilli()},
		callbacks: []func(*rpc.Reply){respond},
	}
	ad.pending[id] = ps
	ad.queue = append(ad.queue, ps)
}

// refuseQueued refuses all queued submissions because this node is not entitled to act
// as leader.
func (ad *admission) refuseQueued() {
	for _, ps := range ad.queue {
		ad.finish(ps, Unavailable("the node cannot confirm its leadership"))
	}
	ad.queue = nil
}

// finish answers all requests waiting for a submission and removes it.
func (ad *admission) finish(ps *pendingSubmission, response *rpc.Reply) {
	delete(ad.pending, ps.id())
	ps.answer(response)
}
