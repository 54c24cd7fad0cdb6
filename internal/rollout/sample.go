package rollout

import "fmt"

// Sample is what a gate sees of a batch: the tags are the names in its expressions.
type Sample struct {
	// Replicas is the number of replicas of the batch. Lost of them are on machines that are
	// gone, silent or being drained, and count neither as healthy nor as failed.
	Replicas int `expr:"replicas"`
	Lost     int `expr:"lost"`
	// Healthy, Unhealthy and Unknown are fractions of those that are not lost.
	Healthy   float64 `expr:"healthy"`
	Unhealthy float64 `expr:"unhealthy"`
	Unknown   float64 `expr:"unknown"`
	// Failures is the highest number of failures of one replica, by ending with an error or
	// by turning from healthy to unhealthy; AllFailures is their sum, and FailedMachines the
	// number of machines on which they happened.
	Failures       int `expr:"failures"`
	AllFailures    int `expr:"all_failures"`
	FailedMachines int `expr:"failed_hosts"`
	// UnhealthyS is the longest time that an instance has been unhealthy without a break, in
	// seconds.
	UnhealthyS float64 `expr:"bad_s"`
	// SinceS is how long the youngest instance has run, in seconds.
	SinceS float64 `expr:"since_s"`
}

// sample sums up the new instances of a batch.
func (r *Record) sample(v *View, b *Batch) Sample {
	s := Sample{Replicas: len(b.Replicas)}
	var healthy, unhealthy, unknown int
	failedMachines := map[string]bool{}
	youngest := -1.0
	for _, replica := range b.Replicas {
		failure := r.Failures[replica]
		s.Failures = max(s.Failures, failure.Count)
		s.AllFailures += failure.Count
		for _, machine := range failure.Machines {
			failedMachines[machine] = true
		}
		instance := v.newInstance(replica)
		switch {
		case instance.Lost:
			s.Lost++
			continue
		case !instance.Running:
			unknown++
		case instance.Health == Healthy:
			healthy++
		case instance.Health == Unhealthy:
			unhealthy++
			s.UnhealthyS = max(s.UnhealthyS, instance.UnhealthyS)
		default:
			unknown++
		}
		if instance.Running && (youngest < 0 || instance.SinceS < youngest) {
			youngest = instance.SinceS
		}
	}
	s.SinceS = max(0, youngest)
	s.FailedMachines = len(failedMachines)
	if n := float64(s.Replicas - s.Lost); n > 0 {
		s.Healthy = float64(healthy) / n
		s.Unhealthy = float64(unhealthy) / n
		s.Unknown = float64(unknown) / n
	}
	return s
}

// describeSample describes a sample in a reason. It is no method of Sample: methods would be
// names in a gate's expressions.
func describeSample(s Sample) string {
	return fmt.Sprintf("%d failures on %d machines, at most %d of one copy; %.0f %% healthy, %.0f %% unhealthy, %.0f %% unknown, %d lost",
		s.AllFailures, s.FailedMachines, s.Failures, 100*s.Healthy, 100*s.Unhealthy, 100*s.Unknown, s.Lost)
}
