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
	// statusInterval spaces the looks whether a change is in force.
	statusInterval = 50 * time.Millisecond
	// maxWatchedChanges bounds the changes that are watched at a time.
	maxWatchedChanges = 200
	// maxMovedShare is the part of a region's part of a limit that a change moves, at most.
	maxMovedShare = 0.2
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
	limits  map[string][]float64 // of each region, as last asked for

	refused, unsettled atomic.Int64

	mu               sync.Mutex
	stored           *hdrhistogram.Histogram
	inForce          *hdrhistogram.Histogram
	inForceAfterWait *hdrhistogram.Histogram
	watchers         sync.WaitGroup
	status           dynconfig.Status
}

func newOperators(r *run) *operators {
	o := &operators{run: r, regions: r.regions, limits: map[string][]float64{},
		stored: hdrhistogram.New(1, maxWaitMs, 3), inForce: hdrhistogram.New(1, maxWaitMs, 3), inForceAfterWait: hdrhistogram.New(1, maxWaitMs, 3)}
	for _, team := range r.regions[0].teamNames() {
		for _, region := range r.regions {
			o.limits[team] = append(o.limits[team], region.teamLimit())
		}
	}
	return o
}

// totalLimit is a team's limit in all regions.
func (o *operators) totalLimit() (sum float64) {
	for _, region := range o.regions {
		sum += region.teamLimit()
	}
	return sum
}

// changeLimits makes changes at a rate until the context ends.
func (o *operators) changeLimits(ctx context.Context, perMinute float64, r *rand.Rand) {
	if perMinute <= 0 {
		return
	}
	o.watchers.Go(func() { o.pollStatus(ctx) })
	slots := make(chan struct{}, maxWatchedChanges)
	names := o.regions[0].teamNames()
	for sleep(ctx, seconds(60/perMinute)) {
		team := names[r.IntN(len(names))]
		change := o.drawChange(team, r)
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
			o.awaitInForce(ctx, team, revision)
		})
	}
}

// drawChange moves a part of a team's limit from one region to another.
func (o *operators) drawChange(team string, r *rand.Rand) *dynconfig.Change {
	parts := o.limits[team]
	from, to := r.IntN(len(parts)), r.IntN(len(parts))
	moved := parts[from] * maxMovedShare * r.Float64()
	parts[from] -= moved
	parts[to] += moved
	total, c := o.totalLimit(), dynconfig.TeamChange{Name: team, Regions: map[string]dynconfig.RegionQuota{}}
	c.Limit = &dynconfig.Quota{CPUs: &total}
	for i, region := range o.regions {
		limit, guarantee := parts[i], min(parts[i], region.teamLimit()/(2*limitFactor))
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
	ok = o.request(ctx, http.MethodPost, configPath, body, &out)
	return out.Revision, ok
}

// request asks the home region's controllers in turn.
func (o *operators) request(ctx context.Context, method, path string, body []byte, out any) bool {
	for _, server := range o.regions[0].addresses {
		if o.requestFrom(ctx, method, "http://"+server+path, body, out) {
			return true
		}
	}
	return false
}

func (o *operators) requestFrom(ctx context.Context, method, url string, body []byte, out any) bool {
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

// pollStatus keeps the status.
func (o *operators) pollStatus(ctx context.Context) {
	for sleep(ctx, statusInterval) {
		var s dynconfig.Status
		if o.request(ctx, http.MethodGet, configPath+"/status", nil, &s) {
			o.mu.Lock()
			o.status = s
			o.mu.Unlock()
		}
	}
}

// awaitInForce waits until a team's change is in force everywhere.
func (o *operators) awaitInForce(ctx context.Context, team string, revision uint64) {
	begun, rests := time.Now(), false
	for sleep(ctx, statusInterval) {
		o.mu.Lock()
		s := o.status
		o.mu.Unlock()
		behind, inUse := pendingChange(&s, team, revision)
		rests = rests || inUse
		switch {
		case behind:
		case rests:
			o.record(o.inForceAfterWait, time.Since(begun))
			return
		default:
			o.record(o.inForce, time.Since(begun))
			return
		}
	}
	o.unsettled.Add(1)
}

// pendingChange reports whether a team's change is not in force somewhere, and whether that is
// because a region has tasks that take more than its new part.
func pendingChange(s *dynconfig.Status, team string, revision uint64) (behind, inUse bool) {
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
	_ = h.RecordValue(min(max(1, took.Milliseconds()), maxWaitMs)) // within its range
}

func (o *operators) report() configurationReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	return configurationReport{o.stored.TotalCount(), o.refused.Load(), o.unsettled.Load(), quantilesOf(o.stored), quantilesOf(o.inForce), quantilesOf(o.inForceAfterWait)}
}

// checkLimits looks whether the regions together use more of a team's limit than there is.
func (o *operators) checkLimits() {
	used := map[string]float64{}
	for _, region := range o.regions {
		for team, cpus := range region.world.CPUsByTeam() {
			used[team] += cpus
		}
	}
	for team, cpus := range used {
		if cpus > o.totalLimit()+1e-6 {
			o.regions[0].world.ReportViolation("quota: %s uses %g of %g CPUs in all regions", team, cpus, o.totalLimit())
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
	for i, target := range home.peerAddresses {
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
