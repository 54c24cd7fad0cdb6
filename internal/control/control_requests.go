package control

import (
	"context"
	"net/http"

	"vetchstream/internal/job"
	"vetchstream/internal/rpc"
	"vetchstream/internal/wire"
)

// reply encodes a response body.
func reply(status int, v any) *rpc.Reply {
	b, err := wire.Marshal(v)
	if err != nil {
		return &rpc.Reply{Status: http.StatusInternalServerError}
	}
	return &rpc.Reply{Status: status, Body: b}
}

// retryAfterS is when a client may retry a request that could not be served, in
// seconds.
const retryAfterS = 1

// Unavailable refuses a request for now; the client retries it.
func Unavailable(reason string) *rpc.Reply {
	r := reply(http.StatusServiceUnavailable, wire.Error{Error: reason})
	r.RetryAfter = retryAfterS
	return r
}

// finalRefusal marks a refusal as the leader's own decision: the node that
// forwarded the request must not serve it by itself, which would double the load
// that the leader sheds.
func finalRefusal(p *rpc.Reply) *rpc.Reply {
	p.Final = true
	return p
}

// actorRequest is a request in the form in which the leader's actor takes it.
type actorRequest struct {
	inbox chan func() // the queue that it waits in
	// run handles the request on the actor's goroutine and answers through back,
	// at once or later.
	run func(back func(*rpc.Reply))
}

// Answer answers a request as leader; nil means that this node does not lead.
func (c *Controller) Answer(ctx context.Context, q *rpc.Request) *rpc.Reply {
	lt := c.currentTerm()
	if lt == nil || !c.Entitled(lt.term) {
		return nil
	}
	if (q.Kind == rpc.KindSubmit || q.Kind == rpc.KindStatus) && !lt.takeover.loaded() {
		return nil // any node can answer that from the state service, sooner
	}
	request, refusal := lt.decodeRequest(q)
	if refusal != nil {
		return refusal
	}
	return c.awaitActor(ctx, lt, request)
}

// decodeRequest reads a request; refusal is set where it cannot be read.
func (lt *leaderTerm) decodeRequest(q *rpc.Request) (request actorRequest, refusal *rpc.Reply) {
	request = actorRequest{inbox: lt.userInbox}
	switch q.Kind {
	case rpc.KindSubmit:
		id, spec, err := submission(q.Body)
		request.run = func(back func(*rpc.Reply)) { lt.admission.submit(id, spec, err, back) }
	case rpc.KindStatus:
		request.run = func(back func(*rpc.Reply)) { lt.admission.status(q.ID, back) }
	case rpc.KindCancel:
		request.run = func(back func(*rpc.Reply)) { lt.completions.abort(q.ID, back) }
	case rpc.KindRollout, rpc.KindCalendar, rpc.KindConfig:
		request.run, refusal = lt.decodeOperation(q)
	case rpc.KindHeartbeat:
		request.inbox = lt.inbox
		request.run, refusal = lt.decodeHeartbeat(q)
	default:
		refusal = reply(http.StatusBadRequest, wire.Error{Error: "unknown request"})
	}
	return request, refusal
}

// decodeOperation reads a roll-out, calendar or configuration request.
func (lt *leaderTerm) decodeOperation(q *rpc.Request) (run func(back func(*rpc.Reply)), refusal *rpc.Reply) {
	op := &rpc.Operation{}
	if err := wire.Unmarshal(q.Body, op); err != nil {
		return nil, reply(http.StatusBadRequest, wire.Error{Error: "malformed request"})
	}
	operate := lt.homeQuotas.handleOperation
	switch q.Kind {
	case rpc.KindRollout:
		operate = lt.rollouts.handleOperation
	case rpc.KindCalendar:
		operate = lt.calendarStore.handleOperation
	}
	return func(back func(*rpc.Reply)) { operate(op, back) }, nil
}

// decodeHeartbeat reads a worker's heartbeat.
func (lt *leaderTerm) decodeHeartbeat(q *rpc.Request) (run func(back func(*rpc.Reply)), refusal *rpc.Reply) {
	m := &wire.Heartbeat{}
	if err := wire.Unmarshal(q.Body, m); err != nil || m.Host == "" || m.Session == 0 {
		return nil, reply(http.StatusBadRequest, wire.Error{Error: "malformed report"})
	}
	return func(back func(*rpc.Reply)) { lt.handleHeartbeat(m, q.ForwardedBy, back) }, nil
}

// awaitActor hands a request to the leader's actor and waits for its answer; nil
// means that the term has ended or the node is no longer entitled.
func (c *Controller) awaitActor(ctx context.Context, lt *leaderTerm, request actorRequest) *rpc.Reply {
	answer := make(chan *rpc.Reply, 1)
	back := func(p *rpc.Reply) {
		select {
		case answer <- p:
		default:
		}
	}
	select {
	case request.inbox <- func() { request.run(back) }:
	case <-lt.ctx.Done():
		return nil
	case <-ctx.Done():
		return Unavailable("busy")
	}
	select {
	case p := <-answer:
		// As late as possible: the actor's decision may have waited here for longer
		// than the lease.
		if !c.Entitled(lt.term) {
			return nil
		}
		return p
	case <-lt.ctx.Done():
		return nil
	case <-ctx.Done():
		return Unavailable("not settled yet")
	}
}

// submission reads a submission, and its id even where the rest is malformed.
func submission(body []byte) (id string, spec *job.Spec, invalid error) {
	spec, invalid = job.ParseSpec(body)
	if invalid != nil {
		return job.PeekID(body), nil, invalid
	}
	return spec.ID, spec, nil
}
