package calendar

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"vetchstream/internal/wire"
)

// BenchmarkFit is one admission beside so many reservations, and what they take of
// the memory.
func BenchmarkFit(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, rs := generatedLoad(b, n)
			var was, is runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&was)
			c := New(f)
			var took []time.Duration
			accepted := 0
			for _, r := range rs {
				begun := time.Now()
				e, err := c.Fit(r, today)
				if err == nil {
					c.Add(e)
					accepted++
				}
				took = append(took, time.Since(begun))
			}
			runtime.GC()
			runtime.ReadMemStats(&is)
			last := took[len(took)*9/10:]
			b.ReportMetric(quantile(last, 0.5), "p50-us")
			b.ReportMetric(quantile(last, 0.99), "p99-us")
			b.ReportMetric(float64(is.HeapAlloc-was.HeapAlloc)/1e6, "MB")
			b.ReportMetric(100*float64(accepted)/float64(n), "%accepted")
			var stored [][]byte
			for _, e := range c.Bookings() {
				body, err := wire.Marshal(NewRecord(e, today))
				if err != nil {
					b.Fatal(err)
				}
				stored = append(stored, body)
			}
			begun := time.Now()
			again := New(f)
			for _, body := range stored {
				rec := &Record{}
				if err := wire.Unmarshal(body, rec); err != nil {
					b.Fatal(err)
				}
				e, err := rec.Booking()
				if err != nil {
					b.Fatal(err)
				}
				again.Add(e)
			}
			b.ReportMetric(float64(time.Since(begun).Milliseconds()), "reload-ms")
		})
	}
}

func quantile(ds []time.Duration, q float64) float64 {
	us := make([]float64, len(ds))
	for i, d := range ds {
		us[i] = float64(d.Microseconds())
	}
	slices.Sort(us)
	return us[int(q*float64(len(us)-1))]
}
