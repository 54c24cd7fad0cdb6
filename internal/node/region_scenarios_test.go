package node

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"vetchstream/internal/dynconfig"
)

// unreliableTransactions makes a region's key-value store carry out a sixth of the transactions 2
// to 10 s late and lose the answers of another sixth, for the given time.
func unreliableTransactions(region int, duration time.Duration) func(*multiRegion) {
	return func(m *multiRegion) {
		r := newRand(uint64(region))
		m.regions[region].store.DelayTransactions(func() time.Duration {
			switch r.IntN(6) {
			case 0:
				return time.Duration(2+r.IntN(8)) * time.Second
			case 1:
				return -time.Second
			}
			return 0
		})
		time.Sleep(duration)
		m.regions[region].store.DelayTransactions(nil)
	}
}

// inRegion injects the fault into one region.
func inRegion(region int, inject func(*simulation)) func(*multiRegion) {
	return func(m *multiRegion) { inject(m.regions[region]) }
}

// partitionRegion partitions a region from the home region for the given time.
func partitionRegion(region int, duration time.Duration) func(*multiRegion) {
	return func(m *multiRegion) {
		m.setPartitioned(region, true)
		time.Sleep(duration)
		m.setPartitioned(region, false)
	}
}

// restoreOlderRecords restores older records of the configuration and of the term in a region's
// key-value store, as if the store had lost its last writes, and crashes the leader.
func restoreOlderRecords(region int) func(*multiRegion) {
	return func(m *multiRegion) {
		s := m.regions[region]
		older := s.store.Snapshot("t/")
		time.Sleep(8 * time.Second) // the configuration changes in this time
		s.store.Restore("t/", older)
		rollBackTerm(s)
	}
}

// corruptRecords overwrites all configuration records of a region with unreadable values and
// crashes the region's leader.
func corruptRecords(region int) func(*multiRegion) {
	return func(m *multiRegion) {
		s := m.regions[region]
		for _, e := range s.store.Snapshot("t/") {
			if err := s.store.Put(e.Key, "spoilt"); err != nil {
				panic(err)
			}
		}
		crashControllers(1)(s)
	}
}

// regionScenario is a scenario of several regions and the faults that are injected in sequence.
type regionScenario struct {
	name   string
	faults []func(*multiRegion)
}

// TestRegionFaults divides a team's limit differently among the regions again and again while
// leaders and links fail. The regions together must never use more than the limit, and the last
// change has to come into force.
func TestRegionFaults(t *testing.T) {
	sec := time.Second
	runRegionScenarios(t, []regionScenario{
		{"no faults", nil},
		{"the home region's leader crashes twice", []func(*multiRegion){inRegion(0, crashControllers(1)), inRegion(0, crashControllers(1))}},
		{"another region's leader crashes twice", []func(*multiRegion){inRegion(1, crashControllers(1)), inRegion(1, crashControllers(1))}},
		{"the leaders of both regions crash at the same time", []func(*multiRegion){func(m *multiRegion) {
			m.tasks.Go(func() { crashControllers(1)(m.regions[1]) })
			crashControllers(1)(m.regions[0])
		}}},
		{"a region is partitioned from the home region, and its leader crashes", []func(*multiRegion){func(m *multiRegion) {
			m.tasks.Go(func() { partitionRegion(1, 40*sec)(m) })
			time.Sleep(5 * sec)
			crashControllers(1)(m.regions[1])
		}}},
		{"all controllers of the home region crash", []func(*multiRegion){inRegion(0, crashControllers(3))}},
	})
}

// TestRegionStoreFaults makes the same checks while key-value stores are unavailable, late,
// restored to older records or corrupted.
func TestRegionStoreFaults(t *testing.T) {
	sec := time.Second
	runRegionScenarios(t, []regionScenario{
		{"a region's store is unavailable, then refuses its leader", []func(*multiRegion){
			inRegion(1, storeOutage(8*sec)),
			inRegion(1, refuseLeaderAtStore(9*sec)),
		}},
		{"the home region's store is unavailable, then refuses its leader", []func(*multiRegion){
			inRegion(0, storeOutage(8*sec)),
			inRegion(0, refuseLeaderAtStore(9*sec)),
		}},
		{"transactions are late and answers are lost in both regions", []func(*multiRegion){func(m *multiRegion) {
			m.tasks.Go(func() { unreliableTransactions(0, 25*sec)(m) })
			m.tasks.Go(func() { unreliableTransactions(1, 25*sec)(m) })
			time.Sleep(10 * sec)
			crashControllers(1)(m.regions[1])
		}}},
		{"the home region's store is restored to older records", []func(*multiRegion){restoreOlderRecords(0)}},
		{"a region's store is restored to older records", []func(*multiRegion){restoreOlderRecords(1)}},
		{"configuration records of both regions are corrupted", []func(*multiRegion){corruptRecords(0), corruptRecords(1)}},
	})
}

// runRegionScenarios runs each scenario as a subtest with two regions.
func runRegionScenarios(t *testing.T, scenarios []regionScenario) {
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRegionScenario(t, sc.faults) })
		})
	}
}

// inForceTimeout is the time within which a change has to be in force in all regions that the home
// region reaches.
const inForceTimeout = 19 * time.Second

// runRegionScenario injects the faults while changes divide green's limit differently among the
// regions.
func runRegionScenario(t *testing.T, faults []func(*multiRegion)) {
	sec := time.Second
	m, closeAll := newMultiRegion(t, 2, 3)
	defer closeAll()
	time.Sleep(8 * sec)
	m.awaitInForce(m.applyChange(0, greenSplit(8, 4)), inForceTimeout)
	m.submitGreenJobs(80 * sec)
	m.tasks.Go(func() {
		time.Sleep(10 * sec)
		for _, inject := range faults {
			inject(m)
			time.Sleep(3 * sec)
		}
	})
	splits := [][]float64{{2, 10}, {9, 3}, {6, 6}}
	var last uint64
	for i := range 9 {
		time.Sleep(8 * sec)
		last = m.applyChange(i%2, greenSplit(splits[i%3]...))
	}
	time.Sleep(30 * sec)
	last = max(last, m.applyChange(1, greenSplit(5, 7)))
	m.awaitInForce(last, inForceTimeout)
	m.awaitEnd(3 * time.Minute)
}

// TestLongRegionPartition checks that a region that is partitioned for an hour retains its part of
// the limit and keeps starting tasks, and that all changes are in force there within 19 seconds
// after the partition.
func TestLongRegionPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, closeAll := newMultiRegion(t, 2, 1)
		defer closeAll()
		time.Sleep(8 * time.Second)
		m.awaitInForce(m.applyChange(0, greenSplit(8, 4)), inForceTimeout)
		m.setPartitioned(1, true)
		splits := [][]float64{{12, 0}, {4, 8}}
		var last uint64
		for i := range 400 {
			last = m.applyChange(0, greenSplit(splits[i%2]...))
			time.Sleep(9 * time.Second)
		}
		m.submitGreenJobs(8 * time.Second)
		time.Sleep(20 * time.Second)
		if used := m.regions[1].Starts(); used == 0 {
			t.Error("the partitioned region started no task")
		}
		var status dynconfig.Status
		m.request(0, http.MethodGet, "/api/config/status", nil, &status)
		if r := status.Regions[1]; r.SilentS < 3500 || r.Behind < 390 || len(r.Pending) != 1 || !slices.Equal(r.Pending[0].BlockedBy, []string{"region-1"}) {
			t.Errorf("status of the partitioned region: %+v, want it silent for about an hour with one change pending on region-1", r)
		}
		m.setPartitioned(1, false)
		m.awaitInForce(last, inForceTimeout)
		m.awaitEnd(2 * time.Minute)
		if n := m.regions[0].store.CountKeys("t/"); n > 3+dynconfig.MaxHistory {
			t.Errorf("the store holds %d configuration keys after all changes, want at most the history and three more", n)
		}
	})
}
