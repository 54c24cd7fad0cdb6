package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"vetchstream/internal/emulate"
	"vetchstream/internal/job"
)

// Scenarios in which faults coincide. A job counts as cancelled from the first answer of any
// controller that confirms the cancellation.

// TestStoreRefusalThenOutage makes the key-value store refuse the leader's requests only, so that
// another controller may become leader and confirm cancellations, and then be unavailable for
// longer than cancel_s.
func TestStoreRefusalThenOutage(t *testing.T) {
	sec := time.Second
	const outage = 32 * time.Second
	refusedAt := 16 * sec
	env := withCancelledJobs(defaultEnvironment(3, 1, withOutagePromises), 15*sec, 600*time.Millisecond)
	var scenarios []scenario
	for _, delayMs := range []time.Duration{2000, 3800, 6000} {
		name := fmt.Sprintf("the outage begins %d ms after the refusal", delayMs)
		scenarios = append(scenarios, scenario{name, overlapping(fault{refusedAt, refuseLeaderThenOutage(delayMs*time.Millisecond, outage)})})
	}
	runScenarios(t, env, nil, scenarios)
	// The new leader receives the first heartbeats of some workers during the outage only. These
	// workers run tasks of jobs that it has already ended.
	withLateHeartbeats := func(inject func(*simulation)) []fault {
		return overlapping(fault{14 * sec, refuseLeaderThenOutage(7*sec, outage)}, fault{15500 * time.Millisecond, inject})
	}
	runScenarios(t, env, nil, []scenario{
		{"eight workers hang until the outage begins", withLateHeartbeats(hangWorkers(newRand(70), 8, 7*sec))},
		{"a zone is partitioned until the outage begins", withLateHeartbeats(partitionZone("a", 7*sec))},
		{"all controllers restart one after the other during the outage", overlapping(
			fault{refusedAt, refuseLeaderThenOutage(5*sec, outage)},
			fault{refusedAt + 9*sec, func(s *simulation) {
				for i := range 3 {
					restartController(i, 300*time.Millisecond)(s)
				}
			}},
		)},
	})
}

// TestStoreRefusalThenOutageFiveControllers repeats the fault with five controllers and sharding,
// also with workers that receive nothing.
func TestStoreRefusalThenOutageFiveControllers(t *testing.T) {
	sec := time.Second
	runScenarios(t, withCancelledJobs(defaultEnvironment(5, 1, withSharding), 15*sec, 600*time.Millisecond), nil, []scenario{
		{"followers hold shards during the outage", overlapping(fault{16 * sec, refuseLeaderThenOutage(5*sec, 32*sec)})},
		{"four workers receive nothing during the refusal", overlapping(
			fault{16 * sec, refuseLeaderThenOutage(5*sec, 32*sec)},
			fault{16 * sec, blockAnswers(71, 4, anyController, 15*sec)},
		)},
	})
}

// failoverAndRestart makes the leadership change twice, then crashes all controllers and restarts
// one of them 400 ms later and the others after another six seconds.
func failoverAndRestart(s *simulation) {
	const refusal = 4 * time.Second
	refuseLeaderAtStore(refusal)(s)
	refuseLeaderAtStore(refusal)(s)
	for i := range s.controllers {
		s.killController(i)
	}
	time.Sleep(400 * time.Millisecond)
	s.startController(1)
	time.Sleep(6 * time.Second)
	s.startController(0)
	s.startController(2)
}

// slowStoreThenOutage makes the key-value store answer slowly for nine seconds and then not at
// all for 28 seconds.
func slowStoreThenOutage(s *simulation) {
	s.store.SetLatency(900 * time.Millisecond)
	time.Sleep(9 * time.Second)
	s.store.SetLatency(0)
	storeOutage(28 * time.Second)(s)
}

// withSmallJobs adds jobs of two and three tasks that end several seconds apart.
func withSmallJobs(env environment) environment {
	return env.withJobs(func(_ *simulation, add submitAt) {
		for i := range 12 {
			spec := &job.Spec{
				Team:         "blue",
				Class:        "few",
				ShapeName:    "array",
				PriorityName: "standard",
				Tasks:        2 + i%2,
				CPUs:         1,
				MemGB:        1,
				EstimateS:    float64(4 + 3*i),
				Spot:         true,
			}
			add(spec, time.Duration(4+2*i)*time.Second, 0)
		}
	})
}

// TestCoincidingFaults injects pairs of coinciding faults. The number in a scenario's name
// identifies the pair.
func TestCoincidingFaults(t *testing.T) {
	sec := time.Second
	runScenarios(t, withCancelledJobs(defaultEnvironment(3, 1, withOutagePromises), 12*sec, sec), nil, []scenario{
		{"1: leadership changes twice, all controllers crash, one restarts immediately", overlapping(fault{12 * sec, failoverAndRestart})},
		{"2: old heartbeats follow newer ones, machines are lost, the leader crashes", overlapping(
			fault{8 * sec, replayHeartbeats(12*sec, 9*sec)},
			fault{14 * sec, killMachines(newRand(72), 2)},
			fault{25 * sec, crashControllers(1)},
		)},
		{"3: the leader crashes, some workers hang, others receive nothing from the next leader", overlapping(
			fault{13 * sec, hangWorkers(newRand(73), 3, 8*sec)},
			fault{14 * sec, crashControllers(1)},
			fault{14500 * time.Millisecond, blockAnswers(74, 3, anyController, 8*sec)},
		)},
		{"4: the leader reaches only workers and users while jobs are cancelled", overlapping(
			fault{12 * sec, isolateController(0, 18*sec)},
		)},
		{"6: the store is slow, then unavailable", overlapping(fault{11 * sec, slowStoreThenOutage})},
		{"8: transactions are late, the leader crashes twice", overlapping(
			fault{5 * sec, lateTransactions(75, 0.25, 35*sec)},
			fault{16 * sec, crashControllers(1)},
			fault{30 * sec, crashControllers(1)},
		)},
	})
	runScenarios(t, withSmallJobs(defaultEnvironment(3, 1, withOutagePromises)), nil, []scenario{
		{"7: jobs of two and three tasks, transactions are late, the leader changes three times", overlapping(
			fault{5 * sec, lateTransactions(77, 0.2, 40*sec)},
			fault{12 * sec, restartController(0, 300*time.Millisecond)},
			fault{21 * sec, crashControllers(1)},
			fault{33 * sec, refuseLeaderAtStore(6 * sec)},
		)},
	})
}

// TestCoincidingFaultsFiveControllers combines several of these pairs on five controllers with
// sharding.
func TestCoincidingFaultsFiveControllers(t *testing.T) {
	sec := time.Second
	runScenarios(t, withCancelledJobs(defaultEnvironment(5, 1, withSharding), 12*sec, sec), nil, []scenario{
		{"4 and 5: a follower is isolated, the leader pauses", overlapping(
			fault{12 * sec, isolateController(1, 18*sec)},
			fault{15 * sec, pauseControllers(1, 4*sec)},
		)},
		{"1 and 8: transactions are late, random controllers restart immediately", overlapping(
			fault{6 * sec, lateTransactions(78, 0.2, 30*sec)},
			fault{10 * sec, restartRepeatedly(79, 8)},
		)},
	})
}

// TestCoincidingFaultsStatusProbes injects further coinciding faults. In most scenarios users
// query all controllers within milliseconds of each answer.
func TestCoincidingFaultsStatusProbes(t *testing.T) {
	sec := time.Second
	runScenarios(t, withLongJobs(defaultEnvironment(3, 1, withOutagePromises)), nil, []scenario{
		{"users send status probes and invalid requests, the leader crashes", overlapping(
			fault{0, probeAfterAnswers(70 * sec)},
			fault{5 * sec, invalidRequests(80, 50*sec)},
			fault{25 * sec, crashControllers(1)},
		)},
		{"answers to transactions are lost, the leader crashes", overlapping(
			fault{0, probeAfterAnswers(70 * sec)},
			fault{4 * sec, lostAnswers(81, 0.2, 45*sec)},
			fault{18 * sec, crashControllers(1)},
		)},
		{"answers to transactions are lost, controllers are partitioned from each other", overlapping(
			fault{0, probeAfterAnswers(70 * sec)},
			fault{4 * sec, partitionControllers(50 * sec)},
			fault{5 * sec, lostAnswers(103, 0.5, 45*sec)},
			fault{9 * sec, submissionBurst(80)},
			fault{16 * sec, cancelRunningJobs(104, 8, 0, 15*sec)},
		)},
		{"jobs are cancelled and their workers hang as the leader crashes", overlapping(
			fault{0, probeAfterAnswers(70 * sec)},
			fault{16 * sec, cancelRunningJobs(82, 12, 8*sec, 12*sec)},
			fault{16100 * time.Millisecond, crashControllers(1)},
		)},
		{"jobs are cancelled as the store refuses the leader, a second before an outage", overlapping(
			fault{16 * sec, cancelRunningJobs(83, 12, 7*sec, 60*sec)},
			fault{16 * sec, refuseLeaderThenOutage(sec, 30*sec)},
		)},
		{"workers cannot connect to controllers, jobs are cancelled, the leader crashes", overlapping(
			fault{0, probeAfterAnswers(70 * sec)},
			fault{13 * sec, blockWorkerConnections(84, 3, 30*sec)},
			fault{16 * sec, cancelRunningJobs(85, 6, 0, 12*sec)},
			fault{18 * sec, crashControllers(1)},
		)},
		{"old heartbeats reach all controllers as a new leader takes over", overlapping(
			fault{8 * sec, replayToNextLeader(8 * sec)},
			fault{15 * sec, cancelRunningJobs(86, 6, 3*sec, 12*sec)},
			fault{20 * sec, crashControllers(1)},
		)},
	})
	runScenarios(t, withLongJobs(defaultEnvironment(5, 1, withSharding)), nil, []scenario{
		{"jobs are cancelled while a follower's shard moves", overlapping(
			fault{0, probeAfterAnswers(70 * sec)},
			fault{15 * sec, crashFollower(3 * sec)},
			fault{15200 * time.Millisecond, cancelRunningJobs(87, 8, 5*sec, 15*sec)},
			fault{30 * sec, restartRepeatedly(88, 4)},
		)},
	})
}

// TestJobsEndDuringOutages makes jobs end or get cancelled while controllers, a zone or network
// links are unavailable.
func TestJobsEndDuringOutages(t *testing.T) {
	sec := time.Second
	runScenarios(t, withLongJobs(defaultEnvironment(3, 1, withOutagePromises)), nil, []scenario{
		{"jobs are cancelled as their last task ends", overlapping(fault{0, probeAfterAnswers(70 * sec)}, fault{3 * sec, cancelAtCompletion(89, 60*sec)})},
		{"all controllers are stopped for longer than the lease", overlapping(
			fault{16 * sec, stopAllControllers(14 * sec)},
			fault{15500 * time.Millisecond, cancelRunningJobs(90, 4, 0, 45*sec)},
		)},
		{"a zone and the leader are partitioned for longer than the lease", overlapping(
			fault{15 * sec, partitionZoneWithController("a", 0, 18*sec)},
			fault{20 * sec, cancelRunningJobs(91, 4, 0, 15*sec)},
		)},
		{"a zone and a follower are partitioned for longer than the lease, the leader crashes", overlapping(
			fault{15 * sec, partitionZoneWithController("a", 1, 18*sec)},
			fault{17 * sec, crashControllers(1)},
		)},
		{"commands are delayed for seconds while jobs are cancelled", overlapping(
			fault{10 * sec, blockAnswersRepeatedly(92, 8)},
			fault{20 * sec, cancelRunningJobs(93, 6, 4*sec, 10*sec)},
		)},
		{"the leader changes ten times in two minutes", overlapping(
			fault{10 * sec, changeLeaderTenTimes},
			fault{40 * sec, cancelRunningJobs(94, 3, 3*sec, 30*sec)},
		)},
		{"controllers restart during an outage of the store", overlapping(
			fault{14 * sec, storeOutage(14 * sec)},
			fault{15 * sec, func(s *simulation) {
				for i := range 5 {
					restartController(i%3, 300*time.Millisecond)(s)
					time.Sleep(2 * sec)
				}
			}},
			fault{32 * sec, restartRepeatedly(95, 5)},
		)},
	})
}

// withZoneBoundJobs adds jobs whose tasks must all run in one zone, either a given one or one that
// the scheduler chooses.
func withZoneBoundJobs(env environment) environment {
	return env.withJobs(func(_ *simulation, add submitAt) {
		for i := range 8 {
			spec := &job.Spec{
				Team:         "blue",
				Class:        "bound",
				ShapeName:    "array",
				PriorityName: "standard",
				Tasks:        6,
				CPUs:         1,
				MemGB:        1,
				EstimateS:    12,
				Spot:         true,
				OneZone:      i%2 == 0,
			}
			if !spec.OneZone {
				spec.Zone = []string{"a", "b"}[i/2%2]
			}
			if i%3 == 1 {
				spec.ShapeName = "ensemble"
				spec.Tasks = 2
			}
			add(spec, time.Duration(4+3*i)*time.Second, 0)
		}
	})
}

// TestFastBootingMachines rents machines that boot within two seconds, for jobs that are bound to
// one zone, while transactions are late, the leader crashes or a zone loses its machines.
func TestFastBootingMachines(t *testing.T) {
	sec := time.Second
	env := withZoneBoundJobs(defaultEnvironment(3, 1, withOutagePromises))
	env.editCluster = func(c *emulate.Config) {
		c.Types = slices.Clone(c.Types)
		for i := range c.Types {
			c.Types[i].BootS = 1
		}
	}
	runScenarios(t, env, nil, []scenario{
		{"transactions are late, the leader crashes twice", overlapping(
			fault{3 * sec, lateTransactions(101, 0.3, 40*sec)},
			fault{11 * sec, crashControllers(1)},
			fault{24 * sec, crashControllers(1)},
		)},
		{"one zone loses all machines, then the leader crashes, then another zone does", overlapping(
			fault{12 * sec, killZone("a")},
			fault{14 * sec, crashControllers(1)},
			fault{26 * sec, killZone("b")},
		)},
		{"more tasks than capacity on a slow network, the leader crashes", overlapping(
			fault{5 * sec, slowNetwork(300*time.Millisecond, 50*sec)},
			fault{6 * sec, jobStream(30 * sec)},
			fault{20 * sec, crashControllers(1)},
		)},
	})
}

// TestCoincidingFaultsLargeFleet injects some of these faults with up to 240 machines.
func TestCoincidingFaultsLargeFleet(t *testing.T) {
	const scale = 20
	sec := time.Second
	runScenarios(t, withLongJobs(defaultEnvironment(3, scale, withOutagePromises)), nil, []scenario{
		{"jobs are cancelled and their workers hang as the leader crashes, other workers cannot connect", overlapping(
			fault{14 * sec, blockWorkerConnections(105, 2*scale, 25*sec)},
			fault{16 * sec, cancelRunningJobs(106, 12, 8*sec, 15*sec)},
			fault{16100 * time.Millisecond, crashControllers(1)},
			fault{30 * sec, lateTransactions(107, 0.15, 20*sec)},
		)},
	})
	runScenarios(t, withLongJobs(defaultEnvironment(5, scale, withSharding)), nil, []scenario{
		{"five controllers: jobs are cancelled at a refusal before an outage, heartbeats are replayed to the next leader", overlapping(
			fault{12 * sec, replayToNextLeader(6 * sec)},
			fault{18 * sec, cancelRunningJobs(108, 12, 6*sec, 60*sec)},
			fault{18 * sec, refuseLeaderThenOutage(4*sec, 30*sec)},
		)},
	})
}

// TestRandomFaults injects faults drawn from a seed, with three and with five controllers.
func TestRandomFaults(t *testing.T) {
	environments := []environment{
		withLongJobs(defaultEnvironment(3, 1, withOutagePromises)),
		withLongJobs(defaultEnvironment(5, 1, withSharding)),
	}
	for _, env := range environments {
		env.randomized = true
		var scenarios []scenario
		for seed := range uint64(4) {
			name := fmt.Sprintf("seed %d, %d controllers", seed, env.controllers)
			scenarios = append(scenarios, scenario{name, randomFaults(seed + 100*uint64(env.controllers))})
		}
		runScenarios(t, env, nil, scenarios)
	}
}
