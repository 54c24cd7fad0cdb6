package node

import (
	"context"
	"sync"
	"time"

	"vetchstream/internal/rpc"
)

// transferPolicy decides when a leader that renews its lease but serves slowly resigns in
// favor of a sibling. The leader must have been overloaded for minOverloadTime, and the
// sibling must compute much faster, which shows that the leader's machine is the cause
// and not the amount of work. A leader that cannot reach its workers need not resign:
// their machines are assigned to controllers that reach them (package shard).
type transferPolicy struct {
	minOverloadTime time.Duration // how long the leader must have been overloaded before it resigns

	mu                  sync.Mutex
	siblings            map[string]siblingStatus
	overloadedSince     time.Time     // when this node became overloaded as leader; zero: it is not
	lastTransferAt      time.Time     // when this node last resigned
	minTransferInterval time.Duration // minimum time between lastTransferAt and the next transfer
}

// siblingStatus is a sibling's latest reply to a ping.
type siblingStatus struct {
	rpc.NodeStatus
	receivedAt time.Time
}

const (
	// minSpeedRatio is the minimum ratio of a sibling's speed to the leader's.
	minSpeedRatio = 2
	// firstTransferInterval is the time after its first resignation in which a node does
	// not resign again. It doubles with each transfer, up to maxTransferInterval.
	firstTransferInterval = time.Minute
	maxTransferInterval   = 15 * time.Minute
	// siblingStatusMaxAge is the age up to which a sibling's reply to a ping is considered.
	siblingStatusMaxAge = 2500 * time.Millisecond
	// transferCheckInterval is the interval at which the leader considers a transfer.
	transferCheckInterval = time.Second
)

// observeSibling records a sibling's reply to a ping.
func (p *transferPolicy) observeSibling(status rpc.NodeStatus, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.siblings == nil {
		p.siblings = map[string]siblingStatus{}
	}
	p.siblings[status.Member] = siblingStatus{status, now}
}

// selectSuccessor reports whether the leader, whose own status is self, should resign
// now, and returns the sibling that would serve better.
func (p *transferPolicy) selectSuccessor(self rpc.NodeStatus, now time.Time) (successor string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !self.Overloaded {
		p.overloadedSince = time.Time{}
		return "", false
	}
	if p.overloadedSince.IsZero() {
		p.overloadedSince = now
	}
	if now.Sub(p.overloadedSince) < p.minOverloadTime || now.Sub(p.lastTransferAt) < p.minTransferInterval {
		return "", false
	}
	for member, sibling := range p.siblings {
		if !sibling.betterThan(self, now) {
			continue
		}
		p.lastTransferAt = now
		p.overloadedSince = time.Time{}
		p.minTransferInterval = min(max(firstTransferInterval, 2*p.minTransferInterval), maxTransferInterval)
		return member, true
	}
	return "", false
}

// betterThan reports whether the sibling would serve better than the overloaded leader:
// its status is recent, it is able to lead, and it computes much faster.
func (s *siblingStatus) betterThan(leader rpc.NodeStatus, now time.Time) bool {
	able := now.Sub(s.receivedAt) < siblingStatusMaxAge && !s.Overloaded && s.StoreReachable
	faster := s.ProbeUs > 0 && leader.ProbeUs >= minSpeedRatio*s.ProbeUs
	return able && faster
}

// watchTransfer runs until the context ends. It probes this node's speed at each interval
// and, while this node leads, resigns when a sibling would serve better.
func (n *Node) watchTransfer(ctx context.Context) {
	ticker := time.NewTicker(transferCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.delay.runProbe()
		self := n.NodeStatus()
		if self.Leader != self.Member || !n.controller.Leading() {
			continue
		}
		if successor, ok := n.transfer.selectSuccessor(self, time.Now()); ok {
			n.log.Info("transferring leadership: this controller is overloaded and a sibling is faster",
				"term", self.Term, "probe_us", self.ProbeUs, "successor", successor)
			n.elector.Resign(self.Term)
		}
	}
}
