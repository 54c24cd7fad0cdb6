package node

import (
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/emulate"
	"vetchstream/internal/job"
	"vetchstream/internal/rollout"
	"vetchstream/internal/wire"
)

// rolloutSimulation is a simulation of three controllers with a service of six replicas, whose
// versions are rolled out.
type rolloutSimulation struct {
	*simulation
	t       *testing.T
	client  *http.Client
	spec    *job.Spec
	service *rolloutService
}

// newRolloutSimulation starts a simulation and the service. If replicaCPUs is above 0, each
// replica takes that many CPUs (at least 1), and the service's team has a limit of 14 CPUs.
func newRolloutSimulation(t *testing.T, replicaCPUs float64) (*rolloutSimulation, func()) {
	zones := []string{"a", "b", "c"}
	editCluster := func(cluster *emulate.Config) {
		cluster.MaxMachines = 30
		cluster.Limits = map[string]emulate.Resources{}
		cluster.Types = []wire.MachineType{
			{Name: "small", CPUs: 4, MemGB: 64, CacheGB: 10, FetchRate: 1, Price: 0.2, SpotPrice: 0.05, BootS: 4, Zones: zones},
		}
		if replicaCPUs > 0 {
			cluster.Limits["red"] = emulate.Resources{CPUs: 14}
		}
	}
	configure := func(settings *config.Settings, tuning *config.Tuning) {
		withOutagePromises(settings, tuning)
		tuning.Rollouts.Enabled = true
	}
	s, closeAll := newSimulation(t, 1, editCluster, configure)
	s.RecordHistory()
	for i := range 9 {
		s.Boot("small", zones[i%3], false, 0)
	}
	team := "blue"
	if replicaCPUs > 0 {
		team = "red"
	}
	sim := &rolloutSimulation{
		simulation: s,
		t:          t,
		client:     s.userClient(5 * time.Second),
		spec:       &job.Spec{ID: "run-1", Team: team, ShapeName: "daemon", PriorityName: "standard", Tasks: 6, CPUs: max(1, replicaCPUs), MemGB: 1, Image: "old"},
		service:    &rolloutService{name: "svc"},
	}
	s.DescribeJob(sim.spec)
	if !s.submit(sim.client, sim.spec) {
		t.Fatal("the job of the service was not accepted")
	}
	sim.waitFor(60, sim.allRun("run-1"))
	time.Sleep(5 * time.Second)
	return sim, closeAll
}

// waitFor waits until the condition holds, and fails the test if it does not within the given
// number of seconds.
func (sim *rolloutSimulation) waitFor(seconds int, condition func() bool) {
	for range 10 * seconds {
		if condition() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	sim.t.Errorf("the awaited condition did not hold within %d s; the roll-out is %s (%s)", seconds, sim.service.state, sim.service.reason)
}

// start requests a roll-out from run-1 to run-2 with the edited fields, and returns the status
// of the answer.
func (sim *rolloutSimulation) start(edit map[string]any) int {
	fields := map[string]any{
		"service":    "svc",
		"from":       "run-1",
		"to":         map[string]any{"uid": "run-2", "reel": "new"},
		"batch":      2,
		"most_extra": 1,
		"ready_s":    2.0,
		"soak_s":     6.0,
		"deadline_s": 60.0,
	}
	maps.Copy(fields, edit)
	body, err := wire.Marshal(fields)
	if err != nil {
		sim.t.Fatal(err)
	}
	got := 0
	sim.request(sim.client, "POST", "/api/rollouts", body, func(status int, _ wire.JobStatus) bool {
		got = status
		return status < 500
	})
	return got
}

// startTo requests a roll-out to the given version and image with the edited fields.
func (sim *rolloutSimulation) startTo(version, image string, edit map[string]any) int {
	fields := map[string]any{"to": map[string]any{"uid": version, "reel": image}}
	maps.Copy(fields, edit)
	return sim.start(fields)
}

// stateIs returns the condition that the roll-out is in the state.
func (sim *rolloutSimulation) stateIs(state rollout.State) func() bool {
	return func() bool {
		sim.pollRollout(sim.client, sim.service)
		return sim.service.state == string(state)
	}
}

// running returns the condition that at least the given number of replicas of a version run.
func (sim *rolloutSimulation) running(version string, replicas int) func() bool {
	return func() bool { return sim.RunningTasks(version) >= replicas }
}

// allRun returns the condition that all replicas of a version run, and none of the others.
func (sim *rolloutSimulation) allRun(version string, others ...string) func() bool {
	return func() bool {
		if sim.RunningTasks(version) != 6 {
			return false
		}
		return sim.noneRun(others...)()
	}
}

// noneRun returns the condition that no replica of the versions runs.
func (sim *rolloutSimulation) noneRun(versions ...string) func() bool {
	return func() bool {
		return !slices.ContainsFunc(versions, func(version string) bool { return sim.RunningTasks(version) > 0 })
	}
}

// cancelService cancels the job of the first version of the service.
func (sim *rolloutSimulation) cancelService() {
	sim.request(sim.client, "POST", "/api/jobs/run-1/abort", nil, func(status int, jobStatus wire.JobStatus) bool {
		return status == 200 && jobStatus.Phase == wire.JobCancelled
	})
}

// afterEachStep injects a fault after each of the next n changes of the roll-out's stored
// record.
func (sim *rolloutSimulation) afterEachStep(n int, inject func()) {
	lastVersion := uint64(0)
	for n > 0 {
		entry, _ := sim.store.Entry("r/svc")
		if entry.Version != lastVersion && lastVersion != 0 {
			n--
			inject()
		}
		lastVersion = entry.Version
		time.Sleep(20 * time.Millisecond)
	}
}

// pollFirstVersion polls the job of the first version every two seconds until stop is closed,
// and checks the answers.
func (sim *rolloutSimulation) pollFirstVersion(stop <-chan struct{}, cancelled bool) {
	var before wire.JobPhase
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Second):
		}
		response, err := sim.client.Get("http://" + simControllers[1].Addr + "/api/jobs/run-1")
		if err != nil {
			continue
		}
		var jobStatus wire.JobStatus
		body := readAll(response)
		if response.StatusCode == 404 || (response.StatusCode == 200 && wire.Unmarshal(body, &jobStatus) == nil) {
			before = sim.CheckPoll(sim.spec, response.StatusCode, jobStatus.Phase, before, cancelled)
		}
	}
}
