package node

import (
	"testing"
	"time"
)

// checkHeartbeatSpread checks that every controller has answered at least 1/divisor of all
// heartbeats.
func checkHeartbeatSpread(divisor int) func(*simulation) {
	return func(s *simulation) {
		total := 0
		for _, n := range s.HeartbeatsByController() {
			total += n
		}
		for _, c := range simControllers {
			if n := s.HeartbeatsByController()[c.Member]; n*divisor < total {
				s.t.Errorf("%s answered %d of %d heartbeats", c.Member, n, total)
			}
		}
	}
}

// checkNoTaskLost checks that no worker stopped a task because its lease had expired.
func checkNoTaskLost(s *simulation) {
	if n := s.TasksLost(); n > 0 {
		s.t.Errorf("%d tasks were lost to expired leases, want 0", n)
	}
}

// checkUnansweredTime checks that every worker received an answer to its heartbeats within the
// given time, and that no task was lost.
func checkUnansweredTime(within time.Duration) func(*simulation) {
	return func(s *simulation) {
		workers, median, p99, longest := s.UnansweredQuantiles()
		s.t.Logf("%d workers without an answer for some time: median %v, p99 %v, longest %v", workers, median, p99, longest)
		if longest > within {
			s.t.Errorf("a worker received no answer for %v", longest)
		}
		checkNoTaskLost(s)
	}
}

// TestSharding injects faults while the controllers hold one shard of the machines each.
func TestSharding(t *testing.T) {
	sec := time.Second
	checks := finalChecks{
		"no faults": checkHeartbeatSpread(40),
		"a follower crashes for 9 s, later for 0.3 s":        checkNoTaskLost,
		"the store is unavailable for longer than the lease": checkNoTaskLost,
		"the store refuses the leader only":                  checkNoTaskLost,
	}
	runDefault(t, 1, withSharding, checks, []scenario{
		{"no faults", nil},
		{"a follower crashes for 9 s, later for 0.3 s", []fault{
			{14 * sec, crashFollower(9 * sec)},
			{35 * sec, crashFollower(300 * time.Millisecond)},
		}},
		{"the leader crashes while a shard moves, later all controllers crash", []fault{
			{13 * sec, crashFollower(200 * time.Millisecond)},
			{14 * sec, crashControllers(1)},
			{40 * sec, crashControllers(3)},
		}},
		{"a follower is partitioned from the controllers, its messages arrive late", []fault{{14 * sec, partitionFollower(isController, 20*sec)}}},
		{"a follower's messages to the other controllers arrive a minute late, but it receives theirs", []fault{
			{14 * sec, blockFollower(60 * sec)},
		}},
		{"a follower crashes each time a job is cancelled", []fault{
			{12900 * time.Millisecond, crashFollower(2 * sec)},
			{21900 * time.Millisecond, crashFollower(2 * sec)},
			{30900 * time.Millisecond, crashFollower(2 * sec)},
		}},
		{"a zone with machines of every shard is partitioned while a follower restarts", []fault{
			{12 * sec, partitionZone("a", 16*sec)},
			{14 * sec, crashFollower(6 * sec)},
		}},
		{"a follower is partitioned from its workers only, its messages arrive late", []fault{{14 * sec, partitionFollower(isWorker, 25*sec)}}},
		{"a follower pauses past the expiry of its grant, later the leader pauses", []fault{
			{14 * sec, func(s *simulation) { s.pauses[(s.leader()+1)%len(s.controllers)].pause(5 * sec) }},
			{30 * sec, pauseControllers(1, 3500*time.Millisecond)},
		}},
		{"controllers are partitioned from each other, later the leader from the workers", []fault{
			{10 * sec, partitionControllers(15 * sec)},
			{40 * sec, partitionLeader(isWorker, 15*sec)},
		}},
		{"the store is unavailable while machines move between shards", []fault{{6 * sec, storeOutage(8 * sec)}, {30 * sec, crashFollower(4 * sec)}}},
		{"the store is unavailable for longer than the lease", []fault{{15 * sec, storeOutage(30 * sec)}}},
		{"the store refuses the leader only", []fault{{15 * sec, refuseLeaderAtStore(20 * sec)}}},
		{"a follower crashes during an outage of the store, then the leader does", []fault{
			{14 * sec, storeOutage(25 * sec)},
			{20 * sec, crashFollower(3 * sec)},
			{30 * sec, crashControllers(1)},
		}},
		{"all controllers crash during an outage of the store", []fault{{14 * sec, storeOutage(20 * sec)}, {17 * sec, crashControllers(3)}}},
		{"a follower crashes every ten seconds", []fault{
			{10 * sec, crashFollower(5 * sec)},
			{20 * sec, crashFollower(5 * sec)},
			{30 * sec, crashFollower(5 * sec)},
			{40 * sec, crashFollower(5 * sec)},
		}},
	})
}

// TestShardingLargeFleet injects crashes of shard holders and of the leader with up to 240
// machines.
func TestShardingLargeFleet(t *testing.T) {
	const scale = 20
	sec := time.Second
	runDefault(t, scale, withSharding, finalChecks{"the holder of a third of the machines crashes: every worker is answered within 6 s": checkUnansweredTime(6 * sec)}, []scenario{
		{"one follower is down, the other one crashes, then the leader does", []fault{
			{3 * sec, func(s *simulation) {
				i := (s.leader() + 2) % len(s.controllers)
				s.killController(i)
				time.Sleep(40 * sec)
				s.startController(i)
			}},
			{18 * sec, crashFollower(6 * sec)},
			{50 * sec, crashControllers(1)},
		}},
		{"the holder of a third of the machines crashes: every worker is answered within 6 s", []fault{{25 * sec, crashFollower(8 * sec)}}},
		{"workers are partitioned while the leader changes, then all controllers crash", []fault{
			{14 * sec, partitionWorkers(newRand(11), 2*scale, 18*sec)},
			{16 * sec, crashControllers(1)},
			{45 * sec, crashControllers(3)},
		}},
	})
}
