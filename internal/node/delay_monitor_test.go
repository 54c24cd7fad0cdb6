package node

import (
	"testing"
	"time"
)

// TestDelayMonitor checks that a process counts as overloaded after timers have been late for
// overloadAfter, not after a single late timer, and as recovered only after timers have been
// punctual for recoveredAfter, which is longer.
func TestDelayMonitor(t *testing.T) {
	type phase struct {
		delay    time.Duration
		duration time.Duration
	}
	ms := time.Millisecond
	tests := []struct {
		name   string
		phases []phase
		want   bool
	}{
		{"punctual timers: not overloaded", []phase{{2 * ms, 10 * time.Second}}, false},
		{"a single late timer: not overloaded", []phase{{2 * ms, time.Second}, {250 * ms, 100 * ms}, {2 * ms, time.Second}}, false},
		{"timers late for 3 s: overloaded", []phase{{2 * ms, time.Second}, {120 * ms, 3 * time.Second}}, true},
		{"timers slightly late for a minute: not overloaded", []phase{{25 * ms, time.Minute}}, false},
		{"punctual for 4 s after an overload: still overloaded", []phase{{120 * ms, 3 * time.Second}, {2 * ms, 4 * time.Second}}, true},
		{"punctual for 10 s after an overload: recovered", []phase{{120 * ms, 3 * time.Second}, {2 * ms, 10 * time.Second}}, false},
		{"delay between the thresholds after an overload: still overloaded", []phase{{120 * ms, 3 * time.Second}, {25 * ms, time.Minute}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var monitor delayMonitor
			now := time.Unix(1000, 0)
			for _, p := range tt.phases {
				for range p.duration / delayInterval {
					now = now.Add(delayInterval)
					monitor.observe(p.delay, now)
				}
			}
			if monitor.Overloaded() != tt.want {
				t.Errorf("overloaded: %v, want %v (mean delay %v)", monitor.Overloaded(), tt.want, monitor.meanDelay)
			}
		})
	}
}
