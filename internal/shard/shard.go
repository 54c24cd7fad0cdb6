// Package shard divides the machines among the controllers. A shard is a set of machines
// that one controller, the holder, handles: it holds the connections to their workers,
// answers their heartbeats, which renews their leases, and sends direct commands. The
// leader makes all decisions and owns the ledger. It assigns each shard under a grant that
// ends no later than the leader's own lease. A holder acts only under a valid grant
// (docs/shares.md).
//
// Assigner implements the leader's side, Holder the holder's side. Both are deterministic
// state machines: callers pass in messages and times, and neither does I/O or starts
// goroutines. Package control owns the Assigner, package node the Holder.
package shard

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Settings are the parameters of the assignment. Package config defines their defaults.
type Settings struct {
	// GrantDuration is the maximum duration of a grant. It begins just before the holder
	// sends the request for the grant.
	GrantDuration time.Duration
	// JoinDelay is the time for which a member must make requests without a gap before it
	// gets machines.
	JoinDelay time.Duration
	// RejoinDelay is the time for which a member gets no machines after it has left. The
	// delay doubles each time the member leaves, up to MaxRejoinDelay. It is reset once the
	// member has stayed for MaxRejoinDelay.
	RejoinDelay    time.Duration
	MaxRejoinDelay time.Duration
	// MinMachines is the fleet size below which the leader holds all machines.
	MinMachines int
	// MovesPerSecond limits the rate at which machines change holders.
	MovesPerSecond float64
	// LeaderWeight is the leader's weight, relative to a weight of 1 for each other member.
	// It accounts for the leader's other work.
	LeaderWeight float64
	// LeaderCapacity is the number of machines that the leader itself can handle.
	LeaderCapacity int
}

const (
	// loadSlack is the factor by which a controller may exceed its weighted share of the
	// machines (consistent hashing with bounded loads). The slack makes moves rare when
	// machines join or leave the fleet.
	loadSlack = 1.1
	// zoneWeight multiplies the weight of a controller for machines in its own zone.
	zoneWeight = 1.5
)

// score returns the score of a controller for a machine in weighted rendezvous hashing.
// The controller with the highest score gets the machine. When a controller leaves, only
// its own machines move. When one joins, only the machines for which it has the highest
// score move.
func score(machine, member string, weight float64) float64 {
	hash := xxhash.Sum64String(machine + "\x00" + member)
	uniform := (float64(hash>>11) + 0.5) / (1 << 53) // in (0, 1)
	return -weight / math.Log(uniform)
}

// candidate is a controller that can be assigned machines.
type candidate struct {
	member   *memberState // nil for the leader itself
	name     string
	zone     string
	weight   float64
	capacity int // number of machines that it can handle
	load     int // number of machines that it holds
	bound    int // number of machines that it may hold
}

// setBounds sets the number of machines that each candidate may hold in a fleet of total
// machines.
func setBounds(candidates []*candidate, total int) {
	sum := 0.0
	for _, c := range candidates {
		sum += c.weight
	}
	for _, c := range candidates {
		c.bound = min(c.capacity, int(math.Ceil(loadSlack*float64(total)*c.weight/sum)))
	}
}

// rank returns the candidates in descending order of their scores for a machine.
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
