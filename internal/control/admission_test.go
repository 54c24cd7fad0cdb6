package control

import (
	"testing"
	"time"
)

// TestRetryPacer: submissions beyond what can be stored are told to come back, each
// at a time of its own, and never later than users heed.
func TestRetryPacer(t *testing.T) {
	ts := retryPacer{perSecond: 10}
	now := time.Unix(1000, 0)
	last := time.Duration(0)
	at := map[int]int{} // second -> submissions that are told to come then
	for range 600 {
		d := ts.retryAfter(now)
		if d < time.Second || d < last || d > maxRetryAfter {
			t.Fatalf("told to come back after %v, the one before after %v", d, last)
		}
		last = d
		at[int(d/time.Second)]++
	}
	if last != maxRetryAfter {
		t.Errorf("the last is told to come after %v", last)
	}
	for s := 2; s < 29; s++ {
		if at[s] > 11 {
			t.Errorf("%d come back after %d s, more than can be stored", at[s], s)
		}
	}
	if d := ts.retryAfter(now.Add(time.Minute)); d != time.Second {
		t.Errorf("a minute later one is turned away for %v", d)
	}
}
