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
	// pingInterval is the time between two pings of a sibling, and pingTimeout how long
	// the answer to one may take.
	pingInterval = time.Second
	pingTimeout  = 900 * time.Millisecond
	// reachableTime is how long after its last answer to a ping a member counts as
	// reachable.
	reachableTime = 2500 * time.Millisecond
)

// Settings of a client's connections.
const (
	minConnectTimeout = time.Second
	// A cut gives no error: without probes a dead connection would hold every forwarded
	// request up to its deadline.
	clientKeepaliveTime    = 10 * time.Second
	clientKeepaliveTimeout = 2 * time.Second
)

// connectBackoff is short, because a sibling is back within seconds.
var connectBackoff = backoff.Config{
	BaseDelay:  200 * time.Millisecond,
	Multiplier: 1.5,
	Jitter:     0.2,
	MaxDelay:   time.Second,
}

// errUnknownMember is returned for a call to a member that the mesh has no connection to.
var errUnknownMember = errors.New("unknown member")

// Mesh holds the connections to other controllers: the siblings, or those of the home
// region.
type Mesh struct {
	conns map[string]*grpc.ClientConn // by member

	mu    sync.Mutex
	pings map[string]pingRecord // by member
}

// pingRecord is what a member's last answer to a ping said.
type pingRecord struct {
	answeredAt  time.Time // zero: not reachable until the next answer
	servesUsers bool
}

// Dial prepares the connections; they are opened on first use.
func Dial(siblings []config.Sibling, dial state.DialFunc) (*Mesh, error) {
	m := &Mesh{
		conns: map[string]*grpc.ClientConn{},
		pings: map[string]pingRecord{},
	}
	for _, s := range siblings {
		conn, err := newConn(s.Address, dial)
		if err != nil {
			return nil, fmt.Errorf("peer %s: %w", s.Member, err)
		}
		m.conns[s.Member] = conn
	}
	return m, nil
}

// newConn prepares the connection to one controller.
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

// Close closes the connections.
func (m *Mesh) Close() {
	for _, conn := range m.conns {
		_ = conn.Close()
	}
}

// Reachable reports whether the member has answered a ping lately.
func (m *Mesh) Reachable(member string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pings[member].reachable()
}

// AnyServesUsers reports whether the load balancer sends users to any member that has
// answered a ping lately.
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

// reachable reports whether the answer is recent.
func (p pingRecord) reachable() bool {
	return !p.answeredAt.IsZero() && time.Since(p.answeredAt) < reachableTime
}

// PingSiblings pings every member once a second until the context ends. It calls
// observe with each answer, from several goroutines.
func (m *Mesh) PingSiblings(ctx context.Context, observe func(NodeStatus)) {
	var loops sync.WaitGroup
	for member := range m.conns {
		loops.Go(func() { m.pingLoop(ctx, member, observe) })
	}
	loops.Wait()
}

// pingLoop pings one member until the context ends.
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

// Forward forwards a request to another member.
func (m *Mesh) Forward(ctx context.Context, member string, r *Request) (*Reply, error) {
	reply, err := invoke[Reply](ctx, m, member, methodForward, r)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// The requests that come next must not each wait for a member that hangs. (A client
		// that has hung up says nothing about the member.)
		m.markUnreachable(member)
	}
	return reply, err
}

// markUnreachable makes a member count as not reachable until it answers a ping.
func (m *Mesh) markUnreachable(member string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ping := m.pings[member]
	ping.answeredAt = time.Time{}
	m.pings[member] = ping
}

// SyncShard asks the leader for the grant of this member's shard.
func (m *Mesh) SyncShard(ctx context.Context, leader string, r *shard.Request) (*shard.Reply, error) {
	return invoke[shard.Reply](ctx, m, leader, methodSync, r)
}

// FollowConfig asks a member of the home region for what is granted to this region.
func (m *Mesh) FollowConfig(ctx context.Context, member string, r *dynconfig.Request) (*dynconfig.Reply, error) {
	return invoke[dynconfig.Reply](ctx, m, member, methodFollow, r)
}

// Promise asks a sibling not to campaign for a while.
func (m *Mesh) Promise(ctx context.Context, member string, r *PromiseRequest) (*Promise, error) {
	return invoke[Promise](ctx, m, member, methodPromise, r)
}

// invoke calls a method of another member. The error is errUnknownMember, or that of
// the call with the method and the member.
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
