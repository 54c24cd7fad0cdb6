package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
)

// Kinds of troubles.
const (
	// KindController ends the controller that leads the region and starts it again after ForS.
	KindController = "controller_killed"
	// KindRack takes Machines workers of one zone away at once.
	KindRack = "rack_gone"
	// KindZone cuts the workers of the region's first zone from everything.
	KindZone = "zone_cut"
	// KindRegions cuts the region from the region Other, or from all others.
	KindRegions = "regions_cut"
	// KindState lets the region's state service answer nobody.
	KindState = "state_out"
)

// Fault is something that goes wrong on cue, and rights itself.
type Fault struct {
	Kind string `json:"kind"`
	// AtS is when it begins, in seconds after the load has, and ForS how long it lasts.
	AtS  float64 `json:"at_s"`
	ForS float64 `json:"for_s"`
	// Region is where; Other the region that it is cut from, empty: from all.
	Region   string `json:"region"`
	Other    string `json:"other"`
	Machines int    `json:"machines"`
}

const (
	maxFaults   = 100
	maxFaultAtS = 3600
)

// ParseFaults reads a list of troubles (JSON).
func ParseFaults(b []byte) ([]Fault, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	var ts []Fault
	if err := d.Decode(&ts); err != nil {
		return nil, fmt.Errorf("troubles: %w", err)
	}
	return ts, nil
}

// checkFaults returns an error that names the trouble, from 0, and the field.
func checkFaults(ts []Fault, regions []string) error {
	if len(ts) > maxFaults {
		return fmt.Errorf("troubles: %d of them, more than %d", len(ts), maxFaults)
	}
	kinds := []string{KindController, KindRack, KindZone, KindRegions, KindState}
	for i, t := range ts {
		bad := func(field, why string) error { return fmt.Errorf("troubles[%d].%s: %s", i, field, why) }
		switch {
		case !slices.Contains(kinds, t.Kind):
			return bad("kind", fmt.Sprintf("%q is not a kind of trouble", t.Kind))
		case t.AtS < 0 || t.AtS > maxFaultAtS:
			return bad("at_s", fmt.Sprintf("not from 0 to %d", maxFaultAtS))
		case t.ForS < 0 || t.ForS > maxFaultAtS:
			return bad("for_s", fmt.Sprintf("not from 0 to %d", maxFaultAtS))
		case !slices.Contains(regions, t.Region):
			return bad("region", fmt.Sprintf("%q is not a region", t.Region))
		case t.Other != "" && (!slices.Contains(regions, t.Other) || t.Other == t.Region):
			return bad("other", fmt.Sprintf("%q is not another region", t.Other))
		case t.Kind == KindRack && t.Machines < 1:
			return bad("machines", "not above 0")
		}
	}
	return nil
}

// injectFault lets a trouble happen at its time.
func (r *run) injectFault(ctx context.Context, t Fault, random *rand.Rand) {
	if !sleep(ctx, seconds(t.AtS)) {
		return
	}
	r.options.Log.Info("trouble begins", "kind", t.Kind, "region", t.Region, "other", t.Other, "for_s", t.ForS)
	where := r.regions[slices.IndexFunc(r.regions, func(x *region) bool { return x.name == t.Region })]
	wait := func() { sleep(ctx, seconds(t.ForS)) }
	switch t.Kind {
	case KindController:
		c := where.leader()
		c.kill()
		wait()
		if ctx.Err() == nil {
			if err := c.start(r.launcher); err != nil {
				r.options.Log.Error("controller does not start again", "member", c.member, "error", err)
			}
		}
	case KindRack:
		ks := where.world.WorkersInZone(where.zones[random.IntN(len(where.zones))])
		where.world.Kill(ks[:min(len(ks), t.Machines)])
	case KindZone:
		var ips []string
		for _, k := range where.world.WorkersInZone(where.zones[0]) {
			ips = append(ips, k.Host())
		}
		where.network.cut(ips, true)
		wait()
		where.network.cut(ips, false)
	case KindRegions:
		r.cutRegions(t.Region, t.Other, true)
		wait()
		r.cutRegions(t.Region, t.Other, false)
	case KindState:
		where.store.SetOutage(true)
		wait()
		where.store.SetOutage(false)
	}
}
