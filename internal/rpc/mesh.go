package rpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"vetchstream/internal/config"
	"vetchstream/internal/dynconfig"
	"vetchstream/internal/shard"
	"vetchstream/internal/state"
)

const (
	// pingInterval is the time between two pings of a sibling, and pingTimeout the
	// deadline of one ping.
	pingInterval = time.Second
	pingTimeout  = 900 * time.Millisecond
	// reachableTime is how long a member counts as reachable after its last response to a
	// ping.
	reachableTime = 2500 * time.Millisecond
)

// Settings of a client's connections.
const (
	minConnectTimeout = time.Second
	// A network partition causes no connection error. Without keepalive probes, every
	// request that is forwarded on a dead connection would wait until its deadline.
	clientKeepaliveTime    = 10 * time.Second
	clientKeepaliveTimeout = 2 * time.Second
)

// connectBackoff is short because an unavailable sibling usually returns within seconds.
var connectBackoff = backoff.Config{
	BaseDelay:  200 * time.Millisecond,
	Multiplier: 1.5,
	Jitter:     0.2,
	MaxDelay:   time.Second,
}

// errUnknownMember is the error of a call to a member without a connection in the mesh.
var errUnknownMember = errors.New("unknown member")

// Mesh holds the connections to other controllers, which are either the siblings of the
// same region or the controllers of the home region.
type Mesh struct {
	conns map[string]*grpc.ClientConn // by member

	mu    sync.Mutex
	pings map[string]pingRecord // by member
}

// pingRecord is the result of a member's last successful ping.
type pingRecord struct {
	answeredAt  time.Time // zero if the member is unreachable until its next response
	servesUsers bool
}

// Dial creates a mesh with one connection per sibling. Each connection is established on
// first use.
func Dial(siblings []config.Sibling, dial state.DialFunc) (*Mesh, error) {
	m := &Mesh{
		conns: map[string]*grpc.ClientConn{},
		pings: map[string]pingRecord{},
	}
	for _, sibling := range siblings {
		conn, err := newConn(sibling.Address, dial)
		if err != nil {
			return nil, fmt.Errorf("connection to controller %s: %w", sibling.Member, err)
		}
		m.conns[sibling.Member] = conn
	}
	return m, nil
}

// newConn creates the connection to one controller without establishing it.
func newConn(address string, dial state.DialFunc) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			return dial(ctx, "tcp", addr)
		}),
		grpc.WithDefaultCallOptions(
			grpc.CallContentSubtype(codecName),
			grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			MinConnectTimeout: minConnectTimeout,
			Backoff:           connectBackoff,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:                clientKeepaliveTime,
			Timeout:             clientKeepaliveTimeout,
			PermitWithoutStream: true,
		}),
		grpc.WithDisableServiceConfig())
}

// Close closes all connections.
func (m *Mesh) Close() {
	for _, conn := range m.conns {
		_ = conn.Close()
	}
}

// Reachable reports whether the member has responded to a ping within reachableTime.
func (m *Mesh) Reachable(member string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pings[member].reachable()
}

// AnyServesUsers reports whether the load balancer routes users to any reachable member.
func (m *Mesh) AnyServesUsers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, ping := range m.pings {
		if ping.servesUsers && ping.reachable() {
			return true
		}
	}
	return false
}

// reachable reports whether the last response is more recent than reachableTime.
func (p pingRecord) reachable() bool {
	return !p.answeredAt.IsZero() && time.Since(p.answeredAt) < reachableTime
}

// PingSiblings pings every member once per pingInterval until ctx is done. It calls
// observe with each response, concurrently from several goroutines.
func (m *Mesh) PingSiblings(ctx context.Context, observe func(NodeStatus)) {
	var loops sync.WaitGroup
	for member := range m.conns {
		loops.Go(func() { m.pingLoop(ctx, member, observe) })
	}
	loops.Wait()
}

// pingLoop pings one member until ctx is done.
func (m *Mesh) pingLoop(ctx context.Context, member string, observe func(NodeStatus)) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		if status, err := m.ping(ctx, member); err == nil {
			m.recordPing(member, status)
			observe(*status)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Mesh) ping(ctx context.Context, member string) (*NodeStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return invoke[NodeStatus](ctx, m, member, methodPing, &pingRequest{})
}

func (m *Mesh) recordPing(member string, status *NodeStatus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pings[member] = pingRecord{answeredAt: time.Now(), servesUsers: status.ServesUsers}
}

// Forward forwards a client's request to another member.
func (m *Mesh) Forward(ctx context.Context, member string, request *Request) (*Reply, error) {
	reply, err := invoke[Reply](ctx, m, member, methodForward, request)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// The member may hang: later requests must not wait for it as well. A canceled
		// context is no sign of that, because it means that the client has disconnected.
		m.markUnreachable(member)
	}
	return reply, err
}

// markUnreachable marks a member as unreachable until it responds to a ping.
func (m *Mesh) markUnreachable(member string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ping := m.pings[member]
	ping.answeredAt = time.Time{}
	m.pings[member] = ping
}

// SyncShard sends the shard holder's request to the leader and returns the reply with
// the grant.
func (m *Mesh) SyncShard(ctx context.Context, leader string, request *shard.Request) (*shard.Reply, error) {
	return invoke[shard.Reply](ctx, m, leader, methodSync, request)
}

// FollowConfig requests this region's grants from a member of the home region.
func (m *Mesh) FollowConfig(ctx context.Context, member string, request *dynconfig.Request) (*dynconfig.Reply, error) {
	return invoke[dynconfig.Reply](ctx, m, member, methodFollow, request)
}

// Promise asks a sibling not to campaign for the leadership for a limited time.
func (m *Mesh) Promise(ctx context.Context, member string, request *PromiseRequest) (*Promise, error) {
	return invoke[Promise](ctx, m, member, methodPromise, request)
}

// invoke calls a method of another member. Its error wraps errUnknownMember or the error
// of the call, which it prefixes with the method and the member.
func invoke[Res any](ctx context.Context, m *Mesh, member, method string, request any) (*Res, error) {
	conn := m.conns[member]
	if conn == nil {
		return nil, fmt.Errorf("%w %q", errUnknownMember, member)
	}
	response := new(Res)
	if err := conn.Invoke(ctx, "/"+serviceName+"/"+method, request, response); err != nil {
		return nil, fmt.Errorf("%s at %s: %w", method, member, err)
	}
	return response, nil
}
