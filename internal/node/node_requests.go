package node

import (
	"context"
	"net/http"
	"time"

	"vetchstream/internal/control"
	"vetchstream/internal/dynconfig"
	"vetchstream/internal/rpc"
	"vetchstream/internal/shard"
)

// Limits of the wait for the leader, which leave time for a read of the key-value
// store. A submission needs no leader, so it waits for a leader that hangs for no
// longer than an answer usually takes.
const (
	forwardTimeout       = 1200 * time.Millisecond
	submitForwardTimeout = 400 * time.Millisecond
	statusForwardTimeout = 900 * time.Millisecond
)

// statusTimeout bounds a poll for a job's status: its user waits for two seconds, and a
// poll that hangs in a commit, a takeover or a read is of no use to anyone.
const statusTimeout = 1500 * time.Millisecond

// HandleUser implements api.Backend. While this node does not lead it forwards the
// request to the leader; if that fails, it admits a job or reads a job's status by
// itself, through the key-value store.
func (n *Node) HandleUser(ctx context.Context, q *rpc.Request) *rpc.Reply {
	n.recordUserRequest()
	if q.Kind == rpc.KindStatus {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, statusTimeout)
		defer cancel()
	}
	if q.Kind == rpc.KindConfig && n.home != nil {
		return n.home.forward(ctx, q)
	}
	if reply := n.controller.Answer(ctx, q); reply != nil {
		return reply
	}
	// A leader that does not answer pings would only use up the user's patience.
	if leader := n.Leader(); leader != "" && n.mesh.Reachable(leader) {
		if reply := n.forwardUser(ctx, leader, q); reply != nil {
			return reply
		}
	}
	if ctx.Err() == nil {
		switch q.Kind {
		case rpc.KindStatus:
			return n.controller.StatusWithoutLeader(ctx, q.ID)
		case rpc.KindSubmit:
			return n.admitLocally(ctx, q)
		}
	}
	return n.noLeaderReply()
}

// forwardUser forwards a user's request to the leader and returns its reply; nil: the
// leader did not answer, or left the request to this node. A submission is admitted
// without the leader while that is overloaded.
func (n *Node) forwardUser(ctx context.Context, leader string, q *rpc.Request) *rpc.Reply {
	if q.Kind == rpc.KindSubmit && n.route.preferLocal(time.Now()) {
		if reply := n.admitLocally(ctx, q); reply.Status != http.StatusServiceUnavailable {
			return reply
		}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeoutFor(q.Kind))
	defer cancel()
	begun := time.Now()
	reply, err := n.mesh.Forward(ctx, leader, q)
	if q.Kind == rpc.KindSubmit {
		n.route.observeLeader(time.Since(begun))
	}
	if err != nil || (reply.Status == http.StatusServiceUnavailable && !reply.Final) {
		return nil
	}
	return reply
}

// forwardTimeoutFor returns how long a request of the kind waits for the leader.
func forwardTimeoutFor(kind rpc.RequestKind) time.Duration {
	switch kind {
	case rpc.KindStatus:
		return statusForwardTimeout
	case rpc.KindSubmit:
		return submitForwardTimeout
	}
	return forwardTimeout
}

// admitLocally admits a submitted job without the leader.
func (n *Node) admitLocally(ctx context.Context, q *rpc.Request) *rpc.Reply {
	begun := time.Now()
	reply := n.controller.AdmitWithoutLeader(ctx, q.Body)
	n.route.observeLocal(time.Since(begun))
	return reply
}

// noLeaderReply is a 503 that asks a user to come back when the lease of a leader that
// cannot be reached has expired. The next leader takes a moment more, but a user who
// comes a little early loses nothing by it.
func (n *Node) noLeaderReply() *rpc.Reply {
	reply := control.Unavailable("no leader is to be reached")
	reply.RetryAfter = max(reply.RetryAfter, int(n.elector.LeaderLeaseLeft()/time.Second))
	return reply
}

// Heartbeat implements api.Backend: a worker is answered by the leader, or by the
// controller that its machine is assigned to. It returns nil if this node is neither.
func (n *Node) Heartbeat(ctx context.Context, q *rpc.Request) *rpc.Reply {
	if reply := n.controller.Answer(ctx, q); reply != nil || n.shardHolder == nil {
		return reply
	}
	return n.shardHolder.handleHeartbeat(ctx, q.Body)
}

// ForwardHeartbeat implements api.Backend. If the leader does not answer, the reply is
// a 503.
func (n *Node) ForwardHeartbeat(ctx context.Context, q *rpc.Request) *rpc.Reply {
	forwarded := *q
	forwarded.ForwardedBy = n.settings.Member
	reply, err := n.mesh.Forward(ctx, n.Leader(), &forwarded)
	if err != nil {
		return control.Unavailable("the leader is not to be reached")
	}
	return reply
}

// Leader implements api.Backend: it names the leader as far as this node knows, and is
// empty if that is this node.
func (n *Node) Leader() string {
	leader := n.elector.View().Leader
	if leader == n.settings.Member {
		return ""
	}
	return leader
}

// HandleForwarded implements rpc.Handler. Only a leader answers for other nodes; any
// other replies with a 503.
func (n *Node) HandleForwarded(ctx context.Context, q *rpc.Request) *rpc.Reply {
	if reply := n.controller.Answer(ctx, q); reply != nil {
		return reply
	}
	return control.Unavailable("not the leader")
}

// Promise implements rpc.Handler.
func (n *Node) Promise(ctx context.Context, q *rpc.PromiseRequest) *rpc.Promise {
	return &rpc.Promise{Given: n.elector.Promise(ctx, q.Leader, q.Term)}
}

// FollowConfig implements rpc.Handler: only a leader of the home region answers.
func (n *Node) FollowConfig(ctx context.Context, q *dynconfig.Request) *dynconfig.Reply {
	return n.controller.HandleFollow(ctx, q)
}

// SyncShard implements rpc.Handler: only a leader assigns machines.
func (n *Node) SyncShard(ctx context.Context, r *shard.Request) *shard.Reply {
	return n.controller.Sync(ctx, r)
}
