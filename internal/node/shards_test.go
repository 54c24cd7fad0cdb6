package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"vetchstream/internal/config"
)

// shared lets the controllers share every machine, quickly.
func shared(_ *config.Settings, tun *config.Tuning) {
	sh := &tun.Shares
	tun.PromiseMs = 2000
	sh.Enabled, sh.Least, sh.JoinS, sh.RestS, sh.PerS = true, 1, 1, 2, 200
}

// crashOther ends a controller that does not lead, and with it the holder of a
// share.
func crashOther(d time.Duration) func(*sim) {
	return func(s *sim) {
		i := (s.leader() + 1) % len(s.nodes)
		s.kill(i)
		time.Sleep(d)
		s.startNode(i)
	}
}

// cutOther cuts a controller that does not lead off from some others.
func cutOther(from func(other string) bool, d time.Duration) func(*sim) {
	return func(s *sim) {
		other := fmt.Sprintf("n%d", (s.leader()+1)%len(s.nodes))
		s.cutLinks("other", func(a, b string) bool { return a == other && from(b) })
		time.Sleep(d)
		s.cutLinks("other", nil)
	}
}

// muteOther holds what a controller that does not lead sends to the other
// controllers, and not what they send to it.
func muteOther(d time.Duration) func(*sim) {
	return func(s *sim) {
		other := fmt.Sprintf("n%d", (s.leader()+1)%len(s.nodes))
		s.net.PartitionOneWay(func(a, b string) bool { return a == other && isNode(b) })
		time.Sleep(d)
		s.net.PartitionOneWay(func(string, string) bool { return false })
	}
}

// spread checks that every controller has answered reports, one in that many of all
// at the least.
func spread(part int) func(*sim) {
	return func(s *sim) {
		all := 0
		for _, n := range s.HeartbeatsByController() {
			all += n
		}
		for _, c := range controllers {
			if n := s.HeartbeatsByController()[c.Member]; n*part < all {
				s.t.Errorf("%s has answered %d reports of %d", c.Member, n, all)
			}
		}
	}
}

// keeps checks that no task was killed by the lease of its machine.
func keeps(s *sim) {
	if n := s.TasksLost(); n > 0 {
		s.t.Errorf("%d tasks were killed by their lease", n)
	}
}

// answers checks that no worker went without an answer for longer than that.
func answers(within time.Duration) func(*sim) {
	return func(s *sim) {
		n, half, most99, longest := s.UnansweredQuantiles()
		s.t.Logf("%d workers without an answer: half %v, 99 %% %v, longest %v", n, half, most99, longest)
		if longest > within {
			s.t.Errorf("a worker went without an answer for %v", longest)
		}
		keeps(s)
	}
}

func isNode(h string) bool { return strings.HasPrefix(h, "n") }

// TestShares plays days on which the machines are shared and their holders fail.
func TestShares(t *testing.T) {
	sec := time.Second
	playDays(t, 1, shared, also{"quiet": spread(40), "a holder ends, is away, and ends again at once": keeps,
		"state service out for longer than the lease": keeps, "leader refused by the state service alone": keeps}, []day{
		{"quiet", nil},
		{"a holder ends, is away, and ends again at once", []fault{{14 * sec, crashOther(9 * sec)}, {35 * sec, crashOther(300 * time.Millisecond)}}},
		{"the leader ends in the middle of a move, then all", []fault{{13 * sec, crashOther(200 * time.Millisecond)}, {14 * sec, crash(1)}, {40 * sec, crash(3)}}},
		{"a holder cut from the controllers, held", []fault{{14 * sec, cutOther(isNode, 20*sec)}}},
		{"a holder that the others do not hear, though it hears them; delivered a minute later", []fault{{14 * sec, muteOther(60 * sec)}}},
		{"a holder ends each time that a job is cancelled", []fault{{12900 * time.Millisecond, crashOther(2 * sec)}, {21900 * time.Millisecond, crashOther(2 * sec)}, {30900 * time.Millisecond, crashOther(2 * sec)}}},
		{"a zone with machines of every holder cut while one comes back", []fault{{12 * sec, cutZone("a", 16*sec)}, {14 * sec, crashOther(6 * sec)}}},
		{"a holder cut from its workers alone, held", []fault{{14 * sec, cutOther(isWorker, 25*sec)}}},
		{"a holder stands still past its grant, then the leader", []fault{{14 * sec, func(s *sim) { s.still[(s.leader()+1)%len(s.nodes)].shut(5 * sec) }}, {30 * sec, freeze(1, 3500*time.Millisecond)}}},
		{"peers cut from each other, then the leader from the workers", []fault{{10 * sec, func(s *sim) {
			s.cutLinks("peers", func(a, b string) bool { return isNode(a) && isNode(b) })
			time.Sleep(15 * sec)
			s.cutLinks("peers", nil)
		}}, {40 * sec, cutLeader(isWorker, 15*sec)}}},
		{"state service out while machines move", []fault{{6 * sec, outage(8 * sec)}, {30 * sec, crashOther(4 * sec)}}},
		{"state service out for longer than the lease", []fault{{15 * sec, outage(30 * sec)}}},
		{"leader refused by the state service alone", []fault{{15 * sec, refuseLeader(20 * sec)}}},
		{"a sibling ends in an outage, then the leader", []fault{{14 * sec, outage(25 * sec)}, {20 * sec, crashOther(3 * sec)}, {30 * sec, crash(1)}}},
		{"all end in an outage", []fault{{14 * sec, outage(20 * sec)}, {17 * sec, crash(3)}}},
		{"a holder comes and goes every ten seconds", []fault{{10 * sec, crashOther(5 * sec)}, {20 * sec, crashOther(5 * sec)}, {30 * sec, crashOther(5 * sec)}, {40 * sec, crashOther(5 * sec)}}},
	})
}

// TestSharesAtSize plays days of several hundred machines whose only other holder
// ends, and whose leader does.
func TestSharesAtSize(t *testing.T) {
	const scale = 20
	sec := time.Second
	playDays(t, scale, shared, also{"a holder of a third ends": answers(6 * sec)}, []day{
		{"the only holder ends, then the leader", []fault{
			{3 * sec, func(s *sim) { i := (s.leader() + 2) % len(s.nodes); s.kill(i); time.Sleep(40 * sec); s.startNode(i) }},
			{18 * sec, crashOther(6 * sec)}, {50 * sec, crash(1)}}},
		{"a holder of a third ends", []fault{{25 * sec, crashOther(8 * sec)}}},
		{"workers cut while the leader changes, then all crash", []fault{
			{14 * sec, cutWorkers(rng(11), 2*scale, 18*sec)}, {16 * sec, crash(1)}, {45 * sec, crash(3)}}},
	})
}
