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

// scenario is a day of several controllers on an emulated cluster, in simulated time, with
// the faults that are injected. The emulated world checks the invariants; the numbers in a
// scenario's name are those of docs/safety.md that it reaches.
type scenario struct {
	name   string
	faults []fault
}

// finalChecks are what else has to hold at the end of a scenario, by the scenario's name.
type finalChecks map[string]func(*simulation)

// submitAt lets a user submit a job at a time after the start, and cancel it that long after
// it was accepted; 0: it is not cancelled.
type submitAt func(spec *job.Spec, at, cancelAfter time.Duration)

// environment is where a scenario is played: how many controllers, which machines, what work.
type environment struct {
	controllers, scale int
	randomized         bool
	configure          func(*config.Settings, *config.Tuning)
	editCluster        func(*emulate.Config)
	submitWorkload     func(s *simulation, add submitAt)
}

// withJobs adds more work to an environment.
func (e environment) withJobs(more func(s *simulation, add submitAt)) environment {
	before := e.submitWorkload
	e.submitWorkload = func(s *simulation, add submitAt) {
		before(s, add)
		more(s, add)
	}
	return e
}

// runDefault plays scenarios in the default environment with three controllers.
func runDefault(t *testing.T, scale int, configure func(*config.Settings, *config.Tuning), checks finalChecks, scenarios []scenario) {
	runScenarios(t, defaultEnvironment(3, scale, configure), checks, scenarios)
}

// runScenarios plays each scenario as a subtest.
func runScenarios(t *testing.T, env environment, checks finalChecks, scenarios []scenario) {
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel() // each has a clock of its own
			synctest.Test(t, func(t *testing.T) { runScenario(t, env, sc.faults, checks[sc.name]) })
		})
	}
}

// newRand is a source of random numbers with a seed of its own.
func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// defaultEnvironment has three kinds of jobs, with CPUs only, on two types of machines.
func defaultEnvironment(controllers, scale int, configure func(*config.Settings, *config.Tuning)) environment {
	return environment{
		controllers:    controllers,
		scale:          scale,
		configure:      configure,
		editCluster:    func(*emulate.Config) {},
		submitWorkload: defaultWorkload,
	}
}

// defaultWorkload starts the first machines and submits arrays, gangs and a service.
func defaultWorkload(s *simulation, add submitAt) {
	for range s.scale {
		s.Boot("large", "a", false, 0)
		s.Boot("small", "b", false, 0)
		s.Boot("small", "c", true, 0)
	}
	submit := func(shape, team string, tasks int, cpus, secs float64, at, cancelAfter time.Duration, edit func(*job.Spec)) {
		spec := &job.Spec{Team: team, ShapeName: shape, PriorityName: "standard", Tasks: tasks, CPUs: cpus, MemGB: 1, EstimateS: secs, Spot: true}
		if edit != nil {
			edit(spec)
		}
		add(spec, at, cancelAfter)
	}
	withCheckpoints := func(j *job.Spec) { j.CheckpointS, j.SaveS, j.Spot = 2, 1, false }
	urgentInOneZone := func(j *job.Spec) { j.OneZone, j.PriorityName = true, "urgent" }
	sec := time.Second
	for i := range 5 {
		at := time.Duration(1+9*i) * sec
		submit("array", "red", 12*s.scale, 1, 5, at, 0, nil)
		submit("array", "blue", 10*s.scale, 2, 8, at+sec, 0, withCheckpoints)
		submit("ensemble", "blue", min(3*s.scale, 24), 2, 10, at+2*sec, 0, urgentInOneZone)
		submit("array", "red", 8*s.scale, 2, 30, at+3*sec, 9*sec, nil)
	}
	submit("daemon", "blue", 3, 1, 0, 2*sec, 60*sec, nil)
}

// runScenario plays a scenario: its work and its faults in the first hundred seconds, then
// without faults until all jobs are over, and checks what has to hold.
func runScenario(t *testing.T, env environment, faults []fault, check func(*simulation)) {
	s, closeAll := newSimulation(t, env.scale, func(c *emulate.Config) {
		c.Controllers = simMembers(env.controllers)
		env.editCluster(c)
	}, env.configure)
	s.randomized = env.randomized
	s.Go(s.pollUnknownJobs)
	s.submitAll(env)
	faultsOver := make(chan struct{})
	go func() {
		defer close(faultsOver)
		s.injectFaults(faults)
	}()
	time.Sleep(100 * time.Second)
	<-faultsOver
	s.FaultsOver()
	s.awaitJobs()
	unfinished := s.UnfinishedJobs()
	s.CheckServiceLevels(nil)
	closeAll()
	if check != nil {
		check(s)
	}
	s.checkViolations(t)
	if len(unfinished) > 0 {
		t.Errorf("%d jobs are not over: %v", len(unfinished), unfinished)
	}
	t.Logf("%d tasks were started, %d of them after a user was told that their job is cancelled", s.Starts(), s.StartsAfterCancellation())
	if s.Starts() < 100*env.scale {
		t.Errorf("only %d tasks were started", s.Starts())
	}
}

// submitAll lets the users of the environment's jobs begin. Their ids count up.
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

// injectFaults injects each fault at its time and waits until all are over. Of more than two
// each has to end before the next one begins, since faults that overlap would contend for
// the same processes.
func (s *simulation) injectFaults(faults []fault) {
	begun := time.Now()
	if len(faults) > 2 {
		for _, f := range faults {
			time.Sleep(f.at - time.Since(begun))
			f.inject(s)
		}
		return
	}
	var wg sync.WaitGroup
	for _, f := range faults {
		time.Sleep(f.at - time.Since(begun))
		wg.Go(func() { f.inject(s) })
	}
	wg.Wait()
}

// awaitJobs waits until all jobs are over, for five minutes at most, and checks meanwhile
// that none waits beside free resources.
func (s *simulation) awaitJobs() {
	for range 150 {
		time.Sleep(2 * time.Second)
		if len(s.UnfinishedJobs()) == 0 {
			return
		}
		s.CheckStarvation()
	}
}

// withOutagePromises lets a leader go on in an outage of the key-value store by the promises
// of the other controllers.
func withOutagePromises(_ *config.Settings, tun *config.Tuning) { tun.PromiseMs = 2000 }

// withSharding lets all controllers share the machines, with short waits before they do.
func withSharding(_ *config.Settings, tun *config.Tuning) {
	tun.PromiseMs = 2000
	shares := &tun.Sharding
	shares.Enabled = true
	shares.MinMachines = 1
	shares.JoinDelayS = 1
	shares.RejoinDelayS = 2
	shares.MovesPerS = 200
}

// withCancelledJobs adds long jobs to an environment, cancelled one after the other from a
// time on.
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

// withLongJobs adds long jobs to an environment that only faults cancel.
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
		t.Errorf("rules broken: %s", strings.Join(violations, "\n"))
	}
}
