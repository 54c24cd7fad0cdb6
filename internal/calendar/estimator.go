package calendar

import "math"

// Factors of Estimator.
const (
	meanGain       = 1.0 / 8 // weight of a measurement in the mean, as in RFC 6298
	deviationGain  = 1.0 / 4 // weight of a measurement in the deviation, as in RFC 6298
	peakDecay      = 1.0 / 64
	boundDeviation = 4 // deviations above the mean that hardly any measurement exceeds
	// initialFactor is by how much the first measurement may exceed what is expected, since
	// estimates are wrong by half or more.
	initialFactor = 2
)

// Estimator is a running mean and mean deviation of a time or ratio, smoothed as round trips
// are in RFC 6298, with the highest measurement, which is forgotten slowly: a deviation that
// has shrunk must not promise less than what was measured. The zero value has no measurement.
type Estimator struct {
	mean, deviation, peak float64
	count                 int
}

// Count is the number of measurements.
func (e *Estimator) Count() int { return e.count }

// Add adds a measurement.
func (e *Estimator) Add(x float64) {
	e.count++
	if e.count == 1 {
		e.mean = x
		e.deviation = x / 2
		e.peak = x
		return
	}
	e.peak = max(x, e.peak-(e.peak-e.mean)*peakDecay)
	e.deviation += (math.Abs(x-e.mean) - e.deviation) * deviationGain
	e.mean += (x - e.mean) * meanGain
}

// UpperBound is what hardly any measurement exceeds; before the first one it is a multiple of
// what is expected.
func (e *Estimator) UpperBound(expected float64) float64 {
	if e.count == 0 {
		return initialFactor * expected
	}
	return max(e.mean+boundDeviation*e.deviation, e.peak)
}
