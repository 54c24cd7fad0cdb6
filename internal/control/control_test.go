package control

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"vetchstream/internal/autoscale"
	"vetchstream/internal/config"
	"vetchstream/internal/election"
	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/place"
	"vetchstream/internal/rpc"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

func bench(t testing.TB, teams ...config.Team) *leaderTerm {
	t.Helper()
	set := &config.Settings{Member: "n0"}
	set.Facts.Workers.LeaseS = 10
	set.Facts.Teams = teams
	set.Facts.Zones = []string{"a", "b"}
	nowhere := func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }
	c := New(Deps{Settings: set, State: state.New("state:1", nowhere, StateBudget(set, true)), Tuning: config.Defaults(), Log: slog.New(slog.DiscardHandler),
		Entitled: func(uint64) bool { return false }, Deposed: func(uint64) {}})
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // nothing that is started in the background may run on
	return newLeaderTerm(ctx, c, election.Term{Term: 7, Since: time.Unix(1000, 0)})
}

func (r *leaderTerm) host(name string) *fleet.Host { return r.fleet.Add(name, time.Unix(1000, 0)) }

func (r *leaderTerm) learn(types []wire.MachineType) {
	r.nameIndex.learn(types)
	r.jobTable.rebind()
}

func (r *leaderTerm) array(id string) *job.Job {
	return r.jobTable.add(&job.Record{Spec: job.Spec{ID: id, ShapeName: "array", RankName: "idle", Tasks: 100, CPUs: 1}}, 1, time.Unix(1000, 0))
}

// TestBlame: who is at fault when tasks fail, the machine or the job.
func TestBlame(t *testing.T) {
	type step struct {
		job, host string
		done      bool
	}
	fail := func(j, h string) step { return step{j, h, false} }
	done := func(j, h string) step { return step{j, h, true} }
	tests := []struct {
		name  string
		steps []step
		sick  string // machines that are given up
		held  string // jobs that are held back
	}{
		{"several jobs fail on one machine", []step{fail("run-1", "h1"), fail("run-2", "h1"), fail("run-2", "h1")}, "h1", ""},
		{"one job alone proves nothing", []step{fail("run-1", "h1"), fail("run-1", "h1"), fail("run-1", "h1"), fail("run-1", "h1")}, "", ""},
		{"until it works elsewhere", []step{fail("run-1", "h1"), fail("run-1", "h1"), fail("run-1", "h1"), done("run-1", "h2")}, "h1", ""},
		{"a job that fails everywhere is at fault itself", []step{fail("run-1", "h1"), fail("run-1", "h1"), fail("run-1", "h2"), fail("run-1", "h3"), fail("run-1", "h1")}, "", "run-1"},
		{"a success clears the machine", []step{fail("run-1", "h1"), fail("run-2", "h1"), done("run-3", "h1"), fail("run-2", "h1")}, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := bench(t)
			now := time.Unix(1000, 0)
			jobs := map[string]*job.Job{}
			for i, st := range tt.steps {
				j := jobs[st.job]
				if j == nil {
					j = r.array(st.job)
					jobs[st.job] = j
				}
				s := &fleet.Slot{Key: fleet.Key{Job: j, Task: int32(i)}, Cause: wire.CauseError}
				if st.done {
					s.Cause = wire.CauseDone
				}
				r.taskTracker.ended(s, j, r.host(st.host), now)
			}
			sick, held := "", ""
			for _, h := range r.fleet.All() {
				if h.Draining {
					sick += h.Name
				}
			}
			for id, j := range jobs {
				if now.Before(j.NotBefore) {
					held += id
				}
			}
			if sick != tt.sick || held != tt.held {
				t.Errorf("given up %q, held back %q, want %q and %q", sick, held, tt.sick, tt.held)
			}
		})
	}
}

// TestPace: a machine that is far slower than its kind is given up, one that
// finishes what an earlier leader began is not.
func TestPace(t *testing.T) {
	tests := []struct {
		name    string
		ran     time.Duration // on the machine in question; elsewhere 10 s
		adopted bool          // the others' tasks were met in reports, 2 s before their end
		want    bool
	}{
		{"as fast as others", 11 * time.Second, false, false},
		{"far slower", 25 * time.Second, false, true},
		{"after a takeover", 11 * time.Second, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := bench(t)
			j, now := r.array("run-1"), time.Unix(1000, 0)
			end := func(task int, host string, ran time.Duration, adopted bool) {
				s := &fleet.Slot{Key: fleet.Key{Job: j, Task: int32(task)}, Cause: wire.CauseDone, RunAt: now.Add(-ran), Adopted: adopted}
				r.taskTracker.ended(s, j, r.host(host), now)
			}
			for i := range 10 {
				if tt.adopted {
					end(i, "h1", 2*time.Second, true)
				} else {
					end(i, "h1", 10*time.Second, false)
				}
			}
			for i := range 10 {
				end(20+i, "h2", tt.ran, false)
			}
			if got := r.host("h2").Draining; got != tt.want {
				t.Errorf("given up: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestBlocked: what a silent machine of an earlier leader may run holds back its
// jobs and counts against their teams' limits.
func TestBlocked(t *testing.T) {
	tests := []struct {
		name string
		old  []string
		jobs string // blocked
		used []float64
	}{
		{"nothing was noted", nil, "", []float64{0, 0}},
		{"one job", []string{"run-1"}, "run-1", []float64{8, 0}},
		{"jobs of both teams", []string{"run-1", "run-2"}, "run-1run-2", []float64{8, 8}},
		{"two jobs of a team", []string{"run-1", "run-3"}, "run-1run-3", []float64{8, 0}},
		{"a job of an unknown team", []string{"run-9"}, "", []float64{8, 8}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := bench(t, config.Team{Name: "red"}, config.Team{Name: "blue"})
			r.learn([]wire.MachineType{{Name: "small", CPUs: 8, MemGB: 16, Zones: []string{"a"}}})
			for id, team := range map[string]string{"run-1": "red", "run-2": "blue", "run-3": "red"} {
				r.jobTable.add(&job.Record{Spec: job.Spec{ID: id, Team: team, ShapeName: "array", RankName: "idle", Tasks: 1, CPUs: 1}}, 1, time.Unix(1000, 0))
			}
			h := r.host("h1")
			r.nameIndex.describe(h, "small", "a", false)
			for _, id := range tt.old {
				team := -1
				if r.jobTable.get(id) != nil {
					team = r.jobTable.get(id).TeamIdx
				}
				h.InheritedJobs = append(h.InheritedJobs, fleet.InheritedJob{ID: id, Team: team})
			}
			r.takeover.inherited = []*fleet.Host{h}
			teams := make([]place.Team, 2)
			got := r.takeover.blocked(teams)
			names := ""
			for _, id := range []string{"run-1", "run-2", "run-3"} {
				if got[r.jobTable.get(id)] {
					names += id
				}
			}
			if names != tt.jobs || teams[0].Used.CPUs != tt.used[0] || teams[1].Used.CPUs != tt.used[1] {
				t.Errorf("blocked %q, used %v and %v", names, teams[0].Used.CPUs, teams[1].Used.CPUs)
			}
		})
	}
}

// TestSilent: after a takeover a few silent machines that hold back jobs are given
// up, many are not: they may be cut off, and come back with their work.
func TestSilent(t *testing.T) {
	tests := []struct {
		name          string
		fleet, silent int
		jobs, want    bool
	}{
		{"a few of many", 120, 3, true, true},
		{"too many", 120, 4, true, false},
		{"nothing waits for them", 120, 3, false, false},
		{"one of a small fleet", 10, 1, true, true},
		{"two of a small fleet", 10, 2, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := bench(t)
			r.array("run-1")
			for i := range tt.fleet {
				h := r.host(fmt.Sprintf("h%d", i))
				if i < tt.silent {
					r.takeover.inherited = append(r.takeover.inherited, h)
					if tt.jobs {
						h.InheritedJobs = []fleet.InheritedJob{{ID: "run-1", Team: -1}}
					}
				}
			}
			r.takeover.silent()
			if got := len(r.machinePool.returns) == tt.silent; got != tt.want {
				t.Errorf("%d given up, want all: %v", len(r.machinePool.returns), tt.want)
			}
		})
	}
}

// TestMissing: a machine of an earlier leader that the cloud does not list any more
// is settled by returning it once more; one that may be too new for the list is not.
func TestMissing(t *testing.T) {
	tests := []struct {
		name  string
		list  []string
		after time.Duration
		want  string // returned, of h1 to h3
	}{
		{"all are listed", []string{"h1", "h2", "h3"}, 2 * time.Second, ""},
		{"one is missing", []string{"h1", "h3"}, 2 * time.Second, "h2"},
		{"the last one may be too new", []string{"h1", "h2"}, 2 * time.Second, ""},
		{"an empty list says nothing", nil, 2 * time.Second, ""},
		{"it may be about to answer", []string{"h1", "h3"}, 900 * time.Millisecond, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := bench(t)
			r.learn([]wire.MachineType{{Name: "small", CPUs: 8, MemGB: 16, Zones: []string{"a"}}})
			for _, n := range []string{"h1", "h2", "h3"} {
				h := r.host(n)
				r.nameIndex.describe(h, "small", "a", false)
				h.Inherited = true
			}
			var list []wire.CloudHost
			for _, n := range tt.list {
				list = append(list, wire.CloudHost{Name: n})
			}
			r.takeover.listed(list)
			r.takeover.settle(r.since.Add(tt.after))
			got := ""
			for _, h := range r.machinePool.returns {
				got += h.Name
			}
			if got != tt.want {
				t.Errorf("returned %q, want %q", got, tt.want)
			}
		})
	}
}

// TestStray: a late report of a machine that an earlier leader has returned brings it
// into the ledger with its jobs; the cloud's list shows that it is gone.
func TestStray(t *testing.T) {
	tests := []struct {
		name  string
		lists [][]string
		want  string // returned, of h2 alone
	}{
		{"listed", [][]string{{"h1", "h2", "h3"}}, ""},
		{"missing behind later ones", [][]string{{"h1", "h3"}}, "h2"},
		{"twice", [][]string{{"h1", "h3"}, {"h3"}}, "h2"},
		{"it may be too new for the list", [][]string{{"h1"}}, ""},
		{"first too new, then missing", [][]string{{"h1"}, {"h1", "h3"}}, "h2"},
		{"once listed it is left to its lease", [][]string{{"h2"}, {"h1", "h3"}}, ""},
		{"an empty list says nothing", [][]string{nil}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := bench(t)
			r.report(&wire.Report{Host: "h2", Type: "small", Zone: "a", Session: 1, Seq: 4, Tasks: []wire.TaskReport{{Task: "run-1/0", Attempt: 1, Phase: wire.Running}}},
				"", func(*rpc.Reply) {})
			for _, names := range tt.lists {
				var list []wire.CloudHost
				for _, n := range names {
					list = append(list, wire.CloudHost{Name: n})
				}
				r.machinePool.listed(list)
			}
			got := ""
			for _, h := range r.machinePool.returns {
				got += h.Name
			}
			if got != tt.want {
				t.Errorf("returned %q, want %q", got, tt.want)
			}
		})
	}
}

// TestSilentTime: how long a takeover waits follows from how long the others took
// to answer, and counts from the loading, which an outage can hold up.
func TestSilentTime(t *testing.T) {
	tests := []struct {
		name       string
		load, meet time.Duration // after the term's begin; 0: not yet
		want       time.Duration // after the term's begin
	}{
		{"not met yet", 50 * time.Millisecond, 0, 3050 * time.Millisecond},
		{"met at once", 50 * time.Millisecond, 100 * time.Millisecond, 1250 * time.Millisecond},
		{"met slowly", 50 * time.Millisecond, 1050 * time.Millisecond, 2050 * time.Millisecond},
		{"met very slowly", 50 * time.Millisecond, 5 * time.Second, 3050 * time.Millisecond},
		{"loaded after an outage", 12 * time.Second, 12500 * time.Millisecond, 13200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := bench(t)
			r.takeover.phases.load = r.since.Add(tt.load)
			if tt.meet > 0 {
				r.takeover.phases.meet = r.since.Add(tt.meet)
			}
			if got := r.takeover.begun().Add(r.takeover.silentTime()).Sub(r.since); got != tt.want {
				t.Errorf("silent after %v, want %v", got, tt.want)
			}
		})
	}
}

// TestRetryPacer: submissions beyond what can be stored are told to come back, each
// at a time of its own, and never later than users heed.
func TestRetryPacer(t *testing.T) {
	ts := retryPacer{perS: 10}
	now := time.Unix(1000, 0)
	last := time.Duration(0)
	at := map[int]int{} // second -> submissions that are told to come then
	for range 600 {
		d := ts.retryAfter(now)
		if d < time.Second || d < last || d > longestRetry {
			t.Fatalf("told to come back after %v, the one before after %v", d, last)
		}
		last = d
		at[int(d/time.Second)]++
	}
	if last != longestRetry {
		t.Errorf("the last is told to come after %v", last)
	}
	for s := 2; s < 29; s++ {
		if at[s] > 11 {
			t.Errorf("%d come back after %d s, more than can be stored", at[s], s)
		}
	}
	if d := ts.retryAfter(now.Add(time.Minute)); d != time.Second {
		t.Errorf("a minute later one is turned away for %v", d)
	}
}

// TestNeverSchedulable: what can never run is told from what cannot be told yet.
func TestNeverSchedulable(t *testing.T) {
	types := []wire.MachineType{
		{Name: "small", CPUs: 4, MemGB: 16, Zones: []string{"a"}},
		{Name: "large", CPUs: 64, GPUs: 8, MemGB: 128, Zones: []string{"b"}},
	}
	tests := []struct {
		name  string
		edit  func(*job.Spec)
		bare  bool // no price list yet
		never bool
		known bool
	}{
		{"fits", func(*job.Spec) {}, false, false, true},
		{"no price list yet", func(*job.Spec) {}, true, false, false},
		{"unknown team", func(s *job.Spec) { s.Team = "green" }, true, true, true},
		{"too large", func(s *job.Spec) { s.CPUs = 65 }, false, true, true},
		{"too large for the allowed type", func(s *job.Spec) { s.CPUs, s.Types = 8, []string{"small"} }, false, true, true},
		{"too large for the allowed zone", func(s *job.Spec) { s.CPUs, s.Zone = 8, "a" }, false, true, true},
		{"an unknown type", func(s *job.Spec) { s.Types = []string{"huge"} }, false, true, true},
		{"an array over the limit in all", func(s *job.Spec) { s.Tasks = 100 }, false, false, true},
		{"a gang over the limit", func(s *job.Spec) { s.ShapeName, s.Tasks = "ensemble", 11 }, false, true, true},
		{"a service over the limit", func(s *job.Spec) { s.ShapeName, s.Tasks = "daemon", 11 }, false, true, true},
		{"a gang at the limit", func(s *job.Spec) { s.ShapeName, s.Tasks = "ensemble", 10 }, false, false, true},
		{"a task over the limit", func(s *job.Spec) { s.CPUs = 11 }, false, true, true},
		{"more accelerators than any type has", func(s *job.Spec) { s.GPUs = 9 }, false, true, true},
		{"accelerators that the allowed type has not", func(s *job.Spec) { s.GPUs, s.Types = 1, []string{"small"} }, false, true, true},
		{"accelerators, no price list yet", func(s *job.Spec) { s.GPUs = 1 }, true, false, false},
		{"a task over the limit of accelerators", func(s *job.Spec) { s.GPUs = 7 }, false, true, true},
		{"an array over the limit of accelerators in all", func(s *job.Spec) { s.GPUs, s.Tasks = 2, 100 }, false, false, true},
		{"a gang over the limit of accelerators", func(s *job.Spec) { s.ShapeName, s.GPUs, s.Tasks = "ensemble", 2, 4 }, false, true, true},
		{"a service at the limit of accelerators", func(s *job.Spec) { s.ShapeName, s.GPUs, s.Tasks = "daemon", 2, 3 }, false, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := bench(t, config.Team{Name: "red", CPUsMax: 10, GPUsMax: 6})
			if !tt.bare {
				r.learn(types)
			}
			s := &job.Spec{ID: "run-1", Team: "red", ShapeName: "array", Tasks: 1, CPUs: 1, MemGB: 1}
			tt.edit(s)
			why, known := neverSchedulable(s, r.nameIndex.list(), r.teamQuotas.find(s.Team).now)
			if (why != "") != tt.never || known != tt.known {
				t.Errorf("%q, known %v", why, known)
			}
		})
	}
}

// TestChosen: the zone in which a gang gathers is known after a look at what to rent,
// beside slots that are looked at too. Without it the idle machines that the gang
// gathers were returned.
func TestChosen(t *testing.T) {
	for _, slots := range []int{0, 2} {
		t.Run(fmt.Sprintf("%d slots", slots), func(t *testing.T) {
			r := bench(t)
			r.learn([]wire.MachineType{{Name: "small", CPUs: 4, MemGB: 16, Zones: []string{"a", "b"}}})
			r.nameIndex.zone("a")
			need := place.Amount{CPUs: 4}
			gang := r.jobTable.add(&job.Record{Spec: job.Spec{ID: "run-1", ShapeName: "ensemble", RankName: "idle", Tasks: 2, CPUs: 4, OneZone: true}}, 1, r.since)
			r.machinePool.want([]autoscale.Want{{Demand: &place.Demand{ID: r.jobTable.index(gang), Shape: job.Gang, Need: need, Zone: -1, OneZone: true, InZone: make([]int, 2)}, Count: 2, Chosen: -7}})
			for range slots {
				r.reservationHolds.requests = append(r.reservationHolds.requests, autoscale.Want{Demand: &place.Demand{Shape: job.Gang, Need: need, Zone: 0, InZone: make([]int, 2)}, Count: 1})
			}
			r.machinePool.rent(r.since)
			if got := r.machinePool.wants[0].Chosen; got < 0 {
				t.Errorf("chosen zone %d", got)
			}
		})
	}
}

// TestAdmissionRefusal: what can never run is refused, and what cannot be judged yet waits.
func TestAdmissionRefusal(t *testing.T) {
	types := []wire.MachineType{{Name: "small", CPUs: 4, MemGB: 16, Zones: []string{"a"}}, {Name: "wide", CPUs: 8, GPUs: 2, MemGB: 16, Zones: []string{"a", "b"}}}
	tests := []struct {
		name string
		edit func(*job.Spec)
		want int // 0: it may be taken in
	}{
		{"an array", func(*job.Spec) {}, 0},
		{"an array of more tasks than the limit has room for at a time", func(s *job.Spec) { s.Tasks = 1000 }, 0},
		{"an unknown team", func(s *job.Spec) { s.Team = "green" }, 422},
		{"more CPUs than any machine", func(s *job.Spec) { s.CPUs = 9 }, 422},
		{"more memory", func(s *job.Spec) { s.MemGB = 17 }, 422},
		{"more accelerators", func(s *job.Spec) { s.GPUs = 3 }, 422},
		{"accelerators on a type that has none", func(s *job.Spec) { s.GPUs, s.Types = 1, []string{"small"} }, 422},
		{"an unknown type", func(s *job.Spec) { s.Types = []string{"huge"} }, 422},
		{"an unknown type beside a known one", func(s *job.Spec) { s.Types = []string{"huge", "small"} }, 0},
		{"an unknown zone", func(s *job.Spec) { s.Zone = "z" }, 422},
		{"a zone without its type", func(s *job.Spec) { s.Zone, s.Types = "b", []string{"small"} }, 422},
		{"a task beyond the team's limit", func(s *job.Spec) { s.Team, s.CPUs = "blue", 3 }, 422},
		{"a gang beyond it", func(s *job.Spec) { s.Team, s.ShapeName, s.Tasks = "blue", "ensemble", 3 }, 422},
		{"a gang within it", func(s *job.Spec) { s.Team, s.ShapeName, s.Tasks = "blue", "ensemble", 2 }, 0},
		{"a service beyond it", func(s *job.Spec) { s.Team, s.ShapeName, s.Tasks = "blue", "daemon", 3 }, 422},
		{"a gang beyond the limit of accelerators", func(s *job.Spec) { s.ShapeName, s.Tasks, s.GPUs = "ensemble", 3, 2 }, 422},
		{"a gang that is apart, in two zones", func(s *job.Spec) { s.ShapeName, s.Spread = "ensemble", true }, 0},
		{"a gang that is apart, with machines in one zone", func(s *job.Spec) { s.ShapeName, s.Spread, s.Types = "ensemble", true, []string{"small"} }, 422},
		{"a gang that is apart and in one zone", func(s *job.Spec) { s.ShapeName, s.Spread, s.OneZone = "ensemble", true, true }, 422},
		{"a gang of one that is apart", func(s *job.Spec) { s.ShapeName, s.Spread, s.Zone, s.Tasks = "ensemble", true, "a", 1 }, 0},
		{"an array that is apart, in one zone: a half at a time", func(s *job.Spec) { s.Spread, s.Zone = true, "a" }, 0},
	}
	r := bench(t, config.Team{Name: "red", GPUsMax: 5}, config.Team{Name: "blue", CPUsMax: 2})
	for _, tt := range tests {
		s := job.Spec{ID: "run-1", Team: "red", ShapeName: "array", RankName: "idle", Tasks: 2, CPUs: 1, MemGB: 1}
		tt.edit(&s)
		got := 0
		if p := r.c.admissionRefusal(&s, types, r.teamQuotas.find(s.Team)); p != nil {
			got = p.Status
		}
		if got != tt.want {
			t.Errorf("%s: %d, want %d", tt.name, got, tt.want)
		}
		if p := r.c.admissionRefusal(&s, nil, r.teamQuotas.find(s.Team)); s.Team != "green" && (p == nil || p.Status != 503) {
			t.Errorf("%s, types not known: %v, want 503", tt.name, p)
		}
	}
}
