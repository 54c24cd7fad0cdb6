package emulate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

// Fault is a fault that is injected at a time, and undone after another.
type Fault struct {
	// AtS is when it begins, in seconds from the start, and ForS how long it lasts.
	AtS  float64 `json:"at_s"`
	ForS float64 `json:"for_s"`
	// Kind is what fails, one of faultKinds.
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

// faultKind is a kind of fault: the fields that it needs, and how it is injected. inject calls
// wait, which lasts as long as the fault does, before it undoes the fault.
type faultKind struct {
	needsMachines, needsImage, needsDelay bool
	inject                                func(cl *Cluster, f Fault, r *rand.Rand, wait func())
}

// faultKinds are the kinds of faults by their names.
var faultKinds = map[string]faultKind{
	"state_outage":    {inject: injectStoreOutage},
	"state_slow":      {needsDelay: true, inject: injectStoreLatency},
	"machines_die":    {needsMachines: true, inject: injectMachineLoss},
	"machines_hang":   {needsMachines: true, inject: injectHang},
	"machines_sick":   {needsMachines: true, inject: injectFaultyMachines},
	"image_unhealthy": {needsImage: true, inject: injectUnhealthyImage},
	"image_crashes":   {needsImage: true, inject: injectCrashingImage},
}

func injectStoreOutage(cl *Cluster, _ Fault, _ *rand.Rand, wait func()) {
	cl.Store.SetOutage(true)
	wait()
	cl.Store.SetOutage(false)
}

func injectStoreLatency(cl *Cluster, f Fault, _ *rand.Rand, wait func()) {
	cl.Store.SetLatency(time.Duration(f.DelayMs) * time.Millisecond)
	wait()
	cl.Store.SetLatency(0)
}

func injectMachineLoss(cl *Cluster, f Fault, r *rand.Rand, _ func()) {
	cl.World.Kill(cl.World.RandomWorkers(r, f.Machines))
}

func injectHang(cl *Cluster, f Fault, r *rand.Rand, wait func()) {
	workers := cl.World.RandomWorkers(r, f.Machines)
	cl.World.Hang(workers, true)
	wait()
	cl.World.Hang(workers, false)
}

func injectFaultyMachines(cl *Cluster, f Fault, r *rand.Rand, _ func()) {
	cl.World.MakeFaulty(cl.World.RandomWorkers(r, f.Machines))
}

func injectUnhealthyImage(cl *Cluster, f Fault, _ *rand.Rand, wait func()) {
	cl.World.SetImageBehavior(f.Image, ImageBehavior{UnhealthyAfter: f.failureDelay()})
	wait()
	cl.World.SetImageBehavior(f.Image, ImageBehavior{})
}

func injectCrashingImage(cl *Cluster, f Fault, _ *rand.Rand, wait func()) {
	cl.World.SetImageBehavior(f.Image, ImageBehavior{CrashAfter: f.failureDelay()})
	wait()
	cl.World.SetImageBehavior(f.Image, ImageBehavior{})
}

// failureDelay is when an image's tasks fail, at least a millisecond failureDelay their start: 0 would mean
// never.
func (f Fault) failureDelay() time.Duration { return seconds(max(f.AfterS, 0.001)) }

const (
	// maxFaults bounds a list of faults.
	maxFaults = 1000
	// maxFaultS bounds the times of a fault, in seconds.
	maxFaultS = 1e6
	// maxFaultDelayMs bounds the delay of an answer, in milliseconds.
	maxFaultDelayMs = 60_000
)

// ParseFaults reads a list of faults (JSON). An error names the fault, from 0, and the field.
func ParseFaults(b []byte) ([]Fault, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	var faults []Fault
	if err := d.Decode(&faults); err != nil {
		return nil, fmt.Errorf("troubles: %w", err)
	}
	if len(faults) > maxFaults {
		return nil, fmt.Errorf("troubles: %d of them, more than %d", len(faults), maxFaults)
	}
	for i, f := range faults {
		if field, why := f.invalidField(); field != "" {
			return nil, fmt.Errorf("troubles[%d].%s: %s", i, field, why)
		}
	}
	return faults, nil
}

// invalidField names the first field that is not valid, and why; empty: all are.
func (f Fault) invalidField() (field, why string) {
	kind, ok := faultKinds[f.Kind]
	switch {
	case !ok:
		return "kind", fmt.Sprintf("%q is not a kind of trouble", f.Kind)
	case f.AtS < 0 || f.AtS > maxFaultS:
		return "at_s", "not from 0 to 1,000,000"
	case f.ForS < 0 || f.ForS > maxFaultS:
		return "for_s", "not from 0 to 1,000,000"
	case kind.needsMachines && f.Machines < 1:
		return "machines", "not above 0"
	case kind.needsImage && f.Image == "":
		return "image", "missing"
	case kind.needsDelay && (f.DelayMs < 1 || f.DelayMs > maxFaultDelayMs):
		return "delay_ms", "not from 1 to 60,000"
	}
	return "", ""
}

// InjectFaults injects the faults, each at its time, until the context ends. It does not wait
// for them.
func (cl *Cluster) InjectFaults(ctx context.Context, faults []Fault) {
	for i, f := range faults {
		go func() {
			if !sleep(ctx, seconds(f.AtS)) {
				return
			}
			r := rand.New(rand.NewPCG(uint64(i), 1))
			faultKinds[f.Kind].inject(cl, f, r, func() { sleep(ctx, seconds(f.ForS)) })
		}()
	}
}

// sleep waits; false: the context has ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
