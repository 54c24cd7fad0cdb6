package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"vetchstream/internal/control"
	"vetchstream/internal/rpc"
	"vetchstream/internal/shard"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// shardHolder holds the shard of machines that the leader has given to this node: it answers
// their heartbeats while the grant is valid, passes what they report to the leader, and sends
// the leader's direct commands to them.
type shardHolder struct {
	node     *Node
	client   *http.Client
	maxCalls int // direct commands that may be in flight
	capacity int // machines that this node can serve

	mu      sync.Mutex
	holder  *shard.Holder
	pending map[string]pendingHeartbeat // by machine
}

// pendingHeartbeat is a heartbeat that waits for the leader's answer.
type pendingHeartbeat struct {
	session uint64
	seq     uint64
	orders  chan []wire.Command // has room for one answer
}

const (
	// syncTimeout bounds a request. The leader answers at once, or as soon as it has caught
	// up with its queue.
	syncTimeout = 1500 * time.Millisecond
	// minSyncInterval is the least time between two requests, and syncRetryDelay the wait
	// after one that was refused or lost.
	minSyncInterval = 25 * time.Millisecond
	syncRetryDelay  = 150 * time.Millisecond
	// answerPatience is how long a worker waits for the leader's answer before it gets this
	// node's own, which renews its lease.
	answerPatience = 250 * time.Millisecond
	// requiredAnswerPatience is how long it waits where this node may not answer by itself.
	// The worker's own timeout is 4 s.
	requiredAnswerPatience = 2 * time.Second
	// minIdleConns is the least number of idle connections to workers.
	minIdleConns = 8
)

func newShardHolder(n *Node, dial state.DialFunc) *shardHolder {
	sockets := n.settings.Facts.Resources.MaxSockets
	maxCalls := control.MaxDirectCalls(sockets)
	// A later process has a later time of day, within the clock's skew. The leader accepts
	// one that has not once the grants of the earlier process have ended.
	incarnation := uint64(time.Now().UnixNano())
	return &shardHolder{
		node: n,
		// Each controller has connections for commands, so each has fewer than a leader
		// that sends all of them.
		client:   control.DirectClient(dial, max(minIdleConns, maxCalls/4)),
		maxCalls: maxCalls,
		capacity: control.ShardCapacity(sockets),
		holder:   shard.NewHolder(n.settings.Member, n.settings.Site, incarnation),
		pending:  map[string]pendingHeartbeat{},
	}
}

// run asks the leader for this node's grant until the context ends.
func (sh *shardHolder) run(ctx context.Context) {
	defer sh.client.CloseIdleConnections()
	for ctx.Err() == nil {
		begun := time.Now()
		if !sh.syncWithLeader(ctx) {
			sleep(ctx, syncRetryDelay)
			continue
		}
		sleep(ctx, minSyncInterval-time.Since(begun))
	}
}

// sleep waits for a time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// syncWithLeader sends one request and reports whether the leader has answered it.
func (sh *shardHolder) syncWithLeader(ctx context.Context) bool {
	leader, q, sent := sh.nextRequest()
	if q == nil {
		return false
	}
	syncCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	p, err := sh.node.mesh.SyncShard(syncCtx, leader, q)
	if err != nil {
		sh.node.log.Debug("shard grant request to the leader failed", "leader", leader, "error", err)
	}
	if err != nil || p.Term == 0 {
		sh.requestFailed()
		return false
	}
	sh.handleReply(ctx, p, sent)
	return true
}

// nextRequest is the next request and the leader to send it to; nil: there is no leader, or
// this node leads.
func (sh *shardHolder) nextRequest() (leader string, q *shard.Request, sent time.Time) {
	view := sh.node.elector.View()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if view.Leader == sh.node.settings.Member {
		sh.holder.BecomeLeader()
	}
	if view.Leader == "" || view.Leader == sh.node.settings.Member {
		return "", nil, time.Time{}
	}
	if view.Term > sh.holder.Term() {
		sh.holder.EndTerm()
	}
	sent = time.Now()
	q = sh.holder.Request(sh.capacity, sh.maxCalls, sh.node.delay.Overloaded(), sent)
	return view.Leader, q, sent
}

func (sh *shardHolder) requestFailed() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.holder.RequestFailed()
}

// handleReply takes in the leader's reply to the request that was sent at that time: it
// starts the direct commands and hands answers to the heartbeats that wait for them.
func (sh *shardHolder) handleReply(ctx context.Context, p *shard.Reply, sent time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, call := range sh.holder.HandleReply(p, sent) {
		go sh.sendCommand(ctx, p.Term, call)
	}
	for i := range p.Answers {
		answer := &p.Answers[i]
		hb, ok := sh.pending[answer.Machine]
		if ok && hb.session == answer.Session && hb.seq == answer.Seq {
			delete(sh.pending, answer.Machine)
			hb.orders <- answer.Commands
		}
	}
}

// sendCommand sends a direct command of the leader of the term to a worker. The leader
// bounds how many are in flight.
func (sh *shardHolder) sendCommand(ctx context.Context, term uint64, call shard.Call) {
	valid := func() bool { return sh.grantValid(term) }
	result, err := control.SendDirect(ctx, sh.client, call.Addr, call.Body, valid)
	if err != nil {
		sh.node.log.Debug("direct command failed", "addr", call.Addr, "status", result.Status, "error", err)
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.holder.RecordCallResult(shard.CallResult{
		ID:        call.ID,
		Status:    result.Status,
		Reached:   result.Reached,
		Heartbeat: result.Body,
	})
}

// awaitAnswer waits for the leader's answer to a machine's heartbeat, no longer than
// patience.
func (sh *shardHolder) awaitAnswer(ctx context.Context, machine string, hb pendingHeartbeat, patience time.Duration) (orders []wire.Command, ok bool) {
	t := time.NewTimer(patience)
	defer t.Stop()
	select {
	case orders = <-hb.orders:
		ok = true
	case <-t.C:
	case <-ctx.Done():
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	// A later answer of the leader is too late: its launches count as not executed once the
	// worker's next heartbeat lacks them.
	if current, waits := sh.pending[machine]; waits && current.orders == hb.orders {
		delete(sh.pending, machine)
	}
	return orders, ok
}

// grantValid reports whether this node may act for the leader of the term right now.
func (sh *shardHolder) grantValid(term uint64) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.holder.GrantValid(term, time.Now())
}

// receivedHeartbeat is what the holder decided about a heartbeat.
type receivedHeartbeat struct {
	outcome shard.Outcome
	term    uint64           // of the grant
	orders  []wire.Command   // of this node's own answer
	pending pendingHeartbeat // set if the leader is asked
}

// receive takes in a heartbeat, and lets it wait for the leader's answer if it reports
// something new.
func (sh *shardHolder) receive(m *wire.Heartbeat, body []byte) receivedHeartbeat {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	orders, outcome := sh.holder.HandleHeartbeat(m, body, time.Now())
	r := receivedHeartbeat{
		outcome: outcome,
		term:    sh.holder.Term(),
		orders:  orders,
	}
	if outcome >= shard.HeartbeatChanged {
		r.pending = pendingHeartbeat{
			session: m.Session,
			seq:     m.Seq,
			orders:  make(chan []wire.Command, 1),
		}
		sh.pending[m.Machine] = r.pending // replaces an older one of the machine
	}
	return r
}

// handleHeartbeat answers the heartbeat of a machine in this node's shard; nil: the machine
// is not in it, or the heartbeat cannot be read, and the leader answers.
func (sh *shardHolder) handleHeartbeat(ctx context.Context, body []byte) *rpc.Reply {
	m := &wire.Heartbeat{}
	if err := wire.Unmarshal(body, m); err != nil || m.Machine == "" || m.Session == 0 {
		return nil
	}
	r := sh.receive(m, body)
	switch r.outcome {
	case shard.NotHeld:
		return nil
	case shard.GrantExpired:
		if m.Token > r.term {
			sh.node.elector.ObserveLeader("", m.Token)
		}
		return control.Unavailable("the leader has not renewed this node's grant")
	}
	orders := r.orders
	if r.outcome >= shard.HeartbeatChanged {
		patience := answerPatience
		if r.outcome == shard.LeaderRequired {
			patience = requiredAnswerPatience
		}
		leaderOrders, ok := sh.awaitAnswer(ctx, m.Machine, r.pending, patience)
		switch {
		case ok:
			orders = leaderOrders
		case r.outcome == shard.LeaderRequired:
			return control.Unavailable("the leader has not been told of all tasks of the machine")
		}
	}
	b, err := wire.Marshal(wire.HeartbeatResponse{Token: r.term, Commands: orders})
	if err != nil {
		return control.Unavailable("the answer does not encode")
	}
	// Checked as late as possible: the grant may have ended while the lock was waited for.
	if !sh.grantValid(r.term) {
		return control.Unavailable("the leader has not renewed this node's grant")
	}
	return &rpc.Reply{Status: http.StatusOK, Body: b, HasTasks: len(m.Tasks) > 0}
}
