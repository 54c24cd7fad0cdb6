package rollout

import "fmt"

// Sample holds the observations of a batch that the gate evaluates. The tags are the names in
// the gate's expressions.
type Sample struct {
	// Replicas is the number of replicas of the batch. Lost is the number of those whose machine
	// has ended, does not report or is being drained; they count neither as healthy nor as failed.
	Replicas int `expr:"replicas"`
	Lost     int `expr:"lost"`
	// Healthy, Unhealthy and Unknown are fractions of the replicas that are not lost.
	Healthy   float64 `expr:"healthy"`
	Unhealthy float64 `expr:"unhealthy"`
	Unknown   float64 `expr:"unknown"`
	// Failures is the highest number of failures of one replica. An instance fails if it ends with
	// an error or turns from healthy to unhealthy. AllFailures is the sum over the replicas, and
	// FailedMachines the number of machines on which the failures happened.
	Failures       int `expr:"failures"`
	AllFailures    int `expr:"all_failures"`
	FailedMachines int `expr:"failed_hosts"`
	// UnhealthyS is the longest time that an instance has been unhealthy without a break, in
	// seconds.
	UnhealthyS float64 `expr:"bad_s"`
	// SinceS is the run time of the instance that started last, in seconds.
	SinceS float64 `expr:"since_s"`
}

// sample returns the sample of a batch's new instances.
func (r *Record) sample(view *View, batch *Batch) Sample {
	sample := Sample{Replicas: len(batch.Replicas)}
	var healthy, unhealthy, unknown int
	failedMachines := map[string]bool{}
	youngest := -1.0
	for _, replica := range batch.Replicas {
		failure := r.Failures[replica]
		sample.Failures = max(sample.Failures, failure.Count)
		sample.AllFailures += failure.Count
		for _, machine := range failure.Machines {
			failedMachines[machine] = true
		}
		instance := view.newInstance(replica)
		switch {
		case instance.Lost:
			sample.Lost++
			continue
		case !instance.Running:
			unknown++
		case instance.Health == Healthy:
			healthy++
		case instance.Health == Unhealthy:
			unhealthy++
			sample.UnhealthyS = max(sample.UnhealthyS, instance.UnhealthyS)
		default:
			unknown++
		}
		if instance.Running && (youngest < 0 || instance.SinceS < youngest) {
			youngest = instance.SinceS
		}
	}
	sample.SinceS = max(0, youngest)
	sample.FailedMachines = len(failedMachines)
	if n := float64(sample.Replicas - sample.Lost); n > 0 {
		sample.Healthy = float64(healthy) / n
		sample.Unhealthy = float64(unhealthy) / n
		sample.Unknown = float64(unknown) / n
	}
	return sample
}

// describeSample describes a sample for the reason of a state. It is not a method of Sample,
// because methods would be names in the expressions of a gate.
func describeSample(s Sample) string {
	return fmt.Sprintf("%d failures on %d machines, at most %d of one copy; %.0f %% healthy, %.0f %% unhealthy, %.0f %% unknown, %d lost",
		s.AllFailures, s.FailedMachines, s.Failures, 100*s.Healthy, 100*s.Unhealthy, 100*s.Unknown, s.Lost)
}
