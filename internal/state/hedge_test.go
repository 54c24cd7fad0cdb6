package state

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestHedged checks that a slow request is sent a second time, and that a definite
// result of either attempt is preferred to ErrRefused and ErrOutcomeUnknown.
func TestHedged(t *testing.T) {
	type outcome struct {
		after time.Duration
		err   error
	}
	ok := error(nil)
	tests := []struct {
		name         string
		outcomes     []outcome // of the first and the second attempt
		mayHedge     bool
		want         error
		wantAttempts int
		wantTime     time.Duration
	}{
		{"a response before the hedge delay: one attempt", []outcome{{5 * time.Millisecond, ok}}, true, ok, 1, 5 * time.Millisecond},
		{"the second response arrives first: it is returned", []outcome{{time.Second, ok}, {5 * time.Millisecond, ok}}, true, ok, 2, maxHedgeDelay + 5*time.Millisecond},
		{"a late response without budget for a second attempt: one attempt", []outcome{{time.Second, ok}}, false, ok, 1, time.Second},
		{"both responses are late: the first to arrive is returned", []outcome{{time.Second, ok}, {2 * time.Second, ok}}, true, ok, 2, time.Second},
		{"a conflict is definite: returned at once", []outcome{{5 * time.Millisecond, ErrConflict}}, true, ErrConflict, 1, 5 * time.Millisecond},
		{"refused before the hedge delay: one attempt", []outcome{{5 * time.Millisecond, ErrRefused}}, true, ErrRefused, 1, 5 * time.Millisecond},
		{"the second is refused, the first succeeds: success", []outcome{{time.Second, ok}, {5 * time.Millisecond, ErrRefused}}, true, ok, 2, time.Second},
		{"the first has no response, the second is refused: ErrOutcomeUnknown", []outcome{{time.Second, ErrOutcomeUnknown}, {5 * time.Millisecond, ErrRefused}}, true, ErrOutcomeUnknown, 2, time.Second},
		{"the first is refused late, the second has no response: ErrOutcomeUnknown", []outcome{{400 * time.Millisecond, ErrRefused}, {time.Second, ErrOutcomeUnknown}}, true, ErrOutcomeUnknown, 2, maxHedgeDelay + time.Second},
		{"neither has a response: ErrOutcomeUnknown", []outcome{{time.Second, ErrOutcomeUnknown}, {time.Second, ErrOutcomeUnknown}}, true, ErrOutcomeUnknown, 2, maxHedgeDelay + time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var attempts atomic.Int32
				_, err := hedged(context.Background(), newLatencyTracker(), func() bool { return tt.mayHedge }, func(ctx context.Context) (int, error) {
					result := tt.outcomes[attempts.Add(1)-1]
					select {
					case <-time.After(result.after):
						return 0, result.err
					case <-ctx.Done():
						return 0, ErrOutcomeUnknown
					}
				})
				if !errors.Is(err, tt.want) || int(attempts.Load()) != tt.wantAttempts || time.Since(start) != tt.wantTime {
					t.Errorf("error %v after %v and %d attempts, want error %v after %v and %d attempts", err, time.Since(start), attempts.Load(), tt.want, tt.wantTime, tt.wantAttempts)
				}
				synctest.Wait()
			})
		})
	}
}

// TestHedgeDelay checks that the hedge delay is derived from the typical latency, within
// its bounds, and that a few slow requests do not change it.
func TestHedgeDelay(t *testing.T) {
	tests := []struct {
		name           string
		typicalLatency time.Duration
		slowPercent    int // share of requests that take a second
		want           time.Duration
	}{
		{"low latencies: minimum delay", 2 * time.Millisecond, 0, minHedgeDelay},
		{"a few slow requests: three times the typical latency", 12 * time.Millisecond, 5, 36 * time.Millisecond},
		{"high latencies: maximum delay", 400 * time.Millisecond, 0, maxHedgeDelay},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := newLatencyTracker()
			for i := range 4 * recomputeEvery {
				latency := tt.typicalLatency
				if i%100 < tt.slowPercent {
					latency = time.Second
				}
				tracker.observe(latency)
			}
			if got := tracker.hedgeDelay(); got != tt.want {
				t.Errorf("hedge delay %v, want %v", got, tt.want)
			}
		})
	}
}
