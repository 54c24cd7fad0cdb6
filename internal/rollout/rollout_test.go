package rollout

import (
	"strings"
	"testing"
	"time"

	"vetchstream/internal/wire"
)

func parse(t *testing.T, doc map[string]any) (*Spec, error) {
	t.Helper()
	b, err := wire.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return Parse(b)
}

func doc(edit map[string]any) map[string]any {
	d := map[string]any{"service": "captions", "from": "run-1", "to": map[string]any{"uid": "run-2", "reel": "captions-2"},
		"batch": 2, "soak_s": 30, "deadline_s": 200, "most_extra": 1, "ready_s": 3}
	for k, v := range edit {
		d[k] = v
	}
	return d
}

// TestParse: mistakes are named by field.
func TestParse(t *testing.T) {
	tests := []struct {
		name string
		edit map[string]any
		want string
	}{
		{"as given", nil, ""},
		{"a name with spaces", map[string]any{"service": "my service"}, "service: "},
		{"no next version", map[string]any{"to": map[string]any{"uid": "run-2"}}, "to.reel: missing"},
		{"a job id of another form", map[string]any{"to": map[string]any{"uid": "two", "reel": "i"}}, "to.uid: "},
		{"an unknown field", map[string]any{"speed": 3}, "speed: unknown field"},
		{"an empty batch", map[string]any{"batch": 0}, "batch: "},
		{"both kinds of batch", map[string]any{"batch_share": 0.5}, "batch: given beside"},
		{"nothing may change", map[string]any{"most_extra": 0, "most_missing": 0}, "most_missing: "},
		{"a gate that is no condition", map[string]any{"pass": "healthy + 1"}, "pass: "},
		{"a gate with an unknown name", map[string]any{"fail": "sadness > 3"}, "fail: "},
		{"a gate with a loop", map[string]any{"fail": "all(1..1000000, # > 0)"}, "fail: "},
		{"a gate without end", map[string]any{"fail": strings.Repeat("failures > 1 || ", 60) + "true"}, "fail: "},
		{"a soak below 0", map[string]any{"soak_s": -1}, "soak_s: "},
	}
	for _, tt := range tests {
		_, err := parse(t, doc(tt.edit))
		if (err == nil) != (tt.want == "") || (err != nil && !strings.Contains(err.Error(), tt.want)) {
			t.Errorf("%s: %v, want %q", tt.name, err, tt.want)
		}
	}
}

// bed is a service whose copies do at once what is wanted of them, but for what a
// case changes.
type bed struct {
	*testing.T
	rec    *Record
	gate   *Gate
	view   View
	zones  []string
	health func(i int, age float64) Health // of new copies
	worst  int                             // most replicas without a healthy copy at a time
	batch  map[int]bool                    // batches whose new copies ever ran
}

func newBed(t *testing.T, edit map[string]any, zones ...string) *bed {
	s, err := parse(t, doc(edit))
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{T: t, zones: zones, health: func(int, float64) Health { return Healthy }, batch: map[int]bool{}}
	b.view = View{Now: time.Unix(1000, 0), Old: make([]Instance, len(zones)), New: make([]Instance, len(zones)), UnavailableZones: map[string]bool{}}
	for i := range b.view.Old {
		b.view.Old[i] = Instance{Live: true, Running: true, Health: Healthy, SinceS: 1000}
	}
	if b.gate, err = NewGate(s.Pass, s.Fail); err != nil {
		t.Fatal(err)
	}
	b.rec = New(s, "run-1", "run-1", zones, b.view.Now)
	return b
}

// run lets a number of seconds pass, in rounds of the leader; every takeover round
// the record goes through its stored form.
func (b *bed) run(seconds int) {
	for range seconds {
		stored, err := wire.Marshal(b.rec)
		if err != nil {
			b.Fatal(err)
		}
		next := &Record{}
		if err := wire.Unmarshal(stored, next); err != nil {
			b.Fatal(err)
		}
		b.rec = next
		for range 5 {
			if !Step(b.rec, &b.view, b.gate) {
				break
			}
		}
		w := Desired(b.rec, &b.view)
		missing := 0
		for i := range w.Old {
			old, next := &b.view.Old[i], &b.view.New[i]
			if b.rec.State == Done {
				continue // they have changed places
			}
			old.Live, old.Running = w.Old[i], w.Old[i]
			if old.SinceS++; !old.Live {
				old.SinceS = 0
			}
			if z := w.New[i]; z.Wanted && !b.view.UnavailableZones[z.Zone] {
				if !next.Live {
					*next = Instance{Live: true}
				}
				if z.Zone != b.zones[i] {
					b.Errorf("replica %d goes to %q", i, z.Zone)
				}
			} else if !z.Wanted {
				*next = Instance{}
			}
			if next.Live {
				next.Running = true
				next.SinceS++
				was := next.Health
				next.Health = b.health(i, next.SinceS)
				if next.BadS++; next.Health != Unhealthy {
					next.BadS = 0
				}
				if was == Healthy && next.Health == Unhealthy {
					b.rec.AddFailure(int32(i), "h")
				}
				b.batch[b.batchOf(i)] = true
			}
			if !old.Running && !(next.Running && next.Health == Healthy) {
				missing++
			}
		}
		b.worst = max(b.worst, missing)
		b.view.Now = b.view.Now.Add(time.Second)
	}
}

func (b *bed) batchOf(i int) int {
	for at, x := range b.rec.Batches {
		for _, j := range x.Replicas {
			if int(j) == i {
				return at
			}
		}
	}
	return -1
}

// crash ends new copies with an error on a machine.
func (b *bed) crash(host string, replicas ...int) {
	for _, i := range replicas {
		b.rec.AddFailure(int32(i), host)
		b.view.New[i] = Instance{}
	}
}

// TestStep: each hard case ends as it should, with the states in between. Every
// second the record goes through its stored form, as if the leader had changed.
func TestStep(t *testing.T) {
	six := []string{"a", "a", "b", "b", "c", "c"}
	tests := []struct {
		name    string
		edit    map[string]any
		do      func(b *bed)
		want    State
		batches int // that ever ran the new version
		missing int // replicas, at most
	}{
		{"a good build", nil, func(b *bed) { b.run(300) }, Done, 3, 0},
		{"it soaks before the next batch", nil, func(b *bed) { b.run(20) }, Soaking, 1, 0},
		{"one missing in place of one extra", map[string]any{"most_extra": 0, "most_missing": 1}, func(b *bed) { b.run(300) }, Done, 3, 1},
		{"bad from the start, as health goes", nil, func(b *bed) {
			b.health = func(int, float64) Health { return Unhealthy }
			b.run(300)
		}, RolledBack, 1, 0},
		{"one copy of the batch turns bad and stays so", map[string]any{"soak_s": 300, "deadline_s": 600}, func(b *bed) {
			b.health = func(i int, age float64) Health {
				return map[bool]Health{true: Unhealthy, false: Healthy}[i == 0 && age > 30]
			}
			b.run(100)
		}, RolledBack, 1, 2},
		{"a crash at once", nil, func(b *bed) {
			b.run(2)
			b.crash("h1", 0)
			b.run(1)
			b.crash("h2", 0)
			b.run(1)
			b.crash("h1", 0)
			b.run(20)
		}, RolledBack, 1, 0},
		{"it passes at first and fails within the soak", map[string]any{"soak_s": 150, "deadline_s": 400}, func(b *bed) {
			b.health = func(_ int, age float64) Health {
				return map[bool]Health{true: Healthy, false: Unhealthy}[int(age)%125 < 120]
			}
			b.run(900)
		}, RolledBack, 1, 2},
		{"it fails after the soak, while a later batch runs", nil, func(b *bed) {
			b.run(45)
			if b.rec.BatchIndex != 1 {
				b.Fatalf("at batch %d", b.rec.BatchIndex)
			}
			b.crash("h1", 0, 1)
			b.crash("h2", 0)
			b.run(300)
		}, RolledBack, 2, 1},
		{"healthy and unhealthy in turn", nil, func(b *bed) {
			b.health = func(_ int, age float64) Health {
				return map[bool]Health{true: Healthy, false: Unhealthy}[int(age)%10 < 7]
			}
			b.run(300)
		}, RolledBack, 1, 2},
		{"its health is never known: paused, not taken back", nil, func(b *bed) {
			b.health = func(int, float64) Health { return Unknown }
			b.run(300)
		}, Paused, 1, 0},
		{"one machine that fails everything", nil, func(b *bed) {
			b.run(2)
			b.crash("sick", 0)
			b.run(2)
			b.crash("sick", 1)
			b.run(300)
		}, Done, 3, 1},
		{"spot notices take new copies, again and again", nil, func(b *bed) {
			for range 6 {
				b.run(4)
				b.view.New[0].Lost, b.view.New[1].Lost = true, true // told to go
				b.run(1)
				b.view.New[0], b.view.New[1] = Instance{}, Instance{}
			}
			b.run(300)
		}, Done, 3, 2},
		{"the checker is cut off: paused, and on when it is back", nil, func(b *bed) {
			b.run(20)
			b.view.ChecksUnreachable = true
			b.health = func(int, float64) Health { return Unknown }
			b.run(250)
			if b.rec.State != Paused {
				b.Errorf("%s while blind", b.rec.State)
			}
			b.view.ChecksUnreachable = false
			b.health = func(int, float64) Health { return Healthy }
			b.run(300)
		}, Done, 3, 2},
		{"a zone goes before its batch: another is first", nil, func(b *bed) {
			b.view.UnavailableZones["a"] = true
			b.run(300)
		}, Paused, 2, 0},
		{"and comes back", nil, func(b *bed) {
			b.view.UnavailableZones["a"] = true
			b.run(300)
			b.view.UnavailableZones["a"] = false
			b.run(300)
		}, Done, 3, 0},
		{"a zone goes in the middle of its batch: it waits", nil, func(b *bed) {
			b.run(2)
			b.view.UnavailableZones["a"] = true
			for i := range 2 {
				b.view.New[i].Lost, b.view.Old[i].Lost = true, true
			}
			b.run(400)
		}, Paused, 1, 0},
		{"an operator pauses, and resumes", nil, func(b *bed) {
			b.run(10)
			Pause(b.rec, b.view.Now)
			b.run(300)
			if b.rec.State != Paused {
				b.Errorf("%s while held", b.rec.State)
			}
			Resume(b.rec, b.view.Now)
			b.run(300)
		}, Done, 3, 0},
		{"an operator takes it back", nil, func(b *bed) {
			b.run(60)
			RollBack(b.rec, b.view.Now)
			b.run(60)
		}, RolledBack, 2, 0},
		{"the service is cancelled", nil, func(b *bed) {
			b.run(20)
			b.view.Cancelled = true
			b.run(5)
		}, Failed, 1, 0},
		{"it does not undo by itself: paused", map[string]any{"undo": false}, func(b *bed) {
			b.run(2)
			b.crash("h1", 0, 1)
			b.crash("h2", 0)
			b.run(60)
		}, Paused, 1, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed(t, tt.edit, six...)
			tt.do(b)
			if b.rec.State != tt.want || len(b.batch) != tt.batches || b.worst > tt.missing {
				t.Errorf("%s (%s), %d batches ran it, %d missing; want %s, %d, at most %d", b.rec.State, b.rec.Reason, len(b.batch), b.worst, tt.want, tt.batches, tt.missing)
			}
		})
	}
}

// TestUndoFails: a service whose old version does not come up either is given up,
// and says so.
func TestUndoFails(t *testing.T) {
	b := newBed(t, nil, "a", "a")
	b.run(5)
	RollBack(b.rec, b.view.Now)
	for range 300 {
		b.view.Now = b.view.Now.Add(time.Second)
		b.view.Old, b.view.New = make([]Instance, 2), make([]Instance, 2)
		Step(b.rec, &b.view, b.gate)
	}
	if b.rec.State != Failed || !strings.Contains(b.rec.Reason, "old version") {
		t.Errorf("%s: %s", b.rec.State, b.rec.Reason)
	}
}

// TestPlan: a batch is never in two zones.
func TestPlan(t *testing.T) {
	tests := []struct {
		name  string
		edit  map[string]any
		zones []string
		want  string
	}{
		{"by zone", nil, []string{"b", "a", "b", "a", "b"}, "a:1,3 b:0,2 b:4"},
		{"in the order asked for", map[string]any{"zones": []string{"b"}}, []string{"b", "a"}, "b:0 a:1"},
		{"what runs nowhere comes last", nil, []string{"", "a", "a"}, "a:1,2 :0"},
		{"a share", map[string]any{"batch": nil, "batch_share": 0.5}, []string{"a", "a", "a", "a", "a"}, "a:0,1,2 a:3,4"},
	}
	for _, tt := range tests {
		d := doc(tt.edit)
		if d["batch"] == nil {
			delete(d, "batch")
		}
		s, err := parse(t, d)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, b := range PlanBatches(s, tt.zones) {
			text := make([]string, len(b.Replicas))
			for i, r := range b.Replicas {
				text[i] = string(rune('0' + r))
			}
			got = append(got, b.Zone+":"+strings.Join(text, ","))
		}
		if g := strings.Join(got, " "); g != tt.want {
			t.Errorf("%s: %q, want %q", tt.name, g, tt.want)
		}
	}
}
