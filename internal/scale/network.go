package scale

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"vetchstream/internal/emulate"
	"vetchstream/internal/state"
)

// gate blocks traffic while it is closed.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // closed while the gate is open
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

// set opens or closes the gate.
func (g *gate) set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		if !open {
			g.open = make(chan struct{})
		}
	default:
		if open {
			close(g.open)
		}
	}
}

// pass waits until the gate is open. It reports false if done is closed first.
func (g *gate) pass(done <-chan struct{}) bool {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-open:
		return true
	case <-done:
		return false
	}
}

// traffic counts the payload bytes that one host has sent and received, and its writes. A request
// or a response is one write if it fits into a buffer.
type traffic struct {
	sent, received, messages atomic.Int64
	gate                     *gate
}

// network is the loopback network of one region. It counts the workers' traffic and can partition
// hosts from the rest of the network.
type network struct {
	region string
	*emulate.Loopback

	mu    sync.Mutex
	hosts map[string]*traffic // by address
}

func newNetwork(region string, loopback *emulate.Loopback) *network {
	return &network{region: region, Loopback: loopback, hosts: map[string]*traffic{}}
}

// host returns the traffic of the host at an address.
func (n *network) host(ip string) *traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.hosts[ip]
	if t == nil {
		t = &traffic{gate: newGate()}
		n.hosts[ip] = t
	}
	return t
}

// setPartitioned starts or ends the partition of hosts from the network.
func (n *network) setPartitioned(ips []string, partitioned bool) {
	for _, ip := range ips {
		n.host(ip).gate.set(!partitioned)
	}
}

// Listen implements emulate.Network. It adds the region to the host name, since hosts of different
// regions may have the same name.
func (n *network) Listen(addr string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	ln, err := n.Loopback.Listen(net.JoinHostPort(n.region+"/"+host, port))
	if err != nil {
		return nil, err
	}
	ip, _, _ := net.SplitHostPort(ln.Addr().String())
	return &countingListener{ln, n.host(ip)}, nil
}

// Dialer implements emulate.Network; from is the address of a host.
func (n *network) Dialer(from string) state.DialFunc {
	dial, t := n.Loopback.Dialer(from), n.host(from)
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if !t.gate.pass(ctx.Done()) {
			return nil, ctx.Err()
		}
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newCountingConn(c, t), nil
	}
}

// countingListener counts the traffic of the connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCountingConn(c, l.traffic), nil
}

// countingConn counts the traffic of a connection and blocks it while the host is partitioned.
type countingConn struct {
	net.Conn
	traffic *traffic
	closed  chan struct{}
	once    sync.Once
}

func newCountingConn(c net.Conn, t *traffic) *countingConn {
	return &countingConn{Conn: c, traffic: t, closed: make(chan struct{})}
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.traffic.gate.pass(c.closed) {
		return 0, net.ErrClosed
	}
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	if !c.traffic.gate.pass(c.closed) {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	c.traffic.messages.Add(1)
	return n, err
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// workerTraffic is the traffic of workers, per worker and second.
type workerTraffic struct {
	// Sent and Received are means over all workers, in bytes of payload: HTTP headers count,
	// TCP and IP headers do not. MaxTotal is the sum of both for the worker with the most
	// traffic.
	Sent     float64 `json:"sent_bytes_per_s"`
	Received float64 `json:"received_bytes_per_s"`
	MaxTotal float64 `json:"most_bytes_per_s"`
	// Messages counts the requests and responses that a worker sends.
	Messages float64 `json:"messages_per_s"`
}

// counters is a snapshot of a host's traffic.
type counters struct{ sent, received, messages int64 }

// totals returns the current counters of all hosts, by address.
func (n *network) totals() map[string]counters {
	n.mu.Lock()
	defer n.mu.Unlock()
	current := make(map[string]counters, len(n.hosts))
	for ip, t := range n.hosts {
		current[ip] = counters{t.sent.Load(), t.received.Load(), t.messages.Load()}
	}
	return current
}

// trafficPerWorker returns the traffic between two snapshots of all networks, per worker and second.
func trafficPerWorker(before, after []map[string]counters, took time.Duration) (mean workerTraffic) {
	workers := 0.0
	seconds := took.Seconds()
	for i := range after {
		for ip, last := range after[i] {
			first := before[i][ip]
			sent := float64(last.sent-first.sent) / seconds
			received := float64(last.received-first.received) / seconds
			workers++
			mean.Sent += sent
			mean.Received += received
			mean.Messages += float64(last.messages-first.messages) / seconds
			mean.MaxTotal = max(mean.MaxTotal, sent+received)
		}
	}
	if workers > 0 {
		mean.Sent /= workers
		mean.Received /= workers
		mean.Messages /= workers
	}
	return mean
}
