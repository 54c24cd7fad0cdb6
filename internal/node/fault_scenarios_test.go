package node

import (
	"fmt"
	"testing"
	"time"

	"vetchstream/internal/wire"
)

// checkTermAbove checks that the last term exceeds the highest one that workers have seen, by at
// most maxIncrease.
func checkTermAbove(seen, maxIncrease uint64) func(*simulation) {
	return func(s *simulation) {
		if term := s.term(); term <= seen || term > seen+maxIncrease {
			s.t.Errorf("the last term is %d, workers have seen term %d", term, seen)
		}
	}
}

// The numbers in the scenarios' names are those of the invariants in docs/safety.md that each
// scenario tests.

// TestLeaderAndStoreFaults injects faults of leaders and of the key-value store.
func TestLeaderAndStoreFaults(t *testing.T) {
	runDefault(t, 1, nil, nil, []scenario{
		{"no faults (10, 13, 16)", nil},
		{"the leader crashes twice (1, 4, 5, 6, 11)", []fault{
			{14 * time.Second, crashControllers(1)},
			{32 * time.Second, crashControllers(1)},
		}},
		{"the store has a short and a long outage (2, 17)", []fault{
			{12 * time.Second, storeOutage(8 * time.Second)},
			{45 * time.Second, storeOutage(25 * time.Second)},
		}},
		{"the store refuses the leader only (2, 3, 17)", []fault{
			{15 * time.Second, refuseLeaderAtStore(20 * time.Second)},
		}},
		{"the leader is partitioned from the store, its messages arrive late (2, 3)", []fault{
			{15 * time.Second, partitionLeader(func(o string) bool { return o == "state" }, 20*time.Second)},
		}},
		{"the leader is partitioned from the workers, its messages arrive late (7, 8, 9)", []fault{{15 * time.Second, partitionLeader(isWorker, 25*time.Second)}}},
		{"the leader is partitioned from everything, its messages arrive late (2, 4, 7)", []fault{
			{15 * time.Second, partitionLeader(func(string) bool { return true }, 20*time.Second)},
		}},
		{"the leader pauses for less than its lease, then for longer (2, 4, 8)", []fault{
			{13 * time.Second, pauseControllers(1, 2*time.Second)},
			{18 * time.Second, pauseControllers(1, 7*time.Second)},
			{40 * time.Second, pauseControllers(1, 16*time.Second)},
		}},
		{"all controllers pause, then the leader pauses during an outage of the store (2, 9, 17)", []fault{
			{14 * time.Second, pauseControllers(3, 6*time.Second)},
			{30 * time.Second, func(s *simulation) {
				s.store.SetOutage(true)
				pauseControllers(1, 14*time.Second)(s)
				s.store.SetOutage(false)
			}},
		}},
	})
}

// TestWorkerAndLinkFaults injects faults of workers and of network links.
func TestWorkerAndLinkFaults(t *testing.T) {
	runDefault(t, 1, nil, finalChecks{"the stored term is older than the fencing tokens of the workers (1, 5)": checkTermAbove(41*wire.TokensPerTerm, 3*wire.TokensPerTerm)}, []scenario{
		{"all controllers crash (6, 11, 13)", []fault{{20 * time.Second, crashControllers(3)}}},
		{"workers are partitioned past their lease, their messages arrive late (7, 8, 9)", []fault{
			{15 * time.Second, partitionWorkers(newRand(3), 3, 18*time.Second)},
		}},
		{"workers hang for less than their lease, then for longer (8, 9)", []fault{
			{13 * time.Second, hangWorkers(newRand(4), 3, 8*time.Second)},
			{35 * time.Second, hangWorkers(newRand(5), 3, 20*time.Second)},
		}},
		{"workers are partitioned while the leader changes (4, 6, 9, 15)", []fault{
			{14 * time.Second, partitionWorkers(newRand(6), 3, 20*time.Second)},
			{16 * time.Second, crashControllers(1)},
		}},
		{"workers hang while all controllers crash (6, 8)", []fault{
			{14 * time.Second, hangWorkers(newRand(7), 3, 9*time.Second)},
			{15 * time.Second, crashControllers(3)},
		}},
		{"the store accepts fewer writes per transaction than configured", []fault{
			{5 * time.Second, func(s *simulation) { s.store.SetMaxWrites(2) }},
		}},
		{"controllers are partitioned from each other (13, 14)", []fault{{8 * time.Second, partitionControllers(30 * time.Second)}}},
		{"a machine is lost, then the leader crashes (6, 12)", []fault{
			{15 * time.Second, killMachines(newRand(9), 1)},
			{16 * time.Second, crashControllers(1)},
		}},
		{"the stored term is older than the fencing tokens of the workers (1, 5)", []fault{{12 * time.Second, rollBackTerm}}},
		{"a machine fails every task (12)", []fault{{12 * time.Second, faultyMachine(newRand(8))}}},
	})
}

// TestFaultAndRequestBursts injects many requests at a time, or many faults in short succession.
func TestFaultAndRequestBursts(t *testing.T) {
	scenarios := []scenario{
		{"burst of repeated submissions, half of the jobs cancelled, the leader crashes (13, 14, 15, 16)", []fault{
			{10 * time.Second, submissionBurst(240)},
			{12 * time.Second, crashControllers(1)},
		}},
	}
	for seed := range uint64(4) {
		r := newRand(100 + seed)
		var faults []fault
		kinds := []func() func(*simulation){
			func() func(*simulation) { return crashControllers(1 + r.IntN(3)) },
			func() func(*simulation) { return partitionWorkers(r, 2, time.Duration(5+r.IntN(15))*time.Second) },
			func() func(*simulation) { return hangWorkers(r, 2, time.Duration(5+r.IntN(10))*time.Second) },
			func() func(*simulation) { return partitionLeader(isWorker, 12*time.Second) },
		}
		for at := 10; at < 60; at += 8 + r.IntN(8) {
			faults = append(faults, fault{time.Duration(at) * time.Second, kinds[int(seed+uint64(len(faults)))%len(kinds)]()})
		}
		scenarios = append(scenarios, scenario{fmt.Sprintf("random faults, seed %d", seed), faults})
	}
	runDefault(t, 1, nil, nil, scenarios)
}

// TestFaultsLargeFleet injects faults with up to 240 machines, so that a new leader loads and
// fences a large fleet, lists machines in many pages and releases many machines at once.
func TestFaultsLargeFleet(t *testing.T) {
	const scale = 20
	runDefault(t, scale, nil, nil, []scenario{
		{"workers are partitioned while the leader changes, then all controllers crash (4, 6, 9, 15)", []fault{
			{14 * time.Second, partitionWorkers(newRand(11), 2*scale, 18*time.Second)},
			{16 * time.Second, crashControllers(1)}, {45 * time.Second, crashControllers(3)}}},
		{"machines are lost, then the leader pauses (6, 9, 12)", []fault{
			{14 * time.Second, killMachines(newRand(13), 4)},
			{16 * time.Second, pauseControllers(1, 12*time.Second)}}},
		{"the store is unavailable, then workers hang, then the leader is partitioned (2, 3, 8, 17)", []fault{
			{12 * time.Second, storeOutage(9 * time.Second)},
			{30 * time.Second, hangWorkers(newRand(12), 2*scale, 9*time.Second)},
			{45 * time.Second, partitionLeader(func(string) bool { return true }, 15*time.Second)}}},
	})
}
