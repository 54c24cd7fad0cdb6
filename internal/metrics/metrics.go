// Package metrics counts and times what a controller does, for operators: a page in
// the format of Prometheus on an address of its own. It is off by default; a nil
// Meter takes in nothing and costs nothing.
package metrics

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metric is something that is counted or timed.
type Metric struct {
	name, help, label string
}

// What is counted.
var (
	UserResponses    = Metric{"vetchstream_answers_total", "Answers to users, by kind of request and status.", "request"}
	TaskLaunches     = Metric{"vetchstream_launches_total", "Launches sent to workers.", ""}
	JobsEnded        = Metric{"vetchstream_jobs_ended_total", "Jobs that are over, by their final phase.", "phase"}
	ReservationSlots = Metric{"vetchstream_slots_total", "Occurrences of reservations that are decided, by outcome.", "outcome"}
	MaintenanceMoves = Metric{"vetchstream_maintenance_moves_total", "Tasks moved or stopped for maintenance.", ""}
	ShardReturns     = Metric{"vetchstream_share_moves_total", "Machines that a holder has given back or lost, by the reason.", "why"}
	// ConfigChanges counts changes of the configuration at the home region.
	ConfigChanges   = Metric{"vetchstream_config_changes_total", "Changes of the configuration, by what became of them.", "result"}
	SessionsExpired = Metric{"vetchstream_sessions_ended_total", "Machines whose reports went unanswered, so that a launch of a cancelled job cannot be carried out.", ""}
	JobsAccepted    = Metric{"vetchstream_jobs_accepted_total", "Jobs accepted by this node, by the kind of record.", "record"}
)

// What is timed, in seconds.
var (
	UserResponseTime = Metric{"vetchstream_answer_seconds", "Time to answer users, by kind of request.", "request"}
	PlanTime         = Metric{"vetchstream_plan_seconds", "Time to make and carry out a plan.", ""}
	StartWait        = Metric{"vetchstream_start_wait_seconds", "Wait of tasks for a machine, by class of their job.", "class"}
	TakeoverTime     = Metric{"vetchstream_takeover_seconds", "Takeovers, by the phase that was reached.", "phase"}
)

// What is shown as it stands.
var (
	Machines         = Metric{"vetchstream_machines", "Machines that the leader looks after.", ""}
	Jobs             = Metric{"vetchstream_jobs", "Jobs that the leader looks after.", ""}
	ReservedMachines = Metric{"vetchstream_machines_held", "Machines held for reservations.", ""}
	ShardMachines    = Metric{"vetchstream_share_machines", "Machines that each controller deals with, at the leader.", "member"}
	ConfigRevision   = Metric{"vetchstream_config_revision", "Highest revision of the configuration of which anything is in force here.", ""}
	Leading          = Metric{"vetchstream_leading", "1 while this node leads.", ""}
)

// maxLabels bounds the values of a label: classes are the users' to name. What
// comes beyond is counted together.
const (
	maxLabels = 32
	other     = "other"
)

// longest is the longest time that a histogram tells apart.
const longest = time.Hour

type series struct {
	Metric
	value string
}

// Meter holds the figures of one process.
type Meter struct {
	mu     sync.Mutex
	counts map[series]float64
	gauges map[series]float64
	times  map[series]*timing
	values map[string]map[string]bool // of a metric's label
}

type timing struct {
	hist *hdrhistogram.Histogram // of milliseconds
	sum  time.Duration
}

// New makes a meter without figures.
func New() *Meter {
	return &Meter{counts: map[series]float64{}, gauges: map[series]float64{}, times: map[series]*timing{}, values: map[string]map[string]bool{}}
}

// key bounds the label's values; the caller holds the lock.
func (m *Meter) key(of Metric, value string) series {
	if of.label == "" {
		return series{of, ""}
	}
	seen := m.values[of.name]
	if seen == nil {
		seen = map[string]bool{}
		m.values[of.name] = seen
	}
	if !seen[value] && len(seen) >= maxLabels {
		value = other
	}
	seen[value] = true
	return series{of, value}
}

// Add counts n more.
func (m *Meter) Add(of Metric, value string, n int) {
	if m == nil || n == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[m.key(of, value)] += float64(n)
}

// Set shows a figure as it stands.
func (m *Meter) Set(of Metric, n int) { m.SetLabeled(of, "", n) }

// SetLabeled is Set for one value of the metric's label.
func (m *Meter) SetLabeled(of Metric, value string, n int) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges[m.key(of, value)] = float64(n)
}

// Observe notes a time.
func (m *Meter) Observe(of Metric, value string, d time.Duration) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.key(of, value)
	t := m.times[k]
	if t == nil {
		t = &timing{hist: hdrhistogram.New(1, longest.Milliseconds(), 2)}
		m.times[k] = t
	}
	d = min(max(0, d), longest)
	_ = t.hist.RecordValue(d.Milliseconds())
	t.sum += d
}

// Describe implements prometheus.Collector. What there is to tell comes with use.
func (m *Meter) Describe(chan<- *prometheus.Desc) {}

// quantiles of times that the page tells.
var quantiles = []float64{0.5, 0.9, 0.99}

// Collect implements prometheus.Collector.
func (m *Meter) Collect(out chan<- prometheus.Metric) {
	desc := func(s series) (*prometheus.Desc, []string) {
		if s.label == "" {
			return prometheus.NewDesc(s.name, s.help, nil, nil), nil
		}
		return prometheus.NewDesc(s.name, s.help, []string{s.label}, nil), []string{s.value}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for s, n := range m.counts {
		d, v := desc(s)
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, n, v...)
	}
	for s, n := range m.gauges {
		d, v := desc(s)
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, n, v...)
	}
	for s, t := range m.times {
		d, v := desc(s)
		q := map[float64]float64{}
		for _, x := range quantiles {
			q[x] = float64(t.hist.ValueAtQuantile(100*x)) / 1000
		}
		out <- prometheus.MustNewConstSummary(d, uint64(t.hist.TotalCount()), t.sum.Seconds(), q, v...)
	}
}

// Handler serves /metrics.
func (m *Meter) Handler() (http.Handler, error) {
	reg := prometheus.NewRegistry()
	if err := reg.Register(m); err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{MaxRequestsInFlight: 2, Timeout: 5 * time.Second}))
	return mux, nil
}

// Serve answers on l until the context ends.
func (m *Meter) Serve(ctx context.Context, l net.Listener) error {
	h, err := m.Handler()
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 8 << 10}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); err != nil && ctx.Err() == nil {
		return fmt.Errorf("metrics: %w", err)
	}
	return nil
}
