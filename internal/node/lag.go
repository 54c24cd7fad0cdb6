package node

import (
	"context"
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
