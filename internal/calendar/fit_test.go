package calendar

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// between returns the fields of a reservation on 10 March from one time of day to another.
func between(from, to string) map[string]any {
	return map[string]any{"start": "2026-03-10T" + from + ":00", "end": "2026-03-10T" + to + ":00"}
}

// withFields sets fields of a reservation, given as alternating names and values.
func withFields(fields map[string]any, pairs ...any) map[string]any {
	for i := 0; i < len(pairs); i += 2 {
		fields[pairs[i].(string)] = pairs[i+1]
	}
	return fields
}

// TestFit checks which allocations a reservation gets beside accepted ones, or the reason of
// the refusal and the next start.
func TestFit(t *testing.T) {
	tests := []struct {
		name   string
		before []map[string]any
		doc    map[string]any
		want   string // allocations, or part of the reason of the refusal
		next   string // time of day of the next start that fits
	}{
		{"a reservation gets the cheapest machines", nil, between("20:00", "21:00"), "small/a 4/4", ""},
		{"a reservation in one zone gets the only zone that has capacity", nil, withFields(between("20:00", "21:00"), "parts", 18, "same_place", true), "small/a 10/10 large/a 2/8", ""},
		{"a spread reservation is divided between the zones", nil, withFields(between("20:00", "21:00"), "parts", 5, "apart", true), "small/a 3/3 small/b 2/2", ""},
		{"a reservation gets other machines than one that overlaps it", []map[string]any{withFields(between("19:30", "20:30"), "parts", 8)}, between("20:00", "21:00"), "small/a 2/2 small/b 2/2", ""},
		{"a reservation gets the machines of one that ends when it starts", []map[string]any{withFields(between("19:00", "20:00"), "parts", 8)}, between("20:00", "21:00"), "small/a 4/4", ""},
		{"a part larger than any machine is refused", nil, withFields(between("20:00", "21:00"), "cpus", 32.0), "a part fits on no machine type", ""},
		{"a reservation is refused until machines of its only type are free", []map[string]any{withFields(between("19:30", "20:30"), "parts", 3, "builds", []string{"large"}, "cpus", 16.0)},
			withFields(between("20:00", "21:00"), "parts", 2, "builds", []string{"large"}, "cpus", 16.0), "reservation r0", "20:30"},
		{"a reservation that exceeds the limit of its team is refused until another one ends", []map[string]any{withFields(between("19:30", "20:30"), "team", "red", "parts", 20)}, withFields(between("20:00", "21:00"), "team", "red", "parts", 8),
			"the team would exceed its limit of 100 CPUs, of which 80 are reserved", "20:30"},
		{"a team may exceed its guarantee if the fleet has the capacity", nil, withFields(between("20:00", "21:00"), "team", "red", "parts", 25), "small/a 10/10 small/b 10/10 large/a 2/5", ""},
		// Of the 144 CPUs 60 are guaranteed, so teams without a guarantee get at most 84.
		{"a reservation that leaves too little for the guarantees of other teams is refused", nil, withFields(between("20:00", "21:00"), "parts", 22), "the capacity is needed for other teams' guarantees of CPUs", ""},
		{"reservations of a team that are small one by one cannot together take the guarantees of other teams", []map[string]any{withFields(between("20:00", "21:00"), "parts", 11), withFields(between("19:30", "20:30"), "parts", 10)}, withFields(between("20:00", "21:00"), "parts", 1),
			"the capacity is needed for other teams' guarantees of CPUs", "20:30"},
		{"a team gets its guarantee beside a team that reserved all other capacity", []map[string]any{withFields(between("20:00", "21:00"), "parts", 21)}, withFields(between("20:00", "21:00"), "team", "red", "parts", 10),
			"large/a 3/10", ""},
		{"two teams get capacity within their guarantees at the same time", []map[string]any{withFields(between("20:00", "21:00"), "team", "blue", "parts", 5)}, withFields(between("20:00", "21:00"), "team", "red", "parts", 10),
			"small/a 5/5 small/b 5/5", ""},
		{"a daily reservation is refused if it does not fit on one of its days", []map[string]any{withFields(between("20:30", "21:30"), "parts", 4, "builds", []string{"large"}, "cpus", 16.0)},
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
				t.Errorf("got %q, next start %q; want a text with %q, next start %q", got, next, tt.want, tt.next)
			}
		})
	}
}

// fitResult returns the allocations that a reservation gets, or the reason of the conflict and
// the time of day of the next start that fits.
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

// allocations formats the allocations of a booking, each as "type/zone machines/parts".
func allocations(b *Booking) string {
	var texts []string
	for _, a := range b.Allocations {
		texts = append(texts, fmt.Sprintf("%s/%s %d/%d", a.Type, a.Zone, a.Machines, a.Parts))
	}
	return strings.Join(texts, " ")
}

// TestRemoveReleasesMemory checks that removing all reservations leaves no steps in the
// profiles. Otherwise their memory would grow over a year of bookings.
func TestRemoveReleasesMemory(t *testing.T) {
	cfg, reservations := generatedLoad(t, 200)
	c := New(cfg)
	for _, r := range reservations {
		if booking, err := c.Fit(r, testNow); err == nil {
			c.Add(booking)
		}
	}
	if len(c.Bookings()) < 100 {
		t.Fatalf("%d of 200 reservations were accepted, want at least 100", len(c.Bookings()))
	}
	for name := range c.Bookings() {
		c.Remove(name)
	}
	for i := range c.pools {
		if steps := len(c.pools[i].reserved.starts); steps > 0 {
			t.Errorf("the profile of pool %d has %d steps, want none", i, steps)
		}
	}
	if steps := len(c.overGuarantee.cpus.starts); steps > 0 {
		t.Errorf("the profile of CPUs beyond guarantees has %d steps, want none", steps)
	}
}

// TestLimits checks that an entry beyond the calendar's limits is refused with ErrLimit rather
// than a Conflict.
func TestLimits(t *testing.T) {
	tests := []struct {
		name   string
		limits Limits
	}{
		{"no entry is accepted beyond the limit of the whole calendar", Limits{Reservations: 1, ReservationsPerTeam: 2}},
		{"no entry is accepted beyond the limit of the team", Limits{Reservations: 2, ReservationsPerTeam: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Limits = tt.limits
			c := New(cfg)
			c.Add(&Booking{Reservation: parseReservation(t, nil)})
			_, err := c.Fit(parseReservation(t, map[string]any{"name": "r2"}), testNow)
			if !errors.Is(err, ErrLimit) {
				t.Errorf("Fit: got error %v, want ErrLimit", err)
			}
			// The limit of windows is 0.
			_, err = c.PlanWindow(parseWindow(t, map[string]any{"yard": "a"}), nil, testNow)
			if !errors.Is(err, ErrLimit) {
				t.Errorf("PlanWindow: got error %v, want ErrLimit", err)
			}
		})
	}
}
