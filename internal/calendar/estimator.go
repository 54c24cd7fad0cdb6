package calendar

import "math"

// Parameters of Estimator.
const (
	meanGain       = 1.0 / 8  // weight of a sample in the mean, as in RFC 6298
	deviationGain  = 1.0 / 4  // weight of a sample in the mean deviation, as in RFC 6298
	peakDecay      = 1.0 / 64 // part of the distance to the mean that the peak loses per sample
	boundDeviation = 4        // number of deviations between the mean and the upper bound
	// initialFactor multiplies the expected value before the first sample, because estimates
	// are wrong by half or more.
	initialFactor = 2
)

// Estimator estimates an upper bound of a time or ratio from samples. It keeps a moving
// average and mean deviation, smoothed like round-trip times in RFC 6298, and a peak that
// decays slowly, so that a shrinking deviation does not lower the bound below recent samples.
// The zero value has no samples.
type Estimator struct {
	mean, deviation, peak float64
	count                 int
}

// Count returns the number of samples.
func (e *Estimator) Count() int { return e.count }

// Add adds a sample.
func (e *Estimator) Add(sample float64) {
	e.count++
	if e.count == 1 {
		e.mean = sample
		e.deviation = sample / 2
		e.peak = sample
		return
	}
	e.peak = max(sample, e.peak-(e.peak-e.mean)*peakDecay)
	e.deviation += (math.Abs(sample-e.mean) - e.deviation) * deviationGain
	e.mean += (sample - e.mean) * meanGain
}

// UpperBound returns a value that hardly any sample exceeds. Without samples it is a multiple
// of the expected value.
func (e *Estimator) UpperBound(expected float64) float64 {
	if e.count == 0 {
		return initialFactor * expected
	}
	return max(e.mean+boundDeviation*e.deviation, e.peak)
}
