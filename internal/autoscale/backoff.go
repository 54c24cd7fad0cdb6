package autoscale

import "time"

// The pause after consecutive refusals doubles from firstBackoff up to maxBackoff.
const (
	firstBackoff = 5 * time.Second
	maxBackoff   = 40 * time.Second
)

// Backoff delays requests for offers that the cloud has recently refused. It is not safe for
// concurrent use.
type Backoff struct {
	until map[Offer]time.Time     // end of the current pause
	pause map[Offer]time.Duration // length of the current pause
}

// NewBackoff returns a Backoff that has recorded no refusals.
func NewBackoff() *Backoff {
	return &Backoff{
		until: map[Offer]time.Time{},
		pause: map[Offer]time.Duration{},
	}
}

// RecordRefusal records that the cloud had too few machines of an offer or none. It blocks the
// offer for a pause that doubles with each consecutive refusal.
func (b *Backoff) RecordRefusal(offer Offer, now time.Time) {
	pause := min(maxBackoff, max(firstBackoff, 2*b.pause[offer]))
	b.pause[offer] = pause
	b.until[offer] = now.Add(pause)
}

// RecordSuccess unblocks an offer and resets its pause.
func (b *Backoff) RecordSuccess(offer Offer) {
	delete(b.pause, offer)
	delete(b.until, offer)
}

// Allows reports whether the offer may be requested at the time now.
func (b *Backoff) Allows(offer Offer, now time.Time) bool { return !now.Before(b.until[offer]) }
