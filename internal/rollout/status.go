package rollout

import (
	"fmt"
	"math"
)

// Status is a roll-out as operators see it.
type Status struct {
	Service string `codec:"service" json:"service"`
	Handle  string `codec:"handle" json:"handle"`
	Current string `codec:"current" json:"current"`
	Next    string `codec:"next" json:"next"`
	State   string `codec:"state" json:"state"`
	// WaitingFor says what the roll-out waits for, Reason why it is in its state.
	WaitingFor string `codec:"waits,omitempty" json:"waits,omitempty"`
	Reason     string `codec:"reason,omitempty" json:"reason,omitempty"`
	Batch      int    `codec:"batch" json:"batch"` // from 1
	// SinceS is the time since the state last changed, TookS the time since the roll-out was
	// requested, or its duration once it has ended, in seconds.
	SinceS  float64       `codec:"since_s" json:"since_s"`
	TookS   float64       `codec:"took_s" json:"took_s"`
	Batches []BatchStatus `codec:"batches" json:"batches"`
}

// BatchStatus is one batch of a roll-out. It counts the instances of the version that is rolled
// out.
type BatchStatus struct {
	Zone      string `codec:"zone" json:"zone"`
	Replicas  int    `codec:"replicas" json:"replicas"`
	Running   int    `codec:"running" json:"running"`
	Healthy   int    `codec:"healthy" json:"healthy"`
	Unhealthy int    `codec:"unhealthy" json:"unhealthy"`
	Lost      int    `codec:"lost" json:"lost"`
	Failures  int    `codec:"failures" json:"failures"`
}

// NewStatus returns the status of a roll-out. It uses only the time and the instances of the view.
func NewStatus(r *Record, view *View) Status {
	status := Status{
		Service: r.Service,
		Handle:  r.Handle,
		Current: r.Current,
		Next:    r.Next,
		State:   string(r.State),
		Reason:  r.Reason,
		Batch:   min(r.BatchIndex+1, len(r.Batches)),
		SinceS:  roundToTenth(secondsSince(r.StateSince, view.Now)),
		TookS:   roundToTenth(secondsSince(r.StartedAt, view.Now)),
	}
	if r.State.Ended() {
		status.TookS = roundToTenth(float64(r.StateSince-r.StartedAt) / 1000)
	}
	instances := view.New
	if r.State == Done {
		instances = view.Old // Done has swapped the two versions
	}
	for i := range r.Batches {
		status.Batches = append(status.Batches, r.batchStatus(&r.Batches[i], instances))
	}
	status.WaitingFor = r.waitingFor(status.Batches)
	return status
}

// roundToTenth rounds to one decimal.
func roundToTenth(x float64) float64 { return math.Round(10*x) / 10 }

// batchStatus returns the status of a batch with these instances.
func (r *Record) batchStatus(batch *Batch, instances []Instance) BatchStatus {
	status := BatchStatus{Zone: batch.Zone, Replicas: len(batch.Replicas)}
	for _, replica := range batch.Replicas {
		status.Failures += r.Failures[replica].Count
		instance := instanceOf(instances, replica)
		if instance.Running {
			status.Running++
		}
		switch {
		case instance.Lost:
			status.Lost++
		case instance.Running && instance.Health == Healthy:
			status.Healthy++
		case instance.Running && instance.Health == Unhealthy:
			status.Unhealthy++
		}
	}
	return status
}

// waitingFor says what a roll-out waits for. The text is empty if it waits for nothing.
func (r *Record) waitingFor(batches []BatchStatus) string {
	if r.State.Ended() || len(batches) == 0 {
		return ""
	}
	batch := batches[min(r.BatchIndex, len(batches)-1)]
	switch r.State {
	case Advancing:
		if batch.Healthy == batch.Replicas {
			return "the old copies of the batch to go"
		}
		return fmt.Sprintf("%d of %d copies to be healthy, within %.0f s", batch.Replicas-batch.Healthy, batch.Replicas, r.Spec.deadlineSeconds())
	case Soaking:
		return fmt.Sprintf("the batch to stay healthy for %.0f s", r.Spec.soakSeconds())
	case RollingBack:
		return fmt.Sprintf("the old copies of batch %d", r.BatchIndex+1)
	case Paused:
		if r.ManualResume {
			return "an operator"
		}
		return "the reason to go away"
	}
	return ""
}
