package rollout

import (
	"strings"
	"testing"
	"time"

	"vetchstream/internal/wire"
)

// testService is a service whose copies do at once what is wanted of them, but for what a
// case changes.
type testService struct {
	*testing.T
	record     *Record
	gate       *Gate
	view       View
	zones      []string
	health     func(i int, age float64) Health // of new copies
	maxMissing int                             // most replicas without a healthy copy at a time
	batchesRun map[int]bool                    // batches whose new copies ever ran
}

func newTestService(t *testing.T, edit map[string]any, zones ...string) *testService {
	s, err := parseSpec(t, specDocument(edit))
	if err != nil {
		t.Fatal(err)
	}
	b := &testService{T: t, zones: zones, health: func(int, float64) Health { return Healthy }, batchesRun: map[int]bool{}}
	b.view = View{Now: time.Unix(1000, 0), Old: make([]Instance, len(zones)), New: make([]Instance, len(zones)), UnavailableZones: map[string]bool{}}
	for i := range b.view.Old {
		b.view.Old[i] = Instance{Live: true, Running: true, Health: Healthy, SinceS: 1000}
	}
	if b.gate, err = NewGate(s.Pass, s.Fail); err != nil {
		t.Fatal(err)
	}
	b.record = New(s, "run-1", "run-1", zones, b.view.Now)
	return b
}

// run lets a number of seconds pass, each with a round of the leader. Every second the record
// goes through its stored form.
func (b *testService) run(seconds int) {
	for range seconds {
		b.reload()
		for range 5 {
			if !Step(b.record, &b.view, b.gate) {
				break
			}
		}
		desired := Desired(b.record, &b.view)
		missing := 0
		if b.record.State != Done { // in Done the versions have changed places
			for i := range desired.Old {
				if !b.follow(&desired, i) {
					missing++
				}
			}
		}
		b.maxMissing = max(b.maxMissing, missing)
		b.view.Now = b.view.Now.Add(time.Second)
	}
}

// reload puts the record through its stored form.
func (b *testService) reload() {
	stored, err := wire.Marshal(b.record)
	if err != nil {
		b.Fatal(err)
	}
	next := &Record{}
	if err := wire.Unmarshal(stored, next); err != nil {
		b.Fatal(err)
	}
	b.record = next
}

// follow has a replica do for a second what is desired, and reports whether a healthy instance
// of it runs.
func (b *testService) follow(desired *DesiredState, i int) bool {
	old, next := &b.view.Old[i], &b.view.New[i]
	old.Live, old.Running = desired.Old[i], desired.Old[i]
	if old.SinceS++; !old.Live {
		old.SinceS = 0
	}
	if p := desired.New[i]; p.Wanted && !b.view.UnavailableZones[p.Zone] {
		if !next.Live {
			*next = Instance{Live: true}
		}
		if p.Zone != b.zones[i] {
			b.Errorf("replica %d goes to %q", i, p.Zone)
		}
	} else if !p.Wanted {
		*next = Instance{}
	}
	if next.Live {
		b.age(i, next)
	}
	return old.Running || (next.Running && next.Health == Healthy)
}

// age lets a new instance run for a second.
func (b *testService) age(i int, next *Instance) {
	before := next.Health
	next.Running = true
	next.SinceS++
	next.Health = b.health(i, next.SinceS)
	if next.UnhealthyS++; next.Health != Unhealthy {
		next.UnhealthyS = 0
	}
	if before == Healthy && next.Health == Unhealthy {
		b.record.AddFailure(int32(i), "h")
	}
	b.batchesRun[b.batchOf(i)] = true
}

// batchOf is the batch of a replica.
func (b *testService) batchOf(i int) int {
	for at, x := range b.record.Batches {
		for _, j := range x.Replicas {
			if int(j) == i {
				return at
			}
		}
	}
	return -1
}

// crash ends new copies with an error on a machine.
func (b *testService) crash(machine string, replicas ...int) {
	for _, i := range replicas {
		b.record.AddFailure(int32(i), machine)
		b.view.New[i] = Instance{}
	}
}

// stepTest is a case of the tests of Step: what happens to a service of six replicas in three
// zones, and how its roll-out stands then.
type stepTest struct {
	name        string
	edit        map[string]any // of the specification
	actions     func(b *testService)
	wantState   State
	wantBatches int // that ever ran the new version
	maxMissing  int // replicas, at most
}

// runStepTests plays the cases. Every second the record goes through its stored form, as if
// the leader had changed.
func runStepTests(t *testing.T, tests []stepTest) {
	t.Helper()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestService(t, tt.edit, "a", "a", "b", "b", "c", "c")
			tt.actions(b)
			if b.record.State != tt.wantState || len(b.batchesRun) != tt.wantBatches || b.maxMissing > tt.maxMissing {
				t.Errorf("%s (%s), %d batches ran it, %d missing; want %s, %d, at most %d", b.record.State, b.record.Reason, len(b.batchesRun), b.maxMissing, tt.wantState, tt.wantBatches, tt.maxMissing)
			}
		})
	}
}

// TestStepGoodBuild: a good build gets through, whatever happens to machines and checks.
func TestStepGoodBuild(t *testing.T) {
	runStepTests(t, []stepTest{
		{"a good build", nil, func(b *testService) { b.run(300) }, Done, 3, 0},
		{"it soaks before the next batch", nil, func(b *testService) { b.run(20) }, Soaking, 1, 0},
		{"one missing in place of one extra", map[string]any{"most_extra": 0, "most_missing": 1}, func(b *testService) { b.run(300) }, Done, 3, 1},
		{"one machine that fails everything", nil, func(b *testService) {
			b.run(2)
			b.crash("sick", 0)
			b.run(2)
			b.crash("sick", 1)
			b.run(300)
		}, Done, 3, 1},
		{"spot notices take new copies, again and again", nil, func(b *testService) {
			for range 6 {
				b.run(4)
				b.view.New[0].Lost, b.view.New[1].Lost = true, true // told to go
				b.run(1)
				b.view.New[0], b.view.New[1] = Instance{}, Instance{}
			}
			b.run(300)
		}, Done, 3, 2},
		{"the checker is cut off: paused, and on when it is back", nil, func(b *testService) {
			b.run(20)
			b.view.ChecksUnreachable = true
			b.health = func(int, float64) Health { return Unknown }
			b.run(250)
			if b.record.State != Paused {
				b.Errorf("%s while blind", b.record.State)
			}
			b.view.ChecksUnreachable = false
			b.health = func(int, float64) Health { return Healthy }
			b.run(300)
		}, Done, 3, 2},
		{"and comes back", nil, func(b *testService) {
			b.view.UnavailableZones["a"] = true
			b.run(300)
			b.view.UnavailableZones["a"] = false
			b.run(300)
		}, Done, 3, 0},
		{"an operator pauses, and resumes", nil, func(b *testService) {
			b.run(10)
			Pause(b.record, b.view.Now)
			b.run(300)
			if b.record.State != Paused {
				b.Errorf("%s while held", b.record.State)
			}
			Resume(b.record, b.view.Now)
			b.run(300)
		}, Done, 3, 0},
	})
}

// TestStepBadBuild: a bad build is rolled back, at whatever time it shows that it is.
func TestStepBadBuild(t *testing.T) {
	runStepTests(t, []stepTest{
		{"bad from the start, as health goes", nil, func(b *testService) {
			b.health = func(int, float64) Health { return Unhealthy }
			b.run(300)
		}, RolledBack, 1, 0},
		{"one copy of the batch turns bad and stays so", map[string]any{"soak_s": 300, "deadline_s": 600}, func(b *testService) {
			b.health = func(i int, age float64) Health {
				return map[bool]Health{true: Unhealthy, false: Healthy}[i == 0 && age > 30]
			}
			b.run(100)
		}, RolledBack, 1, 2},
		{"a crash at once", nil, func(b *testService) {
			b.run(2)
			b.crash("h1", 0)
			b.run(1)
			b.crash("h2", 0)
			b.run(1)
			b.crash("h1", 0)
			b.run(20)
		}, RolledBack, 1, 0},
		{"it passes at first and fails within the soak", map[string]any{"soak_s": 150, "deadline_s": 400}, func(b *testService) {
			b.health = func(_ int, age float64) Health {
				return map[bool]Health{true: Healthy, false: Unhealthy}[int(age)%125 < 120]
			}
			b.run(900)
		}, RolledBack, 1, 2},
		{"it fails after the soak, while a later batch runs", nil, func(b *testService) {
			b.run(45)
			if b.record.BatchIndex != 1 {
				b.Fatalf("at batch %d", b.record.BatchIndex)
			}
			b.crash("h1", 0, 1)
			b.crash("h2", 0)
			b.run(300)
		}, RolledBack, 2, 1},
		{"healthy and unhealthy in turn", nil, func(b *testService) {
			b.health = func(_ int, age float64) Health {
				return map[bool]Health{true: Healthy, false: Unhealthy}[int(age)%10 < 7]
			}
			b.run(300)
		}, RolledBack, 1, 2},
		{"an operator takes it back", nil, func(b *testService) {
			b.run(60)
			RollBack(b.record, b.view.Now)
			b.run(60)
		}, RolledBack, 2, 0},
		{"the service is cancelled", nil, func(b *testService) {
			b.run(20)
			b.view.Cancelled = true
			b.run(5)
		}, Failed, 1, 0},
	})
}

// TestStepPaused: what cannot be held against the build pauses the roll-out.
func TestStepPaused(t *testing.T) {
	runStepTests(t, []stepTest{
		{"its health is never known: paused, not taken back", nil, func(b *testService) {
			b.health = func(int, float64) Health { return Unknown }
			b.run(300)
		}, Paused, 1, 0},
		{"a zone goes before its batch: another is first", nil, func(b *testService) {
			b.view.UnavailableZones["a"] = true
			b.run(300)
		}, Paused, 2, 0},
		{"a zone goes in the middle of its batch: it waits", nil, func(b *testService) {
			b.run(2)
			b.view.UnavailableZones["a"] = true
			for i := range 2 {
				b.view.New[i].Lost, b.view.Old[i].Lost = true, true
			}
			b.run(400)
		}, Paused, 1, 0},
		{"it does not undo by itself: paused", map[string]any{"undo": false}, func(b *testService) {
			b.run(2)
			b.crash("h1", 0, 1)
			b.crash("h2", 0)
			b.run(60)
		}, Paused, 1, 2},
	})
}

// TestRollBackFails: a service whose old version does not come up either is given up,
// and says so.
func TestRollBackFails(t *testing.T) {
	b := newTestService(t, nil, "a", "a")
	b.run(5)
	RollBack(b.record, b.view.Now)
	for range 300 {
		b.view.Now = b.view.Now.Add(time.Second)
		b.view.Old, b.view.New = make([]Instance, 2), make([]Instance, 2)
		Step(b.record, &b.view, b.gate)
	}
	if b.record.State != Failed || !strings.Contains(b.record.Reason, "old version") {
		t.Errorf("%s: %s", b.record.State, b.record.Reason)
	}
}
