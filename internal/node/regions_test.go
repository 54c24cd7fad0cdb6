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

// greenLimitCPUs is what team green, which no platform's file names, may use in all regions.
const greenLimitCPUs = 12

// cpuTolerance is what a sum of CPUs may be off.
const cpuTolerance = 1e-6

// homeRegionPrefix is how controllers of other regions name those of the home region.
const homeRegionPrefix = "home/"

// multiRegion is several regions; the first is the home region.
type multiRegion struct {
	t             *testing.T
	regions       []*simulation
	stopped       chan struct{}
	allowLowUsage bool // green need not use much
	mu            sync.Mutex
	greenPeak     float64 // that green has used at a time
	tasks         sync.WaitGroup
	jobsCreated   int
}

// newMultiRegion starts regions of that many controllers each, and returns what ends them.
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

// newRegion starts region i, whose controllers reach the home region by a host of their own.
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

// regionHost is the host from which controllers of a region reach the home region.
func regionHost(region int) string { return fmt.Sprintf("abroad-%d", region) }

// trackGreenUsage adds up what green uses in all regions, ten times a second.
func (m *multiRegion) trackGreenUsage() {
	for {
		select {
		case <-m.stopped:
			return
		case <-time.After(100 * time.Millisecond):
		}
		sum := 0.0
		for _, s := range m.regions {
			sum += s.TeamCPUs("green")
		}
		m.mu.Lock()
		m.greenPeak = max(m.greenPeak, sum)
		m.mu.Unlock()
	}
}

// setPartitioned cuts a region from the home region, or ends that partition.
func (m *multiRegion) setPartitioned(region int, on bool) {
	name := regionHost(region)
	if !on {
		m.regions[0].setPartition(name, nil)
		return
	}
	m.regions[0].setPartition(name, func(from, to string) bool { return from == name || to == name })
}

// request repeats a request at a region until it has a clear answer, and returns its status; 0:
// there was none. The answer is decoded to out, unless that is nil.
func (m *multiRegion) request(region int, method, path string, doc, out any) int {
	m.t.Helper()
	body, err := wire.Marshal(doc)
	if err != nil {
		m.t.Fatal(err)
	}
	s := m.regions[region]
	hc := s.userClient(5 * time.Second)
	for try := range 120 {
		req, err := http.NewRequest(method, "http://"+s.controllerAddress(try)+path, bytes.NewReader(body))
		if err != nil {
			m.t.Fatal(err)
		}
		res, err := hc.Do(req)
		if err == nil {
			answer, readErr := io.ReadAll(res.Body)
			_ = res.Body.Close()
			if readErr == nil && res.StatusCode < 500 {
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

// greenSplit is a change that divides green's limit among the regions, each with half of its
// part guaranteed.
func greenSplit(cpus ...float64) map[string]any {
	regions := map[string]any{}
	for i, n := range cpus {
		regions[fmt.Sprintf("region-%d", i)] = map[string]any{
			"limit":     map[string]any{"cpus": n},
			"guarantee": map[string]any{"cpus": n / 2},
		}
	}
	team := map[string]any{
		"name":    "green",
		"limit":   map[string]any{"cpus": float64(greenLimitCPUs)},
		"regions": regions,
	}
	return map[string]any{"teams": []any{team}}
}

// applyChange makes a change at a region and returns its revision.
func (m *multiRegion) applyChange(region int, change map[string]any) uint64 {
	m.t.Helper()
	var out struct {
		Revision uint64 `codec:"revision"`
	}
	if got := m.request(region, http.MethodPost, "/api/config", change, &out); got != http.StatusOK {
		m.t.Errorf("a change got %d", got)
	}
	return out.Revision
}

// awaitInForce waits until a revision is in force in all regions, and returns how long it took.
func (m *multiRegion) awaitInForce(revision uint64, within time.Duration) time.Duration {
	m.t.Helper()
	begun := time.Now()
	var s dynconfig.Status
	behind := func(r dynconfig.RegionStatus) bool { return r.Revision < revision }
	for time.Since(begun) < within {
		m.request(0, http.MethodGet, "/api/config/status", nil, &s)
		if len(s.Regions) > 0 && !slices.ContainsFunc(s.Regions, behind) {
			return time.Since(begun)
		}
		time.Sleep(200 * time.Millisecond)
	}
	m.t.Errorf("revision %d is not in force after %v: %+v", revision, within, s)
	return within
}

// submitGreenJobs lets a user of green in each region submit a job every four seconds, for a
// while.
func (m *multiRegion) submitGreenJobs(d time.Duration) {
	const interval = 4 * time.Second
	for i, s := range m.regions {
		for at := time.Duration(0); at < d; at += interval {
			m.jobsCreated++
			spec := greenJob(fmt.Sprintf("run-%d%04d", i+1, m.jobsCreated), 6, 5)
			s.Go(func() { s.runUser(spec, at, 0) })
		}
	}
}

// greenJob is an array of green with tasks of one CPU that take that many seconds.
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

// awaitEnd waits until all jobs are over, and checks what was seen.
func (m *multiRegion) awaitEnd(within time.Duration) {
	m.t.Helper()
	begun := time.Now()
	for m.unfinishedJobs() > 0 && time.Since(begun) < within {
		time.Sleep(time.Second)
	}
	if n := m.unfinishedJobs(); n > 0 {
		m.t.Errorf("%d jobs are not over", n)
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
		m.t.Errorf("green has used %g of %d", peak, greenLimitCPUs)
	}
	if peak < greenLimitCPUs/2 && !m.allowLowUsage {
		m.t.Errorf("green has used %g at the most: the day tells nothing", peak)
	}
}

// unfinishedJobs counts the jobs of all regions that are not over.
func (m *multiRegion) unfinishedJobs() (n int) {
	for _, s := range m.regions {
		n += len(s.UnfinishedJobs())
	}
	return n
}
