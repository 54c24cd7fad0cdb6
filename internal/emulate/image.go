package emulate

import (
	"time"

	"vetchstream/internal/wire"
)

// ImageBehavior describes how the tasks of an image behave. The zero value has no failures.
type ImageBehavior struct {
	// CrashAfter is the time from start to crash; 0 means that tasks do not crash.
	CrashAfter time.Duration
	// UnhealthyAfter is the time after which a replica becomes unhealthy; 0 means never. With a
	// FlapPeriod above 0 the health then alternates between bad and good, each for one FlapPeriod.
	UnhealthyAfter, FlapPeriod time.Duration
	// OmitHealth makes workers report no health for the image's replicas.
	OmitHealth bool
}

// health returns the health that a worker reports for a replica that has run for the given time.
func (b ImageBehavior) health(ran time.Duration) wire.ReplicaHealth {
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

// SetImageBehavior sets the behaviour of an image's tasks, also of those that run already.
func (w *World) SetImageBehavior(image string, b ImageBehavior) {
	w.mu.Lock()
	w.images[image] = b
	w.mu.Unlock()
}
