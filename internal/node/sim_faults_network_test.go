package node

import (
	"math/rand/v2"
	"strings"
	"time"
)

// leaseExpiry is the time after which the lease of a worker whose heartbeats do not arrive has
// expired.
const leaseExpiry = 11 * time.Second

// isWorker reports whether a host of the emulated network is a worker.
func isWorker(host string) bool { return strings.HasPrefix(host, "w") }

// partitionLeader separates the leader from the hosts for which selected is true.
func partitionLeader(selected func(other string) bool, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		leader := s.memberAfterLeader(0)
		s.setPartition("leader", func(from, to string) bool { return from == leader && selected(to) })
		time.Sleep(duration)
		s.setPartition("leader", nil)
	}
}

// partitionControllers separates the controllers from each other.
func partitionControllers(duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.setPartition("peers", func(from, to string) bool { return isController(from) && isController(to) })
		time.Sleep(duration)
		s.setPartition("peers", nil)
	}
}

// partitionWorkers separates n random workers from all other hosts.
func partitionWorkers(random *rand.Rand, n int, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		isolated := hostsOf(s.RandomWorkers(random, n))
		s.setPartition("workers", func(from, _ string) bool { return isolated[from] })
		time.Sleep(duration)
		s.setPartition("workers", nil)
	}
}

// partitionZone separates the workers of a zone from all other hosts.
func partitionZone(zone string, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		isolated := hostsOf(s.WorkersInZone(zone))
		s.setPartition("zone", func(from, _ string) bool { return isolated[from] })
		time.Sleep(duration)
		s.setPartition("zone", nil)
	}
}

// isController reports whether a host of the emulated network is a controller.
func isController(host string) bool { return strings.HasPrefix(host, "n") }

// partitionFollower separates a follower from the hosts for which selected is true.
func partitionFollower(selected func(other string) bool, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		follower := s.memberAfterLeader(1)
		s.setPartition("other", func(from, to string) bool { return from == follower && selected(to) })
		time.Sleep(duration)
		s.setPartition("other", nil)
	}
}

// blockFollower holds the packets that a follower sends to the other controllers, but not
// those that they send to it.
func blockFollower(duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		follower := s.memberAfterLeader(1)
		s.net.PartitionOneWay(func(from, to string) bool { return from == follower && isController(to) })
		time.Sleep(duration)
		s.net.PartitionOneWay(func(string, string) bool { return false })
	}
}

// anyController selects all controllers.
func anyController(string) bool { return true }

// blockAnswers injects a one-way partition: it holds the packets, answers included, that the
// controllers for which selected is true send to n random workers. The workers' heartbeats
// still arrive.
func blockAnswers(seed uint64, n int, selected func(controller string) bool, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		workers := hostsOf(s.RandomWorkers(newRand(seed), n))
		s.net.PartitionOneWay(func(from, to string) bool { return isController(from) && selected(from) && workers[to] })
		time.Sleep(duration)
		s.net.PartitionOneWay(func(string, string) bool { return false })
	}
}

// blockAnswersFrom is blockAnswers for the single controller at the offset from the leader.
func blockAnswersFrom(seed uint64, n, offset int, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		controller := s.memberAfterLeader(offset)
		blockAnswers(seed, n, func(member string) bool { return member == controller }, duration)(s)
	}
}

// isolateController separates the controller at the offset from the leader from the key-value
// store and the other controllers, but not from workers and users.
func isolateController(offset int, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		controller := s.memberAfterLeader(offset)
		s.setPartition("alone", func(from, to string) bool { return from == controller && (to == "state" || isController(to)) })
		time.Sleep(duration)
		s.setPartition("alone", nil)
	}
}

// partitionThreeControllers separates the leader and two other controllers from all hosts but
// each other.
func partitionThreeControllers(duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		first := s.leader()
		isolated := map[string]bool{}
		for i := range 3 {
			isolated[simMember((first+i)%len(s.controllers))] = true
		}
		s.setPartition("three", func(from, to string) bool { return isolated[from] && !isolated[to] })
		time.Sleep(duration)
		s.setPartition("three", nil)
	}
}

// partitionZoneWithController separates the workers of a zone and the controller at the offset
// from the leader from all hosts but each other.
func partitionZoneWithController(zone string, offset int, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		controller := s.memberAfterLeader(offset)
		inside := hostsOf(s.WorkersInZone(zone))
		inside[controller] = true
		s.setPartition("zone and controller", func(from, to string) bool { return inside[from] && !inside[to] })
		time.Sleep(duration)
		s.setPartition("zone and controller", nil)
	}
}

// blockWorkerConnections prevents n random workers from opening connections to controllers.
// Direct commands still reach them.
func blockWorkerConnections(seed uint64, n int, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		workers := hostsOf(s.RandomWorkers(newRand(seed), n))
		tasksLostBefore := s.TasksLost()
		s.net.DenyConnections(func(from, to string) bool { return workers[from] && isController(to) })
		time.Sleep(duration)
		s.net.DenyConnections(func(string, string) bool { return false })
		if duration > leaseExpiry && s.TasksLost() == tasksLostBefore {
			s.reportUnreachedCondition("no lease of a worker with tasks has expired")
		}
	}
}

// slowNetwork adds the extra delay to every packet for the duration.
func slowNetwork(extra, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.net.AddDelay(extra)
		time.Sleep(duration)
		s.net.AddDelay(0)
	}
}

// blockAnswersRepeatedly blocks the controllers' packets to three random workers several
// times, for 1.5 to 6 s each.
func blockAnswersRepeatedly(seed uint64, times int) func(*simulation) {
	return func(s *simulation) {
		random := newRand(seed)
		for i := range times {
			blockAnswers(seed+uint64(i), 3, anyController, time.Duration(1500+random.IntN(4500))*time.Millisecond)(s)
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		}
	}
}

// denyWorkerConnections prevents the followers from opening connections to workers, while the
// workers can open theirs. Followers can answer heartbeats but cannot send direct commands.
func denyWorkerConnections(duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		leader := s.memberAfterLeader(0)
		s.net.DenyConnections(func(from, to string) bool { return isController(from) && from != leader && isWorker(to) })
		time.Sleep(duration)
		s.net.DenyConnections(func(string, string) bool { return false })
	}
}
