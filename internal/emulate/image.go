package emulate

import (
	"time"

	"vetchstream/internal/wire"
)

// ImageBehavior is how the tasks of an image behave.
type ImageBehavior struct {
	// CrashAfter is when they fail; 0: never.
	CrashAfter time.Duration
	// UnhealthyAfter is when a replica's health turns bad; 0: never. With FlapPeriod it turns
	// good and bad again with that period from then on.
	UnhealthyAfter, FlapPeriod time.Duration
	// OmitHealth: its workers do not report its health.
	OmitHealth bool
}

// health is what a worker reports of a replica that has run for that long.
func (b ImageBehavior) health(ran time.Duration) string {
	switch {
	case b.OmitHealth:
		return ""
	case b.UnhealthyAfter == 0 || ran < b.UnhealthyAfter:
		return wire.HealthGood
	case b.FlapPeriod > 0 && int((ran-b.UnhealthyAfter)/b.FlapPeriod)%2 == 1:
		return wire.HealthGood
	}
	return wire.HealthBad
}

// SetImageBehavior sets how an image's tasks behave from now on.
func (w *World) SetImageBehavior(image string, b ImageBehavior) {
	w.mu.Lock()
	w.images[image] = b
	w.mu.Unlock()
}
