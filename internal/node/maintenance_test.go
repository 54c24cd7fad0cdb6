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

// maintenanceCase is a maintenance window of a zone, and what happens to it.
type maintenanceCase struct {
	name string
	edit func(*config.Calendar)
	// submit adds work to that of all cases; nil: none.
	submit func(sim *calendarSimulation)
	// inject returns a machine that cannot be drained, or none.
	inject func(sim *calendarSimulation) (stuck string)
	cutOff bool // tasks have to be cut off
}

// injectDuringDrain injects a fault at a moment relative to the window's start.
func injectDuringDrain(at time.Duration, inject func(*simulation)) func(*calendarSimulation) string {
	return func(sim *calendarSimulation) string {
		injectAt(at, inject)(sim)
		return ""
	}
}

// rollOutBeforeDrain starts a roll-out of the service shortly after the zone is being drained.
func rollOutBeforeDrain(sim *calendarSimulation) string {
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
		sim.t.Errorf("the roll-out got %d", got)
	}
	return ""
}

// hangOneWorker hangs a worker of the zone from before the drain until after the start.
func hangOneWorker(sim *calendarSimulation) (stuck string) {
	sim.sleepUntil(-62 * time.Second)
	worker := sim.WorkersInZone("a")[0]
	sim.Hang([]*emulate.Worker{worker}, true)
	sim.sleepUntil(30 * time.Second)
	sim.Hang([]*emulate.Worker{worker}, false)
	return worker.Name()
}

// submitLongTaskInZone submits a task that has to be in the zone and runs past the window's
// start. Without it, which tasks are in the zone then depends on the order in which machines
// report: sometimes there are none.
func submitLongTaskInZone(sim *calendarSimulation) {
	sim.submitJob(200, job.Spec{Team: "blue", ShapeName: "array", Tasks: 1, EstimateS: 200, CheckpointS: 5, SaveS: 3, CPUs: 2, PriorityName: "urgent", Zone: "a"})
}

var maintenanceCases = []maintenanceCase{
	{"nothing goes wrong", nil, nil, nil, false},
	{"draining is switched off", func(c *config.Calendar) { c.Drain = false }, submitLongTaskInZone, nil, true},
	{"the leader ends while it is drained", nil, nil, injectDuringDrain(-40*time.Second, crashControllers(1)), false},
	{"the state service is down over the start", nil, nil, injectDuringDrain(-10*time.Second, storeOutage(15*time.Second)), false},
	{"a service's roll-out is under way", nil, nil, rollOutBeforeDrain, false},
	{"a worker that will not stop its tasks", nil, nil, hangOneWorker, false},
}

// TestMaintenance: machines are empty when their maintenance begins, and nothing is cut off
// that could end or be moved. The maintenance takes what is still there.
func TestMaintenance(t *testing.T) {
	for _, tt := range maintenanceCases {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { tt.run(t) })
		})
	}
}

// run plays the case and checks the drain and what was cut off.
func (tt *maintenanceCase) run(t *testing.T) {
	sim, closeAll := newCalendarSimulation(t, 15, tt.edit)
	defer closeAll()
	service := sim.submitBeforeMaintenance()
	if tt.submit != nil {
		tt.submit(sim)
	}
	time.Sleep(30 * time.Second)
	sim.scheduleMaintenance()
	injected, stuck := make(chan struct{}), ""
	go func() {
		defer close(injected)
		if tt.inject != nil {
			stuck = tt.inject(sim)
		}
	}()
	if replicas := sim.fewestReplicasDuringDrain(service); tt.inject == nil && replicas < 3 {
		t.Errorf("only %d of 4 replicas run while the zone is drained", replicas)
	}
	sim.sleepUntil(0)
	sim.Kill(sim.WorkersInZone("a")) // the maintenance begins
	sim.sleepUntil(60 * time.Second)
	<-injected
	if n := len(sim.WorkersInZone("a")); !tt.cutOff && n > 0 {
		t.Errorf("%d machines were rented in the zone meanwhile", n)
	}
	if n := sim.RunningTasks(service) + sim.RunningTasks("run-999999"); n < 4 || n > 5 {
		t.Errorf("%d of 4 replicas run", n)
	}
	if cutOff := sim.tasksCutOff(stuck); (len(cutOff) > 0) != tt.cutOff {
		t.Errorf("cut off: %v, want some: %v", cutOff, tt.cutOff)
	}
	sim.checkViolations(t)
}

// submitBeforeMaintenance submits work for all machines, and returns the job of a service with
// four replicas. Estimates are wrong by half or more, and the errors of the classes are
// learned.
func (sim *calendarSimulation) submitBeforeMaintenance() (service string) {
	sim.submitJob(20, job.Spec{Team: "blue", ShapeName: "array", Tasks: 600, EstimateS: 12, Spot: true})
	sim.submitJob(200, job.Spec{Team: "blue", ShapeName: "array", Tasks: 6, EstimateS: 200, CheckpointS: 5, SaveS: 3, CPUs: 2})
	sim.submitJob(150, job.Spec{Team: "blue", ShapeName: "ensemble", Tasks: 4, EstimateS: 150, CheckpointS: 5, SaveS: 3, CPUs: 2, PriorityName: "urgent"})
	return sim.submitJob(0, job.Spec{Team: "blue", ShapeName: "daemon", Tasks: 4, PriorityName: "production"})
}

// scheduleMaintenance asks for a maintenance window of zone a.
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
		sim.t.Fatalf("the window got %d", got)
	}
}

// fewestReplicasDuringDrain watches the service from the begin of the drain until ten seconds
// before the maintenance.
func (sim *calendarSimulation) fewestReplicasDuringDrain(service string) int {
	fewest := 4
	sim.sleepUntil(-60 * time.Second)
	for time.Now().Before(sim.start.Add(-10 * time.Second)) {
		fewest = min(fewest, sim.RunningTasks(service))
		time.Sleep(100 * time.Millisecond)
	}
	return fewest
}

// tasksCutOff are the tasks of the zone that were lost with their machines, and those of the
// first job that were halted, other than on the machine that could not be drained.
func (sim *calendarSimulation) tasksCutOff(stuck string) (cutOff []string) {
	for _, e := range sim.History() {
		inWindow := e.Zone == "a" && e.Host != stuck && e.At.After(sim.start.Add(-70*time.Second))
		halted := e.Cause == wire.CauseStopped && e.Task[:10] == "run-000001"
		if !e.Start && inWindow && (e.Cause == emulate.CauseLost || halted) {
			cutOff = append(cutOff, e.Task+" "+string(e.Cause))
		}
	}
	slices.Sort(cutOff)
	return cutOff
}
