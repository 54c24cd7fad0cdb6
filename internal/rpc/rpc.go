// Package rpc carries what controllers say to each other over gRPC: who leads,
// requests that are forwarded to the leader, and the shares of the machines.
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
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/keepalive"

	"vetchstream/internal/config"
	"vetchstream/internal/dynconfig"
	"vetchstream/internal/shard"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// codec is the form of the messages: the CBOR of the other interfaces.
type codec struct{}

func (codec) Marshal(v any) ([]byte, error)   { return wire.Marshal(v) }
func (codec) Unmarshal(b []byte, v any) error { return wire.Unmarshal(b, v) }
func (codec) Name() string                    { return "cbor" }

func init() { encoding.RegisterCodec(codec{}) }

// NodeStatus is the answer to a ping: what the node knows of the leadership.
type NodeStatus struct {
	Member string `codec:"member"`
	Leader string `codec:"leader"`
	Term   uint64 `codec:"term"`
	// ServesUsers: users have come to the node lately, so the load balancer sends them.
	ServesUsers bool `codec:"serves,omitempty"`
	// Overloaded: the process is short of processor. WorkUs is how long it takes for a
	// piece of work that is the same everywhere, in microseconds; 0: not known.
	Overloaded bool  `codec:"behind,omitempty"`
	ProbeUs    int64 `codec:"work_us,omitempty"`
	// StoreReachable: the state service has answered the member lately.
	StoreReachable bool `codec:"stored,omitempty"`
}

// Kinds of forwarded requests.
const (
	KindSubmit    = "submit"
	KindStatus    = "status"
	KindCancel    = "abort"
	KindHeartbeat = "report"
	// KindRollout is a request about roll-outs; its body is an Operation.
	KindRollout = "rollout"
	// KindCalendar is a request about reservations and maintenance; its body is an
	// Operation.
	KindCalendar = "calendar"
	// KindConfig is a request about the configuration of the regions; its body is an
	// Operation.
	KindConfig = "config"
)

// Request is a request that reached another node than the leader.
type Request struct {
	Kind string `codec:"kind"`
	ID   string `codec:"id,omitempty"`
	Body []byte `codec:"body,omitempty"`
	// ForwardedBy is the member that hands a report on; empty: it came from the worker.
	ForwardedBy string `codec:"via,omitempty"`
}

// Operation is a request about a roll-out or the calendar: what to do with which
// service, reservation or window, and a specification where one is needed.
type Operation struct {
	Verb string `codec:"verb"`
	Name string `codec:"service,omitempty"`
	Spec []byte `codec:"spec,omitempty"`
	// Team restricts a request about the calendar to what is the team's; empty: an
	// operator's. In a list Service is the name to go on after.
	Team string `codec:"team,omitempty"`
	// Window: the request is about maintenance windows, not reservations.
	Window bool `codec:"window,omitempty"`
	// DryRun: a change of the configuration is only checked.
	DryRun bool `codec:"dry,omitempty"`
}

// Verbs of operations.
const (
	VerbStart    = "start"
	VerbStatus   = "status"
	VerbList     = "list"
	VerbPause    = "pause"
	VerbResume   = "resume"
	VerbRollback = "undo"
	VerbCancel   = "cancel"
	// VerbHistory lists changes that were made.
	VerbHistory = "history"
)

// Reply is an HTTP answer in short: the status, the body's value encoded, and
// the seconds after which to come back.
type Reply struct {
	Status     int    `codec:"status"`
	Body       []byte `codec:"body,omitempty"`
	RetryAfter int    `codec:"retry_after,omitempty"`
	// Final: a refusal that is the leader's own word, to be handed to the client
	// as it is.
	Final bool `codec:"settled,omitempty"`
	// HasTasks: the worker that is answered has tasks.
	HasTasks bool `codec:"work,omitempty"`
}

// Handler answers siblings.
type Handler interface {
	NodeStatus() NodeStatus
	// HandleForwarded answers a request as leader, and refuses it otherwise.
	HandleForwarded(ctx context.Context, r *Request) *Reply
	// SyncShard answers a holder's request as leader, and refuses it otherwise.
	SyncShard(ctx context.Context, r *shard.Request) *shard.Reply
	// FollowConfig answers the leader of a region as leader of the home region, and refuses it
	// otherwise.
	FollowConfig(ctx context.Context, r *dynconfig.Request) *dynconfig.Reply
	// Promise answers a leader that asks this member not to campaign for a while.
	Promise(ctx context.Context, r *PromiseRequest) *Promise
}

// PromiseRequest is what a leader says that the state service does not answer.
type PromiseRequest struct {
	Leader string `codec:"leader"`
	Term   uint64 `codec:"term"`
}

// Promise is the answer to a request for a promise.
type Promise struct {
	Given bool `codec:"given"`
}

type none struct{}

func method[Req, Res any](name string, f func(Handler, context.Context, *Req) *Res) grpc.MethodDesc {
	return grpc.MethodDesc{MethodName: name, Handler: func(srv any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		req := new(Req)
		if err := dec(req); err != nil {
			return nil, err
		}
		return f(srv.(Handler), ctx, req), nil
	}}
}

var service = grpc.ServiceDesc{
	ServiceName: "vetchstream.Peer",
	HandlerType: (*Handler)(nil),
	Methods: []grpc.MethodDesc{
		method("Ping", func(h Handler, _ context.Context, _ *none) *NodeStatus { v := h.NodeStatus(); return &v }),
		method("Forward", func(h Handler, ctx context.Context, r *Request) *Reply { return h.HandleForwarded(ctx, r) }),
		method("Promise", func(h Handler, ctx context.Context, r *PromiseRequest) *Promise { return h.Promise(ctx, r) }),
		method("Follow", func(h Handler, ctx context.Context, r *dynconfig.Request) *dynconfig.Reply {
			return h.FollowConfig(ctx, r)
		}),
		method("Sync", func(h Handler, ctx context.Context, r *shard.Request) *shard.Reply { return h.SyncShard(ctx, r) }),
	},
}

// Serve answers siblings on l until the context ends.
func Serve(ctx context.Context, l net.Listener, h Handler) error {
	s := grpc.NewServer(grpc.MaxRecvMsgSize(4*wire.MaxBody), grpc.MaxConcurrentStreams(200),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 4 * time.Second, Timeout: 3 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}))
	s.RegisterService(&service, h)
	stop := context.AfterFunc(ctx, s.Stop)
	defer stop()
	if err := s.Serve(l); err != nil && ctx.Err() == nil {
		return fmt.Errorf("peer: %w", err)
	}
	return nil
}

// Mesh holds the connections to the siblings.
type Mesh struct {
	conns map[string]*grpc.ClientConn

	mu     sync.Mutex
	heard  map[string]time.Time
	serves map[string]bool // by the last answer
}

// Dial prepares the connections; they are opened on first use.
func Dial(siblings []config.Sibling, dial state.DialFunc) (*Mesh, error) {
	m := &Mesh{conns: map[string]*grpc.ClientConn{}, heard: map[string]time.Time{}, serves: map[string]bool{}}
	for _, s := range siblings {
		c, err := grpc.NewClient("passthrough:///"+s.Address,
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) { return dial(ctx, "tcp", addr) }),
			grpc.WithDefaultCallOptions(grpc.CallContentSubtype("cbor"), grpc.MaxCallRecvMsgSize(4*wire.MaxBody)),
			// A sibling is back within seconds, so the pauses stay short.
			grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second,
				Backoff: backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: time.Second}}),
			// A cut gives no error: without probes a dead connection would hold
			// every forwarded request up to its deadline.
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 2 * time.Second, PermitWithoutStream: true}),
			grpc.WithDisableServiceConfig())
		if err != nil {
			return nil, fmt.Errorf("peer %s: %w", s.Member, err)
		}
		m.conns[s.Member] = c
	}
	return m, nil
}

// Close closes the connections.
func (m *Mesh) Close() {
	for _, c := range m.conns {
		_ = c.Close()
	}
}

// Reachable reports whether the member answered a ping lately.
func (m *Mesh) Reachable(member string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.heard[member]
	return ok && time.Since(t) < 2500*time.Millisecond
}

// AnyServesUsers reports whether any member that answered a ping lately has users.
func (m *Mesh) AnyServesUsers() bool {
	for name := range m.conns {
		m.mu.Lock()
		serves := m.serves[name]
		m.mu.Unlock()
		if serves && m.Reachable(name) {
			return true
		}
	}
	return false
}

// Forward hands a request to another member.
func (m *Mesh) Forward(ctx context.Context, member string, r *Request) (*Reply, error) {
	out, err := invoke[Reply](ctx, m, member, "Forward", r)
	if err != nil {
		// Silent until a ping is answered: the requests that come next must not each
		// wait for a member that stands still. (A client that has hung up says nothing
		// about the member.)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			m.mu.Lock()
			delete(m.heard, member)
			m.mu.Unlock()
		}
		return nil, err
	}
	return out, nil
}

// invoke calls a method of another member.
func invoke[Res any](ctx context.Context, m *Mesh, member, name string, r any) (*Res, error) {
	c := m.conns[member]
	if c == nil {
		return nil, fmt.Errorf("peer %q is unknown", member)
	}
	out := new(Res)
	if err := c.Invoke(ctx, "/vetchstream.Peer/"+name, r, out); err != nil {
		return nil, fmt.Errorf("%s at %s: %w", name, member, err)
	}
	return out, nil
}

// SyncShard asks the leader for the grant of this member's share.
func (m *Mesh) SyncShard(ctx context.Context, leader string, r *shard.Request) (*shard.Reply, error) {
	return invoke[shard.Reply](ctx, m, leader, "Sync", r)
}

// FollowConfig asks a member of the home region for what is granted to this one.
func (m *Mesh) FollowConfig(ctx context.Context, member string, r *dynconfig.Request) (*dynconfig.Reply, error) {
	return invoke[dynconfig.Reply](ctx, m, member, "Follow", r)
}

// Promise asks a sibling not to campaign for a while.
func (m *Mesh) Promise(ctx context.Context, member string, r *PromiseRequest) (*Promise, error) {
	return invoke[Promise](ctx, m, member, "Promise", r)
}

// PingSiblings asks every sibling once a second what it knows, until the context ends.
func (m *Mesh) PingSiblings(ctx context.Context, told func(NodeStatus)) {
	var wg sync.WaitGroup
	for name, c := range m.conns {
		wg.Go(func() {
			t := time.NewTicker(time.Second)
			defer t.Stop()
			for {
				pctx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
				out := &NodeStatus{}
				if err := c.Invoke(pctx, "/vetchstream.Peer/Ping", &none{}, out); err == nil {
					m.mu.Lock()
					m.heard[name], m.serves[name] = time.Now(), out.ServesUsers
					m.mu.Unlock()
					told(*out)
				}
				cancel()
				select {
				case <-ctx.Done():
					return
				case <-t.C:
				}
			}
		})
	}
	wg.Wait()
}
