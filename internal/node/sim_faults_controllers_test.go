package node

import (
	"sync"
	"time"
)

// crashControllers kills the leader and n-1 other controllers, and starts them again five
// seconds later.
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

// pauseControllers suspends the processes of the leader and of n-1 other controllers. Their
// clocks continue.
func pauseControllers(n int, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		first := s.leader()
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() { s.pauses[(first+i)%len(s.controllers)].pause(duration) })
		}
		wg.Wait()
	}
}

// crashFollower kills a follower, and thus the holder of a shard, and starts it again after the
// duration.
func crashFollower(duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		i := (s.leader() + 1) % len(s.controllers)
		s.killController(i)
		time.Sleep(duration)
		s.startController(i)
	}
}

// restartController kills the controller at the offset from the leader, and starts it again
// after the gap.
func restartController(offset int, gap time.Duration) func(*simulation) {
	return func(s *simulation) {
		i := (s.leader() + offset) % len(s.controllers)
		s.killController(i)
		time.Sleep(gap)
		s.startController(i)
	}
}

// restartRepeatedly restarts random controllers several times, so that restarts coincide with
// the different steps of an election, a failover and a move of a shard.
func restartRepeatedly(seed uint64, times int) func(*simulation) {
	return func(s *simulation) {
		random := newRand(seed)
		for range times {
			restartController(random.IntN(len(s.controllers)), time.Duration(50+random.IntN(450))*time.Millisecond)(s)
			time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
		}
	}
}

// stopAllControllers stops all controllers for the duration. If it exceeds ten seconds, the
// lease of a worker with tasks has to expire.
func stopAllControllers(duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		tasksLostBefore := s.TasksLost()
		for i := range s.controllers {
			s.killController(i)
		}
		time.Sleep(duration)
		if duration > 10*time.Second && s.TasksLost() == tasksLostBefore {
			s.reportUnreachedCondition("no lease of a worker with tasks has expired")
		}
		for i := range s.controllers {
			s.startController(i)
		}
	}
}

// changeLeaderTenTimes restarts the leader and waits for the next term, ten times within two
// minutes.
func changeLeaderTenTimes(s *simulation) {
	term := s.term()
	start := time.Now()
	for i := range 10 {
		previousTerm := s.term()
		restartController(0, time.Duration(100+150*i)*time.Millisecond)(s)
		for s.term() == previousTerm && time.Since(start) < 3*time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Duration(1+i%4) * time.Second)
	}
	if s.term() < term+10 || time.Since(start) > 2*time.Minute {
		s.reportUnreachedCondition("%d changes of leader in %v, want at least 10 in 2 min", s.term()-term, time.Since(start).Round(time.Second))
	}
}
