package node

import (
	"fmt"
	"testing"
	"time"
)

// TestUnansweredHeartbeats: machines whose heartbeats arrive and that receive nothing.
func TestUnansweredHeartbeats(t *testing.T) {
	sec := time.Second
	days := []scenario{
		{"a machine, for longer than the lease", []fault{{14 * sec, blockAnswers(22, 1, anyController, 40*sec)}}},
		{"all of them, while jobs are cancelled", []fault{{12 * sec, blockAnswers(23, 100, anyController, 25*sec)}}},
		{"toward the leader alone", []fault{{14 * sec, blockAnswersFrom(24, 2, 0, 30*sec)}}},
		{"while the leader changes", []fault{
			{14 * sec, blockAnswers(25, 2, anyController, 30*sec)},
			{16 * sec, crashControllers(1)},
		}},
	}
	runDefault(t, 1, nil, nil, days)
	runScenarios(t, defaultEnvironment(5, 1, withSharding), nil, []scenario{
		{"toward a holder, five controllers", []fault{{14 * sec, blockAnswersFrom(26, 100, 1, 30*sec)}}},
		{"toward all, while a holder ends, five controllers", []fault{
			{14 * sec, blockAnswers(27, 2, anyController, 30*sec)},
			{16 * sec, crashFollower(4 * sec)},
		}},
	})
}

// TestReplayedHeartbeats: copies of heartbeats that arrive late.
func TestReplayedHeartbeats(t *testing.T) {
	sec := time.Second
	days := []scenario{
		{"well over a lease later, at the next leader", []fault{
			{10 * sec, replayHeartbeats(15*sec, 25*sec)},
			{30 * sec, crashControllers(1)},
		}},
		{"of machines that were returned", []fault{
			{10 * sec, replayHeartbeats(15*sec, 40*sec)},
			{26 * sec, killMachines(newRand(32), 1)},
			{62 * sec, crashControllers(3)},
		}},
	}
	runDefault(t, 1, nil, nil, days)
	runScenarios(t, defaultEnvironment(5, 1, withSharding), nil, []scenario{
		{"at other holders, five controllers", []fault{
			{10 * sec, replayHeartbeats(15*sec, 8*sec)},
			{30 * sec, crashFollower(2 * sec)},
		}},
	})
}

// TestIsolatedController: a controller that reaches neither the key-value store nor the other controllers,
// and still reaches its workers.
func TestIsolatedController(t *testing.T) {
	sec := time.Second
	runScenarios(t, defaultEnvironment(5, 1, withSharding), nil, []scenario{
		{"the leader, for 5 s and for the lease of the lead", []fault{
			{14 * sec, isolateController(0, 5*sec)},
			{35 * sec, isolateController(0, 3*sec)},
		}},
		{"the leader, for the workers' lease and longer", []fault{
			{14 * sec, isolateController(0, 10*sec)},
			{40 * sec, isolateController(0, 30*sec)},
		}},
		{"a holder, for longer than the workers' lease", []fault{{14 * sec, isolateController(1, 25*sec)}}},
	})
	runDefault(t, 1, nil, nil, []scenario{
		{"the leader of three, without shares", []fault{{14 * sec, isolateController(0, 25*sec)}}},
	})
}

// TestImmediateRestarts: processes and machines that are back within a fraction of a second.
func TestImmediateRestarts(t *testing.T) {
	sec := time.Second
	runDefault(t, 1, nil, nil, []scenario{
		{"the leader, again and again", []fault{{12 * sec, func(s *simulation) {
			for i := range 8 {
				restartController(0, time.Duration(50+60*i)*time.Millisecond)(s)
				time.Sleep(time.Duration(300+700*i) * time.Millisecond)
			}
		}}}},
		{"workers, and the leader", []fault{
			{14 * sec, rebootWorkers(43, 100)},
			{14*sec + 300*time.Millisecond, restartController(0, 200*time.Millisecond)},
		}},
	})
	runScenarios(t, defaultEnvironment(5, 1, withSharding), nil, []scenario{
		{"any of five, again and again", []fault{{10 * sec, restartRepeatedly(44, 12)}}},
		{"two of five together, twice", []fault{{14 * sec, crashControllers(2)}, {30 * sec, func(s *simulation) {
			go restartController(0, 100*time.Millisecond)(s)
			restartController(1, 400*time.Millisecond)(s)
		}}}},
	})
}

// TestFiveControllers: several of five controllers fail.
func TestFiveControllers(t *testing.T) {
	sec := time.Second
	runScenarios(t, defaultEnvironment(5, 1, withSharding), nil, []scenario{
		{"two end together, then all", []fault{{14 * sec, crashControllers(2)}, {40 * sec, crashControllers(5)}}},
		{"three of them cut from everything", []fault{{14 * sec, partitionThreeControllers(20 * sec)}}},
		{"state service out, one ends in it", []fault{{14 * sec, storeOutage(25 * sec)}, {20 * sec, crashFollower(3 * sec)}}},
	})
}

// TestConnectivityFaultsLargeFleet: such scenarios with up to 240 machines.
func TestConnectivityFaultsLargeFleet(t *testing.T) {
	const scale = 20
	sec := time.Second
	runScenarios(t, defaultEnvironment(5, scale, withSharding), nil, []scenario{
		{"a part hears nothing over a takeover, copies by the hundred", []fault{
			{14 * sec, blockAnswers(61, 2*scale, anyController, 20*sec)},
			{18 * sec, inSequence(restartController(0, 300*time.Millisecond), replayHeartbeats(10*sec, 8*sec))},
		}},
	})
}

// TestRandomFaultPairs draws two overlapping faults, with an outage or a crash beside them.
func TestRandomFaultPairs(t *testing.T) {
	var scenarios []scenario
	for seed := range uint64(4) {
		scenarios = append(scenarios, scenario{fmt.Sprintf("pair %d", seed), []fault{{12 * time.Second, randomFaultPair(seed)}}})
	}
	runDefault(t, 1, nil, nil, scenarios[:2])
	runScenarios(t, defaultEnvironment(5, 1, withSharding), nil, scenarios[2:])
}

// randomFaultPair draws two faults and a third one beside them, which begin three seconds after each
// other.
func randomFaultPair(seed uint64) func(*simulation) {
	r := newRand(500 + seed)
	sec := time.Second
	draw := []func() func(*simulation){
		func() func(*simulation) { return blockAnswers(seed, 2, anyController, time.Duration(6+r.IntN(20))*sec) },
		func() func(*simulation) { return replayHeartbeats(8*sec, time.Duration(1+r.IntN(20))*sec) },
		func() func(*simulation) { return isolateController(r.IntN(2), time.Duration(3+r.IntN(20))*sec) },
		func() func(*simulation) { return restartRepeatedly(seed, 4) },
	}
	// The order of the draws is part of the seeds.
	beside := []func(*simulation){
		storeOutage(time.Duration(3+r.IntN(15)) * sec),
		crashControllers(1 + r.IntN(3)),
		rebootWorkers(seed, 2),
	}
	first := draw[seed%4]()
	second := draw[(seed+1+seed/4)%4]()
	// Of three faults of a scenario each ends before the next one begins; these have to overlap.
	return overlapping(
		fault{0, first},
		fault{3 * sec, second},
		fault{6 * sec, beside[seed%3]},
	)[0].inject
}
