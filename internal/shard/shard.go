// Package shard divides the machines among the controllers. A share is the set of
// machines that one controller, its holder, deals with: connections, reports,
// leases, direct commands. The leader decides everything and owns the ledger; it
// gives shares out by grants that end no later than its own lease, and the
// holders act only under those grants (docs/shares.md).
//
// Assigner is the leader's side, Holder the other. Both are pure: they are stepped
// with messages and times, do no I/O and have no goroutine. Package control owns
// the one, package node the other.
package shard

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Settings are the bounds of sharing. Each has a default in package config.
type Settings struct {
	// GrantDuration is how long a grant holds at the most, from before the request.
	GrantDuration time.Duration
	// JoinDelay is how long a member must have asked without a gap before it gets machines.
	JoinDelay time.Duration
	// RejoinDelay is how long a member that has left gets none; it doubles with each time
	// that it leaves, up to RestMost, and starts anew once it has stayed for RestMost.
	RejoinDelay, MaxRejoinDelay time.Duration
	// MinMachines is the number of machines below which the leader holds all.
	MinMachines int
	// MovesPerSecond is how many machines are moved a second.
	MovesPerSecond float64
	// LeaderWeight is the leader's weight beside the members' 1: it has other things to do.
	LeaderWeight float64
	// LeaderCapacity is how many machines the leader itself can deal with.
	LeaderCapacity int
}

// loadSlack is how far above its part of the machines a controller may be: bounded
// loads, which keep the moves few when machines come and go.
const loadSlack = 1.1

// zoneWeight is how much more a controller in the machine's own zone weighs.
const zoneWeight = 1.5

// score is the weight of a controller for a machine by rendezvous hashing: the
// highest takes it. A controller that leaves moves its own machines only, one that
// joins takes only what it scores highest for.
func score(machine, member string, weight float64) float64 {
	h := xxhash.Sum64String(machine + "\x00" + member)
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// candidate is a controller as the division sees it.
type candidate struct {
	member   *member // nil: the leader itself
	name     string
	zone     string
	weight   float64
	capacity int
	load     int
	bound    int
}

// setBounds sets how many machines each seat may have.
func setBounds(seats []*candidate, total int) {
	sum := 0.0
	for _, s := range seats {
		sum += s.weight
	}
	for _, s := range seats {
		s.bound = min(s.capacity, int(math.Ceil(loadSlack*float64(total)*s.weight/sum)))
	}
}

// rank orders the seats for a machine, the highest score first.
func rank(name, zone string, seats []*candidate) []*candidate {
	type scored struct {
		s *candidate
		v float64
	}
	list := make([]scored, len(seats))
	for i, s := range seats {
		w := s.weight
		if s.zone == zone {
			w *= zoneWeight
		}
		list[i] = scored{s, score(name, s.name, w)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.v > b.v {
			return -1
		}
		return 1
	})
	out := make([]*candidate, len(list))
	for i := range list {
		out[i] = list[i].s
	}
	return out
}
