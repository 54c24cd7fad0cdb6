package calendar

import (
	"fmt"
	"strings"
	"testing"

	"vetchstream/internal/config"
)

// TestPlanWindow adds a window and a reservation on the same machines, in either order, and
// checks which machines the reservation gets or why the later entry is refused.
func TestPlanWindow(t *testing.T) {
	tests := []struct {
		name   string
		parts  int
		window map[string]any
		first  bool   // the window is added before the reservation
		want   string // allocations, the change by the window, or part of an error
	}{
		{"a reservation added after a window gets machines in another zone", 10, map[string]any{"yard": "a"}, true, "small/b 10/10"},
		{"a reservation is refused if a window leaves too few machines", 12, map[string]any{"yard": "a"}, true, "no capacity for 12 parts beside window w"},
		{"a window for a zone moves the reservation to another zone", 10, map[string]any{"yard": "a"}, false, "moved small/b 10/10"},
		{"a reservation stays on its machines if the window leaves enough of them", 4, map[string]any{"hosts": []string{"h1"}}, false, "stays"},
		{"a window is refused if a reservation does not fit on other machines", 12, map[string]any{"yard": "a"}, false, "reservation r of team green does not fit on other machines"},
		{"a forced window revokes the occurrence of a reservation that does not fit on other machines", 12, map[string]any{"yard": "a", "force": true}, false, "lost 1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Teams = []config.Team{{Name: "green"}}
			c := New(cfg)
			r := parseReservation(t, map[string]any{"parts": tt.parts})
			w := parseWindow(t, tt.window)
			var named []Allocation
			if w.NamesMachines() {
				named = []Allocation{{Type: "small", Zone: "a", Machines: 1}}
			}
			var got string
			if tt.first {
				got = reservationAfterWindow(t, c, r, w, named)
			} else {
				got = windowAfterReservation(t, c, r, w, named)
			}
			if !strings.Contains(got, tt.want) {
				t.Errorf("got %q, want a text with %q", got, tt.want)
			}
		})
	}
}

// reservationAfterWindow adds a window, then fits a reservation. It returns the allocations of
// the reservation or the error.
func reservationAfterWindow(t *testing.T, c *Calendar, r *Reservation, w *Window, named []Allocation) string {
	t.Helper()
	plan, err := c.PlanWindow(w, named, testNow)
	if err != nil {
		t.Fatal(err)
	}
	c.AddWindow(plan.Window)
	b, err := c.Fit(r, testNow)
	if err != nil {
		return err.Error()
	}
	return allocations(b)
}

// windowAfterReservation adds a reservation, then plans a window. It returns the change to the
// reservation or the error.
func windowAfterReservation(t *testing.T, c *Calendar, r *Reservation, w *Window, named []Allocation) string {
	t.Helper()
	b, err := c.Fit(r, testNow)
	if err != nil {
		t.Fatal(err)
	}
	c.Add(b)
	plan, err := c.PlanWindow(w, named, testNow)
	if len(c.Windows()) != 0 || c.Bookings()["r"] != b {
		t.Error("PlanWindow changed the calendar, want it unchanged")
	}
	switch {
	case err != nil:
		return err.Error()
	case len(plan.Moved) > 0:
		return "moved " + allocations(plan.Moved[0])
	case len(plan.Revoked) > 0:
		return fmt.Sprintf("lost %d", len(plan.Revoked[0].Revoked))
	}
	return "stays"
}

// TestPlanWindowWholeFleet checks that a window for every machine is refused if it is not forced.
func TestPlanWindowWholeFleet(t *testing.T) {
	cfg := testConfig()
	cfg.Zones = []string{"a"}
	_, err := New(cfg).PlanWindow(parseWindow(t, map[string]any{"yard": "a"}), nil, testNow)
	if err == nil || !strings.Contains(err.Error(), "every machine") {
		t.Errorf("got error %v, want a refusal because the window takes every machine", err)
	}
}
