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

// AdmitWithoutLeader answers a submission on a node that neither leads nor reaches
// the leader, through the state service alone. The job's record is all that an
// acceptance needs: the leader adopts the job through its watch, a later leader when
// it loads. The record is not fenced by a term, since it holds no decision of a
// leader.
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

// StatusWithoutLeader answers a status request from the state service, for a node
// that neither leads nor reaches the leader.
func (c *Controller) StatusWithoutLeader(ctx context.Context, id string) *rpc.Reply {
	rec, err := c.findRecord(ctx, id)
	switch {
	case err != nil:
		return Unavailable("no leader and no state service")
	case rec == nil:
		return reply(http.StatusNotFound, wire.Error{Error: "no such job"})
	}
	return reply(http.StatusOK, recordStatus(rec))
}

// noLeaderReply tells the client to retry because no leader can be reached.
func noLeaderReply() *rpc.Reply { return Unavailable("no leader is to be reached") }

// admissionCheck returns the refusal of a submission, or nil with the conditions on
// the state service under which it may be admitted. The error means that what the
// checks need could not be read.
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

// refuseUnlessRecorded answers a refused submission. A job that exists is answered
// with its status, since that precedes every check.
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

// commitWithoutLeader commits the record of a job that has passed the checks, on the
// condition that what the checks read is unchanged.
func (c *Controller) commitWithoutLeader(ctx context.Context, id string, spec *job.Spec, preconditions []state.Condition) *rpc.Reply {
	// Only groups are read: whether the job has a record of its own, the conditions of
	// the commit tell.
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
	// A write that the budget has no room for is refused at once: to wait for it would
	// delay every later request of this node.
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
		// The commit may have been applied: the user's next try will tell.
		return noLeaderReply()
	}
	c.Meter.Add(metrics.JobsAccepted, "without the leader", 1)
	c.Log.Info("job admitted without the leader", "job", id)
	return reply(http.StatusCreated, recordStatus(rec))
}
