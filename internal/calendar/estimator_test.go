package calendar

import (
	"slices"
	"testing"
)

// TestEstimatorUpperBound: a bound covers what was seen, and twice what is expected before anything
// was.
func TestEstimatorUpperBound(t *testing.T) {
	tests := []struct {
		name string
		seen []float64
		low  float64 // the bound is at least that, of an expected 10
		high float64
	}{
		{"nothing seen", nil, 20, 20},
		{"one", []float64{8}, 16, 24},
		{"all alike", slices.Repeat([]float64{8}, 100), 8, 8.5},
		{"a long one among short ones", append([]float64{5, 6, 20}, slices.Repeat([]float64{5, 6}, 10)...), 14, 40},
		{"longer from now on", append(slices.Repeat([]float64{5}, 50), slices.Repeat([]float64{9}, 5)...), 9, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var p Estimator
			for _, x := range tt.seen {
				p.Add(x)
			}
			if got := p.UpperBound(10); got < tt.low || got > tt.high {
				t.Errorf("bound %.1f, want %.1f to %.1f", got, tt.low, tt.high)
			}
		})
	}
}
