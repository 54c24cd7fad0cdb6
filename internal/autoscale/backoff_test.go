package autoscale

import (
	"testing"
	"time"
)

// TestBackoff checks that each refusal blocks an offer for longer, up to the maximum, and that a
// success unblocks it.
func TestBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	offer := Offer{}
	b := NewBackoff()
	blockedFor := func() (duration time.Duration) {
		for !b.Allows(offer, now.Add(duration)) {
			duration += time.Second
		}
		return duration
	}
	for i, want := range []time.Duration{0, 5 * time.Second, 10 * time.Second, 20 * time.Second, 40 * time.Second, 40 * time.Second} {
		if got := blockedFor(); got != want {
			t.Errorf("after %d refusals the offer is blocked for %v, want %v", i, got, want)
		}
		b.RecordRefusal(offer, now)
	}
	b.RecordSuccess(offer)
	if !b.Allows(offer, now) {
		t.Error("the offer is still blocked after a success")
	}
}
