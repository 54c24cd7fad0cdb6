package control

import (
	"fmt"
	"testing"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/place"
	"vetchstream/internal/wire"
)

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
			lt := newTestTerm(t, config.Team{Name: "red"}, config.Team{Name: "blue"})
			lt.updatePriceList([]wire.MachineType{{Name: "small", CPUs: 8, MemGB: 16, Zones: []string{"a"}}})
			for id, team := range map[string]string{"run-1": "red", "run-2": "blue", "run-3": "red"} {
				lt.jobTable.add(&job.Record{Spec: job.Spec{ID: id, Team: team, ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 1}}, 1, time.Unix(1000, 0))
			}
			h := lt.addMachine("h1")
			lt.nameIndex.describeMachine(h, "small", "a", false)
			for _, id := range tt.old {
				team := -1
				if lt.jobTable.get(id) != nil {
					team = lt.jobTable.get(id).TeamIdx
				}
				h.InheritedJobs = append(h.InheritedJobs, fleet.InheritedJob{ID: id, Team: team})
			}
			lt.takeover.inherited = []*fleet.Machine{h}
			teams := make([]place.Team, 2)
			got := lt.takeover.blockedJobs(teams)
			names := ""
			for _, id := range []string{"run-1", "run-2", "run-3"} {
				if got[lt.jobTable.get(id)] {
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
			lt := newTestTerm(t)
			lt.addArrayJob("run-1")
			for i := range tt.fleet {
				h := lt.addMachine(fmt.Sprintf("h%d", i))
				if i < tt.silent {
					lt.takeover.inherited = append(lt.takeover.inherited, h)
					if tt.jobs {
						h.InheritedJobs = []fleet.InheritedJob{{ID: "run-1", Team: -1}}
					}
				}
			}
			lt.takeover.releaseSilent()
			if got := len(lt.machinePool.pendingReleases) == tt.silent; got != tt.want {
				t.Errorf("%d given up, want all: %v", len(lt.machinePool.pendingReleases), tt.want)
			}
		})
	}
}

// TestUnlistedMachineReleased: a machine of an earlier leader that the cloud does not list any more
// is settled by returning it once more; one that may be too new for the list is not.
func TestUnlistedMachineReleased(t *testing.T) {
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
			lt := newTestTerm(t)
			lt.updatePriceList([]wire.MachineType{{Name: "small", CPUs: 8, MemGB: 16, Zones: []string{"a"}}})
			for _, n := range []string{"h1", "h2", "h3"} {
				h := lt.addMachine(n)
				lt.nameIndex.describeMachine(h, "small", "a", false)
				h.Inherited = true
			}
			var list []wire.CloudMachine
			for _, n := range tt.list {
				list = append(list, wire.CloudMachine{Name: n})
			}
			lt.takeover.compareListing(list)
			lt.takeover.reconcile(lt.termStart.Add(tt.after))
			got := ""
			for _, h := range lt.machinePool.pendingReleases {
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
			lt := newTestTerm(t)
			lt.takeover.phases.loaded = lt.termStart.Add(tt.load)
			if tt.meet > 0 {
				lt.takeover.phases.contacted = lt.termStart.Add(tt.meet)
			}
			if got := lt.takeover.contactStart().Add(lt.takeover.silentTimeout()).Sub(lt.termStart); got != tt.want {
				t.Errorf("silent after %v, want %v", got, tt.want)
			}
		})
	}
}
