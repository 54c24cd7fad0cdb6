package control

import (
	"context"
	"errors"
	"net/http"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/metrics"
	"vetchstream/internal/rpc"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// AdmitWithoutLeader answers a submission on a node that neither leads nor reaches the
// leader. It uses only the key-value store. Storing the job's record suffices to accept
// the job: the current leader adopts it through its watch, a later leader when it loads
// the records. The write is not fenced by a term, because the record contains no decision
// of a leader.
func (c *Controller) AdmitWithoutLeader(ctx context.Context, body []byte) *rpc.Reply {
	id, spec, invalid := parseSubmission(body)
	refusal, preconditions, err := c.admissionCheck(ctx, spec, invalid)
	if err != nil {
		return noLeaderReply()
	}
	if refusal != nil {
		return c.refuseUnlessRecorded(ctx, id, refusal)
	}
	return c.commitWithoutLeader(ctx, id, spec, preconditions)
}

// StatusWithoutLeader answers a status request from the key-value store on a node that
// neither leads nor reaches the leader.
func (c *Controller) StatusWithoutLeader(ctx context.Context, id string) *rpc.Reply {
	rec, err := c.findRecord(ctx, id)
	switch {
	case err != nil:
		return Unavailable("neither a leader nor the key-value store can be reached")
	case rec == nil:
		return reply(http.StatusNotFound, wire.Error{Error: "no such job"})
	}
	return reply(http.StatusOK, recordStatus(rec))
}

// noLeaderReply asks the client to retry because no leader can be reached.
func noLeaderReply() *rpc.Reply { return Unavailable("no leader can be reached") }

// admissionCheck returns the refusal of a submission, or nil and the preconditions for
// its transaction: the records that the checks have read must be unchanged. An error
// means that the input of the checks could not be read.
func (c *Controller) admissionCheck(ctx context.Context, spec *job.Spec, invalid error) (refusal *rpc.Reply, preconditions []state.Condition, err error) {
	if invalid != nil {
		return reply(http.StatusBadRequest, wire.Error{Error: invalid.Error()}), nil, nil
	}
	types, err := c.loadMachineTypes(ctx)
	if err != nil {
		return nil, nil, err
	}
	team, conds, err := c.storedTeam(ctx, spec.Team)
	if err != nil {
		return nil, nil, err
	}
	return c.admissionRefusal(spec, types, team), conds, nil
}

// refuseUnlessRecorded answers a refused submission. If the job already exists, the
// response is its status, because the status takes precedence over every check.
func (c *Controller) refuseUnlessRecorded(ctx context.Context, id string, refusal *rpc.Reply) *rpc.Reply {
	if id == "" || refusal.Status == http.StatusServiceUnavailable {
		return refusal
	}
	rec, err := c.findRecord(ctx, id)
	switch {
	case err != nil:
		return noLeaderReply()
	case rec != nil:
		return recordReply(rec)
	}
	return refusal
}

// commitWithoutLeader commits the record of a job that has passed the checks, subject to
// the preconditions of those checks.
func (c *Controller) commitWithoutLeader(ctx context.Context, id string, spec *job.Spec, preconditions []state.Condition) *rpc.Reply {
	// Only groups have to be read: the conditions of the commit detect an individual
	// record of the job.
	inGroup, err := c.groups.find(ctx, id)
	switch {
	case err != nil:
		return noLeaderReply()
	case inGroup != nil:
		return recordReply(inGroup)
	}
	rec := &job.Record{Spec: *spec, SubmittedMS: time.Now().UnixMilli()}
	txn, err := admissionTxn("", []*pendingSubmission{{rec: rec}})
	if err != nil {
		return noLeaderReply()
	}
	txn.If = append(txn.If, preconditions...)
	// A write beyond the budget is refused immediately: waiting for the budget would delay
	// every later request of this node.
	if c.State.SpareWrites() < 1 {
		return noLeaderReply()
	}
	_, err = c.State.CommitHedged(ctx, txn)
	if errors.Is(err, state.ErrConflict) {
		existing, err := c.findRecord(ctx, id)
		if err != nil || existing == nil {
			return noLeaderReply()
		}
		return recordReply(existing)
	}
	if err != nil {
		// The commit may have been applied. The user's next try determines that.
		return noLeaderReply()
	}
	c.Meter.Add(metrics.JobsAccepted, "without the leader", 1)
	c.Log.Info("job admitted without the leader", "job", id)
	return reply(http.StatusCreated, recordStatus(rec))
}
