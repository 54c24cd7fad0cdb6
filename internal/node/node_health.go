package node

import (
	"time"

	"vetchstream/internal/rpc"
)

const (
	// storeReachableMaxAge is the age of the key-value store's last answer up to which a
	// node reports to its siblings that it reaches the store. The node's watch of the
	// store returns every five seconds.
	storeReachableMaxAge = 7 * time.Second
	// healthyStoreMaxAge is the age of the key-value store's last answer up to which a
	// node that reaches no leader counts as able to serve users.
	healthyStoreMaxAge = 8 * time.Second
	// userTrafficWindow is the time since a node's last user request within which the load
	// balancer is assumed to send users to the node.
	userTrafficWindow = 3 * time.Second
	// unhealthyDelay is how long a node that reaches neither a leader nor the key-value
	// store still reports itself healthy. In a short outage no other node could serve its
	// users either, and being removed from the load balancer and added again would cost
	// them more than the outage.
	unhealthyDelay = 20 * time.Second
)

// NodeStatus implements rpc.Handler.
func (n *Node) NodeStatus() rpc.NodeStatus {
	view := n.elector.View()
	return rpc.NodeStatus{
		Member:         n.settings.Member,
		Leader:         view.Leader,
		Term:           view.Term,
		ServesUsers:    n.servesUsers(),
		Overloaded:     n.delay.Overloaded(),
		ProbeUs:        n.delay.ProbeTime().Microseconds(),
		StoreReachable: time.Since(view.StoreRespondedAt) < storeReachableMaxAge,
	}
}

// recordUserRequest records the arrival of a user's request.
func (n *Node) recordUserRequest() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastUserRequestAt = time.Now()
}

// servesUsers reports whether this node has received user requests recently, which means
// that the load balancer sends users to it.
func (n *Node) servesUsers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.lastUserRequestAt) < userTrafficWindow
}

// Healthy implements api.Backend. An overloaded leader reports itself unhealthy, so that
// the load balancer sends its users to the followers, which are lightly loaded and can
// admit jobs and answer polls without the leader. It does so only once the load balancer
// sends users to at least one of them, which takes up to a minute after a restart.
func (n *Node) Healthy() bool {
	if n.controller.Leading() && n.delay.Overloaded() && n.mesh.AnyServesUsers() {
		return false
	}
	able := n.ableToServe()
	n.mu.Lock()
	defer n.mu.Unlock()
	if able {
		n.unableToServeSince = time.Time{}
		return true
	}
	if n.unableToServeSince.IsZero() {
		n.unableToServeSince = time.Now()
	}
	return time.Since(n.unableToServeSince) < unhealthyDelay
}

// ableToServe reports whether this node can answer users: as the leader, through the
// key-value store, or through a reachable leader.
func (n *Node) ableToServe() bool {
	view := n.elector.View()
	return n.controller.Leading() ||
		time.Since(view.StoreRespondedAt) < healthyStoreMaxAge ||
		(view.Leader != "" && n.mesh.Reachable(view.Leader))
}
