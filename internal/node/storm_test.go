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

// storm is a season of roll-outs: services, a third of whose builds are bad.
type storm struct {
	services int
	replicas int // of a service, at most
	faults   bool
	open     bool // gates are switched off: the judge must object
}

// served is one service of a storm.
type served struct {
	name   string
	spec   *job.Spec
	image  string // of the next version
	bad    bool
	batch  int
	kind   int // of builds
	state  string
	reason string
	undone time.Duration
}

// builds are the ways in which a build is bad.
var builds = []emulate.Image{
	{CrashAfter: 200 * time.Millisecond},
	{BadAfter: 30 * time.Second},
	{BadAfter: 120 * time.Second},
	{BadAfter: 5 * time.Second, Flap: 6 * time.Second},
}

// play plays a storm and returns the services with what became of them, and what
// the judge objects to.
func (st storm) play(t *testing.T, seed uint64) (out []*served, broken []string) {
	r := rand.New(rand.NewPCG(seed, 14))
	zones := []string{"a", "b", "c", "d"}
	s, closeAll := newSim(t, 1, func(c *emulate.Config) {
		c.Most, c.Limits = 40+st.services*st.replicas/3, nil
		c.Types = []wire.MachineType{{Name: "small", CPUs: 8, MemGB: 64, CacheGB: 10, FetchRate: 1, Price: 0.2, SpotPrice: 0.05, BootS: 4, Zones: zones}}
	}, func(set *config.Settings, tun *config.Tuning) {
		tun.Rollouts.Enabled = true
		if seed%2 == 1 {
			shared(set, tun)
		}
	})
	w := s.World
	w.Keep()
	for i := range 8 + st.services*st.replicas/6 {
		w.Boot("small", zones[i%len(zones)], false, 0)
	}
	hc := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DialContext: s.net.Dialer("user"), DisableKeepAlives: true}}
	for i := range st.services {
		n := 3 + r.IntN(st.replicas-2)
		sv := &served{name: fmt.Sprintf("svc-%d", i), image: fmt.Sprintf("img-%d-next", i), bad: i == 0 || r.IntN(3) == 0, batch: max(1, n/2)}
		sv.spec = &job.Spec{ID: fmt.Sprintf("run-%d", 1000+i), Team: "blue", ShapeName: "daemon", RankName: "standard", Tasks: n, CPUs: 1, MemGB: 1, Image: fmt.Sprintf("img-%d", i)}
		if sv.bad {
			sv.kind = r.IntN(len(builds))
			if st.open {
				sv.kind = 1 // one that crashes at once can stop a roll-out without any gate
			}
			w.Behave(sv.image, builds[sv.kind])
		}
		out = append(out, sv)
		w.Describe(sv.spec)
		if !s.submit(hc, sv.spec) {
			t.Fatal("a service was not accepted")
		}
	}
	time.Sleep(30 * time.Second)
	for i, sv := range out {
		doc := map[string]any{"service": sv.name, "from": sv.spec.ID, "to": map[string]any{"uid": fmt.Sprintf("run-%d", 5000+i), "reel": sv.image},
			"batch": sv.batch, "most_extra": 1, "soak_s": 150.0, "deadline_s": 400.0}
		if st.open {
			doc["pass"], doc["fail"], doc["soak_s"], doc["ready_s"] = "true", "false", 0.0, 0.0
		}
		body, err := wire.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		if !s.user(hc, "POST", "/api/rollouts", body, func(status int, _ wire.Status) bool {
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
					crash(1 + r.IntN(3))(s)
				case 1:
					outage(time.Duration(3+r.IntN(12)) * time.Second)(s)
				case 2: // a zone is cut for longer than its leases
					cutZone(zone, 14*time.Second)(s)
				case 3:
					w.Kill(w.Any(r, 1))
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
			s.status(hc, sv)
			left++
		}
		if left == 0 {
			break
		}
	}
	time.Sleep(20 * time.Second)
	close(calm)
	<-over
	broken = append(w.Broken(), judgeStorm(out, w.History())...)
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

// status reads what a service's roll-out says.
func (s *sim) status(hc *http.Client, sv *served) {
	res, err := hc.Get("http://" + controllers[0].Addr + "/api/rollouts/" + sv.name)
	if err != nil {
		return
	}
	b := readAll(res)
	var st rollout.Status
	if res.StatusCode == http.StatusOK && wire.Unmarshal(b, &st) == nil {
		sv.state, sv.reason = st.State, st.Reason
	}
}

// lostTime is for how long the leader may take a copy for running whose machine
// has gone without a word: a lease.
const lostTime = 11 * time.Second

// judgeStorm holds the machines' own history against what was promised.
func judgeStorm(all []*served, history []emulate.Event) (broken []string) {
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
			if e.Cause == emulate.Lost {
				lost[replica] = e.At
			}
			// A replica that was stopped on purpose while no other copy of it ran is one
			// that the roll-out took away: there is one extra, so none may be
			// missing; but for a copy whose machine has gone and nobody knows it yet.
			if !e.Start && e.Cause == wire.CauseHalted && up && running[replica] == 0 && e.Image == sv.spec.Image && e.At.Sub(lost[replica]) > lostTime {
				broken = append(broken, fmt.Sprintf("%s fell below its floor: %s was stopped at %v with no copy of it elsewhere", sv.name, e.Task, e.At))
			}
			up = up || len(running) == sv.spec.Tasks
		}
		zones := map[string]bool{}
		for _, z := range ran {
			zones[z] = true
		}
		if sv.bad && (len(ran) > sv.batch || len(zones) > 1) {
			broken = append(broken, fmt.Sprintf("%s: the bad build ran as %d replicas in %d zones, a batch is %d", sv.name, len(ran), len(zones), sv.batch))
		}
		if sv.bad && sv.state == string(rollout.RolledBack) {
			sv.undone = last.Sub(first)
		}
		if want := map[bool]string{true: string(rollout.RolledBack), false: string(rollout.Done)}[sv.bad]; sv.state != want {
			broken = append(broken, fmt.Sprintf("%s (bad: %v) ended %q, want %q: %s", sv.name, sv.bad, sv.state, want, sv.reason))
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
		storm
		seed    uint64
		objects bool
	}
	plays := []play{{"gates switched off", storm{services: 6, replicas: 6, open: true}, 1, true}, {"no faults", storm{services: services, replicas: replicas}, 2, false}}
	for seed := range number("STORM_SEEDS", 2) {
		plays = append(plays, play{fmt.Sprintf("storm %d", seed), storm{services: services, replicas: replicas, faults: true}, uint64(100 + seed), false})
	}
	for _, p := range plays {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				all, broken := p.play(t, p.seed)
				var undone []time.Duration
				for _, sv := range all {
					if sv.bad {
						undone = append(undone, sv.undone.Round(time.Second))
					}
				}
				slices.Sort(undone)
				t.Logf("bad builds ran for %v", undone)
				for _, sv := range all {
					if sv.undone > 0 {
						t.Logf("UNDONE kind %d after %.0f", sv.kind, sv.undone.Seconds())
					}
				}
				if p.objects != (len(broken) > 0) {
					t.Errorf("the judge objects to %d things: %s", len(broken), strings.Join(broken, "\n"))
				}
			})
		})
	}
}
