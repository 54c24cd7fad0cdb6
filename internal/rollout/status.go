package rollout

import (
	"fmt"
	"math"
)

// Status is what an operator is shown of a roll-out.
type Status struct {
	Service string `codec:"service" json:"service"`
	Handle  string `codec:"handle" json:"handle"`
	Current string `codec:"current" json:"current"`
	Next    string `codec:"next" json:"next"`
	State   string `codec:"state" json:"state"`
	// Waits says what it waits for, Reason why it is where it is.
	Waits   string        `codec:"waits,omitempty" json:"waits,omitempty"`
	Reason  string        `codec:"reason,omitempty" json:"reason,omitempty"`
	Batch   int           `codec:"batch" json:"batch"` // from 1
	SinceS  float64       `codec:"since_s" json:"since_s"`
	TookS   float64       `codec:"took_s" json:"took_s"`
	Batches []BatchStatus `codec:"batches" json:"batches"`
}

// BatchStatus is one batch of it: copies of the version that is rolled out.
type BatchStatus struct {
	Zone      string `codec:"zone" json:"zone"`
	Replicas  int    `codec:"replicas" json:"replicas"`
	Running   int    `codec:"running" json:"running"`
	Healthy   int    `codec:"healthy" json:"healthy"`
	Unhealthy int    `codec:"unhealthy" json:"unhealthy"`
	Lost      int    `codec:"lost" json:"lost"`
	Failures  int    `codec:"failures" json:"failures"`
}

// NewStatus sums up a roll-out as it is seen. Of the view it needs the time and the
// copies alone.
func NewStatus(r *Record, v *View) Status {
	round := func(s float64) float64 { return math.Round(10*s) / 10 }
	s := Status{Service: r.Service, Handle: r.Handle, Current: r.Current, Next: r.Next, State: string(r.State), Reason: r.Reason,
		Batch: min(r.BatchIndex+1, len(r.Batches)), SinceS: round(secondsSince(r.StateSince, v.Now))}
	s.TookS = round(secondsSince(r.StartedAt, v.Now))
	of := v.New
	if r.State.Over() {
		s.TookS = round(float64(r.StateSince-r.StartedAt) / 1000)
		if r.State == Done {
			of = v.Old // the versions have changed places
		}
	}
	for _, b := range r.Batches {
		bs := BatchStatus{Zone: b.Zone, Replicas: len(b.Replicas)}
		for _, i := range b.Replicas {
			bs.Failures += r.Failures[i].Count
			c := v.instance(of, i)
			if c.Running {
				bs.Running++
			}
			switch {
			case c.Lost:
				bs.Lost++
			case c.Running && c.Health == Healthy:
				bs.Healthy++
			case c.Running && c.Health == Unhealthy:
				bs.Unhealthy++
			}
		}
		s.Batches = append(s.Batches, bs)
	}
	s.Waits = r.waitingFor(s.Batches)
	return s
}

// waitingFor says what comes next.
func (r *Record) waitingFor(bs []BatchStatus) string {
	if r.State.Over() || len(bs) == 0 {
		return ""
	}
	b := bs[min(r.BatchIndex, len(bs)-1)]
	switch r.State {
	case Advancing:
		if b.Healthy == b.Replicas {
			return "the old copies of the batch to go"
		}
		return fmt.Sprintf("%d of %d copies to be healthy, within %.0f s", b.Replicas-b.Healthy, b.Replicas, r.Spec.deadlineSeconds())
	case Soaking:
		return fmt.Sprintf("the batch to stay healthy for %.0f s", r.Spec.soakSeconds())
	case RollingBack:
		return fmt.Sprintf("the old copies of batch %d", r.BatchIndex+1)
	case Paused:
		if r.PausedByOperator {
			return "an operator"
		}
		return "the reason to go away"
	}
	return ""
}
