// Package dynconfig decides how teams and their quotas change while the regions serve.
// The leader of the home region takes changes in and divides each team's limit among the
// regions (Home); the leader of every region follows (Replica). Both are pure: they are
// stepped with messages and return the records that have to be stored before anything
// that follows from them is said or done. See docs/configuration.md.
package dynconfig

import "math"

// Unlimited is an amount without a bound.
var Unlimited = math.Inf(1)

// tolerance is by how much sums of amounts may differ for the rounding of their parts.
const tolerance = 1e-6

// Amount is what a team may use, or is guaranteed, of each resource.
type Amount struct {
	CPUs float64 `codec:"cpus"`
	GPUs float64 `codec:"gpus"`
}

// NoLimit is the limit of a team that has none.
func NoLimit() Amount { return Amount{Unlimited, Unlimited} }

// plus adds b.
func (a Amount) plus(b Amount) Amount { return Amount{a.CPUs + b.CPUs, a.GPUs + b.GPUs} }

// minus subtracts b; what has no bound keeps none, and nothing falls below 0.
func (a Amount) minus(b Amount) Amount {
	return Amount{subtract(a.CPUs, b.CPUs), subtract(a.GPUs, b.GPUs)}
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

// elementMin is the smaller of the two, resource by resource; higher the larger.
func (a Amount) elementMin(b Amount) Amount { return Amount{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs)} }
func (a Amount) elementMax(b Amount) Amount { return Amount{max(a.CPUs, b.CPUs), max(a.GPUs, b.GPUs)} }

// approxEqual reports whether the two differ for the rounding of sums alone.
func (a Amount) approxEqual(b Amount) bool { return a.within(b) && b.within(a) }

// within reports whether no resource exceeds b's.
func (a Amount) within(b Amount) bool {
	return a.CPUs <= b.CPUs+tolerance && a.GPUs <= b.GPUs+tolerance
}
