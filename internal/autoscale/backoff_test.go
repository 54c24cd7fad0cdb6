package autoscale

import (
	"testing"
	"time"
)

// TestBackoff checks that each refusal blocks an offer for longer, up to the maximum, and that a
// success unblocks it.
func TestBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	o := Offer{}
	b := NewBackoff()
	blockedFor := func() (d time.Duration) {
		for !b.Allows(o, now.Add(d)) {
			d += time.Second
		}
		return d
	}
	for i, want := range []time.Duration{0, 5 * time.Second, 10 * time.Second, 20 * time.Second, 40 * time.Second, 40 * time.Second} {
		if got := blockedFor(); got != want {
			t.Errorf("after %d refusals the offer is blocked for %v, want %v", i, got, want)
		}
		b.RecordRefusal(o, now)
	}
	b.RecordSuccess(o)
	if !b.Allows(o, now) {
		t.Error("the offer is still blocked after a success")
	}
}
