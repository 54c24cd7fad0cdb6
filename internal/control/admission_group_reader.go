package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/metrics"
	"vetchstream/internal/rpc"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// lookup reads a job's own record afresh; it is nil if the job was never accepted
// alone. A leader knows the records of groups, which it alone writes.
func lookup(ctx context.Context, st *state.Client, id string) (*job.Record, uint64, error) {
	// Active first: a job that moves between the two reads is found by the second.
	for _, prefix := range []string{job.ActivePrefix, job.FinalPrefix} {
		e, err := st.Get(ctx, prefix+id)
		if errors.Is(err, state.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, 0, err
		}
		rec := &job.Record{}
		if err := wire.Unmarshal(e.Value, rec); err != nil {
			return nil, 0, fmt.Errorf("%w: %s: %w", errUnreadable, e.Key, err)
		}
		return rec, e.Version, nil
	}
	return nil, 0, nil
}

// errUnreadable is a record that does not decode. It is kept as it is and holds back its
// own job only; nothing is told of that job, since its end may stand there.
var errUnreadable = errors.New("record cannot be read")

// find reads a job's record afresh for a node that does not lead. Groups come
// first: an entry moves from its group to the job's own key, never back.
func (c *Controller) find(ctx context.Context, id string) (*job.Record, error) {
	rec, doubt := c.groups.find(ctx, id)
	if rec != nil || (doubt != nil && !errors.Is(doubt, errUnreadable)) {
		return rec, doubt
	}
	rec, _, err := lookup(ctx, c.State, id)
	if rec == nil && err == nil {
		return nil, doubt // it may be in the group that cannot be read
	}
	return rec, err
}

// groupReader reads the records of groups for a node that does not lead. Which
// group a job is in does not follow from its id, so one listing serves all who
// wait: those who come while it is under way share the next one, because what
// has begun before they asked may be older than what another node has told.
type groupReader struct {
	state *state.Client

	mu   sync.Mutex
	busy bool
	next *groupList // nil: nobody waits for another listing
}

// groupList is one listing, for all who have asked before it began.
type groupList struct {
	done chan struct{}
	jobs map[string]*job.Record
	err  error
}

// listTime bounds a listing: its users have left by then.
const listTime = 3 * time.Second

// find returns a job's entry; nil: no group has it, and with errUnreadable: none that
// can be read.
func (s *groupReader) find(ctx context.Context, id string) (*job.Record, error) {
	s.mu.Lock()
	l := s.next
	if l == nil {
		l = &groupList{done: make(chan struct{})}
		s.next = l
	}
	if !s.busy {
		s.busy = true
		go s.serve()
	}
	s.mu.Unlock()
	select {
	case <-l.done:
		if rec := l.jobs[id]; rec != nil {
			return rec, nil
		}
		return nil, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serve makes listings for as long as somebody waits for one.
func (s *groupReader) serve() {
	for {
		s.mu.Lock()
		l := s.next
		s.next = nil
		s.busy = l != nil
		s.mu.Unlock()
		if l == nil {
			return
		}
		l.jobs, l.err = s.read()
		close(l.done)
	}
}

func (s *groupReader) read() (map[string]*job.Record, error) {
	ctx, cancel := context.WithTimeout(context.Background(), listTime)
	defer cancel()
	entries, _, err := s.state.List(ctx, job.GroupPrefix)
	if err != nil {
		return nil, err
	}
	jobs := map[string]*job.Record{}
	for _, e := range entries {
		var g job.Group
		if derr := wire.Unmarshal(e.Value, &g); derr != nil {
			err = fmt.Errorf("%w: %s: %w", errUnreadable, e.Key, derr)
			continue
		}
		for i := range g.Jobs {
			jobs[g.Jobs[i].Spec.ID] = &g.Jobs[i]
		}
	}
	return jobs, err
}

// Admit takes in a submission on a node that neither leads nor reaches the
// leader, through the state service alone. The job's record is all that an
// acceptance needs; the leader learns of it from a watch, the next one when it
// loads. It is written without the term: nothing of it is decided here.
func (c *Controller) Admit(ctx context.Context, body []byte) *rpc.Reply {
	id, spec, invalid := submission(body)
	refusal, unchanged, err := c.admissionCheck(ctx, spec, invalid)
	if err != nil {
		return noLeader()
	}
	if refusal != nil {
		return c.refuseUnlessRecorded(ctx, id, refusal)
	}
	return c.admitWithoutLeader(ctx, id, spec, unchanged)
}

// noLeader tells the client to come back when no leader is to be reached.
func noLeader() *rpc.Reply { return Unavailable("no leader is to be reached") }

// admissionCheck is the refusal of a submission, or nil, with the conditions on
// the state service that the decision rests on; err: they could not be read.
func (c *Controller) admissionCheck(ctx context.Context, spec *job.Spec, invalid error) (refusal *rpc.Reply, unchanged []state.Cond, err error) {
	if invalid != nil {
		return reply(http.StatusBadRequest, wire.Error{Error: invalid.Error()}), nil, nil
	}
	types, err := c.knownTypes(ctx)
	if err != nil {
		return nil, nil, err
	}
	team, conds, err := c.storedTeam(ctx, spec.Team)
	if err != nil {
		return nil, nil, err
	}
	return c.admissionRefusal(spec, types, team), conds, nil
}

// refuseUnlessRecorded answers a refused submission: a job whose id is known
// already is answered with its record, since a known id wins over every check.
func (c *Controller) refuseUnlessRecorded(ctx context.Context, id string, refusal *rpc.Reply) *rpc.Reply {
	if id == "" || refusal.Status == http.StatusServiceUnavailable {
		return refusal
	}
	switch rec, err := c.find(ctx, id); {
	case err != nil:
		return noLeader()
	case rec != nil:
		return recordReply(rec)
	}
	return refusal
}

// admitWithoutLeader commits the record of a job that passed the checks, on the
// condition that what the checks read is unchanged.
func (c *Controller) admitWithoutLeader(ctx context.Context, id string, spec *job.Spec, unchanged []state.Cond) *rpc.Reply {
	// The commit itself tells whether the job has a record of its own.
	switch rec, err := c.groups.find(ctx, id); {
	case err != nil:
		return noLeader()
	case rec != nil:
		return recordReply(rec)
	}
	rec := &job.Record{Spec: *spec, At: time.Now().UnixMilli()}
	txn, err := admissionTxn("", []*pendingSubmission{{rec: rec}})
	if err != nil {
		return noLeader()
	}
	txn.If = append(txn.If, unchanged...)
	// What does not fit the budget now is refused at once: waiting would hold up
	// every later request of this node.
	if c.State.Spare() < 1 {
		return noLeader()
	}
	_, err = c.State.CommitOnce(ctx, txn)
	switch {
	case errors.Is(err, state.ErrConflict):
		if rec, err := c.find(ctx, id); err == nil && rec != nil {
			return recordReply(rec)
		}
		return noLeader()
	case err != nil:
		// Unclear, it may be: for the user's next try to settle.
		return noLeader()
	}
	c.Meter.Add(metrics.Accepted, "without the leader", 1)
	c.Log.Info("admitted a job without the leader", "job", id)
	return reply(http.StatusCreated, recordStatus(rec))
}

// Direct answers a status request from the state service, for a node that
// neither leads nor reaches the leader.
func (c *Controller) Direct(ctx context.Context, id string) *rpc.Reply {
	rec, err := c.find(ctx, id)
	switch {
	case err != nil:
		return Unavailable("no leader and no state service")
	case rec == nil:
		return reply(http.StatusNotFound, wire.Error{Error: "no such job"})
	}
	return reply(http.StatusOK, recordStatus(rec))
}
