package node

import (
	"context"
	"hash/crc32"
	"slices"
	"sync"
	"time"
)

// delayMonitor detects whether this process gets too little processor time. It takes two
// measurements: the delay with which timers fire, which reveals a shortage regardless of
// its cause, and the duration of a fixed computation (the probe), which shows whether
// this machine is slower than those of the siblings.
type delayMonitor struct {
	mu              sync.Mutex
	meanDelay       time.Duration // moving average of the delay of timers
	overloaded      bool
	lastUncrossedAt time.Time                   // when the mean delay was last short of the threshold that changes overloaded
	probeTimes      [probeSamples]time.Duration // ring buffer of the latest probes
	probeCount      int                         // number of probes so far
}

const (
	// delayInterval is the interval between two measurements of the delay.
	delayInterval = 100 * time.Millisecond
	// delaySmoothing is the divisor of the moving average of delays.
	delaySmoothing = 8
	// A process counts as overloaded once the mean delay has been at least overloadDelay
	// for overloadAfter, and as recovered once it has been at most recoveredDelay for
	// recoveredAfter.
	overloadDelay  = 40 * time.Millisecond
	overloadAfter  = time.Second
	recoveredDelay = 10 * time.Millisecond
	recoveredAfter = 5 * time.Second
)

// run measures the delay of timers until the context ends.
func (d *delayMonitor) run(ctx context.Context) {
	timer := time.NewTimer(delayInterval)
	defer timer.Stop()
	for due := time.Now().Add(delayInterval); ; {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		d.observe(now.Sub(due), now)
		due = now.Add(delayInterval)
		timer.Reset(delayInterval)
	}
}

// observe records the delay of a timer and updates the overloaded state.
func (d *delayMonitor) observe(delay time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.meanDelay += (delay - d.meanDelay) / delaySmoothing
	crossed, confirmTime := d.meanDelay >= overloadDelay, overloadAfter
	if d.overloaded {
		crossed, confirmTime = d.meanDelay <= recoveredDelay, recoveredAfter
	}
	if !crossed {
		d.lastUncrossedAt = now
		return
	}
	if now.Sub(d.lastUncrossedAt) >= confirmTime {
		d.overloaded = !d.overloaded
		d.lastUncrossedAt = now
	}
}

// Overloaded reports whether the process gets too little processor time.
func (d *delayMonitor) Overloaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.overloaded
}

const (
	// probeBytes is the size of the data whose checksum a probe computes. This takes a few
	// hundred microseconds on a current core.
	probeBytes = 256 << 10
	// probeSamples is the number of latest probes that ProbeTime considers.
	probeSamples = 5
)

var probeData [probeBytes]byte

// runProbe runs one probe and records its duration.
func (d *delayMonitor) runProbe() {
	start := time.Now()
	crc32.ChecksumIEEE(probeData[:])
	duration := time.Since(start)
	if duration <= 0 {
		return // the clock has not advanced, so the sample is void
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.probeTimes[d.probeCount%probeSamples] = duration
	d.probeCount++
}

// ProbeTime returns the minimum duration of the latest probes, or 0 until there are
// enough of them. The minimum excludes probes that other work has interrupted.
func (d *delayMonitor) ProbeTime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.probeCount < probeSamples {
		return 0
	}
	return slices.Min(d.probeTimes[:])
}
