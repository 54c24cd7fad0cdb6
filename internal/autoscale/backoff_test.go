package autoscale

import (
	"testing"
	"time"
)

// TestBackoff: an offer is closed for longer after each refusal, and open after a success.
func TestBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	o := Offer{}
	b := NewBackoff()
	wait := func() (d time.Duration) {
		for !b.Allows(o, now.Add(d)) {
			d += time.Second
		}
		return d
	}
	for i, want := range []time.Duration{0, 5 * time.Second, 10 * time.Second, 20 * time.Second, 40 * time.Second, 40 * time.Second} {
		if got := wait(); got != want {
			t.Errorf("after %d refusals closed for %v, want %v", i, got, want)
		}
		b.RecordRefusal(o, now)
	}
	b.RecordSuccess(o)
	if !b.Allows(o, now) {
		t.Error("closed after it was served")
	}
}
