package control

import (
	"testing"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// TestIncompleteGang checks what happens when a gang's member exits because the other
// members did not become ready in time: it is restarted in the same attempt while others
// fetch their images, otherwise the attempt is stopped.
func TestIncompleteGang(t *testing.T) {
	tests := []struct {
		name    string
		phases  []wire.TaskPhase // of the placed members other than the first, which exits
		stopped bool             // the gang's attempt
	}{
		{"the attempt continues while another member fetches its image", []wire.TaskPhase{wire.TaskWaiting, wire.TaskFetching}, false},
		{"the attempt continues while another member's launch is unconfirmed", []wire.TaskPhase{wire.TaskWaiting, ""}, false},
		{"the attempt is stopped if no member fetches its image", []wire.TaskPhase{wire.TaskWaiting, wire.TaskWaiting}, true},
		{"the attempt is stopped if another member has no slot", []wire.TaskPhase{wire.TaskFetching}, true},
	}
	for _, tt := range tests {
		lt := newTestTerm(t)
		now := time.Unix(1000, 0)
		j := lt.jobTable.add(&job.Record{Spec: job.Spec{ID: "run-1", ShapeName: "ensemble", PriorityName: "standard", Tasks: 3, CPUs: 1}}, 1, now)
		j.GangAttempt = 5
		for i, phase := range tt.phases {
			slot := lt.fleet.Assign(lt.addMachine("h1"), fleet.PlacementKey{Job: j, Task: int32(i + 1), Attempt: 5}, now)
			slot.Phase, slot.LaunchSent = phase, true
		}
		lt.taskTracker.taskEnded(&fleet.Slot{PlacementKey: fleet.PlacementKey{Job: j, Attempt: 5}, Phase: wire.TaskExited, Cause: wire.CauseGangIncomplete}, j, lt.addMachine("h2"), now)
		if j.GangStopping != tt.stopped || (!tt.stopped && j.GangAttempt != 5) {
			t.Errorf("%s: attempt stopped %v, want %v", tt.name, j.GangStopping, tt.stopped)
		}
	}
}
