package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/dynconfig"
	"vetchstream/internal/emulate"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// greenLimitCPUs is what team green, which no platform's file names, may use in all regions.
const greenLimitCPUs = 12

// homeRegionPrefix is how controllers of other regions name those of the home region.
const homeRegionPrefix = "home/"

// multiRegion is several regions; the first is the home region.
type multiRegion struct {
	t           *testing.T
	regions     []*simulation
	stopped     chan struct{}
	allowIdle   bool // green need not use much
	mu          sync.Mutex
	greenPeak   float64 // that green has used at a time
	tasks       sync.WaitGroup
	jobsCreated int
}

func newMultiRegion(t *testing.T, regions, nodes int) (*multiRegion, func()) {
	b := &multiRegion{t: t, stopped: make(chan struct{})}
	names := make([]string, regions)
	for i := range names {
		names[i] = fmt.Sprintf("region-%d", i)
	}
	var closers []func()
	for i := range regions {
		s, closeAll := newSimulation(t, 1, func(c *emulate.Config) { c.Limits, c.Controllers = nil, simMembers(nodes) }, func(_ *config.Settings, tun *config.Tuning) {
			tun.Regions = config.Regions{Name: names[i], Home: names[0], All: names}
			for j := range nodes {
				tun.Regions.HomeAddresses = append(tun.Regions.HomeAddresses, fmt.Sprintf("%sn%d:81", homeRegionPrefix, j))
			}
		})
		s.dialHomeRegion = func(ctx context.Context, network, addr string) (net.Conn, error) {
			return b.regions[0].net.Dialer(fmt.Sprintf("abroad-%d", i))(ctx, network, strings.TrimPrefix(addr, homeRegionPrefix))
		}
		b.regions = append(b.regions, s)
		closers = append(closers, closeAll)
		for _, zone := range []string{"a", "b", "c"} {
			s.Boot("small", zone, false, 0)
		}
	}
	b.tasks.Go(b.trackGreenUsage)
	return b, func() {
		close(b.stopped)
		b.tasks.Wait()
		for _, f := range closers {
			f()
		}
	}
}

// trackGreenUsage adds up what green uses in all regions, again and again.
func (b *multiRegion) trackGreenUsage() {
	for {
		select {
		case <-b.stopped:
			return
		case <-time.After(100 * time.Millisecond):
		}
		sum := 0.0
		for _, s := range b.regions {
			sum += s.TeamCPUs("green")
		}
		b.mu.Lock()
		b.greenPeak = max(b.greenPeak, sum)
		b.mu.Unlock()
	}
}

// setPartitioned cuts a region from the home region, or joins it again.
func (b *multiRegion) setPartitioned(region int, on bool) {
	name := fmt.Sprintf("abroad-%d", region)
	if !on {
		b.regions[0].setPartition(name, nil)
		return
	}
	b.regions[0].setPartition(name, func(from, to string) bool { return from == name || to == name })
}

// request makes a request at a region until it has a clear answer.
func (b *multiRegion) request(region int, method, path string, doc, out any) int {
	b.t.Helper()
	body, err := wire.Marshal(doc)
	if err != nil {
		b.t.Fatal(err)
	}
	s := b.regions[region]
	hc := s.userClient(5 * time.Second)
	for try := range 120 {
		req, err := http.NewRequest(method, "http://"+s.controllerAddress(try)+path, bytes.NewReader(body))
		if err != nil {
			b.t.Fatal(err)
		}
		res, err := hc.Do(req)
		if err == nil {
			answer, rerr := io.ReadAll(res.Body)
			_ = res.Body.Close()
			if rerr == nil && res.StatusCode < 500 {
				if out != nil {
					_ = wire.Unmarshal(answer, out) // a refusal has another body
				}
				return res.StatusCode
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return 0
}

// greenSplit is a change that gives each region a part of green's limit.
func greenSplit(cpus ...float64) map[string]any {
	regions := map[string]any{}
	for i, n := range cpus {
		regions[fmt.Sprintf("region-%d", i)] = map[string]any{"limit": map[string]any{"cpus": n}, "guarantee": map[string]any{"cpus": n / 2}}
	}
	return map[string]any{"teams": []any{map[string]any{"name": "green", "limit": map[string]any{"cpus": float64(greenLimitCPUs)}, "regions": regions}}}
}

// applyChange makes a change at a region and returns its revision.
func (b *multiRegion) applyChange(region int, change map[string]any) uint64 {
	b.t.Helper()
	var out struct {
		Revision uint64 `codec:"revision"`
	}
	if got := b.request(region, http.MethodPost, "/api/config", change, &out); got != http.StatusOK {
		b.t.Errorf("a change got %d", got)
	}
	return out.Revision
}

// awaitInForce waits until a revision is in force in all regions, and returns how long it took.
func (b *multiRegion) awaitInForce(revision uint64, within time.Duration) time.Duration {
	b.t.Helper()
	begun := time.Now()
	var s dynconfig.Status
	for time.Since(begun) < within {
		b.request(0, http.MethodGet, "/api/config/status", nil, &s)
		behind := func(r dynconfig.RegionStatus) bool { return r.Revision < revision }
		if len(s.Regions) > 0 && !slices.ContainsFunc(s.Regions, behind) {
			return time.Since(begun)
		}
		time.Sleep(200 * time.Millisecond)
	}
	b.t.Errorf("revision %d is not in force after %v: %+v", revision, within, s)
	return within
}

// submitGreenJobs hands in jobs of green in all regions, one after the other, for a while.
func (b *multiRegion) submitGreenJobs(d time.Duration) {
	for i, s := range b.regions {
		for n := 0; time.Duration(n)*4*time.Second < d; n++ {
			b.jobsCreated++
			sp := &job.Spec{ID: fmt.Sprintf("run-%d%04d", i+1, b.jobsCreated), Class: "c", Team: "green", ShapeName: "array", PriorityName: "standard", Tasks: 6, CPUs: 1, MemGB: 0.5, EstimateS: 5, Spot: true}
			at := time.Duration(n) * 4 * time.Second
			s.Go(func() { s.runUser(sp, at, 0) })
		}
	}
}

// awaitEnd waits until all jobs are over, and judges what was seen.
func (b *multiRegion) awaitEnd(within time.Duration) {
	b.t.Helper()
	begun := time.Now()
	open := func() (n int) {
		for _, s := range b.regions {
			n += len(s.UnfinishedJobs())
		}
		return n
	}
	for open() > 0 && time.Since(begun) < within {
		time.Sleep(time.Second)
	}
	if n := open(); n > 0 {
		b.t.Errorf("%d jobs are not over", n)
		for _, s := range b.regions {
			b.t.Log(s.UnfinishedJobs())
		}
	}
	for i, s := range b.regions {
		for _, broken := range s.Violations() {
			b.t.Errorf("region %d: %s", i, broken)
		}
	}
	b.mu.Lock()
	most := b.greenPeak
	b.mu.Unlock()
	if most > greenLimitCPUs+1e-6 {
		b.t.Errorf("green has used %g of %d", most, greenLimitCPUs)
	}
	if most < greenLimitCPUs/2 && !b.allowIdle {
		b.t.Errorf("green has used %g at the most: the day tells nothing", most)
	}
}

// unreliableTransactions lets a part of a region's transactions be carried out late, or at once with their
// answers lost.
func unreliableTransactions(region int, d time.Duration) func(*multiRegion) {
	return func(b *multiRegion) {
		r := newRand(uint64(region))
		b.regions[region].store.DelayTransactions(func() time.Duration {
			switch r.IntN(6) {
			case 0:
				return time.Duration(2+r.IntN(8)) * time.Second
			case 1:
				return -time.Second
			}
			return 0
		})
		time.Sleep(d)
		b.regions[region].store.DelayTransactions(nil)
	}
}

// inRegion lets a fault of one region happen.
func inRegion(region int, f func(*simulation)) func(*multiRegion) {
	return func(b *multiRegion) { f(b.regions[region]) }
}

// partitionRegion cuts a region from the home region for a while.
func partitionRegion(region int, d time.Duration) func(*multiRegion) {
	return func(b *multiRegion) {
		b.setPartitioned(region, true)
		time.Sleep(d)
		b.setPartitioned(region, false)
	}
}

// restoreOlderRecords gives a region's store an older state of what it holds of the configuration, and
// of the term, as one that has lost its last moments, and ends the leader.
func restoreOlderRecords(region int) func(*multiRegion) {
	return func(b *multiRegion) {
		s := b.regions[region]
		older := s.store.Snapshot("t/")
		time.Sleep(8 * time.Second) // a change is made meanwhile
		s.store.Restore("t/", older)
		rollBackTerm(s)
	}
}

// corruptRecords makes all records of the configuration in a region unreadable, and ends its leader.
func corruptRecords(region int) func(*multiRegion) {
	return func(b *multiRegion) {
		s := b.regions[region]
		for _, e := range s.store.Snapshot("t/") {
			if err := s.store.Put(e.Key, "spoilt"); err != nil {
				panic(err)
			}
		}
		crashControllers(1)(s)
	}
}

// regionScenario is a day of several regions with what goes wrong on it.
type regionScenario struct {
	name   string
	faults []func(*multiRegion)
}

// TestRegions: while the parts of a limit move from region to region and back, the regions
// together never use more than it, whatever leaders and links do, and what was decided comes
// into force.
func TestRegions(t *testing.T) {
	sec := time.Second
	runRegionScenarios(t, []regionScenario{
		{"calm", nil},
		{"home's leader ends, twice", []func(*multiRegion){inRegion(0, crashControllers(1)), inRegion(0, crashControllers(1))}},
		{"a region's leader ends, twice", []func(*multiRegion){inRegion(1, crashControllers(1)), inRegion(1, crashControllers(1))}},
		{"both at once", []func(*multiRegion){func(b *multiRegion) {
			b.tasks.Go(func() { crashControllers(1)(b.regions[1]) })
			crashControllers(1)(b.regions[0])
		}}},
		{"a region is cut off, and its leader ends", []func(*multiRegion){func(b *multiRegion) {
			b.tasks.Go(func() { partitionRegion(1, 40*sec)(b) })
			time.Sleep(5 * sec)
			crashControllers(1)(b.regions[1])
		}}},
		{"home is gone altogether", []func(*multiRegion){inRegion(0, crashControllers(3))}},
	})
}

// TestRegionsStores is the same where state services are out, late, put back or spoilt.
func TestRegionsStores(t *testing.T) {
	sec := time.Second
	runRegionScenarios(t, []regionScenario{
		{"a region's state service is out, then refuses its leader", []func(*multiRegion){inRegion(1, storeOutage(8*sec)), inRegion(1, refuseLeaderAtStore(9*sec))}},
		{"home's state service is out, then refuses its leader", []func(*multiRegion){inRegion(0, storeOutage(8*sec)), inRegion(0, refuseLeaderAtStore(9*sec))}},
		{"late transactions and lost answers", []func(*multiRegion){func(b *multiRegion) {
			b.tasks.Go(func() { unreliableTransactions(0, 25*sec)(b) })
			b.tasks.Go(func() { unreliableTransactions(1, 25*sec)(b) })
			time.Sleep(10 * sec)
			crashControllers(1)(b.regions[1])
		}}},
		{"home's store is put back", []func(*multiRegion){restoreOlderRecords(0)}},
		{"a region's store is put back", []func(*multiRegion){restoreOlderRecords(1)}},
		{"records cannot be read", []func(*multiRegion){corruptRecords(0), corruptRecords(1)}},
	})
}

func runRegionScenarios(t *testing.T, days []regionScenario) {
	sec := time.Second
	for _, tt := range days {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, closeAll := newMultiRegion(t, 2, 3)
				defer closeAll()
				time.Sleep(8 * sec)
				b.awaitInForce(b.applyChange(0, greenSplit(8, 4)), 19*sec)
				b.submitGreenJobs(80 * sec)
				b.tasks.Go(func() {
					time.Sleep(10 * sec)
					for _, f := range tt.faults {
						f(b)
						time.Sleep(3 * sec)
					}
				})
				var last uint64
				for i := range 9 {
					time.Sleep(8 * sec)
					parts := [][]float64{{2, 10}, {9, 3}, {6, 6}}[i%3]
					last = b.applyChange(i%2, greenSplit(parts...))
				}
				time.Sleep(30 * sec)
				last = max(last, b.applyChange(1, greenSplit(5, 7)))
				b.awaitInForce(last, 19*sec)
				b.awaitEnd(3 * time.Minute)
			})
		})
	}
}

// TestRegionsApart: a region that is cut off for an hour keeps its part and goes on, and
// has everything within 19 seconds of being found again.
func TestRegionsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, closeAll := newMultiRegion(t, 2, 1)
		defer closeAll()
		time.Sleep(8 * time.Second)
		b.awaitInForce(b.applyChange(0, greenSplit(8, 4)), 19*time.Second)
		b.setPartitioned(1, true)
		var last uint64
		for i := range 400 {
			last = b.applyChange(0, greenSplit([][]float64{{12, 0}, {4, 8}}[i%2]...))
			time.Sleep(9 * time.Second)
		}
		b.submitGreenJobs(8 * time.Second)
		time.Sleep(20 * time.Second)
		if used := b.regions[1].Starts(); used == 0 {
			t.Error("the region that is cut off starts nothing")
		}
		var s dynconfig.Status
		b.request(0, http.MethodGet, "/api/config/status", nil, &s)
		if r := s.Regions[1]; r.SilentS < 3500 || r.Behind < 390 || len(r.Pending) != 1 || !slices.Equal(r.Pending[0].BlockedBy, []string{"region-1"}) {
			t.Errorf("status of the region that is cut off: %+v", r)
		}
		b.setPartitioned(1, false)
		b.awaitInForce(last, 19*time.Second)
		b.awaitEnd(2 * time.Minute)
		if n := b.regions[0].store.CountKeys("t/"); n > 3+dynconfig.MaxHistory {
			t.Errorf("%d keys of the configuration are left", n)
		}
	})
}

// TestChanges: what operators are told.
func TestChanges(t *testing.T) {
	team := func(name string, edit func(map[string]any)) map[string]any {
		doc := greenSplit(8, 4)
		one := doc["teams"].([]any)[0].(map[string]any)
		one["name"] = name
		if edit != nil {
			edit(one)
		}
		return doc
	}
	tests := []struct {
		name   string
		change map[string]any
		query  string
		want   int
	}{
		{"a team", team("green", nil), "", http.StatusOK},
		{"only checked", team("green", nil), "?dry_run=true", http.StatusOK},
		{"unknown field", map[string]any{"teems": []any{}}, "", http.StatusBadRequest},
		{"nothing", map[string]any{}, "", http.StatusBadRequest},
		{"named twice", map[string]any{"teams": team("x", nil)["teams"], "remove": []any{"x"}}, "", http.StatusBadRequest},
		{"parts above the limit", greenSplit(9, 4), "", http.StatusUnprocessableEntity},
		{"guarantee above its part", team("green", func(m map[string]any) {
			m["regions"] = map[string]any{"region-0": map[string]any{"limit": map[string]any{"cpus": 1.0, "gpus": 0.0}, "guarantee": map[string]any{"cpus": 2.0}}}
		}), "", http.StatusUnprocessableEntity},
		{"unknown region", greenSplit(4, 4, 4), "", http.StatusUnprocessableEntity},
		{"another revision came first", map[string]any{"base_revision": 99, "teams": team("green", nil)["teams"]}, "", http.StatusConflict},
		{"removed, no such team", map[string]any{"remove": []any{"nobody"}}, "", http.StatusUnprocessableEntity},
		{"removed with a job that is not over", map[string]any{"remove": []any{"green"}}, "", http.StatusUnprocessableEntity},
		{"removed", map[string]any{"remove": []any{"blue"}}, "", http.StatusOK},
	}
	synctest.Test(t, func(t *testing.T) {
		b, closeAll := newMultiRegion(t, 2, 3)
		defer closeAll()
		time.Sleep(8 * time.Second)
		b.awaitInForce(b.applyChange(0, greenSplit(8, 4)), 19*time.Second)
		b.submitGreenJobs(4 * time.Second)
		time.Sleep(2 * time.Second)
		for _, tt := range tests {
			for region := range b.regions {
				if got := b.request(region, http.MethodPost, "/api/config"+tt.query, tt.change, nil); got != tt.want {
					t.Errorf("%s at region %d: %d, want %d", tt.name, region, got, tt.want)
				}
			}
		}
		for revision, want := range map[string]int{"99": http.StatusUnprocessableEntity, "none": http.StatusBadRequest, "3": http.StatusOK} {
			if got := b.request(1, http.MethodPost, "/api/config/rollback/"+revision+"?dry_run=true", nil, nil); got != want {
				t.Errorf("rollback to %s: %d, want %d", revision, got, want)
			}
		}
		var history struct {
			Changes []dynconfig.HistorySummary `codec:"changes"`
		}
		if b.request(1, http.MethodGet, "/api/config/history", nil, &history); len(history.Changes) != 5 {
			t.Errorf("%d changes are kept: %+v", len(history.Changes), history)
		}
		time.Sleep(5 * time.Second)
		hc := b.regions[1].userClient(5 * time.Second)
		taken := &job.Spec{ID: "run-73", Team: "red", ShapeName: "array", PriorityName: "standard", Tasks: 1, CPUs: 1, MemGB: 1, EstimateS: 1, Spot: true}
		for _, of := range []string{"blue", "red"} {
			sp := *taken
			sp.Team = of
			res, err := hc.Post("http://"+b.regions[1].controllerAddress(0)+"/api/jobs", wire.ContentType, bytes.NewReader(submission(&sp)))
			if err != nil {
				t.Fatal(err)
			}
			_ = res.Body.Close()
			if refused := res.StatusCode == http.StatusUnprocessableEntity; refused != (of == "blue") {
				t.Errorf("a job of %s got %d", of, res.StatusCode)
			}
		}
		b.regions[1].Go(func() { b.regions[1].runUser(taken, 0, 0) })
		b.setPartitioned(1, true)
		res, err := hc.Get("http://" + b.regions[1].controllerAddress(0) + "/api/config/status")
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
			t.Errorf("without the home region: %d", res.StatusCode)
		}
		b.setPartitioned(1, false)
		b.allowIdle = true
		b.awaitEnd(2 * time.Minute)
	})
}

// TestRemoval: a team is removed while its jobs come in at all controllers of another
// region, which do not reach each other and admit by themselves. What was accepted runs to
// its end, and nothing is accepted once the removal is in force.
func TestRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, closeAll := newMultiRegion(t, 2, 3)
		defer closeAll()
		time.Sleep(8 * time.Second)
		b.awaitInForce(b.applyChange(0, greenSplit(8, 4)), 19*time.Second)
		s := b.regions[1]
		hc := s.userClient(5 * time.Second)
		removed := make(chan uint64, 1)
		b.tasks.Go(func() { partitionControllers(30 * time.Second)(s) })
		b.tasks.Go(func() {
			time.Sleep(10 * time.Second)
			for {
				var out struct {
					Revision uint64 `codec:"revision"`
				}
				if b.request(0, http.MethodPost, "/api/config", map[string]any{"remove": []any{"green"}}, &out) == http.StatusOK {
					removed <- out.Revision
					return
				}
				time.Sleep(50 * time.Millisecond) // its jobs are not over
			}
		})
		accepted, refused := 0, 0
		for i := range 150 {
			sp := &job.Spec{ID: fmt.Sprintf("run-8%04d", i), Class: "c", Team: "green", ShapeName: "array", PriorityName: "standard", Tasks: 1, CPUs: 1, MemGB: 0.5, EstimateS: 0.2, Spot: true}
			res, err := hc.Post("http://"+s.controllerAddress(i)+"/api/jobs", wire.ContentType, bytes.NewReader(submission(sp)))
			if err == nil {
				_ = res.Body.Close()
			}
			switch {
			case err != nil:
			case res.StatusCode == http.StatusOK, res.StatusCode == http.StatusCreated:
				accepted++
				s.DescribeJob(sp)
				s.JobAccepted(sp.ID)
				s.Go(func() { s.runUser(sp, 0, 0) })
			case res.StatusCode == http.StatusUnprocessableEntity:
				refused++
			}
			time.Sleep(time.Duration(i%7) * 150 * time.Millisecond)
			if i%15 == 14 {
				time.Sleep(5 * time.Second) // it has none for a while
			}
		}
		b.awaitInForce(<-removed, time.Minute)
		if accepted == 0 || refused == 0 {
			t.Errorf("%d accepted, %d refused: the day tells nothing", accepted, refused)
		}
		b.allowIdle = true
		b.awaitEnd(3 * time.Minute)
	})
}

// TestRejected: an update of the configuration that the state service rejects is tried again
// at a pace that leaves the service to others.
func TestRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, closeAll := newMultiRegion(t, 2, 1)
		defer closeAll()
		b.allowIdle = true
		time.Sleep(8 * time.Second)
		b.awaitInForce(b.applyChange(0, greenSplit(8, 4)), 19*time.Second)
		store := b.regions[0].store
		quiet := func() int {
			before := store.Load().Requests
			time.Sleep(10 * time.Second)
			return store.Load().Requests - before
		}
		usual := quiet()
		revision := b.applyChange(0, greenSplit(2, 10))
		store.SetMaxWrites(1) // the raise that follows takes two writes
		if rejected := quiet(); rejected > usual+30 {
			t.Errorf("%d requests in ten seconds, usually %d", rejected, usual)
		}
		store.SetMaxWrites(12)
		b.awaitInForce(revision, 19*time.Second)
	})
}
