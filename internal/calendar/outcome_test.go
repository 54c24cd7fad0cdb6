package calendar

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestDecideOutcome checks that the outcome of each occurrence is decided exactly once, even if
// there was no leader for some time.
func TestDecideOutcome(t *testing.T) {
	r := parseReservation(t, map[string]any{"rule": "FREQ=DAILY;COUNT=3", "grace_s": 120.0})
	c := New(testConfig())
	booking, err := c.Fit(r, testNow)
	if err != nil {
		t.Fatal(err)
	}
	start := time.UnixMilli(r.Spans()[0].From)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	day := 24 * time.Hour
	tests := []struct {
		name         string
		observations []Observation
		want         string // kinds of the outcomes, with the delay in seconds if late
	}{
		{"an occurrence has no outcome before its start", []Observation{{Now: at(-time.Second)}}, ""},
		{"an occurrence is kept if its job runs within the tolerance", []Observation{{Now: at(0), Claimer: "run-1"}, {Now: at(time.Second), Claimer: "run-1", RunningSince: at(time.Second)}, {Now: at(time.Minute), Claimer: "run-1", RunningSince: at(time.Second)}}, "kept"},
		{"an occurrence is late if its job runs after the tolerance", []Observation{{Now: at(0), Claimer: "run-1"}, {Now: at(61 * time.Second), Claimer: "run-1", RunningSince: at(time.Minute)}}, "late 60"},
		{"an occurrence that no job claims lapses after the grace period", []Observation{{Now: at(119 * time.Second)}, {Now: at(121 * time.Second)}}, "lapsed"},
		{"a claimed occurrence whose job never runs is missed at its end", []Observation{{Now: at(121 * time.Second), Claimer: "run-1"}, {Now: at(time.Hour), Claimer: "run-1"}}, "missed"},
		{"two occurrences that ended without a leader lapse one after the other", []Observation{{Now: at(day + 2*time.Hour)}, {Now: at(day + 2*time.Hour)}, {Now: at(day + 2*time.Hour)}}, "lapsed lapsed"},
		{"an occurrence is late if its job runs late because there was no leader at its start", []Observation{{Now: at(time.Minute)}, {Now: at(2 * time.Minute), Claimer: "run-1", RunningSince: at(90 * time.Second)}}, "late 90"},
		{"a new leader whose clock is behind does not decide the occurrence again", []Observation{{Now: at(100 * time.Millisecond), Claimer: "run-1", RunningSince: at(50 * time.Millisecond)},
			{Now: at(-200 * time.Millisecond), Claimer: "run-1"}, {Now: at(50 * time.Millisecond), Claimer: "run-1", RunningSince: at(-100 * time.Millisecond)}}, "kept"},
		{"each of three unclaimed occurrences lapses once and nothing follows", []Observation{{Now: at(3 * day)}, {Now: at(3 * day)}, {Now: at(3 * day)}, {Now: at(3 * day)}, {Now: at(3 * day)}}, "lapsed lapsed lapsed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			record := NewRecord(booking, testNow)
			for _, o := range tt.observations {
				next, changed := DecideOutcome(record, booking, o, StartTolerance(2, 100))
				if changed == (next == record) {
					t.Error("DecideOutcome must return another record if and only if it reports a change")
				}
				record = next
			}
			var outcomes []string
			for _, o := range record.Outcomes {
				text := string(o.Kind)
				if o.LateS > 0 {
					text += fmt.Sprintf(" %.0f", o.LateS)
				}
				outcomes = append(outcomes, text)
			}
			if got := strings.Join(outcomes, " "); got != tt.want {
				t.Errorf("got outcomes %q, want %q", got, tt.want)
			}
		})
	}
}
