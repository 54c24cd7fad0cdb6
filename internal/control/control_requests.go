package control

import (
	"context"
	"net/http"

	"vetchstream/internal/job"
	"vetchstream/internal/rpc"
	"vetchstream/internal/wire"
)

// reply returns a response with the encoded body.
func reply(status int, v any) *rpc.Reply {
	b, err := wire.Marshal(v)
	if err != nil {
		return &rpc.Reply{Status: http.StatusInternalServerError}
	}
	return &rpc.Reply{Status: status, Body: b}
}

// retryAfterS is the retry delay for requests that cannot be served at the moment, in
// seconds.
const retryAfterS = 1

// Unavailable returns a temporary refusal (status 503) with a retry delay.
func Unavailable(reason string) *rpc.Reply {
	refusal := reply(http.StatusServiceUnavailable, wire.Error{Error: reason})
	refusal.RetryAfter = retryAfterS
	return refusal
}

// finalRefusal marks a refusal as the leader's own decision. The node that forwarded the
// request must not serve it itself, which would double the load that the leader sheds.
func finalRefusal(response *rpc.Reply) *rpc.Reply {
	response.Final = true
	return response
}

// actorRequest is a decoded request for the leader's actor.
type actorRequest struct {
	inbox chan func() // the inbox to enqueue it in
	// run handles the request on the actor's goroutine and answers through respond,
	// immediately or later.
	run func(respond func(*rpc.Reply))
}

// Answer answers a request as leader. It returns nil if this node cannot answer as
// leader: it does not lead, or is still loading the records and any node can answer the
// request.
func (c *Controller) Answer(ctx context.Context, req *rpc.Request) *rpc.Reply {
	lt := c.currentTerm()
	if lt == nil || !c.Entitled(lt.term) {
		return nil
	}
	if (req.Kind == rpc.KindSubmit || req.Kind == rpc.KindStatus) && !lt.takeover.loaded() {
		return nil // any node can answer these from the key-value store, and sooner
	}
	actorReq, refusal := lt.decodeRequest(req)
	if refusal != nil {
		return refusal
	}
	return c.awaitActor(ctx, lt, actorReq)
}

// decodeRequest decodes a request; refusal is set if it is malformed.
func (lt *leaderTerm) decodeRequest(req *rpc.Request) (actorReq actorRequest, refusal *rpc.Reply) {
	actorReq = actorRequest{inbox: lt.userInbox}
	switch req.Kind {
	case rpc.KindSubmit:
		id, spec, err := parseSubmission(req.Body)
		actorReq.run = func(respond func(*rpc.Reply)) { lt.admission.submit(id, spec, err, respond) }
	case rpc.KindStatus:
		actorReq.run = func(respond func(*rpc.Reply)) { lt.admission.status(req.ID, respond) }
	case rpc.KindCancel:
		actorReq.run = func(respond func(*rpc.Reply)) { lt.completions.cancel(req.ID, respond) }
	case rpc.KindRollout, rpc.KindCalendar, rpc.KindConfig:
		actorReq.run, refusal = lt.decodeOperation(req)
	case rpc.KindHeartbeat:
		actorReq.inbox = lt.inbox
		actorReq.run, refusal = lt.decodeHeartbeat(req)
	default:
		refusal = reply(http.StatusBadRequest, wire.Error{Error: "unknown request kind"})
	}
	return actorReq, refusal
}

// decodeOperation decodes a roll-out, calendar or configuration request.
func (lt *leaderTerm) decodeOperation(req *rpc.Request) (run func(respond func(*rpc.Reply)), refusal *rpc.Reply) {
	op := &rpc.Operation{}
	if err := wire.Unmarshal(req.Body, op); err != nil {
		return nil, reply(http.StatusBadRequest, wire.Error{Error: "malformed request"})
	}
	handle := lt.homeQuotas.handleOperation
	switch req.Kind {
	case rpc.KindRollout:
		handle = lt.rollouts.handleOperation
	case rpc.KindCalendar:
		handle = lt.calendarStore.handleOperation
	}
	return func(respond func(*rpc.Reply)) { handle(op, respond) }, nil
}

// decodeHeartbeat decodes a worker's heartbeat.
func (lt *leaderTerm) decodeHeartbeat(req *rpc.Request) (run func(respond func(*rpc.Reply)), refusal *rpc.Reply) {
	heartbeat := &wire.Heartbeat{}
	if err := wire.Unmarshal(req.Body, heartbeat); err != nil || heartbeat.Machine == "" || heartbeat.Session == 0 {
		return nil, reply(http.StatusBadRequest, wire.Error{Error: "malformed heartbeat"})
	}
	return func(respond func(*rpc.Reply)) { lt.handleHeartbeat(heartbeat, req.ForwardedBy, respond) }, nil
}

// awaitActor passes a request to the leader's actor and waits for the response. It
// returns nil if the term has ended or the node is no longer entitled to lead.
func (c *Controller) awaitActor(ctx context.Context, lt *leaderTerm, actorReq actorRequest) *rpc.Reply {
	responses := make(chan *rpc.Reply, 1)
	respond := func(response *rpc.Reply) {
		select {
		case responses <- response:
		default:
		}
	}
	select {
	case actorReq.inbox <- func() { actorReq.run(respond) }:
	case <-lt.ctx.Done():
		return nil
	case <-ctx.Done():
		return Unavailable("the leader is busy")
	}
	select {
	case response := <-responses:
		// Entitlement is checked as late as possible: the response may have waited here for
		// longer than the lease.
		if !c.Entitled(lt.term) {
			return nil
		}
		return response
	case <-lt.ctx.Done():
		return nil
	case <-ctx.Done():
		return Unavailable("the request is still being processed")
	}
}

// parseSubmission decodes a submission. The job's ID is returned even if the rest is
// invalid, as far as it can be decoded.
func parseSubmission(body []byte) (id string, spec *job.Spec, invalid error) {
	spec, invalid = job.ParseSpec(body)
	if invalid != nil {
		return job.PeekID(body), nil, invalid
	}
	return spec.ID, spec, nil
}
