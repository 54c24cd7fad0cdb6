package control

import (
	"errors"
	"math"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"vetchstream/internal/job"
	"vetchstream/internal/peer"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// admission takes in submissions: what users hand in, and what other nodes have
// admitted while they could not reach the leader.
type admission struct {
	*core
	names   *names
	book    *book
	endings *endings
	writer  *writer

	pending   map[string]bool // submissions whose commit is under way
	turnstile turnstile
}

func newAdmission(co *core, limit *rate.Limiter) *admission {
	return &admission{core: co, pending: map[string]bool{}, turnstile: turnstile{limit: limit}}
}

// follow takes in jobs that other nodes have admitted while they could not reach
// the leader.
func (ad *admission) follow(epoch uint64) {
	take := func(key string) { ad.post(func() { ad.admitted(key[len(job.ActivePrefix):]) }) }
	for ad.ctx.Err() == nil {
		events, next, err := ad.c.State.Watch(ad.ctx, job.ActivePrefix, epoch, 10*time.Second)
		switch {
		case errors.Is(err, state.ErrGone):
			entries, at, err := ad.c.State.List(ad.ctx, job.ActivePrefix)
			if err != nil {
				ad.pause(300 * time.Millisecond)
				continue
			}
			for _, e := range entries {
				take(e.Key)
			}
			epoch = at
		case err != nil:
			ad.pause(300 * time.Millisecond)
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

// has reports whether a job is known here, over, being stored or being read.
func (ad *admission) has(id string) bool {
	return ad.endings.over(id) || ad.pending[id] || ad.book.get(id) != nil
}

// admitted takes in a job whose record this reign may not have made itself.
func (ad *admission) admitted(id string) {
	if ad.has(id) {
		return
	}
	// The event may be old: a job that is over by now is under its final key.
	go func() {
		for ad.ctx.Err() == nil {
			now, v, err := lookup(ad.ctx, ad.c.State, id)
			if err != nil {
				ad.pause(300 * time.Millisecond)
				continue
			}
			if now != nil && now.Phase == "" {
				ad.post(func() {
					if !ad.has(id) {
						ad.book.add(now, v, time.Now())
					}
				})
			}
			return
		}
	}()
}

func (ad *admission) status(id string, back func(*peer.Reply)) {
	absent := reply(http.StatusNotFound, wire.Error{Error: "no such job"})
	if !job.ValidID(id) {
		back(absent)
		return
	}
	if p := ad.endings.known(id); p != nil {
		back(p)
		return
	}
	if ad.pending[id] {
		back(Later("submission is being stored"))
		return
	}
	ad.endings.readBack(id, absent, recorded, back)
}

// turnstile lets submissions through at the rate at which they can be stored.
// The others are told at once when to come back, each at a time of its own, so
// that they do not come back together.
type turnstile struct {
	limit *rate.Limiter
	next  time.Time // when the last one that was turned away is expected
}

// pass lets a submission through (0), or says when it should come back.
func (t *turnstile) pass(now time.Time) time.Duration {
	if t.limit.AllowN(now, 1) {
		return 0
	}
	t.next = t.next.Add(time.Duration(float64(time.Second) / float64(t.limit.Limit())))
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
func busy(wait time.Duration) *peer.Reply {
	p := settled(Later("too many submissions at once"))
	p.RetryAfter = int(math.Ceil(wait.Seconds()))
	return p
}

// submit answers a submission. A known id wins over every check.
func (ad *admission) submit(id string, spec *job.Spec, invalid error, back func(*peer.Reply)) {
	if id != "" {
		if p := ad.endings.known(id); p != nil {
			back(p)
			return
		}
		if ad.pending[id] {
			back(settled(Later("submission is being stored")))
			return
		}
	}
	if invalid != nil {
		bad := reply(http.StatusBadRequest, wire.Error{Error: invalid.Error()})
		if id == "" {
			back(bad)
			return
		}
		ad.endings.readBack(id, bad, recorded, back)
		return
	}
	switch p := ad.c.verdict(spec, ad.names.list()); {
	case p == nil:
	case p.Status == http.StatusServiceUnavailable:
		back(p)
		return
	default:
		ad.endings.readBack(id, p, recorded, back)
		return
	}
	now := time.Now()
	// Beyond their share submissions get what nobody else needs.
	if ad.c.State.Spare() < 2*ad.writer.size() {
		if wait := ad.turnstile.pass(now); wait > 0 {
			back(busy(wait))
			return
		}
	}
	ad.pending[id] = true
	rec := &job.Record{Spec: *spec, At: now.UnixMilli()}
	go ad.create(rec, back)
}

// create makes the job durable before its user is told. An unclear commit is
// tried again: either it was applied, and the conditions show it, or the second
// one takes its place.
func (ad *admission) create(rec *job.Record, back func(*peer.Reply)) {
	id := rec.Spec.ID
	done := func(version uint64, found *job.Record, p *peer.Reply) {
		ad.post(func() {
			delete(ad.pending, id)
			switch {
			case found != nil && found.Phase != "":
				ad.endings.remember(found)
			case found != nil && ad.book.sound(id) == nil:
				ad.book.add(found, version, time.Now())
			}
			back(p)
		})
	}
	txn, err := admissionTxn(rec)
	if err != nil {
		done(0, nil, reply(http.StatusBadRequest, wire.Error{Error: err.Error()}))
		return
	}
	txn.If = append(txn.If, ad.fence)
	for unclear := false; ad.ctx.Err() == nil; {
		version, err := ad.c.State.Commit(ad.ctx, txn)
		switch {
		case err == nil:
			done(version, rec, reply(http.StatusCreated, recordStatus(rec)))
			return
		case errors.Is(err, state.ErrConflict):
			found, v, err := lookup(ad.ctx, ad.c.State, id)
			if err != nil {
				ad.pause(200 * time.Millisecond)
				continue
			}
			if found == nil {
				// The term has moved on.
				done(0, nil, Later("leadership has changed"))
				return
			}
			done(v, found, reply(http.StatusOK, recordStatus(found)))
			return
		case errors.Is(err, state.ErrRefused) && !unclear:
			// Certainly not stored: the user is told at once to come back.
			done(0, nil, Later("state service refuses writes"))
			return
		default:
			unclear = true
			back(Later("submission is not settled yet"))
			ad.pause(200 * time.Millisecond)
		}
	}
}

// admissionTxn is the transaction that makes a job durable, once.
func admissionTxn(rec *job.Record) (state.Txn, error) {
	id := rec.Spec.ID
	put, err := state.Put(job.ActivePrefix+id, rec)
	if err != nil {
		return state.Txn{}, err
	}
	return state.Txn{If: []state.Cond{{Key: job.ActivePrefix + id}, {Key: job.FinalPrefix + id}}, Writes: []state.Write{put}}, nil
}
