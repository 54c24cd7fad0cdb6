package emulate

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"vetchstream/internal/state"
)

// Loopback is a Network on the loopback interface. Each host has an address of its own in
// 127.0.0.0/8 because controllers distinguish workers by their addresses.
type Loopback struct {
	block byte // second byte of the hosts' addresses

	mu    sync.Mutex
	hosts map[string]net.IP
}

// defaultBlock is the default second byte of the hosts' addresses; the first host has 127.64.0.1.
const defaultBlock = 64

// NewLoopback returns a network whose hosts have addresses in 127.64.0.0/16.
func NewLoopback() *Loopback { return NewLoopbackAt(defaultBlock) }

// NewLoopbackAt returns a network whose hosts have addresses in 127.block.0.0/16.
func NewLoopbackAt(block byte) *Loopback {
	return &Loopback{block: block, hosts: map[string]net.IP{}}
}

// ip returns the address of a host. A host name that is an address stands for itself; any other
// host gets the next address of the block at its first use.
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

// Listen implements Network. It listens at the address of the host; port 0 selects a free port.
func (l *Loopback) Listen(addr string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return net.Listen("tcp4", net.JoinHostPort(l.ip(host).String(), port))
}

// Dialer implements Network.
func (l *Loopback) Dialer(from string) state.DialFunc {
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: l.ip(from)}}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		return dialer.DialContext(ctx, network, addr)
	}
}
