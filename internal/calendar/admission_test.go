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

// oversubscribedLoad is a load of n reservations for one day that ten machines in each of two
// zones cannot hold.
func oversubscribedLoad(t testing.TB, n int, seed uint64) (Config, []*Reservation) {
	f := testConfig()
	f.Types = f.Types[:1]
	f.Teams = f.Teams[2:] // without guarantees
	r := rand.New(rand.NewPCG(seed, 3))
	var out []*Reservation
	for i := range n {
		start := testNow.Add(time.Duration(r.IntN(80)) * 15 * time.Minute)
		out = append(out, parseReservation(t, map[string]any{
			"name":       fmt.Sprintf("r%d", i),
			"parts":      1 + r.IntN(10),
			"same_place": r.IntN(2) == 0,
			"start":      start.Format(time.RFC3339),
			"end":        start.Add(time.Duration(1+r.IntN(16)) * 15 * time.Minute).Format(time.RFC3339),
		}))
	}
	return f, out
}

// machineHours is the size of a reservation of whole machines.
func machineHours(r *Reservation) float64 {
	return float64(r.Parts) * float64(r.spans[0].To-r.spans[0].From) / 3.6e6
}

// admitSequentially admits reservations one by one and returns how many, and their size.
func admitSequentially(f Config, rs []*Reservation) (accepted int, hours float64) {
	c := New(f)
	for _, r := range rs {
		if e, err := c.Fit(r, testNow); err == nil {
			c.Add(e)
			accepted++
			hours += machineHours(r)
		}
	}
	return accepted, hours
}

// admissionBound is the most machine hours that any choice could accept, with all
// reservations known beforehand: a linear program in which each may be accepted in
// part, and in parts of zones.
func admissionBound(t testing.TB, f Config, rs []*Reservation) float64 {
	starts := sortedStarts(rs)
	zones := len(f.Zones)
	// A variable for each reservation in each zone, and a slack variable for each constraint: a
	// reservation is accepted at most once, and a zone has so many machines at each start.
	vars := zones * len(rs)
	rows := len(rs) + zones*len(starts)
	objective := make([]float64, vars+rows)
	constraints := mat.NewDense(rows, vars+rows, nil)
	bounds := make([]float64, rows)
	for i, r := range rs {
		bounds[i] = 1
		for z := range zones {
			x := i*zones + z
			objective[x] = -machineHours(r)
			constraints.Set(i, x, 1)
			for k, at := range starts {
				if s := r.spans[0]; s.From <= at && at < s.To {
					constraints.Set(len(rs)+k*zones+z, x, float64(r.Parts))
				}
			}
		}
	}
	basis := make([]int, rows)
	for i := range rows {
		basis[i] = vars + i
		constraints.Set(i, vars+i, 1)
		if i >= len(rs) {
			bounds[i] = float64(f.Machines("small", f.Zones[(i-len(rs))%zones]))
		}
	}
	best, _, err := lp.Simplex(objective, constraints, bounds, 1e-9, basis)
	if err != nil {
		t.Fatal(err)
	}
	return -best
}

// sortedStarts are the different starts of reservations.
func sortedStarts(rs []*Reservation) []int64 {
	var starts []int64
	for _, r := range rs {
		starts = append(starts, r.spans[0].From)
	}
	slices.Sort(starts)
	return slices.Compact(starts)
}

// TestAdmissionBound: what is accepted one by one is never more than any choice could accept,
// and, of loads twice too large, most of it.
func TestAdmissionBound(t *testing.T) {
	for seed := range uint64(3) {
		f, rs := oversubscribedLoad(t, 30, seed)
		_, hours := admitSequentially(f, rs)
		best := admissionBound(t, f, rs)
		if hours > best+1e-6 {
			t.Errorf("seed %d: %.1f machine hours accepted, at most %.1f fit", seed, hours, best)
		}
		if hours < 0.6*best {
			t.Errorf("seed %d: only %.1f of %.1f machine hours accepted", seed, hours, best)
		}
	}
}

// BenchmarkAdmissionOrder compares admission one by one with the linear program, on the same
// loads: machine hours accepted of those that any choice could accept at most.
func BenchmarkAdmissionOrder(b *testing.B) {
	for _, n := range []int{20, 40, 80, 160} {
		f, rs := oversubscribedLoad(b, n, 9)
		var best, hours float64
		measure := func(name string, do func()) {
			b.Run(fmt.Sprintf("%s %d", name, n), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				for b.Loop() {
					do()
				}
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(b.N)/1e6, "MB-allocated")
				b.ReportMetric(100*hours/best, "%-of-bound")
			})
		}
		best = admissionBound(b, f, rs)
		measure("program", func() { hours = admissionBound(b, f, rs) })
		measure("arrival", func() { _, hours = admitSequentially(f, rs) })
		large := slices.Clone(rs)
		slices.SortStableFunc(large, func(x, y *Reservation) int { return int(1000 * (machineHours(y) - machineHours(x))) })
		measure("largest first", func() { _, hours = admitSequentially(f, large) })
	}
}
