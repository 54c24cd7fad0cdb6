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

// calendarSimulation is a full fleet of machines in three zones, on three controllers, with a
// slot of several parts and a gang that claims it.
type calendarSimulation struct {
	*simulation
	t             *testing.T
	client        *http.Client
	start         time.Time // of the slot
	jobsSubmitted int
}

// slotDelay is when the slot begins, from the begin of the scenario.
const slotDelay = 90 * time.Second

// newCalendarSimulation starts a fleet of that many machines, the most that there are.
func newCalendarSimulation(t *testing.T, machines int, edit func(*config.Calendar)) (*calendarSimulation, func()) {
	zones := []string{"a", "b", "c"}
	editCluster := func(c *emulate.Config) {
		c.MaxMachines = machines
		c.Limits = nil
		c.Types = []wire.MachineType{
			{Name: "small", CPUs: 4, MemGB: 64, CacheGB: 10, FetchRate: 1, Price: 0.2, SpotPrice: 0.05, BootS: 10, Zones: zones},
		}
	}
	configure := func(_ *config.Settings, tun *config.Tuning) {
		tun.Rollouts.Enabled = true
		tun.Calendar.Enabled = true
		tun.Calendar.AssumedCapacity = map[string]int{"small": machines / 3}
		if edit != nil {
			edit(&tun.Calendar)
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

// createEntry posts an entry of the calendar, and returns the answer's status.
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

// readEntry reads an entry of the calendar into out.
func (sim *calendarSimulation) readEntry(path string, out any) {
	sim.request(sim.client, "GET", path, nil, func(status int, _ wire.JobStatus) bool { return status == 200 })
	for i := range 90 {
		if res, err := sim.client.Get("http://" + simControllers[i%3].Addr + path); err == nil {
			if body := readAll(res); res.StatusCode == 200 && wire.Unmarshal(body, out) == nil {
				return
			}
		}
		time.Sleep(time.Second)
	}
}

// reserve asks for the slot, edited, and returns the answer's status.
func (sim *calendarSimulation) reserve(edit map[string]any) int {
	return sim.createEntry("/api/reservations", sim.reservation(6, edit))
}

// reservation is a request for the slot with that many parts, edited.
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

// submitJob submits a job and lets its user poll it. It runs for that many seconds, whatever
// its estimate is.
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
		sim.t.Fatal("not accepted")
	}
	sim.JobAccepted(spec.ID)
	sim.Go(func() { sim.pollUntilEnd(&actual) })
	return spec.ID
}

// pollUntilEnd polls a job every three seconds until the simulation ends, and checks the
// answers.
func (sim *calendarSimulation) pollUntilEnd(spec *job.Spec) {
	var final wire.JobPhase
	for {
		select {
		case <-sim.Ended():
			return
		case <-time.After(3 * time.Second):
		}
		res, err := sim.client.Get("http://" + simControllers[sim.jobsSubmitted%3].Addr + "/api/jobs/" + spec.ID)
		if err != nil {
			continue
		}
		var st wire.JobStatus
		if body := readAll(res); res.StatusCode == 404 || (res.StatusCode == 200 && wire.Unmarshal(body, &st) == nil) {
			final = sim.CheckPoll(spec, res.StatusCode, st.Phase, final, false)
		}
	}
}

// fillFleet fills the fleet with work that may not be preempted: tasks that end after two
// fifths of their estimate to over twice of it.
func (sim *calendarSimulation) fillFleet(tasks int) {
	estimates := []float64{20, 14, 11, 20}
	for i, seconds := range []float64{8, 14, 22, 30} {
		sim.submitJob(seconds, job.Spec{Team: "blue", ShapeName: "array", Tasks: tasks, CPUs: 2, EstimateS: estimates[i], PriorityName: "urgent"})
	}
}

// awaitRunning waits until that many tasks of a job run, and returns how long after the slot's
// start that is; an hour if it does not come about.
func (sim *calendarSimulation) awaitRunning(id string, n int) time.Duration {
	for range 2400 {
		if sim.RunningTasks(id) == n {
			return time.Since(sim.start)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Hour
}

// sleepUntil sleeps until a moment relative to the slot's start.
func (sim *calendarSimulation) sleepUntil(d time.Duration) { time.Sleep(time.Until(sim.start.Add(d))) }
