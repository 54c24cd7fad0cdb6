package state

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Most requests to the state service take a few milliseconds, but the slowest take
// a hundred times as long, and users and launches wait for them. The client therefore
// sends a second copy of a slow request while the first is pending, and uses the first
// response (hedged requests; Dean and Barroso, "The Tail at Scale").
const (
	// hedgeDelayFactor is the hedge delay, the time after which the second copy is sent,
	// as a multiple of the typical latency.
	hedgeDelayFactor = 3
	// minHedgeDelay and maxHedgeDelay bound the hedge delay.
	minHedgeDelay = 25 * time.Millisecond
	maxHedgeDelay = 300 * time.Millisecond
	// typicalPercentile is the percentile of the latencies that is used as the typical
	// latency. A higher percentile would include the slow tail.
	typicalPercentile = 85
	// recomputeEvery is the number of responses between updates of the hedge delay.
	recomputeEvery = 64
	// latencyDigits is the number of significant digits of the latency histogram.
	latencyDigits = 2
)

// latencyTracker records the latency of successful requests and derives the hedge
// delay from it.
type latencyTracker struct {
	mu    sync.Mutex
	hist  *hdrhistogram.Histogram // of milliseconds
	count int                     // requests recorded
	delay time.Duration           // current hedge delay
}

func newLatencyTracker() *latencyTracker {
	return &latencyTracker{
		hist:  hdrhistogram.New(1, callTimeout.Milliseconds(), latencyDigits),
		delay: maxHedgeDelay,
	}
}

// observe records the latency of a successful request.
func (l *latencyTracker) observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.hist.RecordValue(min(max(1, d.Milliseconds()), callTimeout.Milliseconds()))
	if l.count++; l.count%recomputeEvery != 0 {
		return
	}
	typical := time.Duration(l.hist.ValueAtQuantile(typicalPercentile)) * time.Millisecond
	l.delay = min(max(hedgeDelayFactor*typical, minHedgeDelay), maxHedgeDelay)
	l.hist.Reset()
}

// hedgeDelay returns how long to wait for a response before a request is hedged.
func (l *latencyTracker) hedgeDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay
}

// attemptResult is the result of one attempt of a hedged request.
type attemptResult[T any] struct {
	value T
	err   error
}

// hedged runs attempt, and runs it a second time concurrently if the first has no
// result within the hedge delay and mayHedge returns true, which means that the budget
// allows it. hedged returns the first definite result: a success, or an error other
// than ErrOutcomeUnknown and ErrRefused. If both attempts end without one,
// ErrOutcomeUnknown takes precedence over ErrRefused, because the request may have been
// executed.
func hedged[T any](ctx context.Context, latency *latencyTracker, mayHedge func() bool, attempt func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult[T], 2)
	runAttempt := func() {
		start := time.Now()
		value, err := attempt(ctx)
		if err == nil {
			latency.observe(time.Since(start))
		}
		results <- attemptResult[T]{value, err}
	}
	go runAttempt()
	hedgeTimer := time.NewTimer(latency.hedgeDelay())
	defer hedgeTimer.Stop()
	var fallback attemptResult[T] // returned if no attempt has a definite result
	for inFlight := 1; inFlight > 0; {
		select {
		case <-hedgeTimer.C:
			if mayHedge() {
				inFlight++
				go runAttempt()
			}
		case r := <-results:
			inFlight--
			unknown := errors.Is(r.err, ErrOutcomeUnknown)
			if !unknown && !errors.Is(r.err, ErrRefused) {
				return r.value, r.err
			}
			if unknown || fallback.err == nil {
				fallback = r
			}
		}
	}
	return fallback.value, fallback.err
}
