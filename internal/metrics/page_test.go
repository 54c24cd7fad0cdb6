package metrics

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestHandler: what was counted and timed is on the page, within its bounds, and a nil meter
// accepts everything.
func TestHandler(t *testing.T) {
	tests := []struct {
		name   string
		record func(m *Meter)
		want   []string
	}{
		{"nothing yet", func(*Meter) {}, nil},
		{"counts add up", func(m *Meter) { m.Add(UserResponses, "submit 201", 2); m.Add(UserResponses, "submit 201", 3) },
			[]string{`vetchstream_answers_total{request="submit 201"} 5`}},
		{"a gauge shows the last value", func(m *Meter) { m.Set(Machines, 7); m.Set(Machines, 5) }, []string{"vetchstream_machines 5"}},
		{"times have quantiles, sum and count", func(m *Meter) {
			for i := range 100 {
				m.Observe(PlanTime, "", time.Duration(i+1)*time.Millisecond)
			}
		}, []string{`vetchstream_plan_seconds{quantile="0.5"} 0.05`, "vetchstream_plan_seconds_sum 5.05", "vetchstream_plan_seconds_count 100"}},
		{"a time beyond all bounds", func(m *Meter) { m.Observe(PlanTime, "", 90*time.Hour) }, []string{"vetchstream_plan_seconds_sum 3600"}},
		{"more values of a label than are counted apart", func(m *Meter) {
			for i := range 100 {
				m.Add(JobsEnded, fmt.Sprint(i), 1)
			}
		}, []string{`vetchstream_jobs_ended_total{phase="0"} 1`, `vetchstream_jobs_ended_total{phase="other"} 68`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var off *Meter
			tt.record(off)
			m := New()
			tt.record(m)
			h, err := m.Handler()
			if err != nil {
				t.Fatal(err)
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
			if w.Code != 200 {
				t.Fatalf("status %d: %s", w.Code, w.Body)
			}
			for _, line := range tt.want {
				if !strings.Contains(w.Body.String(), line+"\n") {
					t.Errorf("no line %q in\n%s", line, w.Body)
				}
			}
		})
	}
}
