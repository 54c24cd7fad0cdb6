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

// shareHolder deals with the machines that the leader has given to this node: it answers
// their reports while the grant holds, tells the leader what they say, and sends
// the leader's commands to them.
type shareHolder struct {
	n     *Node
	hc    *http.Client
	calls int // direct commands that may be under way
	room  int // machines that it can deal with

	mu     sync.Mutex
	holder *shard.Holder
	asks   map[string]ask // by machine
}

// ask is a report that waits for the leader's answer.
type ask struct {
	session, seq uint64
	orders       chan []wire.Order
}

const (
	// syncTime bounds a request; the leader answers at once, or as soon as it is not
	// behind.
	syncTime = 1500 * time.Millisecond
	// syncGap is the least time between two requests, and syncIdle the wait of one that
	// was refused or lost.
	syncGap  = 25 * time.Millisecond
	syncIdle = 150 * time.Millisecond
	// askTime is how long a worker waits for the leader's answer before it gets this
	// node's own, which renews its lease.
	askTime = 250 * time.Millisecond
	// requiredTime is how long it waits where this node may not answer by itself. The
	// worker gives the answer up after 4 s.
	requiredTime = 2 * time.Second
)

func newShareHolder(n *Node, dial state.DialFunc) *shareHolder {
	sockets := n.set.Facts.Resources.MaxSockets
	calls := control.DirectCalls(sockets)
	// Each controller keeps connections for commands, so each keeps fewer than a leader
	// that sends all of them.
	return &shareHolder{n: n, calls: calls, room: control.Room(sockets), asks: map[string]ask{},
		hc: control.DirectClient(dial, max(8, calls/4)),
		// A later process has a later time of day, within its skew; the leader lets in one
		// that has not once the grants of the process before have ended.
		holder: shard.NewHolder(n.set.Member, n.set.Site, uint64(time.Now().UnixNano()))}
}

// run asks the leader for this node's grant until the context ends.
func (a *shareHolder) run(ctx context.Context) {
	defer a.hc.CloseIdleConnections()
	for ctx.Err() == nil {
		begun := time.Now()
		if !a.sync(ctx) {
			wait(ctx, syncIdle)
			continue
		}
		wait(ctx, syncGap-time.Since(begun))
	}
}

// wait waits for a time, or until the context ends.
func wait(ctx context.Context, d time.Duration) {
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

// sync makes one request and reports whether it was answered.
func (a *shareHolder) sync(ctx context.Context) bool {
	v := a.n.elector.View()
	a.mu.Lock()
	if v.Leader == a.n.set.Member {
		a.holder.BecomeLeader()
	}
	if v.Leader == "" || v.Leader == a.n.set.Member {
		a.mu.Unlock()
		return false
	}
	if v.Term > a.holder.Term() {
		a.holder.EndTerm()
	}
	sent := time.Now()
	q := a.holder.Request(a.room, a.calls, a.n.lag.Behind(), sent)
	a.mu.Unlock()
	sctx, cancel := context.WithTimeout(ctx, syncTime)
	defer cancel()
	p, err := a.n.mesh.Sync(sctx, v.Leader, q)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil || p.Term == 0 {
		if err != nil {
			a.n.log.Debug("asking the leader for this node's grant failed", "leader", v.Leader, "error", err)
		}
		a.holder.RequestFailed()
		return false
	}
	for _, c := range a.holder.HandleReply(p, sent) {
		go a.send(ctx, p.Term, c)
	}
	for i := range p.Answers {
		an := &p.Answers[i]
		if q, ok := a.asks[an.Host]; ok && q.session == an.Session && q.seq == an.Seq {
			delete(a.asks, an.Host)
			q.orders <- an.Orders // it has room for one
		}
	}
	return true
}

// send sends a command of the leader's to a worker. The leader bounds how many are
// under way.
func (a *shareHolder) send(ctx context.Context, term uint64, c shard.Call) {
	status, answer, reached, err := control.Direct(ctx, a.hc, c.Addr, c.Body, func() bool { return a.valid(term) })
	if err != nil {
		a.n.log.Debug("direct command failed", "addr", c.Addr, "status", status, "error", err)
	}
	a.mu.Lock()
	a.holder.RecordCallResult(shard.CallResult{ID: c.ID, Status: status, Reached: reached, Report: answer})
	a.mu.Unlock()
}

// await waits for the leader's answer to a report of a machine.
func (a *shareHolder) await(ctx context.Context, machine string, q ask, patience time.Duration) (orders []wire.Order, ok bool) {
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
	if now, waits := a.asks[machine]; waits && now.orders == q.orders {
		delete(a.asks, machine)
	}
	return orders, ok
}

// valid reports whether this node may act for the leader of the term right now.
func (a *shareHolder) valid(term uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.GrantValid(term, time.Now())
}

// report answers the report of a machine in the share; nil: it is in none of ours.
func (a *shareHolder) report(ctx context.Context, body []byte) *rpc.Reply {
	m := &wire.Report{}
	if err := wire.Unmarshal(body, m); err != nil || m.Host == "" || m.Session == 0 {
		return nil // the leader refuses it
	}
	a.mu.Lock()
	orders, verdict := a.holder.Report(m, body, time.Now())
	term := a.holder.Term()
	q := ask{m.Session, m.Seq, make(chan []wire.Order, 1)}
	if verdict >= shard.ReportChanged {
		a.asks[m.Host] = q // an older one of the machine is not waited for any more
	}
	a.mu.Unlock()
	switch verdict {
	case shard.NotHeld:
		return nil
	case shard.GrantExpired:
		if m.Token > term {
			a.n.elector.ObserveLeader("", m.Token)
		}
		return control.Later("the leader has not renewed this node's grant")
	}
	if verdict >= shard.ReportChanged {
		patience := askTime
		if verdict == shard.LeaderRequired {
			patience = requiredTime
		}
		told, ok := a.await(ctx, m.Host, q, patience)
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
	if !a.valid(term) {
		return control.Later("the leader has not renewed this node's grant")
	}
	return &rpc.Reply{Status: http.StatusOK, Body: b, Work: len(m.Tasks) > 0}
}
