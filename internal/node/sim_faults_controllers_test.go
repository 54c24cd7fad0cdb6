package node

import (
	"sync"
	"time"
)

// crashControllers ends the leader and n-1 others, and starts them again five seconds later.
func crashControllers(n int) func(*simulation) {
	return func(s *simulation) {
		first := s.leader()
		for i := range n {
			s.killController((first + i) % len(s.controllers))
		}
		time.Sleep(5 * time.Second)
		for i := range n {
			s.startController((first + i) % len(s.controllers))
		}
	}
}

// pauseControllers suspends the processes of the leader and of n-1 others while their clocks
// run.
func pauseControllers(n int, d time.Duration) func(*simulation) {
	return func(s *simulation) {
		first := s.leader()
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() { s.pauses[(first+i)%len(s.controllers)].pause(d) })
		}
		wg.Wait()
	}
}

// crashFollower ends a controller that does not lead, and with it the holder of a shard, and
// starts it again after a while.
func crashFollower(d time.Duration) func(*simulation) {
	return func(s *simulation) {
		i := (s.leader() + 1) % len(s.controllers)
		s.killController(i)
		time.Sleep(d)
		s.startController(i)
	}
}

// restartController ends a controller, counted from the leader, and starts it again after a
// short gap.
func restartController(after int, gap time.Duration) func(*simulation) {
	return func(s *simulation) {
		i := (s.leader() + after) % len(s.controllers)
		s.killController(i)
		time.Sleep(gap)
		s.startController(i)
	}
}

// restartRepeatedly restarts controllers again and again, so that it falls into every step of
// an election, a failover and a move of a shard.
func restartRepeatedly(seed uint64, times int) func(*simulation) {
	return func(s *simulation) {
		r := newRand(seed)
		for range times {
			restartController(r.IntN(len(s.controllers)), time.Duration(50+r.IntN(450))*time.Millisecond)(s)
			time.Sleep(time.Duration(r.IntN(4000)) * time.Millisecond)
		}
	}
}

// stopAllControllers ends all controllers for a while. Leases have to expire in a long one.
func stopAllControllers(d time.Duration) func(*simulation) {
	return func(s *simulation) {
		lost := s.TasksLost()
		for i := range s.controllers {
			s.killController(i)
		}
		time.Sleep(d)
		if d > 10*time.Second && s.TasksLost() == lost {
			s.reportUnreachedCondition("no lease of a machine with tasks has run out")
		}
		for i := range s.controllers {
			s.startController(i)
		}
	}
}

// changeLeaderTenTimes restarts the leader until another leads, ten times within two minutes.
func changeLeaderTenTimes(s *simulation) {
	term := s.term()
	begun := time.Now()
	for i := range 10 {
		was := s.term()
		restartController(0, time.Duration(100+150*i)*time.Millisecond)(s)
		for s.term() == was && time.Since(begun) < 3*time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Duration(1+i%4) * time.Second)
	}
	if s.term() < term+10 || time.Since(begun) > 2*time.Minute {
		s.reportUnreachedCondition("%d changes of leader in %v", s.term()-term, time.Since(begun).Round(time.Second))
	}
}
