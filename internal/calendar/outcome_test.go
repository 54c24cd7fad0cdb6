package calendar

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestDecideOutcome: each occurrence is decided once, whatever the leader has missed.
func TestDecideOutcome(t *testing.T) {
	r := parseReservation(t, map[string]any{"rule": "FREQ=DAILY;COUNT=3", "grace_s": 120.0})
	c := New(testConfig())
	e, err := c.Fit(r, testNow)
	if err != nil {
		t.Fatal(err)
	}
	start := time.UnixMilli(r.Spans()[0].From)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	day := 24 * time.Hour
	tests := []struct {
		name         string
		observations []Observation
		want         string
	}{
		{"before", []Observation{{Now: at(-time.Second)}}, ""},
		{"kept", []Observation{{Now: at(0), Claimer: "run-1"}, {Now: at(time.Second), Claimer: "run-1", RunningSince: at(time.Second)}, {Now: at(time.Minute), Claimer: "run-1", RunningSince: at(time.Second)}}, "kept"},
		{"late", []Observation{{Now: at(0), Claimer: "run-1"}, {Now: at(61 * time.Second), Claimer: "run-1", RunningSince: at(time.Minute)}}, "late 60"},
		{"unclaimed", []Observation{{Now: at(119 * time.Second)}, {Now: at(121 * time.Second)}}, "lapsed"},
		{"claimed in time and never run", []Observation{{Now: at(121 * time.Second), Claimer: "run-1"}, {Now: at(time.Hour), Claimer: "run-1"}}, "missed"},
		{"nobody led over two of them", []Observation{{Now: at(day + 2*time.Hour)}, {Now: at(day + 2*time.Hour)}, {Now: at(day + 2*time.Hour)}}, "lapsed lapsed"},
		{"nobody led over its start", []Observation{{Now: at(time.Minute)}, {Now: at(2 * time.Minute), Claimer: "run-1", RunningSince: at(90 * time.Second)}}, "late 90"},
		{"a successor whose clock is behind", []Observation{{Now: at(100 * time.Millisecond), Claimer: "run-1", RunningSince: at(50 * time.Millisecond)},
			{Now: at(-200 * time.Millisecond), Claimer: "run-1"}, {Now: at(50 * time.Millisecond), Claimer: "run-1", RunningSince: at(-100 * time.Millisecond)}}, "kept"},
		{"all three and nothing after", []Observation{{Now: at(3 * day)}, {Now: at(3 * day)}, {Now: at(3 * day)}, {Now: at(3 * day)}, {Now: at(3 * day)}}, "lapsed lapsed lapsed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rec := NewRecord(e, testNow)
			for _, l := range tt.observations {
				next, changed := DecideOutcome(rec, e, l, StartTolerance(2, 100))
				if changed == (next == rec) {
					t.Error("a change that does not show")
				}
				rec = next
			}
			var got []string
			for _, o := range rec.Outcomes {
				s := string(o.Kind)
				if o.LateS > 0 {
					s += fmt.Sprintf(" %.0f", o.LateS)
				}
				got = append(got, s)
			}
			if s := strings.Join(got, " "); s != tt.want {
				t.Errorf("got %q, want %q", s, tt.want)
			}
		})
	}
}
