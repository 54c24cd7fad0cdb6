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

// Timeouts of requests that are forwarded to the leader. They leave time to read the
// key-value store afterwards. Submissions have a shorter timeout, because this node can
// admit them without the leader.
const (
	forwardTimeout       = 1200 * time.Millisecond
	submitForwardTimeout = 400 * time.Millisecond
	statusForwardTimeout = 900 * time.Millisecond
)

// statusTimeout bounds a poll for a job's status. Users wait two seconds for the answer,
// so a poll that blocks longer on a commit, a takeover or a read only uses resources.
const statusTimeout = 1500 * time.Millisecond

// HandleUser implements api.Backend. A follower forwards the request to the leader. If
// that fails, it admits a job or reads a job's status itself, through the key-value
// store.
func (n *Node) HandleUser(ctx context.Context, request *rpc.Request) *rpc.Reply {
	n.recordUserRequest()
	if request.Kind == rpc.KindStatus {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, statusTimeout)
		defer cancel()
	}
	if request.Kind == rpc.KindConfig && n.home != nil {
		return n.home.forward(ctx, request)
	}
	if reply := n.controller.Answer(ctx, request); reply != nil {
		return reply
	}
	// Forwarding to a leader that does not answer pings would only delay the answer.
	if leader := n.Leader(); leader != "" && n.mesh.Reachable(leader) {
		if reply := n.forwardUser(ctx, leader, request); reply != nil {
			return reply
		}
	}
	if ctx.Err() == nil {
		switch request.Kind {
		case rpc.KindStatus:
			return n.controller.StatusWithoutLeader(ctx, request.ID)
		case rpc.KindSubmit:
			return n.admitLocally(ctx, request)
		}
	}
	return n.noLeaderReply()
}

// forwardUser forwards a user's request to the leader and returns the reply. It returns
// nil if the leader did not answer or left the request to this node. While the leader is
// slow, this node admits submissions itself.
func (n *Node) forwardUser(ctx context.Context, leader string, request *rpc.Request) *rpc.Reply {
	if request.Kind == rpc.KindSubmit && n.route.preferLocal(time.Now()) {
		if reply := n.admitLocally(ctx, request); reply.Status != http.StatusServiceUnavailable {
			return reply
		}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeoutFor(request.Kind))
	defer cancel()
	start := time.Now()
	reply, err := n.mesh.Forward(ctx, leader, request)
	if request.Kind == rpc.KindSubmit {
		n.route.observeLeader(time.Since(start))
	}
	if err != nil || (reply.Status == http.StatusServiceUnavailable && !reply.Final) {
		return nil
	}
	return reply
}

// forwardTimeoutFor returns the timeout of forwarding a request of the kind to the leader.
func forwardTimeoutFor(kind rpc.RequestKind) time.Duration {
	switch kind {
	case rpc.KindStatus:
		return statusForwardTimeout
	case rpc.KindSubmit:
		return submitForwardTimeout
	}
	return forwardTimeout
}

// admitLocally admits a submitted job without the leader and records the latency.
func (n *Node) admitLocally(ctx context.Context, request *rpc.Request) *rpc.Reply {
	start := time.Now()
	reply := n.controller.AdmitWithoutLeader(ctx, request.Body)
	n.route.observeLocal(time.Since(start))
	return reply
}

// noLeaderReply returns a 503 that asks the user to retry once the lease of the
// unreachable leader has expired. The next leader takes over shortly after that; a retry
// that arrives before the takeover does no harm.
func (n *Node) noLeaderReply() *rpc.Reply {
	reply := control.Unavailable("no leader is reachable")
	reply.RetryAfter = max(reply.RetryAfter, int(n.elector.LeaderLeaseLeft()/time.Second))
	return reply
}

// Heartbeat implements api.Backend. The leader, or the controller that the machine is
// assigned to, answers the worker. Heartbeat returns nil if this node is neither.
func (n *Node) Heartbeat(ctx context.Context, request *rpc.Request) *rpc.Reply {
	if reply := n.controller.Answer(ctx, request); reply != nil || n.shardHolder == nil {
		return reply
	}
	return n.shardHolder.handleHeartbeat(ctx, request.Body)
}

// ForwardHeartbeat implements api.Backend. The reply is a 503 if the leader does not
// answer.
func (n *Node) ForwardHeartbeat(ctx context.Context, request *rpc.Request) *rpc.Reply {
	forwarded := *request
	forwarded.ForwardedBy = n.settings.Member
	reply, err := n.mesh.Forward(ctx, n.Leader(), &forwarded)
	if err != nil {
		return control.Unavailable("the leader is not reachable")
	}
	return reply
}

// Leader implements api.Backend. It returns the member name of the last observed leader;
// it is empty if no leader is known or this node leads.
func (n *Node) Leader() string {
	leader := n.elector.View().Leader
	if leader == n.settings.Member {
		return ""
	}
	return leader
}

// HandleForwarded implements rpc.Handler. Only a leader answers requests that other nodes
// forward; a follower replies with a 503.
func (n *Node) HandleForwarded(ctx context.Context, request *rpc.Request) *rpc.Reply {
	if reply := n.controller.Answer(ctx, request); reply != nil {
		return reply
	}
	return control.Unavailable("this controller is not the leader")
}

// Promise implements rpc.Handler.
func (n *Node) Promise(ctx context.Context, request *rpc.PromiseRequest) *rpc.Promise {
	return &rpc.Promise{Given: n.elector.HandlePromiseRequest(ctx, request.Leader, request.Term)}
}

// FollowConfig implements rpc.Handler. Only the leader of the home region answers.
func (n *Node) FollowConfig(ctx context.Context, request *dynconfig.Request) *dynconfig.Reply {
	return n.controller.HandleFollow(ctx, request)
}

// SyncShard implements rpc.Handler. Only the leader assigns machines.
func (n *Node) SyncShard(ctx context.Context, request *shard.Request) *shard.Reply {
	return n.controller.Sync(ctx, request)
}
