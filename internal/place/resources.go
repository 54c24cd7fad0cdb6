package place

import (
	"math"

	"vetchstream/internal/job"
)

// Resources is an amount of resources, such as those of a machine, a task or a team.
type Resources struct {
	CPUs  float64
	GPUs  float64
	MemGB float64
}

// slack absorbs rounding errors in sums of resource amounts.
const slack = 1e-6

// Fits reports whether b fits into a.
func (a Resources) Fits(b Resources) bool {
	return b.CPUs <= a.CPUs+slack && b.GPUs <= a.GPUs+slack && b.MemGB <= a.MemGB+slack
}

// addScaled returns a + k*b.
func (a Resources) addScaled(b Resources, k float64) Resources {
	return Resources{
		CPUs:  a.CPUs + k*b.CPUs,
		GPUs:  a.GPUs + k*b.GPUs,
		MemGB: a.MemGB + k*b.MemGB,
	}
}

// FitCount returns how many times b fits into a, at most job.MaxTasks.
func (a Resources) FitCount(b Resources) int {
	n := math.Inf(1)
	for _, r := range [...]struct{ has, needs float64 }{
		{a.CPUs, b.CPUs},
		{a.GPUs, b.GPUs},
		{a.MemGB, b.MemGB},
	} {
		if r.needs > 0 {
			n = min(n, math.Floor((r.has+slack)/r.needs))
		}
	}
	return int(max(0, min(n, job.MaxTasks)))
}

// dominantShare returns the larger of two shares: that of a's CPUs in the total CPUs and that
// of a's GPUs in the total GPUs.
func (a Resources) dominantShare(total Resources) (share float64) {
	if total.CPUs > 0 {
		share = a.CPUs / total.CPUs
	}
	if total.GPUs > 0 {
		share = max(share, a.GPUs/total.GPUs)
	}
	return share
}
