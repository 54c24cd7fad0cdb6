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
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := New(f)
			var took []time.Duration
			accepted := 0
			for _, r := range rs {
				begun := time.Now()
				e, err := c.Fit(r, testNow)
				if err == nil {
					c.Add(e)
					accepted++
				}
				took = append(took, time.Since(begun))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			last := took[len(took)*9/10:]
			b.ReportMetric(quantile(last, 0.5), "p50-us")
			b.ReportMetric(quantile(last, 0.99), "p99-us")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
			b.ReportMetric(100*float64(accepted)/float64(n), "%accepted")
			stored := encodeRecords(b, c)
			begun := time.Now()
			loadRecords(b, New(f), stored)
			b.ReportMetric(float64(time.Since(begun).Milliseconds()), "reload-ms")
		})
	}
}

// encodeRecords are the records of a calendar's reservations as they are stored.
func encodeRecords(b *testing.B, c *Calendar) (stored [][]byte) {
	b.Helper()
	for _, booking := range c.Bookings() {
		body, err := wire.Marshal(NewRecord(booking, testNow))
		if err != nil {
			b.Fatal(err)
		}
		stored = append(stored, body)
	}
	return stored
}

// loadRecords adds stored reservations to a calendar, as a leader does that takes over.
func loadRecords(b *testing.B, c *Calendar, stored [][]byte) {
	b.Helper()
	for _, body := range stored {
		rec := &Record{}
		if err := wire.Unmarshal(body, rec); err != nil {
			b.Fatal(err)
		}
		booking, err := rec.Booking()
		if err != nil {
			b.Fatal(err)
		}
		c.Add(booking)
	}
}

// quantile is a quantile of times in microseconds.
func quantile(ds []time.Duration, q float64) float64 {
	us := make([]float64, len(ds))
	for i, d := range ds {
		us[i] = float64(d.Microseconds())
	}
	slices.Sort(us)
	return us[int(q*float64(len(us)-1))]
}
