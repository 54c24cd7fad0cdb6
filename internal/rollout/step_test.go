package rollout

import (
	"strings"
	"testing"
	"time"

	"vetchstream/internal/wire"
)

// testService is a service whose instances start and stop at once as desired, except for the
// faults that a case injects.
type testService struct {
	*testing.T
	record     *Record
	gate       *Gate
	view       View
	zones      []string
	health     func(i int, age float64) Health // of new instances, by replica and run time in seconds
	maxMissing int                             // most replicas without a healthy instance at a time
	batchesRun map[int]bool                    // batches of which a new instance has run
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

// run simulates a number of seconds. In each second the leader steps the record after storing and
// reading it again, and the instances follow the desired state.
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
		if b.record.State != Done { // Done has swapped the two versions
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

// reload encodes and decodes the record, as a change of leader does.
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

// follow brings a replica to its desired state for a second, and reports whether an instance of
// it serves: an old one, or a healthy new one.
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
			b.Errorf("the new instance of replica %d is placed in zone %q, not in the zone of the old one", i, p.Zone)
		}
	} else if !p.Wanted {
		*next = Instance{}
	}
	if next.Live {
		b.age(i, next)
	}
	return old.Running || (next.Running && next.Health == Healthy)
}

// age advances the run time and the health of a new instance by a second.
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

// batchOf returns the index of a replica's batch, or -1 if there is none.
func (b *testService) batchOf(i int) int {
	for index, batch := range b.record.Batches {
		for _, replica := range batch.Replicas {
			if int(replica) == i {
				return index
			}
		}
	}
	return -1
}

// crash ends the new instances of replicas with an error on a machine.
func (b *testService) crash(machine string, replicas ...int) {
	for _, i := range replicas {
		b.record.AddFailure(int32(i), machine)
		b.view.New[i] = Instance{}
	}
}

// stepTest is a case of the tests of Step: the events at a service of six replicas in three zones,
// and the state that its roll-out has to reach.
type stepTest struct {
	name           string
	edit           map[string]any // changes to the specification
	actions        func(b *testService)
	wantState      State
	wantBatches    int // number of batches of which a new instance has run
	wantMaxMissing int // most replicas that may be without a healthy instance at a time
}

// runStepTests runs the cases. The record is encoded and decoded every second, as if the leader
// had changed.
func runStepTests(t *testing.T, tests []stepTest) {
	t.Helper()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestService(t, tt.edit, "a", "a", "b", "b", "c", "c")
			tt.actions(b)
			if b.record.State != tt.wantState || len(b.batchesRun) != tt.wantBatches || b.maxMissing > tt.wantMaxMissing {
				t.Errorf("state %s (%s), the new version ran in %d batches, at most %d replicas were without a healthy instance; want state %s, %d batches, at most %d replicas", b.record.State, b.record.Reason, len(b.batchesRun), b.maxMissing, tt.wantState, tt.wantBatches, tt.wantMaxMissing)
			}
		})
	}
}

// TestStepGoodBuild: a good build is rolled out to every batch in spite of faults of machines and checks.
func TestStepGoodBuild(t *testing.T) {
	runStepTests(t, []stepTest{
		{"good build without faults: done without a missing replica", nil, func(b *testService) { b.run(300) }, Done, 3, 0},
		{"first batch healthy after 20 s: it soaks, and no other batch has started", nil, func(b *testService) { b.run(20) }, Soaking, 1, 0},
		{"one unavailable replica allowed and no surplus: done with at most one missing", map[string]any{"most_extra": 0, "most_missing": 1}, func(b *testService) { b.run(300) }, Done, 3, 1},
		{"two replicas crash on the same machine: done, the build is not blamed", nil, func(b *testService) {
			b.run(2)
			b.crash("sick", 0)
			b.run(2)
			b.crash("sick", 1)
			b.run(300)
		}, Done, 3, 1},
		{"spot machines of new instances are reclaimed repeatedly: done", nil, func(b *testService) {
			for range 6 {
				b.run(4)
				b.view.New[0].Lost, b.view.New[1].Lost = true, true // their machines have got a spot notice
				b.run(1)
				b.view.New[0], b.view.New[1] = Instance{}, Instance{}
			}
			b.run(300)
		}, Done, 3, 2},
		{"checks reach no instance for a time: paused, then resumed and done", nil, func(b *testService) {
			b.run(20)
			b.view.ChecksUnreachable = true
			b.health = func(int, float64) Health { return Unknown }
			b.run(250)
			if b.record.State != Paused {
				b.Errorf("state %s while the checks reach no instance, want paused", b.record.State)
			}
			b.view.ChecksUnreachable = false
			b.health = func(int, float64) Health { return Healthy }
			b.run(300)
		}, Done, 3, 2},
		{"zone of the first batch unavailable for a time: done once it is available again", nil, func(b *testService) {
			b.view.UnavailableZones["a"] = true
			b.run(300)
			b.view.UnavailableZones["a"] = false
			b.run(300)
		}, Done, 3, 0},
		{"operator pauses and resumes: done", nil, func(b *testService) {
			b.run(10)
			Pause(b.record, b.view.Now)
			b.run(300)
			if b.record.State != Paused {
				b.Errorf("state %s after the operator's pause, want paused", b.record.State)
			}
			Resume(b.record, b.view.Now)
			b.run(300)
		}, Done, 3, 0},
	})
}

// TestStepBadBuild: a bad build is rolled back, no matter when it fails.
func TestStepBadBuild(t *testing.T) {
	runStepTests(t, []stepTest{
		{"all new instances unhealthy from the start: rolled back", nil, func(b *testService) {
			b.health = func(int, float64) Health { return Unhealthy }
			b.run(300)
		}, RolledBack, 1, 0},
		{"one new instance stays unhealthy after 30 s: rolled back", map[string]any{"soak_s": 300, "deadline_s": 600}, func(b *testService) {
			b.health = func(i int, age float64) Health {
				return map[bool]Health{true: Unhealthy, false: Healthy}[i == 0 && age > 30]
			}
			b.run(100)
		}, RolledBack, 1, 2},
		{"one replica crashes three times: rolled back", nil, func(b *testService) {
			b.run(2)
			b.crash("h1", 0)
			b.run(1)
			b.crash("h2", 0)
			b.run(1)
			b.crash("h1", 0)
			b.run(20)
		}, RolledBack, 1, 0},
		{"batch passes at first and becomes unhealthy during the soak: rolled back", map[string]any{"soak_s": 150, "deadline_s": 400}, func(b *testService) {
			b.health = func(_ int, age float64) Health {
				return map[bool]Health{true: Healthy, false: Unhealthy}[int(age)%125 < 120]
			}
			b.run(900)
		}, RolledBack, 1, 2},
		{"first batch crashes while the second one changes: both are rolled back", nil, func(b *testService) {
			b.run(45)
			if b.record.BatchIndex != 1 {
				b.Fatalf("batch index %d after 45 s, want 1", b.record.BatchIndex)
			}
			b.crash("h1", 0, 1)
			b.crash("h2", 0)
			b.run(300)
		}, RolledBack, 2, 1},
		{"new instances alternate between healthy and unhealthy: rolled back", nil, func(b *testService) {
			b.health = func(_ int, age float64) Health {
				return map[bool]Health{true: Healthy, false: Unhealthy}[int(age)%10 < 7]
			}
			b.run(300)
		}, RolledBack, 1, 2},
		{"operator rolls back during the second batch: rolled back", nil, func(b *testService) {
			b.run(60)
			RollBack(b.record, b.view.Now)
			b.run(60)
		}, RolledBack, 2, 0},
		{"user cancels the service: failed", nil, func(b *testService) {
			b.run(20)
			b.view.Cancelled = true
			b.run(5)
		}, Failed, 1, 0},
	})
}

// TestStepPaused: a fault that may not be the build's pauses the roll-out, and so does a failure without automatic
// rollback.
func TestStepPaused(t *testing.T) {
	runStepTests(t, []stepTest{
		{"health of new instances stays unknown: paused, not rolled back", nil, func(b *testService) {
			b.health = func(int, float64) Health { return Unknown }
			b.run(300)
		}, Paused, 1, 0},
		{"zone unavailable before its batch starts: the other batches change first, then paused", nil, func(b *testService) {
			b.view.UnavailableZones["a"] = true
			b.run(300)
		}, Paused, 2, 0},
		{"zone lost while its batch changes: paused, no other batch starts", nil, func(b *testService) {
			b.run(2)
			b.view.UnavailableZones["a"] = true
			for i := range 2 {
				b.view.New[i].Lost, b.view.Old[i].Lost = true, true
			}
			b.run(400)
		}, Paused, 1, 0},
		{"gate fails without automatic rollback: paused", map[string]any{"undo": false}, func(b *testService) {
			b.run(2)
			b.crash("h1", 0, 1)
			b.crash("h2", 0)
			b.run(60)
		}, Paused, 1, 2},
	})
}

// TestRollBackFails: a rollback after which the old version does not run either ends as failed,
// with that reason.
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
		t.Errorf("state %s with reason %q, want failed with a reason that names the old version", b.record.State, b.record.Reason)
	}
}
