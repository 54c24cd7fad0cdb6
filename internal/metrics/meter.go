package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxLabelValues bounds the distinct values of a label, because users choose the names of
	// job classes. Further values are recorded together as otherLabel.
	maxLabelValues = 32
	otherLabel     = "other"
)

const (
	// maxObservation is the longest time that histograms record. Longer times are recorded as
	// maxObservation.
	maxObservation = time.Hour
	// histogramDigits is the number of significant digits that histograms retain.
	histogramDigits = 2
)

// quantiles lists the quantiles of times that the page shows.
var quantiles = []float64{0.5, 0.9, 0.99}

// series is a metric with one value of its label.
type series struct {
	Metric
	value string // empty: the metric has no label
}

// histogram is the distribution of the times of a series.
type histogram struct {
	millis *hdrhistogram.Histogram
	sum    time.Duration
}

// Meter holds the metrics of one process. It is safe for concurrent use. Add, Set, SetLabeled and
// Observe do nothing on a nil Meter.
type Meter struct {
	mu          sync.Mutex
	counters    map[series]float64
	gauges      map[series]float64
	histograms  map[series]*histogram
	labelValues map[string]map[string]bool // values recorded so far, by metric name
}

// New returns an empty meter.
func New() *Meter {
	return &Meter{
		counters:    map[series]float64{},
		gauges:      map[series]float64{},
		histograms:  map[series]*histogram{},
		labelValues: map[string]map[string]bool{},
	}
}

// Add increments a counter by n. The label is ignored if the metric has none.
func (m *Meter) Add(metric Metric, label string, n int) {
	if m == nil || n == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters[m.series(metric, label)] += float64(n)
}

// Set sets a gauge that has no label.
func (m *Meter) Set(metric Metric, n int) { m.SetLabeled(metric, "", n) }

// SetLabeled sets a gauge for one value of its label.
func (m *Meter) SetLabeled(metric Metric, label string, n int) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges[m.series(metric, label)] = float64(n)
}

// Observe records a time, limited to the range from 0 to maxObservation. The label is ignored if
// the metric has none.
func (m *Meter) Observe(metric Metric, label string, duration time.Duration) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	key := m.series(metric, label)
	times := m.histograms[key]
	if times == nil {
		times = &histogram{millis: hdrhistogram.New(1, maxObservation.Milliseconds(), histogramDigits)}
		m.histograms[key] = times
	}
	duration = min(max(0, duration), maxObservation)
	_ = times.millis.RecordValue(duration.Milliseconds()) // fails only for times out of range
	times.sum += duration
}

// series returns the series of a metric for a value of its label, or for otherLabel if the value is
// new and the label already has maxLabelValues values. The caller must hold m.mu.
func (m *Meter) series(metric Metric, label string) series {
	if metric.label == "" {
		return series{metric, ""}
	}
	seen := m.labelValues[metric.name]
	if seen == nil {
		seen = map[string]bool{}
		m.labelValues[metric.name] = seen
	}
	if !seen[label] && len(seen) >= maxLabelValues {
		label = otherLabel
	}
	seen[label] = true
	return series{metric, label}
}

// Describe implements prometheus.Collector. It sends no descriptions, because series are created
// when they are first used.
func (m *Meter) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector. It sends the current values of all series.
func (m *Meter) Collect(out chan<- prometheus.Metric) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s, n := range m.counters {
		desc, labels := s.describe()
		out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, n, labels...)
	}
	for s, n := range m.gauges {
		desc, labels := s.describe()
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, n, labels...)
	}
	for s, h := range m.histograms {
		desc, labels := s.describe()
		count := uint64(h.millis.TotalCount())
		out <- prometheus.MustNewConstSummary(desc, count, h.sum.Seconds(), h.quantileSeconds(), labels...)
	}
}

// describe returns the description of a series and the value of its label, if it has one.
func (s series) describe() (*prometheus.Desc, []string) {
	if s.label == "" {
		return prometheus.NewDesc(s.name, s.help, nil, nil), nil
	}
	return prometheus.NewDesc(s.name, s.help, []string{s.label}, nil), []string{s.value}
}

// quantileSeconds returns the values of the quantiles that the page shows, in seconds.
func (h *histogram) quantileSeconds() map[float64]float64 {
	seconds := map[float64]float64{}
	for _, q := range quantiles {
		seconds[q] = float64(h.millis.ValueAtQuantile(100*q)) / 1000
	}
	return seconds
}
