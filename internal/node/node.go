// Package node puts the parts of one controller together.
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
	"vetchstream/internal/shard"
	"vetchstream/internal/state"
)

// Net is the network that a controller lives on.
type Net struct {
	Dial   state.DialFunc
	Listen func(addr string) (net.Listener, error)
}

// System is the operating system's network.
func System() Net {
	d := &net.Dialer{Timeout: time.Second, KeepAlive: 5 * time.Second}
	return Net{Dial: d.DialContext, Listen: func(addr string) (net.Listener, error) { return net.Listen("tcp4", addr) }}
}

// Node is one controller.
type Node struct {
	set         *config.Settings
	log         *slog.Logger
	elector     *election.Elector
	ctl         *control.Controller
	mesh        *rpc.Mesh
	home        *homeRegion // nil: no regions are named, or this is the home region
	route       route
	lag         lag
	shardHolder *shardHolder // nil: the machines are not shared
	yield       yield

	mu      sync.Mutex
	served  time.Time // when a user last came here
	useless time.Time // since when users could not be served here; zero: they can
}

// Run runs a controller until the context ends.
func Run(ctx context.Context, set *config.Settings, tun *config.Tuning, nw Net, log *slog.Logger) error {
	log = log.With("member", set.Member)
	var m *metrics.Meter
	if tun.MetricsListen != "" {
		m = metrics.New()
	}
	st := state.New(set.Outside.State, nw.Dial, control.StateBudget(set, false))
	n := &Node{set: set, log: log}
	n.ctl = control.New(control.Deps{Settings: set, Tuning: tun, State: st,
		Cloud: autoscale.NewCloud(set.Outside.Cloud, nw.Dial, set.Facts.Cloud.RPS), Dial: nw.Dial, Log: log, Meter: m,
		Entitled:  func(term uint64) bool { return n.elector.Entitled(term) },
		Remaining: func(term uint64) time.Duration { return n.elector.EntitlementLeft(term) },
		Deposed:   func(term uint64) { n.elector.ObserveLeader("", term) },
		Follow: func(ctx context.Context, q *dynconfig.Request) (*dynconfig.Reply, error) {
			return n.home.follow(ctx, q)
		}})
	n.elector = election.New(set.Member, time.Duration(tun.LeaderLeaseMs)*time.Millisecond,
		state.NewUnbounded(set.Outside.State, nw.Dial), log, n.ctl.Lead)
	siblings := make([]string, len(set.Siblings))
	for i := range set.Siblings {
		siblings[i] = set.Siblings[i].Member
	}
	n.elector.EnablePromises(time.Duration(tun.PromiseMs)*time.Millisecond, siblings, func(ctx context.Context, sibling string, term uint64) (bool, error) {
		p, err := n.mesh.Promise(ctx, sibling, &rpc.PromiseRequest{Leader: set.Member, Term: term})
		return err == nil && p.Given, err
	})
	mesh, err := rpc.Dial(set.Siblings, nw.Dial)
	if err != nil {
		return err
	}
	defer mesh.Close()
	n.mesh = mesh
	if tun.Regions.Name != tun.Regions.Home {
		if n.home, err = dialHome(tun.Regions.HomeAddresses, nw.Dial); err != nil {
			return err
		}
		defer n.home.close()
	}
	if tun.Shares.Enabled && len(set.Siblings) > 0 {
		n.shardHolder = newShardHolder(n, nw.Dial)
	}

	pl, err := nw.Listen(set.PeerListen)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	hl, err := nw.Listen(set.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	var ml net.Listener
	if m != nil {
		if ml, err = nw.Listen(tun.MetricsListen); err != nil {
			return fmt.Errorf("metrics_listen: %w", err)
		}
	}
	d := newBoundedListener(hl, inbound(set))
	srv := &http.Server{ConnState: d.state, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return api.WithWork(ctx, c.(*boundedConn).keeps)
	}, Handler: api.New(n, log, m).Handler(), ReadHeaderTimeout: 10 * time.Second,
		ReadTimeout: 20 * time.Second, WriteTimeout: 20 * time.Second, IdleTimeout: 90 * time.Second,
		MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wg sync.WaitGroup
	wg.Go(func() { n.elector.Run(ctx) })
	wg.Go(func() { n.lag.watch(ctx) })
	if m != nil {
		wg.Go(func() {
			if err := m.Serve(ctx, ml); err != nil {
				log.Error("metrics page failed", "error", err)
			}
		})
	}
	if tun.YieldS > 0 {
		n.yield.patience = config.Seconds(tun.YieldS)
		wg.Go(func() { n.watchLead(ctx) })
	}
	if n.shardHolder != nil {
		wg.Go(func() { n.shardHolder.run(ctx) })
	}
	wg.Go(func() {
		mesh.Pings(ctx, func(h rpc.Hello) {
			n.elector.ObserveLeader(h.Leader, h.Term)
			n.elector.ObserveSibling(h.Member, h.Member == h.Leader)
			if tun.YieldS > 0 {
				n.yield.heard(h, time.Now())
			}
			if h.Member == h.Leader {
				n.elector.ObserveHeartbeat()
			}
		})
	})
	wg.Go(func() {
		if err := rpc.Serve(ctx, pl, n); err != nil {
			cancel(err)
		}
	})
	wg.Go(func() {
		if err := srv.Serve(d); err != nil && !errors.Is(err, http.ErrServerClosed) {
			cancel(fmt.Errorf("listen: %w", err))
		}
	})
	for _, line := range set.Doubts() {
		log.Warn("settings: " + line)
	}
	log.Info("started", "site", set.Site, "listen", set.Listen)
	<-ctx.Done()
	_ = srv.Close()
	wg.Wait()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// Hello implements rpc.Handler.
func (n *Node) Hello() rpc.Hello {
	v := n.elector.View()
	n.mu.Lock()
	serves := time.Since(n.served) < servesTime
	n.mu.Unlock()
	return rpc.Hello{Member: n.set.Member, Leader: v.Leader, Term: v.Term, Serves: serves, Behind: n.lag.Behind(),
		WorkUs: n.lag.Work().Microseconds(), Stored: time.Since(v.StoreSeenAt) < storedTime}
}

// Local implements rpc.Handler: only a leader answers for others.
func (n *Node) Local(ctx context.Context, q *rpc.Request) *rpc.Reply {
	if p := n.ctl.Answer(ctx, q); p != nil {
		return p
	}
	return control.Unavailable("not the leader")
}

// storedTime is for how long a node counts as one that the state service answers:
// its watch comes back every five seconds.
const storedTime = 7 * time.Second

// servesTime is for how long a node counts as one that users are sent to after the
// last of them came.
const servesTime = 3 * time.Second

// Answer implements api.Backend.
func (n *Node) Answer(ctx context.Context, q *rpc.Request) *rpc.Reply {
	n.mu.Lock()
	n.served = time.Now()
	n.mu.Unlock()
	if q.Kind == rpc.KindStatus {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, pollTime)
		defer cancel()
	}
	if q.Kind == rpc.KindConfig && n.home != nil {
		return n.home.forward(ctx, q)
	}
	if p := n.ctl.Answer(ctx, q); p != nil {
		return p
	}
	// A leader that does not answer pings would only use up the user's patience.
	if l := n.Leader(); l != "" && n.mesh.Reached(l) {
		limit := forwardTime
		if q.Kind == rpc.KindStatus {
			limit = pollForwardTime
		}
		if q.Kind == rpc.KindSubmit {
			limit = submitForwardTime
			if n.route.direct(time.Now()) {
				if p := n.admit(ctx, q); p.Status != http.StatusServiceUnavailable {
					return p
				}
			}
		}
		fctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		begun := time.Now()
		p, err := n.mesh.Forward(fctx, l, q)
		if q.Kind == rpc.KindSubmit {
			n.route.tookLeader(time.Since(begun))
		}
		if err == nil && (p.Settled || p.Status != http.StatusServiceUnavailable) {
			return p
		}
	}
	if ctx.Err() == nil {
		switch q.Kind {
		case rpc.KindStatus:
			return n.ctl.StatusWithoutLeader(ctx, q.ID)
		case rpc.KindSubmit:
			return n.admit(ctx, q)
		}
	}
	return n.vacant()
}

// admit takes in a submission without the leader.
func (n *Node) admit(ctx context.Context, q *rpc.Request) *rpc.Reply {
	begun := time.Now()
	p := n.ctl.AdmitWithoutLeader(ctx, q.Body)
	n.route.tookOwn(time.Since(begun))
	return p
}

// vacant tells a user to come back when the lead may have passed on: what is left
// of the lease of a leader that is not to be reached. The next one takes a moment
// more, but a user who comes a little early loses nothing by it.
func (n *Node) vacant() *rpc.Reply {
	p := control.Unavailable("no leader is to be reached")
	p.RetryAfter = max(p.RetryAfter, int(n.elector.LeaderLeaseLeft()/time.Second))
	return p
}

// forwardTime bounds the wait for the leader, so that time is left for a read of
// the state service. A submission needs no leader, so it waits for a leader that
// stands still for no longer than an answer usually takes.
const (
	forwardTime       = 1200 * time.Millisecond
	submitForwardTime = 400 * time.Millisecond
	pollForwardTime   = 900 * time.Millisecond
)

// pollTime bounds a poll: its user waits for two seconds, and one that hangs in a
// commit, a loading or a read is no answer.
const pollTime = 1500 * time.Millisecond

// Promise implements rpc.Handler.
func (n *Node) Promise(ctx context.Context, q *rpc.PromiseRequest) *rpc.Promise {
	return &rpc.Promise{Given: n.elector.Promise(ctx, q.Leader, q.Term)}
}

// Follow implements rpc.Handler: only a leader of the home region answers.
func (n *Node) Follow(ctx context.Context, q *dynconfig.Request) *dynconfig.Reply {
	return n.ctl.HandleFollow(ctx, q)
}

// Sync implements rpc.Handler: only a leader gives shares.
func (n *Node) Sync(ctx context.Context, r *shard.Request) *shard.Reply { return n.ctl.Sync(ctx, r) }

// Report implements api.Backend: a worker is answered by the leader, or by the
// holder of its machine.
func (n *Node) Report(ctx context.Context, q *rpc.Request) *rpc.Reply {
	if p := n.ctl.Answer(ctx, q); p != nil || n.shardHolder == nil {
		return p
	}
	return n.shardHolder.handleHeartbeat(ctx, q.Body)
}

// Forward implements api.Backend.
func (n *Node) Forward(ctx context.Context, q *rpc.Request) *rpc.Reply {
	h := *q
	h.Via = n.set.Member
	p, err := n.mesh.Forward(ctx, n.Leader(), &h)
	if err != nil {
		return control.Unavailable("the leader is not to be reached")
	}
	return p
}

// Leader implements api.Backend.
func (n *Node) Leader() string {
	v := n.elector.View()
	if v.Leader == n.set.Member {
		return ""
	}
	return v.Leader
}

// patience is how long a node without leader and state service stays healthy:
// being taken out and put back costs users more than a short outage, in which no
// other node could serve them either.
const patience = 20 * time.Second

// Healthy implements api.Backend. A leader that is short of processor sends its
// users to the other nodes, which have little to do: they can admit and answer
// without it. Not before the load balancer sends users to one of them: after a
// restart it waits for up to a minute.
func (n *Node) Healthy() bool {
	if n.ctl.Leading() && n.lag.Behind() && n.mesh.AnyServes() {
		return false
	}
	v := n.elector.View()
	able := n.ctl.Leading() || time.Since(v.StoreSeenAt) < 8*time.Second || (v.Leader != "" && n.mesh.Reached(v.Leader))
	n.mu.Lock()
	defer n.mu.Unlock()
	if able {
		n.useless = time.Time{}
		return true
	}
	if n.useless.IsZero() {
		n.useless = time.Now()
	}
	return time.Since(n.useless) < patience
}
