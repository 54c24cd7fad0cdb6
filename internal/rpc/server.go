package rpc

import (
	"context"
	"fmt"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"vetchstream/internal/dynconfig"
	"vetchstream/internal/shard"
	"vetchstream/internal/wire"
)

// Names on the wire.
const (
	serviceName     = "vetchstream.Peer"
	methodPing      = "Ping"
	methodForward   = "Forward"
	methodPromise   = "Promise"
	methodFollow    = "Follow"
	methodSync      = "Sync"
	maxMessageBytes = 4 * wire.MaxBody // a client's body with what is around it
)

// Settings of the server's connections. A sibling that is cut off is noticed by the
// keepalive probes, as a cut gives no error.
const (
	maxConcurrentStreams   = 200
	serverKeepaliveTime    = 4 * time.Second
	serverKeepaliveTimeout = 3 * time.Second
	minClientKeepalive     = time.Second // clients that probe more often are disconnected
)

// Handler answers the requests of siblings, and of the leaders of other regions.
type Handler interface {
	// NodeStatus answers a ping.
	NodeStatus() NodeStatus
	// HandleForwarded answers a forwarded request as leader, and refuses it otherwise.
	HandleForwarded(ctx context.Context, r *Request) *Reply
	// SyncShard answers a shard holder's request as leader, and refuses it otherwise.
	SyncShard(ctx context.Context, r *shard.Request) *shard.Reply
	// FollowConfig answers the leader of another region as leader of the home region, and
	// refuses it otherwise.
	FollowConfig(ctx context.Context, r *dynconfig.Request) *dynconfig.Reply
	// Promise answers a leader that asks this member not to campaign for a while.
	Promise(ctx context.Context, r *PromiseRequest) *Promise
}

// method describes a method of the service that passes its request to handle.
func method[Req, Res any](name string, handle func(Handler, context.Context, *Req) *Res) grpc.MethodDesc {
	return grpc.MethodDesc{
		MethodName: name,
		Handler: func(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			req := new(Req)
			if err := decode(req); err != nil {
				return nil, err
			}
			return handle(srv.(Handler), ctx, req), nil
		},
	}
}

var service = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*Handler)(nil),
	Methods: []grpc.MethodDesc{
		method(methodPing, func(h Handler, _ context.Context, _ *pingRequest) *NodeStatus {
			status := h.NodeStatus()
			return &status
		}),
		method(methodForward, Handler.HandleForwarded),
		method(methodPromise, Handler.Promise),
		method(methodFollow, Handler.FollowConfig),
		method(methodSync, Handler.SyncShard),
	},
}

// Serve answers other controllers on l until the context ends. It returns an error if
// the listener fails before.
func Serve(ctx context.Context, l net.Listener, h Handler) error {
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxConcurrentStreams),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time:    serverKeepaliveTime,
			Timeout: serverKeepaliveTimeout,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             minClientKeepalive,
			PermitWithoutStream: true,
		}))
	server.RegisterService(&service, h)
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	if err := server.Serve(l); err != nil && ctx.Err() == nil {
		return fmt.Errorf("peer: %w", err)
	}
	return nil
}
