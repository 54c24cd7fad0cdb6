package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"vetchstream/internal/emulate"
	"vetchstream/internal/job"
)

// Scenarios in which two faults coincide. A cancellation counts from the first answer of any
// controller that confirms it.

// TestStoreRefusalThenOutage: the key-value store refuses the leader alone, another may become leader and confirm
// cancellations, and then there is an outage for longer than cancel_s.
func TestStoreRefusalThenOutage(t *testing.T) {
	sec := time.Second
	const out = 32 * time.Second
	at := 16 * sec
	env := withCancelledJobs(defaultEnvironment(3, 1, withOutagePromises), 15*sec, 600*time.Millisecond)
	var days []scenario
	for _, shift := range []time.Duration{2000, 3800, 6000} {
		name := fmt.Sprintf("the outage %d ms after the refusal", shift)
		days = append(days, scenario{name, overlapping(fault{at, refuseLeaderThenOutage(shift*time.Millisecond, out)})})
	}
	runScenarios(t, env, nil, days)
	// Machines whose heartbeats the new leader gets only in the outage, with tasks of jobs that
	// it has ended before.
	late := func(inject func(*simulation)) []fault {
		return overlapping(fault{14 * sec, refuseLeaderThenOutage(7*sec, out)}, fault{15500 * time.Millisecond, inject})
	}
	runScenarios(t, env, nil, []scenario{
		{"machines that hang until it", late(hangWorkers(newRand(70), 8, 7*sec))},
		{"a zone cut until it", late(partitionZone("a", 7*sec))},
		{"the new leader and the others begin anew in the outage", overlapping(
			fault{at, refuseLeaderThenOutage(5*sec, out)},
			fault{at + 9*sec, func(s *simulation) {
				for i := range 3 {
					restartController(i, 300*time.Millisecond)(s)
				}
			}},
		)},
	})
}

// TestStoreRefusalThenOutageFiveControllers is the same with five controllers that share the machines, and with machines
// that receive nothing.
func TestStoreRefusalThenOutageFiveControllers(t *testing.T) {
	sec := time.Second
	runScenarios(t, withCancelledJobs(defaultEnvironment(5, 1, withSharding), 15*sec, 600*time.Millisecond), nil, []scenario{
		{"a holder retains machines", overlapping(fault{16 * sec, refuseLeaderThenOutage(5*sec, 32*sec)})},
		{"machines that hear nothing", overlapping(
			fault{16 * sec, refuseLeaderThenOutage(5*sec, 32*sec)},
			fault{16 * sec, blockAnswers(71, 4, anyController, 15*sec)},
		)},
	})
}

// failoverAndRestart makes the leadership change to another controller and back, then stops
// all controllers, of which one is back at once.
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

// slowStoreThenOutage makes the key-value store slow, and then unavailable.
func slowStoreThenOutage(s *simulation) {
	s.store.SetLatency(900 * time.Millisecond)
	time.Sleep(9 * time.Second)
	s.store.SetLatency(0)
	storeOutage(28 * time.Second)(s)
}

// withSmallJobs adds jobs of two and three tasks that end far apart.
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

// TestCoincidingFaults: the other scenarios in which two faults coincide.
func TestCoincidingFaults(t *testing.T) {
	sec := time.Second
	runScenarios(t, withCancelledJobs(defaultEnvironment(3, 1, withOutagePromises), 12*sec, sec), nil, []scenario{
		{"1: hand-over and back, all end, one returns at once", overlapping(fault{12 * sec, failoverAndRestart})},
		{"2: old reports after newer ones, over a change of leader and a return", overlapping(
			fault{8 * sec, replayHeartbeats(12*sec, 9*sec)},
			fault{14 * sec, killMachines(newRand(72), 2)},
			fault{25 * sec, crashControllers(1)},
		)},
		{"3: the leader ends while machines with long tasks hang or do not hear the next", overlapping(
			fault{13 * sec, hangWorkers(newRand(73), 3, 8*sec)},
			fault{14 * sec, crashControllers(1)},
			fault{14500 * time.Millisecond, blockAnswers(74, 3, anyController, 8*sec)},
		)},
		{"4: the leader alone with workers and users while jobs are cancelled", overlapping(
			fault{12 * sec, isolateController(0, 18*sec)},
		)},
		{"6: the state service slow, then out", overlapping(fault{11 * sec, slowStoreThenOutage})},
		{"8: late transactions, and the leader ends twice", overlapping(
			fault{5 * sec, lateTransactions(75, 0.25, 35*sec)},
			fault{16 * sec, crashControllers(1)},
			fault{30 * sec, crashControllers(1)},
		)},
	})
	runScenarios(t, withSmallJobs(defaultEnvironment(3, 1, withOutagePromises)), nil, []scenario{
		{"7: jobs of two and three tasks over changes of leader, late transactions", overlapping(
			fault{5 * sec, lateTransactions(77, 0.2, 40*sec)},
			fault{12 * sec, restartController(0, 300*time.Millisecond)},
			fault{21 * sec, crashControllers(1)},
			fault{33 * sec, refuseLeaderAtStore(6 * sec)},
		)},
	})
}

// TestCoincidingFaultsFiveControllers: pairs of them with five controllers that share the machines.
func TestCoincidingFaultsFiveControllers(t *testing.T) {
	sec := time.Second
	runScenarios(t, withCancelledJobs(defaultEnvironment(5, 1, withSharding), 12*sec, sec), nil, []scenario{
		{"4 and 5: a holder alone, one stands still, five controllers", overlapping(
			fault{12 * sec, isolateController(1, 18*sec)},
			fault{15 * sec, pauseControllers(1, 4*sec)},
		)},
		{"1 and 8: late transactions while any of five comes back at once", overlapping(
			fault{6 * sec, lateTransactions(78, 0.2, 30*sec)},
			fault{10 * sec, restartRepeatedly(79, 8)},
		)},
	})
}

// TestCoincidingFaultsStatusProbes: more coinciding faults, while users ask all controllers after each answer.
func TestCoincidingFaultsStatusProbes(t *testing.T) {
	sec := time.Second
	runScenarios(t, withLongJobs(defaultEnvironment(3, 1, withOutagePromises)), nil, []scenario{
		{"close looks and odd requests", overlapping(
			fault{0, probeClosely(70 * sec)},
			fault{5 * sec, invalidRequests(80, 50*sec)},
			fault{25 * sec, crashControllers(1)},
		)},
		{"answers of transactions are lost, the leader ends", overlapping(
			fault{0, probeClosely(70 * sec)},
			fault{4 * sec, lostAnswers(81, 0.2, 45*sec)},
			fault{18 * sec, crashControllers(1)},
		)},
		{"answers are lost and controllers do not reach each other", overlapping(
			fault{0, probeClosely(70 * sec)},
			fault{4 * sec, partitionControllers(50 * sec)},
			fault{5 * sec, lostAnswers(103, 0.5, 45*sec)},
			fault{9 * sec, submissionBurst(80)},
			fault{16 * sec, cancelRunningJobs(104, 8, 0, 15*sec)},
		)},
		{"many called off as the leader ends, their machines hang", overlapping(
			fault{0, probeClosely(70 * sec)},
			fault{16 * sec, cancelRunningJobs(82, 12, 8*sec, 12*sec)},
			fault{16100 * time.Millisecond, crashControllers(1)},
		)},
		{"called off at the refusal, and out a second later", overlapping(
			fault{16 * sec, cancelRunningJobs(83, 12, 7*sec, 60*sec)},
			fault{16 * sec, refuseLeaderThenOutage(sec, 30*sec)},
		)},
		{"mute machines, called off, the leader ends", overlapping(
			fault{0, probeClosely(70 * sec)},
			fault{13 * sec, blockWorkerConnections(84, 3, 30*sec)},
			fault{16 * sec, cancelRunningJobs(85, 6, 0, 12*sec)},
			fault{18 * sec, crashControllers(1)},
		)},
		{"old reports reach all as a leader begins", overlapping(
			fault{8 * sec, replayToNextLeader(8 * sec)},
			fault{15 * sec, cancelRunningJobs(86, 6, 3*sec, 12*sec)},
			fault{20 * sec, crashControllers(1)},
		)},
	})
	runScenarios(t, withLongJobs(defaultEnvironment(5, 1, withSharding)), nil, []scenario{
		{"called off while the work of a controller changes hands", overlapping(
			fault{0, probeClosely(70 * sec)},
			fault{15 * sec, crashFollower(3 * sec)},
			fault{15200 * time.Millisecond, cancelRunningJobs(87, 8, 5*sec, 15*sec)},
			fault{30 * sec, restartRepeatedly(88, 4)},
		)},
	})
}

// TestJobsEndDuringOutages: controllers, a zone or links are away, and jobs end meanwhile.
func TestJobsEndDuringOutages(t *testing.T) {
	sec := time.Second
	runScenarios(t, withLongJobs(defaultEnvironment(3, 1, withOutagePromises)), nil, []scenario{
		{"called off as they end", overlapping(fault{0, probeClosely(70 * sec)}, fault{3 * sec, cancelAtCompletion(89, 60*sec)})},
		{"all controllers away for longer than the lease", overlapping(
			fault{16 * sec, stopAllControllers(14 * sec)},
			fault{15500 * time.Millisecond, cancelRunningJobs(90, 4, 0, 45*sec)},
		)},
		{"a zone and the leader cut for longer than the lease", overlapping(
			fault{15 * sec, partitionZoneWithController("a", 0, 18*sec)},
			fault{20 * sec, cancelRunningJobs(91, 4, 0, 15*sec)},
		)},
		{"a zone and another controller cut for longer than the lease", overlapping(
			fault{15 * sec, partitionZoneWithController("a", 1, 18*sec)},
			fault{17 * sec, crashControllers(1)},
		)},
		{"commands held up for seconds, called off meanwhile", overlapping(
			fault{10 * sec, blockAnswersRepeatedly(92, 8)},
			fault{20 * sec, cancelRunningJobs(93, 6, 4*sec, 10*sec)},
		)},
		{"ten leaders in two minutes", overlapping(
			fault{10 * sec, changeLeaderTenTimes},
			fault{40 * sec, cancelRunningJobs(94, 3, 3*sec, 30*sec)},
		)},
		{"leaders change inside an outage", overlapping(
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

// withZoneBoundJobs adds jobs that are bound to a zone, or to any one.
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

// TestFastBootingMachines: machines that are up within two seconds and get work at once, while
// transactions are late and the leader ends; and jobs that are bound to a zone, or to one,
// of which machines are lost.
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
		{"while transactions are late, the leader ends", overlapping(
			fault{3 * sec, lateTransactions(101, 0.3, 40*sec)},
			fault{11 * sec, crashControllers(1)},
			fault{24 * sec, crashControllers(1)},
		)},
		{"machines of a zone are lost", overlapping(
			fault{12 * sec, killZone("a")},
			fault{14 * sec, crashControllers(1)},
			fault{26 * sec, killZone("b")},
		)},
		{"more work than room over slow links", overlapping(
			fault{5 * sec, slowNetwork(300*time.Millisecond, 50*sec)},
			fault{6 * sec, jobStream(30 * sec)},
			fault{20 * sec, crashControllers(1)},
		)},
	})
}

// TestCoincidingFaultsLargeFleet: some of them with up to 240 machines.
func TestCoincidingFaultsLargeFleet(t *testing.T) {
	const scale = 20
	sec := time.Second
	runScenarios(t, withLongJobs(defaultEnvironment(3, scale, withOutagePromises)), nil, []scenario{
		{"many called off as the leader ends, their machines hang, some are mute", overlapping(
			fault{14 * sec, blockWorkerConnections(105, 2*scale, 25*sec)},
			fault{16 * sec, cancelRunningJobs(106, 12, 8*sec, 15*sec)},
			fault{16100 * time.Millisecond, crashControllers(1)},
			fault{30 * sec, lateTransactions(107, 0.15, 20*sec)},
		)},
	})
	runScenarios(t, withLongJobs(defaultEnvironment(5, scale, withSharding)), nil, []scenario{
		{"called off at the refusal and out, copies for the next, five controllers", overlapping(
			fault{12 * sec, replayToNextLeader(6 * sec)},
			fault{18 * sec, cancelRunningJobs(108, 12, 6*sec, 60*sec)},
			fault{18 * sec, refuseLeaderThenOutage(4*sec, 30*sec)},
		)},
	})
}

// TestRandomFaults: scenarios of drawn faults, with three and with five controllers.
func TestRandomFaults(t *testing.T) {
	environments := []environment{
		withLongJobs(defaultEnvironment(3, 1, withOutagePromises)),
		withLongJobs(defaultEnvironment(5, 1, withSharding)),
	}
	for _, env := range environments {
		env.randomized = true
		var scenarios []scenario
		for seed := range uint64(4) {
			name := fmt.Sprintf("%d of %d controllers", seed, env.controllers)
			scenarios = append(scenarios, scenario{name, randomFaults(seed + 100*uint64(env.controllers))})
		}
		runScenarios(t, env, nil, scenarios)
	}
}
