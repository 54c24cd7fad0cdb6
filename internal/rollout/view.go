package rollout

import "time"

// Health is what is known of an instance.
type Health uint8

const (
	// Unknown is not healthy.
	Unknown Health = iota
	// Healthy means that the last check passed.
	Healthy
	// Unhealthy means that the last check failed.
	Unhealthy
)

// Instance is what the leader observes of one replica in one version.
type Instance struct {
	// Live: it may be on a machine. Running: its worker says so.
	Live, Running bool
	Health        Health
	// Lost: its machine is gone, silent or being drained.
	Lost       bool
	SinceS     float64 // how long it has run
	UnhealthyS float64 `codec:"BadS"` // how long it has been unhealthy without a break
}

// readyAfter reports whether an instance has run for so many seconds: one that crashes looks
// as if it ran for a moment each time.
func (i Instance) readyAfter(seconds float64) bool { return i.Running && i.SinceS >= seconds }

// View is what the leader observes of a service at one moment. The tags are the names under
// which it was encoded before its fields were renamed.
type View struct {
	Now time.Time
	// Old and New are the instances of the two versions, by replica.
	Old, New []Instance
	// UnavailableZones are zones in which no machine can take work.
	UnavailableZones map[string]bool `codec:"Down"`
	// ChecksUnreachable: the checks reach instances of neither version, so it is the checker
	// that is cut off, not the instances.
	ChecksUnreachable bool `codec:"Blind"`
	// Cancelled: the user has cancelled the service.
	Cancelled bool
}

// oldInstance is a replica's instance of the old version.
func (v *View) oldInstance(replica int32) Instance { return instanceOf(v.Old, replica) }

// newInstance is a replica's instance of the new version.
func (v *View) newInstance(replica int32) Instance { return instanceOf(v.New, replica) }

// instanceOf is a replica's instance; the zero value if there is none.
func instanceOf(instances []Instance, replica int32) Instance {
	if int(replica) >= len(instances) {
		return Instance{}
	}
	return instances[replica]
}
