package node

import (
	"testing"
	"testing/synctest"
	"time"

	"vetchstream/internal/calendar"
	"vetchstream/internal/config"
	"vetchstream/internal/job"
)

// slotCase is a slot that a gang claims, and what happens to it.
type slotCase struct {
	name     string
	machines int
	edit     func(*config.Calendar)
	reserve  map[string]any                // edits of the reservation
	inject   func(sim *calendarSimulation) // from the moment all is set up; nil: nothing
	maxLate  time.Duration                 // 0: the tolerance; below 0: it has to be late
	outcome  calendar.OutcomeKind          // that is stored of the occurrence; empty: any
}

// injectAt injects a fault at a moment relative to the slot's start.
func injectAt(at time.Duration, inject func(*simulation)) func(*calendarSimulation) {
	return func(sim *calendarSimulation) {
		sim.sleepUntil(at)
		inject(sim.simulation)
	}
}

var slotCases = []slotCase{
	{"nothing goes wrong", 12, nil, nil, nil, 0, calendar.OutcomeOnTime},
	{"holding is switched off", 12, func(c *config.Calendar) { c.Hold = false }, nil, nil, -1, calendar.OutcomeMissed},
	{"without backfill", 12, func(c *config.Calendar) { c.Backfill = false }, nil, nil, 0, calendar.OutcomeOnTime},
	{"the cloud has less than anybody knew", 12, func(c *config.Calendar) { c.AssumedCapacity = nil }, nil, nil, 0, calendar.OutcomeOnTime},
	{"in one place", 24, nil, map[string]any{"same_place": true}, nil, 0, calendar.OutcomeOnTime},
	{"the leader ends at the very start", 12, nil, nil, injectAt(-100*time.Millisecond, crashControllers(1)), 20 * time.Second, ""},
	{"all controllers end just before", 12, nil, nil, injectAt(-6*time.Second, crashControllers(3)), 20 * time.Second, ""},
	{"the leader stands still over the start", 12, nil, nil, injectAt(-3*time.Second, pauseControllers(1, 6*time.Second)), 20 * time.Second, ""},
	{"the state service is down over the start", 12, nil, nil, injectAt(-5*time.Second, storeOutage(10*time.Second)), 25 * time.Second, ""},
	{"a zone is cut half a minute before", 18, nil, nil, injectAt(-30*time.Second, partitionZone("a", 60*time.Second)), 30 * time.Second, ""},
	{"a zone is cut a second after", 18, nil, nil, injectAt(time.Second, partitionZone("a", 40*time.Second)), 30 * time.Second, ""},
	{"held machines are lost half a minute before", 12, nil, nil, injectAt(-30*time.Second, killZone("a")), 15 * time.Second, ""},
}

// TestReservedGangStartsOnTime: a gang that claims a slot starts whole and on time on a full fleet, through
// faults that must not disturb it.
func TestReservedGangStartsOnTime(t *testing.T) {
	for _, tt := range slotCases {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { tt.run(t) })
		})
	}
}

// run plays the case and checks the start of the gang and the stored occurrence.
func (tt *slotCase) run(t *testing.T) {
	sim, closeAll := newCalendarSimulation(t, tt.machines, tt.edit)
	if got := sim.reserve(tt.reserve); got != 201 {
		t.Fatalf("the reservation got %d", got)
	}
	sim.fillFleet(400)
	id := sim.submitJob(25, job.Spec{Team: "blue", ShapeName: "ensemble", Tasks: 6, CPUs: 4, EstimateS: 25, Reservation: "evening"})
	injected := make(chan struct{})
	go func() {
		defer close(injected)
		if tt.inject != nil {
			tt.inject(sim)
		}
	}()
	tt.checkStart(t, sim.awaitRunning(id, 6))
	<-injected
	for range 100 { // it ends, once, whatever was injected
		if sim.UnfinishedJobs()[id] == "" {
			break
		}
		time.Sleep(time.Second)
	}
	if tt.maxLate >= 0 && sim.UnfinishedJobs()[id] != "" {
		t.Error("it is not over")
	}
	sim.sleepUntil(105 * time.Second)
	tt.checkOccurrence(t, sim, id)
	sim.checkViolations(t)
	closeAll()
}

// checkStart checks how late the gang is.
func (tt *slotCase) checkStart(t *testing.T, late time.Duration) {
	t.Helper()
	tolerance := calendar.Tolerance(2, 100)
	if late < 0 {
		t.Errorf("it runs %s before its slot", -late)
	}
	switch {
	case tt.maxLate < 0 && late <= tolerance:
		t.Error("it is in time although nothing was held")
	case tt.maxLate >= 0 && late > max(tt.maxLate, tolerance):
		t.Errorf("it runs %s late, at most %s", late, max(tt.maxLate, tolerance))
	}
}

// checkOccurrence checks what is stored of the slot once it is over.
func (tt *slotCase) checkOccurrence(t *testing.T, sim *calendarSimulation, id string) {
	t.Helper()
	var s calendar.Status
	sim.readEntry("/api/reservations/evening", &s)
	if tt.maxLate >= 0 && s.Claimer != "" {
		t.Errorf("%s claims it still", s.Claimer)
	}
	if len(s.Outcomes) != 1 || (tt.outcome != "" && s.Outcomes[0].Kind != tt.outcome) || s.Outcomes[0].Job != id {
		t.Errorf("stored: %+v, want one that is %s", s.Outcomes, tt.outcome)
	}
	if tt.maxLate >= 0 && s.Held != 0 {
		t.Errorf("%d machines are still held", s.Held)
	}
}

// calendarRequests are requests beside the slot, with the status that they get.
var calendarRequests = []struct {
	what, path string
	edit       map[string]any
	want       int
}{
	{"the same once more", "/api/reservations", nil, 200},
	{"another of its name", "/api/reservations", map[string]any{"parts": 5}, 409},
	{"for another team", "/api/reservations?team=red", nil, 403},
	{"malformed", "/api/reservations", map[string]any{"end": "never"}, 400},
	{"a team's window", "/api/maintenance?team=blue", map[string]any{}, 403},
	{"another team's cancellation", "/api/reservations/evening/cancel?team=red", map[string]any{}, 404},
	{"a window that does not exist", "/api/maintenance/none/cancel", map[string]any{}, 404},
}

// TestUnclaimedReservationLapses: a slot that nobody claims lapses after its grace, and its machines
// work again; requests of another team do not reach it.
func TestUnclaimedReservationLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim, closeAll := newCalendarSimulation(t, 6, nil)
		defer closeAll()
		// All six machines: not beside the guarantee of another team.
		if got := sim.reserve(nil); got != 409 {
			t.Fatalf("a reservation of everything got %d", got)
		}
		if got := sim.reserve(map[string]any{"parts": 4}); got != 201 {
			t.Fatalf("the reservation got %d", got)
		}
		for _, x := range calendarRequests {
			if got := sim.createEntry(x.path, sim.reservation(4, x.edit)); got != x.want {
				t.Errorf("%s got %d, want %d", x.what, got, x.want)
			}
		}
		sim.submitJob(15, job.Spec{Team: "blue", ShapeName: "array", Tasks: 2000, EstimateS: 15})
		busy := func() (n int) { return sim.RunningTasks("run-000001") }
		sim.sleepUntil(20 * time.Second)
		if n := busy(); n > 8 {
			t.Errorf("%d tasks run after the start, and two machines are not held", n)
		}
		most := 0
		for d := 30; d < 60; d++ {
			sim.sleepUntil(time.Duration(d) * time.Second)
			most = max(most, busy())
		}
		if most < 20 {
			t.Errorf("at most %d tasks run after the slot has lapsed", most)
		}
		var s calendar.Status
		sim.readEntry("/api/reservations/evening", &s)
		if len(s.Outcomes) != 1 || s.Outcomes[0].Kind != calendar.OutcomeLapsed {
			t.Errorf("stored: %+v", s.Outcomes)
		}
	})
}

// TestReservationOnProvisionedMachines: a slot on provisioned machines alone, which boot late, or never. None is counted
// twice, and all are released.
func TestReservationOnProvisionedMachines(t *testing.T) {
	tests := []struct {
		name           string
		bootDelay      time.Duration // of two machines
		maxLate        time.Duration // that the start may be
		maxProvisioned int           // machines
	}{
		{"in time", 0, calendar.Tolerance(2, 100), 4},
		{"two join late", 40 * time.Second, 45 * time.Second, 6},
		{"two never come up", time.Hour, 75 * time.Second, 6},
		{"two come up after others have taken their place", 63 * time.Second, 75 * time.Second, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				sim, closeAll := newCalendarSimulation(t, 12, nil)
				defer closeAll()
				sim.Kill(sim.RandomWorkers(newRand(1), 12))
				time.Sleep(25 * time.Second) // their leases run out
				sim.DelayBoots(2, tt.bootDelay)
				if got := sim.reserve(map[string]any{"parts": 4}); got != 201 {
					t.Fatalf("the reservation got %d", got)
				}
				id := sim.submitJob(25, job.Spec{Team: "blue", ShapeName: "ensemble", Tasks: 4, CPUs: 4, EstimateS: 25, Reservation: "evening"})
				sim.sleepUntil(-30 * time.Second)
				if all, _ := sim.MachineCounts(); all != 0 {
					t.Errorf("%d machines are rented half a minute before", all)
				}
				if late := sim.awaitRunning(id, 4); late > tt.maxLate {
					t.Errorf("it runs %s late, at most %s", late, tt.maxLate)
				}
				time.Sleep(150 * time.Second)
				if all, _ := sim.MachineCounts(); all != 0 {
					t.Errorf("%d machines are still there", all)
				}
				if n := sim.MachinesProvisioned(); n > tt.maxProvisioned {
					t.Errorf("%d machines were rented, at most %d", n, tt.maxProvisioned)
				}
				sim.checkViolations(t)
			})
		})
	}
}
