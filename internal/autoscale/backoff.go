package autoscale

import "time"

// The pause after a refusal doubles from firstBackoff to maxBackoff.
const (
	firstBackoff = 5 * time.Second
	maxBackoff   = 40 * time.Second
)

// Backoff remembers which offers were refused lately. It is not safe for concurrent use.
type Backoff struct {
	until map[Offer]time.Time
	pause map[Offer]time.Duration
}

// NewBackoff returns a Backoff without refusals.
func NewBackoff() *Backoff {
	return &Backoff{
		until: map[Offer]time.Time{},
		pause: map[Offer]time.Duration{},
	}
}

// RecordRefusal notes that the cloud had none, or too few, of an offer. The offer is not open for
// a pause that doubles from one refusal to the next.
func (b *Backoff) RecordRefusal(o Offer, now time.Time) {
	pause := min(maxBackoff, max(firstBackoff, 2*b.pause[o]))
	b.pause[o] = pause
	b.until[o] = now.Add(pause)
}

// RecordSuccess forgets the refusals of an offer.
func (b *Backoff) RecordSuccess(o Offer) {
	delete(b.pause, o)
	delete(b.until, o)
}

// Allows reports whether the offer may be requested.
func (b *Backoff) Allows(o Offer, now time.Time) bool { return !now.Before(b.until[o]) }
