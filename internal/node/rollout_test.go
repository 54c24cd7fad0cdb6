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

// rolloutCase is a roll-out and what happens to it.
type rolloutCase struct {
	name  string
	limit float64 // CPUs of a replica, in a team with a limit
	run   func(sim *rolloutSimulation)
}

// healthCheck asks the controllers to check the replicas themselves.
var healthCheck = map[string]any{"path": "/healthy", "every_s": 1.0}

// rolloutCases are roll-outs through failures of controllers and of the key-value store, and
// of what its user asks for.
var rolloutCases = []rolloutCase{
	{"a good build", 0, func(sim *rolloutSimulation) {
		sim.start(nil)
		sim.waitFor(200, sim.stateIs(rollout.Done))
		sim.waitFor(20, sim.allRun("run-2", "run-1"))
	}},
	{"the leader ends after each of three durable steps", 0, func(sim *rolloutSimulation) {
		sim.start(nil)
		sim.afterEachStep(3, func() { crashControllers(1)(sim.simulation) })
		sim.waitFor(400, sim.stateIs(rollout.Done))
	}},
	{"the leader ends between a launch and its report", 0, func(sim *rolloutSimulation) {
		sim.start(nil)
		for n := 1; n <= 3; n++ {
			sim.waitFor(100, sim.running("run-2", n))
			crashControllers(1)(sim.simulation)
		}
		sim.waitFor(400, sim.stateIs(rollout.Done))
	}},
	{"all controllers end, and an outage, in the middle of a batch", 0, func(sim *rolloutSimulation) {
		sim.start(nil)
		sim.waitFor(100, sim.running("run-2", 1))
		crashControllers(3)(sim.simulation)
		storeOutage(12 * time.Second)(sim.simulation)
		sim.waitFor(400, sim.stateIs(rollout.Done))
	}},
	{"a second one is refused", 0, func(sim *rolloutSimulation) {
		sim.start(nil)
		if got := sim.startTo("run-3", "newer", nil); got != 409 {
			sim.t.Errorf("the second got %d", got)
		}
		if got := sim.start(nil); got != 200 {
			sim.t.Errorf("the first once more got %d", got)
		}
		sim.waitFor(200, sim.stateIs(rollout.Done))
	}},
	{"one that supersedes it comes after the other is taken back", 0, func(sim *rolloutSimulation) {
		sim.start(nil)
		sim.waitFor(100, sim.running("run-2", 1))
		if got := sim.startTo("run-3", "newer", map[string]any{"supersede": true}); got != 201 {
			sim.t.Errorf("it got %d", got)
		}
		sim.waitFor(300, sim.stateIs(rollout.Done))
		sim.waitFor(20, sim.allRun("run-3", "run-2"))
	}},
	{"its user cancels the service", 0, func(sim *rolloutSimulation) {
		sim.start(nil)
		sim.waitFor(100, sim.running("run-2", 3))
		sim.cancelService()
		sim.waitFor(25, sim.noneRun("run-1", "run-2"))
		sim.waitFor(20, sim.stateIs(rollout.Failed))
	}},
	{"its user cancels the service, and the state service is out at once", 0, func(sim *rolloutSimulation) {
		sim.start(nil)
		sim.waitFor(100, sim.running("run-2", 3))
		sim.cancelService()
		sim.store.SetOutage(true)
		sim.waitFor(25, sim.noneRun("run-1", "run-2"))
		sim.store.SetOutage(false)
		sim.waitFor(30, sim.stateIs(rollout.Failed))
	}},
}

// rolloutHealthCases are roll-outs of images that fail, that lack resources, or whose health
// the controllers check.
var rolloutHealthCases = []rolloutCase{
	{"a bad build, and a good one after it", 0, func(sim *rolloutSimulation) {
		sim.SetImageBehavior("new", emulate.ImageBehavior{UnhealthyAfter: 4 * time.Second})
		sim.start(nil)
		sim.waitFor(200, sim.stateIs(rollout.RolledBack))
		sim.waitFor(60, sim.allRun("run-1", "run-2"))
		sim.startTo("run-3", "newer", nil)
		sim.waitFor(200, sim.stateIs(rollout.Done))
	}},
	{"the old image fails as well when it is taken back", 0, func(sim *rolloutSimulation) {
		sim.start(nil)
		sim.waitFor(100, sim.running("run-2", 3))
		sim.SetImageBehavior("new", emulate.ImageBehavior{CrashAfter: time.Second})
		sim.SetImageBehavior("old", emulate.ImageBehavior{CrashAfter: 500 * time.Millisecond})
		sim.waitFor(400, sim.stateIs(rollout.Failed))
	}},
	{"the team's limit leaves no room for one extra: it waits, then pauses", 2, func(sim *rolloutSimulation) {
		// Six replicas take 12 of 14 CPUs: the next version's are larger.
		sim.start(map[string]any{"to": map[string]any{"uid": "run-2", "reel": "new", "cpus": 2.3}})
		sim.waitFor(200, sim.stateIs(rollout.Paused))
		if n := sim.RunningTasks("run-1"); n != 6 {
			sim.t.Errorf("%d old replicas run", n)
		}
	}},
	{"with one missing it needs no room", 2, func(sim *rolloutSimulation) {
		larger := map[string]any{"uid": "run-2", "reel": "new", "cpus": 2.3}
		sim.start(map[string]any{"to": larger, "most_extra": 0, "most_missing": 1})
		sim.waitFor(400, sim.stateIs(rollout.Done))
	}},
	{"health by checks of workers that say nothing themselves", 0, func(sim *rolloutSimulation) {
		sim.SetImageBehavior("new", emulate.ImageBehavior{OmitHealth: true})
		sim.start(map[string]any{"check": healthCheck})
		sim.waitFor(200, sim.stateIs(rollout.Done))
	}},
	{"the leader's checks reach nobody: paused, then on", 0, func(sim *rolloutSimulation) {
		sim.SetImageBehavior("new", emulate.ImageBehavior{OmitHealth: true})
		sim.start(map[string]any{"check": healthCheck, "deadline_s": 300.0})
		sim.waitFor(100, sim.running("run-2", 1))
		time.Sleep(3 * time.Second)
		sim.DropHealthChecks(true)
		sim.waitFor(60, sim.stateIs(rollout.Paused))
		if !strings.Contains(sim.service.reason, "checker") {
			sim.t.Errorf("paused because %s", sim.service.reason)
		}
		sim.DropHealthChecks(false)
		sim.waitFor(300, sim.stateIs(rollout.Done))
	}},
}

// TestRollouts: roll-outs on whole controllers, through what must not disturb them. A user
// polls the service's first job all the while.
func TestRollouts(t *testing.T) {
	for _, tt := range slices.Concat(rolloutCases, rolloutHealthCases) {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				sim, closeAll := newRolloutSimulation(t, tt.limit)
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
