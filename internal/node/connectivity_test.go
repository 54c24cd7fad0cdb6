package node

import (
	"fmt"
	"testing"
	"time"
)

// TestUnansweredHeartbeats injects one-way partitions: the workers' heartbeats arrive, but nothing
// that controllers send reaches the workers.
func TestUnansweredHeartbeats(t *testing.T) {
	sec := time.Second
	scenarios := []scenario{
		{"one worker receives nothing for longer than its lease", []fault{{14 * sec, blockAnswers(22, 1, anyController, 40*sec)}}},
		{"all workers receive nothing while jobs are cancelled", []fault{{12 * sec, blockAnswers(23, 100, anyController, 25*sec)}}},
		{"two workers receive nothing from the leader", []fault{{14 * sec, blockAnswersFrom(24, 2, 0, 30*sec)}}},
		{"two workers receive nothing during a change of leader", []fault{
			{14 * sec, blockAnswers(25, 2, anyController, 30*sec)},
			{16 * sec, crashControllers(1)},
		}},
	}
	runDefault(t, 1, nil, nil, scenarios)
	runScenarios(t, defaultEnvironment(5, 1, withSharding), nil, []scenario{
		{"five controllers: no worker receives anything from one follower", []fault{{14 * sec, blockAnswersFrom(26, 100, 1, 30*sec)}}},
		{"five controllers: two workers receive nothing while a follower restarts", []fault{
			{14 * sec, blockAnswers(27, 2, anyController, 30*sec)},
			{16 * sec, crashFollower(4 * sec)},
		}},
	})
}

// TestReplayedHeartbeats delivers copies of heartbeats long after the originals.
func TestReplayedHeartbeats(t *testing.T) {
	sec := time.Second
	scenarios := []scenario{
		{"copies reach the next leader well over a lease later", []fault{
			{10 * sec, replayHeartbeats(15*sec, 25*sec)},
			{30 * sec, crashControllers(1)},
		}},
		{"copies come from machines that have been returned", []fault{
			{10 * sec, replayHeartbeats(15*sec, 40*sec)},
			{26 * sec, killMachines(newRand(32), 1)},
			{62 * sec, crashControllers(3)},
		}},
	}
	runDefault(t, 1, nil, nil, scenarios)
	runScenarios(t, defaultEnvironment(5, 1, withSharding), nil, []scenario{
		{"five controllers: copies arrive while a follower restarts", []fault{
			{10 * sec, replayHeartbeats(15*sec, 8*sec)},
			{30 * sec, crashFollower(2 * sec)},
		}},
	})
}

// TestIsolatedController partitions a controller from the key-value store and from the other
// controllers, but not from its workers.
func TestIsolatedController(t *testing.T) {
	sec := time.Second
	runScenarios(t, defaultEnvironment(5, 1, withSharding), nil, []scenario{
		{"the leader is isolated for 5 s, later for 3 s", []fault{
			{14 * sec, isolateController(0, 5*sec)},
			{35 * sec, isolateController(0, 3*sec)},
		}},
		{"the leader is isolated for the workers' lease, later for longer", []fault{
			{14 * sec, isolateController(0, 10*sec)},
			{40 * sec, isolateController(0, 30*sec)},
		}},
		{"a follower is isolated for longer than the workers' lease", []fault{{14 * sec, isolateController(1, 25*sec)}}},
	})
	runDefault(t, 1, nil, nil, []scenario{
		{"without sharding: the leader of three is isolated for 25 s", []fault{{14 * sec, isolateController(0, 25*sec)}}},
	})
}

// TestImmediateRestarts restarts controllers and workers within a fraction of a second.
func TestImmediateRestarts(t *testing.T) {
	sec := time.Second
	runDefault(t, 1, nil, nil, []scenario{
		{"the leader restarts eight times", []fault{{12 * sec, func(s *simulation) {
			for i := range 8 {
				restartController(0, time.Duration(50+60*i)*time.Millisecond)(s)
				time.Sleep(time.Duration(300+700*i) * time.Millisecond)
			}
		}}}},
		{"all workers restart, then the leader", []fault{
			{14 * sec, rebootWorkers(43, 100)},
			{14*sec + 300*time.Millisecond, restartController(0, 200*time.Millisecond)},
		}},
	})
	runScenarios(t, defaultEnvironment(5, 1, withSharding), nil, []scenario{
		{"random ones of five controllers restart twelve times", []fault{{10 * sec, restartRepeatedly(44, 12)}}},
		{"two of five controllers crash together, then two restart together", []fault{{14 * sec, crashControllers(2)}, {30 * sec, func(s *simulation) {
			go restartController(0, 100*time.Millisecond)(s)
			restartController(1, 400*time.Millisecond)(s)
		}}}},
	})
}

// TestFiveControllers injects faults in several of five controllers.
func TestFiveControllers(t *testing.T) {
	sec := time.Second
	runScenarios(t, defaultEnvironment(5, 1, withSharding), nil, []scenario{
		{"two controllers crash together, then all five", []fault{{14 * sec, crashControllers(2)}, {40 * sec, crashControllers(5)}}},
		{"three controllers are partitioned from everything else", []fault{{14 * sec, partitionThreeControllers(20 * sec)}}},
		{"a follower crashes during an outage of the store", []fault{{14 * sec, storeOutage(25 * sec)}, {20 * sec, crashFollower(3 * sec)}}},
	})
}

// TestConnectivityFaultsLargeFleet combines connectivity faults on up to 240 machines.
func TestConnectivityFaultsLargeFleet(t *testing.T) {
	const scale = 20
	sec := time.Second
	runScenarios(t, defaultEnvironment(5, scale, withSharding), nil, []scenario{
		{"40 workers receive nothing during a takeover, then heartbeats are replayed", []fault{
			{14 * sec, blockAnswers(61, 2*scale, anyController, 20*sec)},
			{18 * sec, inSequence(restartController(0, 300*time.Millisecond), replayHeartbeats(10*sec, 8*sec))},
		}},
	})
}

// TestRandomFaultPairs injects two overlapping random faults together with an outage, a crash or
// restarting workers.
func TestRandomFaultPairs(t *testing.T) {
	var scenarios []scenario
	for seed := range uint64(4) {
		scenarios = append(scenarios, scenario{fmt.Sprintf("pair %d", seed), []fault{{12 * time.Second, randomFaultPair(seed)}}})
	}
	runDefault(t, 1, nil, nil, scenarios[:2])
	runScenarios(t, defaultEnvironment(5, 1, withSharding), nil, scenarios[2:])
}

// randomFaultPair draws two connectivity faults and a third fault. They start three seconds
// apart.
func randomFaultPair(seed uint64) func(*simulation) {
	random := newRand(500 + seed)
	sec := time.Second
	connectivityFaults := []func() func(*simulation){
		func() func(*simulation) {
			return blockAnswers(seed, 2, anyController, time.Duration(6+random.IntN(20))*sec)
		},
		func() func(*simulation) { return replayHeartbeats(8*sec, time.Duration(1+random.IntN(20))*sec) },
		func() func(*simulation) {
			return isolateController(random.IntN(2), time.Duration(3+random.IntN(20))*sec)
		},
		func() func(*simulation) { return restartRepeatedly(seed, 4) },
	}
	// Reordering the draws would change the scenario of every seed.
	additional := []func(*simulation){
		storeOutage(time.Duration(3+random.IntN(15)) * sec),
		crashControllers(1 + random.IntN(3)),
		rebootWorkers(seed, 2),
	}
	first := connectivityFaults[seed%4]()
	second := connectivityFaults[(seed+1+seed/4)%4]()
	// A scenario with three separate faults waits for each to end before the next one starts, so
	// these are combined to overlap.
	return overlapping(
		fault{0, first},
		fault{3 * sec, second},
		fault{6 * sec, additional[seed%3]},
	)[0].inject
}
