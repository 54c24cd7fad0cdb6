package calendar

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// oversubscribedLoad returns n reservations for one day that exceed the capacity of two zones
// with ten machines each.
func oversubscribedLoad(t testing.TB, n int, seed uint64) (Config, []*Reservation) {
	cfg := testConfig()
	cfg.Types = cfg.Types[:1]
	cfg.Teams = cfg.Teams[2:] // the team without a guarantee
	rnd := rand.New(rand.NewPCG(seed, 3))
	var load []*Reservation
	for i := range n {
		start := testNow.Add(time.Duration(rnd.IntN(80)) * 15 * time.Minute)
		load = append(load, parseReservation(t, map[string]any{
			"name":       fmt.Sprintf("r%d", i),
			"parts":      1 + rnd.IntN(10),
			"same_place": rnd.IntN(2) == 0,
			"start":      start.Format(time.RFC3339),
			"end":        start.Add(time.Duration(1+rnd.IntN(16)) * 15 * time.Minute).Format(time.RFC3339),
		}))
	}
	return cfg, load
}

// machineHours returns the duration of a reservation, in hours, times its number of parts, each
// of which takes a whole machine.
func machineHours(r *Reservation) float64 {
	return float64(r.Parts) * float64(r.spans[0].To-r.spans[0].From) / 3.6e6
}

// admitSequentially admits reservations one by one and returns the number of accepted ones and
// their machine hours.
func admitSequentially(cfg Config, reservations []*Reservation) (accepted int, hours float64) {
	c := New(cfg)
	for _, r := range reservations {
		if booking, err := c.Fit(r, testNow); err == nil {
			c.Add(booking)
			accepted++
			hours += machineHours(r)
		}
	}
	return accepted, hours
}

// admissionBound returns an upper bound of the machine hours that any admission order could
// accept. It solves a linear program that knows all reservations in advance and may accept
// fractions of a reservation and divide it between zones.
func admissionBound(t testing.TB, cfg Config, reservations []*Reservation) float64 {
	starts := sortedStarts(reservations)
	zones := len(cfg.Zones)
	// There is a variable for each reservation in each zone, and a slack variable for each
	// constraint. The constraints are that each reservation is accepted at most once, and that
	// the machines of a zone suffice at each start.
	vars := zones * len(reservations)
	rows := len(reservations) + zones*len(starts)
	objective := make([]float64, vars+rows)
	constraints := mat.NewDense(rows, vars+rows, nil)
	bounds := make([]float64, rows)
	for i, r := range reservations {
		bounds[i] = 1
		for z := range zones {
			x := i*zones + z
			objective[x] = -machineHours(r)
			constraints.Set(i, x, 1)
			for k, at := range starts {
				if s := r.spans[0]; s.From <= at && at < s.To {
					constraints.Set(len(reservations)+k*zones+z, x, float64(r.Parts))
				}
			}
		}
	}
	basis := make([]int, rows)
	for i := range rows {
		basis[i] = vars + i
		constraints.Set(i, vars+i, 1)
		if i >= len(reservations) {
			bounds[i] = float64(cfg.Machines("small", cfg.Zones[(i-len(reservations))%zones]))
		}
	}
	best, _, err := lp.Simplex(objective, constraints, bounds, 1e-9, basis)
	if err != nil {
		t.Fatal(err)
	}
	return -best
}

// sortedStarts returns the distinct starts of the reservations in order.
func sortedStarts(reservations []*Reservation) []int64 {
	var starts []int64
	for _, r := range reservations {
		starts = append(starts, r.spans[0].From)
	}
	slices.Sort(starts)
	return slices.Compact(starts)
}

// TestAdmissionBound checks that sequential admission of loads twice the capacity never accepts
// more machine hours than the upper bound, and accepts most of the bound.
func TestAdmissionBound(t *testing.T) {
	for seed := range uint64(3) {
		cfg, reservations := oversubscribedLoad(t, 30, seed)
		_, hours := admitSequentially(cfg, reservations)
		best := admissionBound(t, cfg, reservations)
		if hours > best+1e-6 {
			t.Errorf("seed %d: %.1f machine hours accepted, want at most the upper bound of %.1f", seed, hours, best)
		}
		if hours < 0.6*best {
			t.Errorf("seed %d: %.1f machine hours accepted, want at least 60%% of the upper bound of %.1f", seed, hours, best)
		}
	}
}

// BenchmarkAdmissionOrder compares sequential admission, in order of arrival and largest first,
// with the linear program on the same loads. It reports the accepted machine hours in per cent
// of the upper bound.
func BenchmarkAdmissionOrder(b *testing.B) {
	for _, n := range []int{20, 40, 80, 160} {
		cfg, reservations := oversubscribedLoad(b, n, 9)
		var best, hours float64
		measure := func(name string, admit func()) {
			b.Run(fmt.Sprintf("%s %d", name, n), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				for b.Loop() {
					admit()
				}
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(b.N)/1e6, "MB-allocated")
				b.ReportMetric(100*hours/best, "%-of-bound")
			})
		}
		best = admissionBound(b, cfg, reservations)
		measure("linear program", func() { hours = admissionBound(b, cfg, reservations) })
		measure("in order of arrival", func() { _, hours = admitSequentially(cfg, reservations) })
		largestFirst := slices.Clone(reservations)
		slices.SortStableFunc(largestFirst, func(x, y *Reservation) int { return int(1000 * (machineHours(y) - machineHours(x))) })
		measure("largest first", func() { _, hours = admitSequentially(cfg, largestFirst) })
	}
}
