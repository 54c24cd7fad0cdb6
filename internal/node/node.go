// Package node runs one controller: it builds the controller's components, connects
// them to each other, and starts and stops them.
//
// Requests from users and workers arrive at the HTTP listener (package api), whose
// backend is the Node. The leader answers them (package control). A follower forwards
// them to the leader (package rpc), or answers those that need no leader.
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

// Network provides the functions by which a controller opens and accepts connections.
type Network struct {
	Dial   state.DialFunc
	Listen func(addr string) (net.Listener, error)
}

const (
	dialTimeout     = time.Second
	keepaliveProbes = 5 * time.Second
)

// SystemNetwork returns the network of the operating system.
func SystemNetwork() Network {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepaliveProbes}
	return Network{
		Dial:   dialer.DialContext,
		Listen: func(addr string) (net.Listener, error) { return net.Listen("tcp4", addr) },
	}
}

// Limits of the HTTP server. The idle timeout is long because workers and the load
// balancer keep their connections open.
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
	meter       *metrics.Meter // nil: no metrics are served
	elector     *election.Elector
	controller  *control.Controller
	mesh        *rpc.Mesh    // connections to the siblings
	home        *homeRegion  // nil: no regions are configured, or this is the home region
	shardHolder *shardHolder // nil: the leader serves all machines
	route       admissionRoute
	delay       delayMonitor
	transfer    transferPolicy

	mu                 sync.Mutex
	lastUserRequestAt  time.Time // when this node last received a user's request
	unableToServeSince time.Time // when this node became unable to serve users; zero: it is able to
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
	httpListener := newBoundedListener(l.http, inboundLimit(settings))
	server := n.newServer(httpListener)
	var goroutines sync.WaitGroup
	n.startLoops(ctx, &goroutines, l.metrics)
	goroutines.Go(func() { n.servePeers(ctx, l.peer, stop) })
	goroutines.Go(func() { serveHTTP(server, httpListener, stop) })
	for _, warning := range settings.Warnings() {
		n.log.Warn("settings: " + warning)
	}
	n.log.Info("started", "site", settings.Site, "listen", settings.Listen)
	<-ctx.Done()
	_ = server.Close()
	goroutines.Wait()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// newNode builds the components of a controller without starting them. Connections are
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

// newController builds the component that is active while this node leads. It accesses
// the elector and the home region through the node, because they are built later.
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

// newElector builds the leader election. It runs the controller's leader role while this
// node is elected, and asks the siblings for promises during an outage of the key-value
// store.
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

// requestPromise asks a sibling for a promise not to campaign against this node, which
// leads the term, for the configured time.
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

// listeners holds the listeners of a controller.
type listeners struct {
	peer    net.Listener // gRPC: siblings and leaders of other regions
	http    net.Listener // users, workers and health checks
	metrics net.Listener // nil: no metrics are served
}

// listen opens the controller's listeners.
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

// newServer builds the HTTP server for users, workers and health checks. The server
// notifies the listener of connections that become idle, and of those that belong to
// workers with tasks.
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

// startLoops starts the goroutines that run in the background until the context ends.
func (n *Node) startLoops(ctx context.Context, goroutines *sync.WaitGroup, metricsListener net.Listener) {
	goroutines.Go(func() { n.elector.Run(ctx) })
	goroutines.Go(func() { n.delay.run(ctx) })
	if n.meter != nil {
		goroutines.Go(func() {
			if err := n.meter.Serve(ctx, metricsListener); err != nil {
				n.log.Error("metrics server failed", "error", err)
			}
		})
	}
	if n.tuning.TransferAfterS > 0 {
		goroutines.Go(func() { n.watchTransfer(ctx) })
	}
	if n.shardHolder != nil {
		goroutines.Go(func() { n.shardHolder.run(ctx) })
	}
	goroutines.Go(func() { n.mesh.PingSiblings(ctx, n.observeSibling) })
}

// servePeers serves the siblings and the leaders of other regions until the context ends.
func (n *Node) servePeers(ctx context.Context, l net.Listener, stop context.CancelCauseFunc) {
	if err := rpc.Serve(ctx, l, n); err != nil {
		stop(err)
	}
}

// serveHTTP serves users, workers and health checks until the server is closed.
func serveHTTP(server *http.Server, l net.Listener, stop context.CancelCauseFunc) {
	if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		stop(fmt.Errorf("listen: %w", err))
	}
}

// observeSibling processes a sibling's reply to a ping.
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
