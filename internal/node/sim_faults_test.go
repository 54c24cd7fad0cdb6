package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"vetchstream/internal/emulate"
)

// fault is injected at a time after the start of a scenario. If the fault is temporary, inject
// also ends it before it returns.
type fault struct {
	at     time.Duration
	inject func(s *simulation)
}

// hostsOf returns the names of the workers' hosts on the network.
func hostsOf(workers []*emulate.Worker) map[string]bool {
	hosts := map[string]bool{}
	for _, worker := range workers {
		hosts[worker.Host()] = true
	}
	return hosts
}

// hangWorkers lets n random workers hang for the duration. Their machines stay reachable.
func hangWorkers(random *rand.Rand, n int, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		workers := s.RandomWorkers(random, n)
		s.Hang(workers, true)
		time.Sleep(duration)
		s.Hang(workers, false)
	}
}

// killMachines terminates n random machines without notice.
func killMachines(random *rand.Rand, n int) func(*simulation) {
	return func(s *simulation) { s.Kill(s.RandomWorkers(random, n)) }
}

// faultyMachine makes a random machine fail all its tasks from then on.
func faultyMachine(random *rand.Rand) func(*simulation) {
	return func(s *simulation) { s.MakeFaulty(s.RandomWorkers(random, 1)) }
}

// rebootWorkers restarts n random workers at once. They lose their sessions.
func rebootWorkers(seed uint64, n int) func(*simulation) {
	return func(s *simulation) { s.Reboot(s.RandomWorkers(newRand(seed), n)) }
}

// zoneShortage sets the cloud's capacity in a zone to 0 for the duration, and terminates the
// machines there.
func zoneShortage(zone string, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.LimitZone(zone, 0)
		s.Kill(s.WorkersInZone(zone))
		time.Sleep(duration)
		s.LimitZone(zone, -1)
	}
}

// overlapping injects each fault at its time, even if earlier faults have not ended.
func overlapping(faults ...fault) []fault {
	return []fault{{0, func(s *simulation) {
		var wg sync.WaitGroup
		for _, f := range faults {
			wg.Go(func() {
				time.Sleep(f.at)
				f.inject(s)
			})
		}
		wg.Wait()
	}}}
}

// inSequence injects faults one after another.
func inSequence(faults ...func(*simulation)) func(*simulation) {
	return func(s *simulation) {
		for _, f := range faults {
			f(s)
		}
	}
}

// reportUnreachedCondition fails a scenario that did not reach the condition that it tests.
// Scenarios with random faults need not reach it.
func (s *simulation) reportUnreachedCondition(format string, args ...any) {
	if !s.randomized {
		s.t.Errorf(format, args...)
	}
}

// randomFaults returns random overlapping faults for a seed: one of the controllers'
// processes, one of the key-value store, a burst of cancellations and up to three others.
func randomFaults(seed uint64) []fault {
	random := newRand(900 + seed)
	second := time.Second
	randomHalfSeconds := func(from, to int) time.Duration { return time.Duration(from+random.IntN(to-from)) * second / 2 }
	oneOf := func(faults ...func(*simulation)) func(*simulation) { return faults[random.IntN(len(faults))] }
	// The order of the random draws must not change: it determines the faults of a seed.
	processes := oneOf(
		crashControllers(1+random.IntN(3)),
		restartRepeatedly(seed, 2+random.IntN(8)),
		stopAllControllers(randomHalfSeconds(1, 30)),
		pauseControllers(1+random.IntN(3), randomHalfSeconds(4, 30)),
		crashFollower(randomHalfSeconds(2, 12)),
		func(s *simulation) {
			crashControllers(1)(s)
			restartController(0, randomHalfSeconds(1, 3))(s)
		},
	)
	store := oneOf(
		storeOutage(randomHalfSeconds(4, 80)),
		refuseLeaderAtStore(randomHalfSeconds(4, 60)),
		refuseLeaderThenOutage(randomHalfSeconds(1, 16), randomHalfSeconds(20, 80)),
		lateTransactions(seed, 0.3*random.Float64(), randomHalfSeconds(20, 80)),
		lostAnswers(seed, 0.5*random.Float64(), randomHalfSeconds(20, 80)),
		func(s *simulation) {
			s.store.SetLatency(randomHalfSeconds(1, 3))
			time.Sleep(8 * second)
			s.store.SetLatency(0)
		},
	)
	others := []func(*simulation){
		cancelRunningJobs(seed, 12, randomHalfSeconds(0, 18), 0),
		cancelRunningJobs(seed+1, 8, 0, 0),
		cancelAtCompletion(seed, randomHalfSeconds(20, 80)),
		blockWorkerConnections(seed, 1+random.IntN(4), randomHalfSeconds(10, 60)),
		blockAnswers(seed, 1+random.IntN(6), anyController, randomHalfSeconds(6, 50)),
		hangWorkers(newRand(seed), 1+random.IntN(5), randomHalfSeconds(6, 40)),
		killMachines(newRand(seed), 1+random.IntN(3)),
		partitionWorkers(newRand(seed), 1+random.IntN(4), randomHalfSeconds(6, 50)),
		partitionZoneWithController([]string{"a", "b"}[random.IntN(2)], random.IntN(3), randomHalfSeconds(6, 50)),
		replayHeartbeats(randomHalfSeconds(8, 30), randomHalfSeconds(1, 40)),
		isolateController(random.IntN(3), randomHalfSeconds(4, 50)),
		partitionControllers(randomHalfSeconds(6, 60)),
		slowNetwork(randomHalfSeconds(0, 2), randomHalfSeconds(10, 60)),
		submissionBurst(80),
		rebootWorkers(seed, 2),
		blockAnswersRepeatedly(seed, 4),
	}
	faults := []fault{
		{0, probeAfterAnswers(90 * second)},
		{randomHalfSeconds(20, 50), processes},
		{randomHalfSeconds(16, 50), store},
		{randomHalfSeconds(24, 60), cancelRunningJobs(seed+2, 6, randomHalfSeconds(0, 16), 0)},
	}
	for _, i := range random.Perm(len(others))[:1+random.IntN(3)] {
		faults = append(faults, fault{randomHalfSeconds(16, 60), others[i]})
	}
	return overlapping(faults...)
}

// killZone terminates all machines of a zone.
func killZone(zone string) func(*simulation) {
	return func(s *simulation) { s.Kill(s.WorkersInZone(zone)) }
}
