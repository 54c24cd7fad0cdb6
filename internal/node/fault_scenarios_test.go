package node

import (
	"fmt"
	"testing"
	"time"
)

// checkTermAbove checks that the last term is above one that workers have seen, by at most that
// many.
func checkTermAbove(seen, most uint64) func(*simulation) {
	return func(s *simulation) {
		if term := s.term(); term <= seen || term > seen+most {
			s.t.Errorf("the last term is %d, and workers have seen %d", term, seen)
		}
	}
}

// TestLeaderAndStoreFaults: leaders and the key-value store fail.
func TestLeaderAndStoreFaults(t *testing.T) {
	runDefault(t, 1, nil, nil, []scenario{
		{"quiet (10, 13, 16)", nil},
		{"leader crashes, twice (1, 4, 5, 6, 11)", []fault{
			{14 * time.Second, crashControllers(1)},
			{32 * time.Second, crashControllers(1)},
		}},
		{"state service out, short and long (2, 17)", []fault{
			{12 * time.Second, storeOutage(8 * time.Second)},
			{45 * time.Second, storeOutage(25 * time.Second)},
		}},
		{"leader refused by the state service alone (2, 3, 17)", []fault{
			{15 * time.Second, refuseLeaderAtStore(20 * time.Second)},
		}},
		{"leader cut from the state service, held (2, 3)", []fault{
			{15 * time.Second, partitionLeader(func(o string) bool { return o == "state" }, 20*time.Second)},
		}},
		{"leader cut from the workers, held (7, 8, 9)", []fault{{15 * time.Second, partitionLeader(isWorker, 25*time.Second)}}},
		{"leader cut from everything, held (2, 4, 7)", []fault{
			{15 * time.Second, partitionLeader(func(string) bool { return true }, 20*time.Second)},
		}},
		{"the leader stands still within its lease, then beyond (2, 4, 8)", []fault{
			{13 * time.Second, pauseControllers(1, 2*time.Second)},
			{18 * time.Second, pauseControllers(1, 7*time.Second)},
			{40 * time.Second, pauseControllers(1, 16*time.Second)},
		}},
		{"all controllers stand still, then the leader in an outage (2, 9, 17)", []fault{
			{14 * time.Second, pauseControllers(3, 6*time.Second)},
			{30 * time.Second, func(s *simulation) {
				s.store.SetOutage(true)
				pauseControllers(1, 14*time.Second)(s)
				s.store.SetOutage(false)
			}},
		}},
	})
}

// TestWorkerAndLinkFaults: workers and links fail.
func TestWorkerAndLinkFaults(t *testing.T) {
	runDefault(t, 1, nil, finalChecks{"the stored term falls behind the tokens of the workers (1, 5)": checkTermAbove(41, 3)}, []scenario{
		{"all controllers crash (6, 11, 13)", []fault{{20 * time.Second, crashControllers(3)}}},
		{"workers cut past their lease, held (7, 8, 9)", []fault{
			{15 * time.Second, partitionWorkers(newRand(3), 3, 18*time.Second)},
		}},
		{"workers hang inside and past their lease (8, 9)", []fault{
			{13 * time.Second, hangWorkers(newRand(4), 3, 8*time.Second)},
			{35 * time.Second, hangWorkers(newRand(5), 3, 20*time.Second)},
		}},
		{"workers cut while the leader changes (4, 6, 9, 15)", []fault{
			{14 * time.Second, partitionWorkers(newRand(6), 3, 20*time.Second)},
			{16 * time.Second, crashControllers(1)},
		}},
		{"workers hang while all controllers crash (6, 8)", []fault{
			{14 * time.Second, hangWorkers(newRand(7), 3, 9*time.Second)},
			{15 * time.Second, crashControllers(3)},
		}},
		{"state service takes less at a time than the settings say", []fault{
			{5 * time.Second, func(s *simulation) { s.store.SetMaxWrites(2) }},
		}},
		{"controllers cut from each other (13, 14)", []fault{{8 * time.Second, partitionControllers(30 * time.Second)}}},
		{"a machine dies, then the leader (6, 12)", []fault{
			{15 * time.Second, killMachines(newRand(9), 1)},
			{16 * time.Second, crashControllers(1)},
		}},
		{"the stored term falls behind the tokens of the workers (1, 5)", []fault{{12 * time.Second, rollBackTerm}}},
		{"a machine that fails everything (12)", []fault{{12 * time.Second, faultyMachine(newRand(8))}}},
	})
}

// TestFaultAndRequestBursts: many faults, or many requests, at a time.
func TestFaultAndRequestBursts(t *testing.T) {
	days := []scenario{
		{"a swarm whose ids repeat, half of it cancelled, while the leader crashes (13, 14, 15, 16)", []fault{
			{10 * time.Second, submissionBurst(240)},
			{12 * time.Second, crashControllers(1)},
		}},
	}
	for seed := range uint64(4) {
		r := newRand(100 + seed)
		var fs []fault
		pick := []func() func(*simulation){
			func() func(*simulation) { return crashControllers(1 + r.IntN(3)) },
			func() func(*simulation) { return partitionWorkers(r, 2, time.Duration(5+r.IntN(15))*time.Second) },
			func() func(*simulation) { return hangWorkers(r, 2, time.Duration(5+r.IntN(10))*time.Second) },
			func() func(*simulation) { return partitionLeader(isWorker, 12*time.Second) },
		}
		for at := 10; at < 60; at += 8 + r.IntN(8) {
			fs = append(fs, fault{time.Duration(at) * time.Second, pick[int(seed+uint64(len(fs)))%len(pick)]()})
		}
		days = append(days, scenario{fmt.Sprintf("storm %d", seed), fs})
	}
	runDefault(t, 1, nil, nil, days)
}

// TestFaultsLargeFleet: several hundred machines, with failovers that load and fence a whole fleet,
// registry pages and releases of many machines at once.
func TestFaultsLargeFleet(t *testing.T) {
	const scale = 20
	runDefault(t, scale, nil, nil, []scenario{
		{"workers cut while the leader changes, then all crash (4, 6, 9, 15)", []fault{
			{14 * time.Second, partitionWorkers(newRand(11), 2*scale, 18*time.Second)},
			{16 * time.Second, crashControllers(1)}, {45 * time.Second, crashControllers(3)}}},
		{"some machines die, then the leader stands still (6, 9, 12)", []fault{
			{14 * time.Second, killMachines(newRand(13), 4)},
			{16 * time.Second, pauseControllers(1, 12*time.Second)}}},
		{"state service out, then workers hang while the leader is cut off (2, 3, 8, 17)", []fault{
			{12 * time.Second, storeOutage(9 * time.Second)},
			{30 * time.Second, hangWorkers(newRand(12), 2*scale, 9*time.Second)},
			{45 * time.Second, partitionLeader(func(string) bool { return true }, 15*time.Second)}}},
	})
}
