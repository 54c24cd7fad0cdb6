package node

import (
	"math/rand/v2"
	"strings"
	"time"
)

// leaseExpiry is by when the lease of a worker whose heartbeats do not arrive has expired.
const leaseExpiry = 11 * time.Second

// isWorker reports whether a host of the emulated network is a worker.
func isWorker(host string) bool { return strings.HasPrefix(host, "w") }

// partitionLeader cuts the leader off from the hosts for which from is true.
func partitionLeader(from func(other string) bool, d time.Duration) func(*simulation) {
	return func(s *simulation) {
		leader := s.memberAfterLeader(0)
		s.setPartition("leader", func(a, b string) bool { return a == leader && from(b) })
		time.Sleep(d)
		s.setPartition("leader", nil)
	}
}

// partitionControllers cuts the controllers off from each other.
func partitionControllers(d time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.setPartition("peers", func(a, b string) bool { return isController(a) && isController(b) })
		time.Sleep(d)
		s.setPartition("peers", nil)
	}
}

// partitionWorkers cuts n workers off from everything.
func partitionWorkers(r *rand.Rand, n int, d time.Duration) func(*simulation) {
	return func(s *simulation) {
		cut := hostsOf(s.RandomWorkers(r, n))
		s.setPartition("workers", func(a, _ string) bool { return cut[a] })
		time.Sleep(d)
		s.setPartition("workers", nil)
	}
}

// partitionZone cuts a zone's workers off from everything.
func partitionZone(zone string, d time.Duration) func(*simulation) {
	return func(s *simulation) {
		cut := hostsOf(s.WorkersInZone(zone))
		s.setPartition("zone", func(a, _ string) bool { return cut[a] })
		time.Sleep(d)
		s.setPartition("zone", nil)
	}
}

// isController reports whether a host of the emulated network is a controller.
func isController(host string) bool { return strings.HasPrefix(host, "n") }

// partitionFollower cuts a controller that does not lead off from some others.
func partitionFollower(from func(other string) bool, d time.Duration) func(*simulation) {
	return func(s *simulation) {
		follower := s.memberAfterLeader(1)
		s.setPartition("other", func(a, b string) bool { return a == follower && from(b) })
		time.Sleep(d)
		s.setPartition("other", nil)
	}
}

// blockFollower holds what a controller that does not lead sends to the other controllers,
// and not what they send to it.
func blockFollower(d time.Duration) func(*simulation) {
	return func(s *simulation) {
		follower := s.memberAfterLeader(1)
		s.net.PartitionOneWay(func(a, b string) bool { return a == follower && isController(b) })
		time.Sleep(d)
		s.net.PartitionOneWay(func(string, string) bool { return false })
	}
}

// anyController chooses all controllers.
func anyController(string) bool { return true }

// blockAnswers holds what the controllers for which from is true send to n workers, answers
// included, while the workers' heartbeats go on arriving: a partition in one direction.
func blockAnswers(seed uint64, n int, from func(controller string) bool, d time.Duration) func(*simulation) {
	return func(s *simulation) {
		workers := hostsOf(s.RandomWorkers(newRand(seed), n))
		s.net.PartitionOneWay(func(a, b string) bool { return isController(a) && from(a) && workers[b] })
		time.Sleep(d)
		s.net.PartitionOneWay(func(string, string) bool { return false })
	}
}

// blockAnswersFrom is blockAnswers for one controller alone, counted from the leader.
func blockAnswersFrom(seed uint64, n, after int, d time.Duration) func(*simulation) {
	return func(s *simulation) {
		controller := s.memberAfterLeader(after)
		blockAnswers(seed, n, func(member string) bool { return member == controller }, d)(s)
	}
}

// isolateController cuts a controller, counted from the leader, off from the key-value store
// and the other controllers, and not from its workers and users.
func isolateController(after int, d time.Duration) func(*simulation) {
	return func(s *simulation) {
		controller := s.memberAfterLeader(after)
		s.setPartition("alone", func(a, b string) bool { return a == controller && (b == "state" || isController(b)) })
		time.Sleep(d)
		s.setPartition("alone", nil)
	}
}

// partitionThreeControllers cuts the leader and two others off from everything but each other.
func partitionThreeControllers(d time.Duration) func(*simulation) {
	return func(s *simulation) {
		first := s.leader()
		cut := map[string]bool{}
		for i := range 3 {
			cut[simMember((first+i)%len(s.controllers))] = true
		}
		s.setPartition("three", func(a, b string) bool { return cut[a] && !cut[b] })
		time.Sleep(d)
		s.setPartition("three", nil)
	}
}

// partitionZoneWithController cuts a zone's workers and a controller, counted from the
// leader, off from everything but each other.
func partitionZoneWithController(zone string, after int, d time.Duration) func(*simulation) {
	return func(s *simulation) {
		controller := s.memberAfterLeader(after)
		inside := hostsOf(s.WorkersInZone(zone))
		inside[controller] = true
		s.setPartition("zone and controller", func(a, b string) bool { return inside[a] && !inside[b] })
		time.Sleep(d)
		s.setPartition("zone and controller", nil)
	}
}

// blockWorkerConnections lets n workers open no connection to any controller, while direct
// commands reach them.
func blockWorkerConnections(seed uint64, n int, d time.Duration) func(*simulation) {
	return func(s *simulation) {
		workers := hostsOf(s.RandomWorkers(newRand(seed), n))
		lost := s.TasksLost()
		s.net.DenyConnections(func(a, b string) bool { return workers[a] && isController(b) })
		time.Sleep(d)
		s.net.DenyConnections(func(string, string) bool { return false })
		if d > leaseExpiry && s.TasksLost() == lost {
			s.reportUnreachedCondition("no lease of a machine with tasks has run out")
		}
	}
}

// slowNetwork delays every packet by that much more.
func slowNetwork(by, d time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.net.AddDelay(by)
		time.Sleep(d)
		s.net.AddDelay(0)
	}
}

// blockAnswersRepeatedly holds what is sent to some workers for seconds, again and again.
func blockAnswersRepeatedly(seed uint64, times int) func(*simulation) {
	return func(s *simulation) {
		r := newRand(seed)
		for i := range times {
			blockAnswers(seed+uint64(i), 3, anyController, time.Duration(1500+r.IntN(4500))*time.Millisecond)(s)
			time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
		}
	}
}

// denyWorkerConnections lets the controllers that do not lead open no connection to any
// worker, while workers open theirs: heartbeats are answered, direct commands do not leave.
func denyWorkerConnections(d time.Duration) func(*simulation) {
	return func(s *simulation) {
		leader := s.memberAfterLeader(0)
		s.net.DenyConnections(func(a, b string) bool { return isController(a) && a != leader && isWorker(b) })
		time.Sleep(d)
		s.net.DenyConnections(func(string, string) bool { return false })
	}
}
