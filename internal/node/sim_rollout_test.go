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

// rolloutSimulation is a service of six replicas on three controllers, and its roll-out.
type rolloutSimulation struct {
	*simulation
	t       *testing.T
	client  *http.Client
	spec    *job.Spec
	service *rolloutService
}

// newRolloutSimulation starts the service. With a limit its replicas take that many CPUs each,
// in a team that may use 14.
func newRolloutSimulation(t *testing.T, limit float64) (*rolloutSimulation, func()) {
	zones := []string{"a", "b", "c"}
	editCluster := func(c *emulate.Config) {
		c.MaxMachines = 30
		c.Limits = map[string]emulate.Limit{}
		c.Types = []wire.MachineType{
			{Name: "small", CPUs: 4, MemGB: 64, CacheGB: 10, FetchRate: 1, Price: 0.2, SpotPrice: 0.05, BootS: 4, Zones: zones},
		}
		if limit > 0 {
			c.Limits["red"] = emulate.Limit{CPUs: 14}
		}
	}
	configure := func(set *config.Settings, tun *config.Tuning) {
		withOutagePromises(set, tun)
		tun.Rollouts.Enabled = true
	}
	s, closeAll := newSimulation(t, 1, editCluster, configure)
	s.RecordHistory()
	for i := range 9 {
		s.Boot("small", zones[i%3], false, 0)
	}
	team := "blue"
	if limit > 0 {
		team = "red"
	}
	sim := &rolloutSimulation{
		simulation: s,
		t:          t,
		client:     s.userClient(5 * time.Second),
		spec:       &job.Spec{ID: "run-1", Team: team, ShapeName: "daemon", PriorityName: "standard", Tasks: 6, CPUs: max(1, limit), MemGB: 1, Image: "old"},
		service:    &rolloutService{name: "svc"},
	}
	s.DescribeJob(sim.spec)
	if !s.submit(sim.client, sim.spec) {
		t.Fatal("not accepted")
	}
	sim.waitFor(60, sim.allRun("run-1"))
	time.Sleep(5 * time.Second)
	return sim, closeAll
}

// waitFor waits until a condition holds, for that many seconds at most.
func (sim *rolloutSimulation) waitFor(seconds int, condition func() bool) {
	for range 10 * seconds {
		if condition() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	sim.t.Errorf("not within %d s; the roll-out is %s (%s)", seconds, sim.service.state, sim.service.reason)
}

// start asks for a roll-out from run-1 to run-2, edited, and returns the answer's status.
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

// startTo asks for a roll-out to another version of the service, edited.
func (sim *rolloutSimulation) startTo(version, image string, edit map[string]any) int {
	fields := map[string]any{"to": map[string]any{"uid": version, "reel": image}}
	maps.Copy(fields, edit)
	return sim.start(fields)
}

// stateIs is the condition that the roll-out is in a state.
func (sim *rolloutSimulation) stateIs(state rollout.State) func() bool {
	return func() bool {
		sim.pollRollout(sim.client, sim.service)
		return sim.service.state == string(state)
	}
}

// running is the condition that at least that many replicas of a version run.
func (sim *rolloutSimulation) running(version string, replicas int) func() bool {
	return func() bool { return sim.RunningTasks(version) >= replicas }
}

// allRun is the condition that all replicas of a version run, and none of the others.
func (sim *rolloutSimulation) allRun(version string, others ...string) func() bool {
	return func() bool {
		if sim.RunningTasks(version) != 6 {
			return false
		}
		return sim.noneRun(others...)()
	}
}

// noneRun is the condition that no replica of the versions runs.
func (sim *rolloutSimulation) noneRun(versions ...string) func() bool {
	return func() bool {
		return !slices.ContainsFunc(versions, func(v string) bool { return sim.RunningTasks(v) > 0 })
	}
}

// cancelService cancels the job of the first version.
func (sim *rolloutSimulation) cancelService() {
	sim.request(sim.client, "POST", "/api/jobs/run-1/abort", nil, func(status int, st wire.JobStatus) bool {
		return status == 200 && st.Phase == wire.JobCancelled
	})
}

// afterEachStep injects a fault each time the stored record of the roll-out changes, n times.
func (sim *rolloutSimulation) afterEachStep(n int, inject func()) {
	last := uint64(0)
	for n > 0 {
		e, _ := sim.store.Entry("r/svc")
		if e.Version != last && last != 0 {
			n--
			inject()
		}
		last = e.Version
		time.Sleep(20 * time.Millisecond)
	}
}

// pollFirstVersion polls the job of the first version until stop is closed, and checks the
// answers.
func (sim *rolloutSimulation) pollFirstVersion(stop <-chan struct{}, cancelled bool) {
	var before wire.JobPhase
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Second):
		}
		res, err := sim.client.Get("http://" + simControllers[1].Addr + "/api/jobs/run-1")
		if err != nil {
			continue
		}
		var st wire.JobStatus
		body := readAll(res)
		if res.StatusCode == 404 || (res.StatusCode == 200 && wire.Unmarshal(body, &st) == nil) {
			before = sim.CheckPoll(sim.spec, res.StatusCode, st.Phase, before, cancelled)
		}
	}
}
