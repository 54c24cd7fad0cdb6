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
	// statusInterval is the interval between polls of the configuration status.
	statusInterval = 50 * time.Millisecond
	// maxWatchedChanges bounds the number of changes that are watched concurrently.
	maxWatchedChanges = 200
	// maxMovedShare bounds the share of a region's limit that one change moves.
	maxMovedShare = 0.2
	// cpuTolerance is the permitted rounding error of a sum of CPUs.
	cpuTolerance = 1e-6
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 16 * wire.MaxBody
)

// configurationReport counts the changes of the configuration and measures their delays.
type configurationReport struct {
	// Changes counts stored changes, Refused rejected ones, and Unsettled those that were not
	// in force in all regions when the run ended.
	Changes   int64 `json:"changes"`
	Refused   int64 `json:"refused"`
	Unsettled int64 `json:"unsettled"`
	// StoredMs is the time from a request to its response. InForceMs is the time from the
	// response until all regions have reported that they apply the change.
	StoredMs  quantiles `json:"stored_ms"`
	InForceMs quantiles `json:"in_force_everywhere_ms"`
	// InForceAfterWaitMs is the same time for changes whose raise of a region's limit was seen
	// to wait for another region. InForceMs excludes them.
	InForceAfterWaitMs quantiles `json:"in_force_after_waiting_ms"`
}

// operators move parts of teams' limits between the regions during the load.
type operators struct {
	run     *run
	regions []*region
	limits  map[string][]float64 // by team, for each region, as last requested

	refused, unsettled atomic.Int64

	mu               sync.Mutex // guards the histograms and the status
	stored           *hdrhistogram.Histogram
	inForce          *hdrhistogram.Histogram
	inForceAfterWait *hdrhistogram.Histogram
	status           dynconfig.Status

	watchers sync.WaitGroup
}

func newOperators(r *run) *operators {
	o := &operators{
		run:              r,
		regions:          r.regions,
		limits:           map[string][]float64{},
		stored:           newWaitHistogram(),
		inForce:          newWaitHistogram(),
		inForceAfterWait: newWaitHistogram(),
	}
	for _, team := range r.regions[0].teamNames() {
		for _, region := range r.regions {
			o.limits[team] = append(o.limits[team], region.teamLimit())
		}
	}
	return o
}

// totalLimit returns the limit of a team, summed over all regions.
func (o *operators) totalLimit() (sum float64) {
	for _, region := range o.regions {
		sum += region.teamLimit()
	}
	return sum
}

// changeLimits requests changes at the given rate until the context ends.
func (o *operators) changeLimits(ctx context.Context, perMinute float64, random *rand.Rand) {
	if perMinute <= 0 {
		return
	}
	o.watchers.Go(func() { o.pollStatus(ctx) })
	slots := make(chan struct{}, maxWatchedChanges)
	names := o.regions[0].teamNames()
	for sleep(ctx, seconds(60/perMinute)) {
		team := names[random.IntN(len(names))]
		change := o.drawChange(team, random)
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

// drawChange draws a change that moves a part of the team's limit from one region to another.
func (o *operators) drawChange(team string, random *rand.Rand) *dynconfig.Change {
	limits := o.limits[team]
	from, to := random.IntN(len(limits)), random.IntN(len(limits))
	moved := limits[from] * maxMovedShare * random.Float64()
	limits[from] -= moved
	limits[to] += moved
	total := o.totalLimit()
	change := dynconfig.TeamChange{
		Name:    team,
		Limit:   &dynconfig.Quota{CPUs: &total},
		Regions: map[string]dynconfig.RegionQuota{},
	}
	for i, region := range o.regions {
		limit := limits[i]
		guarantee := min(limit, region.teamGuarantee())
		change.Regions[region.name] = dynconfig.RegionQuota{
			Limit:     &dynconfig.Quota{CPUs: &limit},
			Guarantee: &dynconfig.Quota{CPUs: &guarantee},
		}
	}
	return &dynconfig.Change{Teams: []dynconfig.TeamChange{change}}
}

// apply sends a change to the home region and returns the revision of the change.
func (o *operators) apply(ctx context.Context, change *dynconfig.Change) (revision uint64, ok bool) {
	body, err := wire.Marshal(change)
	if err != nil {
		return 0, false
	}
	var reply struct {
		Revision uint64 `codec:"revision"`
	}
	ok = o.request(ctx, http.MethodPost, configPath, body, &reply)
	return reply.Revision, ok
}

// request sends a request to the controllers of the home region in turn until one responds with 200.
func (o *operators) request(ctx context.Context, method, path string, body []byte, out any) bool {
	for _, server := range o.regions[0].addresses {
		if o.requestFrom(ctx, method, "http://"+server+path, body, out) {
			return true
		}
	}
	return false
}

// requestFrom sends a request and decodes the response into out. It reports whether the request
// succeeded.
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
	responseBody, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	return err == nil && res.StatusCode == http.StatusOK && wire.Unmarshal(responseBody, out) == nil
}

// pollStatus polls the configuration status until the context ends.
func (o *operators) pollStatus(ctx context.Context) {
	for sleep(ctx, statusInterval) {
		var status dynconfig.Status
		if o.request(ctx, http.MethodGet, configPath+"/status", nil, &status) {
			o.mu.Lock()
			o.status = status
			o.mu.Unlock()
		}
	}
}

// awaitInForce waits until a team's change is in force in all regions, and records the delay.
func (o *operators) awaitInForce(ctx context.Context, team string, revision uint64) {
	begun := time.Now()
	waited := false
	for sleep(ctx, statusInterval) {
		o.mu.Lock()
		status := o.status
		o.mu.Unlock()
		pending, waits := pendingChange(&status, team, revision)
		waited = waited || waits
		switch {
		case pending:
		case waited:
			o.record(o.inForceAfterWait, time.Since(begun))
			return
		default:
			o.record(o.inForce, time.Since(begun))
			return
		}
	}
	o.unsettled.Add(1)
}

// pendingChange reports whether a region does not apply a team's change yet, and whether a region
// waits because running tasks of another region exceed that region's reduced limit.
func pendingChange(status *dynconfig.Status, team string, revision uint64) (pending, waits bool) {
	if status.Revision < revision {
		return true, false
	}
	for _, region := range status.Regions {
		if region.Revision >= revision {
			continue
		}
		i := slices.IndexFunc(region.Pending, func(share dynconfig.PendingShare) bool { return share.Team == team })
		if i < 0 {
			pending = pending || region.PendingCount > len(region.Pending) // the list is truncated
			continue
		}
		pending = true
		waits = waits || slices.ContainsFunc(region.Pending[i].BlockedBy, func(other string) bool { return other != region.Region })
	}
	return pending, waits
}

// record adds a delay to a histogram.
func (o *operators) record(h *hdrhistogram.Histogram, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_ = h.RecordValue(min(max(1, took.Milliseconds()), maxWaitMs)) // clamped to the range of the histogram
}

// report summarizes the changes made so far.
func (o *operators) report() configurationReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	return configurationReport{
		Changes:            o.stored.TotalCount(),
		Refused:            o.refused.Load(),
		Unsettled:          o.unsettled.Load(),
		StoredMs:           quantilesOf(o.stored),
		InForceMs:          quantilesOf(o.inForce),
		InForceAfterWaitMs: quantilesOf(o.inForceAfterWait),
	}
}

// checkLimits checks that the CPUs a team uses in all regions together do not exceed its limit.
func (o *operators) checkLimits() {
	used := map[string]float64{}
	for _, region := range o.regions {
		for team, cpus := range region.world.CPUsByTeam() {
			used[team] += cpus
		}
	}
	for team, cpus := range used {
		if cpus > o.totalLimit()+cpuTolerance {
			o.regions[0].world.ReportViolation("quota: %s uses %g of %g CPUs in all regions", team, cpus, o.totalLimit())
		}
	}
}

// regionSettings returns the settings that tell a region's controllers about the other regions. It
// starts relays, through which the controllers reach the home region.
func (r *run) regionSettings(of *region) (config.Regions, error) {
	home := r.regions[0]
	settings := config.Regions{Name: of.name, Home: home.name, All: r.options.regionNames(), HomeAddresses: []string{}}
	if of == home {
		return settings, nil
	}
	for i, target := range home.peerAddresses {
		listener, err := of.network.Loopback.Listen(fmt.Sprintf("%s/relay-%d:0", of.name, i))
		if err != nil {
			return settings, err
		}
		relay := newRelay(listener, target)
		r.relays[link{of.name, home.name, target}] = relay
		settings.HomeAddresses = append(settings.HomeAddresses, relay.addr())
	}
	return settings, nil
}
