package node

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"vetchstream/internal/calendar"
	"vetchstream/internal/config"
	"vetchstream/internal/emulate"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// calendarSimulation is a full fleet of twelve machines in three zones, on three controllers,
// with a slot of six parts and a gang that claims it.
type calendarSimulation struct {
	*simulation
	t             *testing.T
	client        *http.Client
	start         time.Time
	jobsSubmitted int
}

// slotDelay is when the slot begins, from the begin of the day.
const slotDelay = 90 * time.Second

func newCalendarSimulation(t *testing.T, most int, tune func(*config.Calendar)) (*calendarSimulation, func()) {
	s, closeAll := newSimulation(t, 1, func(c *emulate.Config) {
		c.MaxMachines, c.Limits = most, nil
		c.Types = []wire.MachineType{{Name: "small", CPUs: 4, MemGB: 64, CacheGB: 10, FetchRate: 1, Price: 0.2, SpotPrice: 0.05, BootS: 10, Zones: []string{"a", "b", "c"}}}
	}, func(_ *config.Settings, tun *config.Tuning) {
		tun.Rollouts.Enabled = true
		tun.Calendar.Enabled, tun.Calendar.CountOn = true, map[string]int{"small": most / 3}
		if tune != nil {
			tune(&tun.Calendar)
		}
	})
	s.RecordHistory()
	b := &calendarSimulation{simulation: s, t: t, start: time.Now().Add(slotDelay),
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DialContext: s.net.Dialer("user"), DisableKeepAlives: true}}}
	for i := range most {
		s.Boot("small", []string{"a", "b", "c"}[i%3], false, 0)
	}
	time.Sleep(5 * time.Second)
	return b, closeAll
}

// createEntry makes an entry of the calendar, and returns the answer's status.
func (b *calendarSimulation) createEntry(path string, doc map[string]any) int {
	body, err := wire.Marshal(doc)
	if err != nil {
		b.t.Fatal(err)
	}
	got := 0
	b.request(b.client, "POST", path, body, func(status int, _ wire.Status) bool {
		got = status
		return status < 500
	})
	return got
}

// readEntry reads an entry of the calendar.
func (b *calendarSimulation) readEntry(path string, out any) {
	b.request(b.client, "GET", path, nil, func(status int, _ wire.Status) bool { return status == 200 })
	for i := range 90 {
		if res, err := b.client.Get("http://" + simControllers[i%3].Addr + path); err == nil {
			if body := readAll(res); res.StatusCode == 200 && wire.Unmarshal(body, out) == nil {
				return
			}
		}
		time.Sleep(time.Second)
	}
}

func (b *calendarSimulation) reserve(edit map[string]any) int {
	doc := map[string]any{"name": "evening", "team": "blue", "parts": 6, "cpus": 4.0, "mem_gb": 4.0, "grace_s": 30.0,
		"start": b.start.UTC().Format(time.RFC3339), "end": b.start.Add(100 * time.Second).UTC().Format(time.RFC3339)}
	for k, v := range edit {
		doc[k] = v
	}
	return b.createEntry("/api/reservations", doc)
}

// submitJob hands in a job and lets its user poll it. It runs for secs, whatever its
// estimate is.
func (b *calendarSimulation) submitJob(secs float64, spec job.Spec) string {
	b.jobsSubmitted++
	spec.ID = fmt.Sprintf("run-%06d", b.jobsSubmitted)
	if spec.PriorityName == "" {
		spec.PriorityName = "standard"
	}
	spec.CPUs, spec.MemGB = max(spec.CPUs, 1), 1
	declared, real := spec, spec
	real.EstimateS = secs
	b.DescribeJob(&real)
	if !b.submit(b.client, &declared) {
		b.t.Fatal("not accepted")
	}
	b.JobAccepted(spec.ID)
	b.Go(func() {
		final := ""
		for {
			select {
			case <-b.Ended():
				return
			case <-time.After(3 * time.Second):
			}
			res, err := b.client.Get("http://" + simControllers[b.jobsSubmitted%3].Addr + "/api/jobs/" + spec.ID)
			if err != nil {
				continue
			}
			var st wire.Status
			if body := readAll(res); res.StatusCode == 404 || (res.StatusCode == 200 && wire.Unmarshal(body, &st) == nil) {
				final = b.CheckPoll(&real, res.StatusCode, st.Phase, final, false)
			}
		}
	})
	return spec.ID
}

// fillFleet keeps the fleet full of others' work that nobody may stop: tasks that end
// after two fifths of their estimate to over twice of it.
func (b *calendarSimulation) fillFleet(tasks int) {
	for i, secs := range []float64{8, 14, 22, 30} {
		b.submitJob(secs, job.Spec{Team: "blue", ShapeName: "array", Tasks: tasks, CPUs: 2, EstimateS: []float64{20, 14, 11, 20}[i], PriorityName: "urgent"})
	}
}

// awaitRunning waits until so many tasks of a job run, and returns by how much that is late.
func (b *calendarSimulation) awaitRunning(id string, n int) time.Duration {
	for range 2400 {
		if b.RunningTasks(id) == n {
			return time.Since(b.start)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Hour
}

// sleepUntil sleeps until a moment relative to the slot's start.
func (b *calendarSimulation) sleepUntil(d time.Duration) { time.Sleep(time.Until(b.start.Add(d))) }

// TestSlots: a gang that claims a slot starts whole and on time on a full fleet,
// through what must not disturb it.
func TestSlots(t *testing.T) {
	claim := func(b *calendarSimulation) string {
		return b.submitJob(25, job.Spec{Team: "blue", ShapeName: "ensemble", Tasks: 6, CPUs: 4, EstimateS: 25, Reservation: "evening"})
	}
	tolerance := calendar.Tolerance(2, 100)
	tests := []struct {
		name string
		most int
		tune func(*config.Calendar)
		edit map[string]any
		do   func(b *calendarSimulation) // from the moment all is set up
		late time.Duration               // at most; 0: the tolerance
		out  calendar.OutcomeKind        // what is stored of the occurrence
	}{
		{"nothing goes wrong", 12, nil, nil, nil, 0, calendar.OutcomeOnTime},
		{"holding is switched off", 12, func(c *config.Calendar) { c.Hold = false }, nil, nil, -1, calendar.OutcomeMissed},
		{"without backfill", 12, func(c *config.Calendar) { c.Backfill = false }, nil, nil, 0, calendar.OutcomeOnTime},
		{"the cloud has less than anybody knew", 12, func(c *config.Calendar) { c.CountOn = nil }, nil, nil, 0, calendar.OutcomeOnTime},
		{"in one place", 24, nil, map[string]any{"same_place": true}, nil, 0, calendar.OutcomeOnTime},
		{"the leader ends at the very start", 12, nil, nil, func(b *calendarSimulation) { b.sleepUntil(-100 * time.Millisecond); crashControllers(1)(b.simulation) }, 20 * time.Second, ""},
		{"all controllers end just before", 12, nil, nil, func(b *calendarSimulation) { b.sleepUntil(-6 * time.Second); crashControllers(3)(b.simulation) }, 20 * time.Second, ""},
		{"the leader stands still over the start", 12, nil, nil, func(b *calendarSimulation) {
			b.sleepUntil(-3 * time.Second)
			pauseControllers(1, 6*time.Second)(b.simulation)
		}, 20 * time.Second, ""},
		{"the state service is down over the start", 12, nil, nil, func(b *calendarSimulation) {
			b.sleepUntil(-5 * time.Second)
			storeOutage(10 * time.Second)(b.simulation)
		}, 25 * time.Second, ""},
		{"a zone is cut half a minute before", 18, nil, nil, func(b *calendarSimulation) {
			b.sleepUntil(-30 * time.Second)
			partitionZone("a", 60*time.Second)(b.simulation)
		}, 30 * time.Second, ""},
		{"a zone is cut a second after", 18, nil, nil, func(b *calendarSimulation) {
			b.sleepUntil(time.Second)
			partitionZone("a", 40*time.Second)(b.simulation)
		}, 30 * time.Second, ""},
		{"held machines are lost half a minute before", 12, nil, nil, func(b *calendarSimulation) {
			b.sleepUntil(-30 * time.Second)
			b.Kill(b.WorkersInZone("a"))
		}, 15 * time.Second, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				b, closeAll := newCalendarSimulation(t, tt.most, tt.tune)
				if got := b.reserve(tt.edit); got != 201 {
					t.Fatalf("the reservation got %d", got)
				}
				b.fillFleet(400)
				id := claim(b)
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					if tt.do != nil {
						tt.do(b)
					}
				}()
				late := b.awaitRunning(id, 6)
				if late < 0 {
					t.Errorf("it runs %s before its slot", -late)
				}
				switch {
				case tt.late < 0 && late <= tolerance:
					t.Error("it is in time although nothing was held")
				case tt.late >= 0 && late > max(tt.late, tolerance):
					t.Errorf("it runs %s late, at most %s", late, max(tt.late, tolerance))
				}
				<-ended
				for range 100 { // it ends, once, whatever comes
					if b.UnfinishedJobs()[id] == "" {
						break
					}
					time.Sleep(time.Second)
				}
				if tt.late >= 0 && b.UnfinishedJobs()[id] != "" {
					t.Error("it is not over")
				}
				b.sleepUntil(105 * time.Second)
				var s calendar.Status
				b.readEntry("/api/reservations/evening", &s)
				if tt.late >= 0 && s.Claimer != "" {
					t.Errorf("%s claims it still", s.Claimer)
				}
				if len(s.Outcomes) != 1 || (tt.out != "" && s.Outcomes[0].Kind != tt.out) || s.Outcomes[0].Job != id {
					t.Errorf("stored: %+v, want one that is %s", s.Outcomes, tt.out)
				}
				if tt.late >= 0 && s.Held != 0 {
					t.Errorf("%d machines are still held", s.Held)
				}
				if broken := b.Violations(); len(broken) > 0 {
					t.Errorf("rules broken: %s", strings.Join(broken, "\n"))
				}
				closeAll()
			})
		})
	}
}

// TestUnclaimed: a slot that nobody claims lapses after its grace, and its machines
// work again; requests of another team do not reach it.
func TestUnclaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, closeAll := newCalendarSimulation(t, 6, nil)
		defer closeAll()
		// All six machines: not beside the guarantee of another team.
		if got := b.reserve(nil); got != 409 {
			t.Fatalf("a reservation of everything got %d", got)
		}
		if got := b.reserve(map[string]any{"parts": 4}); got != 201 {
			t.Fatalf("the reservation got %d", got)
		}
		for _, x := range []struct {
			what, path string
			doc        map[string]any
			want       int
		}{
			{"the same once more", "/api/reservations", nil, 200},
			{"another of its name", "/api/reservations", map[string]any{"parts": 5}, 409},
			{"for another team", "/api/reservations?team=red", nil, 403},
			{"malformed", "/api/reservations", map[string]any{"end": "never"}, 400},
			{"a team's window", "/api/maintenance?team=blue", map[string]any{}, 403},
			{"another team's cancellation", "/api/reservations/evening/cancel?team=red", map[string]any{}, 404},
			{"a window that does not exist", "/api/maintenance/none/cancel", map[string]any{}, 404},
		} {
			doc := map[string]any{"name": "evening", "team": "blue", "parts": 4, "cpus": 4.0, "mem_gb": 4.0, "grace_s": 30.0,
				"start": b.start.UTC().Format(time.RFC3339), "end": b.start.Add(100 * time.Second).UTC().Format(time.RFC3339)}
			for k, v := range x.doc {
				doc[k] = v
			}
			if got := b.createEntry(x.path, doc); got != x.want {
				t.Errorf("%s got %d, want %d", x.what, got, x.want)
			}
		}
		b.submitJob(15, job.Spec{Team: "blue", ShapeName: "array", Tasks: 2000, EstimateS: 15})
		busy := func() (n int) { return b.RunningTasks("run-000001") }
		b.sleepUntil(20 * time.Second)
		if n := busy(); n > 8 {
			t.Errorf("%d tasks run after the start, and two machines are not held", n)
		}
		most := 0
		for d := 30; d < 60; d++ {
			b.sleepUntil(time.Duration(d) * time.Second)
			most = max(most, busy())
		}
		if most < 20 {
			t.Errorf("at most %d tasks run after the slot has lapsed", most)
		}
		var s calendar.Status
		b.readEntry("/api/reservations/evening", &s)
		if len(s.Outcomes) != 1 || s.Outcomes[0].Kind != calendar.OutcomeLapsed {
			t.Errorf("stored: %+v", s.Outcomes)
		}
	})
}

// TestMaintenance: machines are empty when their maintenance begins, and nothing is
// cut off that could end or be moved. The maintenance takes what is still there.
func TestMaintenance(t *testing.T) {
	tests := []struct {
		name string
		tune func(*config.Calendar)
		do   func(b *calendarSimulation) (stuck string) // a machine that cannot be emptied
		cut  bool                                       // the judge must object
	}{
		{"nothing goes wrong", nil, nil, false},
		{"draining is switched off", func(c *config.Calendar) { c.Drain = false }, nil, true},
		{"the leader ends while it is drained", nil, func(b *calendarSimulation) string {
			b.sleepUntil(-40 * time.Second)
			crashControllers(1)(b.simulation)
			return ""
		}, false},
		{"the state service is down over the start", nil, func(b *calendarSimulation) string {
			b.sleepUntil(-10 * time.Second)
			storeOutage(15 * time.Second)(b.simulation)
			return ""
		}, false},
		{"a service's roll-out is under way", nil, func(b *calendarSimulation) string {
			b.sleepUntil(-57 * time.Second)
			if got := b.createEntry("/api/rollouts", map[string]any{"service": "svc", "from": "run-000004", "to": map[string]any{"uid": "run-999999", "reel": "new"},
				"batch": 1, "ready_s": 2.0, "soak_s": 12.0, "deadline_s": 60.0}); got != 201 {
				b.t.Errorf("the roll-out got %d", got)
			}
			return ""
		}, false},
		{"a worker that will not stop its tasks", nil, func(b *calendarSimulation) string {
			b.sleepUntil(-62 * time.Second)
			k := b.WorkersInZone("a")[0]
			b.Hang([]*emulate.Worker{k}, true)
			b.sleepUntil(30 * time.Second)
			b.Hang([]*emulate.Worker{k}, false)
			return k.Name()
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				b, closeAll := newCalendarSimulation(t, 15, tt.tune)
				defer closeAll()
				// Estimates are wrong by half or more, and the classes' errors are learned.
				b.submitJob(20, job.Spec{Team: "blue", ShapeName: "array", Tasks: 600, EstimateS: 12, Spot: true})
				b.submitJob(200, job.Spec{Team: "blue", ShapeName: "array", Tasks: 6, EstimateS: 200, CheckpointS: 5, SaveS: 3, CPUs: 2})
				b.submitJob(150, job.Spec{Team: "blue", ShapeName: "ensemble", Tasks: 4, EstimateS: 150, CheckpointS: 5, SaveS: 3, CPUs: 2, PriorityName: "urgent"})
				svc := b.submitJob(0, job.Spec{Team: "blue", ShapeName: "daemon", Tasks: 4, PriorityName: "production"})
				time.Sleep(30 * time.Second)
				if got := b.createEntry("/api/maintenance", map[string]any{"name": "night", "yard": "a", "drain_s": 60.0,
					"start": b.start.UTC().Format(time.RFC3339), "end": b.start.Add(100 * time.Second).UTC().Format(time.RFC3339)}); got != 201 {
					t.Fatalf("the window got %d", got)
				}
				ended, stuck := make(chan struct{}), ""
				go func() {
					defer close(ended)
					if tt.do != nil {
						stuck = tt.do(b)
					}
				}()
				serving := 4
				for b.sleepUntil(-60 * time.Second); time.Now().Before(b.start.Add(-10 * time.Second)); time.Sleep(100 * time.Millisecond) {
					serving = min(serving, b.RunningTasks(svc))
				}
				if tt.do == nil && serving < 3 {
					t.Errorf("only %d of 4 replicas run while the zone is drained", serving)
				}
				b.sleepUntil(0)
				b.Kill(b.WorkersInZone("a")) // the service begins
				b.sleepUntil(60 * time.Second)
				<-ended
				if n := len(b.WorkersInZone("a")); !tt.cut && n > 0 {
					t.Errorf("%d machines were rented in the zone meanwhile", n)
				}
				if n := b.RunningTasks(svc) + b.RunningTasks("run-999999"); n < 4 || n > 5 {
					t.Errorf("%d of 4 replicas run", n)
				}
				var cut []string
				for _, e := range b.History() {
					if !e.Start && e.Zone == "a" && e.Host != stuck && e.At.After(b.start.Add(-70*time.Second)) && (e.Cause == emulate.CauseLost || (e.Cause == wire.CauseHalted && e.Task[:10] == "run-000001")) {
						cut = append(cut, e.Task+" "+e.Cause)
					}
				}
				if (len(cut) > 0) != tt.cut {
					slices.Sort(cut)
					t.Errorf("cut off: %v, want some: %v", cut, tt.cut)
				}
				if broken := b.Violations(); len(broken) > 0 {
					t.Errorf("rules broken: %s", strings.Join(broken, "\n"))
				}
			})
		})
	}
}

// TestCold: a slot on rented machines alone, which come up late, or never. None is
// counted twice, and all are returned.
func TestCold(t *testing.T) {
	tests := []struct {
		name  string
		late  time.Duration // of two machines
		most  time.Duration // that the start may be late
		hires int           // machines rented, at most
	}{
		{"in time", 0, calendar.Tolerance(2, 100), 4},
		{"two join late", 40 * time.Second, 45 * time.Second, 6},
		{"two never come up", time.Hour, 75 * time.Second, 6},
		{"two come up after others have taken their place", 63 * time.Second, 75 * time.Second, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				b, closeAll := newCalendarSimulation(t, 12, nil)
				defer closeAll()
				b.Kill(b.RandomWorkers(newRand(1), 12))
				time.Sleep(25 * time.Second) // their leases run out
				b.DelayBoots(2, tt.late)
				if got := b.reserve(map[string]any{"parts": 4}); got != 201 {
					t.Fatalf("the reservation got %d", got)
				}
				id := b.submitJob(25, job.Spec{Team: "blue", ShapeName: "ensemble", Tasks: 4, CPUs: 4, EstimateS: 25, Reservation: "evening"})
				b.sleepUntil(-30 * time.Second)
				if all, _ := b.MachineCounts(); all != 0 {
					t.Errorf("%d machines are rented half a minute before", all)
				}
				if late := b.awaitRunning(id, 4); late > tt.most {
					t.Errorf("it runs %s late, at most %s", late, tt.most)
				}
				time.Sleep(150 * time.Second)
				if all, _ := b.MachineCounts(); all != 0 {
					t.Errorf("%d machines are still there", all)
				}
				if n := b.MachinesProvisioned(); n > tt.hires {
					t.Errorf("%d machines were rented, at most %d", n, tt.hires)
				}
				if broken := b.Violations(); len(broken) > 0 {
					t.Errorf("rules broken: %s", strings.Join(broken, "\n"))
				}
			})
		})
	}
}
