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
	run   func(b *rolloutSimulation)
}

// healthCheck asks the controllers to check the replicas themselves.
var healthCheck = map[string]any{"path": "/healthy", "every_s": 1.0}

// rolloutCases are roll-outs through failures of controllers and of the key-value store, and
// of what its user asks for.
var rolloutCases = []rolloutCase{
	{"a good build", 0, func(b *rolloutSimulation) {
		b.start(nil)
		b.waitFor(200, b.stateIs(rollout.Done))
		b.waitFor(20, b.allRun("run-2", "run-1"))
	}},
	{"the leader ends after each of three durable steps", 0, func(b *rolloutSimulation) {
		b.start(nil)
		b.afterEachStep(3, func() { crashControllers(1)(b.simulation) })
		b.waitFor(400, b.stateIs(rollout.Done))
	}},
	{"the leader ends between a launch and its report", 0, func(b *rolloutSimulation) {
		b.start(nil)
		for n := 1; n <= 3; n++ {
			b.waitFor(100, b.running("run-2", n))
			crashControllers(1)(b.simulation)
		}
		b.waitFor(400, b.stateIs(rollout.Done))
	}},
	{"all controllers end, and an outage, in the middle of a batch", 0, func(b *rolloutSimulation) {
		b.start(nil)
		b.waitFor(100, b.running("run-2", 1))
		crashControllers(3)(b.simulation)
		storeOutage(12 * time.Second)(b.simulation)
		b.waitFor(400, b.stateIs(rollout.Done))
	}},
	{"a second one is refused", 0, func(b *rolloutSimulation) {
		b.start(nil)
		if got := b.startTo("run-3", "newer", nil); got != 409 {
			b.t.Errorf("the second got %d", got)
		}
		if got := b.start(nil); got != 200 {
			b.t.Errorf("the first once more got %d", got)
		}
		b.waitFor(200, b.stateIs(rollout.Done))
	}},
	{"one that supersedes it comes after the other is taken back", 0, func(b *rolloutSimulation) {
		b.start(nil)
		b.waitFor(100, b.running("run-2", 1))
		if got := b.startTo("run-3", "newer", map[string]any{"supersede": true}); got != 201 {
			b.t.Errorf("it got %d", got)
		}
		b.waitFor(300, b.stateIs(rollout.Done))
		b.waitFor(20, b.allRun("run-3", "run-2"))
	}},
	{"its user cancels the service", 0, func(b *rolloutSimulation) {
		b.start(nil)
		b.waitFor(100, b.running("run-2", 3))
		b.cancelService()
		b.waitFor(25, b.noneRun("run-1", "run-2"))
		b.waitFor(20, b.stateIs(rollout.Failed))
	}},
	{"its user cancels the service, and the state service is out at once", 0, func(b *rolloutSimulation) {
		b.start(nil)
		b.waitFor(100, b.running("run-2", 3))
		b.cancelService()
		b.store.SetOutage(true)
		b.waitFor(25, b.noneRun("run-1", "run-2"))
		b.store.SetOutage(false)
		b.waitFor(30, b.stateIs(rollout.Failed))
	}},
}

// rolloutHealthCases are roll-outs of images that fail, that lack resources, or whose health
// the controllers check.
var rolloutHealthCases = []rolloutCase{
	{"a bad build, and a good one after it", 0, func(b *rolloutSimulation) {
		b.SetImageBehavior("new", emulate.ImageBehavior{UnhealthyAfter: 4 * time.Second})
		b.start(nil)
		b.waitFor(200, b.stateIs(rollout.RolledBack))
		b.waitFor(60, b.allRun("run-1", "run-2"))
		b.startTo("run-3", "newer", nil)
		b.waitFor(200, b.stateIs(rollout.Done))
	}},
	{"the old image fails as well when it is taken back", 0, func(b *rolloutSimulation) {
		b.start(nil)
		b.waitFor(100, b.running("run-2", 3))
		b.SetImageBehavior("new", emulate.ImageBehavior{CrashAfter: time.Second})
		b.SetImageBehavior("old", emulate.ImageBehavior{CrashAfter: 500 * time.Millisecond})
		b.waitFor(400, b.stateIs(rollout.Failed))
	}},
	{"the team's limit leaves no room for one extra: it waits, then pauses", 2, func(b *rolloutSimulation) {
		// Six replicas take 12 of 14 CPUs: the next version's are larger.
		b.start(map[string]any{"to": map[string]any{"uid": "run-2", "reel": "new", "cpus": 2.3}})
		b.waitFor(200, b.stateIs(rollout.Paused))
		if n := b.RunningTasks("run-1"); n != 6 {
			b.t.Errorf("%d old replicas run", n)
		}
	}},
	{"with one missing it needs no room", 2, func(b *rolloutSimulation) {
		larger := map[string]any{"uid": "run-2", "reel": "new", "cpus": 2.3}
		b.start(map[string]any{"to": larger, "most_extra": 0, "most_missing": 1})
		b.waitFor(400, b.stateIs(rollout.Done))
	}},
	{"health by checks of workers that say nothing themselves", 0, func(b *rolloutSimulation) {
		b.SetImageBehavior("new", emulate.ImageBehavior{OmitHealth: true})
		b.start(map[string]any{"check": healthCheck})
		b.waitFor(200, b.stateIs(rollout.Done))
	}},
	{"the leader's checks reach nobody: paused, then on", 0, func(b *rolloutSimulation) {
		b.SetImageBehavior("new", emulate.ImageBehavior{OmitHealth: true})
		b.start(map[string]any{"check": healthCheck, "deadline_s": 300.0})
		b.waitFor(100, b.running("run-2", 1))
		time.Sleep(3 * time.Second)
		b.DropHealthChecks(true)
		b.waitFor(60, b.stateIs(rollout.Paused))
		if !strings.Contains(b.service.reason, "checker") {
			b.t.Errorf("paused because %s", b.service.reason)
		}
		b.DropHealthChecks(false)
		b.waitFor(300, b.stateIs(rollout.Done))
	}},
}

// TestRollouts: roll-outs on whole controllers, through what must not disturb them. A user
// polls the service's first job all the while.
func TestRollouts(t *testing.T) {
	for _, tt := range slices.Concat(rolloutCases, rolloutHealthCases) {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				b, closeAll := newRolloutSimulation(t, tt.limit)
				stop, stopped := make(chan struct{}), make(chan struct{})
				go func() {
					defer close(stopped)
					b.pollFirstVersion(stop, strings.Contains(tt.name, "cancels"))
				}()
				tt.run(b)
				close(stop)
				<-stopped
				b.checkViolations(t)
				closeAll()
			})
		})
	}
}
