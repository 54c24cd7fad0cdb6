// Package dynconfig decides how teams and their quotas change while the regions serve.
//
// Home runs at the leader of the home region: it accepts changes and divides each
// team's limit among the regions. Replica runs at the leader of every region and
// follows Home. Both are pure: they are stepped with messages, do no I/O, and return
// the records that have to be stored before their consequences may be sent or acted
// on. See docs/configuration.md.
package dynconfig

import (
	"fmt"
	"math"
)

// Unlimited is an amount without a bound.
var Unlimited = math.Inf(1)

// tolerance is how far sums of amounts may differ because their parts are rounded.
const tolerance = 1e-6

// Amount is what a team may use, or is guaranteed, of each resource.
type Amount struct {
	CPUs float64 `codec:"cpus"`
	GPUs float64 `codec:"gpus"`
}

// NoLimit is the limit of a team that has none.
func NoLimit() Amount { return Amount{CPUs: Unlimited, GPUs: Unlimited} }

// String formats the amount for messages to people.
func (a Amount) String() string { return fmt.Sprintf("%g CPUs and %g GPUs", a.CPUs, a.GPUs) }

// plus adds b, resource by resource.
func (a Amount) plus(b Amount) Amount {
	return Amount{CPUs: a.CPUs + b.CPUs, GPUs: a.GPUs + b.GPUs}
}

// minus subtracts b, resource by resource: an unlimited resource stays unlimited,
// and no result is below 0.
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

// elementMin is the smaller of the two amounts of each resource.
func (a Amount) elementMin(b Amount) Amount {
	return Amount{CPUs: min(a.CPUs, b.CPUs), GPUs: min(a.GPUs, b.GPUs)}
}

// elementMax is the larger of the two amounts of each resource.
func (a Amount) elementMax(b Amount) Amount {
	return Amount{CPUs: max(a.CPUs, b.CPUs), GPUs: max(a.GPUs, b.GPUs)}
}

// approxEqual reports whether the two differ by no more than the rounding of sums.
func (a Amount) approxEqual(b Amount) bool { return a.within(b) && b.within(a) }

// within reports whether no resource exceeds b's by more than the rounding of sums.
func (a Amount) within(b Amount) bool {
	return a.CPUs <= b.CPUs+tolerance && a.GPUs <= b.GPUs+tolerance
}

// Quota is an amount as the API shows it: a resource can be left out.
type Quota struct {
	CPUs *float64 `codec:"cpus,omitempty" json:"cpus,omitempty"`
	GPUs *float64 `codec:"gpus,omitempty" json:"gpus,omitempty"`
}

// amount converts the quota; a resource that is left out gets the amount missing.
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

// quota converts the amount; unlimited resources are left out.
func (a Amount) quota() (q Quota) {
	if !math.IsInf(a.CPUs, 1) {
		q.CPUs = &a.CPUs
	}
	if !math.IsInf(a.GPUs, 1) {
		q.GPUs = &a.GPUs
	}
	return q
}
