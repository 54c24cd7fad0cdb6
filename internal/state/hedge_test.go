package state

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestHedged: a late request is sent again, and the result that counts is a
// definite one if there is any.
func TestHedged(t *testing.T) {
	type step struct {
		after time.Duration
		err   error
	}
	ok := error(nil)
	tests := []struct {
		name         string
		steps        []step // of the first and the second attempt
		mayHedge     bool
		want         error
		wantAttempts int
		wantTime     time.Duration
	}{
		{"in time", []step{{5 * time.Millisecond, ok}}, true, ok, 1, 5 * time.Millisecond},
		{"late: the second counts", []step{{time.Second, ok}, {5 * time.Millisecond, ok}}, true, ok, 2, maxHedgeDelay + 5*time.Millisecond},
		{"late, and no budget for a second", []step{{time.Second, ok}}, false, ok, 1, time.Second},
		{"both are late: the sooner counts", []step{{time.Second, ok}, {2 * time.Second, ok}}, true, ok, 2, time.Second},
		{"a conflict counts", []step{{5 * time.Millisecond, ErrConflict}}, true, ErrConflict, 1, 5 * time.Millisecond},
		{"refused at once", []step{{5 * time.Millisecond, ErrRefused}}, true, ErrRefused, 1, 5 * time.Millisecond},
		{"the second is refused, the first is served", []step{{time.Second, ok}, {5 * time.Millisecond, ErrRefused}}, true, ok, 2, time.Second},
		{"the first is lost, the second is refused: unclear", []step{{time.Second, ErrOutcomeUnknown}, {5 * time.Millisecond, ErrRefused}}, true, ErrOutcomeUnknown, 2, time.Second},
		{"the first is refused late, the second is lost: unclear", []step{{400 * time.Millisecond, ErrRefused}, {time.Second, ErrOutcomeUnknown}}, true, ErrOutcomeUnknown, 2, maxHedgeDelay + time.Second},
		{"both are lost", []step{{time.Second, ErrOutcomeUnknown}, {time.Second, ErrOutcomeUnknown}}, true, ErrOutcomeUnknown, 2, maxHedgeDelay + time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var attempts atomic.Int32
				_, err := hedged(context.Background(), newLatencyTracker(), func() bool { return tt.mayHedge }, func(ctx context.Context) (int, error) {
					s := tt.steps[attempts.Add(1)-1]
					select {
					case <-time.After(s.after):
						return 0, s.err
					case <-ctx.Done():
						return 0, ErrOutcomeUnknown
					}
				})
				if !errors.Is(err, tt.want) || int(attempts.Load()) != tt.wantAttempts || time.Since(start) != tt.wantTime {
					t.Errorf("%v after %v with %d attempts, want %v after %v with %d", err, time.Since(start), attempts.Load(), tt.want, tt.wantTime, tt.wantAttempts)
				}
				synctest.Wait()
			})
		})
	}
}

// TestHedgeDelay: the hedge delay follows the typical latency, within bounds,
// and a few slow requests do not change it.
func TestHedgeDelay(t *testing.T) {
	tests := []struct {
		name  string
		usual time.Duration
		slow  int // of a hundred
		want  time.Duration
	}{
		{"quick", 2 * time.Millisecond, 0, minHedgeDelay},
		{"some are slow", 12 * time.Millisecond, 5, 36 * time.Millisecond},
		{"always slow", 400 * time.Millisecond, 0, maxHedgeDelay},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newLatencyTracker()
			for i := range 4 * recomputeEvery {
				d := tt.usual
				if i%100 < tt.slow {
					d = time.Second
				}
				p.observe(d)
			}
			if got := p.hedgeDelay(); got != tt.want {
				t.Errorf("late after %v, want %v", got, tt.want)
			}
		})
	}
}
