package node

import (
	"context"
	"sync"
	"time"

	"vetchstream/internal/rpc"
)

// transferPolicy decides when a leader that renews its lease but serves badly resigns
// in favor of a sibling: it has been overloaded for a while, and the sibling computes
// far faster, so that the machine is the cause and not the amount of work. A leader
// that cannot reach its workers need not resign: their machines are assigned to
// controllers that reach them (package shard).
type transferPolicy struct {
	minOverloadTime time.Duration // how long the leader must have been overloaded

	mu                  sync.Mutex
	siblings            map[string]siblingStatus
	overloadedSince     time.Time     // since when this node has been overloaded as leader; zero: it is not
	lastTransferAt      time.Time     // when this node last resigned
	minTransferInterval time.Duration // least time between lastTransferAt and the next
}

// siblingStatus is the last answer of a sibling to a ping.
type siblingStatus struct {
	rpc.NodeStatus
	receivedAt time.Time
}

const (
	// minSpeedRatio is how many times as fast a sibling must be.
	minSpeedRatio = 2
	// firstTransferInterval is how long a node that has resigned once does not resign again.
	// The interval doubles with each transfer, up to maxTransferInterval.
	firstTransferInterval = time.Minute
	maxTransferInterval   = 15 * time.Minute
	// siblingStatusMaxAge is how long a sibling's answer to a ping counts.
	siblingStatusMaxAge = 2500 * time.Millisecond
	// transferCheckInterval is how often the leader considers a transfer.
	transferCheckInterval = time.Second
)

// observeSibling takes in a sibling's answer to a ping.
func (p *transferPolicy) observeSibling(status rpc.NodeStatus, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.siblings == nil {
		p.siblings = map[string]siblingStatus{}
	}
	p.siblings[status.Member] = siblingStatus{status, now}
}

// due reports whether the leader, whose own status is self, should resign now, and
// names a sibling that would serve better.
func (p *transferPolicy) due(self rpc.NodeStatus, now time.Time) (to string, ok bool) {
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

// betterThan reports whether the sibling would be a better leader than the overloaded
// one: it was heard lately, is able to lead and is far faster.
func (s *siblingStatus) betterThan(leader rpc.NodeStatus, now time.Time) bool {
	able := now.Sub(s.receivedAt) < siblingStatusMaxAge && !s.Overloaded && s.StoreReachable
	faster := s.ProbeUs > 0 && leader.ProbeUs >= minSpeedRatio*s.ProbeUs
	return able && faster
}

// watchTransfer measures how fast this node computes, and resigns as leader when a
// sibling would serve better, until the context ends.
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
		if successor, ok := n.transfer.due(self, time.Now()); ok {
			n.log.Info("transferring leadership: this controller is overloaded and a sibling is faster",
				"term", self.Term, "probe_us", self.ProbeUs, "successor", successor)
			n.elector.Resign(self.Term)
		}
	}
}
