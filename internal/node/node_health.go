package node

import (
	"time"

	"vetchstream/internal/rpc"
)

const (
	// storeReachableTime is how long a node tells its siblings that the key-value store
	// answers it: its watch returns every five seconds.
	storeReachableTime = 7 * time.Second
	// healthyStoreTime is how long the last answer of the key-value store makes a node
	// healthy that reaches no leader.
	healthyStoreTime = 8 * time.Second
	// servesUsersTime is how long after the last user's request a node counts as one that
	// the load balancer sends users to.
	servesUsersTime = 3 * time.Second
	// unableGrace is how long a node without leader and key-value store stays healthy:
	// being taken out and put back by the load balancer costs users more than a short
	// outage, in which no other node could serve them either.
	unableGrace = 20 * time.Second
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
		StoreReachable: time.Since(view.StoreRespondedAt) < storeReachableTime,
	}
}

// recordUser notes that a user's request has arrived.
func (n *Node) recordUser() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastUserAt = time.Now()
}

// servesUsers reports whether the load balancer sends users to this node.
func (n *Node) servesUsers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.lastUserAt) < servesUsersTime
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
		n.unableSince = time.Time{}
		return true
	}
	if n.unableSince.IsZero() {
		n.unableSince = time.Now()
	}
	return time.Since(n.unableSince) < unableGrace
}

// ableToServe reports whether this node can answer users: as leader, through the
// key-value store, or through a leader that it reaches.
func (n *Node) ableToServe() bool {
	view := n.elector.View()
	return n.controller.Leading() ||
		time.Since(view.StoreRespondedAt) < healthyStoreTime ||
		(view.Leader != "" && n.mesh.Reachable(view.Leader))
}
