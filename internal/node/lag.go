package node

import (
	"context"
	"hash/crc32"
	"slices"
	"sync"
	"time"
)

// lag tells whether this process is short of processor: timers that fire late show
// it, whatever the work is.
type lag struct {
	mu     sync.Mutex
	mean   time.Duration // smoothed lateness of timers
	behind bool
	since  time.Time // when behind last changed
	// work are the last times that a piece of work took.
	work  [5]time.Duration
	works int
}

// probeBytes is the piece of work: some hundred microseconds on a core of today.
const probeBytes = 256 << 10

var probe [probeBytes]byte

// measure times the piece of work. The least of the last times counts: it is the
// one that nothing else came into.
func (l *lag) measure() {
	begun := time.Now()
	crc32.ChecksumIEEE(probe[:])
	d := time.Since(begun)
	if d <= 0 {
		return // the clock has not moved: it says nothing
	}
	l.mu.Lock()
	l.work[l.works%len(l.work)] = d
	l.works++
	l.mu.Unlock()
}

// Work is how long the piece of work takes; 0: not known yet.
func (l *lag) Work() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.works < len(l.work) {
		return 0
	}
	return slices.Min(l.work[:])
}

const (
	lagEvery = 100 * time.Millisecond
	// lagHigh and lagLow are the lateness above which a process counts as behind, and
	// below which it has caught up, each for some time.
	lagHigh, lagLow   = 40 * time.Millisecond, 10 * time.Millisecond
	lagRises, lagEnds = time.Second, 5 * time.Second
)

// late notes how late a timer was.
func (l *lag) late(d time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mean += (d - l.mean) / 8
	switch {
	case l.behind && l.mean > lagLow, !l.behind && l.mean < lagHigh:
		l.since = now
	case !l.behind && now.Sub(l.since) >= lagRises, l.behind && now.Sub(l.since) >= lagEnds:
		l.behind, l.since = !l.behind, now
	}
}

// Behind reports whether the process is short of processor.
func (l *lag) Behind() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.behind
}

// watch measures until the context ends.
func (l *lag) watch(ctx context.Context) {
	t := time.NewTimer(lagEvery)
	defer t.Stop()
	for due := time.Now().Add(lagEvery); ; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		l.late(now.Sub(due), now)
		due = now.Add(lagEvery)
		t.Reset(lagEvery)
	}
}
