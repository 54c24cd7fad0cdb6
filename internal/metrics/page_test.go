package metrics

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestHandler checks that the page shows the recorded counts and times, limited to the allowed
// label values and times, and that a nil meter ignores all records.
func TestHandler(t *testing.T) {
	tests := []struct {
		name   string
		record func(m *Meter)
		want   []string // lines of the page
	}{
		{"no records: an empty page", func(*Meter) {}, nil},
		{"two increments of a counter: their sum", func(m *Meter) { m.Add(UserResponses, "submit 201", 2); m.Add(UserResponses, "submit 201", 3) },
			[]string{`vetchstream_answers_total{request="submit 201"} 5`}},
		{"two values of a gauge: the last one", func(m *Meter) { m.Set(Machines, 7); m.Set(Machines, 5) }, []string{"vetchstream_machines 5"}},
		{"100 times: their quantiles, sum and count", func(m *Meter) {
			for i := range 100 {
				m.Observe(PlanTime, "", time.Duration(i+1)*time.Millisecond)
			}
		}, []string{`vetchstream_plan_seconds{quantile="0.5"} 0.05`, "vetchstream_plan_seconds_sum 5.05", "vetchstream_plan_seconds_count 100"}},
		{"a time over maxObservation: recorded as maxObservation", func(m *Meter) { m.Observe(PlanTime, "", 90*time.Hour) }, []string{"vetchstream_plan_seconds_sum 3600"}},
		{"more than maxLabelValues values of a label: the rest under the label other", func(m *Meter) {
			for i := range 100 {
				m.Add(JobsEnded, fmt.Sprint(i), 1)
			}
		}, []string{`vetchstream_jobs_ended_total{phase="0"} 1`, `vetchstream_jobs_ended_total{phase="other"} 68`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var nilMeter *Meter
			tt.record(nilMeter)
			m := New()
			tt.record(m)
			handler, err := m.Handler()
			if err != nil {
				t.Fatal(err)
			}
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
			if w.Code != 200 {
				t.Fatalf("GET /metrics returned status %d, want 200: %s", w.Code, w.Body)
			}
			for _, line := range tt.want {
				if !strings.Contains(w.Body.String(), line+"\n") {
					t.Errorf("the page lacks the line %q:\n%s", line, w.Body)
				}
			}
		})
	}
}
