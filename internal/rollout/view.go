package rollout

import "time"

// Health is the result of an instance's last health check.
type Health uint8

const (
	// Unknown means that there is no result. The instance does not count as healthy.
	Unknown Health = iota
	// Healthy means that the last check passed.
	Healthy
	// Unhealthy means that the last check failed.
	Unhealthy
)

// Instance is what the leader observes of a replica's instance of one version.
type Instance struct {
	// Live means that the instance may be on a machine, Running that its worker reports it as
	// running.
	Live, Running bool
	Health        Health
	// Lost means that its machine has ended, does not report or is being drained.
	Lost       bool
	SinceS     float64 // how long it has run, in seconds
	UnhealthyS float64 `codec:"BadS"` // how long it has been unhealthy without a break, in seconds
}

// readyAfter reports whether an instance has run for at least this many seconds. The minimum
// excludes an instance that crashes, which runs for a moment after each restart.
func (i Instance) readyAfter(seconds float64) bool { return i.Running && i.SinceS >= seconds }

// View is what the leader observes of a service at one moment. The tags keep the names in the
// encoded form, which are older than the names of the fields.
type View struct {
	Now time.Time
	// Old and New are the instances of the old and the new version, by replica.
	Old, New []Instance
	// UnavailableZones are the zones in which no machine can take work.
	UnavailableZones map[string]bool `codec:"Down"`
	// ChecksUnreachable means that the checks reach no instance of either version: the checker
	// has no connection, and the checks say nothing about the instances.
	ChecksUnreachable bool `codec:"Blind"`
	// Cancelled means that the user has cancelled the service.
	Cancelled bool
}

// oldInstance returns a replica's instance of the old version.
func (v *View) oldInstance(replica int32) Instance { return instanceOf(v.Old, replica) }

// newInstance returns a replica's instance of the new version.
func (v *View) newInstance(replica int32) Instance { return instanceOf(v.New, replica) }

// instanceOf returns a replica's instance, or the zero value if there is none.
func instanceOf(instances []Instance, replica int32) Instance {
	if int(replica) >= len(instances) {
		return Instance{}
	}
	return instances[replica]
}
