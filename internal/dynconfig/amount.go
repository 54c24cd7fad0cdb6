// Package dynconfig changes the configuration of teams and their quotas at run time.
//
// Home runs at the leader of the home region: it accepts changes and divides each team's
// limit among the regions. Replica runs at the leader of every region and follows Home.
// Both are deterministic and do no I/O: they process messages, and return the records that
// the caller has to store before it sends their results or acts on them. See
// docs/configuration.md.
package dynconfig

import (
	"fmt"
	"math"
)

// Unlimited is the amount of a resource that is not limited.
var Unlimited = math.Inf(1)

// tolerance is the largest difference between sums of amounts that counts as a rounding error.
const tolerance = 1e-6

// Amount is a limit, a guarantee or a usage of a team, by resource.
type Amount struct {
	CPUs float64 `codec:"cpus"`
	GPUs float64 `codec:"gpus"`
}

// NoLimit returns the limit of a team whose resources are all unlimited.
func NoLimit() Amount { return Amount{CPUs: Unlimited, GPUs: Unlimited} }

// String formats the amount for log and error messages.
func (a Amount) String() string { return fmt.Sprintf("%g CPUs and %g GPUs", a.CPUs, a.GPUs) }

// plus returns the sum of a and b, resource by resource.
func (a Amount) plus(b Amount) Amount {
	return Amount{CPUs: a.CPUs + b.CPUs, GPUs: a.GPUs + b.GPUs}
}

// minus returns a less b, resource by resource. An unlimited resource of a stays unlimited, and
// no result is below 0.
func (a Amount) minus(b Amount) Amount {
	return Amount{CPUs: subtract(a.CPUs, b.CPUs), GPUs: subtract(a.GPUs, b.GPUs)}
}

func subtract(a, b float64) float64 {
	switch {
	case math.IsInf(a, 1):
		return a
	case math.IsInf(b, 1):
		return 0
	}
	return max(0, a-b)
}

// elementMin returns the smaller of the two amounts for each resource.
func (a Amount) elementMin(b Amount) Amount {
	return Amount{CPUs: min(a.CPUs, b.CPUs), GPUs: min(a.GPUs, b.GPUs)}
}

// elementMax returns the larger of the two amounts for each resource.
func (a Amount) elementMax(b Amount) Amount {
	return Amount{CPUs: max(a.CPUs, b.CPUs), GPUs: max(a.GPUs, b.GPUs)}
}

// approxEqual reports whether the amounts differ by no more than rounding errors of sums.
func (a Amount) approxEqual(b Amount) bool { return a.within(b) && b.within(a) }

// within reports whether a exceeds b in no resource by more than rounding errors of sums.
func (a Amount) within(b Amount) bool {
	return a.CPUs <= b.CPUs+tolerance && a.GPUs <= b.GPUs+tolerance
}

// Quota is an amount in the API. A resource that is omitted is nil.
type Quota struct {
	CPUs *float64 `codec:"cpus,omitempty" json:"cpus,omitempty"`
	GPUs *float64 `codec:"gpus,omitempty" json:"gpus,omitempty"`
}

// amount converts the quota to an Amount. A resource that is omitted gets the amount missing.
func (q *Quota) amount(missing float64) Amount {
	a := Amount{CPUs: missing, GPUs: missing}
	if q != nil && q.CPUs != nil {
		a.CPUs = *q.CPUs
	}
	if q != nil && q.GPUs != nil {
		a.GPUs = *q.GPUs
	}
	return a
}

// quota converts the amount to a Quota, which omits unlimited resources.
func (a Amount) quota() (q Quota) {
	if !math.IsInf(a.CPUs, 1) {
		q.CPUs = &a.CPUs
	}
	if !math.IsInf(a.GPUs, 1) {
		q.GPUs = &a.GPUs
	}
	return q
}
