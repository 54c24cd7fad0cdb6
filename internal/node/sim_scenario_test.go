package node

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/emulate"
	"vetchstream/internal/job"
)

// scenario is a list of faults that are injected while several controllers run on an emulated
// cluster in simulated time. The emulated world checks the invariants. The numbers in a
// scenario's name refer to the numbered cases of docs/safety.md that it covers.
type scenario struct {
	name   string
	faults []fault
}

// finalChecks holds additional checks at the end of a scenario, by the scenario's name.
type finalChecks map[string]func(*simulation)

// submitAt lets a user submit a job at a time after the start of the scenario and cancel it
// cancelAfter after its acceptance; 0: the job is not cancelled.
type submitAt func(spec *job.Spec, at, cancelAfter time.Duration)

// environment is the setup of a scenario: the number of controllers, their settings, the
// cluster and the workload.
type environment struct {
	controllers, scale int
	randomized         bool
	configure          func(*config.Settings, *config.Tuning)
	editCluster        func(*emulate.Config)
	submitWorkload     func(s *simulation, add submitAt)
}

// withJobs returns the environment with an additional workload.
func (e environment) withJobs(additional func(s *simulation, add submitAt)) environment {
	baseWorkload := e.submitWorkload
	e.submitWorkload = func(s *simulation, add submitAt) {
		baseWorkload(s, add)
		additional(s, add)
	}
	return e
}

// runDefault runs the scenarios in the default environment with three controllers.
func runDefault(t *testing.T, scale int, configure func(*config.Settings, *config.Tuning), checks finalChecks, scenarios []scenario) {
	runScenarios(t, defaultEnvironment(3, scale, configure), checks, scenarios)
}

// runScenarios runs each scenario as a subtest.
func runScenarios(t *testing.T, env environment, checks finalChecks, scenarios []scenario) {
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel() // each scenario has its own clock
			synctest.Test(t, func(t *testing.T) { runScenario(t, env, sc.faults, checks[sc.name]) })
		})
	}
}

// newRand returns a source of random numbers for the seed.
func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// defaultEnvironment returns an environment with three kinds of jobs, which need no GPUs, and
// two types of machines.
func defaultEnvironment(controllers, scale int, configure func(*config.Settings, *config.Tuning)) environment {
	return environment{
		controllers:    controllers,
		scale:          scale,
		configure:      configure,
		editCluster:    func(*emulate.Config) {},
		submitWorkload: defaultWorkload,
	}
}

// defaultWorkload starts the initial machines and submits arrays, gangs and a service.
func defaultWorkload(s *simulation, add submitAt) {
	for range s.scale {
		s.Boot("large", "a", false, 0)
		s.Boot("small", "b", false, 0)
		s.Boot("small", "c", true, 0)
	}
	submit := func(shape, team string, tasks int, cpus, estimateS float64, at, cancelAfter time.Duration, edit func(*job.Spec)) {
		spec := &job.Spec{Team: team, ShapeName: shape, PriorityName: "standard", Tasks: tasks, CPUs: cpus, MemGB: 1, EstimateS: estimateS, Spot: true}
		if edit != nil {
			edit(spec)
		}
		add(spec, at, cancelAfter)
	}
	withCheckpoints := func(j *job.Spec) { j.CheckpointS, j.SaveS, j.Spot = 2, 1, false }
	urgentInOneZone := func(j *job.Spec) { j.OneZone, j.PriorityName = true, "urgent" }
	second := time.Second
	for i := range 5 {
		at := time.Duration(1+9*i) * second
		submit("array", "red", 12*s.scale, 1, 5, at, 0, nil)
		submit("array", "blue", 10*s.scale, 2, 8, at+second, 0, withCheckpoints)
		submit("ensemble", "blue", min(3*s.scale, 24), 2, 10, at+2*second, 0, urgentInOneZone)
		submit("array", "red", 8*s.scale, 2, 30, at+3*second, 9*second, nil)
	}
	submit("daemon", "blue", 3, 1, 0, 2*second, 60*second, nil)
}

// runScenario runs a scenario and checks the invariants. The faults are injected in the first
// hundred seconds; after them the scenario continues until all jobs have ended.
func runScenario(t *testing.T, env environment, faults []fault, check func(*simulation)) {
	s, closeAll := newSimulation(t, env.scale, func(c *emulate.Config) {
		c.Controllers = simMembers(env.controllers)
		env.editCluster(c)
	}, env.configure)
	s.randomized = env.randomized
	s.Go(s.pollUnknownJobs)
	s.submitAll(env)
	faultsEnded := make(chan struct{})
	go func() {
		defer close(faultsEnded)
		s.injectFaults(faults)
	}()
	time.Sleep(100 * time.Second)
	<-faultsEnded
	s.FaultsEnded()
	s.awaitJobs()
	unfinished := s.UnfinishedJobs()
	s.CheckServiceLevels(nil)
	closeAll()
	if check != nil {
		check(s)
	}
	s.checkViolations(t)
	if len(unfinished) > 0 {
		t.Errorf("%d jobs have not ended: %v", len(unfinished), unfinished)
	}
	t.Logf("%d tasks were started, %d of them after the cancellation of their job was confirmed to a user", s.Starts(), s.StartsAfterCancellation())
	if s.Starts() < 100*env.scale {
		t.Errorf("%d tasks were started, want at least 100 times the scale", s.Starts())
	}
}

// submitAll starts the users that submit the environment's jobs. The jobs' ids are numbered in
// the order of submission.
func (s *simulation) submitAll(env environment) {
	id := 0
	env.submitWorkload(s, func(spec *job.Spec, at, cancelAfter time.Duration) {
		id++
		spec.ID = fmt.Sprintf("run-%06d", id)
		if spec.Class == "" {
			spec.Class = spec.ShapeName + " of " + spec.Team
		}
		s.Go(func() { s.runUser(spec, at, cancelAfter) })
	})
}

// injectFaults injects each fault at its time and waits until all have ended. If there are more
// than two, each has to end before the next one begins, because overlapping faults would
// contend for the same processes.
func (s *simulation) injectFaults(faults []fault) {
	start := time.Now()
	if len(faults) > 2 {
		for _, f := range faults {
			time.Sleep(f.at - time.Since(start))
			f.inject(s)
		}
		return
	}
	var wg sync.WaitGroup
	for _, f := range faults {
		time.Sleep(f.at - time.Since(start))
		wg.Go(func() { f.inject(s) })
	}
	wg.Wait()
}

// awaitJobs waits until all jobs have ended, but for at most five minutes. Meanwhile it checks
// that no job waits although there are free resources.
func (s *simulation) awaitJobs() {
	for range 150 {
		time.Sleep(2 * time.Second)
		if len(s.UnfinishedJobs()) == 0 {
			return
		}
		s.CheckStarvation()
	}
}

// withOutagePromises enables a leader to continue during an outage of the key-value store, by
// means of the promises of the other controllers.
func withOutagePromises(_ *config.Settings, tuning *config.Tuning) { tuning.PromiseMs = 2000 }

// withSharding enables the assignment of machines to all controllers, with short delays before
// it begins.
func withSharding(_ *config.Settings, tuning *config.Tuning) {
	tuning.PromiseMs = 2000
	sharding := &tuning.Sharding
	sharding.Enabled = true
	sharding.MinMachines = 1
	sharding.JoinDelayS = 1
	sharding.RejoinDelayS = 2
	sharding.MovesPerS = 200
}

// withCancelledJobs returns the environment with additional long jobs, which their users cancel
// at the interval, starting at the time from.
func withCancelledJobs(env environment, from, interval time.Duration) environment {
	return env.withJobs(func(_ *simulation, add submitAt) {
		const at = 2 * time.Second
		for i := range 16 {
			spec := &job.Spec{
				Team:         "blue",
				Class:        "cancelled",
				ShapeName:    "array",
				PriorityName: "urgent",
				Tasks:        2 * env.scale,
				CPUs:         1,
				MemGB:        1,
				EstimateS:    90,
				Spot:         true,
			}
			add(spec, at, from+time.Duration(i)*interval-at)
		}
	})
}

// withLongJobs returns the environment with additional long jobs, which only injected faults
// cancel.
func withLongJobs(env environment) environment {
	return env.withJobs(func(_ *simulation, add submitAt) {
		for i := range 10 {
			team := []string{"blue", "red"}[i%2]
			spec := &job.Spec{
				Team:         team,
				Class:        "long",
				ShapeName:    "array",
				PriorityName: "urgent",
				Tasks:        2 * env.scale,
				CPUs:         1,
				MemGB:        1,
				EstimateS:    45,
				Spot:         true,
			}
			add(spec, time.Duration(3+i)*time.Second, 0)
		}
	})
}

// checkViolations fails the test if an invariant was violated.
func (s *simulation) checkViolations(t *testing.T) {
	t.Helper()
	if violations := s.Violations(); len(violations) > 0 {
		t.Errorf("invariants violated: %s\nwarnings of the controllers:\n%s", strings.Join(violations, "\n"), s.warnings.String())
	}
}
