package node

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
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

// rolloutStress configures a stress test of concurrent roll-outs, about a third of them to a bad
// build.
type rolloutStress struct {
	services    int
	maxReplicas int // of each service
	faults      bool
	gatesOff    bool // the gates always pass, so that the checks must find violations
}

// rolloutService is a service with its roll-out.
type rolloutService struct {
	name            string
	spec            *job.Spec
	image           string // of the next version
	badBuild        bool
	batch           int
	buildKind       int // index into badBuilds
	state           string
	reason          string
	rolledBackAfter time.Duration // how long the bad build ran
}

// badBuilds are the behaviours of bad builds.
var badBuilds = []emulate.ImageBehavior{
	{CrashAfter: 200 * time.Millisecond},
	{UnhealthyAfter: 30 * time.Second},
	{UnhealthyAfter: 120 * time.Second},
	{UnhealthyAfter: 5 * time.Second, FlapPeriod: 6 * time.Second},
}

// detectedByGates indexes the bad build of the run with the gates switched off: one that only gates
// detect. A build that crashes at once could stop its roll-out without any gate.
const detectedByGates = 1

// stressZones are the zones of the stress test's machines.
var stressZones = []string{"a", "b", "c", "d"}

// run runs the stress test with a seed, and returns the services with the results of their
// roll-outs and the violations that the checks found.
func (st rolloutStress) run(t *testing.T, seed uint64) (services []*rolloutService, violations []string) {
	r := rand.New(rand.NewPCG(seed, 14))
	s, closeAll := st.start(t, seed)
	client := s.userClient(5 * time.Second)
	for i := range st.services {
		service := st.drawService(i, r)
		if service.badBuild {
			s.SetImageBehavior(service.image, badBuilds[service.buildKind])
		}
		services = append(services, service)
		s.DescribeJob(service.spec)
		if !s.submit(client, service.spec) {
			t.Fatal("the submission of a service was not accepted")
		}
	}
	time.Sleep(30 * time.Second)
	for i, service := range services {
		st.startRollout(t, s, client, i, service)
	}
	stopFaults, faultsDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(faultsDone)
		if st.faults {
			s.injectRandomFaults(r, stopFaults)
		}
	}()
	s.awaitRollouts(client, services)
	time.Sleep(20 * time.Second)
	close(stopFaults)
	<-faultsDone
	violations = append(s.Violations(), checkRolloutHistories(services, s.History())...)
	closeAll()
	return services, violations
}

// start starts the controllers and the machines, with sharding if the seed is odd.
func (st rolloutStress) start(t *testing.T, seed uint64) (*simulation, func()) {
	editCluster := func(c *emulate.Config) {
		c.MaxMachines = 40 + st.services*st.maxReplicas/3
		c.Limits = nil
		c.Types = []wire.MachineType{
			{Name: "small", CPUs: 8, MemGB: 64, CacheGB: 10, FetchRate: 1, Price: 0.2, SpotPrice: 0.05, BootS: 4, Zones: stressZones},
		}
	}
	configure := func(set *config.Settings, tun *config.Tuning) {
		tun.Rollouts.Enabled = true
		if seed%2 == 1 {
			withSharding(set, tun)
		}
	}
	s, closeAll := newSimulation(t, 1, editCluster, configure)
	s.RecordHistory()
	for i := range 8 + st.services*st.maxReplicas/6 {
		s.Boot("small", stressZones[i%len(stressZones)], false, 0)
	}
	return s, closeAll
}

// drawService draws service i and its next build, which is always bad for the first service.
func (st rolloutStress) drawService(i int, r *rand.Rand) *rolloutService {
	replicas := 3 + r.IntN(st.maxReplicas-2)
	service := &rolloutService{
		name:     fmt.Sprintf("svc-%d", i),
		image:    fmt.Sprintf("img-%d-next", i),
		badBuild: i == 0 || r.IntN(3) == 0,
		batch:    max(1, replicas/2),
	}
	service.spec = &job.Spec{
		ID:           fmt.Sprintf("run-%d", 1000+i),
		Team:         "blue",
		ShapeName:    "daemon",
		PriorityName: "standard",
		Tasks:        replicas,
		CPUs:         1,
		MemGB:        1,
		Image:        fmt.Sprintf("img-%d", i),
	}
	if service.badBuild {
		service.buildKind = r.IntN(len(badBuilds))
		if st.gatesOff {
			service.buildKind = detectedByGates
		}
	}
	return service
}

// startRollout starts the roll-out of service i.
func (st rolloutStress) startRollout(t *testing.T, s *simulation, client *http.Client, i int, service *rolloutService) {
	t.Helper()
	fields := map[string]any{
		"service":    service.name,
		"from":       service.spec.ID,
		"to":         map[string]any{"uid": fmt.Sprintf("run-%d", 5000+i), "reel": service.image},
		"batch":      service.batch,
		"most_extra": 1,
		"soak_s":     150.0,
		"deadline_s": 400.0,
	}
	if st.gatesOff {
		fields["pass"] = "true"
		fields["fail"] = "false"
		fields["soak_s"] = 0.0
		fields["ready_s"] = 0.0
	}
	body, err := wire.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	started := s.request(client, "POST", "/api/rollouts", body, func(status int, _ wire.JobStatus) bool {
		if status == 400 || status == 422 {
			t.Errorf("%s: roll-out request: HTTP status %d", service.name, status)
		}
		return status < 300
	})
	if !started {
		t.Fatal("the request for a roll-out was not accepted")
	}
}

// injectRandomFaults injects one random fault after the other for ten minutes or more, or until
// stopFaults is closed.
func (s *simulation) injectRandomFaults(r *rand.Rand, stopFaults <-chan struct{}) {
	for at := 0; at < 600; at += 60 + r.IntN(60) {
		time.Sleep(time.Duration(60+r.IntN(60)) * time.Second)
		select {
		case <-stopFaults:
			return
		default:
		}
		zone := stressZones[r.IntN(len(stressZones))]
		switch r.IntN(4) {
		case 0:
			crashControllers(1 + r.IntN(3))(s)
		case 1:
			storeOutage(time.Duration(3+r.IntN(12)) * time.Second)(s)
		case 2: // longer than the leases of the zone's machines
			partitionZone(zone, 14*time.Second)(s)
		case 3:
			killMachines(r, 1)(s)
		}
	}
}

// awaitRollouts polls the roll-outs until all have ended, for 40 minutes at most.
func (s *simulation) awaitRollouts(client *http.Client, services []*rolloutService) {
	for range 1200 {
		time.Sleep(2 * time.Second)
		unfinished := 0
		for _, service := range services {
			if rollout.State(service.state).Ended() {
				continue
			}
			s.pollRollout(client, service)
			unfinished++
		}
		if unfinished == 0 {
			return
		}
	}
}

// readAll reads and closes the body of a response; nil: reading failed.
func readAll(res *http.Response) []byte {
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil
	}
	return body
}

// pollRollout reads the state of a service's roll-out.
func (s *simulation) pollRollout(client *http.Client, service *rolloutService) {
	res, err := client.Get("http://" + simControllers[0].Addr + "/api/rollouts/" + service.name)
	if err != nil {
		return
	}
	body := readAll(res)
	var status rollout.Status
	if res.StatusCode == http.StatusOK && wire.Unmarshal(body, &status) == nil {
		service.state = status.State
		service.reason = status.Reason
	}
}

// stressRun is a stress test with its seed, and whether the checks must find violations.
type stressRun struct {
	name string
	rolloutStress
	seed           uint64
	wantViolations bool
}

// envNumber returns the positive number in an environment variable, or the default.
func envNumber(name string, defaultValue int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil && n > 0 {
		return n
	}
	return defaultValue
}

// TestRolloutStress runs concurrent roll-outs during controller crashes, store outages, zone
// partitions and losses of machines. A bad build must never run on more than one batch, and each
// service has to end on a good build. With the gates switched off the checks must find violations.
// The environment variables STORM_SEEDS, STORM_SERVICES and STORM_REPLICAS request larger runs
// than continuous integration has time for.
func TestRolloutStress(t *testing.T) {
	services, replicas := envNumber("STORM_SERVICES", 6), envNumber("STORM_REPLICAS", 6)
	runs := []stressRun{
		{"gates switched off: checks find violations", rolloutStress{services: 6, maxReplicas: 6, gatesOff: true}, 1, true},
		{"no faults: no violations", rolloutStress{services: services, maxReplicas: replicas}, 2, false},
	}
	for seed := range envNumber("STORM_SEEDS", 2) {
		withFaults := rolloutStress{services: services, maxReplicas: replicas, faults: true}
		runs = append(runs, stressRun{fmt.Sprintf("random faults, seed %d: no violations", seed), withFaults, uint64(100 + seed), false})
	}
	for _, tt := range runs {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				services, violations := tt.run(t, tt.seed)
				logBadBuilds(t, services)
				if tt.wantViolations != (len(violations) > 0) {
					t.Errorf("unexpected result of the checks, %d violations: %s", len(violations), strings.Join(violations, "\n"))
				}
			})
		})
	}
}

// logBadBuilds logs how long the bad builds ran.
func logBadBuilds(t *testing.T, services []*rolloutService) {
	t.Helper()
	var times []time.Duration
	for _, service := range services {
		if service.badBuild {
			times = append(times, service.rolledBackAfter.Round(time.Second))
		}
	}
	slices.Sort(times)
	t.Logf("bad builds ran for %v", times)
	for _, service := range services {
		if service.rolledBackAfter > 0 {
			t.Logf("bad build of kind %d ran for %.0f s until it was rolled back", service.buildKind, service.rolledBackAfter.Seconds())
		}
	}
}
