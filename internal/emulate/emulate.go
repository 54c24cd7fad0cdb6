// Package emulate stands in for what a controller lives with: the state service,
// the cloud and the workers, after the published protocol, with troubles on cue
// and a judge of the rules. The simulated days run it in memory and simulated
// time; the commands emulate and demo run it on loopback in real time. Nothing of
// it outlives the process.
package emulate

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// Network is what the parts of an emulation reach each other on.
type Network interface {
	// Listen opens an address; its listener's Addr is what others dial.
	Listen(addr string) (net.Listener, error)
	// Dialer opens connections on behalf of a host.
	Dialer(from string) state.DialFunc
}

// Loopback is this machine's own network. Each host has an address of its own in
// 127.0.0.0/8, since controllers tell workers apart by it.
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

// ip gives a host an address; a host that is named by its address has that one.
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

// Listen implements Network: the host's name becomes an address, and port 0 a
// free port.
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

func decode(q *http.Request, v any) bool {
	b, err := io.ReadAll(io.LimitReader(q.Body, 4*wire.MaxBody))
	return err == nil && wire.Unmarshal(b, v) == nil
}

func encode(w http.ResponseWriter, status int, v any) {
	b, err := wire.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
