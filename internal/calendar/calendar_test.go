package calendar

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/wire"
)

var (
	today  = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	bounds = Limits{HorizonDays: 100, Reservations: 20_000, ReservationsPerTeam: 10_000, Windows: 50, Occurrences: 200}
)

// facts are two zones of ten small machines each, and four large ones in a. Red has
// 40 CPUs guaranteed and 100 at most, blue 20 guaranteed.
func facts() Config {
	return Config{Zones: []string{"a", "b"}, Limits: bounds,
		Types: []wire.MachineType{
			{Name: "small", CPUs: 4, MemGB: 16, Price: 0.2, SpotPrice: 0.05, Zones: []string{"a", "b"}},
			{Name: "large", CPUs: 16, MemGB: 64, Price: 0.9, SpotPrice: 0.2, Zones: []string{"a"}}},
		Teams: []config.Team{{Name: "red", CPUs: 40, CPUsMax: 100}, {Name: "blue", CPUs: 20}, {Name: "green"}},
		Machines: func(typ, _ string) int {
			if typ == "large" {
				return 4
			}
			return 10
		}}
}

func parse(t testing.TB, doc map[string]any) *Reservation {
	t.Helper()
	base := map[string]any{"name": "r", "team": "green", "parts": 4, "cpus": 4.0, "mem_gb": 1.0, "start": "2026-03-10T20:00:00", "end": "2026-03-10T21:00:00"}
	for k, v := range doc {
		base[k] = v
	}
	body, err := wire.Marshal(base)
	if err != nil {
		t.Fatal(err)
	}
	r, err := ParseReservation(body, bounds, today)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func parseWindow(t testing.TB, doc map[string]any) *Window {
	t.Helper()
	base := map[string]any{"name": "w", "start": "2026-03-10T19:00:00", "end": "2026-03-10T22:00:00"}
	for k, v := range doc {
		base[k] = v
	}
	body, err := wire.Marshal(base)
	if err != nil {
		t.Fatal(err)
	}
	w, err := ParseWindow(body, bounds, today)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// TestMalformed: bad input is refused with the field's name, and the work that a
// rule asks for is bounded.
func TestMalformed(t *testing.T) {
	tests := []struct {
		name string
		doc  map[string]any
		want string
	}{
		{"sound", nil, ""},
		{"an end before its start", map[string]any{"end": "2026-03-10T19:00:00"}, "end: not after the start"},
		{"over already", map[string]any{"start": "2026-02-10T20:00:00", "end": "2026-02-10T21:00:00"}, "end: is over"},
		{"no time", map[string]any{"start": "tomorrow"}, "start: "},
		{"an unknown zone", map[string]any{"time_zone": "Mars/Base"}, "time_zone: "},
		{"no end", map[string]any{"rule": "FREQ=DAILY"}, "rule: has no end"},
		{"a million occurrences", map[string]any{"rule": "FREQ=DAILY;COUNT=1000000"}, "rule: more than 200"},
		{"every second", map[string]any{"rule": "FREQ=SECONDLY;COUNT=5"}, "rule: finer than an hour"},
		{"a day that never comes", map[string]any{"rule": "FREQ=HOURLY;BYMONTH=2;BYMONTHDAY=30;COUNT=5"}, "rule: no occurrence"},
		{"beyond the horizon", map[string]any{"rule": "FREQ=MONTHLY;COUNT=12"}, "rule: goes beyond the horizon"},
		{"until beyond the horizon", map[string]any{"rule": "FREQ=MONTHLY;UNTIL=20300101T000000Z"}, "rule: goes beyond the horizon"},
		{"count and until", map[string]any{"rule": "FREQ=DAILY;COUNT=2;UNTIL=20260320T000000Z"}, "rule: has both"},
		{"overlaps itself", map[string]any{"end": "2026-03-12T20:00:00", "rule": "FREQ=DAILY;COUNT=3"}, "rule: an occurrence begins before"},
		{"nonsense for a rule", map[string]any{"rule": "EVERY EVENING"}, "rule: "},
		{"no memory", map[string]any{"mem_gb": nil}, "mem_gb: "},
		{"no part", map[string]any{"parts": 0}, "parts: "},
		{"an unknown field", map[string]any{"colour": "red"}, "colour: unknown field"},
		{"apart in one place", map[string]any{"apart": true, "same_place": true}, "apart: "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			doc := map[string]any{"name": "r", "team": "green", "parts": 4, "cpus": 4.0, "mem_gb": 1.0, "start": "2026-03-10T20:00:00", "end": "2026-03-10T21:00:00"}
			for k, v := range tt.doc {
				doc[k] = v
			}
			body, _ := wire.Marshal(doc)
			_, err := ParseReservation(body, bounds, today)
			switch {
			case tt.want == "" && err != nil:
				t.Errorf("refused: %v", err)
			case tt.want != "" && (!errors.Is(err, ErrMalformed) || !strings.Contains(fmt.Sprint(err), tt.want)):
				t.Errorf("got %v, want %q", err, tt.want)
			}
		})
	}
}

// TestOccurrences: a slot keeps its time of day across changes of daylight saving,
// and its length in elapsed time.
func TestOccurrences(t *testing.T) {
	tests := []struct {
		name string
		doc  map[string]any
		want string // starts and ends, UTC
	}{
		{"the bulletin over the change in spring", map[string]any{"start": "2026-03-28T20:00:00", "end": "2026-03-28T21:00:00", "time_zone": "Europe/Berlin", "rule": "FREQ=DAILY;COUNT=2"},
			"03-28T19:00-20:00 03-29T18:00-19:00"},
		{"a time of day that is skipped", map[string]any{"start": "2026-03-28T02:30:00", "end": "2026-03-28T03:30:00", "time_zone": "Europe/Berlin", "rule": "FREQ=DAILY;COUNT=3"},
			"03-28T01:30-02:30 03-29T01:30-02:30 03-30T00:30-01:30"},
		{"weekdays until a day", map[string]any{"rule": "FREQ=WEEKLY;BYDAY=TU,TH;UNTIL=20260318T000000Z"}, "03-10T20:00-21:00 03-12T20:00-21:00 03-17T20:00-21:00"},
		{"an offset of its own", map[string]any{"start": "2026-03-10T20:00:00+02:00", "end": "2026-03-10T21:00:00+02:00"}, "03-10T18:00-19:00"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			for _, s := range parse(t, tt.doc).Spans() {
				got = append(got, time.UnixMilli(s.From).UTC().Format("01-02T15:04")+"-"+time.UnixMilli(s.To).UTC().Format("15:04"))
			}
			if s := strings.Join(got, " "); s != tt.want {
				t.Errorf("got %s, want %s", s, tt.want)
			}
		})
	}
}

// TestFit: what is accepted beside what is there, and what a refusal says.
func TestFit(t *testing.T) {
	at := func(from, to string) map[string]any {
		return map[string]any{"start": "2026-03-10T" + from + ":00", "end": "2026-03-10T" + to + ":00"}
	}
	with := func(m map[string]any, kv ...any) map[string]any {
		for i := 0; i < len(kv); i += 2 {
			m[kv[i].(string)] = kv[i+1]
		}
		return m
	}
	tests := []struct {
		name   string
		before []map[string]any
		doc    map[string]any
		want   string // shares, or a part of the refusal
		next   string
	}{
		{"the cheapest machines", nil, at("20:00", "21:00"), "small/a 4/4", ""},
		{"in one place, the only one that has room", nil, with(at("20:00", "21:00"), "parts", 18, "same_place", true), "small/a 10/10 large/a 2/8", ""},
		{"apart", nil, with(at("20:00", "21:00"), "parts", 5, "apart", true), "small/a 3/3 small/b 2/2", ""},
		{"beside another", []map[string]any{with(at("19:30", "20:30"), "parts", 8)}, at("20:00", "21:00"), "small/a 2/2 small/b 2/2", ""},
		{"after another", []map[string]any{with(at("19:00", "20:00"), "parts", 8)}, at("20:00", "21:00"), "small/a 4/4", ""},
		{"a part larger than any machine", nil, with(at("20:00", "21:00"), "cpus", 32.0), "a part fits no machine", ""},
		{"a type that is booked", []map[string]any{with(at("19:30", "20:30"), "parts", 3, "builds", []string{"large"}, "cpus", 16.0)},
			with(at("20:00", "21:00"), "parts", 2, "builds", []string{"large"}, "cpus", 16.0), "reservation r0", "20:30"},
		{"the team's limit", []map[string]any{with(at("19:30", "20:30"), "team", "red", "parts", 20)}, with(at("20:00", "21:00"), "team", "red", "parts", 8),
			"the team's limit of 100 CPUs, of which 80 are reserved", "20:30"},
		{"more than the guarantee, where there is enough", nil, with(at("20:00", "21:00"), "team", "red", "parts", 25), "small/a 10/10 small/b 10/10 large/a 2/5", ""},
		// 144 CPUs, of which 60 are guaranteed: whoever has no guarantee gets 84.
		{"one who books everything", nil, with(at("20:00", "21:00"), "parts", 22), "other teams' guarantees of CPUs", ""},
		{"in small steps", []map[string]any{with(at("20:00", "21:00"), "parts", 11), with(at("19:30", "20:30"), "parts", 10)}, with(at("20:00", "21:00"), "parts", 1),
			"other teams' guarantees of CPUs", "20:30"},
		{"a guarantee beside one who books all the rest", []map[string]any{with(at("20:00", "21:00"), "parts", 21)}, with(at("20:00", "21:00"), "team", "red", "parts", 10),
			"large/a 3/10", ""},
		{"two teams inside their guarantees", []map[string]any{with(at("20:00", "21:00"), "team", "blue", "parts", 5)}, with(at("20:00", "21:00"), "team", "red", "parts", 10),
			"small/a 5/5 small/b 5/5", ""},
		{"every evening beside one evening", []map[string]any{with(at("20:30", "21:30"), "parts", 4, "builds", []string{"large"}, "cpus", 16.0)},
			with(at("20:00", "21:00"), "parts", 1, "builds", []string{"large"}, "cpus", 16.0, "start", "2026-03-08T20:00:00", "end", "2026-03-08T21:00:00", "rule", "FREQ=DAILY;COUNT=5"),
			"at 2026-03-10T20:00:00Z no room for 1 parts beside reservation r0", "21:30"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New(facts())
			for i, doc := range tt.before {
				doc["name"] = fmt.Sprintf("r%d", i)
				e, err := c.Fit(parse(t, doc), today)
				if err != nil {
					t.Fatal(err)
				}
				c.Add(e)
			}
			e, err := c.Fit(parse(t, tt.doc), today)
			got, next := "", ""
			var conflict *Conflict
			if errors.As(err, &conflict) {
				got = conflict.Reason
				if !conflict.NextStart.IsZero() {
					next = conflict.NextStart.UTC().Format("15:04")
				}
			} else if err != nil {
				t.Fatal(err)
			} else {
				got = shares(e)
			}
			if !strings.Contains(got, tt.want) || next != tt.next {
				t.Errorf("got %q, next %q; want %q, next %q", got, next, tt.want, tt.next)
			}
		})
	}
}

func shares(e *Booking) string {
	var out []string
	for _, s := range e.Allocations {
		out = append(out, fmt.Sprintf("%s/%s %d/%d", s.Type, s.Zone, s.Machines, s.Parts))
	}
	return strings.Join(out, " ")
}

// TestWindows: a window and a reservation on the same machines, in either order.
func TestWindows(t *testing.T) {
	tests := []struct {
		name   string
		parts  int
		one    bool
		window map[string]any
		first  bool // the window comes first
		want   string
	}{
		{"the window first", 10, false, map[string]any{"yard": "a"}, true, "small/b 10/10"},
		{"the window first, too little left", 12, false, map[string]any{"yard": "a"}, true, "no room for 12 parts beside window w"},
		{"the reservation moves", 10, false, map[string]any{"yard": "a"}, false, "moved small/b 10/10"},
		{"the reservation stays where there is room", 4, false, map[string]any{"hosts": []string{"h1"}}, false, "stays"},
		{"it does not fit elsewhere", 12, false, map[string]any{"yard": "a"}, false, "reservation r of team green does not fit elsewhere"},
		{"forced", 12, false, map[string]any{"yard": "a", "force": true}, false, "lost 1"},
		{"every machine", 4, false, map[string]any{"yard": "a"}, false, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.want == "" {
				f := facts()
				f.Zones = []string{"a"}
				_, err := New(f).PlanWindow(parseWindow(t, map[string]any{"yard": "a"}), nil, today)
				if err == nil || !strings.Contains(err.Error(), "every machine") {
					t.Errorf("got %v", err)
				}
				return
			}
			f := facts()
			f.Teams = []config.Team{{Name: "green"}}
			c := New(f)
			r := parse(t, map[string]any{"parts": tt.parts})
			w := parseWindow(t, tt.window)
			var single []Allocation
			if w.NamesMachines() {
				single = []Allocation{{Type: "small", Zone: "a", Machines: 1}}
			}
			var got string
			if tt.first {
				a, err := c.PlanWindow(w, single, today)
				if err != nil {
					t.Fatal(err)
				}
				c.AddWindow(a.Window)
				if e, err := c.Fit(r, today); err != nil {
					got = err.Error()
				} else {
					got = shares(e)
				}
			} else {
				e, err := c.Fit(r, today)
				if err != nil {
					t.Fatal(err)
				}
				c.Add(e)
				a, err := c.PlanWindow(w, single, today)
				switch {
				case err != nil:
					got = err.Error()
				case len(a.Moved) > 0:
					got = "moved " + shares(a.Moved[0])
				case len(a.Revoked) > 0:
					got = fmt.Sprintf("lost %d", len(a.Revoked[0].Revoked))
				default:
					got = "stays"
				}
				if len(c.Windows()) != 0 || c.Bookings()["r"] != e {
					t.Error("a look has changed the calendar")
				}
			}
			if !strings.Contains(got, tt.want) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// TestTakes: which machines a window is about.
func TestTakes(t *testing.T) {
	tests := []struct {
		name string
		doc  map[string]any
		want string // of h1 10.0.1.5 small/a, h2 10.0.2.5 small/b, h3 10.0.1.9 large/a
	}{
		{"a zone", map[string]any{"yard": "a"}, "h1 h3"},
		{"a type in a zone", map[string]any{"yard": "a", "build": "small"}, "h1"},
		{"by name", map[string]any{"hosts": []string{"h2", "h9"}}, "h2"},
		{"a range", map[string]any{"range": []string{"10.0.1.0/29"}}, "h1"},
		{"a range and a name", map[string]any{"range": []string{"10.0.2.0/24"}, "hosts": []string{"h3"}}, "h2 h3"},
		{"a range in a zone", map[string]any{"range": []string{"10.0.0.0/16"}, "yard": "b"}, "h2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := parseWindow(t, tt.doc)
			var got []string
			for _, h := range [][4]string{{"h1", "10.0.1.5:9000", "small", "a"}, {"h2", "10.0.2.5:9000", "small", "b"}, {"h3", "10.0.1.9:9000", "large", "a"}} {
				if w.Covers(h[0], h[1], h[2], h[3]) {
					got = append(got, h[0])
				}
			}
			if s := strings.Join(got, " "); s != tt.want {
				t.Errorf("got %s, want %s", s, tt.want)
			}
		})
	}
}

// TestStep: each occurrence is decided once, whatever the leader has missed.
func TestStep(t *testing.T) {
	r := parse(t, map[string]any{"rule": "FREQ=DAILY;COUNT=3", "grace_s": 120.0})
	c := New(facts())
	e, err := c.Fit(r, today)
	if err != nil {
		t.Fatal(err)
	}
	start := time.UnixMilli(r.Spans()[0].From)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	day := 24 * time.Hour
	tests := []struct {
		name  string
		looks []Observation
		want  string
	}{
		{"before", []Observation{{Now: at(-time.Second)}}, ""},
		{"kept", []Observation{{Now: at(0), Claimer: "run-1"}, {Now: at(time.Second), Claimer: "run-1", RunAt: at(time.Second)}, {Now: at(time.Minute), Claimer: "run-1", RunAt: at(time.Second)}}, "kept"},
		{"late", []Observation{{Now: at(0), Claimer: "run-1"}, {Now: at(61 * time.Second), Claimer: "run-1", RunAt: at(time.Minute)}}, "late 60"},
		{"unclaimed", []Observation{{Now: at(119 * time.Second)}, {Now: at(121 * time.Second)}}, "lapsed"},
		{"claimed in time and never run", []Observation{{Now: at(121 * time.Second), Claimer: "run-1"}, {Now: at(time.Hour), Claimer: "run-1"}}, "missed"},
		{"nobody led over two of them", []Observation{{Now: at(day + 2*time.Hour)}, {Now: at(day + 2*time.Hour)}, {Now: at(day + 2*time.Hour)}}, "lapsed lapsed"},
		{"nobody led over its start", []Observation{{Now: at(time.Minute)}, {Now: at(2 * time.Minute), Claimer: "run-1", RunAt: at(90 * time.Second)}}, "late 90"},
		{"a successor whose clock is behind", []Observation{{Now: at(100 * time.Millisecond), Claimer: "run-1", RunAt: at(50 * time.Millisecond)},
			{Now: at(-200 * time.Millisecond), Claimer: "run-1"}, {Now: at(50 * time.Millisecond), Claimer: "run-1", RunAt: at(-100 * time.Millisecond)}}, "kept"},
		{"all three and nothing after", []Observation{{Now: at(3 * day)}, {Now: at(3 * day)}, {Now: at(3 * day)}, {Now: at(3 * day)}, {Now: at(3 * day)}}, "lapsed lapsed lapsed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rec := NewRecord(e, today)
			for _, l := range tt.looks {
				next, changed := DecideOutcome(rec, e, l, Tolerance(2, 100))
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

// TestPace: a bound covers what was seen, and twice what is expected before anything
// was.
func TestPace(t *testing.T) {
	tests := []struct {
		name string
		seen []float64
		low  float64 // the bound is at least that, of an expected 10
		high float64
	}{
		{"nothing seen", nil, 20, 20},
		{"one", []float64{8}, 16, 24},
		{"all alike", slices.Repeat([]float64{8}, 100), 8, 8.5},
		{"a long one among short ones", append([]float64{5, 6, 20}, slices.Repeat([]float64{5, 6}, 10)...), 14, 40},
		{"longer from now on", append(slices.Repeat([]float64{5}, 50), slices.Repeat([]float64{9}, 5)...), 9, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var p Estimator
			for _, x := range tt.seen {
				p.Add(x)
			}
			if got := p.UpperBound(10); got < tt.low || got > tt.high {
				t.Errorf("bound %.1f, want %.1f to %.1f", got, tt.low, tt.high)
			}
		})
	}
}

// load is a generated load of daily and weekly slots, for a fleet of its size.
func load(t testing.TB, n int) (Config, []*Reservation) {
	f := facts()
	f.Teams = nil
	for i := range 10 {
		f.Teams = append(f.Teams, config.Team{Name: fmt.Sprintf("t%d", i), CPUs: float64(2 * n / 10)})
	}
	f.Machines = func(string, string) int { return n / 2 }
	rnd := rand.New(rand.NewPCG(1, 2))
	var out []*Reservation
	for i := range n {
		start := today.Add(time.Duration(rnd.IntN(40*96)) * 15 * time.Minute)
		doc := map[string]any{"name": fmt.Sprintf("r%d", i), "team": fmt.Sprintf("t%d", rnd.IntN(10)), "parts": 1 + rnd.IntN(8), "cpus": float64(1 + rnd.IntN(8)), "mem_gb": 1.0,
			"start": start.Format(time.RFC3339), "end": start.Add(time.Duration(1+rnd.IntN(16)) * 15 * time.Minute).Format(time.RFC3339)}
		switch rnd.IntN(3) {
		case 0:
			doc["rule"] = "FREQ=DAILY;COUNT=20"
		case 1:
			doc["rule"] = "FREQ=WEEKLY;COUNT=6"
		}
		doc["same_place"] = rnd.IntN(2) == 0
		out = append(out, parse(t, doc))
	}
	return f, out
}

// TestNothingLeft: a calendar that all reservations have left again is as empty as
// at first, so that a year of bookings leaves no memory behind.
func TestNothingLeft(t *testing.T) {
	f, rs := load(t, 200)
	c := New(f)
	for _, r := range rs {
		if e, err := c.Fit(r, today); err == nil {
			c.Add(e)
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

// BenchmarkFit is one admission beside so many reservations, and what they take of
// the memory.
func BenchmarkFit(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, rs := load(b, n)
			var was, is runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&was)
			c := New(f)
			var took []time.Duration
			accepted := 0
			for _, r := range rs {
				begun := time.Now()
				e, err := c.Fit(r, today)
				if err == nil {
					c.Add(e)
					accepted++
				}
				took = append(took, time.Since(begun))
			}
			runtime.GC()
			runtime.ReadMemStats(&is)
			last := took[len(took)*9/10:]
			b.ReportMetric(quantile(last, 0.5), "p50-us")
			b.ReportMetric(quantile(last, 0.99), "p99-us")
			b.ReportMetric(float64(is.HeapAlloc-was.HeapAlloc)/1e6, "MB")
			b.ReportMetric(100*float64(accepted)/float64(n), "%accepted")
			var stored [][]byte
			for _, e := range c.Bookings() {
				body, err := wire.Marshal(NewRecord(e, today))
				if err != nil {
					b.Fatal(err)
				}
				stored = append(stored, body)
			}
			begun := time.Now()
			again := New(f)
			for _, body := range stored {
				rec := &Record{}
				if err := wire.Unmarshal(body, rec); err != nil {
					b.Fatal(err)
				}
				e, err := rec.Booking()
				if err != nil {
					b.Fatal(err)
				}
				again.Add(e)
			}
			b.ReportMetric(float64(time.Since(begun).Milliseconds()), "reload-ms")
		})
	}
}

func quantile(ds []time.Duration, q float64) float64 {
	us := make([]float64, len(ds))
	for i, d := range ds {
		us[i] = float64(d.Microseconds())
	}
	slices.Sort(us)
	return us[int(q*float64(len(us)-1))]
}
