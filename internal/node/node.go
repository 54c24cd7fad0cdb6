// Package node runs one controller: it builds the controller's parts, connects them
// with each other, and starts and ends them.
//
// A request of a user or a worker arrives at the HTTP listener (package api), whose
// backend is the Node. The leader answers it (package control); the other nodes forward
// it to the leader (package rpc), or answer what they can without it.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"vetchstream/internal/api"
	"vetchstream/internal/autoscale"
	"vetchstream/internal/config"
	"vetchstream/internal/control"
	"vetchstream/internal/dynconfig"
	"vetchstream/internal/election"
	"vetchstream/internal/metrics"
	"vetchstream/internal/rpc"
	"vetchstream/internal/state"
)

// Network is how a controller opens connections and listens for them.
type Network struct {
	Dial   state.DialFunc
	Listen func(addr string) (net.Listener, error)
}

const (
	dialTimeout     = time.Second
	keepaliveProbes = 5 * time.Second
)

// SystemNetwork returns the operating system's network.
func SystemNetwork() Network {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepaliveProbes}
	return Network{
		Dial:   dialer.DialContext,
		Listen: func(addr string) (net.Listener, error) { return net.Listen("tcp4", addr) },
	}
}

// Limits of the HTTP server. Workers and the load balancer keep connections open, so
// idle ones live long.
const (
	readHeaderTimeout = 10 * time.Second
	readTimeout       = 20 * time.Second
	writeTimeout      = 20 * time.Second
	idleTimeout       = 90 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Node is one controller.
type Node struct {
	settings    *config.Settings
	tuning      *config.Tuning
	log         *slog.Logger
	meter       *metrics.Meter // nil: there is no metrics page
	elector     *election.Elector
	controller  *control.Controller
	mesh        *rpc.Mesh    // connections to the siblings
	home        *homeRegion  // nil: no regions are named, or this is the home region
	shardHolder *shardHolder // nil: the leader deals with all machines
	route       admissionRoute
	delay       delayMonitor
	transfer    transferPolicy

	mu                 sync.Mutex
	lastUserRequestAt  time.Time // when a user's request last arrived here
	unableToServeSince time.Time // since when users could not be served here; zero: they can
}

// Run runs a controller until the context ends. It returns an error if the controller
// cannot start or one of its listeners fails.
func Run(ctx context.Context, settings *config.Settings, tuning *config.Tuning, network Network, log *slog.Logger) error {
	n, err := newNode(settings, tuning, network, log.With("member", settings.Member))
	if err != nil {
		return err
	}
	defer n.close()
	l, err := n.listen(network)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	users := newBoundedListener(l.http, inboundLimit(settings))
	server := n.newServer(users)
	var tasks sync.WaitGroup
	n.startLoops(ctx, &tasks, l.metrics)
	tasks.Go(func() { n.servePeers(ctx, l.peer, stop) })
	tasks.Go(func() { serveHTTP(server, users, stop) })
	for _, warning := range settings.Warnings() {
		n.log.Warn("settings: " + warning)
	}
	n.log.Info("started", "site", settings.Site, "listen", settings.Listen)
	<-ctx.Done()
	_ = server.Close()
	tasks.Wait()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// newNode builds the parts of a controller. Nothing runs yet, and connections are
// opened on first use.
func newNode(settings *config.Settings, tuning *config.Tuning, network Network, log *slog.Logger) (*Node, error) {
	n := &Node{settings: settings, tuning: tuning, log: log}
	if tuning.MetricsListen != "" {
		n.meter = metrics.New()
	}
	n.controller = n.newController(network)
	n.elector = n.newElector(network)
	var err error
	if n.mesh, err = rpc.Dial(settings.Siblings, network.Dial); err != nil {
		return nil, err
	}
	if tuning.Regions.Name != tuning.Regions.Home {
		if n.home, err = dialHome(tuning.Regions.HomeAddresses, network.Dial); err != nil {
			n.mesh.Close()
			return nil, err
		}
	}
	if tuning.Sharding.Enabled && len(settings.Siblings) > 0 {
		n.shardHolder = newShardHolder(n, network.Dial)
	}
	n.transfer.minOverloadTime = config.Seconds(tuning.TransferAfterS)
	return n, nil
}

// newController builds the part that acts while this node leads. It refers to the
// elector and the home region, which are built after it, through the node.
func (n *Node) newController(network Network) *control.Controller {
	return control.New(control.Deps{
		Settings:  n.settings,
		Tuning:    n.tuning,
		State:     state.New(n.settings.External.State, network.Dial, control.StateBudget(n.settings, false)),
		Cloud:     autoscale.NewCloud(n.settings.External.Cloud, network.Dial, n.settings.Facts.Cloud.RPS),
		Dial:      network.Dial,
		Log:       n.log,
		Meter:     n.meter,
		Entitled:  func(term uint64) bool { return n.elector.Entitled(term) },
		Remaining: func(term uint64) time.Duration { return n.elector.EntitlementLeft(term) },
		Deposed:   func(term uint64) { n.elector.ObserveLeader("", term) },
		Follow: func(ctx context.Context, request *dynconfig.Request) (*dynconfig.Reply, error) {
			return n.home.follow(ctx, request)
		},
	})
}

// newElector builds the leader election, which makes the controller lead when this node
// is elected and asks siblings for promises while the key-value store does not answer.
func (n *Node) newElector(network Network) *election.Elector {
	lease := time.Duration(n.tuning.LeaderLeaseMs) * time.Millisecond
	store := state.NewUnbounded(n.settings.External.State, network.Dial)
	elector := election.New(n.settings.Member, lease, store, n.log, n.controller.Lead)
	siblings := make([]string, len(n.settings.Siblings))
	for i := range n.settings.Siblings {
		siblings[i] = n.settings.Siblings[i].Member
	}
	promise := time.Duration(n.tuning.PromiseMs) * time.Millisecond
	elector.EnablePromises(promise, siblings, n.requestPromise)
	return elector
}

// requestPromise asks a sibling not to campaign against this node, the leader of the
// term, for a while.
func (n *Node) requestPromise(ctx context.Context, sibling string, term uint64) (bool, error) {
	promise, err := n.mesh.Promise(ctx, sibling, &rpc.PromiseRequest{Leader: n.settings.Member, Term: term})
	if err != nil {
		return false, err
	}
	return promise.Given, nil
}

// close closes the connections to other controllers.
func (n *Node) close() {
	if n.home != nil {
		n.home.close()
	}
	n.mesh.Close()
}

// listeners are the addresses that a controller listens on.
type listeners struct {
	peer    net.Listener // gRPC of the siblings
	http    net.Listener // users, workers and health checks
	metrics net.Listener // nil: there is no metrics page
}

// listen opens the controller's addresses.
func (n *Node) listen(network Network) (l listeners, err error) {
	if l.peer, err = network.Listen(n.settings.PeerListen); err != nil {
		return l, fmt.Errorf("peer_listen: %w", err)
	}
	if l.http, err = network.Listen(n.settings.Listen); err != nil {
		return l, fmt.Errorf("listen: %w", err)
	}
	if n.meter != nil {
		if l.metrics, err = network.Listen(n.tuning.MetricsListen); err != nil {
			return l, fmt.Errorf("metrics_listen: %w", err)
		}
	}
	return l, nil
}

// newServer builds the HTTP server for users, workers and health checks. The listener
// learns from it which connections are idle, and which are those of workers with tasks.
func (n *Node) newServer(l *boundedListener) *http.Server {
	return &http.Server{
		Handler:   api.New(n, n.log, n.meter).Handler(),
		ConnState: l.trackState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return api.WithTaskObserver(ctx, c.(*boundedConn).setHasTasks)
		},
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
}

// startLoops starts what runs in the background until the context ends.
func (n *Node) startLoops(ctx context.Context, tasks *sync.WaitGroup, metricsListener net.Listener) {
	tasks.Go(func() { n.elector.Run(ctx) })
	tasks.Go(func() { n.delay.run(ctx) })
	if n.meter != nil {
		tasks.Go(func() {
			if err := n.meter.Serve(ctx, metricsListener); err != nil {
				n.log.Error("metrics server failed", "error", err)
			}
		})
	}
	if n.tuning.TransferAfterS > 0 {
		tasks.Go(func() { n.watchTransfer(ctx) })
	}
	if n.shardHolder != nil {
		tasks.Go(func() { n.shardHolder.run(ctx) })
	}
	tasks.Go(func() { n.mesh.PingSiblings(ctx, n.observeSibling) })
}

// servePeers answers siblings, and the leaders of other regions, until the context ends.
func (n *Node) servePeers(ctx context.Context, l net.Listener, stop context.CancelCauseFunc) {
	if err := rpc.Serve(ctx, l, n); err != nil {
		stop(err)
	}
}

// serveHTTP answers users and workers until the server is closed.
func serveHTTP(server *http.Server, l net.Listener, stop context.CancelCauseFunc) {
	if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		stop(fmt.Errorf("listen: %w", err))
	}
}

// observeSibling takes in a sibling's answer to a ping.
func (n *Node) observeSibling(status rpc.NodeStatus) {
	leads := status.Member == status.Leader
	n.elector.ObserveLeader(status.Leader, status.Term)
	n.elector.ObserveSibling(status.Member, leads)
	if n.tuning.TransferAfterS > 0 {
		n.transfer.observeSibling(status, time.Now())
	}
	if leads {
		n.elector.ObserveHeartbeat()
	}
}
