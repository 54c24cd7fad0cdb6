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

// TestStaleAdoptionReleased checks that the cloud's list leads to the release of a
// machine that no longer exists: an earlier leader has released it, and a delayed
// heartbeat has added it again.
func TestStaleAdoptionReleased(t *testing.T) {
	tests := []struct {
		name  string
		lists [][]string // the machine lists received one after the other, as machine names
		want  string     // the released machines; only h2 has sent a heartbeat
	}{
		{"a listed machine is kept", [][]string{{"h1", "h2", "h3"}}, ""},
		{"a machine missing from a list with later machines is released", [][]string{{"h1", "h3"}}, "h2"},
		{"a machine missing from two lists is released once", [][]string{{"h1", "h3"}, {"h3"}}, "h2"},
		{"a machine later than the last listed one is kept", [][]string{{"h1"}}, ""},
		{"a machine is released when a later machine is listed without it", [][]string{{"h1"}, {"h1", "h3"}}, "h2"},
		{"a machine that was listed once is kept until its lease expires", [][]string{{"h2"}, {"h1", "h3"}}, ""},
		{"an empty list releases no machine", [][]string{nil}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lt := newTestTerm(t)
			lt.handleHeartbeat(&wire.Heartbeat{Machine: "h2", Type: "small", Zone: "a", Session: 1, Seq: 4, Tasks: []wire.TaskStatus{{Task: "run-1/0", Attempt: 1, Phase: wire.TaskRunning}}},
				"", func(*rpc.Reply) {})
			for _, names := range tt.lists {
				var list []wire.CloudMachine
				for _, name := range names {
					list = append(list, wire.CloudMachine{Name: name})
				}
				lt.machinePool.applyList(list)
			}
			got := ""
			for _, machine := range lt.machinePool.pendingReleases {
				got += machine.Name
			}
			if got != tt.want {
				t.Errorf("released %q, want %q", got, tt.want)
			}
		})
	}
}

// TestChosenZoneRetained checks that scaling out records the zone chosen for a gang, with
// and without machine requests of calendar reservations in the same pass. If the zone
// were lost, the idle machines provisioned for the gang would be released.
func TestChosenZoneRetained(t *testing.T) {
	for _, requests := range []int{0, 2} {
		t.Run(fmt.Sprintf("with %d reservation requests", requests), func(t *testing.T) {
			lt := newTestTerm(t)
			lt.updatePriceList([]wire.MachineType{{Name: "small", CPUs: 4, MemGB: 16, Zones: []string{"a", "b"}}})
			lt.nameIndex.zoneIndex("a")
			need := place.Resources{CPUs: 4}
			gang := lt.jobTable.add(&job.Record{Spec: job.Spec{ID: "run-1", ShapeName: "ensemble", PriorityName: "idle", Tasks: 2, CPUs: 4, OneZone: true}}, 1, lt.termStart)
			lt.machinePool.setUnmetDemand([]autoscale.UnmetDemand{{Demand: &place.Demand{ID: lt.jobTable.index(gang), Shape: job.Gang, Need: need, Zone: -1, OneZone: true, TasksByZone: make([]int, 2)}, Count: 2, ChosenZone: -7}})
			for range requests {
				lt.reservationHolds.requests = append(lt.reservationHolds.requests, autoscale.UnmetDemand{Demand: &place.Demand{Shape: job.Gang, Need: need, Zone: 0, TasksByZone: make([]int, 2)}, Count: 1})
			}
			lt.machinePool.scaleOut(lt.termStart)
			if got := lt.machinePool.unmetDemand[0].ChosenZone; got < 0 {
				t.Errorf("chosen zone of the gang: got %d, want the index of a zone", got)
			}
		})
	}
}

// TestPartitionedMachinesReleased checks that a machine which sends heartbeats but
// receives no messages is released after its lease and lostGrace, even if it was
// inherited from an earlier leader.
func TestPartitionedMachinesReleased(t *testing.T) {
	longCut := 11*time.Second + lostGrace // longer than the lease and lostGrace
	tests := []struct {
		name      string
		cutFor    time.Duration // how long it has received no messages
		inherited bool          // from an earlier leader, and not fenced yet
		released  bool
	}{
		{"a short inbound partition keeps the machine", 15 * time.Second, false, false},
		{"an inbound partition longer than lease and grace releases the machine", longCut, false, true},
		{"an inherited machine is kept shortly after the takeover", 15 * time.Second, true, false},
		{"an inherited machine is released after lease and grace", longCut, true, true},
	}
	for _, tt := range tests {
		lt := newTestTerm(t, config.Team{Name: "red"})
		lt.updatePriceList([]wire.MachineType{{Name: "x", CPUs: 8, BootS: 1000, Zones: []string{"a"}}})
		now := lt.termStart.Add(tt.cutFor)
		machine := lt.addMachine("h1")
		lt.nameIndex.describeMachine(machine, "x", "a", false)
		machine.Booting, machine.Registered, machine.Fenced, machine.IdleSince = false, true, !tt.inherited, now
		if machine.Inherited = tt.inherited; !tt.inherited {
			lt.fleet.MarkInboundCut(machine, lt.termStart)
		}
		lt.machinePool.scaleIn(now)
		if machine.Releasing != tt.released {
			t.Errorf("%s: released %v, want %v", tt.name, machine.Releasing, tt.released)
		}
	}
}
