package calendar

import (
	"slices"
	"testing"
)

// TestEstimatorUpperBound checks that the bound covers the samples without far exceeding them,
// and that it is twice the expected value before the first sample.
func TestEstimatorUpperBound(t *testing.T) {
	tests := []struct {
		name    string
		samples []float64
		low     float64 // minimum of the bound, for an expected value of 10
		high    float64 // maximum of the bound
	}{
		{"without samples the bound is twice the expected value", nil, 20, 20},
		{"after one sample the bound is two to three times the sample", []float64{8}, 16, 24},
		{"after many equal samples the bound is close to them", slices.Repeat([]float64{8}, 100), 8, 8.5},
		{"a peak is remembered over many smaller samples", append([]float64{5, 6, 20}, slices.Repeat([]float64{5, 6}, 10)...), 14, 40},
		{"the bound follows samples that rise to a new level", append(slices.Repeat([]float64{5}, 50), slices.Repeat([]float64{9}, 5)...), 9, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var e Estimator
			for _, sample := range tt.samples {
				e.Add(sample)
			}
			if got := e.UpperBound(10); got < tt.low || got > tt.high {
				t.Errorf("got a bound of %.1f, want %.1f to %.1f", got, tt.low, tt.high)
			}
		})
	}
}
