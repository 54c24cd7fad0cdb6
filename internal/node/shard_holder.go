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

// shardHolder deals with the machines that the leader has given to this node: it answers
// their reports while the grant holds, tells the leader what they say, and sends
// the leader's commands to them.
type shardHolder struct {
	node     *Node
	client   *http.Client
	maxCalls int // direct commands that may be under way
	capacity int // machines that it can deal with

	mu             sync.Mutex
	holder         *shard.Holder
	pendingReports map[string]pendingReport // by machine
}

// pendingReport is a report that waits for the leader's answer.
type pendingReport struct {
	session, seq uint64
	orders       chan []wire.Order
}

const (
	// syncTimeout bounds a request; the leader answers at once, or as soon as it is not
	// behind.
	syncTimeout = 1500 * time.Millisecond
	// minSyncInterval is the least time between two requests, and syncIdle the wait of one that
	// was refused or lost.
	minSyncInterval = 25 * time.Millisecond
	syncRetryDelay  = 150 * time.Millisecond
	// answerPatience is how long a worker waits for the leader's answer before it gets this
	// node's own, which renews its lease.
	answerPatience = 250 * time.Millisecond
	// requiredAnswerPatience is how long it waits where this node may not answer by itself. The
	// worker gives the answer up after 4 s.
	requiredAnswerPatience = 2 * time.Second
)

func newShardHolder(n *Node, dial state.DialFunc) *shardHolder {
	sockets := n.set.Facts.Resources.MaxSockets
	calls := control.DirectCalls(sockets)
	// Each controller keeps connections for commands, so each keeps fewer than a leader
	// that sends all of them.
	return &shardHolder{node: n, maxCalls: calls, capacity: control.ShardCapacity(sockets), pendingReports: map[string]pendingReport{},
		client: control.DirectClient(dial, max(8, calls/4)),
		// A later process has a later time of day, within its skew; the leader lets in one
		// that has not once the grants of the process before have ended.
		holder: shard.NewHolder(n.set.Member, n.set.Site, uint64(time.Now().UnixNano()))}
}

// run asks the leader for this node's grant until the context ends.
func (a *shardHolder) run(ctx context.Context) {
	defer a.client.CloseIdleConnections()
	for ctx.Err() == nil {
		begun := time.Now()
		if !a.syncWithLeader(ctx) {
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

// syncWithLeader makes one request and reports whether it was answered.
func (a *shardHolder) syncWithLeader(ctx context.Context) bool {
	v := a.node.elector.View()
	a.mu.Lock()
	if v.Leader == a.node.set.Member {
		a.holder.Lead()
	}
	if v.Leader == "" || v.Leader == a.node.set.Member {
		a.mu.Unlock()
		return false
	}
	if v.Term > a.holder.Term() {
		a.holder.EndTerm()
	}
	sent := time.Now()
	q := a.holder.Request(a.capacity, a.maxCalls, a.node.lag.Behind(), sent)
	a.mu.Unlock()
	sctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	p, err := a.node.mesh.Sync(sctx, v.Leader, q)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil || p.Term == 0 {
		if err != nil {
			a.node.log.Debug("asking the leader for this node's grant failed", "leader", v.Leader, "error", err)
		}
		a.holder.Missed()
		return false
	}
	for _, c := range a.holder.Granted(p, sent) {
		go a.sendCommand(ctx, p.Term, c)
	}
	for i := range p.Answers {
		an := &p.Answers[i]
		if q, ok := a.pendingReports[an.Host]; ok && q.session == an.Session && q.seq == an.Seq {
			delete(a.pendingReports, an.Host)
			q.orders <- an.Orders // it has room for one
		}
	}
	return true
}

// sendCommand sends a command of the leader's to a worker. The leader bounds how many are
// under way.
func (a *shardHolder) sendCommand(ctx context.Context, term uint64, c shard.Call) {
	status, answer, reached, err := control.Direct(ctx, a.client, c.Addr, c.Body, func() bool { return a.grantValid(term) })
	if err != nil {
		a.node.log.Debug("direct command failed", "addr", c.Addr, "status", status, "error", err)
	}
	a.mu.Lock()
	a.holder.Finish(shard.Done{ID: c.ID, Status: status, Reached: reached, Report: answer})
	a.mu.Unlock()
}

// awaitAnswer waits for the leader's answer to a report of a machine.
func (a *shardHolder) awaitAnswer(ctx context.Context, machine string, q pendingReport, patience time.Duration) (orders []wire.Order, ok bool) {
	t := time.NewTimer(patience)
	defer t.Stop()
	select {
	case orders = <-q.orders:
		ok = true
	case <-t.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	// What the leader says from now on is too late: its launches count as not
	// executed once the worker's next report lacks them.
	if now, waits := a.pendingReports[machine]; waits && now.orders == q.orders {
		delete(a.pendingReports, machine)
	}
	return orders, ok
}

// grantValid reports whether this node may act for the leader of the term right now.
func (a *shardHolder) grantValid(term uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Valid(term, time.Now())
}

// handleHeartbeat answers the report of a machine in the share; nil: it is in none of ours.
func (a *shardHolder) handleHeartbeat(ctx context.Context, body []byte) *rpc.Reply {
	m := &wire.Report{}
	if err := wire.Unmarshal(body, m); err != nil || m.Host == "" || m.Session == 0 {
		return nil // the leader refuses it
	}
	a.mu.Lock()
	orders, verdict := a.holder.Report(m, body, time.Now())
	term := a.holder.Term()
	q := pendingReport{m.Session, m.Seq, make(chan []wire.Order, 1)}
	if verdict >= shard.ReportChanged {
		a.pendingReports[m.Host] = q // an older one of the machine is not waited for any more
	}
	a.mu.Unlock()
	switch verdict {
	case shard.NotHeld:
		return nil
	case shard.GrantExpired:
		if m.Token > term {
			a.node.elector.ObserveLeader("", m.Token)
		}
		return control.Later("the leader has not renewed this node's grant")
	}
	if verdict >= shard.ReportChanged {
		patience := answerPatience
		if verdict == shard.LeaderRequired {
			patience = requiredAnswerPatience
		}
		told, ok := a.awaitAnswer(ctx, m.Host, q, patience)
		switch {
		case ok:
			orders = told
		case verdict == shard.LeaderRequired:
			return control.Later("the leader has not been told of all tasks of the machine")
		}
	}
	b, err := wire.Marshal(wire.Answer{Token: term, Orders: orders})
	if err != nil {
		return control.Later("the answer does not encode")
	}
	// As late as possible: the lock may have been waited for longer than the grant.
	if !a.grantValid(term) {
		return control.Later("the leader has not renewed this node's grant")
	}
	return &rpc.Reply{Status: http.StatusOK, Body: b, Work: len(m.Tasks) > 0}
}
