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
	// maxQueueTime is the backlog of submissions that may wait to be stored. A user
	// who would wait longer is told to retry later.
	maxQueueTime = time.Second
	// minQueueLength is the least length of the queue.
	minQueueLength = 8
	// maxCallbacks bounds the requests that wait for one submission.
	maxCallbacks = 8
)

// admission handles submissions: it checks and stores those of users, and adopts the
// jobs that other nodes have admitted while they could not reach the leader.
type admission struct {
	*core
	nameIndex       *nameIndex
	jobTable        *jobTable
	completions     *completions
	recordWriter    *recordWriter
	results         *results
	admissionGroups *admissionGroups
	teamQuotas      *teamQuotas

	limit           *rate.Limiter                 // of admission's transactions
	pending         map[string]*pendingSubmission // by job ID
	queue           []*pendingSubmission          // those of pending that no commit has yet
	commitsInFlight int
	maxQueueLength  int // submissions in the queue
	maxGroupBytes   int // estimated bytes of a group record
	retryPacer      retryPacer
}

// pendingSubmission is a submission that is not durable yet, with the requests that
// wait for it.
type pendingSubmission struct {
	rec       *job.Record
	callbacks []func(*rpc.Reply)
}

// id is the ID of the job.
func (ps *pendingSubmission) id() string { return ps.rec.Spec.ID }

// answer replies to the requests that wait so far.
func (ps *pendingSubmission) answer(response *rpc.Reply) {
	for _, respond := range ps.callbacks {
		respond(response)
	}
	ps.callbacks = nil
}

// newAdmission makes the admission of a term. limit is the rate of its transactions,
// txnOps the writes in one, valueKB the limit for a value in KiB and sockets the
// node's limit of connections. The queue holds what can be stored within
// maxQueueTime, on at most half of the connections.
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

// hasPending reports whether a submission of the team is not durable yet.
func (ad *admission) hasPending(team string) bool {
	for _, ps := range ad.pending {
		if ps.rec.Spec.Team == team {
			return true
		}
	}
	return false
}

// hasJob reports whether the leader has the job: over, being stored, or in the job
// table.
func (ad *admission) hasJob(id string) bool {
	return ad.completions.isFinished(id) || ad.pending[id] != nil || ad.jobTable.get(id) != nil
}

// status answers a status request.
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
		respond(Unavailable("submission is being stored"))
		return
	}
	ad.completions.answerFromStore(id, notFound, recordReply, respond)
}

// submit answers a submission. id may be set even if the submission is invalid; a
// job that exists is answered with its status before any check.
func (ad *admission) submit(id string, spec *job.Spec, invalid error, respond func(*rpc.Reply)) {
	if id != "" && ad.answerIfKnown(id, respond) {
		return
	}
	if invalid != nil {
		ad.rejectInvalid(id, invalid, respond)
		return
	}
	if refusal := ad.controller.admissionRefusal(spec, ad.nameIndex.machineTypes(), ad.teamQuotas.find(spec.Team)); refusal != nil {
		if refusal.Status == http.StatusServiceUnavailable {
			respond(refusal)
			return
		}
		ad.completions.answerFromStore(id, refusal, recordReply, respond)
		return
	}
	if ad.admissionGroups.hasUnreadable() {
		ad.completions.answerFromStore(id, Unavailable("a record cannot be read"), recordReply, respond)
		return
	}
	ad.enqueue(id, spec, respond)
}

// answerIfKnown answers a submission whose job the leader has already, and reports
// whether it did.
func (ad *admission) answerIfKnown(id string, respond func(*rpc.Reply)) bool {
	if response := ad.completions.answerFromMemory(id); response != nil {
		respond(response)
		return true
	}
	if ad.jobTable.identified(id) != nil {
		ad.completions.answerFromStore(id, finalRefusal(Unavailable("job is ending")), recordReply, respond)
		return true
	}
	ps := ad.pending[id]
	if ps == nil {
		return false
	}
	if len(ps.callbacks) >= maxCallbacks {
		respond(finalRefusal(Unavailable("submission is being stored")))
		return true
	}
	ps.callbacks = append(ps.callbacks, respond)
	return true
}

// rejectInvalid answers a malformed submission. If it names a job that exists, that
// job's status is the answer.
func (ad *admission) rejectInvalid(id string, invalid error, respond func(*rpc.Reply)) {
	badRequest := reply(http.StatusBadRequest, wire.Error{Error: invalid.Error()})
	if id == "" {
		respond(badRequest)
		return
	}
	ad.completions.answerFromStore(id, badRequest, recordReply, respond)
}

// enqueue adds a submission that has passed the checks to the queue, or tells its
// user when to retry if the queue is full.
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

// refuseQueued answers the queued submissions when this node may not act as leader.
func (ad *admission) refuseQueued() {
	for _, ps := range ad.queue {
		ad.finish(ps, Unavailable("leadership is not certain"))
	}
	ad.queue = nil
}

// finish answers all requests that wait for a submission, and ends it.
func (ad *admission) finish(ps *pendingSubmission, response *rpc.Reply) {
	delete(ad.pending, ps.id())
	ps.answer(response)
}
