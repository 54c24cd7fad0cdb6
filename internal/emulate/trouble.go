package emulate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

// Fault is something that goes wrong on cue, and rights itself.
type Fault struct {
	// AtS is when it begins, in seconds from the start, and ForS how long it lasts.
	AtS  float64 `json:"at_s"`
	ForS float64 `json:"for_s"`
	// Kind is what goes wrong, see kinds.
	Kind string `json:"kind"`
	// Machines is how many it hits.
	Machines int `json:"machines"`
	// Image is the image whose tasks crash, or whose replicas turn unhealthy, AfterS
	// seconds after they start.
	Image  string  `json:"image"`
	AfterS float64 `json:"after_s"`
	// DelayMs is what an answer takes longer, in milliseconds.
	DelayMs int `json:"delay_ms"`
}

// faultKinds are the troubles, with what each needs.
var faultKinds = map[string]struct {
	machines, image, delay bool
	do                     func(cl *Cluster, t Fault, r *rand.Rand, wait func())
}{
	"state_outage": {do: func(cl *Cluster, _ Fault, _ *rand.Rand, wait func()) {
		cl.Store.SetOutage(true)
		wait()
		cl.Store.SetOutage(false)
	}},
	"state_slow": {delay: true, do: func(cl *Cluster, t Fault, _ *rand.Rand, wait func()) {
		cl.Store.SetLatency(time.Duration(t.DelayMs) * time.Millisecond)
		wait()
		cl.Store.SetLatency(0)
	}},
	"machines_die": {machines: true, do: func(cl *Cluster, t Fault, r *rand.Rand, _ func()) {
		cl.World.Kill(cl.World.RandomWorkers(r, t.Machines))
	}},
	"machines_hang": {machines: true, do: func(cl *Cluster, t Fault, r *rand.Rand, wait func()) {
		ks := cl.World.RandomWorkers(r, t.Machines)
		cl.World.Hang(ks, true)
		wait()
		cl.World.Hang(ks, false)
	}},
	"machines_sick": {machines: true, do: func(cl *Cluster, t Fault, r *rand.Rand, _ func()) {
		cl.World.MakeFaulty(cl.World.RandomWorkers(r, t.Machines))
	}},
	"image_unhealthy": {image: true, do: func(cl *Cluster, t Fault, _ *rand.Rand, wait func()) {
		cl.World.SetImageBehavior(t.Image, ImageBehavior{UnhealthyAfter: time.Duration(max(t.AfterS, 0.001) * float64(time.Second))})
		wait()
		cl.World.SetImageBehavior(t.Image, ImageBehavior{})
	}},
	"image_crashes": {image: true, do: func(cl *Cluster, t Fault, _ *rand.Rand, wait func()) {
		cl.World.SetImageBehavior(t.Image, ImageBehavior{CrashAfter: time.Duration(max(t.AfterS, 0.001) * float64(time.Second))})
		wait()
		cl.World.SetImageBehavior(t.Image, ImageBehavior{})
	}},
}

// maxFaults bounds a list of troubles.
const maxFaults = 1000

// ParseFaults reads a list of troubles (JSON). An error names the trouble, from
// 0, and the field.
func ParseFaults(b []byte) ([]Fault, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	var ts []Fault
	if err := d.Decode(&ts); err != nil {
		return nil, fmt.Errorf("troubles: %w", err)
	}
	if len(ts) > maxFaults {
		return nil, fmt.Errorf("troubles: %d of them, more than %d", len(ts), maxFaults)
	}
	for i, t := range ts {
		k, ok := faultKinds[t.Kind]
		bad := func(field, why string) error { return fmt.Errorf("troubles[%d].%s: %s", i, field, why) }
		switch {
		case !ok:
			return nil, bad("kind", fmt.Sprintf("%q is not a kind of trouble", t.Kind))
		case t.AtS < 0 || t.AtS > 1e6:
			return nil, bad("at_s", "not from 0 to 1,000,000")
		case t.ForS < 0 || t.ForS > 1e6:
			return nil, bad("for_s", "not from 0 to 1,000,000")
		case k.machines && t.Machines < 1:
			return nil, bad("machines", "not above 0")
		case k.image && t.Image == "":
			return nil, bad("image", "missing")
		case k.delay && (t.DelayMs < 1 || t.DelayMs > 60_000):
			return nil, bad("delay_ms", "not from 1 to 60,000")
		}
	}
	return ts, nil
}

// InjectFaults lets the troubles happen, each at its time, until the context ends.
func (cl *Cluster) InjectFaults(ctx context.Context, ts []Fault) {
	for i, t := range ts {
		go func() {
			wait := func(d time.Duration) bool {
				timer := time.NewTimer(d)
				defer timer.Stop()
				select {
				case <-ctx.Done():
					return false
				case <-timer.C:
					return true
				}
			}
			if wait(time.Duration(t.AtS * float64(time.Second))) {
				faultKinds[t.Kind].do(cl, t, rand.New(rand.NewPCG(uint64(i), 1)), func() { wait(time.Duration(t.ForS * float64(time.Second))) })
			}
		}()
	}
}
