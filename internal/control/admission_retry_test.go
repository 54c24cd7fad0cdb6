package control

import (
	"testing"
	"time"
)

// TestRetryPacer checks that refused submissions get staggered retry times, that no more
// of them are due per second than can be stored, and that no delay exceeds maxRetryAfter.
func TestRetryPacer(t *testing.T) {
	pacer := retryPacer{perSecond: 10}
	now := time.Unix(1000, 0)
	last := time.Duration(0)
	retriesInSecond := map[int]int{} // number of refused submissions by the second of their retry
	for range 600 {
		delay := pacer.retryAfter(now)
		if delay < time.Second || delay < last || delay > maxRetryAfter {
			t.Fatalf("retry delay %v after a delay of %v, want no shorter one, within the bounds", delay, last)
		}
		last = delay
		retriesInSecond[int(delay/time.Second)]++
	}
	if last != maxRetryAfter {
		t.Errorf("last retry delay %v, want maxRetryAfter", last)
	}
	for second := 2; second < 29; second++ {
		if retriesInSecond[second] > 11 {
			t.Errorf("%d retries in second %d, more than can be stored", retriesInSecond[second], second)
		}
	}
	if delay := pacer.retryAfter(now.Add(time.Minute)); delay != time.Second {
		t.Errorf("retry delay %v a minute later, want the minimum of 1 s", delay)
	}
}
