package calendar

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"vetchstream/internal/wire"
)

// BenchmarkFit measures the admission latency, the memory and the reload time of calendars of
// several sizes. The latencies are those of the last tenth of the admissions, when the calendar
// has the most entries.
func BenchmarkFit(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg, reservations := generatedLoad(b, n)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := New(cfg)
			var latencies []time.Duration
			accepted := 0
			for _, r := range reservations {
				started := time.Now()
				booking, err := c.Fit(r, testNow)
				if err == nil {
					c.Add(booking)
					accepted++
				}
				latencies = append(latencies, time.Since(started))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			last := latencies[len(latencies)*9/10:]
			b.ReportMetric(quantile(last, 0.5), "p50-us")
			b.ReportMetric(quantile(last, 0.99), "p99-us")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
			b.ReportMetric(100*float64(accepted)/float64(n), "%accepted")
			stored := encodeRecords(b, c)
			started := time.Now()
			loadRecords(b, New(cfg), stored)
			b.ReportMetric(float64(time.Since(started).Milliseconds()), "reload-ms")
		})
	}
}

// encodeRecords encodes the records of the reservations of a calendar, as they are stored.
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

// loadRecords decodes stored records and adds their bookings to a calendar, as a new leader does.
func loadRecords(b *testing.B, c *Calendar, stored [][]byte) {
	b.Helper()
	for _, body := range stored {
		record := &Record{}
		if err := wire.Unmarshal(body, record); err != nil {
			b.Fatal(err)
		}
		booking, err := record.Booking()
		if err != nil {
			b.Fatal(err)
		}
		c.Add(booking)
	}
}

// quantile returns the quantile q of the durations in microseconds.
func quantile(durations []time.Duration, q float64) float64 {
	micros := make([]float64, len(durations))
	for i, d := range durations {
		micros[i] = float64(d.Microseconds())
	}
	slices.Sort(micros)
	return micros[int(q*float64(len(micros)-1))]
}
