package node

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"vetchstream/internal/emulate"
	"vetchstream/internal/rollout"
)

// rolloutCase is a scenario of one roll-out.
type rolloutCase struct {
	name        string
	limitedCPUs float64 // CPUs of each replica, in a team with a limit; 0: the team has none
	run         func(sim *rolloutSimulation)
}

// healthCheck makes the controllers check the replicas over HTTP.
var healthCheck = map[string]any{"path": "/healthy", "every_s": 1.0}

// rolloutCases are roll-outs during faults of controllers and of the key-value store, and during
// further requests of the user.
var rolloutCases = []rolloutCase{
	{"good build: done", 0, func(sim *rolloutSimulation) {
		sim.start(nil)
		sim.waitFor(200, sim.stateIs(rollout.Done))
		sim.waitFor(20, sim.allRun("run-2", "run-1"))
	}},
	{"leader crashes after each of three stored steps: done", 0, func(sim *rolloutSimulation) {
		sim.start(nil)
		sim.afterEachStep(3, func() { crashControllers(1)(sim.simulation) })
		sim.waitFor(400, sim.stateIs(rollout.Done))
	}},
	{"leader crashes between a launch and the heartbeat that reports it, three times: done", 0, func(sim *rolloutSimulation) {
		sim.start(nil)
		for n := 1; n <= 3; n++ {
			sim.waitFor(100, sim.running("run-2", n))
			crashControllers(1)(sim.simulation)
		}
		sim.waitFor(400, sim.stateIs(rollout.Done))
	}},
	{"all controllers crash and the store is unavailable during a batch: done", 0, func(sim *rolloutSimulation) {
		sim.start(nil)
		sim.waitFor(100, sim.running("run-2", 1))
		crashControllers(3)(sim.simulation)
		storeOutage(12 * time.Second)(sim.simulation)
		sim.waitFor(400, sim.stateIs(rollout.Done))
	}},
	{"second roll-out of the service: refused, first one done", 0, func(sim *rolloutSimulation) {
		sim.start(nil)
		if got := sim.startTo("run-3", "newer", nil); got != 409 {
			sim.t.Errorf("second roll-out: HTTP status %d, want 409", got)
		}
		if got := sim.start(nil); got != 200 {
			sim.t.Errorf("first roll-out requested again: HTTP status %d, want 200", got)
		}
		sim.waitFor(200, sim.stateIs(rollout.Done))
	}},
	{"superseding roll-out: done after the first one is rolled back", 0, func(sim *rolloutSimulation) {
		sim.start(nil)
		sim.waitFor(100, sim.running("run-2", 1))
		if got := sim.startTo("run-3", "newer", map[string]any{"supersede": true}); got != 201 {
			sim.t.Errorf("superseding roll-out: HTTP status %d, want 201", got)
		}
		sim.waitFor(300, sim.stateIs(rollout.Done))
		sim.waitFor(20, sim.allRun("run-3", "run-2"))
	}},
	{"user cancels the service: all replicas stop, roll-out failed", 0, func(sim *rolloutSimulation) {
		sim.start(nil)
		sim.waitFor(100, sim.running("run-2", 3))
		sim.cancelService()
		sim.waitFor(25, sim.noneRun("run-1", "run-2"))
		sim.waitFor(20, sim.stateIs(rollout.Failed))
	}},
	{"user cancels the service as the store becomes unavailable: all replicas stop, roll-out failed", 0, func(sim *rolloutSimulation) {
		sim.start(nil)
		sim.waitFor(100, sim.running("run-2", 3))
		sim.cancelService()
		sim.store.SetOutage(true)
		sim.waitFor(25, sim.noneRun("run-1", "run-2"))
		sim.store.SetOutage(false)
		sim.waitFor(30, sim.stateIs(rollout.Failed))
	}},
}

// rolloutHealthCases are roll-outs of images that fail, lack resources or are checked by the
// controllers.
var rolloutHealthCases = []rolloutCase{
	{"bad build: rolled back, good build after it: done", 0, func(sim *rolloutSimulation) {
		sim.SetImageBehavior("new", emulate.ImageBehavior{UnhealthyAfter: 4 * time.Second})
		sim.start(nil)
		sim.waitFor(200, sim.stateIs(rollout.RolledBack))
		sim.waitFor(60, sim.allRun("run-1", "run-2"))
		sim.startTo("run-3", "newer", nil)
		sim.waitFor(200, sim.stateIs(rollout.Done))
	}},
	{"old image crashes during the rollback: failed", 0, func(sim *rolloutSimulation) {
		sim.start(nil)
		sim.waitFor(100, sim.running("run-2", 3))
		sim.SetImageBehavior("new", emulate.ImageBehavior{CrashAfter: time.Second})
		sim.SetImageBehavior("old", emulate.ImageBehavior{CrashAfter: 500 * time.Millisecond})
		sim.waitFor(400, sim.stateIs(rollout.Failed))
	}},
	{"no extra replica fits into the team's limit: paused", 2, func(sim *rolloutSimulation) {
		// Six replicas use 12 of the team's 14 CPUs, and a new replica needs 2.3.
		sim.start(map[string]any{"to": map[string]any{"uid": "run-2", "reel": "new", "cpus": 2.3}})
		sim.waitFor(200, sim.stateIs(rollout.Paused))
		if n := sim.RunningTasks("run-1"); n != 6 {
			sim.t.Errorf("%d old replicas run, want 6", n)
		}
	}},
	{"one replica may be missing, so no extra one has to fit: done", 2, func(sim *rolloutSimulation) {
		larger := map[string]any{"uid": "run-2", "reel": "new", "cpus": 2.3}
		sim.start(map[string]any{"to": larger, "most_extra": 0, "most_missing": 1})
		sim.waitFor(400, sim.stateIs(rollout.Done))
	}},
	{"workers report no health, controllers check it: done", 0, func(sim *rolloutSimulation) {
		sim.SetImageBehavior("new", emulate.ImageBehavior{OmitHealth: true})
		sim.start(map[string]any{"check": healthCheck})
		sim.waitFor(200, sim.stateIs(rollout.Done))
	}},
	{"health checks of the leader reach no replica: paused, later done", 0, func(sim *rolloutSimulation) {
		sim.SetImageBehavior("new", emulate.ImageBehavior{OmitHealth: true})
		sim.start(map[string]any{"check": healthCheck, "deadline_s": 300.0})
		sim.waitFor(100, sim.running("run-2", 1))
		time.Sleep(3 * time.Second)
		sim.DropHealthChecks(true)
		sim.waitFor(60, sim.stateIs(rollout.Paused))
		if !strings.Contains(sim.service.reason, "checker") {
			sim.t.Errorf("paused with reason %q, want one that names the checker", sim.service.reason)
		}
		sim.DropHealthChecks(false)
		sim.waitFor(300, sim.stateIs(rollout.Done))
	}},
}

// TestRollouts checks the result of roll-outs on three complete controllers under faults and
// concurrent requests. A user polls the service's first job throughout.
func TestRollouts(t *testing.T) {
	for _, tt := range slices.Concat(rolloutCases, rolloutHealthCases) {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				sim, closeAll := newRolloutSimulation(t, tt.limitedCPUs)
				stop, stopped := make(chan struct{}), make(chan struct{})
				go func() {
					defer close(stopped)
					sim.pollFirstVersion(stop, strings.Contains(tt.name, "cancels"))
				}()
				tt.run(sim)
				close(stop)
				<-stopped
				sim.checkViolations(t)
				closeAll()
			})
		})
	}
}
