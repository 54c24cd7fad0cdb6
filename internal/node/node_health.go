package node

import (
	"time"

	"vetchstream/internal/rpc"
)

const (
	// storeReachableMaxAge is how long a node tells its siblings that the key-value store
	// answers it: its watch returns every five seconds.
	storeReachableMaxAge = 7 * time.Second
	// healthyStoreMaxAge is how long the last answer of the key-value store makes a node
	// healthy that reaches no leader.
	healthyStoreMaxAge = 8 * time.Second
	// userTrafficWindow is how long after the last user's request a node counts as one that
	// the load balancer sends users to.
	userTrafficWindow = 3 * time.Second
	// unhealthyDelay is how long a node without leader and key-value store stays healthy:
	// being taken out and put back by the load balancer costs users more than a short
	// outage, in which no other node could serve them either.
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
		StoreReachable: time.Since(view.StoreSeenAt) < storeReachableMaxAge,
	}
}

// recordUserRequest notes that a user's request has arrived.
func (n *Node) recordUserRequest() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastUserRequestAt = time.Now()
}

// servesUsers reports whether the load balancer sends users to this node.
func (n *Node) servesUsers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.lastUserRequestAt) < userTrafficWindow
}

// Healthy implements api.Backend. An overloaded leader leaves its users to the other
// nodes, which have little to do and can admit jobs and answer polls without it. It
// waits until the load balancer sends users to one of them, which takes up to a minute
// after a restart.
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

// ableToServe reports whether this node can answer users: as leader, through the
// key-value store, or through a leader that it reaches.
func (n *Node) ableToServe() bool {
	view := n.elector.View()
	return n.controller.Leading() ||
		time.Since(view.StoreSeenAt) < healthyStoreMaxAge ||
		(view.Leader != "" && n.mesh.Reachable(view.Leader))
}
