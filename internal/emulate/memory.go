package emulate

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"vetchstream/internal/state"
)

// MemoryNetwork is a network in memory with cuts, for days in simulated time. Packets that meet a cut are held and
// delivered in order once it ends, even when the sender has closed meanwhile.
type MemoryNetwork struct {
	mu                sync.Mutex
	listeners         map[string]*memListener
	connections       map[*memConn]bool
	partitioned       func(from, to string) bool
	partitionedOneWay func(from, to string) bool
	heldRequests      func(from, to string) bool
	denied            func(from, to string) bool
	delay             time.Duration // of every packet
}

// NewMemoryNetwork makes a network without cuts.
func NewMemoryNetwork() *MemoryNetwork {
	return &MemoryNetwork{listeners: map[string]*memListener{}, connections: map[*memConn]bool{}, partitioned: func(string, string) bool { return false },
		partitionedOneWay: func(string, string) bool { return false }, heldRequests: func(string, string) bool { return false }, denied: func(string, string) bool { return false }, delay: packetLatency}
}

// AddDelay makes every packet take that much longer.
func (n *MemoryNetwork) AddDelay(d time.Duration) {
	n.mu.Lock()
	n.delay = packetLatency + d
	n.mu.Unlock()
}

func (n *MemoryNetwork) packetDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay
}

// DenyConnections lets no connection be opened from one host to another for which f is true, and
// breaks those that are. The other may open one the other way round.
func (n *MemoryNetwork) DenyConnections(f func(from, to string) bool) {
	n.mu.Lock()
	n.denied = f
	n.mu.Unlock()
	n.resetOpenedBy(f)
}

// HoldRequests holds what a host sends on connections that it has opened to another for which f is
// true: its requests. Answers to them, and what goes over connections that the other has
// opened, pass.
func (n *MemoryNetwork) HoldRequests(f func(from, to string) bool) {
	n.mu.Lock()
	n.heldRequests = f
	n.mu.Unlock()
}

func (n *MemoryNetwork) holdsRequests(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.heldRequests(from, to)
}

func (n *MemoryNetwork) isPartitioned(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned(from, to) || n.partitioned(to, from) || n.partitionedOneWay(from, to)
}

// PartitionOneWay holds what passes from one host to another for which f is true, and not what
// comes back.
func (n *MemoryNetwork) PartitionOneWay(f func(from, to string) bool) {
	n.mu.Lock()
	n.partitionedOneWay = f
	n.mu.Unlock()
}

// Partition holds what passes between two hosts for which f is true, in either direction.
func (n *MemoryNetwork) Partition(f func(from, to string) bool) {
	n.mu.Lock()
	n.partitioned = f
	n.mu.Unlock()
}

type memListener struct {
	network  *MemoryNetwork
	addr     string
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

type memAddr string

func (a memAddr) Network() string { return "memory" }
func (a memAddr) String() string  { return string(a) }

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		if l.network.listeners[l.addr] == l {
			delete(l.network.listeners, l.addr)
		}
		l.network.mu.Unlock()
	})
	return nil
}

func (l *memListener) Addr() net.Addr { return memAddr(l.addr) }

// Listen implements Network.
func (n *MemoryNetwork) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, errors.New("address in use")
	}
	l := &memListener{network: n, addr: addr, accepted: make(chan net.Conn, 64), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// memConn is one end; out carries what it writes to the other end's pump.
type memConn struct {
	net.Conn
	from, to string
	reset    func()
}

func (c *memConn) RemoteAddr() net.Addr { return memAddr(c.to) }
func (c *memConn) LocalAddr() net.Addr  { return memAddr(c.from) }

const packetLatency = 2 * time.Millisecond

// Dialer implements Network.
func (n *MemoryNetwork) Dialer(from string) state.DialFunc {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		to, _, _ := net.SplitHostPort(addr)
		for n.isPartitioned(from, to) {
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(50 * time.Millisecond):
			}
		}
		n.mu.Lock()
		l := n.listeners[addr]
		if n.denied(from, to) {
			l = nil
		}
		n.mu.Unlock()
		if l == nil {
			return nil, errors.New("connection refused")
		}
		a, ap := net.Pipe()
		bp, b := net.Pipe()
		ca, cb := &memConn{Conn: a, from: from + ":1", to: addr}, &memConn{Conn: b, from: addr, to: from + ":1"}
		dead := make(chan struct{})
		var once sync.Once
		reset := func() {
			once.Do(func() {
				close(dead)
				for _, c := range []net.Conn{a, ap, bp, b} {
					_ = c.Close()
				}
				n.mu.Lock()
				delete(n.connections, ca)
				n.mu.Unlock()
			})
		}
		ca.reset, cb.reset = reset, reset
		n.mu.Lock()
		n.connections[ca] = true
		n.mu.Unlock()
		go n.forward(ap, bp, dead, func() bool { return n.isPartitioned(from, to) || n.holdsRequests(from, to) })
		go n.forward(bp, ap, dead, func() bool { return n.isPartitioned(to, from) })
		select {
		case l.accepted <- cb:
		case <-l.closed:
			reset()
			return nil, errors.New("connection refused")
		}
		return ca, nil
	}
}

type packet struct {
	deliverAt time.Time
	payload   []byte
}

// forward carries packets from one end of a connection to the other, and keeps them for as
// long as held says.
func (n *MemoryNetwork) forward(src, dst net.Conn, dead chan struct{}, held func() bool) {
	q := make(chan packet, 4096)
	go func() {
		defer close(q)
		buf := make([]byte, 32<<10)
		for {
			k, err := src.Read(buf)
			if k > 0 {
				select {
				case q <- packet{time.Now().Add(n.packetDelay()), append([]byte(nil), buf[:k]...)}:
				case <-dead:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range q {
		time.Sleep(time.Until(p.deliverAt))
		for held() {
			select {
			case <-dead:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
		if _, err := dst.Write(p.payload); err != nil {
			break
		}
	}
	_ = dst.Close()
}

// ResetConnections breaks every connection of a host, as when its process ends.
func (n *MemoryNetwork) ResetConnections(match func(from, to string) bool) {
	n.resetOpenedBy(func(f, t string) bool { return match(f, t) || match(t, f) })
}

// resetOpenedBy breaks the connections that were opened from one host to another for which match
// is true.
func (n *MemoryNetwork) resetOpenedBy(match func(from, to string) bool) {
	n.mu.Lock()
	var hit []*memConn
	for c := range n.connections {
		f, _, _ := net.SplitHostPort(c.from)
		t, _, _ := net.SplitHostPort(c.to)
		if match(f, t) {
			hit = append(hit, c)
		}
	}
	n.mu.Unlock()
	for _, c := range hit {
		c.reset()
	}
}
