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

// attemptResult is what one attempt of a hedged request has come to.
type attemptResult[T any] struct {
	v   T
	err error
}

// hedged runs attempt, and a second one beside it if the first has not answered
// within the hedge delay and mayHedge allows it (the budget has room). The first
// clear result counts: a success, or an error other than ErrUnknown and
// ErrRefused. If none is clear, ErrUnknown wins over ErrRefused: the request may
// have been executed.
func hedged[T any](ctx context.Context, p *latencyTracker, mayHedge func() bool, attempt func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult[T], 2)
	runAttempt := func() {
		begun := time.Now()
		v, err := attempt(ctx)
		if err == nil {
			p.observe(time.Since(begun))
		}
		results <- attemptResult[T]{v, err}
	}
	go runAttempt()
	hedgeTimer := time.NewTimer(p.hedgeDelay())
	defer hedgeTimer.Stop()
	var fallback attemptResult[T] // not clear: returned if nothing better comes
	for inFlight := 1; inFlight > 0; {
		select {
		case <-hedgeTimer.C:
			if mayHedge() {
				inFlight++
				go runAttempt()
			}
		case r := <-results:
			inFlight--
			unclear := errors.Is(r.err, ErrUnknown)
			if !unclear && !errors.Is(r.err, ErrRefused) {
				return r.v, r.err
			}
			if unclear || fallback.err == nil {
				fallback = r
			}
		}
	}
	return fallback.v, fallback.err
}
