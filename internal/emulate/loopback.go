package emulate

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"vetchstream/internal/state"
)

// Loopback is the machine's own network. Each host has an address of its own in 127.0.0.0/8,
// by which controllers tell workers apart.
type Loopback struct {
	block byte // second number of its addresses

	mu    sync.Mutex
	hosts map[string]net.IP
}

// defaultBlock is where the addresses of an emulation begin: 127.64.0.1.
const defaultBlock = 64

// NewLoopback makes a network of this machine.
func NewLoopback() *Loopback { return NewLoopbackAt(defaultBlock) }

// NewLoopbackAt makes a network whose hosts have the addresses of 127.block.0.0/16.
func NewLoopbackAt(block byte) *Loopback {
	return &Loopback{block: block, hosts: map[string]net.IP{}}
}

// ip is the address of a host. A host without one gets the next of the block, and one that is
// named by its address has that.
func (l *Loopback) ip(host string) net.IP {
	if ip := net.ParseIP(host); ip != nil {
		return ip
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	ip := l.hosts[host]
	if ip == nil {
		n := len(l.hosts) + 1
		ip = net.IPv4(127, l.block, byte(n>>8), byte(n))
		l.hosts[host] = ip
	}
	return ip
}

// Listen implements Network: the host's name becomes an address, and port 0 a free port.
func (l *Loopback) Listen(addr string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return net.Listen("tcp4", net.JoinHostPort(l.ip(host).String(), port))
}

// Dialer implements Network.
func (l *Loopback) Dialer(from string) state.DialFunc {
	d := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: l.ip(from)}}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		return d.DialContext(ctx, network, addr)
	}
}
