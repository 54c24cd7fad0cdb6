package node

import (
	"fmt"
	"maps"
	"net/http"
	"testing"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/emulate"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// calendarSimulation is a simulation of three controllers and a fleet of the maximum size in
// three zones. Its reservation of several parts is claimed by a gang.
type calendarSimulation struct {
	*simulation
	t             *testing.T
	client        *http.Client
	start         time.Time // start of the reserved slot
	jobsSubmitted int
}

// slotDelay is the time from the start of the scenario to the start of the slot.
const slotDelay = 90 * time.Second

// newCalendarSimulation starts a simulation whose fleet has the given number of machines, which
// is also the maximum. edit may change the settings of the calendar; it may be nil.
func newCalendarSimulation(t *testing.T, machines int, edit func(*config.Calendar)) (*calendarSimulation, func()) {
	zones := []string{"a", "b", "c"}
	editCluster := func(cluster *emulate.Config) {
		cluster.MaxMachines = machines
		cluster.Limits = nil
		cluster.Types = []wire.MachineType{
			{Name: "small", CPUs: 4, MemGB: 64, CacheGB: 10, FetchRate: 1, Price: 0.2, SpotPrice: 0.05, BootS: 10, Zones: zones},
		}
	}
	configure := func(_ *config.Settings, tuning *config.Tuning) {
		tuning.Rollouts.Enabled = true
		tuning.Calendar.Enabled = true
		tuning.Calendar.AssumedCapacity = map[string]int{"small": machines / 3}
		if edit != nil {
			edit(&tuning.Calendar)
		}
	}
	s, closeAll := newSimulation(t, 1, editCluster, configure)
	s.RecordHistory()
	sim := &calendarSimulation{
		simulation: s,
		t:          t,
		client:     s.userClient(5 * time.Second),
		start:      time.Now().Add(slotDelay),
	}
	for i := range machines {
		s.Boot("small", zones[i%3], false, 0)
	}
	time.Sleep(5 * time.Second)
	return sim, closeAll
}

// createEntry posts an entry of the calendar and returns the status of the answer.
func (sim *calendarSimulation) createEntry(path string, doc map[string]any) int {
	body, err := wire.Marshal(doc)
	if err != nil {
		sim.t.Fatal(err)
	}
	got := 0
	sim.request(sim.client, "POST", path, body, func(status int, _ wire.JobStatus) bool {
		got = status
		return status < 500
	})
	return got
}

// readEntry reads an entry of the calendar into out. It tries the controllers in turn.
func (sim *calendarSimulation) readEntry(path string, out any) {
	sim.request(sim.client, "GET", path, nil, func(status int, _ wire.JobStatus) bool { return status == 200 })
	for i := range 90 {
		if response, err := sim.client.Get("http://" + simControllers[i%3].Addr + path); err == nil {
			if body := readAll(response); response.StatusCode == 200 && wire.Unmarshal(body, out) == nil {
				return
			}
		}
		time.Sleep(time.Second)
	}
}

// reserve requests a reservation of six parts with the edited fields, and returns the status
// of the answer.
func (sim *calendarSimulation) reserve(edit map[string]any) int {
	return sim.createEntry("/api/reservations", sim.reservation(6, edit))
}

// reservation returns the fields of a request for a reservation of the slot, with the given
// number of parts and the edited fields.
func (sim *calendarSimulation) reservation(parts int, edit map[string]any) map[string]any {
	fields := map[string]any{
		"name":    "evening",
		"team":    "blue",
		"parts":   parts,
		"cpus":    4.0,
		"mem_gb":  4.0,
		"grace_s": 30.0,
		"start":   sim.start.UTC().Format(time.RFC3339),
		"end":     sim.start.Add(100 * time.Second).UTC().Format(time.RFC3339),
	}
	maps.Copy(fields, edit)
	return fields
}

// submitJob submits a job and starts a user that polls it. The job's tasks run for the given
// time, regardless of the estimate.
func (sim *calendarSimulation) submitJob(seconds float64, spec job.Spec) string {
	sim.jobsSubmitted++
	spec.ID = fmt.Sprintf("run-%06d", sim.jobsSubmitted)
	if spec.PriorityName == "" {
		spec.PriorityName = "standard"
	}
	spec.CPUs = max(spec.CPUs, 1)
	spec.MemGB = 1
	declared, actual := spec, spec
	actual.EstimateS = seconds
	sim.DescribeJob(&actual)
	if !sim.submit(sim.client, &declared) {
		sim.t.Fatal("the submitted job was not accepted")
	}
	sim.JobAccepted(spec.ID)
	sim.Go(func() { sim.pollUntilEnd(&actual) })
	return spec.ID
}

// pollUntilEnd polls a job every three seconds until the simulation ends and checks the
// answers.
func (sim *calendarSimulation) pollUntilEnd(spec *job.Spec) {
	var final wire.JobPhase
	for {
		select {
		case <-sim.Done():
			return
		case <-time.After(3 * time.Second):
		}
		response, err := sim.client.Get("http://" + simControllers[sim.jobsSubmitted%3].Addr + "/api/jobs/" + spec.ID)
		if err != nil {
			continue
		}
		var jobStatus wire.JobStatus
		if body := readAll(response); response.StatusCode == 404 || (response.StatusCode == 200 && wire.Unmarshal(body, &jobStatus) == nil) {
			final = sim.CheckPoll(spec, response.StatusCode, jobStatus.Phase, final, false)
		}
	}
}

// fillFleet fills the fleet with work that must not be preempted. The tasks' actual run times
// are between 0.4 and 2 times their estimates.
func (sim *calendarSimulation) fillFleet(tasks int) {
	estimates := []float64{20, 14, 11, 20}
	for i, seconds := range []float64{8, 14, 22, 30} {
		sim.submitJob(seconds, job.Spec{Team: "blue", ShapeName: "array", Tasks: tasks, CPUs: 2, EstimateS: estimates[i], PriorityName: "urgent"})
	}
}

// awaitRunning waits until exactly n tasks of a job run and returns the time since the start of
// the slot. It returns an hour if this does not happen within four minutes.
func (sim *calendarSimulation) awaitRunning(id string, n int) time.Duration {
	for range 2400 {
		if sim.RunningTasks(id) == n {
			return time.Since(sim.start)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Hour
}

// sleepUntil sleeps until the offset from the start of the slot.
func (sim *calendarSimulation) sleepUntil(offset time.Duration) {
	time.Sleep(time.Until(sim.start.Add(offset)))
}
