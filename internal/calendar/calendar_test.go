package calendar

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/wire"
)

var (
	testNow    = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	testLimits = Limits{HorizonDays: 100, Reservations: 20_000, ReservationsPerTeam: 10_000, Windows: 50, Occurrences: 200}
)

// testConfig returns a fleet with ten small machines in each of the zones a and b, and four
// large machines in zone a. Team red has a guarantee of 40 CPUs and a limit of 100, team blue a
// guarantee of 20 and no limit, team green neither.
func testConfig() Config {
	return Config{
		Types: []wire.MachineType{
			{Name: "small", CPUs: 4, MemGB: 16, Price: 0.2, SpotPrice: 0.05, Zones: []string{"a", "b"}},
			{Name: "large", CPUs: 16, MemGB: 64, Price: 0.9, SpotPrice: 0.2, Zones: []string{"a"}},
		},
		Zones: []string{"a", "b"},
		Teams: []config.Team{
			{Name: "red", CPUs: 40, CPUsMax: 100},
			{Name: "blue", CPUs: 20},
			{Name: "green"},
		},
		Machines: func(typ, _ string) int {
			if typ == "large" {
				return 4
			}
			return 10
		},
		Limits: testLimits,
	}
}

// encodeReservation encodes a reservation for 10 March, 20:00 to 21:00, with the given fields
// changed.
func encodeReservation(t testing.TB, changes map[string]any) []byte {
	t.Helper()
	doc := map[string]any{
		"name":   "r",
		"team":   "green",
		"parts":  4,
		"cpus":   4.0,
		"mem_gb": 1.0,
		"start":  "2026-03-10T20:00:00",
		"end":    "2026-03-10T21:00:00",
	}
	maps.Copy(doc, changes)
	body, err := wire.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// parseReservation parses the reservation that encodeReservation returns.
func parseReservation(t testing.TB, changes map[string]any) *Reservation {
	t.Helper()
	r, err := ParseReservation(encodeReservation(t, changes), testLimits, testNow)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// parseWindow parses a window that begins before and ends after the default reservation of
// encodeReservation, with the given fields changed.
func parseWindow(t testing.TB, changes map[string]any) *Window {
	t.Helper()
	doc := map[string]any{"name": "w", "start": "2026-03-10T19:00:00", "end": "2026-03-10T22:00:00"}
	maps.Copy(doc, changes)
	body, err := wire.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	w, err := ParseWindow(body, testLimits, testNow)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// generatedLoad returns n random reservations, some of which recur daily or weekly, and a fleet
// whose size is proportional to n.
func generatedLoad(t testing.TB, n int) (Config, []*Reservation) {
	cfg := testConfig()
	cfg.Teams = nil
	for i := range 10 {
		cfg.Teams = append(cfg.Teams, config.Team{Name: fmt.Sprintf("t%d", i), CPUs: float64(2 * n / 10)})
	}
	cfg.Machines = func(string, string) int { return n / 2 }
	rnd := rand.New(rand.NewPCG(1, 2))
	var load []*Reservation
	for i := range n {
		start := testNow.Add(time.Duration(rnd.IntN(40*96)) * 15 * time.Minute)
		doc := map[string]any{
			"name":   fmt.Sprintf("r%d", i),
			"team":   fmt.Sprintf("t%d", rnd.IntN(10)),
			"parts":  1 + rnd.IntN(8),
			"cpus":   float64(1 + rnd.IntN(8)),
			"mem_gb": 1.0,
			"start":  start.Format(time.RFC3339),
			"end":    start.Add(time.Duration(1+rnd.IntN(16)) * 15 * time.Minute).Format(time.RFC3339),
		}
		switch rnd.IntN(3) {
		case 0:
			doc["rule"] = "FREQ=DAILY;COUNT=20"
		case 1:
			doc["rule"] = "FREQ=WEEKLY;COUNT=6"
		}
		doc["same_place"] = rnd.IntN(2) == 0
		load = append(load, parseReservation(t, doc))
	}
	return cfg, load
}
