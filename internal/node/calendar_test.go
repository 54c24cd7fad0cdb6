package node

import (
	"testing"
	"testing/synctest"
	"time"

	"vetchstream/internal/calendar"
	"vetchstream/internal/config"
	"vetchstream/internal/job"
)

// slotCase is a reserved slot that a gang claims, with a fault and the expected result.
type slotCase struct {
	name     string
	machines int
	edit     func(*config.Calendar)
	reserve  map[string]any                // fields that replace those of the default reservation
	inject   func(sim *calendarSimulation) // called once the jobs are submitted; nil: no fault
	maxDelay time.Duration                 // of the start; 0: the tolerance; negative: the start must be late
	outcome  calendar.OutcomeKind          // stored for the occurrence; empty: any
}

// injectAt injects a fault at an offset from the slot's start.
func injectAt(offset time.Duration, inject func(*simulation)) func(*calendarSimulation) {
	return func(sim *calendarSimulation) {
		sim.sleepUntil(offset)
		inject(sim.simulation)
	}
}

var slotCases = []slotCase{
	{"no faults: starts on time", 12, nil, nil, nil, 0, calendar.OutcomeOnTime},
	{"machines are not held: starts late, occurrence missed", 12, func(c *config.Calendar) { c.Hold = false }, nil, nil, -1, calendar.OutcomeMissed},
	{"backfill is off: starts on time", 12, func(c *config.Calendar) { c.Backfill = false }, nil, nil, 0, calendar.OutcomeOnTime},
	{"the cloud's capacity is not configured: starts on time", 12, func(c *config.Calendar) { c.AssumedCapacity = nil }, nil, nil, 0, calendar.OutcomeOnTime},
	{"same_place is set: starts on time", 24, nil, map[string]any{"same_place": true}, nil, 0, calendar.OutcomeOnTime},
	{"leader crashes 100 ms before the start: at most 20 s late", 12, nil, nil, injectAt(-100*time.Millisecond, crashControllers(1)), 20 * time.Second, ""},
	{"all controllers crash 6 s before the start: at most 20 s late", 12, nil, nil, injectAt(-6*time.Second, crashControllers(3)), 20 * time.Second, ""},
	{"leader pauses from 3 s before to 3 s after the start: at most 20 s late", 12, nil, nil, injectAt(-3*time.Second, pauseControllers(1, 6*time.Second)), 20 * time.Second, ""},
	{"store is unavailable from 5 s before to 5 s after the start: at most 25 s late", 12, nil, nil, injectAt(-5*time.Second, storeOutage(10*time.Second)), 25 * time.Second, ""},
	{"a zone is partitioned 30 s before the start: at most 30 s late", 18, nil, nil, injectAt(-30*time.Second, partitionZone("a", 60*time.Second)), 30 * time.Second, ""},
	{"a zone is partitioned 1 s after the start: at most 30 s late", 18, nil, nil, injectAt(time.Second, partitionZone("a", 40*time.Second)), 30 * time.Second, ""},
	{"held machines are lost 30 s before the start: at most 15 s late", 12, nil, nil, injectAt(-30*time.Second, killZone("a")), 15 * time.Second, ""},
}

// TestReservedGangStartsOnTime checks that all tasks of a gang with a reservation start on time
// on a fully occupied fleet, or within the delay that the injected fault permits.
func TestReservedGangStartsOnTime(t *testing.T) {
	for _, tt := range slotCases {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { tt.run(t) })
		})
	}
}

// run simulates the case and checks the gang's start and the stored occurrence.
func (tt *slotCase) run(t *testing.T) {
	sim, closeAll := newCalendarSimulation(t, tt.machines, tt.edit)
	if got := sim.reserve(tt.reserve); got != 201 {
		t.Fatalf("reservation request: HTTP status %d, want 201", got)
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
	for range 100 { // the gang has to complete despite the fault
		if sim.UnfinishedJobs()[id] == "" {
			break
		}
		time.Sleep(time.Second)
	}
	if tt.maxDelay >= 0 && sim.UnfinishedJobs()[id] != "" {
		t.Error("the gang has not ended")
	}
	sim.sleepUntil(105 * time.Second)
	tt.checkOccurrence(t, sim, id)
	sim.checkViolations(t)
	closeAll()
}

// checkStart checks the delay between the slot's start and that of the gang.
func (tt *slotCase) checkStart(t *testing.T, delay time.Duration) {
	t.Helper()
	tolerance := calendar.StartTolerance(2, 100)
	if delay < 0 {
		t.Errorf("the gang started %s before its slot", -delay)
	}
	switch {
	case tt.maxDelay < 0 && delay <= tolerance:
		t.Error("the gang started on time although no machines were held")
	case tt.maxDelay >= 0 && delay > max(tt.maxDelay, tolerance):
		t.Errorf("the gang started %s after its slot, want at most %s", delay, max(tt.maxDelay, tolerance))
	}
}

// checkOccurrence checks the stored status of the reservation after the slot's end.
func (tt *slotCase) checkOccurrence(t *testing.T, sim *calendarSimulation, id string) {
	t.Helper()
	var status calendar.Status
	sim.readEntry("/api/reservations/evening", &status)
	if tt.maxDelay >= 0 && status.Claimer != "" {
		t.Errorf("%s still claims the reservation after the slot", status.Claimer)
	}
	if len(status.Outcomes) != 1 || (tt.outcome != "" && status.Outcomes[0].Kind != tt.outcome) || status.Outcomes[0].Job != id {
		t.Errorf("stored outcomes: %+v, want one of kind %q for the gang", status.Outcomes, tt.outcome)
	}
	if tt.maxDelay >= 0 && status.Held != 0 {
		t.Errorf("%d machines are still held after the slot", status.Held)
	}
}

// calendarRequests are calendar requests sent while a reservation exists, with the expected HTTP
// status.
var calendarRequests = []struct {
	name, path string
	edit       map[string]any
	want       int
}{
	{"the same reservation again", "/api/reservations", nil, 200},
	{"another reservation of the same name", "/api/reservations", map[string]any{"parts": 5}, 409},
	{"a reservation for another team", "/api/reservations?team=red", nil, 403},
	{"an invalid end", "/api/reservations", map[string]any{"end": "never"}, 400},
	{"a maintenance window requested by a team", "/api/maintenance?team=blue", map[string]any{}, 403},
	{"cancellation by another team", "/api/reservations/evening/cancel?team=red", map[string]any{}, 404},
	{"cancellation of an unknown maintenance window", "/api/maintenance/none/cancel", map[string]any{}, 404},
}

// TestUnclaimedReservationLapses checks that a slot which no job claims lapses after its grace
// period and its machines run other tasks again, and that requests of other teams cannot change
// the reservation.
func TestUnclaimedReservationLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim, closeAll := newCalendarSimulation(t, 6, nil)
		defer closeAll()
		// All six machines cannot be reserved: another team has a guarantee.
		if got := sim.reserve(nil); got != 409 {
			t.Fatalf("reservation of all machines: HTTP status %d, want 409", got)
		}
		if got := sim.reserve(map[string]any{"parts": 4}); got != 201 {
			t.Fatalf("reservation request: HTTP status %d, want 201", got)
		}
		for _, tt := range calendarRequests {
			if got := sim.createEntry(tt.path, sim.reservation(4, tt.edit)); got != tt.want {
				t.Errorf("%s: HTTP status %d, want %d", tt.name, got, tt.want)
			}
		}
		sim.submitJob(15, job.Spec{Team: "blue", ShapeName: "array", Tasks: 2000, EstimateS: 15})
		busy := func() (n int) { return sim.RunningTasks("run-000001") }
		sim.sleepUntil(20 * time.Second)
		if n := busy(); n > 8 {
			t.Errorf("%d tasks run 20 s after the start of the slot, want at most 8 on the two machines that are not held", n)
		}
		most := 0
		for second := 30; second < 60; second++ {
			sim.sleepUntil(time.Duration(second) * time.Second)
			most = max(most, busy())
		}
		if most < 20 {
			t.Errorf("at most %d tasks ran at a time after the slot lapsed, want 20 or more", most)
		}
		var status calendar.Status
		sim.readEntry("/api/reservations/evening", &status)
		if len(status.Outcomes) != 1 || status.Outcomes[0].Kind != calendar.OutcomeLapsed {
			t.Errorf("stored outcomes: %+v, want one that lapsed", status.Outcomes)
		}
	})
}

// TestReservationOnProvisionedMachines checks a slot for which all machines are newly rented and
// some boot late or never. The scheduler must count no machine twice and release all of them.
func TestReservationOnProvisionedMachines(t *testing.T) {
	tests := []struct {
		name           string
		bootDelay      time.Duration // additional boot time of two machines
		maxDelay       time.Duration // of the gang's start
		maxProvisioned int           // machines rented in total
	}{
		{"all machines boot on time: the gang starts on time", 0, calendar.StartTolerance(2, 100), 4},
		{"two machines boot 40 s late: at most 45 s late", 40 * time.Second, 45 * time.Second, 6},
		{"two machines never boot: replaced, at most 75 s late", time.Hour, 75 * time.Second, 6},
		{"two machines boot after they were replaced: released", 63 * time.Second, 75 * time.Second, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				sim, closeAll := newCalendarSimulation(t, 12, nil)
				defer closeAll()
				sim.Kill(sim.RandomWorkers(newRand(1), 12))
				time.Sleep(25 * time.Second) // until their leases have expired
				sim.DelayBoots(2, tt.bootDelay)
				if got := sim.reserve(map[string]any{"parts": 4}); got != 201 {
					t.Fatalf("reservation request: HTTP status %d, want 201", got)
				}
				id := sim.submitJob(25, job.Spec{Team: "blue", ShapeName: "ensemble", Tasks: 4, CPUs: 4, EstimateS: 25, Reservation: "evening"})
				sim.sleepUntil(-30 * time.Second)
				if all, _ := sim.MachineCounts(); all != 0 {
					t.Errorf("%d machines are rented 30 s before the slot, want 0", all)
				}
				if delay := sim.awaitRunning(id, 4); delay > tt.maxDelay {
					t.Errorf("the gang started %s after its slot, want at most %s", delay, tt.maxDelay)
				}
				time.Sleep(150 * time.Second)
				if all, _ := sim.MachineCounts(); all != 0 {
					t.Errorf("%d machines are still rented after the slot, want 0", all)
				}
				if n := sim.MachinesProvisioned(); n > tt.maxProvisioned {
					t.Errorf("%d machines were rented, want at most %d", n, tt.maxProvisioned)
				}
				sim.checkViolations(t)
			})
		})
	}
}
