package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"vetchstream/internal/emulate"
)

// fault is injected at a time after the start of a scenario, and undoes itself.
type fault struct {
	at     time.Duration
	inject func(s *simulation)
}

// hostsOf are the workers' hosts on the network.
func hostsOf(workers []*emulate.Worker) map[string]bool {
	hosts := map[string]bool{}
	for _, k := range workers {
		hosts[k.Host()] = true
	}
	return hosts
}

// hangWorkers stops n workers for a while; their machines stay reachable.
func hangWorkers(r *rand.Rand, n int, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		workers := s.RandomWorkers(r, n)
		s.Hang(workers, true)
		time.Sleep(duration)
		s.Hang(workers, false)
	}
}

// killMachines takes machines away without a word.
func killMachines(r *rand.Rand, n int) func(*simulation) {
	return func(s *simulation) { s.Kill(s.RandomWorkers(r, n)) }
}

// faultyMachine lets a machine fail every task from then on.
func faultyMachine(r *rand.Rand) func(*simulation) {
	return func(s *simulation) { s.MakeFaulty(s.RandomWorkers(r, 1)) }
}

// rebootWorkers restarts n workers at once, without memory of their sessions.
func rebootWorkers(seed uint64, n int) func(*simulation) {
	return func(s *simulation) { s.Reboot(s.RandomWorkers(newRand(seed), n)) }
}

// zoneShortage takes a zone's capacity away from the cloud, and its machines with it, for a
// while.
func zoneShortage(zone string, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.LimitZone(zone, 0)
		s.Kill(s.WorkersInZone(zone))
		time.Sleep(duration)
		s.LimitZone(zone, -1)
	}
}

// overlapping injects faults at their times, whether or not earlier ones are over.
func overlapping(fs ...fault) []fault {
	return []fault{{0, func(s *simulation) {
		var wg sync.WaitGroup
		for _, f := range fs {
			wg.Go(func() {
				time.Sleep(f.at)
				f.inject(s)
			})
		}
		wg.Wait()
	}}}
}

// inSequence injects faults one after the other.
func inSequence(fs ...func(*simulation)) func(*simulation) {
	return func(s *simulation) {
		for _, f := range fs {
			f(s)
		}
	}
}

// reportUnreachedCondition fails a scenario that did not reach what it is about. One whose faults are drawn
// need not.
func (s *simulation) reportUnreachedCondition(format string, a ...any) {
	if !s.randomized {
		s.t.Errorf(format, a...)
	}
}

// randomFaults draws overlapping faults by a seed: one of processes, one of the key-value
// store and up to three others, some of them cancellations.
func randomFaults(seed uint64) []fault {
	r := newRand(900 + seed)
	sec := time.Second
	some := func(from, to int) time.Duration { return time.Duration(from+r.IntN(to-from)) * sec / 2 }
	one := func(fs ...func(*simulation)) func(*simulation) { return fs[r.IntN(len(fs))] }
	// The order of the draws is part of the seeds.
	processes := one(
		crashControllers(1+r.IntN(3)),
		restartRepeatedly(seed, 2+r.IntN(8)),
		stopAllControllers(some(1, 30)),
		pauseControllers(1+r.IntN(3), some(4, 30)),
		crashFollower(some(2, 12)),
		func(s *simulation) {
			crashControllers(1)(s)
			restartController(0, some(1, 3))(s)
		},
	)
	store := one(
		storeOutage(some(4, 80)),
		refuseLeaderAtStore(some(4, 60)),
		refuseLeaderThenOutage(some(1, 16), some(20, 80)),
		lateTransactions(seed, 0.3*r.Float64(), some(20, 80)),
		lostAnswers(seed, 0.5*r.Float64(), some(20, 80)),
		func(s *simulation) {
			s.store.SetLatency(some(1, 3))
			time.Sleep(8 * sec)
			s.store.SetLatency(0)
		},
	)
	others := []func(*simulation){
		cancelRunningJobs(seed, 12, some(0, 18), 0),
		cancelRunningJobs(seed+1, 8, 0, 0),
		cancelAtCompletion(seed, some(20, 80)),
		blockWorkerConnections(seed, 1+r.IntN(4), some(10, 60)),
		blockAnswers(seed, 1+r.IntN(6), anyController, some(6, 50)),
		hangWorkers(newRand(seed), 1+r.IntN(5), some(6, 40)),
		killMachines(newRand(seed), 1+r.IntN(3)),
		partitionWorkers(newRand(seed), 1+r.IntN(4), some(6, 50)),
		partitionZoneWithController([]string{"a", "b"}[r.IntN(2)], r.IntN(3), some(6, 50)),
		replayHeartbeats(some(8, 30), some(1, 40)),
		isolateController(r.IntN(3), some(4, 50)),
		partitionControllers(some(6, 60)),
		slowNetwork(some(0, 2), some(10, 60)),
		submissionBurst(80),
		rebootWorkers(seed, 2),
		blockAnswersRepeatedly(seed, 4),
	}
	fs := []fault{
		{0, probeAfterAnswers(90 * sec)},
		{some(20, 50), processes},
		{some(16, 50), store},
		{some(24, 60), cancelRunningJobs(seed+2, 6, some(0, 16), 0)},
	}
	for _, i := range r.Perm(len(others))[:1+r.IntN(3)] {
		fs = append(fs, fault{some(16, 60), others[i]})
	}
	return overlapping(fs...)
}

// killZone takes all machines of a zone away.
func killZone(zone string) func(*simulation) {
	return func(s *simulation) { s.Kill(s.WorkersInZone(zone)) }
}
