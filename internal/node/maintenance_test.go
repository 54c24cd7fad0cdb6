package node

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/emulate"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// maintenanceCase is a maintenance window of a zone, with a fault and the expected result.
type maintenanceCase struct {
	name string
	edit func(*config.Calendar)
	// submit submits jobs in addition to those of every case; nil: none.
	submit func(sim *calendarSimulation)
	// inject injects a fault and returns the name of a worker that cannot be drained, or "".
	inject      func(sim *calendarSimulation) (hungWorker string)
	interrupted bool // the maintenance has to interrupt tasks
}

// injectDuringDrain injects a fault at an offset from the window's start.
func injectDuringDrain(offset time.Duration, inject func(*simulation)) func(*calendarSimulation) string {
	return func(sim *calendarSimulation) string {
		injectAt(offset, inject)(sim)
		return ""
	}
}

// rollOutDuringDrain starts a roll-out of the service three seconds after the drain has begun.
func rollOutDuringDrain(sim *calendarSimulation) string {
	sim.sleepUntil(-57 * time.Second)
	got := sim.createEntry("/api/rollouts", map[string]any{
		"service":    "svc",
		"from":       "run-000004",
		"to":         map[string]any{"uid": "run-999999", "reel": "new"},
		"batch":      1,
		"ready_s":    2.0,
		"soak_s":     12.0,
		"deadline_s": 60.0,
	})
	if got != 201 {
		sim.t.Errorf("roll-out request: HTTP status %d, want 201", got)
	}
	return ""
}

// hangOneWorker hangs a worker of the zone from before the drain until after the window's start,
// and returns the worker's name.
func hangOneWorker(sim *calendarSimulation) (hungWorker string) {
	sim.sleepUntil(-62 * time.Second)
	worker := sim.WorkersInZone("a")[0]
	sim.Hang([]*emulate.Worker{worker}, true)
	sim.sleepUntil(30 * time.Second)
	sim.Hang([]*emulate.Worker{worker}, false)
	return worker.Name()
}

// submitLongTaskInZone submits a task that is bound to the zone and runs past the window's start.
// Otherwise the order of the machines' heartbeats decides which tasks run in the zone at that
// time, and sometimes none do.
func submitLongTaskInZone(sim *calendarSimulation) {
	sim.submitJob(200, job.Spec{Team: "blue", ShapeName: "array", Tasks: 1, EstimateS: 200, CheckpointS: 5, SaveS: 3, CPUs: 2, PriorityName: "urgent", Zone: "a"})
}

var maintenanceCases = []maintenanceCase{
	{"no faults: no task is interrupted", nil, nil, nil, false},
	{"draining is off: tasks are interrupted", func(c *config.Calendar) { c.Drain = false }, submitLongTaskInZone, nil, true},
	{"the leader crashes during the drain: no task is interrupted", nil, nil, injectDuringDrain(-40*time.Second, crashControllers(1)), false},
	{"the store is unavailable at the window's start: no task is interrupted", nil, nil, injectDuringDrain(-10*time.Second, storeOutage(15*time.Second)), false},
	{"a service is rolled out during the drain: no task is interrupted", nil, nil, rollOutDuringDrain, false},
	{"a worker hangs during the drain: no task of another worker is interrupted", nil, nil, hangOneWorker, false},
}

// TestMaintenance checks that machines are empty when their maintenance begins and that no task
// is interrupted that could have ended or moved before. The maintenance removes all machines
// that remain in the zone.
func TestMaintenance(t *testing.T) {
	for _, tt := range maintenanceCases {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { tt.run(t) })
		})
	}
}

// run simulates the case and checks the drain and the interrupted tasks.
func (tt *maintenanceCase) run(t *testing.T) {
	sim, closeAll := newCalendarSimulation(t, 15, tt.edit)
	defer closeAll()
	service := sim.submitBeforeMaintenance()
	if tt.submit != nil {
		tt.submit(sim)
	}
	time.Sleep(30 * time.Second)
	sim.scheduleMaintenance()
	injected, hungWorker := make(chan struct{}), ""
	go func() {
		defer close(injected)
		if tt.inject != nil {
			hungWorker = tt.inject(sim)
		}
	}()
	if replicas := sim.fewestReplicasDuringDrain(service); tt.inject == nil && replicas < 3 {
		t.Errorf("only %d of 4 replicas ran during the drain, want 3 or more", replicas)
	}
	sim.sleepUntil(0)
	sim.Kill(sim.WorkersInZone("a")) // the maintenance begins
	sim.sleepUntil(60 * time.Second)
	<-injected
	if n := len(sim.WorkersInZone("a")); !tt.interrupted && n > 0 {
		t.Errorf("%d machines were rented in the zone during its maintenance, want 0", n)
	}
	if n := sim.RunningTasks(service) + sim.RunningTasks("run-999999"); n < 4 || n > 5 {
		t.Errorf("%d replicas run after the window's start, want 4 or 5", n)
	}
	if interrupted := sim.interruptedTasks(hungWorker); (len(interrupted) > 0) != tt.interrupted {
		t.Errorf("interrupted tasks: %v, want some: %v", interrupted, tt.interrupted)
	}
	sim.checkViolations(t)
}

// submitBeforeMaintenance submits jobs that occupy all machines, and returns the job ID of a
// service with four replicas. The first job's estimate is too low, so that the scheduler has to
// learn the estimation error of its class.
func (sim *calendarSimulation) submitBeforeMaintenance() (service string) {
	sim.submitJob(20, job.Spec{Team: "blue", ShapeName: "array", Tasks: 600, EstimateS: 12, Spot: true})
	sim.submitJob(200, job.Spec{Team: "blue", ShapeName: "array", Tasks: 6, EstimateS: 200, CheckpointS: 5, SaveS: 3, CPUs: 2})
	sim.submitJob(150, job.Spec{Team: "blue", ShapeName: "ensemble", Tasks: 4, EstimateS: 150, CheckpointS: 5, SaveS: 3, CPUs: 2, PriorityName: "urgent"})
	return sim.submitJob(0, job.Spec{Team: "blue", ShapeName: "daemon", Tasks: 4, PriorityName: "production"})
}

// scheduleMaintenance requests a maintenance window for zone a.
func (sim *calendarSimulation) scheduleMaintenance() {
	sim.t.Helper()
	got := sim.createEntry("/api/maintenance", map[string]any{
		"name":    "night",
		"yard":    "a",
		"drain_s": 60.0,
		"start":   sim.start.UTC().Format(time.RFC3339),
		"end":     sim.start.Add(100 * time.Second).UTC().Format(time.RFC3339),
	})
	if got != 201 {
		sim.t.Fatalf("maintenance request: HTTP status %d, want 201", got)
	}
}

// fewestReplicasDuringDrain returns the lowest number of replicas that run at a time between the
// start of the drain and ten seconds before the maintenance.
func (sim *calendarSimulation) fewestReplicasDuringDrain(service string) int {
	fewest := 4
	sim.sleepUntil(-60 * time.Second)
	for time.Now().Before(sim.start.Add(-10 * time.Second)) {
		fewest = min(fewest, sim.RunningTasks(service))
		time.Sleep(100 * time.Millisecond)
	}
	return fewest
}

// interruptedTasks returns the tasks of the zone that were lost with their machines and those of
// the first job that were halted, except on the worker that could not be drained.
func (sim *calendarSimulation) interruptedTasks(hungWorker string) (interrupted []string) {
	for _, e := range sim.History() {
		inWindow := e.Zone == "a" && e.Machine != hungWorker && e.At.After(sim.start.Add(-70*time.Second))
		halted := e.Cause == wire.CauseStopped && e.Task[:10] == "run-000001"
		if !e.Start && inWindow && (e.Cause == emulate.CauseLost || halted) {
			interrupted = append(interrupted, e.Task+" "+string(e.Cause))
		}
	}
	slices.Sort(interrupted)
	return interrupted
}
