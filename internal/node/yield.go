package node

import (
	"context"
	"sync"
	"time"

	"vetchstream/internal/rpc"
)

// yield decides when a leader that can renew its lease, and serves badly, gives the
// lead away: it has been short of processor for a while, and a sibling computes far
// faster, so that it is this machine and not the work. A leader that is cut from its
// workers need not: their machines go to those that reach them (package share).
type yield struct {
	patience time.Duration

	mu      sync.Mutex
	said    map[string]rpc.NodeStatus
	at      map[string]time.Time
	behind  time.Time // since when this node has been behind as leader; zero: it is not
	yielded time.Time
	rest    time.Duration
}

const (
	// fasterBy is how many times as fast a sibling must be.
	fasterBy = 2
	// yieldRest is how long a node keeps the lead after it has given it away once; it
	// doubles each time, up to yieldMost.
	yieldRest, yieldMost = time.Minute, 15 * time.Minute
	// helloTime is for how long a sibling's word counts.
	helloTime = 2500 * time.Millisecond
)

// heard notes what a sibling says of itself.
func (y *yield) heard(h rpc.NodeStatus, now time.Time) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.said == nil {
		y.said, y.at = map[string]rpc.NodeStatus{}, map[string]time.Time{}
	}
	y.said[h.Member], y.at[h.Member] = h, now
}

// due reports whether the leader should give the lead away now, and names a sibling
// that could take it; self is what this node says of itself.
func (y *yield) due(self rpc.NodeStatus, now time.Time) (to string, ok bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if !self.Overloaded {
		y.behind = time.Time{}
		return "", false
	}
	if y.behind.IsZero() {
		y.behind = now
	}
	if now.Sub(y.behind) < y.patience || now.Sub(y.yielded) < y.rest {
		return "", false
	}
	for name, h := range y.said {
		if now.Sub(y.at[name]) < helloTime && !h.Overloaded && h.StoreReachable && h.ProbeUs > 0 && self.ProbeUs >= fasterBy*h.ProbeUs {
			y.yielded, y.behind = now, time.Time{}
			y.rest = min(max(yieldRest, 2*y.rest), yieldMost)
			return name, true
		}
	}
	return "", false
}

// watchLead measures how fast this node computes, and gives the lead away when
// another would serve better.
func (n *Node) watchLead(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		n.lag.measure()
		self := n.NodeStatus()
		if self.Leader != self.Member || !n.ctl.Leading() {
			continue
		}
		if to, ok := n.yield.due(self, time.Now()); ok {
			n.log.Info("giving the lead away, this controller is short of processor", "term", self.Term, "work_us", self.ProbeUs, "to", to)
			n.elector.Resign(self.Term)
		}
	}
}
