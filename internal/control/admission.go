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
	// minQueued is the least length of the queue.
	minQueued = 8
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
	maxQueued       int // submissions in the queue
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
func (ps *pendingSubmission) answer(p *rpc.Reply) {
	for _, back := range ps.callbacks {
		back(p)
	}
	ps.callbacks = nil
}

// newAdmission makes the admission of a term. limit is the rate of its transactions,
// txnOps the writes in one, valueKB the limit for a value in KiB and sockets the
// node's limit of connections. The queue holds what can be stored within
// maxQueueTime, on at most half of the connections.
func newAdmission(co *core, limit *rate.Limiter, txnOps int, valueKB float64, sockets int) *admission {
	backlog := maxQueueTime.Seconds() * float64(limit.Limit()) * float64(2*txnOps)
	return &admission{
		core:          co,
		limit:         limit,
		pending:       map[string]*pendingSubmission{},
		maxQueued:     max(minQueued, min(int(backlog), sockets/2)),
		maxGroupBytes: int(valueKB * 1024 * valueFillFraction),
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

// knows reports whether the leader has the job: over, being stored, or in the job
// table.
func (ad *admission) knows(id string) bool {
	return ad.completions.isOver(id) || ad.pending[id] != nil || ad.jobTable.get(id) != nil
}

// status answers a status request.
func (ad *admission) status(id string, back func(*rpc.Reply)) {
	absent := reply(http.StatusNotFound, wire.Error{Error: "no such job"})
	if !job.ValidID(id) {
		back(absent)
		return
	}
	if p := ad.completions.answerFromMemory(id); p != nil {
		back(p)
		return
	}
	if ad.pending[id] != nil {
		back(Unavailable("submission is being stored"))
		return
	}
	ad.completions.answerFromStore(id, absent, recordReply, back)
}

// submit answers a submission. id may be set even if the submission is invalid; a
// job that exists is answered with its status before any check.
func (ad *admission) submit(id string, spec *job.Spec, invalid error, back func(*rpc.Reply)) {
	if id != "" && ad.answerKnown(id, back) {
		return
	}
	if invalid != nil {
		ad.rejectInvalid(id, invalid, back)
		return
	}
	if refusal := ad.controller.admissionRefusal(spec, ad.nameIndex.machineTypes(), ad.teamQuotas.teamQuota(spec.Team)); refusal != nil {
		if refusal.Status == http.StatusServiceUnavailable {
			back(refusal)
			return
		}
		ad.completions.answerFromStore(id, refusal, recordReply, back)
		return
	}
	if ad.admissionGroups.hasUnreadable() {
		ad.completions.answerFromStore(id, Unavailable("a record cannot be read"), recordReply, back)
		return
	}
	ad.enqueue(id, spec, back)
}

// answerKnown answers a submission whose job the leader has already, and reports
// whether it did.
func (ad *admission) answerKnown(id string, back func(*rpc.Reply)) bool {
	if p := ad.completions.answerFromMemory(id); p != nil {
		back(p)
		return true
	}
	if ad.jobTable.identified(id) != nil {
		ad.completions.answerFromStore(id, finalRefusal(Unavailable("job is ending")), recordReply, back)
		return true
	}
	ps := ad.pending[id]
	if ps == nil {
		return false
	}
	if len(ps.callbacks) >= maxCallbacks {
		back(finalRefusal(Unavailable("submission is being stored")))
		return true
	}
	ps.callbacks = append(ps.callbacks, back)
	return true
}

// rejectInvalid answers a malformed submission. If it names a job that exists, that
// job's status is the answer.
func (ad *admission) rejectInvalid(id string, invalid error, back func(*rpc.Reply)) {
	bad := reply(http.StatusBadRequest, wire.Error{Error: invalid.Error()})
	if id == "" {
		back(bad)
		return
	}
	ad.completions.answerFromStore(id, bad, recordReply, back)
}

// enqueue adds a submission that has passed the checks to the queue, or tells its
// user when to retry if the queue is full.
func (ad *admission) enqueue(id string, spec *job.Spec, back func(*rpc.Reply)) {
	now := time.Now()
	if len(ad.queue) >= ad.maxQueued {
		ad.retryPacer.perSecond = ad.submissionRate()
		back(tooManySubmissions(ad.retryPacer.retryAfter(now)))
		return
	}
	ps := &pendingSubmission{
		rec:       &job.Record{Spec: *spec, SubmittedMS: now.UnixMilli()},
		callbacks: []func(*rpc.Reply){back},
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
func (ad *admission) finish(ps *pendingSubmission, p *rpc.Reply) {
	delete(ad.pending, ps.id())
	ps.answer(p)
}
