package emulate

import (
	"context"
	"net"
	"sync"
	"time"

	"vetchstream/internal/state"
)

// MemoryNetwork is a network in memory with partitions, for simulated time. Packets that meet a
// partition are held and delivered in order once it ends, even when the sender has closed
// meanwhile.
type MemoryNetwork struct {
	mu          sync.Mutex
	listeners   map[string]*memListener // by address
	connections map[*memConn]bool       // the ends that have opened one
	delay       time.Duration           // of every packet

	// Each chooses traffic from one host to another, see the methods that set them.
	partitioned       linkFilter
	partitionedOneWay linkFilter
	heldRequests      linkFilter
	denied            linkFilter
}

// linkFilter chooses traffic from one host to another.
type linkFilter = func(from, to string) bool

// noLink chooses nothing.
func noLink(_, _ string) bool { return false }

// NewMemoryNetwork makes a network without partitions.
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

// AddDelay delays every packet by that much beside the usual latency.
func (n *MemoryNetwork) AddDelay(d time.Duration) {
	n.mu.Lock()
	n.delay = packetLatency + d
	n.mu.Unlock()
}

// packetDelay is how long a packet takes.
func (n *MemoryNetwork) packetDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay
}

// DenyConnections lets no connection be opened from one host to another for which f is true, and
// breaks those that are. The other may open one in the other direction.
func (n *MemoryNetwork) DenyConnections(f func(from, to string) bool) {
	n.mu.Lock()
	n.denied = f
	n.mu.Unlock()
	n.resetOpenedBy(f)
}

// HoldRequests holds what a host sends on connections that it has opened to another for which f
// is true: its requests. Answers to them pass, and so does what goes over connections that the
// other has opened.
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

// PartitionOneWay holds the packets from one host to another for which f is true, and not those
// in the other direction.
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
	l := &memListener{
		network:  n,
		addr:     addr,
		accepted: make(chan net.Conn, listenBacklog),
		closed:   make(chan struct{}),
	}
	n.listeners[addr] = l
	return l, nil
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
		l := n.listeners[addr]
		if n.denied(from, to) {
			l = nil
		}
		n.mu.Unlock()
		if l == nil {
			return nil, errConnectionRefused
		}
		client, server := n.connect(from, to, addr)
		select {
		case l.accepted <- server:
		case <-l.closed:
			client.reset()
			return nil, errConnectionRefused
		}
		return client, nil
	}
}

// ResetConnections breaks the connections between two hosts for which match is true, whichever has
// opened them, as when the process of a host ends.
func (n *MemoryNetwork) ResetConnections(match func(from, to string) bool) {
	n.resetOpenedBy(func(from, to string) bool { return match(from, to) || match(to, from) })
}

// resetOpenedBy breaks the connections that were opened from one host to another for which match
// is true.
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
