package calendar

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// between is a reservation from one time of day to another.
func between(from, to string) map[string]any {
	return map[string]any{"start": "2026-03-10T" + from + ":00", "end": "2026-03-10T" + to + ":00"}
}

// withFields sets fields of a reservation, given as names and values in turn.
func withFields(m map[string]any, kv ...any) map[string]any {
	for i := 0; i < len(kv); i += 2 {
		m[kv[i].(string)] = kv[i+1]
	}
	return m
}

// TestFit: what is accepted beside what is there, and what a refusal says.
func TestFit(t *testing.T) {
	tests := []struct {
		name   string
		before []map[string]any
		doc    map[string]any
		want   string // shares, or a part of the refusal
		next   string
	}{
		{"the cheapest machines", nil, between("20:00", "21:00"), "small/a 4/4", ""},
		{"in one place, the only one that has room", nil, withFields(between("20:00", "21:00"), "parts", 18, "same_place", true), "small/a 10/10 large/a 2/8", ""},
		{"apart", nil, withFields(between("20:00", "21:00"), "parts", 5, "apart", true), "small/a 3/3 small/b 2/2", ""},
		{"beside another", []map[string]any{withFields(between("19:30", "20:30"), "parts", 8)}, between("20:00", "21:00"), "small/a 2/2 small/b 2/2", ""},
		{"after another", []map[string]any{withFields(between("19:00", "20:00"), "parts", 8)}, between("20:00", "21:00"), "small/a 4/4", ""},
		{"a part larger than any machine", nil, withFields(between("20:00", "21:00"), "cpus", 32.0), "a part fits on no machine type", ""},
		{"a type that is booked", []map[string]any{withFields(between("19:30", "20:30"), "parts", 3, "builds", []string{"large"}, "cpus", 16.0)},
			withFields(between("20:00", "21:00"), "parts", 2, "builds", []string{"large"}, "cpus", 16.0), "reservation r0", "20:30"},
		{"the team's limit", []map[string]any{withFields(between("19:30", "20:30"), "team", "red", "parts", 20)}, withFields(between("20:00", "21:00"), "team", "red", "parts", 8),
			"the team would exceed its limit of 100 CPUs, of which 80 are reserved", "20:30"},
		{"more than the guarantee, where there is enough", nil, withFields(between("20:00", "21:00"), "team", "red", "parts", 25), "small/a 10/10 small/b 10/10 large/a 2/5", ""},
		// 144 CPUs, of which 60 are guaranteed: whoever has no guarantee gets 84.
		{"one who books everything", nil, withFields(between("20:00", "21:00"), "parts", 22), "the capacity is needed for other teams' guarantees of CPUs", ""},
		{"in small steps", []map[string]any{withFields(between("20:00", "21:00"), "parts", 11), withFields(between("19:30", "20:30"), "parts", 10)}, withFields(between("20:00", "21:00"), "parts", 1),
			"the capacity is needed for other teams' guarantees of CPUs", "20:30"},
		{"a guarantee beside one who books all the rest", []map[string]any{withFields(between("20:00", "21:00"), "parts", 21)}, withFields(between("20:00", "21:00"), "team", "red", "parts", 10),
			"large/a 3/10", ""},
		{"two teams inside their guarantees", []map[string]any{withFields(between("20:00", "21:00"), "team", "blue", "parts", 5)}, withFields(between("20:00", "21:00"), "team", "red", "parts", 10),
			"small/a 5/5 small/b 5/5", ""},
		{"every evening beside one evening", []map[string]any{withFields(between("20:30", "21:30"), "parts", 4, "builds", []string{"large"}, "cpus", 16.0)},
			withFields(between("20:00", "21:00"), "parts", 1, "builds", []string{"large"}, "cpus", 16.0, "start", "2026-03-08T20:00:00", "end", "2026-03-08T21:00:00", "rule", "FREQ=DAILY;COUNT=5"),
			"at 2026-03-10T20:00:00Z there is no capacity for 1 parts beside reservation r0", "21:30"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New(testConfig())
			for i, doc := range tt.before {
				doc["name"] = fmt.Sprintf("r%d", i)
				booking, err := c.Fit(parseReservation(t, doc), testNow)
				if err != nil {
					t.Fatal(err)
				}
				c.Add(booking)
			}
			got, next := fitResult(t, c, parseReservation(t, tt.doc))
			if !strings.Contains(got, tt.want) || next != tt.next {
				t.Errorf("got %q, next %q; want %q, next %q", got, next, tt.want, tt.next)
			}
		})
	}
}

// fitResult is the allocations that a reservation gets, or what is in the way and the time of day
// from which it would fitResult.
func fitResult(t *testing.T, c *Calendar, r *Reservation) (got, next string) {
	t.Helper()
	b, err := c.Fit(r, testNow)
	var conflict *Conflict
	switch {
	case errors.As(err, &conflict):
		if !conflict.NextStart.IsZero() {
			next = conflict.NextStart.UTC().Format("15:04")
		}
		return conflict.Reason, next
	case err != nil:
		t.Fatal(err)
	}
	return allocations(b), ""
}

// allocations are those of a reservation, as "type/zone machines/parts".
func allocations(b *Booking) string {
	var out []string
	for _, s := range b.Allocations {
		out = append(out, fmt.Sprintf("%s/%s %d/%d", s.Type, s.Zone, s.Machines, s.Parts))
	}
	return strings.Join(out, " ")
}

// TestRemoveReleasesMemory: a calendar that all reservations have left again is as empty as
// at first, so that a year of bookings leaves no memory behind.
func TestRemoveReleasesMemory(t *testing.T) {
	cfg, reservations := generatedLoad(t, 200)
	c := New(cfg)
	for _, r := range reservations {
		if booking, err := c.Fit(r, testNow); err == nil {
			c.Add(booking)
		}
	}
	if len(c.Bookings()) < 100 {
		t.Fatalf("only %d of 200 were accepted", len(c.Bookings()))
	}
	for name := range c.Bookings() {
		c.Remove(name)
	}
	for i := range c.pools {
		if n := len(c.pools[i].reserved.starts); n > 0 {
			t.Errorf("cell %d has %d steps", i, n)
		}
	}
	if n := len(c.overGuarantee.cpus.starts); n > 0 {
		t.Errorf("%d steps beyond guarantees", n)
	}
}

// TestLimits: an entry beyond the calendar's limits is an ErrLimit, and no Conflict.
func TestLimits(t *testing.T) {
	tests := []struct {
		name   string
		limits Limits
	}{
		{"of the whole calendar", Limits{Reservations: 1, ReservationsPerTeam: 2}},
		{"of the team", Limits{Reservations: 2, ReservationsPerTeam: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Limits = tt.limits
			c := New(cfg)
			c.Add(&Booking{Reservation: parseReservation(t, nil)})
			_, err := c.Fit(parseReservation(t, map[string]any{"name": "r2"}), testNow)
			if !errors.Is(err, ErrLimit) {
				t.Errorf("got %v, want an ErrLimit", err)
			}
			_, err = c.PlanWindow(parseWindow(t, map[string]any{"yard": "a"}), nil, testNow) // no window is allowed
			if !errors.Is(err, ErrLimit) {
				t.Errorf("got %v for a window, want an ErrLimit", err)
			}
		})
	}
}
