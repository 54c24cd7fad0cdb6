package control

import (
	"errors"
	"math"
	"net/http"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"vetchstream/internal/job"
	"vetchstream/internal/metrics"
	"vetchstream/internal/rpc"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// admission takes in submissions: what users hand in, and what other nodes have
// admitted while they could not reach the leader.
type admission struct {
	*core
	nameIndex       *nameIndex
	jobTable        *jobTable
	completions     *completions
	recordWriter    *recordWriter
	results         *results
	admissionGroups *admissionGroups
	teamQuotas      *teamQuotas

	limit      *rate.Limiter // of the writes of acceptances
	pending    map[string]*pendingSubmission
	queue      []*pendingSubmission // those of them whose commit is not under way
	flying     int                  // commits under way
	most       int                  // submissions in the queue
	valueMax   int                  // bytes that a group record may have
	retryPacer retryPacer
}

// pendingSubmission is a submission that is not durable yet, and who waits for it.
type pendingSubmission struct {
	rec   *job.Record
	backs []func(*rpc.Reply)
}

// tell answers those who wait. Whoever comes later is answered later.
func (in *pendingSubmission) tell(p *rpc.Reply) {
	for _, back := range in.backs {
		back(p)
	}
	in.backs = nil
}

// newAdmission sizes the queue by what can be stored while its users wait, and by
// the sockets, which their waiting takes.
func newAdmission(co *core, limit *rate.Limiter, txnOps int, valueKB float64, sockets int) *admission {
	backlog := queueTime.Seconds() * float64(limit.Limit()) * float64(2*txnOps)
	return &admission{core: co, limit: limit, pending: map[string]*pendingSubmission{}, valueMax: int(valueKB * 1024 * pageShare),
		most: max(8, min(int(backlog), sockets/2))}
}

// follow takes in jobs that other nodes have admitted while they could not reach
// the leader.
func (ad *admission) follow(epoch uint64) {
	take := func(key string) { ad.enqueueForUser(func() { ad.admitted(key[len(job.ActivePrefix):]) }) }
	listed := time.Now()
	for ad.ctx.Err() == nil {
		events, next, err := ad.controller.State.Watch(ad.ctx, job.ActivePrefix, epoch, 10*time.Second)
		switch {
		case errors.Is(err, state.ErrGone) || time.Since(listed) > auditEvery:
			entries, at, err := ad.controller.State.List(ad.ctx, job.ActivePrefix)
			if err != nil {
				ad.sleep(300 * time.Millisecond)
				continue
			}
			listed = time.Now()
			for _, e := range entries {
				take(e.Key)
			}
			epoch = at
		case err != nil:
			ad.sleep(300 * time.Millisecond)
		default:
			for _, e := range events {
				if e.Put != "" {
					take(e.Put)
				}
			}
			epoch = max(epoch, next)
		}
	}
}

// auditEvery is how often the records of active jobs are read once more: a job whose
// event was lost would be known to its users and to nobody else.
const auditEvery = time.Minute

// arriving reports whether a submission of the team is not durable yet.
func (ad *admission) arriving(team string) bool {
	for _, in := range ad.pending {
		if in.rec.Spec.Team == team {
			return true
		}
	}
	return false
}

// has reports whether a job is known here, over, being stored or being read.
func (ad *admission) has(id string) bool {
	return ad.completions.isOver(id) || ad.pending[id] != nil || ad.jobTable.get(id) != nil
}

// admitted takes in a job whose record this term may not have made itself.
func (ad *admission) admitted(id string) {
	if ad.admissionGroups.has(id) {
		// Admitted by another node as well: one record is enough.
		ad.results.drop(job.ActivePrefix + id)
		return
	}
	if ad.has(id) {
		return
	}
	// The event may be old: a job that is over by now is under its final key.
	go func() {
		for ad.ctx.Err() == nil {
			now, v, err := lookup(ad.ctx, ad.controller.State, id)
			if errors.Is(err, errUnreadable) {
				return // the next audit looks again
			}
			if err != nil {
				ad.sleep(300 * time.Millisecond)
				continue
			}
			if now != nil && now.Phase == "" {
				ad.enqueueForUser(func() {
					if !ad.has(id) {
						ad.jobTable.add(now, v, time.Now())
					}
				})
			}
			return
		}
	}()
}

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

// retryPacer tells those who are turned away when to come back, each at a time of
// its own, so that they do not come back together.
type retryPacer struct {
	perS float64   // submissions that can be stored in a second
	next time.Time // when the last one that was turned away is expected
}

// retryAfter is how long the next one that is turned away should wait before it comes back.
func (t *retryPacer) retryAfter(now time.Time) time.Duration {
	t.next = t.next.Add(time.Duration(float64(time.Second) / t.perS))
	if soon := now.Add(time.Second); t.next.Before(soon) {
		t.next = soon
	}
	if late := now.Add(longestRetry); t.next.After(late) {
		t.next = late
	}
	return t.next.Sub(now)
}

// longestRetry is the longest wait that users heed (protocol).
const longestRetry = 30 * time.Second

// busy turns a user away until the wait is over.
func busy(wait time.Duration) *rpc.Reply {
	p := finalRefusal(Unavailable("too many submissions at once"))
	p.RetryAfter = int(math.Ceil(wait.Seconds()))
	return p
}

// submit answers a submission. A known id wins over every check.
func (ad *admission) submit(id string, spec *job.Spec, invalid error, back func(*rpc.Reply)) {
	if id != "" {
		if p := ad.completions.answerFromMemory(id); p != nil {
			back(p)
			return
		}
		if ad.jobTable.identified(id) != nil {
			ad.completions.answerFromStore(id, finalRefusal(Unavailable("job is ending")), recordReply, back)
			return
		}
		if in := ad.pending[id]; in != nil {
			if len(in.backs) >= mostBacks {
				back(finalRefusal(Unavailable("submission is being stored")))
				return
			}
			in.backs = append(in.backs, back)
			return
		}
	}
	if invalid != nil {
		bad := reply(http.StatusBadRequest, wire.Error{Error: invalid.Error()})
		if id == "" {
			back(bad)
			return
		}
		ad.completions.answerFromStore(id, bad, recordReply, back)
		return
	}
	switch p := ad.controller.admissionRefusal(spec, ad.nameIndex.list(), ad.teamQuotas.find(spec.Team)); {
	case p == nil:
	case p.Status == http.StatusServiceUnavailable:
		back(p)
		return
	default:
		ad.completions.answerFromStore(id, p, recordReply, back)
		return
	}
	if ad.admissionGroups.doubtful() {
		ad.completions.answerFromStore(id, Unavailable("a record cannot be read"), recordReply, back)
		return
	}
	now := time.Now()
	if len(ad.queue) >= ad.most {
		ad.retryPacer.perS = ad.rate()
		back(busy(ad.retryPacer.retryAfter(now)))
		return
	}
	in := &pendingSubmission{rec: &job.Record{Spec: *spec, At: now.UnixMilli()}, backs: []func(*rpc.Reply){back}}
	ad.pending[id] = in
	ad.queue = append(ad.queue, in)
}

const (
	// queueTime is the backlog that may wait to be stored: who would wait for longer
	// is better off elsewhere, or later.
	queueTime = time.Second
	// mostFlying bounds the transactions under way. Now and then one takes a few
	// hundred milliseconds, and those that come after it must not wait for it.
	mostFlying = 8
	// mostBacks bounds the users that wait for one submission.
	mostBacks = 8
)

// rate is how many submissions can be stored in a second.
func (ad *admission) rate() float64 { return float64(ad.limit.Limit()) * float64(ad.together()) }

// together is how many jobs one transaction may take in: each has two conditions,
// and a transaction may have four times as many conditions as writes.
func (ad *admission) together() int { return max(1, (4*ad.recordWriter.size()-2)/2) }

// flush stores what has arrived, as much together as fits. Beyond their share
// submissions get what nobody else needs of the budget.
func (ad *admission) flush(now time.Time) {
	for len(ad.queue) > 0 && ad.flying < mostFlying {
		if !ad.controller.State.Idle(ad.recordWriter.size()) && !ad.limit.AllowN(now, 1) {
			return
		}
		n, bytes := 0, 0
		for n < len(ad.queue) && n < ad.together() {
			b, err := wire.Marshal(ad.queue[n].rec)
			if err != nil {
				ad.log.Error("record does not encode", "job", ad.queue[n].rec.Spec.ID, "error", err)
			}
			bytes += recordSize(b)
			if n > 0 && bytes > ad.valueMax {
				break
			}
			n++
		}
		in := slices.Clone(ad.queue[:n])
		ad.queue = slices.Delete(ad.queue, 0, n)
		key := ""
		if n > 1 {
			key = ad.admissionGroups.name()
		}
		ad.flying++
		go func() {
			ad.create(key, in)
			ad.enqueueForUser(func() { ad.flying-- })
		}()
	}
}

// recordSize estimates what a record takes in the form in which limits count, and
// with its end in it.
func recordSize(encoded []byte) int { return len(encoded)*5/4 + 40 }

// refuse turns away what waits, when this node may not act.
func (ad *admission) refuse() {
	for _, in := range ad.queue {
		ad.done(in, Unavailable("leadership is not certain"))
	}
	ad.queue = nil
}

// done answers all who wait for a submission, for good.
func (ad *admission) done(in *pendingSubmission, p *rpc.Reply) {
	delete(ad.pending, in.rec.Spec.ID)
	in.tell(p)
}

// storeRetryPause is the wait before admission tries the state service again:
// after an unclear commit, a conflict that did not name its keys, or a failed read.
const storeRetryPause = 200 * time.Millisecond

// create makes submissions durable before their users are told: one under its own
// key, several in a group record. An unclear commit is tried again: either it was
// applied, and the conditions show it, or the second one takes its place.
func (ad *admission) create(key string, in []*pendingSubmission) {
	all := func(p *rpc.Reply) {
		ad.enqueueForUser(func() {
			for _, x := range in {
				ad.done(x, p)
			}
		})
	}
	for unclear := false; ad.ctx.Err() == nil; {
		txn, err := admissionTxn(key, in)
		if err != nil {
			all(reply(http.StatusBadRequest, wire.Error{Error: err.Error()}))
			return
		}
		txn.If = append(txn.If, ad.fence)
		version, err := ad.controller.State.CommitOnce(ad.ctx, txn)
		var conflict *state.ConflictError
		switch {
		case err == nil:
			ad.accepted(key, version, in)
			return
		case errors.As(err, &conflict) && key == "":
			ad.resolve(in[0])
			return
		case errors.As(err, &conflict):
			rest, unclearNow, over := ad.afterConflict(key, in, conflict, all)
			if over {
				return
			}
			in, unclear = rest, unclear || unclearNow
		case errors.Is(err, state.ErrRefused) && !unclear:
			// Certainly not stored: the users are told at once to come back.
			all(Unavailable("state service refuses writes"))
			return
		case errors.Is(err, state.ErrRejected) && !unclear:
			// Too large, it may be: once more in smaller groups, but not alone.
			ad.enqueueForUser(func() {
				ad.recordWriter.smaller(err)
				for _, x := range in {
					if len(in) == 1 {
						ad.done(x, Unavailable("state service rejects the submission"))
					} else {
						ad.queue = append(ad.queue, x)
					}
				}
			})
			return
		default:
			unclear = true
			ad.enqueueForUser(func() {
				for _, x := range in {
					x.tell(Unavailable("submission is not settled yet"))
				}
			})
			ad.sleep(storeRetryPause)
		}
	}
}

// accepted takes in what has been stored.
func (ad *admission) accepted(key string, version uint64, in []*pendingSubmission) {
	kind := "own"
	if key != "" {
		kind = "group"
	}
	ad.controller.Meter.Add(metrics.Accepted, kind, len(in))
	ad.enqueueForUser(func() {
		if key != "" {
			recs := make([]job.Record, len(in))
			for i, x := range in {
				recs[i] = *x.rec
			}
			ad.admissionGroups.add(key, version, recs)
			version = 0
		}
		for _, x := range in {
			if ad.jobTable.identified(x.rec.Spec.ID) == nil {
				ad.jobTable.add(x.rec, version, time.Now())
			}
			ad.done(x, reply(http.StatusCreated, recordStatus(x.rec)))
		}
	})
}

// resolve answers for a submission whose job exists already.
func (ad *admission) resolve(in *pendingSubmission) {
	id := in.rec.Spec.ID
	for ad.ctx.Err() == nil {
		found, version, err := lookup(ad.ctx, ad.controller.State, id)
		if err != nil {
			ad.sleep(storeRetryPause)
			continue
		}
		ad.enqueueForUser(func() {
			switch {
			case found == nil:
				// The term has moved on.
				ad.done(in, Unavailable("leadership has changed"))
				return
			case found.Phase != "":
				ad.completions.cacheFinalStatus(found)
			case ad.completions.isOver(id):
				// It has ended since the read: taken in once more it would run again, and its
				// user would be told that it waits.
				ad.done(in, ad.completions.answerIfOver(id))
				return
			case ad.jobTable.identified(id) == nil:
				ad.jobTable.add(found, version, time.Now())
			}
			ad.done(in, recordReply(found))
		})
		return
	}
}

// afterConflict handles a commit whose conditions failed: the unclear try before
// may have been applied, the leadership may have changed, or some of the jobs are
// known already. It returns the submissions to try again, and whether the state
// of the last try is unclear; over means that nothing is left to try.
func (ad *admission) afterConflict(key string, in []*pendingSubmission, conflict *state.ConflictError, all func(*rpc.Reply)) (rest []*pendingSubmission, unclear, over bool) {
	e, gerr := ad.controller.State.Get(ad.ctx, key)
	switch {
	case gerr == nil: // the unclear one was applied
		ad.accepted(key, e.Version, in)
		return nil, false, true
	case !errors.Is(gerr, state.ErrNotFound):
		ad.sleep(storeRetryPause)
		return in, true, false
	case slices.Contains(conflict.Failed, ad.fence.Key):
		all(Unavailable("leadership has changed"))
		return nil, false, true
	}
	// Jobs that are known already must not keep the others out. (An unclear try
	// with all of them fails from now on: a job's record moves, but never goes.)
	known, rest := split(in, conflict.Failed)
	for _, x := range known {
		ad.resolve(x)
	}
	if len(rest) == 0 {
		return nil, false, true
	}
	if len(known) == 0 {
		ad.sleep(storeRetryPause) // the service did not say which
	}
	return rest, false, false
}

// split parts the submissions of which a key is named from the others.
func split(in []*pendingSubmission, keys []string) (named, rest []*pendingSubmission) {
	for _, x := range in {
		id := x.rec.Spec.ID
		if slices.Contains(keys, job.ActivePrefix+id) || slices.Contains(keys, job.FinalPrefix+id) {
			named = append(named, x)
		} else {
			rest = append(rest, x)
		}
	}
	return named, rest
}

// admissionTxn is the transaction that makes jobs durable, each once: one under
// its own key, or a group's under the group's.
func admissionTxn(key string, in []*pendingSubmission) (txn state.Txn, err error) {
	var put state.Write
	if key == "" {
		put, err = state.Put(job.ActivePrefix+in[0].rec.Spec.ID, in[0].rec)
	} else {
		var g job.Group
		for _, x := range in {
			g.Jobs = append(g.Jobs, *x.rec)
		}
		put, err = state.Put(key, g)
		txn.If = append(txn.If, state.Cond{Key: key})
	}
	for _, x := range in {
		id := x.rec.Spec.ID
		txn.If = append(txn.If, state.Cond{Key: job.ActivePrefix + id}, state.Cond{Key: job.FinalPrefix + id})
	}
	txn.Writes = []state.Write{put}
	return txn, err
}
