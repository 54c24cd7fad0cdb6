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

// TestBlockedJobs checks that the jobs that a silent machine of an earlier leader may
// run are blocked, and that the machine counts against the limits of their teams.
func TestBlockedJobs(t *testing.T) {
	tests := []struct {
		name          string
		inheritedJobs []string
		wantBlocked   string // IDs of the blocked jobs, joined
		wantUsedCPUs  []float64
	}{
		{"a machine without recorded jobs blocks nothing", nil, "", []float64{0, 0}},
		{"one job is blocked and its team charged", []string{"run-1"}, "run-1", []float64{8, 0}},
		{"jobs of both teams are blocked and both teams charged", []string{"run-1", "run-2"}, "run-1run-2", []float64{8, 8}},
		{"two jobs of one team are blocked and the team charged once", []string{"run-1", "run-3"}, "run-1run-3", []float64{8, 0}},
		{"a job of an unknown team charges every team", []string{"run-9"}, "", []float64{8, 8}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lt := newTestTerm(t, config.Team{Name: "red"}, config.Team{Name: "blue"})
			lt.updatePriceList([]wire.MachineType{{Name: "small", CPUs: 8, MemGB: 16, Zones: []string{"a"}}})
			for id, team := range map[string]string{"run-1": "red", "run-2": "blue", "run-3": "red"} {
				lt.jobTable.add(&job.Record{Spec: job.Spec{ID: id, Team: team, ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 1}}, 1, time.Unix(1000, 0))
			}
			machine := lt.addMachine("h1")
			lt.nameIndex.describeMachine(machine, "small", "a", false)
			for _, id := range tt.inheritedJobs {
				team := -1
				if lt.jobTable.get(id) != nil {
					team = lt.jobTable.get(id).TeamIdx
				}
				machine.InheritedJobs = append(machine.InheritedJobs, fleet.InheritedJob{ID: id, Team: team})
			}
			lt.takeover.inherited = []*fleet.Machine{machine}
			teams := make([]place.Team, 2)
			blocked := lt.takeover.blockedJobs(teams)
			blockedIDs := ""
			for _, id := range []string{"run-1", "run-2", "run-3"} {
				if blocked[lt.jobTable.get(id)] {
					blockedIDs += id
				}
			}
			if blockedIDs != tt.wantBlocked || teams[0].Used.CPUs != tt.wantUsedCPUs[0] || teams[1].Used.CPUs != tt.wantUsedCPUs[1] {
				t.Errorf("blocked jobs %q, CPUs charged to the teams %v and %v", blockedIDs, teams[0].Used.CPUs, teams[1].Used.CPUs)
			}
		})
	}
}

// TestSilentMachinesReleased checks that a takeover releases a few silent machines that
// block jobs, but not many of them: a network partition may have cut those off, and
// they resume with their tasks.
func TestSilentMachinesReleased(t *testing.T) {
	tests := []struct {
		name                   string
		machines, silent       int
		haveJobs, wantReleased bool
	}{
		{"3 of 120 silent machines that block jobs are released", 120, 3, true, true},
		{"4 of 120 silent machines are too many and retained", 120, 4, true, false},
		{"silent machines that block no jobs are retained", 120, 3, false, false},
		{"1 of 10 silent machines that blocks a job is released", 10, 1, true, true},
		{"2 of 10 silent machines are too many and retained", 10, 2, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lt := newTestTerm(t)
			lt.addArrayJob("run-1")
			for i := range tt.machines {
				machine := lt.addMachine(fmt.Sprintf("h%d", i))
				if i < tt.silent {
					lt.takeover.inherited = append(lt.takeover.inherited, machine)
					if tt.haveJobs {
						machine.InheritedJobs = []fleet.InheritedJob{{ID: "run-1", Team: -1}}
					}
				}
			}
			lt.takeover.releaseSilent()
			if got := len(lt.machinePool.pendingReleases) == tt.silent; got != tt.wantReleased {
				t.Errorf("%d silent machines were released; want all of them released: %v", len(lt.machinePool.pendingReleases), tt.wantReleased)
			}
		})
	}
}

// TestUnlistedMachineReleased checks that a machine of an earlier leader that the cloud
// no longer lists is released again, which reconciles it, and that a machine that may
// be too new for the list is not.
func TestUnlistedMachineReleased(t *testing.T) {
	tests := []struct {
		name         string
		list         []string
		after        time.Duration
		wantReleased string // released machines, of h1 to h3
	}{
		{"no machine is released if all are listed", []string{"h1", "h2", "h3"}, 2 * time.Second, ""},
		{"a machine missing before a later one is released", []string{"h1", "h3"}, 2 * time.Second, "h2"},
		{"a machine missing at the end may be too new and is retained", []string{"h1", "h2"}, 2 * time.Second, ""},
		{"an empty list releases nothing", nil, 2 * time.Second, ""},
		{"a missing machine is retained during the answer timeout", []string{"h1", "h3"}, 900 * time.Millisecond, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lt := newTestTerm(t)
			lt.updatePriceList([]wire.MachineType{{Name: "small", CPUs: 8, MemGB: 16, Zones: []string{"a"}}})
			for _, machineName := range []string{"h1", "h2", "h3"} {
				machine := lt.addMachine(machineName)
				lt.nameIndex.describeMachine(machine, "small", "a", false)
				machine.Inherited = true
			}
			var list []wire.CloudMachine
			for _, machineName := range tt.list {
				list = append(list, wire.CloudMachine{Name: machineName})
			}
			lt.takeover.compareListing(list)
			lt.takeover.reconcile(lt.termStart.Add(tt.after))
			got := ""
			for _, machine := range lt.machinePool.pendingReleases {
				got += machine.Name
			}
			if got != tt.wantReleased {
				t.Errorf("released machines %q, want %q", got, tt.wantReleased)
			}
		})
	}
}

// TestSilentTimeout checks that the silent timeout follows from the time in which the
// other machines answered. It counts from the end of the load, which an outage of the
// key-value store can delay.
func TestSilentTimeout(t *testing.T) {
	tests := []struct {
		name          string
		load, contact time.Duration // after the start of the term; 0 if not reached yet
		want          time.Duration // after the start of the term
	}{
		{"maximum timeout while the machines have not answered", 50 * time.Millisecond, 0, 3050 * time.Millisecond},
		{"minimum timeout if the machines answered at once", 50 * time.Millisecond, 100 * time.Millisecond, 1250 * time.Millisecond},
		{"twice the contact time if the machines answered slowly", 50 * time.Millisecond, 1050 * time.Millisecond, 2050 * time.Millisecond},
		{"maximum timeout if the machines answered very slowly", 50 * time.Millisecond, 5 * time.Second, 3050 * time.Millisecond},
		{"timeout counts from a load that an outage delayed", 12 * time.Second, 12500 * time.Millisecond, 13200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lt := newTestTerm(t)
			lt.takeover.phases.loaded = lt.termStart.Add(tt.load)
			if tt.contact > 0 {
				lt.takeover.phases.contacted = lt.termStart.Add(tt.contact)
			}
			if got := lt.takeover.contactStart().Add(lt.takeover.silentTimeout()).Sub(lt.termStart); got != tt.want {
				t.Errorf("machines count as silent %v after the start of the term, want %v", got, tt.want)
			}
		})
	}
}
