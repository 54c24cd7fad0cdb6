package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
)

// Kinds of faults.
const (
	// KindLeaderKilled kills the controller that leads the region and starts it again after ForS.
	KindLeaderKilled = "controller_killed"
	// KindRackLost takes Machines workers of one zone away at once.
	KindRackLost = "rack_gone"
	// KindZonePartition cuts the workers of the region's first zone from everything.
	KindZonePartition = "zone_cut"
	// KindRegionPartition cuts the region from the region Other, or from all others.
	KindRegionPartition = "regions_cut"
	// KindStoreOutage is an outage of the region's key-value store.
	KindStoreOutage = "state_out"
)

// Fault is a fault that is injected at a time, and undone after another.
type Fault struct {
	Kind string `json:"kind"`
	// StartS is when it begins, in seconds after the load has, and ForS how long it lasts.
	StartS    float64 `json:"at_s"`
	DurationS float64 `json:"for_s"`
	// Region is where; Other the region that it is cut from, empty: from all.
	Region   string `json:"region"`
	Other    string `json:"other"`
	Machines int    `json:"machines"`
}

const (
	maxFaults   = 100
	maxFaultAtS = 3600
)

// ParseFaults reads a list of faults (JSON). Run checks them.
func ParseFaults(b []byte) ([]Fault, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	var ts []Fault
	if err := d.Decode(&ts); err != nil {
		return nil, fmt.Errorf("troubles: %w", err)
	}
	return ts, nil
}

// checkFaults returns an error that names the fault, from 0, and the field.
func checkFaults(faults []Fault, regions []string) error {
	if len(faults) > maxFaults {
		return fmt.Errorf("troubles: %d of them, more than %d", len(faults), maxFaults)
	}
	for i, f := range faults {
		if field, why := f.invalidField(regions); field != "" {
			return fmt.Errorf("troubles[%d].%s: %s", i, field, why)
		}
	}
	return nil
}

// faultKinds are the kinds of faults.
var faultKinds = []string{KindLeaderKilled, KindRackLost, KindZonePartition, KindRegionPartition, KindStoreOutage}

// invalidField names the first field that is not valid, and why; empty: all are.
func (f Fault) invalidField(regions []string) (field, why string) {
	switch {
	case !slices.Contains(faultKinds, f.Kind):
		return "kind", fmt.Sprintf("%q is not a kind of trouble", f.Kind)
	case f.StartS < 0 || f.StartS > maxFaultAtS:
		return "at_s", fmt.Sprintf("not from 0 to %d", maxFaultAtS)
	case f.DurationS < 0 || f.DurationS > maxFaultAtS:
		return "for_s", fmt.Sprintf("not from 0 to %d", maxFaultAtS)
	case !slices.Contains(regions, f.Region):
		return "region", fmt.Sprintf("%q is not a region", f.Region)
	case f.Other != "" && (!slices.Contains(regions, f.Other) || f.Other == f.Region):
		return "other", fmt.Sprintf("%q is not another region", f.Other)
	case f.Kind == KindRackLost && f.Machines < 1:
		return "machines", "not above 0"
	}
	return "", ""
}

// injectFault injects a fault at its time, and undoes it, unless the context ends before.
func (r *run) injectFault(ctx context.Context, f Fault, random *rand.Rand) {
	if !sleep(ctx, seconds(f.StartS)) {
		return
	}
	r.options.Log.Info("injecting a fault", "kind", f.Kind, "region", f.Region, "other_region", f.Other, "duration_s", f.DurationS)
	region := r.regions[slices.IndexFunc(r.regions, func(x *region) bool { return x.name == f.Region })]
	wait := func() { sleep(ctx, seconds(f.DurationS)) }
	switch f.Kind {
	case KindLeaderKilled:
		r.killLeader(ctx, region, wait)
	case KindRackLost:
		workers := region.world.WorkersInZone(region.zones[random.IntN(len(region.zones))])
		region.world.Kill(workers[:min(len(workers), f.Machines)])
	case KindZonePartition:
		region.partitionFirstZone(wait)
	case KindRegionPartition:
		r.setRegionsPartitioned(f.Region, f.Other, true)
		wait()
		r.setRegionsPartitioned(f.Region, f.Other, false)
	case KindStoreOutage:
		region.store.SetOutage(true)
		wait()
		region.store.SetOutage(false)
	}
}

// killLeader kills the controller that leads a region, and starts it again after a wait unless
// the context has ended.
func (r *run) killLeader(ctx context.Context, region *region, wait func()) {
	c := region.leader()
	c.kill()
	wait()
	if ctx.Err() != nil {
		return
	}
	if err := c.start(r.launcher); err != nil {
		r.options.Log.Error("restarting a controller failed", "member", c.member, "error", err)
	}
}

// partitionFirstZone cuts the workers of the first zone off from everything during a wait.
func (r *region) partitionFirstZone(wait func()) {
	var ips []string
	for _, worker := range r.world.WorkersInZone(r.zones[0]) {
		ips = append(ips, worker.Host())
	}
	r.network.setPartitioned(ips, true)
	wait()
	r.network.setPartitioned(ips, false)
}

// setRegionsPartitioned cuts a region off from another, or from all others (empty), or ends that.
func (r *run) setRegionsPartitioned(region, other string, partitioned bool) {
	isOther := func(name string) bool { return other == "" || name == other }
	for l, relay := range r.relays {
		if (l.from == region && isOther(l.to)) || (l.to == region && isOther(l.from)) {
			relay.gate.set(!partitioned)
		}
	}
}
