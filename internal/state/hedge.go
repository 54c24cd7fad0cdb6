package state

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Most requests to the state service take a few milliseconds, and now and then
// one takes a hundred times as long. A request that is that late is sent once
// more beside the first, and the first answer counts (the hedged requests of Dean
// and Barroso, "The Tail at Scale"): a user would wait for it, and a launch.
const (
	// hedgeDelayFactor is how many typical latencies a request waits before a
	// hedged copy is sent.
	hedgeDelayFactor = 3
	// minHedgeDelay and maxHedgeDelay bound that delay.
	minHedgeDelay = 25 * time.Millisecond
	maxHedgeDelay = 300 * time.Millisecond
	// typicalPercentile is the percentile of latencies taken as typical. A higher
	// one would count the slow tail as typical.
	typicalPercentile = 85
	// recomputeEvery is after how many answers the typical latency is computed anew.
	recomputeEvery = 64
)

// latencyTracker records how long successful answers take and derives the delay
// after which a request is hedged.
type latencyTracker struct {
	mu    sync.Mutex
	hist  *hdrhistogram.Histogram // of milliseconds
	count int
	wait  time.Duration // current hedge delay
}

func newLatencyTracker() *latencyTracker {
	return &latencyTracker{hist: hdrhistogram.New(1, callTimeout.Milliseconds(), 2), wait: maxHedgeDelay}
}

// observe notes an answer.
func (p *latencyTracker) observe(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.hist.RecordValue(min(max(1, d.Milliseconds()), callTimeout.Milliseconds()))
	if p.count++; p.count%recomputeEvery != 0 {
		return
	}
	usual := time.Duration(p.hist.ValueAtQuantile(typicalPercentile)) * time.Millisecond
	p.wait = min(max(hedgeDelayFactor*usual, minHedgeDelay), maxHedgeDelay)
	p.hist.Reset()
}

// hedgeDelay is when a request that has not been answered is late.
func (p *latencyTracker) hedgeDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wait
}

// result is what an attempt has come to.
type result[T any] struct {
	v   T
	err error
}

// hedged runs an attempt, and a second one beside it if the first is late and
// again lets it. The first clear result counts. One that is not clear waits for
// the other: the request may have been executed.
func hedged[T any](ctx context.Context, p *latencyTracker, again func() bool, attempt func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ch := make(chan result[T], 2)
	run := func() {
		begun := time.Now()
		v, err := attempt(ctx)
		if err == nil {
			p.observe(time.Since(begun))
		}
		ch <- result[T]{v, err}
	}
	go run()
	late := time.NewTimer(p.hedgeDelay())
	defer late.Stop()
	var rest result[T] // not clear: what is left if nothing better comes
	for flying := 1; flying > 0; {
		select {
		case <-late.C:
			if again() {
				flying++
				go run()
			}
		case r := <-ch:
			flying--
			unclear := errors.Is(r.err, ErrUnknown)
			if !unclear && !errors.Is(r.err, ErrRefused) {
				return r.v, r.err
			}
			if unclear || rest.err == nil {
				rest = r
			}
		}
	}
	return rest.v, rest.err
}
