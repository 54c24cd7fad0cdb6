package emulate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

// Fault is a fault to inject, with its start time and duration.
type Fault struct {
	// AtS is the start of the fault in seconds since the start of the emulation, ForS its duration
	// in seconds.
	AtS  float64 `json:"at_s"`
	ForS float64 `json:"for_s"`
	// Kind is a key of faultKinds.
	Kind string `json:"kind"`
	// Machines is the number of affected machines.
	Machines int `json:"machines"`
	// Image is the image whose tasks crash or whose replicas become unhealthy AfterS seconds after
	// their start.
	Image  string  `json:"image"`
	AfterS float64 `json:"after_s"`
	// DelayMs is the added latency of responses, or the longest delay of a copy of a message, in
	// milliseconds.
	DelayMs int `json:"delay_ms"`
	// Share is the share of the messages that are delivered once more, above 0 and at most 1.
	Share float64 `json:"share"`
}

// faultKind describes a kind of fault: the fields that it requires and the function that injects
// it. A fault that can be undone is undone after wait returns, which blocks for its duration.
type faultKind struct {
	needsMachines, needsImage, needsDelay, needsShare bool
	inject                                            func(cl *Cluster, f Fault, r *rand.Rand, wait func())
}

// faultKinds has the kinds of faults by name.
var faultKinds = map[string]faultKind{
	"state_outage":    {inject: injectStoreOutage},
	"state_slow":      {needsDelay: true, inject: injectStoreLatency},
	"machines_die":    {needsMachines: true, inject: injectMachineLoss},
	"machines_hang":   {needsMachines: true, inject: injectHang},
	"machines_sick":   {needsMachines: true, inject: injectFaultyMachines},
	"image_unhealthy": {needsImage: true, inject: injectUnhealthyImage},
	"image_crashes":   {needsImage: true, inject: injectCrashingImage},
	"command_copies":  {needsShare: true, needsDelay: true, inject: injectCommandCopies},
	"report_copies":   {needsShare: true, needsDelay: true, inject: injectReportCopies},
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

func injectCommandCopies(cl *Cluster, f Fault, r *rand.Rand, wait func()) {
	cl.World.DuplicateCommands(f.duplication(r))
	wait()
	cl.World.DuplicateCommands(Duplication{})
}

func injectReportCopies(cl *Cluster, f Fault, r *rand.Rand, wait func()) {
	cl.World.DuplicateHeartbeats(f.duplication(r))
	wait()
	cl.World.DuplicateHeartbeats(Duplication{})
}

// duplication returns the selection of the messages that the fault delivers once more.
func (f Fault) duplication(r *rand.Rand) Duplication {
	return Duplication{Share: f.Share, MaxDelay: time.Duration(f.DelayMs) * time.Millisecond, Random: r}
}

// failureDelay returns the time from the start of an image's tasks to their failure. It is at least
// a millisecond because 0 disables the failure in ImageBehavior.
func (f Fault) failureDelay() time.Duration { return seconds(max(f.AfterS, 0.001)) }

const (
	// maxFaults bounds a list of faults.
	maxFaults = 1000
	// maxFaultS bounds the times of a fault, in seconds.
	maxFaultS = 1e6
	// maxFaultDelayMs bounds the delay of a response, in milliseconds.
	maxFaultDelayMs = 60_000
)

// ParseFaults parses a JSON list of faults. An error about a fault contains its index and the invalid
// field.
func ParseFaults(data []byte) ([]Fault, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var faults []Fault
	if err := decoder.Decode(&faults); err != nil {
		return nil, fmt.Errorf("troubles: %w", err)
	}
	if len(faults) > maxFaults {
		return nil, fmt.Errorf("troubles: the list has %d faults, but may have at most %d", len(faults), maxFaults)
	}
	for i, f := range faults {
		if field, reason := f.invalidField(); field != "" {
			return nil, fmt.Errorf("troubles[%d].%s: %s", i, field, reason)
		}
	}
	return faults, nil
}

// invalidField returns the name of the first invalid field and the reason, or empty strings.
func (f Fault) invalidField() (field, reason string) {
	kind, ok := faultKinds[f.Kind]
	switch {
	case !ok:
		return "kind", fmt.Sprintf("%q is not a known kind of fault", f.Kind)
	case f.AtS < 0 || f.AtS > maxFaultS:
		return "at_s", "must be from 0 to 1,000,000"
	case f.ForS < 0 || f.ForS > maxFaultS:
		return "for_s", "must be from 0 to 1,000,000"
	case kind.needsMachines && f.Machines < 1:
		return "machines", "must be at least 1"
	case kind.needsImage && f.Image == "":
		return "image", "missing"
	case kind.needsDelay && (f.DelayMs < 1 || f.DelayMs > maxFaultDelayMs):
		return "delay_ms", "must be from 1 to 60,000"
	case kind.needsShare && (f.Share <= 0 || f.Share > 1):
		return "share", "must be above 0 and at most 1"
	}
	return "", ""
}

// InjectFaults starts to inject each fault at its start time, until the context ends, and returns
// at once.
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

// sleep waits for d. It returns false if the context ends first.
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
