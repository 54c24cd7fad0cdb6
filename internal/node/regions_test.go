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
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/dynconfig"
	"vetchstream/internal/emulate"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// greenLimitCPUs is the limit of team green over all regions. No settings file names the team; it
// exists through configuration changes only.
const greenLimitCPUs = 12

// cpuTolerance is the permitted rounding error of a sum of CPUs.
const cpuTolerance = 1e-6

// homeRegionPrefix marks addresses of the home region's controllers.
const homeRegionPrefix = "home/"

// multiRegion simulates several regions, of which the first is the home region.
type multiRegion struct {
	t             *testing.T
	regions       []*simulation
	stopped       chan struct{}
	allowLowUsage bool // green may use less than half of its limit throughout
	mu            sync.Mutex
	greenPeak     float64 // most CPUs that green has used at a time
	tasks         sync.WaitGroup
	jobsCreated   int
}

// newMultiRegion starts regions of that many controllers each, and returns a function that stops
// them.
func newMultiRegion(t *testing.T, regions, controllers int) (*multiRegion, func()) {
	m := &multiRegion{t: t, stopped: make(chan struct{})}
	names := make([]string, regions)
	for i := range names {
		names[i] = fmt.Sprintf("region-%d", i)
	}
	var closers []func()
	for i := range regions {
		s, closeAll := m.newRegion(i, names, controllers)
		m.regions = append(m.regions, s)
		closers = append(closers, closeAll)
		for _, zone := range []string{"a", "b", "c"} {
			s.Boot("small", zone, false, 0)
		}
	}
	m.tasks.Go(m.trackGreenUsage)
	return m, func() {
		close(m.stopped)
		m.tasks.Wait()
		for _, closeAll := range closers {
			closeAll()
		}
	}
}

// newRegion starts region i, whose controllers connect to the home region from a host of their
// own.
func (m *multiRegion) newRegion(i int, names []string, controllers int) (*simulation, func()) {
	editCluster := func(c *emulate.Config) {
		c.Limits = nil
		c.Controllers = simMembers(controllers)
	}
	configure := func(_ *config.Settings, tun *config.Tuning) {
		tun.Regions = config.Regions{Name: names[i], Home: names[0], All: names}
		for j := range controllers {
			tun.Regions.HomeAddresses = append(tun.Regions.HomeAddresses, homeRegionPrefix+simMember(j)+":81")
		}
	}
	s, closeAll := newSimulation(m.t, 1, editCluster, configure)
	s.dialHomeRegion = func(ctx context.Context, network, addr string) (net.Conn, error) {
		return m.regions[0].net.Dialer(regionHost(i))(ctx, network, strings.TrimPrefix(addr, homeRegionPrefix))
	}
	return s, closeAll
}

// regionHost names the host from which controllers of a region connect to the home region.
func regionHost(region int) string { return fmt.Sprintf("abroad-%d", region) }

// trackGreenUsage records the peak of green's CPU usage over all regions, sampled ten times a
// second.
func (m *multiRegion) trackGreenUsage() {
	for {
		select {
		case <-m.stopped:
			return
		case <-time.After(100 * time.Millisecond):
		}
		used := 0.0
		for _, s := range m.regions {
			used += s.TeamCPUs("green")
		}
		m.mu.Lock()
		m.greenPeak = max(m.greenPeak, used)
		m.mu.Unlock()
	}
}

// setPartitioned partitions a region from the home region, or ends the partition.
func (m *multiRegion) setPartitioned(region int, partitioned bool) {
	host := regionHost(region)
	if !partitioned {
		m.regions[0].setPartition(host, nil)
		return
	}
	m.regions[0].setPartition(host, func(from, to string) bool { return from == host || to == host })
}

// request sends a request to the region's controllers in turn until one answers with a status
// below 500, and returns that status; 0: none did. It decodes the answer into out unless out is
// nil.
func (m *multiRegion) request(region int, method, path string, doc, out any) int {
	m.t.Helper()
	body, err := wire.Marshal(doc)
	if err != nil {
		m.t.Fatal(err)
	}
	s := m.regions[region]
	client := s.userClient(5 * time.Second)
	for attempt := range 120 {
		req, err := http.NewRequest(method, "http://"+s.controllerAddress(attempt)+path, bytes.NewReader(body))
		if err != nil {
			m.t.Fatal(err)
		}
		res, err := client.Do(req)
		if err == nil {
			answer, readErr := io.ReadAll(res.Body)
			_ = res.Body.Close()
			if readErr == nil && res.StatusCode < 500 {
				if out != nil {
					_ = wire.Unmarshal(answer, out) // error answers have another body
				}
				return res.StatusCode
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return 0
}

// greenSplit returns a change that divides green's limit among the regions. Half of each part is
// guaranteed.
func greenSplit(cpusByRegion ...float64) map[string]any {
	regions := map[string]any{}
	for i, cpus := range cpusByRegion {
		regions[fmt.Sprintf("region-%d", i)] = map[string]any{
			"limit":     map[string]any{"cpus": cpus},
			"guarantee": map[string]any{"cpus": cpus / 2},
		}
	}
	team := map[string]any{
		"name":    "green",
		"limit":   map[string]any{"cpus": float64(greenLimitCPUs)},
		"regions": regions,
	}
	return map[string]any{"teams": []any{team}}
}

// applyChange requests a change at a region and returns its revision.
func (m *multiRegion) applyChange(region int, change map[string]any) uint64 {
	m.t.Helper()
	var out struct {
		Revision uint64 `codec:"revision"`
	}
	if got := m.request(region, http.MethodPost, "/api/config", change, &out); got != http.StatusOK {
		m.t.Errorf("configuration change: HTTP status %d, want 200", got)
	}
	return out.Revision
}

// awaitInForce waits until a revision is in force in all regions, and returns how long it took.
func (m *multiRegion) awaitInForce(revision uint64, within time.Duration) time.Duration {
	m.t.Helper()
	start := time.Now()
	var status dynconfig.Status
	behind := func(r dynconfig.RegionStatus) bool { return r.Revision < revision }
	for time.Since(start) < within {
		m.request(0, http.MethodGet, "/api/config/status", nil, &status)
		if len(status.Regions) > 0 && !slices.ContainsFunc(status.Regions, behind) {
			return time.Since(start)
		}
		time.Sleep(200 * time.Millisecond)
	}
	m.t.Errorf("revision %d is not in force in all regions after %v: %+v", revision, within, status)
	return within
}

// submitGreenJobs starts a user of green in each region who submits a job every four seconds for
// the given time.
func (m *multiRegion) submitGreenJobs(duration time.Duration) {
	const interval = 4 * time.Second
	for i, s := range m.regions {
		for at := time.Duration(0); at < duration; at += interval {
			m.jobsCreated++
			spec := greenJob(fmt.Sprintf("run-%d%04d", i+1, m.jobsCreated), 6, 5)
			s.Go(func() { s.runUser(spec, at, 0) })
		}
	}
}

// greenJob returns an array job of green whose tasks use one CPU each for the given time.
func greenJob(id string, tasks int, seconds float64) *job.Spec {
	return &job.Spec{
		ID:           id,
		Class:        "c",
		Team:         "green",
		ShapeName:    "array",
		PriorityName: "standard",
		Tasks:        tasks,
		CPUs:         1,
		MemGB:        0.5,
		EstimateS:    seconds,
		Spot:         true,
	}
}

// awaitEnd waits until all jobs have ended, and checks the invariants and green's peak usage.
func (m *multiRegion) awaitEnd(within time.Duration) {
	m.t.Helper()
	start := time.Now()
	for m.unfinishedJobs() > 0 && time.Since(start) < within {
		time.Sleep(time.Second)
	}
	if n := m.unfinishedJobs(); n > 0 {
		m.t.Errorf("%d jobs have not ended", n)
		for _, s := range m.regions {
			m.t.Log(s.UnfinishedJobs())
		}
	}
	for i, s := range m.regions {
		for _, violation := range s.Violations() {
			m.t.Errorf("region %d: %s", i, violation)
		}
	}
	m.mu.Lock()
	peak := m.greenPeak
	m.mu.Unlock()
	if peak > greenLimitCPUs+cpuTolerance {
		m.t.Errorf("green used %g CPUs at a time, above its limit of %d", peak, greenLimitCPUs)
	}
	if peak < greenLimitCPUs/2 && !m.allowLowUsage {
		m.t.Errorf("green used at most %g CPUs at a time: the scenario does not approach the limit", peak)
	}
}

// unfinishedJobs returns the number of unfinished jobs in all regions.
func (m *multiRegion) unfinishedJobs() (n int) {
	for _, s := range m.regions {
		n += len(s.UnfinishedJobs())
	}
	return n
}
