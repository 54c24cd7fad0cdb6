package node

import (
	"testing"
	"time"
)

// checkHeartbeatSpread checks that every controller has answered heartbeats, at least one in
// that many of all.
func checkHeartbeatSpread(part int) func(*simulation) {
	return func(s *simulation) {
		all := 0
		for _, n := range s.HeartbeatsByController() {
			all += n
		}
		for _, c := range simControllers {
			if n := s.HeartbeatsByController()[c.Member]; n*part < all {
				s.t.Errorf("%s has answered %d reports of %d", c.Member, n, all)
			}
		}
	}
}

// checkNoTaskLost checks that no task was lost by the expiry of its machine's lease.
func checkNoTaskLost(s *simulation) {
	if n := s.TasksLost(); n > 0 {
		s.t.Errorf("%d tasks were killed by their lease", n)
	}
}

// checkUnansweredTime checks that no worker went without an answer for longer than that.
func checkUnansweredTime(within time.Duration) func(*simulation) {
	return func(s *simulation) {
		n, half, most99, longest := s.UnansweredQuantiles()
		s.t.Logf("%d workers without an answer: half %v, 99 %% %v, longest %v", n, half, most99, longest)
		if longest > within {
			s.t.Errorf("a worker went without an answer for %v", longest)
		}
		checkNoTaskLost(s)
	}
}

// TestSharding: the controllers share the machines, and the holders of shards fail.
func TestSharding(t *testing.T) {
	sec := time.Second
	checks := finalChecks{
		"quiet": checkHeartbeatSpread(40),
		"a holder ends, is away, and ends again at once": checkNoTaskLost,
		"state service out for longer than the lease":    checkNoTaskLost,
		"leader refused by the state service alone":      checkNoTaskLost,
	}
	runDefault(t, 1, withSharding, checks, []scenario{
		{"quiet", nil},
		{"a holder ends, is away, and ends again at once", []fault{
			{14 * sec, crashFollower(9 * sec)},
			{35 * sec, crashFollower(300 * time.Millisecond)},
		}},
		{"the leader ends in the middle of a move, then all", []fault{
			{13 * sec, crashFollower(200 * time.Millisecond)},
			{14 * sec, crashControllers(1)},
			{40 * sec, crashControllers(3)},
		}},
		{"a holder cut from the controllers, held", []fault{{14 * sec, partitionFollower(isController, 20*sec)}}},
		{"a holder that the others do not hear, though it hears them; delivered a minute later", []fault{
			{14 * sec, blockFollower(60 * sec)},
		}},
		{"a holder ends each time that a job is cancelled", []fault{
			{12900 * time.Millisecond, crashFollower(2 * sec)},
			{21900 * time.Millisecond, crashFollower(2 * sec)},
			{30900 * time.Millisecond, crashFollower(2 * sec)},
		}},
		{"a zone with machines of every holder cut while one comes back", []fault{
			{12 * sec, partitionZone("a", 16*sec)},
			{14 * sec, crashFollower(6 * sec)},
		}},
		{"a holder cut from its workers alone, held", []fault{{14 * sec, partitionFollower(isWorker, 25*sec)}}},
		{"a holder stands still past its grant, then the leader", []fault{
			{14 * sec, func(s *simulation) { s.pauses[(s.leader()+1)%len(s.controllers)].pause(5 * sec) }},
			{30 * sec, pauseControllers(1, 3500*time.Millisecond)},
		}},
		{"peers cut from each other, then the leader from the workers", []fault{
			{10 * sec, partitionControllers(15 * sec)},
			{40 * sec, partitionLeader(isWorker, 15*sec)},
		}},
		{"state service out while machines move", []fault{{6 * sec, storeOutage(8 * sec)}, {30 * sec, crashFollower(4 * sec)}}},
		{"state service out for longer than the lease", []fault{{15 * sec, storeOutage(30 * sec)}}},
		{"leader refused by the state service alone", []fault{{15 * sec, refuseLeaderAtStore(20 * sec)}}},
		{"a sibling ends in an outage, then the leader", []fault{
			{14 * sec, storeOutage(25 * sec)},
			{20 * sec, crashFollower(3 * sec)},
			{30 * sec, crashControllers(1)},
		}},
		{"all end in an outage", []fault{{14 * sec, storeOutage(20 * sec)}, {17 * sec, crashControllers(3)}}},
		{"a holder comes and goes every ten seconds", []fault{
			{10 * sec, crashFollower(5 * sec)},
			{20 * sec, crashFollower(5 * sec)},
			{30 * sec, crashFollower(5 * sec)},
			{40 * sec, crashFollower(5 * sec)},
		}},
	})
}

// TestShardingLargeFleet: several hundred machines whose only other shard holder fails, and whose
// leader does.
func TestShardingLargeFleet(t *testing.T) {
	const scale = 20
	sec := time.Second
	runDefault(t, scale, withSharding, finalChecks{"a holder of a third ends": checkUnansweredTime(6 * sec)}, []scenario{
		{"the only holder ends, then the leader", []fault{
			{3 * sec, func(s *simulation) {
				i := (s.leader() + 2) % len(s.controllers)
				s.killController(i)
				time.Sleep(40 * sec)
				s.startController(i)
			}},
			{18 * sec, crashFollower(6 * sec)},
			{50 * sec, crashControllers(1)},
		}},
		{"a holder of a third ends", []fault{{25 * sec, crashFollower(8 * sec)}}},
		{"workers cut while the leader changes, then all crash", []fault{
			{14 * sec, partitionWorkers(newRand(11), 2*scale, 18*sec)},
			{16 * sec, crashControllers(1)},
			{45 * sec, crashControllers(3)},
		}},
	})
}
