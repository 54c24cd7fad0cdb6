package node

import (
	"context"
	"hash/crc32"
	"slices"
	"sync"
	"time"
)

// delayMonitor finds out whether this process gets too little processor time. Two
// measurements serve for that: how late timers fire, which shows a shortage whatever
// its cause, and how long a fixed piece of work takes, which shows whether this
// machine is slower than those of the siblings.
type delayMonitor struct {
	mu             sync.Mutex
	meanDelay      time.Duration // moving average of how late timers fire
	overloaded     bool
	lastContraryAt time.Time                   // when the mean delay was last on the side that confirms overloaded
	probeTimes     [probeSamples]time.Duration // ring of the last probes
	probeCount     int                         // probes so far
}

const (
	// delayInterval is the time between two measurements of the delay.
	delayInterval = 100 * time.Millisecond
	// delaySmoothing is the divisor of the moving average of delays.
	delaySmoothing = 8
	// A process counts as overloaded once the mean delay has not been below overloadDelay
	// for overloadAfter, and as recovered once it has not been above recoveredDelay for
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

// observe takes in how late a timer was.
func (d *delayMonitor) observe(delay time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.meanDelay += (delay - d.meanDelay) / delaySmoothing
	changing, after := d.meanDelay >= overloadDelay, overloadAfter
	if d.overloaded {
		changing, after = d.meanDelay <= recoveredDelay, recoveredAfter
	}
	if !changing {
		d.lastContraryAt = now
		return
	}
	if now.Sub(d.lastContraryAt) >= after {
		d.overloaded = !d.overloaded
		d.lastContraryAt = now
	}
}

// Overloaded reports whether the process gets too little processor time.
func (d *delayMonitor) Overloaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.overloaded
}

const (
	// probeBytes is the size of the piece of work: a checksum that takes some hundred
	// microseconds on a current core.
	probeBytes = 256 << 10
	// probeSamples is how many probes ProbeTime looks back on.
	probeSamples = 5
)

var probeData [probeBytes]byte

// runProbe measures the time of the piece of work once.
func (d *delayMonitor) runProbe() {
	begun := time.Now()
	crc32.ChecksumIEEE(probeData[:])
	took := time.Since(begun)
	if took <= 0 {
		return // a clock that has not advanced measures nothing
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.probeTimes[d.probeCount%probeSamples] = took
	d.probeCount++
}

// ProbeTime returns how long the piece of work takes; 0: not known yet. It is the
// least of the last probes, which nothing else has interrupted.
func (d *delayMonitor) ProbeTime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.probeCount < probeSamples {
		return 0
	}
	return slices.Min(d.probeTimes[:])
}
