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

// shardHolder serves the shard of machines that the leader has assigned to this node. While
// the grant is valid it answers the heartbeats of their workers, passes their reports to the
// leader, and sends them the leader's direct commands.
type shardHolder struct {
	node     *Node
	client   *http.Client
	maxCalls int // maximum number of direct commands in flight
	capacity int // number of machines that this node can serve

	mu      sync.Mutex
	holder  *shard.Holder
	pending map[string]pendingHeartbeat // by machine name
}

// pendingHeartbeat is a heartbeat that waits for the leader's answer.
type pendingHeartbeat struct {
	session  uint64
	seq      uint64
	response chan wire.HeartbeatResponse // buffered: takes one answer without a receiver
}

const (
	// syncTimeout bounds a request to the leader. The leader answers immediately, or as soon
	// as it has processed its queue.
	syncTimeout = 1500 * time.Millisecond
	// minSyncInterval is the minimum interval between two requests, and syncRetryDelay the
	// delay after a request that was refused or not answered.
	minSyncInterval = 25 * time.Millisecond
	syncRetryDelay  = 150 * time.Millisecond
	// leaderAnswerTimeout bounds the wait for the leader's answer to a heartbeat. After it
	// this node sends its own answer, which renews the worker's lease.
	leaderAnswerTimeout = 250 * time.Millisecond
	// requiredAnswerTimeout bounds the wait if only the leader may answer. The worker's own
	// timeout is 4 s.
	requiredAnswerTimeout = 2 * time.Second
	// minIdleConns is the lower bound of the limit on idle connections to workers.
	minIdleConns = 8
)

func newShardHolder(n *Node, dial state.DialFunc) *shardHolder {
	sockets := n.settings.Facts.Resources.MaxSockets
	maxCalls := control.MaxDirectCalls(sockets)
	// A later process has a higher incarnation, unless the skew of the clock prevents it. In
	// that case the leader accepts the process once the earlier one's grants have ended.
	incarnation := uint64(time.Now().UnixNano())
	return &shardHolder{
		node: n,
		// The controllers share the sending of commands, so each keeps fewer idle
		// connections than a leader that sends all commands itself.
		client:   control.DirectClient(dial, max(minIdleConns, maxCalls/4)),
		maxCalls: maxCalls,
		capacity: control.ShardCapacity(sockets),
		holder:   shard.NewHolder(n.settings.Member, n.settings.Site, incarnation),
		pending:  map[string]pendingHeartbeat{},
	}
}

// run requests and renews this node's grant from the leader until the context ends.
func (sh *shardHolder) run(ctx context.Context) {
	defer sh.client.CloseIdleConnections()
	for ctx.Err() == nil {
		start := time.Now()
		if !sh.syncWithLeader(ctx) {
			sleep(ctx, syncRetryDelay)
			continue
		}
		sleep(ctx, minSyncInterval-time.Since(start))
	}
}

// sleep waits for the duration, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// syncWithLeader sends one request to the leader and reports whether it was answered.
func (sh *shardHolder) syncWithLeader(ctx context.Context) bool {
	leader, request, sentAt := sh.nextRequest()
	if request == nil {
		return false
	}
	syncCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	reply, err := sh.node.mesh.SyncShard(syncCtx, leader, request)
	if err != nil {
		sh.node.log.Debug("shard grant request to the leader failed", "leader", leader, "error", err)
	}
	if err != nil || reply.Term == 0 {
		sh.requestFailed()
		return false
	}
	sh.handleReply(ctx, reply, sentAt)
	return true
}

// nextRequest returns the next request, the leader to send it to and the time of sending.
// The request is nil if no leader is known or this node leads.
func (sh *shardHolder) nextRequest() (leader string, request *shard.Request, sentAt time.Time) {
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
	sentAt = time.Now()
	request = sh.holder.Request(sh.capacity, sh.maxCalls, sh.node.delay.Overloaded(), sentAt)
	return view.Leader, request, sentAt
}

func (sh *shardHolder) requestFailed() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.holder.RequestFailed()
}

// handleReply processes the leader's reply to the request that was sent at the given time.
// It starts the direct commands and passes answers on to the pending heartbeats.
func (sh *shardHolder) handleReply(ctx context.Context, reply *shard.Reply, sentAt time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, call := range sh.holder.HandleReply(reply, sentAt) {
		go sh.sendCommand(ctx, reply.Term, call)
	}
	for i := range reply.Answers {
		answer := &reply.Answers[i]
		waiting, ok := sh.pending[answer.Machine]
		if ok && waiting.session == answer.Session && waiting.seq == answer.Seq {
			delete(sh.pending, answer.Machine)
			waiting.response <- wire.HeartbeatResponse{Token: answer.Token, Commands: answer.Commands}
		}
	}
}

// sendCommand sends a worker a direct command from the leader of the term. The leader limits
// the number of commands in flight.
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

// awaitAnswer waits for the leader's answer to a machine's heartbeat until the timeout or
// the end of the context.
func (sh *shardHolder) awaitAnswer(ctx context.Context, machine string, waiting pendingHeartbeat, timeout time.Duration) (response wire.HeartbeatResponse, ok bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case response = <-waiting.response:
		ok = true
	case <-timer.C:
	case <-ctx.Done():
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	// From now on an answer of the leader is ignored. Its launches count as not executed
	// once they are absent from the worker's next heartbeat.
	if current, waits := sh.pending[machine]; waits && current.response == waiting.response {
		delete(sh.pending, machine)
	}
	return response, ok
}

// grantValid reports whether this node's grant from the leader of the term is valid now.
func (sh *shardHolder) grantValid(term uint64) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.holder.GrantValid(term, time.Now())
}

// heartbeatDecision describes how a heartbeat is answered.
type heartbeatDecision struct {
	outcome  shard.Outcome
	term     uint64                 // term of the grant
	response wire.HeartbeatResponse // this node's own answer
	pending  pendingHeartbeat       // set if the leader's answer is awaited
}

// decide records a heartbeat and decides how it is answered. A heartbeat that reports a
// change is registered as pending until the leader answers it or the wait for it ends.
func (sh *shardHolder) decide(heartbeat *wire.Heartbeat, body []byte) heartbeatDecision {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	response, outcome := sh.holder.HandleHeartbeat(heartbeat, body, time.Now())
	decision := heartbeatDecision{
		outcome:  outcome,
		term:     sh.holder.Term(),
		response: response,
	}
	if outcome >= shard.HeartbeatChanged {
		decision.pending = pendingHeartbeat{
			session:  heartbeat.Session,
			seq:      heartbeat.Seq,
			response: make(chan wire.HeartbeatResponse, 1),
		}
		sh.pending[heartbeat.Machine] = decision.pending // replaces an earlier heartbeat of the machine
	}
	return decision
}

// handleHeartbeat answers the heartbeat of a machine in this node's shard. It returns nil if
// the machine is not in the shard or the heartbeat cannot be decoded; the leader has to
// answer then.
func (sh *shardHolder) handleHeartbeat(ctx context.Context, body []byte) *rpc.Reply {
	heartbeat := &wire.Heartbeat{}
	if err := wire.Unmarshal(body, heartbeat); err != nil || heartbeat.Machine == "" || heartbeat.Session == 0 {
		return nil
	}
	decision := sh.decide(heartbeat, body)
	switch decision.outcome {
	case shard.NotHeld:
		return nil
	case shard.GrantExpired:
		if heartbeat.Token > decision.term {
			sh.node.elector.ObserveLeader("", heartbeat.Token)
		}
		return control.Unavailable("the leader has not renewed this node's grant")
	}
	response := decision.response
	if decision.outcome >= shard.HeartbeatChanged {
		timeout := leaderAnswerTimeout
		if decision.outcome == shard.LeaderRequired {
			timeout = requiredAnswerTimeout
		}
		leaderResponse, ok := sh.awaitAnswer(ctx, heartbeat.Machine, decision.pending, timeout)
		switch {
		case ok:
			response.Commands = leaderResponse.Commands
			response.Token = max(response.Token, leaderResponse.Token)
		case decision.outcome == shard.LeaderRequired:
			return control.Unavailable("the leader has not yet received the machine's complete task list")
		}
	}
	encoded, err := wire.Marshal(response)
	if err != nil {
		return control.Unavailable("the answer cannot be encoded")
	}
	// Checked as late as possible, because the grant may have expired while this goroutine
	// waited for the leader's answer or for the lock.
	if !sh.grantValid(decision.term) {
		return control.Unavailable("the leader has not renewed this node's grant")
	}
	return &rpc.Reply{Status: http.StatusOK, Body: encoded, HasTasks: len(heartbeat.Tasks) > 0}
}
