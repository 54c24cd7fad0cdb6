package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"vetchstream/internal/config"
)

// withSharding lets the controllers share every machine, quickly.
func withSharding(_ *config.Settings, tun *config.Tuning) {
	sh := &tun.Shares
	tun.PromiseMs = 2000
	sh.Enabled, sh.Least, sh.JoinS, sh.RestS, sh.PerS = true, 1, 1, 2, 200
}

// crashFollower ends a controller that does not lead, and with it the holder of a
// share.
func crashFollower(d time.Duration) func(*simulation) {
	return func(s *simulation) {
		i := (s.leader() + 1) % len(s.controllers)
		s.killController(i)
		time.Sleep(d)
		s.startController(i)
	}
}

// partitionFollower cuts a controller that does not lead off from some others.
func partitionFollower(from func(other string) bool, d time.Duration) func(*simulation) {
	return func(s *simulation) {
		other := fmt.Sprintf("n%d", (s.leader()+1)%len(s.controllers))
		s.setPartition("other", func(a, b string) bool { return a == other && from(b) })
		time.Sleep(d)
		s.setPartition("other", nil)
	}
}

// blockFollower holds what a controller that does not lead sends to the other
// controllers, and not what they send to it.
func blockFollower(d time.Duration) func(*simulation) {
	return func(s *simulation) {
		other := fmt.Sprintf("n%d", (s.leader()+1)%len(s.controllers))
		s.net.PartitionOneWay(func(a, b string) bool { return a == other && isController(b) })
		time.Sleep(d)
		s.net.PartitionOneWay(func(string, string) bool { return false })
	}
}

// checkHeartbeatSpread checks that every controller has answered reports, one in that many of all
// at the least.
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

// checkNoTaskLost checks that no task was killed by the lease of its machine.
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

func isController(h string) bool { return strings.HasPrefix(h, "n") }

// TestShares plays days on which the machines are shared and their holders fail.
func TestShares(t *testing.T) {
	sec := time.Second
	runDefault(t, 1, withSharding, finalChecks{"quiet": checkHeartbeatSpread(40), "a holder ends, is away, and ends again at once": checkNoTaskLost,
		"state service out for longer than the lease": checkNoTaskLost, "leader refused by the state service alone": checkNoTaskLost}, []scenario{
		{"quiet", nil},
		{"a holder ends, is away, and ends again at once", []fault{{14 * sec, crashFollower(9 * sec)}, {35 * sec, crashFollower(300 * time.Millisecond)}}},
		{"the leader ends in the middle of a move, then all", []fault{{13 * sec, crashFollower(200 * time.Millisecond)}, {14 * sec, crashControllers(1)}, {40 * sec, crashControllers(3)}}},
		{"a holder cut from the controllers, held", []fault{{14 * sec, partitionFollower(isController, 20*sec)}}},
		{"a holder that the others do not hear, though it hears them; delivered a minute later", []fault{{14 * sec, blockFollower(60 * sec)}}},
		{"a holder ends each time that a job is cancelled", []fault{{12900 * time.Millisecond, crashFollower(2 * sec)}, {21900 * time.Millisecond, crashFollower(2 * sec)}, {30900 * time.Millisecond, crashFollower(2 * sec)}}},
		{"a zone with machines of every holder cut while one comes back", []fault{{12 * sec, partitionZone("a", 16*sec)}, {14 * sec, crashFollower(6 * sec)}}},
		{"a holder cut from its workers alone, held", []fault{{14 * sec, partitionFollower(isWorker, 25*sec)}}},
		{"a holder stands still past its grant, then the leader", []fault{{14 * sec, func(s *simulation) { s.pauses[(s.leader()+1)%len(s.controllers)].pause(5 * sec) }}, {30 * sec, pauseControllers(1, 3500*time.Millisecond)}}},
		{"peers cut from each other, then the leader from the workers", []fault{{10 * sec, func(s *simulation) {
			s.setPartition("peers", func(a, b string) bool { return isController(a) && isController(b) })
			time.Sleep(15 * sec)
			s.setPartition("peers", nil)
		}}, {40 * sec, partitionLeader(isWorker, 15*sec)}}},
		{"state service out while machines move", []fault{{6 * sec, storeOutage(8 * sec)}, {30 * sec, crashFollower(4 * sec)}}},
		{"state service out for longer than the lease", []fault{{15 * sec, storeOutage(30 * sec)}}},
		{"leader refused by the state service alone", []fault{{15 * sec, refuseLeaderAtStore(20 * sec)}}},
		{"a sibling ends in an outage, then the leader", []fault{{14 * sec, storeOutage(25 * sec)}, {20 * sec, crashFollower(3 * sec)}, {30 * sec, crashControllers(1)}}},
		{"all end in an outage", []fault{{14 * sec, storeOutage(20 * sec)}, {17 * sec, crashControllers(3)}}},
		{"a holder comes and goes every ten seconds", []fault{{10 * sec, crashFollower(5 * sec)}, {20 * sec, crashFollower(5 * sec)}, {30 * sec, crashFollower(5 * sec)}, {40 * sec, crashFollower(5 * sec)}}},
	})
}

// TestSharesAtSize plays days of several hundred machines whose only other holder
// ends, and whose leader does.
func TestSharesAtSize(t *testing.T) {
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
			{18 * sec, crashFollower(6 * sec)}, {50 * sec, crashControllers(1)}}},
		{"a holder of a third ends", []fault{{25 * sec, crashFollower(8 * sec)}}},
		{"workers cut while the leader changes, then all crash", []fault{
			{14 * sec, partitionWorkers(newRand(11), 2*scale, 18*sec)}, {16 * sec, crashControllers(1)}, {45 * sec, crashControllers(3)}}},
	})
}
