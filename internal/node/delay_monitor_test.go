package node

import (
	"testing"
	"time"
)

// TestDelayMonitor: a process counts as overloaded after a while of late timers, not for one of
// them, and as recovered only when they have been in time for longer.
func TestDelayMonitor(t *testing.T) {
	type span struct {
		late  time.Duration
		lasts time.Duration
	}
	ms := time.Millisecond
	tests := []struct {
		name  string
		spans []span
		want  bool
	}{
		{"in time", []span{{2 * ms, 10 * time.Second}}, false},
		{"one long pause", []span{{2 * ms, time.Second}, {250 * ms, 100 * ms}, {2 * ms, time.Second}}, false},
		{"late for a while", []span{{2 * ms, time.Second}, {120 * ms, 3 * time.Second}}, true},
		{"a little late", []span{{25 * ms, time.Minute}}, false},
		{"caught up a moment ago", []span{{120 * ms, 3 * time.Second}, {2 * ms, 4 * time.Second}}, true},
		{"caught up", []span{{120 * ms, 3 * time.Second}, {2 * ms, 10 * time.Second}}, false},
		{"in between it stays as it was", []span{{120 * ms, 3 * time.Second}, {25 * ms, time.Minute}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var monitor delayMonitor
			now := time.Unix(1000, 0)
			for _, s := range tt.spans {
				for range s.lasts / delayInterval {
					now = now.Add(delayInterval)
					monitor.observe(s.late, now)
				}
			}
			if monitor.Overloaded() != tt.want {
				t.Errorf("overloaded: %v, want %v (mean %v)", monitor.Overloaded(), tt.want, monitor.meanDelay)
			}
		})
	}
}
