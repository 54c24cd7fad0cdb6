package control

import (
	"fmt"
	"testing"
	"time"

	"vetchstream/internal/autoscale"
	"vetchstream/internal/config"
	"vetchstream/internal/job"
	"vetchstream/internal/place"
	"vetchstream/internal/rpc"
	"vetchstream/internal/wire"
)

// TestStaleAdoptionReleased: a late report of a machine that an earlier leader has returned brings it
// into the ledger with its jobs; the cloud's list shows that it is gone.
func TestStaleAdoptionReleased(t *testing.T) {
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
			lt := newTestTerm(t)
			lt.heartbeat(&wire.Heartbeat{Host: "h2", Type: "small", Zone: "a", Session: 1, Seq: 4, Tasks: []wire.TaskStatus{{Task: "run-1/0", Attempt: 1, Phase: wire.TaskRunning}}},
				"", func(*rpc.Reply) {})
			for _, names := range tt.lists {
				var list []wire.CloudMachine
				for _, n := range names {
					list = append(list, wire.CloudMachine{Name: n})
				}
				lt.machinePool.applyList(list)
			}
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

// TestChosenZoneRetained: the zone in which a gang gathers is known after a look at what to rent,
// beside slots that are looked at too. Without it the idle machines that the gang
// gathers were returned.
func TestChosenZoneRetained(t *testing.T) {
	for _, slots := range []int{0, 2} {
		t.Run(fmt.Sprintf("%d slots", slots), func(t *testing.T) {
			lt := newTestTerm(t)
			lt.updatePriceList([]wire.MachineType{{Name: "small", CPUs: 4, MemGB: 16, Zones: []string{"a", "b"}}})
			lt.nameIndex.zoneIndex("a")
			need := place.Resources{CPUs: 4}
			gang := lt.jobTable.add(&job.Record{Spec: job.Spec{ID: "run-1", ShapeName: "ensemble", PriorityName: "idle", Tasks: 2, CPUs: 4, OneZone: true}}, 1, lt.termStart)
			lt.machinePool.setUnmetDemand([]autoscale.UnmetDemand{{Demand: &place.Demand{ID: lt.jobTable.index(gang), Shape: job.Gang, Need: need, Zone: -1, OneZone: true, TasksByZone: make([]int, 2)}, Count: 2, ChosenZone: -7}})
			for range slots {
				lt.reservationHolds.requests = append(lt.reservationHolds.requests, autoscale.UnmetDemand{Demand: &place.Demand{Shape: job.Gang, Need: need, Zone: 0, TasksByZone: make([]int, 2)}, Count: 1})
			}
			lt.machinePool.scaleOut(lt.termStart)
			if got := lt.machinePool.unmetDemand[0].ChosenZone; got < 0 {
				t.Errorf("chosen zone %d", got)
			}
		})
	}
}

// TestPartitionedMachinesReturned: machines that report and take in nothing are left in time, and
// returned after their lease and a while.
func TestPartitionedMachinesReturned(t *testing.T) {
	patience := 11*time.Second + lostGrace
	tests := []struct {
		name     string
		deaf     time.Duration // since when
		old      bool          // of an earlier leader, which it has not been fenced from
		returned bool
	}{
		{"for a short while", 15 * time.Second, false, false},
		{"for longer than its lease and a while", patience, false, true},
		{"of an earlier leader, soon after the takeover", 15 * time.Second, true, false},
		{"of an earlier leader, for long", patience, true, true},
	}
	for _, tt := range tests {
		lt := newTestTerm(t, config.Team{Name: "red"})
		lt.updatePriceList([]wire.MachineType{{Name: "x", CPUs: 8, BootS: 1000, Zones: []string{"a"}}})
		now := lt.termStart.Add(tt.deaf)
		h := lt.addMachine("h1")
		lt.nameIndex.describeHost(h, "x", "a", false)
		h.Booting, h.Registered, h.Fenced, h.IdleSince = false, true, !tt.old, now
		if h.Inherited = tt.old; !tt.old {
			lt.fleet.MarkInboundCut(h, lt.termStart)
		}
		lt.machinePool.scaleIn(now)
		if h.Releasing != tt.returned {
			t.Errorf("%s: returned %v, want %v", tt.name, h.Releasing, tt.returned)
		}
	}
}
