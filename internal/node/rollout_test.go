package node

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
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
	service *stormService
}

func newRolloutSimulation(t *testing.T, limit float64) (*rolloutSimulation, func()) {
	s, closeAll := newSimulation(t, 1, func(c *emulate.Config) {
		c.MaxMachines, c.Limits = 30, map[string]emulate.Limit{}
		c.Types = []wire.MachineType{{Name: "small", CPUs: 4, MemGB: 64, CacheGB: 10, FetchRate: 1, Price: 0.2, SpotPrice: 0.05, BootS: 4, Zones: []string{"a", "b", "c"}}}
		if limit > 0 {
			c.Limits["red"] = emulate.Limit{CPUs: 14}
		}
	}, func(set *config.Settings, tun *config.Tuning) {
		withOutagePromises(set, tun)
		tun.Rollouts.Enabled = true
	})
	s.RecordHistory()
	for i := range 9 {
		s.Boot("small", []string{"a", "b", "c"}[i%3], false, 0)
	}
	team := "blue"
	if limit > 0 {
		team = "red" // which has a limit of 14 CPUs
	}
	b := &rolloutSimulation{simulation: s, t: t, spec: &job.Spec{ID: "run-1", Team: team, ShapeName: "daemon", PriorityName: "standard", Tasks: 6, CPUs: max(1, limit), MemGB: 1, Image: "old"},
		service: &stormService{name: "svc"},
		client:  &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DialContext: s.net.Dialer("user"), DisableKeepAlives: true}}}
	s.DescribeJob(b.spec)
	if !s.submit(b.client, b.spec) {
		t.Fatal("not accepted")
	}
	b.waitFor(60, func() bool { return s.RunningTasks("run-1") == 6 })
	time.Sleep(5 * time.Second)
	return b, closeAll
}

// waitFor waits for something, for so many seconds at most.
func (b *rolloutSimulation) waitFor(secs int, what func() bool) {
	for range 10 * secs {
		if what() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.t.Errorf("not within %d s; the roll-out is %s (%s)", secs, b.service.state, b.service.reason)
}

func (b *rolloutSimulation) start(edit map[string]any) int {
	doc := map[string]any{"service": "svc", "from": "run-1", "to": map[string]any{"uid": "run-2", "reel": "new"},
		"batch": 2, "most_extra": 1, "ready_s": 2.0, "soak_s": 6.0, "deadline_s": 60.0}
	for k, v := range edit {
		doc[k] = v
	}
	body, err := wire.Marshal(doc)
	if err != nil {
		b.t.Fatal(err)
	}
	got := 0
	b.request(b.client, "POST", "/api/rollouts", body, func(status int, _ wire.Status) bool {
		got = status
		return status < 500
	})
	return got
}

func (b *rolloutSimulation) stateIs(state rollout.State) func() bool {
	return func() bool {
		b.pollRollout(b.client, b.service)
		return b.service.state == string(state)
	}
}

// TestRollouts: roll-outs on whole controllers, through what must not disturb them.
// A user polls the service's first job all the while.
func TestRollouts(t *testing.T) {
	// whenever runs f each time the stored record changes, n times.
	whenever := func(b *rolloutSimulation, n int, f func()) {
		was := uint64(0)
		for n > 0 {
			e, _ := b.store.Entry("r/svc")
			if e.Version != was && was != 0 {
				n--
				f()
			}
			was = e.Version
			time.Sleep(20 * time.Millisecond)
		}
	}
	tests := []struct {
		name  string
		limit float64 // CPUs of a replica, in a team with a limit
		do    func(b *rolloutSimulation)
	}{
		{"a good build", 0, func(b *rolloutSimulation) {
			b.start(nil)
			b.waitFor(200, b.stateIs(rollout.Done))
			b.waitFor(20, func() bool { return b.RunningTasks("run-2") == 6 && b.RunningTasks("run-1") == 0 })
		}},
		{"the leader ends after each of three durable steps", 0, func(b *rolloutSimulation) {
			b.start(nil)
			whenever(b, 3, func() { crashControllers(1)(b.simulation) })
			b.waitFor(400, b.stateIs(rollout.Done))
		}},
		{"the leader ends between a launch and its report", 0, func(b *rolloutSimulation) {
			b.start(nil)
			for n := 1; n <= 3; n++ {
				b.waitFor(100, func() bool { return b.RunningTasks("run-2") >= n })
				crashControllers(1)(b.simulation)
			}
			b.waitFor(400, b.stateIs(rollout.Done))
		}},
		{"all controllers end, and an outage, in the middle of a batch", 0, func(b *rolloutSimulation) {
			b.start(nil)
			b.waitFor(100, func() bool { return b.RunningTasks("run-2") >= 1 })
			crashControllers(3)(b.simulation)
			storeOutage(12 * time.Second)(b.simulation)
			b.waitFor(400, b.stateIs(rollout.Done))
		}},
		{"a second one is refused", 0, func(b *rolloutSimulation) {
			b.start(nil)
			if got := b.start(map[string]any{"to": map[string]any{"uid": "run-3", "reel": "newer"}}); got != 409 {
				b.t.Errorf("the second got %d", got)
			}
			if got := b.start(nil); got != 200 {
				b.t.Errorf("the first once more got %d", got)
			}
			b.waitFor(200, b.stateIs(rollout.Done))
		}},
		{"one that supersedes it comes after the other is taken back", 0, func(b *rolloutSimulation) {
			b.start(nil)
			b.waitFor(100, func() bool { return b.RunningTasks("run-2") >= 1 })
			if got := b.start(map[string]any{"to": map[string]any{"uid": "run-3", "reel": "newer"}, "supersede": true}); got != 201 {
				b.t.Errorf("it got %d", got)
			}
			b.waitFor(300, b.stateIs(rollout.Done))
			b.waitFor(20, func() bool { return b.RunningTasks("run-3") == 6 && b.RunningTasks("run-2") == 0 })
		}},
		{"a bad build, and a good one after it", 0, func(b *rolloutSimulation) {
			b.SetImageBehavior("new", emulate.ImageBehavior{UnhealthyAfter: 4 * time.Second})
			b.start(nil)
			b.waitFor(200, b.stateIs(rollout.RolledBack))
			b.waitFor(60, func() bool { return b.RunningTasks("run-1") == 6 && b.RunningTasks("run-2") == 0 })
			b.start(map[string]any{"to": map[string]any{"uid": "run-3", "reel": "newer"}})
			b.waitFor(200, b.stateIs(rollout.Done))
		}},
		{"the old image fails as well when it is taken back", 0, func(b *rolloutSimulation) {
			b.start(nil)
			b.waitFor(100, func() bool { return b.RunningTasks("run-2") >= 3 })
			b.SetImageBehavior("new", emulate.ImageBehavior{CrashAfter: time.Second})
			b.SetImageBehavior("old", emulate.ImageBehavior{CrashAfter: 500 * time.Millisecond})
			b.waitFor(400, b.stateIs(rollout.Failed))
		}},
		{"its user cancels the service", 0, func(b *rolloutSimulation) {
			b.start(nil)
			b.waitFor(100, func() bool { return b.RunningTasks("run-2") >= 3 })
			b.request(b.client, "POST", "/api/jobs/run-1/abort", nil, func(status int, st wire.Status) bool { return status == 200 && st.Phase == wire.JobAborted })
			b.waitFor(25, func() bool { return b.RunningTasks("run-1") == 0 && b.RunningTasks("run-2") == 0 })
			b.waitFor(20, b.stateIs(rollout.Failed))
		}},
		{"its user cancels the service, and the state service is out at once", 0, func(b *rolloutSimulation) {
			b.start(nil)
			b.waitFor(100, func() bool { return b.RunningTasks("run-2") >= 3 })
			b.request(b.client, "POST", "/api/jobs/run-1/abort", nil, func(status int, st wire.Status) bool { return status == 200 && st.Phase == wire.JobAborted })
			b.store.SetOutage(true)
			b.waitFor(25, func() bool { return b.RunningTasks("run-1") == 0 && b.RunningTasks("run-2") == 0 })
			b.store.SetOutage(false)
			b.waitFor(30, b.stateIs(rollout.Failed))
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
			b.start(map[string]any{"to": map[string]any{"uid": "run-2", "reel": "new", "cpus": 2.3}, "most_extra": 0, "most_missing": 1})
			b.waitFor(400, b.stateIs(rollout.Done))
		}},
		{"health by checks of workers that say nothing themselves", 0, func(b *rolloutSimulation) {
			b.SetImageBehavior("new", emulate.ImageBehavior{OmitHealth: true})
			b.start(map[string]any{"check": map[string]any{"path": "/healthy", "every_s": 1.0}})
			b.waitFor(200, b.stateIs(rollout.Done))
		}},
		{"the leader's checks reach nobody: paused, then on", 0, func(b *rolloutSimulation) {
			b.SetImageBehavior("new", emulate.ImageBehavior{OmitHealth: true})
			b.start(map[string]any{"check": map[string]any{"path": "/healthy", "every_s": 1.0}, "deadline_s": 300.0})
			b.waitFor(100, func() bool { return b.RunningTasks("run-2") >= 1 })
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
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				b, closeAll := newRolloutSimulation(t, tt.limit)
				stop, ended := make(chan struct{}), make(chan struct{})
				go func() { // its user polls the service's first job
					defer close(ended)
					before := ""
					for {
						select {
						case <-stop:
							return
						case <-time.After(2 * time.Second):
						}
						if res, err := b.client.Get("http://" + simControllers[1].Addr + "/api/jobs/run-1"); err == nil {
							var st wire.Status
							body := readAll(res)
							if res.StatusCode == 404 || (res.StatusCode == 200 && wire.Unmarshal(body, &st) == nil) {
								before = b.CheckPoll(b.spec, res.StatusCode, st.Phase, before, strings.Contains(tt.name, "cancels"))
							}
						}
					}
				}()
				tt.do(b)
				close(stop)
				<-ended
				if broken := b.Violations(); len(broken) > 0 {
					t.Errorf("rules broken: %s", strings.Join(broken, "\n"))
				}
				closeAll()
			})
		})
	}
}
