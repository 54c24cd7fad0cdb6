// Package shard divides the machines among the controllers. A shard is the set of
// machines that one controller, its holder, deals with: connections, reports,
// leases and direct commands. The leader makes all decisions and owns the ledger. It
// assigns the shards under grants that end no later than its own lease, and the
// holders act only under those grants (docs/shares.md).
//
// Assigner is the leader's side, Holder the holder's. Both are pure: they are stepped
// with messages and times, do no I/O and have no goroutine. Package control owns the
// Assigner, package node the Holder.
package shard

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Settings are the parameters of the assignment. Each has a default in package config.
type Settings struct {
	// GrantDuration is how long a grant is valid at most, from before its request.
	GrantDuration time.Duration
	// JoinDelay is how long a member must have made requests without a gap before it gets
	// machines.
	JoinDelay time.Duration
	// RejoinDelay is how long a member that has left gets no machines. It doubles each time
	// that the member leaves, up to MaxRejoinDelay, and starts anew once the member has
	// stayed for MaxRejoinDelay.
	RejoinDelay    time.Duration
	MaxRejoinDelay time.Duration
	// MinMachines is the number of machines below which the leader holds all.
	MinMachines int
	// MovesPerSecond bounds the rate at which machines change their holder.
	MovesPerSecond float64
	// LeaderWeight is the leader's weight relative to 1 for each other member: the leader
	// has other work.
	LeaderWeight float64
	// LeaderCapacity is how many machines the leader itself can deal with.
	LeaderCapacity int
}

const (
	// loadSlack is the factor by which a controller may exceed its weighted part of the
	// machines (consistent hashing with bounded loads). It makes moves rare when machines
	// come and go.
	loadSlack = 1.1
	// zoneWeight is the factor by which the weight of a controller in the machine's own
	// zone is increased.
	zoneWeight = 1.5
)

// score is the score of a controller for a machine by weighted rendezvous hashing: the
// highest gets the machine. When a controller leaves, only its own machines move; when
// one joins, only those that it scores highest for.
func score(machine, member string, weight float64) float64 {
	h := xxhash.Sum64String(machine + "\x00" + member)
	uniform := (float64(h>>11) + 0.5) / (1 << 53) // in (0, 1)
	return -weight / math.Log(uniform)
}

// candidate is a controller to which machines can be assigned.
type candidate struct {
	member   *memberState // nil: the leader itself
	name     string
	zone     string
	weight   float64
	capacity int // machines that it can deal with
	load     int // machines that it has
	bound    int // machines that it may have
}

// setBounds sets how many of total machines each candidate may have.
func setBounds(candidates []*candidate, total int) {
	sum := 0.0
	for _, c := range candidates {
		sum += c.weight
	}
	for _, c := range candidates {
		c.bound = min(c.capacity, int(math.Ceil(loadSlack*float64(total)*c.weight/sum)))
	}
}

// rank orders the candidates for a machine, the highest score first.
func rank(name, zone string, candidates []*candidate) []*candidate {
	type scored struct {
		candidate *candidate
		score     float64
	}
	list := make([]scored, len(candidates))
	for i, c := range candidates {
		weight := c.weight
		if c.zone == zone {
			weight *= zoneWeight
		}
		list[i] = scored{candidate: c, score: score(name, c.name, weight)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	ranked := make([]*candidate, len(list))
	for i := range list {
		ranked[i] = list[i].candidate
	}
	return ranked
}
