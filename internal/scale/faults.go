package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"vetchstream/internal/emulate"
)

// Kinds of faults.
const (
	// KindLeaderKilled kills the leader of the region and restarts it after DurationS.
	KindLeaderKilled = "controller_killed"
	// KindRackLost kills up to Machines workers of one zone at once.
	KindRackLost = "rack_gone"
	// KindZonePartition partitions the workers of the region's first zone from the network.
	KindZonePartition = "zone_cut"
	// KindRegionPartition partitions the region from the region Other, or from all others.
	KindRegionPartition = "regions_cut"
	// KindStoreOutage makes the region's key-value store unavailable.
	KindStoreOutage = "state_out"
	// KindCommandCopies delivers a share of the region's executed direct commands once more.
	KindCommandCopies = "command_copies"
	// KindReportCopies delivers a share of the heartbeats of the region's workers once more.
	KindReportCopies = "report_copies"
)

// Fault is a fault that a run injects and, after a duration, reverts.
type Fault struct {
	Kind string `json:"kind"`
	// StartS is the start of the fault, in seconds after the start of the load, and DurationS
	// its duration in seconds.
	StartS    float64 `json:"at_s"`
	DurationS float64 `json:"for_s"`
	// Region is the affected region. Other is the region that KindRegionPartition separates it
	// from; if it is empty, that is every other region. Machines is the number of workers that
	// KindRackLost kills.
	Region   string `json:"region"`
	Other    string `json:"other"`
	Machines int    `json:"machines"`
	// Share is the share of the messages that are delivered once more, above 0 and at most 1, and
	// DelayMs the longest delay of a copy in milliseconds.
	Share   float64 `json:"share"`
	DelayMs int     `json:"delay_ms"`
}

const (
	maxFaults       = 100
	maxFaultAtS     = 3600
	maxFaultDelayMs = 60_000
)

// ParseFaults decodes a JSON list of faults. It does not check their values; Run does.
func ParseFaults(b []byte) ([]Fault, error) {
	decoder := json.NewDecoder(bytes.NewReader(b))
	decoder.DisallowUnknownFields()
	var faults []Fault
	if err := decoder.Decode(&faults); err != nil {
		return nil, fmt.Errorf("troubles: %w", err)
	}
	return faults, nil
}

// checkFaults returns an error that names the index and the field of the first invalid fault.
func checkFaults(faults []Fault, regions []string) error {
	if len(faults) > maxFaults {
		return fmt.Errorf("troubles: %d faults in the list, at most %d are allowed", len(faults), maxFaults)
	}
	for i, f := range faults {
		if field, why := f.invalidField(regions); field != "" {
			return fmt.Errorf("troubles[%d].%s: %s", i, field, why)
		}
	}
	return nil
}

// faultKinds lists all kinds of faults.
var faultKinds = []string{KindLeaderKilled, KindRackLost, KindZonePartition, KindRegionPartition, KindStoreOutage, KindCommandCopies, KindReportCopies}

// copiesMessages reports whether the fault delivers messages once more.
func (f Fault) copiesMessages() bool {
	return f.Kind == KindCommandCopies || f.Kind == KindReportCopies
}

// invalidField returns the name of the first invalid field and the reason, or empty texts if all
// fields are valid.
func (f Fault) invalidField(regions []string) (field, why string) {
	switch {
	case !slices.Contains(faultKinds, f.Kind):
		return "kind", fmt.Sprintf("%q is not a kind of fault", f.Kind)
	case f.StartS < 0 || f.StartS > maxFaultAtS:
		return "at_s", fmt.Sprintf("must be from 0 to %d", maxFaultAtS)
	case f.DurationS < 0 || f.DurationS > maxFaultAtS:
		return "for_s", fmt.Sprintf("must be from 0 to %d", maxFaultAtS)
	case !slices.Contains(regions, f.Region):
		return "region", fmt.Sprintf("%q is not a region", f.Region)
	case f.Other != "" && (!slices.Contains(regions, f.Other) || f.Other == f.Region):
		return "other", fmt.Sprintf("%q is not another region", f.Other)
	case f.Kind == KindRackLost && f.Machines < 1:
		return "machines", "must be greater than 0"
	case f.copiesMessages() && (f.Share <= 0 || f.Share > 1):
		return "share", "must be above 0 and at most 1"
	case f.copiesMessages() && (f.DelayMs < 1 || f.DelayMs > maxFaultDelayMs):
		return "delay_ms", fmt.Sprintf("must be from 1 to %d", maxFaultDelayMs)
	}
	return "", ""
}

// injectFault injects a fault at its start time and reverts it after its duration. If the context
// ends before the start time, it does nothing.
func (r *run) injectFault(ctx context.Context, f Fault, random *rand.Rand) {
	if !sleep(ctx, seconds(f.StartS)) {
		return
	}
	r.options.Log.Info("injecting fault", "kind", f.Kind, "region", f.Region, "other_region", f.Other, "duration_s", f.DurationS)
	region := r.regions[slices.IndexFunc(r.regions, func(candidate *region) bool { return candidate.name == f.Region })]
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
	case KindCommandCopies:
		region.world.DuplicateCommands(f.duplication(random))
		wait()
		region.world.DuplicateCommands(emulate.Duplication{})
	case KindReportCopies:
		region.world.DuplicateHeartbeats(f.duplication(random))
		wait()
		region.world.DuplicateHeartbeats(emulate.Duplication{})
	}
}

// duplication returns the selection of the messages that the fault delivers once more.
func (f Fault) duplication(random *rand.Rand) emulate.Duplication {
	return emulate.Duplication{Share: f.Share, MaxDelay: time.Duration(f.DelayMs) * time.Millisecond, Random: random}
}

// killLeader kills the leader of a region and restarts it after wait returns, unless the context
// has ended by then.
func (r *run) killLeader(ctx context.Context, region *region, wait func()) {
	c := region.leader()
	c.kill()
	wait()
	if ctx.Err() != nil {
		return
	}
	if err := c.start(r.launcher); err != nil {
		r.options.Log.Error("failed to restart a controller", "member", c.member, "error", err)
	}
}

// partitionFirstZone partitions the workers of the first zone from the network until wait returns.
func (r *region) partitionFirstZone(wait func()) {
	var ips []string
	for _, worker := range r.world.WorkersInZone(r.zones[0]) {
		ips = append(ips, worker.Host())
	}
	r.network.setPartitioned(ips, true)
	wait()
	r.network.setPartitioned(ips, false)
}

// setRegionsPartitioned starts or ends the network partition between a region and another one, or
// all others if other is empty.
func (r *run) setRegionsPartitioned(region, other string, partitioned bool) {
	isOther := func(name string) bool { return other == "" || name == other }
	for l, relay := range r.relays {
		if (l.from == region && isOther(l.to)) || (l.to == region && isOther(l.from)) {
			relay.gate.set(!partitioned)
		}
	}
}
