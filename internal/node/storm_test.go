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

// rolloutStorm is a season of roll-outs: services, a third of whose builds are bad.
type rolloutStorm struct {
	services int
	replicas int // of a service, at most
	faults   bool
	gatesOff bool // gates are switched off: the judge must object
}

// stormService is one service of a storm.
type stormService struct {
	name            string
	spec            *job.Spec
	image           string // of the next version
	badBuild        bool
	batch           int
	buildKind       int // of builds
	state           string
	reason          string
	rolledBackAfter time.Duration
}

// badBuilds are the ways in which a build is bad.
var badBuilds = []emulate.ImageBehavior{
	{CrashAfter: 200 * time.Millisecond},
	{UnhealthyAfter: 30 * time.Second},
	{UnhealthyAfter: 120 * time.Second},
	{UnhealthyAfter: 5 * time.Second, FlapPeriod: 6 * time.Second},
}

// run plays a storm and returns the services with what became of them, and what
// the judge objects to.
func (st rolloutStorm) run(t *testing.T, seed uint64) (out []*stormService, broken []string) {
	r := rand.New(rand.NewPCG(seed, 14))
	zones := []string{"a", "b", "c", "d"}
	s, closeAll := newSimulation(t, 1, func(c *emulate.Config) {
		c.MaxMachines, c.Limits = 40+st.services*st.replicas/3, nil
		c.Types = []wire.MachineType{{Name: "small", CPUs: 8, MemGB: 64, CacheGB: 10, FetchRate: 1, Price: 0.2, SpotPrice: 0.05, BootS: 4, Zones: zones}}
	}, func(set *config.Settings, tun *config.Tuning) {
		tun.Rollouts.Enabled = true
		if seed%2 == 1 {
			withSharding(set, tun)
		}
	})
	w := s.World
	w.RecordHistory()
	for i := range 8 + st.services*st.replicas/6 {
		w.Boot("small", zones[i%len(zones)], false, 0)
	}
	hc := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DialContext: s.net.Dialer("user"), DisableKeepAlives: true}}
	for i := range st.services {
		n := 3 + r.IntN(st.replicas-2)
		sv := &stormService{name: fmt.Sprintf("svc-%d", i), image: fmt.Sprintf("img-%d-next", i), badBuild: i == 0 || r.IntN(3) == 0, batch: max(1, n/2)}
		sv.spec = &job.Spec{ID: fmt.Sprintf("run-%d", 1000+i), Team: "blue", ShapeName: "daemon", PriorityName: "standard", Tasks: n, CPUs: 1, MemGB: 1, Image: fmt.Sprintf("img-%d", i)}
		if sv.badBuild {
			sv.buildKind = r.IntN(len(badBuilds))
			if st.gatesOff {
				sv.buildKind = 1 // one that crashes at once can stop a roll-out without any gate
			}
			w.SetImageBehavior(sv.image, badBuilds[sv.buildKind])
		}
		out = append(out, sv)
		w.DescribeJob(sv.spec)
		if !s.submit(hc, sv.spec) {
			t.Fatal("a service was not accepted")
		}
	}
	time.Sleep(30 * time.Second)
	for i, sv := range out {
		doc := map[string]any{"service": sv.name, "from": sv.spec.ID, "to": map[string]any{"uid": fmt.Sprintf("run-%d", 5000+i), "reel": sv.image},
			"batch": sv.batch, "most_extra": 1, "soak_s": 150.0, "deadline_s": 400.0}
		if st.gatesOff {
			doc["pass"], doc["fail"], doc["soak_s"], doc["ready_s"] = "true", "false", 0.0, 0.0
		}
		body, err := wire.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		if !s.request(hc, "POST", "/api/rollouts", body, func(status int, _ wire.Status) bool {
			if status == 400 || status == 422 {
				t.Errorf("%s: roll-out refused with %d", sv.name, status)
			}
			return status < 300
		}) {
			t.Fatal("a roll-out was not accepted")
		}
	}
	calm, over := make(chan struct{}), make(chan struct{})
	if !st.faults {
		close(over)
	} else {
		go func() {
			defer close(over)
			for at := 0; at < 600; at += 60 + r.IntN(60) {
				time.Sleep(time.Duration(60+r.IntN(60)) * time.Second)
				select {
				case <-calm:
					return
				default:
				}
				switch zone := zones[r.IntN(len(zones))]; r.IntN(4) {
				case 0:
					crashControllers(1 + r.IntN(3))(s)
				case 1:
					storeOutage(time.Duration(3+r.IntN(12)) * time.Second)(s)
				case 2: // a zone is cut for longer than its leases
					partitionZone(zone, 14*time.Second)(s)
				case 3:
					w.Kill(w.RandomWorkers(r, 1))
				}
			}
		}()
	}
	for range 1200 {
		time.Sleep(2 * time.Second)
		left := 0
		for _, sv := range out {
			if rollout.State(sv.state).Over() {
				continue
			}
			s.pollRollout(hc, sv)
			left++
		}
		if left == 0 {
			break
		}
	}
	time.Sleep(20 * time.Second)
	close(calm)
	<-over
	broken = append(w.Violations(), checkStorm(out, w.History())...)
	closeAll()
	return out, broken
}

func readAll(res *http.Response) []byte {
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return nil
	}
	return b
}

// pollRollout reads what a service's roll-out says.
func (s *simulation) pollRollout(hc *http.Client, sv *stormService) {
	res, err := hc.Get("http://" + simControllers[0].Addr + "/api/rollouts/" + sv.name)
	if err != nil {
		return
	}
	b := readAll(res)
	var st rollout.Status
	if res.StatusCode == http.StatusOK && wire.Unmarshal(b, &st) == nil {
		sv.state, sv.reason = st.State, st.Reason
	}
}

// staleRunningTime is for how long the leader may take a copy for running whose machine
// has gone without a word: a lease.
const staleRunningTime = 11 * time.Second

// checkStorm holds the machines' own history against what was promised.
func checkStorm(all []*stormService, history []emulate.Event) (broken []string) {
	for _, sv := range all {
		ran := map[string]string{} // replica of the next version -> zone of its first start
		running, lost := map[string]int{}, map[string]time.Time{}
		up, first, last := false, time.Time{}, time.Time{}
		for _, e := range history {
			if e.Image != sv.image && e.Image != sv.spec.Image {
				continue
			}
			_, replica, _ := strings.Cut(e.Task, "/")
			if e.Start {
				running[replica]++
			} else {
				running[replica]--
			}
			if e.Image == sv.image {
				if e.Start {
					if _, ok := ran[replica]; !ok {
						ran[replica] = e.Zone
					}
					if first.IsZero() {
						first = e.At
					}
				} else {
					last = e.At
				}
			}
			if e.Cause == emulate.CauseLost {
				lost[replica] = e.At
			}
			// A replica that was stopped on purpose while no other copy of it ran is one
			// that the roll-out took away: there is one extra, so none may be
			// missing; but for a copy whose machine has gone and nobody knows it yet.
			if !e.Start && e.Cause == wire.CauseHalted && up && running[replica] == 0 && e.Image == sv.spec.Image && e.At.Sub(lost[replica]) > staleRunningTime {
				broken = append(broken, fmt.Sprintf("%s fell below its floor: %s was stopped at %v with no copy of it elsewhere", sv.name, e.Task, e.At))
			}
			up = up || len(running) == sv.spec.Tasks
		}
		zones := map[string]bool{}
		for _, z := range ran {
			zones[z] = true
		}
		if sv.badBuild && (len(ran) > sv.batch || len(zones) > 1) {
			broken = append(broken, fmt.Sprintf("%s: the bad build ran as %d replicas in %d zones, a batch is %d", sv.name, len(ran), len(zones), sv.batch))
		}
		if sv.badBuild && sv.state == string(rollout.RolledBack) {
			sv.rolledBackAfter = last.Sub(first)
		}
		if want := map[bool]string{true: string(rollout.RolledBack), false: string(rollout.Done)}[sv.badBuild]; sv.state != want {
			broken = append(broken, fmt.Sprintf("%s (bad: %v) ended %q, want %q: %s", sv.name, sv.badBuild, sv.state, want, sv.reason))
		}
	}
	return broken
}

// TestStorm: roll-outs through crashes, outages, cut zones and dying machines. No
// more than one batch ever runs a bad build, and each service ends on a good one.
// With the gates switched off the judge must object. STORM_SEEDS,
// STORM_SERVICES and STORM_REPLICAS play more of it than continuous integration has time for.
func TestStorm(t *testing.T) {
	number := func(name string, otherwise int) int {
		if n, err := strconv.Atoi(os.Getenv(name)); err == nil && n > 0 {
			return n
		}
		return otherwise
	}
	services, replicas := number("STORM_SERVICES", 6), number("STORM_REPLICAS", 6)
	type play struct {
		name string
		rolloutStorm
		seed    uint64
		objects bool
	}
	plays := []play{{"gates switched off", rolloutStorm{services: 6, replicas: 6, gatesOff: true}, 1, true}, {"no faults", rolloutStorm{services: services, replicas: replicas}, 2, false}}
	for seed := range number("STORM_SEEDS", 2) {
		plays = append(plays, play{fmt.Sprintf("storm %d", seed), rolloutStorm{services: services, replicas: replicas, faults: true}, uint64(100 + seed), false})
	}
	for _, p := range plays {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				all, broken := p.run(t, p.seed)
				var undone []time.Duration
				for _, sv := range all {
					if sv.badBuild {
						undone = append(undone, sv.rolledBackAfter.Round(time.Second))
					}
				}
				slices.Sort(undone)
				t.Logf("bad builds ran for %v", undone)
				for _, sv := range all {
					if sv.rolledBackAfter > 0 {
						t.Logf("UNDONE kind %d after %.0f", sv.buildKind, sv.rolledBackAfter.Seconds())
					}
				}
				if p.objects != (len(broken) > 0) {
					t.Errorf("the judge objects to %d things: %s", len(broken), strings.Join(broken, "\n"))
				}
			})
		})
	}
}
