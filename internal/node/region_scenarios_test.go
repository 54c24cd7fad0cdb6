package node

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"vetchstream/internal/dynconfig"
)

// unreliableTransactions lets a part of a region's transactions be carried out late, or at once
// with their answers lost.
func unreliableTransactions(region int, d time.Duration) func(*multiRegion) {
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
		time.Sleep(d)
		m.regions[region].store.DelayTransactions(nil)
	}
}

// inRegion injects a fault in one region.
func inRegion(region int, inject func(*simulation)) func(*multiRegion) {
	return func(m *multiRegion) { inject(m.regions[region]) }
}

// partitionRegion cuts a region from the home region for a while.
func partitionRegion(region int, d time.Duration) func(*multiRegion) {
	return func(m *multiRegion) {
		m.setPartitioned(region, true)
		time.Sleep(d)
		m.setPartitioned(region, false)
	}
}

// restoreOlderRecords gives a region's key-value store an older state of the configuration and
// of the term, as one that has lost its last writes, and ends the leader.
func restoreOlderRecords(region int) func(*multiRegion) {
	return func(m *multiRegion) {
		s := m.regions[region]
		older := s.store.Snapshot("t/")
		time.Sleep(8 * time.Second) // a change is made meanwhile
		s.store.Restore("t/", older)
		rollBackTerm(s)
	}
}

// corruptRecords makes all records of the configuration in a region unreadable, and ends its
// leader.
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

// regionScenario is a scenario of several regions with the faults that are injected one after
// the other.
type regionScenario struct {
	name   string
	faults []func(*multiRegion)
}

// TestRegionFaults: while the parts of a limit move from region to region and back, the regions
// together never use more than it, whatever leaders and links do, and what was decided comes
// into force.
func TestRegionFaults(t *testing.T) {
	sec := time.Second
	runRegionScenarios(t, []regionScenario{
		{"calm", nil},
		{"home's leader ends, twice", []func(*multiRegion){inRegion(0, crashControllers(1)), inRegion(0, crashControllers(1))}},
		{"a region's leader ends, twice", []func(*multiRegion){inRegion(1, crashControllers(1)), inRegion(1, crashControllers(1))}},
		{"both at once", []func(*multiRegion){func(m *multiRegion) {
			m.tasks.Go(func() { crashControllers(1)(m.regions[1]) })
			crashControllers(1)(m.regions[0])
		}}},
		{"a region is cut off, and its leader ends", []func(*multiRegion){func(m *multiRegion) {
			m.tasks.Go(func() { partitionRegion(1, 40*sec)(m) })
			time.Sleep(5 * sec)
			crashControllers(1)(m.regions[1])
		}}},
		{"home is gone altogether", []func(*multiRegion){inRegion(0, crashControllers(3))}},
	})
}

// TestRegionStoreFaults is the same where key-value stores are out, late, restored or corrupted.
func TestRegionStoreFaults(t *testing.T) {
	sec := time.Second
	runRegionScenarios(t, []regionScenario{
		{"a region's state service is out, then refuses its leader", []func(*multiRegion){
			inRegion(1, storeOutage(8*sec)),
			inRegion(1, refuseLeaderAtStore(9*sec)),
		}},
		{"home's state service is out, then refuses its leader", []func(*multiRegion){
			inRegion(0, storeOutage(8*sec)),
			inRegion(0, refuseLeaderAtStore(9*sec)),
		}},
		{"late transactions and lost answers", []func(*multiRegion){func(m *multiRegion) {
			m.tasks.Go(func() { unreliableTransactions(0, 25*sec)(m) })
			m.tasks.Go(func() { unreliableTransactions(1, 25*sec)(m) })
			time.Sleep(10 * sec)
			crashControllers(1)(m.regions[1])
		}}},
		{"home's store is put back", []func(*multiRegion){restoreOlderRecords(0)}},
		{"a region's store is put back", []func(*multiRegion){restoreOlderRecords(1)}},
		{"records cannot be read", []func(*multiRegion){corruptRecords(0), corruptRecords(1)}},
	})
}

// runRegionScenarios plays each scenario as a subtest with two regions.
func runRegionScenarios(t *testing.T, scenarios []regionScenario) {
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRegionScenario(t, sc.faults) })
		})
	}
}

// inForceTimeout is by when a change has to be in force in all regions that are reached.
const inForceTimeout = 19 * time.Second

// runRegionScenario injects the faults while green's limit moves from region to region.
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

// TestLongRegionPartition: a region that is cut off for an hour retains its part of the limit and goes
// on, and has everything within 19 seconds after the partition.
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
			t.Error("the region that is cut off starts nothing")
		}
		var s dynconfig.Status
		m.request(0, http.MethodGet, "/api/config/status", nil, &s)
		if r := s.Regions[1]; r.SilentS < 3500 || r.Behind < 390 || len(r.Pending) != 1 || !slices.Equal(r.Pending[0].BlockedBy, []string{"region-1"}) {
			t.Errorf("status of the region that is cut off: %+v", r)
		}
		m.setPartitioned(1, false)
		m.awaitInForce(last, inForceTimeout)
		m.awaitEnd(2 * time.Minute)
		if n := m.regions[0].store.CountKeys("t/"); n > 3+dynconfig.MaxHistory {
			t.Errorf("%d keys of the configuration are left", n)
		}
	})
}
