package emulate

import (
	"context"
	"net"
	"sync"
	"time"

	"vetchstream/internal/state"
)

// MemoryNetwork is an in-memory network with partitions, for use with simulated time. A partition
// holds packets and delivers them in order when it ends, even if the sender has closed the
// connection in the meantime.
type MemoryNetwork struct {
	mu          sync.Mutex
	listeners   map[string]*memListener // by address
	connections map[*memConn]bool       // the client ends of open connections
	delay       time.Duration           // latency of every packet

	// Filters of traffic from one host to another; see the methods that set them.
	partitioned       linkFilter
	partitionedOneWay linkFilter
	heldRequests      linkFilter
	denied            linkFilter
}

// linkFilter reports whether it selects the traffic from one host to another.
type linkFilter = func(from, to string) bool

// noLink is a filter that selects no traffic.
func noLink(_, _ string) bool { return false }

// NewMemoryNetwork returns a network without partitions.
func NewMemoryNetwork() *MemoryNetwork {
	return &MemoryNetwork{
		listeners:         map[string]*memListener{},
		connections:       map[*memConn]bool{},
		delay:             packetLatency,
		partitioned:       noLink,
		partitionedOneWay: noLink,
		heldRequests:      noLink,
		denied:            noLink,
	}
}

// AddDelay sets a delay of every packet in addition to packetLatency. It replaces an earlier delay.
func (n *MemoryNetwork) AddDelay(d time.Duration) {
	n.mu.Lock()
	n.delay = packetLatency + d
	n.mu.Unlock()
}

// packetDelay returns the latency of a packet.
func (n *MemoryNetwork) packetDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay
}

// DenyConnections refuses new connections from one host to another for which f is true, and resets
// the open ones. Connections in the opposite direction are not affected.
func (n *MemoryNetwork) DenyConnections(f func(from, to string) bool) {
	n.mu.Lock()
	n.denied = f
	n.mu.Unlock()
	n.resetOpenedBy(f)
}

// HoldRequests holds the packets that a host sends on connections that it has opened to another host
// for which f is true, which are its requests. It does not hold the responses or packets on
// connections that the other host has opened.
func (n *MemoryNetwork) HoldRequests(f func(from, to string) bool) {
	n.mu.Lock()
	n.heldRequests = f
	n.mu.Unlock()
}

// holdsRequests reports whether requests from one host to another are held.
func (n *MemoryNetwork) holdsRequests(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.heldRequests(from, to)
}

// isPartitioned reports whether packets from one host to another are held.
func (n *MemoryNetwork) isPartitioned(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned(from, to) || n.partitioned(to, from) || n.partitionedOneWay(from, to)
}

// PartitionOneWay holds the packets from one host to another for which f is true, but not those in
// the opposite direction.
func (n *MemoryNetwork) PartitionOneWay(f func(from, to string) bool) {
	n.mu.Lock()
	n.partitionedOneWay = f
	n.mu.Unlock()
}

// Partition holds the packets between two hosts for which f is true, in either direction.
func (n *MemoryNetwork) Partition(f func(from, to string) bool) {
	n.mu.Lock()
	n.partitioned = f
	n.mu.Unlock()
}

// Listen implements Network.
func (n *MemoryNetwork) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, errAddressInUse
	}
	listener := &memListener{
		network:  n,
		addr:     addr,
		accepted: make(chan net.Conn, listenBacklog),
		closed:   make(chan struct{}),
	}
	n.listeners[addr] = listener
	return listener, nil
}

// Dialer implements Network.
func (n *MemoryNetwork) Dialer(from string) state.DialFunc {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		to, _, _ := net.SplitHostPort(addr)
		for n.isPartitioned(from, to) {
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(partitionPoll):
			}
		}
		n.mu.Lock()
		listener := n.listeners[addr]
		if n.denied(from, to) {
			listener = nil
		}
		n.mu.Unlock()
		if listener == nil {
			return nil, errConnectionRefused
		}
		client, server := n.connect(from, to, addr)
		select {
		case listener.accepted <- server:
		case <-listener.closed:
			client.reset()
			return nil, errConnectionRefused
		}
		return client, nil
	}
}

// ResetConnections resets the connections between two hosts for which match is true in either
// direction, as when the process of a host ends.
func (n *MemoryNetwork) ResetConnections(match func(from, to string) bool) {
	n.resetOpenedBy(func(from, to string) bool { return match(from, to) || match(to, from) })
}

// resetOpenedBy resets the connections from one host to another for which match is true, where the
// first host has opened them.
func (n *MemoryNetwork) resetOpenedBy(match func(from, to string) bool) {
	n.mu.Lock()
	var matching []*memConn
	for c := range n.connections {
		from, _, _ := net.SplitHostPort(c.from)
		to, _, _ := net.SplitHostPort(c.to)
		if match(from, to) {
			matching = append(matching, c)
		}
	}
	n.mu.Unlock()
	for _, c := range matching {
		c.reset()
	}
}
