// Package control is the leading controller: the actor that owns jobs, fleet,
// placement and rentals for the length of one term.
package control

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"vetchstream/internal/autoscale"
	"vetchstream/internal/config"
	"vetchstream/internal/election"
	"vetchstream/internal/job"
	"vetchstream/internal/metrics"
	"vetchstream/internal/place"
	"vetchstream/internal/rpc"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// Deps is what a controller works with.
type Deps struct {
	Settings *config.Settings
	Tuning   *config.Tuning
	State    *state.Client
	Cloud    *autoscale.Cloud
	Dial     state.DialFunc
	Log      *slog.Logger
	Meter    *metrics.Meter // nil: off
	// Entitled tells whether this node may act for the term right now.
	Entitled func(term uint64) bool
	// Follow asks the leader of the home region from another one.
	Follow Follow
	// Left is for how long that is so without another renewal.
	Left func(term uint64) time.Duration
	// Deposed is told of a later term that a worker has seen.
	Deposed func(term uint64)
}

// Controller answers for the cluster while its node leads.
type Controller struct {
	Deps
	direct *http.Client
	groups groupReader

	mu         sync.Mutex
	leaderTerm *leaderTerm
	types      []wire.MachineType // the last price list, kept over terms
}

// DirectCalls is how many direct commands may be under way at a time: a whole
// fleet at once would use up the sockets and the processor.
func DirectCalls(maxSockets int) int { return max(8, maxSockets/16) }

// New makes a controller that does not lead yet.
func New(d Deps) *Controller {
	return &Controller{Deps: d, groups: groupReader{state: d.State},
		direct: DirectClient(d.Dial, DirectCalls(d.Settings.Facts.Resources.MaxSockets))}
}

// The state service's limits are shared out by role: nearly all requests are the
// leader's, the others read for users and watch. Together they stay below the
// limits, so that a storm of users at all nodes does not get the leader's own
// requests refused. What is left is the election's.
const (
	leaderReads, otherReads   = 0.55, 0.18
	leaderWrites, otherWrites = 0.75, 0.1
)

// StateBudget is a node's share of the state service's limits.
func StateBudget(set *config.Settings, leads bool) state.Budget {
	reads, writes := otherReads, otherWrites
	if leads {
		reads, writes = leaderReads, leaderWrites
	}
	return state.Budget{RPS: reads * set.Facts.State.RPS, WriteRPS: writes * set.Facts.State.WriteRPS}
}

// Lead runs one term until its context ends.
func (c *Controller) Lead(ctx context.Context, l election.Term) {
	c.State.SetBudget(StateBudget(c.Settings, true))
	defer c.State.SetBudget(StateBudget(c.Settings, false))
	r := newLeaderTerm(ctx, c, l)
	c.mu.Lock()
	c.leaderTerm = r
	c.mu.Unlock()
	c.Meter.Set(metrics.Leading, 1)
	r.run()
	c.Meter.Set(metrics.Leading, 0)
	c.mu.Lock()
	c.leaderTerm = nil
	c.mu.Unlock()
}

func (c *Controller) current() *leaderTerm {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaderTerm
}

// Leading reports whether the node leads and is entitled to.
func (c *Controller) Leading() bool {
	r := c.current()
	return r != nil && c.Entitled(r.term)
}

func reply(status int, v any) *rpc.Reply {
	b, err := wire.Marshal(v)
	if err != nil {
		return &rpc.Reply{Status: http.StatusInternalServerError}
	}
	return &rpc.Reply{Status: status, Body: b}
}

// Later tells the client to come back.
func Later(why string) *rpc.Reply {
	r := reply(http.StatusServiceUnavailable, wire.Error{Error: why})
	r.RetryAfter = 1
	return r
}

// settled marks a refusal as the leader's own word: the node that handed the
// request on must not try by itself, which would double the load that the
// leader turns away.
func settled(p *rpc.Reply) *rpc.Reply {
	p.Settled = true
	return p
}

// Answer answers a request as leader; nil means that this node does not lead.
func (c *Controller) Answer(ctx context.Context, q *rpc.Request) *rpc.Reply {
	r := c.current()
	if r == nil || !c.Entitled(r.term) {
		return nil
	}
	if (q.Kind == rpc.KindSubmit || q.Kind == rpc.KindStatus) && !r.takeover.loaded() {
		return nil // any node can answer that from the state service, sooner
	}
	do, box, refusal := requestHandler(r, q)
	if refusal != nil {
		return refusal
	}
	return c.awaitActor(ctx, r, box, do)
}

// actorStep is what a request asks of the leader's actor; it answers through back.
type actorStep func(r *leaderTerm, back func(*rpc.Reply))

// requestHandler decodes a request into the step that the actor takes for it and
// the queue that the step waits in; refusal is set for a request that cannot be read.
func requestHandler(r *leaderTerm, q *rpc.Request) (do actorStep, box chan func(), refusal *rpc.Reply) {
	box = r.users
	switch q.Kind {
	case rpc.KindSubmit:
		id, spec, err := submission(q.Body)
		do = func(r *leaderTerm, back func(*rpc.Reply)) { r.admission.submit(id, spec, err, back) }
	case rpc.KindStatus:
		do = func(r *leaderTerm, back func(*rpc.Reply)) { r.admission.status(q.ID, back) }
	case rpc.KindAbort:
		do = func(r *leaderTerm, back func(*rpc.Reply)) { r.completions.abort(q.ID, back) }
	case rpc.KindRollout:
		op, bad := decodeOperation(q.Body)
		if bad != nil {
			return nil, nil, bad
		}
		do = func(r *leaderTerm, back func(*rpc.Reply)) { r.rollouts.handle(op, back) }
	case rpc.KindCalendar:
		op, bad := decodeOperation(q.Body)
		if bad != nil {
			return nil, nil, bad
		}
		do = func(r *leaderTerm, back func(*rpc.Reply)) { r.calendarStore.handle(op, back) }
	case rpc.KindConfig:
		op, bad := decodeOperation(q.Body)
		if bad != nil {
			return nil, nil, bad
		}
		do = func(r *leaderTerm, back func(*rpc.Reply)) { r.homeQuotas.operate(op, back) }
	case rpc.KindReport:
		m := &wire.Report{}
		if err := wire.Unmarshal(q.Body, m); err != nil || m.Host == "" || m.Session == 0 {
			return nil, nil, reply(http.StatusBadRequest, wire.Error{Error: "malformed report"})
		}
		do, box = func(r *leaderTerm, back func(*rpc.Reply)) { r.report(m, q.Via, back) }, r.inbox
	default:
		return nil, nil, reply(http.StatusBadRequest, wire.Error{Error: "unknown request"})
	}
	return do, box, nil
}

// decodeOperation reads the operation of a roll-out, calendar or configuration
// request; bad refuses one that cannot be read.
func decodeOperation(body []byte) (op *rpc.Operation, bad *rpc.Reply) {
	op = &rpc.Operation{}
	if err := wire.Unmarshal(body, op); err != nil {
		return nil, reply(http.StatusBadRequest, wire.Error{Error: "malformed request"})
	}
	return op, nil
}

// awaitActor hands a step to the leader's actor through box and waits for its
// answer; nil means that the term has ended or the node is no longer entitled.
func (c *Controller) awaitActor(ctx context.Context, r *leaderTerm, box chan func(), do actorStep) *rpc.Reply {
	ch := make(chan *rpc.Reply, 1)
	back := func(p *rpc.Reply) {
		select {
		case ch <- p:
		default:
		}
	}
	select {
	case box <- func() { do(r, back) }:
	case <-r.ctx.Done():
		return nil
	case <-ctx.Done():
		return Later("busy")
	}
	select {
	case p := <-ch:
		// As late as possible: the actor's decision may have waited here for longer
		// than the lease.
		if !c.Entitled(r.term) {
			return nil
		}
		return p
	case <-r.ctx.Done():
		return nil
	case <-ctx.Done():
		return Later("not settled yet")
	}
}

type typesRecord struct {
	Types []wire.MachineType `codec:"types"`
}

func recordStatus(rec *job.Record) wire.Status {
	s := wire.Status{ID: rec.Spec.ID, Phase: rec.Phase, Done: rec.Done}
	if s.Phase == "" {
		s.Phase = wire.JobPending
	}
	return s
}

// submission reads a submission, and its id even where the rest is malformed.
func submission(body []byte) (id string, spec *job.Spec, invalid error) {
	spec, invalid = job.ParseSpec(body)
	if invalid != nil {
		return job.PeekID(body), nil, invalid
	}
	return spec.ID, spec, nil
}

// admissionRefusal is the refusal of a job that can never run, or cannot be judged yet;
// nil: it may be taken in.
func (c *Controller) admissionRefusal(spec *job.Spec, types []wire.MachineType, team quota) *rpc.Reply {
	why, known := neverSchedulable(spec, types, team.now)
	if why != "" && team.soon != nil {
		if later, _ := neverSchedulable(spec, types, team.soon); later == "" {
			return Later("the team's quota is about to change")
		}
	}
	switch {
	case !known:
		return Later("machine types are not known yet")
	case why != "":
		return reply(http.StatusUnprocessableEntity, wire.Error{Error: job.ErrNever.Error() + ": " + why})
	}
	return nil
}

// knownTypes is the last price list that this node, or a leader, has read.
func (c *Controller) knownTypes(ctx context.Context) ([]wire.MachineType, error) {
	c.mu.Lock()
	types := c.types
	c.mu.Unlock()
	if types != nil {
		return types, nil
	}
	e, err := c.State.Get(ctx, typesKey)
	if errors.Is(err, state.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var t typesRecord
	if err := wire.Unmarshal(e.Value, &t); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.types = t.Types
	c.mu.Unlock()
	return t.Types, nil
}

// neverSchedulable says why a job can never run, or that it cannot be told yet.
func neverSchedulable(s *job.Spec, types []wire.MachineType, team *config.Team) (why string, known bool) {
	if team == nil {
		return "unknown team", true
	}
	if len(types) == 0 {
		return "", false
	}
	need := place.Amount{CPUs: s.CPUs, GPUs: s.GPUs, MemGB: s.MemGB}
	zones := map[string]bool{} // in which a task fits
	for i := range types {
		mt := &types[i]
		if !(place.Amount{CPUs: mt.CPUs, GPUs: mt.GPUs, MemGB: mt.MemGB}).Fits(need) || (s.Types != nil && !slices.Contains(s.Types, mt.Name)) {
			continue
		}
		for _, z := range mt.Zones {
			if s.Zone == "" || z == s.Zone {
				zones[z] = true
			}
		}
	}
	if len(zones) == 0 {
		return "a task fits no allowed machine type", true
	}
	// A gang runs whole, and half of it may be in one zone.
	if s.ShapeName == "ensemble" && s.Tasks > 1 && s.Spread && (s.OneZone || len(zones) == 1) {
		return "its tasks have to be apart and fit in one zone only", true
	}
	k := 1.0
	if s.ShapeName != "array" {
		k = float64(s.Tasks)
	}
	if (team.CPUsMax > 0 && s.CPUs*k > team.CPUsMax+1e-6) || (team.GPUsMax > 0 && s.GPUs*k > team.GPUsMax+1e-6) {
		return "more than the team's limit", true
	}
	return "", true
}
