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

// Names of the service and its methods on the wire, and the message size limit.
const (
	serviceName     = "vetchstream.Peer"
	methodPing      = "Ping"
	methodForward   = "Forward"
	methodPromise   = "Promise"
	methodFollow    = "Follow"
	methodSync      = "Sync"
	maxMessageBytes = 4 * wire.MaxBody // the largest body of a client, plus the enclosing message
)

// Settings of the server's connections. The keepalive probes detect siblings behind a
// network partition, which causes no connection error.
const (
	maxConcurrentStreams   = 200
	serverKeepaliveTime    = 4 * time.Second
	serverKeepaliveTimeout = 3 * time.Second
	minClientKeepalive     = time.Second // the server disconnects clients that probe more often
)

// Handler handles the calls of siblings and of the leaders of other regions.
type Handler interface {
	// NodeStatus returns the response to a ping.
	NodeStatus() NodeStatus
	// HandleForwarded handles a forwarded request if this member leads, and refuses it
	// otherwise.
	HandleForwarded(ctx context.Context, request *Request) *Reply
	// SyncShard handles a shard holder's request if this member leads, and refuses it
	// otherwise.
	SyncShard(ctx context.Context, request *shard.Request) *shard.Reply
	// FollowConfig handles a request of another region's leader if this member leads the
	// home region, and refuses it otherwise.
	FollowConfig(ctx context.Context, request *dynconfig.Request) *dynconfig.Reply
	// Promise handles a leader's request that this member not campaign for a limited time.
	Promise(ctx context.Context, request *PromiseRequest) *Promise
}

// method returns the description of a method that passes its request to handle.
func method[Req, Res any](name string, handle func(Handler, context.Context, *Req) *Res) grpc.MethodDesc {
	return grpc.MethodDesc{
		MethodName: name,
		Handler: func(handler any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			request := new(Req)
			if err := decode(request); err != nil {
				return nil, err
			}
			return handle(handler.(Handler), ctx, request), nil
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

// Serve serves other controllers on listener until ctx is done. It returns an error if
// the listener fails before that.
func Serve(ctx context.Context, listener net.Listener, handler Handler) error {
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
	server.RegisterService(&service, handler)
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve other controllers: %w", err)
	}
	return nil
}
