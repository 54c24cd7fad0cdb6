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

// rolloutStress is a season of roll-outs: services, a third of whose builds are bad.
type rolloutStress struct {
	services    int
	maxReplicas int // of a service
	faults      bool
	gatesOff    bool // the checks must find violations
}

// rolloutService is one service of a storm.
type rolloutService struct {
	name            string
	spec            *job.Spec
	image           string // of the next version
	badBuild        bool
	batch           int
	buildKind       int // index into badBuilds
	state           string
	reason          string
	rolledBackAfter time.Duration // the bad build ran for that long
}

// badBuilds are the ways in which a build is bad.
var badBuilds = []emulate.ImageBehavior{
	{CrashAfter: 200 * time.Millisecond},
	{UnhealthyAfter: 30 * time.Second},
	{UnhealthyAfter: 120 * time.Second},
	{UnhealthyAfter: 5 * time.Second, FlapPeriod: 6 * time.Second},
}

// detectedByGates is the bad build of a storm without gates: one that crashes at once can stop
// a roll-out without any gate.
const detectedByGates = 1

// stressZones are the zones of a storm's machines.
var stressZones = []string{"a", "b", "c", "d"}

// run plays a storm and returns the services with what became of them, and the violations that
// were found.
func (st rolloutStress) run(t *testing.T, seed uint64) (services []*rolloutService, violations []string) {
	r := rand.New(rand.NewPCG(seed, 14))
	s, closeAll := st.start(t, seed)
	hc := s.userClient(5 * time.Second)
	for i := range st.services {
		service := st.drawService(i, r)
		if service.badBuild {
			s.SetImageBehavior(service.image, badBuilds[service.buildKind])
		}
		services = append(services, service)
		s.DescribeJob(service.spec)
		if !s.submit(hc, service.spec) {
			t.Fatal("a service was not accepted")
		}
	}
	time.Sleep(30 * time.Second)
	for i, service := range services {
		st.startRollout(t, s, hc, i, service)
	}
	calm, faultsOver := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(faultsOver)
		if st.faults {
			s.injectRandomFaults(r, calm)
		}
	}()
	s.awaitRollouts(hc, services)
	time.Sleep(20 * time.Second)
	close(calm)
	<-faultsOver
	violations = append(s.Violations(), checkRolloutHistories(services, s.History())...)
	closeAll()
	return services, violations
}

// start starts the controllers and the machines. Of an odd seed the controllers share the
// machines.
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

// drawService draws service i and its next build, of which the first is always bad.
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
func (st rolloutStress) startRollout(t *testing.T, s *simulation, hc *http.Client, i int, service *rolloutService) {
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
	started := s.request(hc, "POST", "/api/rollouts", body, func(status int, _ wire.JobStatus) bool {
		if status == 400 || status == 422 {
			t.Errorf("%s: roll-out refused with %d", service.name, status)
		}
		return status < 300
	})
	if !started {
		t.Fatal("a roll-out was not accepted")
	}
}

// injectRandomFaults injects drawn faults for ten minutes or more, until calm is closed.
func (s *simulation) injectRandomFaults(r *rand.Rand, calm <-chan struct{}) {
	for at := 0; at < 600; at += 60 + r.IntN(60) {
		time.Sleep(time.Duration(60+r.IntN(60)) * time.Second)
		select {
		case <-calm:
			return
		default:
		}
		zone := stressZones[r.IntN(len(stressZones))]
		switch r.IntN(4) {
		case 0:
			crashControllers(1 + r.IntN(3))(s)
		case 1:
			storeOutage(time.Duration(3+r.IntN(12)) * time.Second)(s)
		case 2: // for longer than the leases of the zone's machines
			partitionZone(zone, 14*time.Second)(s)
		case 3:
			killMachines(r, 1)(s)
		}
	}
}

// awaitRollouts polls the roll-outs until all are over, for 40 minutes at most.
func (s *simulation) awaitRollouts(hc *http.Client, services []*rolloutService) {
	for range 1200 {
		time.Sleep(2 * time.Second)
		underWay := 0
		for _, service := range services {
			if rollout.State(service.state).Over() {
				continue
			}
			s.pollRollout(hc, service)
			underWay++
		}
		if underWay == 0 {
			return
		}
	}
}

// readAll reads and closes the body of an answer; nil: it could not be read.
func readAll(res *http.Response) []byte {
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return nil
	}
	return b
}

// pollRollout reads the state of a service's roll-out.
func (s *simulation) pollRollout(hc *http.Client, service *rolloutService) {
	res, err := hc.Get("http://" + simControllers[0].Addr + "/api/rollouts/" + service.name)
	if err != nil {
		return
	}
	b := readAll(res)
	var st rollout.Status
	if res.StatusCode == http.StatusOK && wire.Unmarshal(b, &st) == nil {
		service.state = st.State
		service.reason = st.Reason
	}
}

// stressRun is a storm with its seed, and whether the checks must find violations.
type stressRun struct {
	name string
	rolloutStress
	seed           uint64
	wantViolations bool
}

// envNumber is a positive number in an environment variable, or the default.
func envNumber(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil && n > 0 {
		return n
	}
	return otherwise
}

// TestRolloutStress: roll-outs through crashes, outages, cut zones and dying machines. No
// more than one batch ever runs a bad build, and each service ends on a good one.
// With the gates switched off the checks must find violations. STORM_SEEDS,
// STORM_SERVICES and STORM_REPLICAS play more of it than continuous integration has time for.
func TestRolloutStress(t *testing.T) {
	services, replicas := envNumber("STORM_SERVICES", 6), envNumber("STORM_REPLICAS", 6)
	plays := []stressRun{
		{"gates switched off", rolloutStress{services: 6, maxReplicas: 6, gatesOff: true}, 1, true},
		{"no faults", rolloutStress{services: services, maxReplicas: replicas}, 2, false},
	}
	for seed := range envNumber("STORM_SEEDS", 2) {
		withFaults := rolloutStress{services: services, maxReplicas: replicas, faults: true}
		plays = append(plays, stressRun{fmt.Sprintf("storm %d", seed), withFaults, uint64(100 + seed), false})
	}
	for _, p := range plays {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				services, violations := p.run(t, p.seed)
				logBadBuilds(t, services)
				if p.wantViolations != (len(violations) > 0) {
					t.Errorf("the judge objects to %d things: %s", len(violations), strings.Join(violations, "\n"))
				}
			})
		})
	}
}

// logBadBuilds logs for how long the bad builds ran.
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
			t.Logf("UNDONE kind %d after %.0f", service.buildKind, service.rolledBackAfter.Seconds())
		}
	}
}
