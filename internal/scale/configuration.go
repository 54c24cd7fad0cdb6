package scale

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"vetchstream/internal/config"
	"vetchstream/internal/dynconfig"
	"vetchstream/internal/wire"
)

const (
	configPath = "/api/config"
	// statusEvery spaces the looks whether a change is in force.
	statusEvery = 50 * time.Millisecond
	// mostOperators bounds the changes that are watched at a time.
	mostOperators = 200
	// movedShare is the part of a region's part of a limit that a change moves, at most.
	movedShare = 0.2
)

// configurationReport is how long changes took.
type configurationReport struct {
	// Changes were stored, Refused were not taken, Unsettled were not in force everywhere
	// when the run ended.
	Changes   int64 `json:"changes"`
	Refused   int64 `json:"refused"`
	Unsettled int64 `json:"unsettled"`
	// StoredMs is the time to the answer, InForceMs that from the answer until all regions
	// have said that they decide by the change.
	StoredMs  quantiles `json:"stored_ms"`
	InForceMs quantiles `json:"in_force_everywhere_ms"`
	// InUseMs is the same of changes of which a raise was seen to wait for another region.
	InUseMs quantiles `json:"in_force_after_waiting_ms"`
}

// operators change teams' parts of their limits while the load lasts.
type operators struct {
	run     *run
	regions []*region
	parts   map[string][]float64 // of each region, as last asked for

	refused, unsettled atomic.Int64

	mu       sync.Mutex
	stored   *hdrhistogram.Histogram
	inForce  *hdrhistogram.Histogram
	inUse    *hdrhistogram.Histogram
	watchers sync.WaitGroup
	status   dynconfig.Status
}

func newOperators(r *run) *operators {
	o := &operators{run: r, regions: r.regions, parts: map[string][]float64{},
		stored: hdrhistogram.New(1, waitsMost, 3), inForce: hdrhistogram.New(1, waitsMost, 3), inUse: hdrhistogram.New(1, waitsMost, 3)}
	for _, team := range r.regions[0].teamNames() {
		for _, region := range r.regions {
			o.parts[team] = append(o.parts[team], region.limit())
		}
	}
	return o
}

// total is a team's limit in all regions.
func (o *operators) total() (sum float64) {
	for _, region := range o.regions {
		sum += region.limit()
	}
	return sum
}

// work makes changes at a rate until the context ends.
func (o *operators) work(ctx context.Context, perMinute float64, r *rand.Rand) {
	if perMinute <= 0 {
		return
	}
	o.watchers.Go(func() { o.look(ctx) })
	slots := make(chan struct{}, mostOperators)
	names := o.regions[0].teamNames()
	for sleep(ctx, seconds(60/perMinute)) {
		team := names[r.IntN(len(names))]
		change := o.draw(team, r)
		begun := time.Now()
		revision, ok := o.apply(ctx, change)
		if !ok {
			o.refused.Add(1)
			continue
		}
		o.record(o.stored, time.Since(begun))
		slots <- struct{}{}
		o.watchers.Go(func() {
			defer func() { <-slots }()
			o.await(ctx, team, revision)
		})
	}
}

// draw moves a part of a team's limit from one region to another.
func (o *operators) draw(team string, r *rand.Rand) *dynconfig.Change {
	parts := o.parts[team]
	from, to := r.IntN(len(parts)), r.IntN(len(parts))
	moved := parts[from] * movedShare * r.Float64()
	parts[from] -= moved
	parts[to] += moved
	total, c := o.total(), dynconfig.TeamChange{Name: team, Regions: map[string]dynconfig.RegionQuota{}}
	c.Limit = &dynconfig.Quota{CPUs: &total}
	for i, region := range o.regions {
		limit, guarantee := parts[i], min(parts[i], region.limit()/(2*limitTimes))
		c.Regions[region.name] = dynconfig.RegionQuota{Limit: &dynconfig.Quota{CPUs: &limit}, Guarantee: &dynconfig.Quota{CPUs: &guarantee}}
	}
	return &dynconfig.Change{Teams: []dynconfig.TeamChange{c}}
}

// apply hands a change in at the home region.
func (o *operators) apply(ctx context.Context, c *dynconfig.Change) (revision uint64, ok bool) {
	body, err := wire.Marshal(c)
	if err != nil {
		return 0, false
	}
	var out struct {
		Revision uint64 `codec:"revision"`
	}
	ok = o.ask(ctx, http.MethodPost, configPath, body, &out)
	return out.Revision, ok
}

// ask asks the home region's controllers in turn.
func (o *operators) ask(ctx context.Context, method, path string, body []byte, out any) bool {
	for _, server := range o.regions[0].addresses {
		if o.askOne(ctx, method, "http://"+server+path, body, out) {
			return true
		}
	}
	return false
}

func (o *operators) askOne(ctx context.Context, method, url string, body []byte, out any) bool {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	res, err := o.run.client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(res.Body, 16*wire.MaxBody))
	return err == nil && res.StatusCode == http.StatusOK && wire.Unmarshal(answer, out) == nil
}

// look keeps the status.
func (o *operators) look(ctx context.Context) {
	for sleep(ctx, statusEvery) {
		var s dynconfig.Status
		if o.ask(ctx, http.MethodGet, configPath+"/status", nil, &s) {
			o.mu.Lock()
			o.status = s
			o.mu.Unlock()
		}
	}
}

// await waits until a team's change is in force everywhere.
func (o *operators) await(ctx context.Context, team string, revision uint64) {
	begun, rests := time.Now(), false
	for sleep(ctx, statusEvery) {
		o.mu.Lock()
		s := o.status
		o.mu.Unlock()
		behind, inUse := lacking(&s, team, revision)
		rests = rests || inUse
		switch {
		case behind:
		case rests:
			o.record(o.inUse, time.Since(begun))
			return
		default:
			o.record(o.inForce, time.Since(begun))
			return
		}
	}
	o.unsettled.Add(1)
}

// lacking reports whether a team's change is not in force somewhere, and whether that is
// because a region has tasks that take more than its new part.
func lacking(s *dynconfig.Status, team string, revision uint64) (behind, inUse bool) {
	if s.Revision < revision {
		return true, false
	}
	for _, r := range s.Regions {
		if r.Revision >= revision {
			continue
		}
		i := slices.IndexFunc(r.Pending, func(w dynconfig.PendingShare) bool { return w.Team == team })
		if i < 0 {
			behind = behind || r.PendingCount > len(r.Pending) // the list is cut off
			continue
		}
		behind = true
		inUse = inUse || slices.ContainsFunc(r.Pending[i].BlockedBy, func(other string) bool { return other != r.Region })
	}
	return behind, inUse
}

func (o *operators) record(h *hdrhistogram.Histogram, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_ = h.RecordValue(min(max(1, took.Milliseconds()), waitsMost)) // within its range
}

func (o *operators) report() configurationReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	return configurationReport{o.stored.TotalCount(), o.refused.Load(), o.unsettled.Load(), quantilesOf(o.stored), quantilesOf(o.inForce), quantilesOf(o.inUse)}
}

// judgeLimits looks whether the regions together use more of a team's limit than there is.
func (o *operators) judgeLimits() {
	used := map[string]float64{}
	for _, region := range o.regions {
		for team, cpus := range region.world.UsesAll() {
			used[team] += cpus
		}
	}
	for team, cpus := range used {
		if cpus > o.total()+1e-6 {
			o.regions[0].world.Fail("quota: %s uses %g of %g CPUs in all regions", team, cpus, o.total())
		}
	}
}

// regionSettings is what the controllers of a region are told of the others, with relays to
// the home region on the way.
func (r *run) regionSettings(of *region) (config.Regions, error) {
	home := r.regions[0]
	set := config.Regions{Name: of.name, Home: home.name, All: r.options.regionNames(), HomeAddresses: []string{}}
	if of == home {
		return set, nil
	}
	for i, target := range home.peers {
		ln, err := of.network.Loopback.Listen(fmt.Sprintf("%s/relay-%d:0", of.name, i))
		if err != nil {
			return set, err
		}
		relay := newRelay(ln, target)
		r.relays[link{of.name, home.name, target}] = relay
		set.HomeAddresses = append(set.HomeAddresses, relay.addr())
	}
	return set, nil
}
