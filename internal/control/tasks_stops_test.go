package control

import (
	"testing"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// TestIncomplete: a gang's member that has waited in vain comes back with the same
// attempt while others fetch their images, and otherwise the gang begins anew.
func TestIncomplete(t *testing.T) {
	tests := []struct {
		name   string
		phases []wire.TaskPhase // of the members but the first, which leaves
		broken bool
	}{
		{"another fetches", []wire.TaskPhase{wire.TaskWaiting, wire.TaskFetching}, false},
		{"another's launch has not been shown yet", []wire.TaskPhase{wire.TaskWaiting, ""}, false},
		{"nobody fetches any more", []wire.TaskPhase{wire.TaskWaiting, wire.TaskWaiting}, true},
		{"another has no place", []wire.TaskPhase{wire.TaskFetching}, true},
	}
	for _, tt := range tests {
		lt := newTestTerm(t)
		now := time.Unix(1000, 0)
		j := lt.jobTable.add(&job.Record{Spec: job.Spec{ID: "run-1", ShapeName: "ensemble", PriorityName: "standard", Tasks: 3, CPUs: 1}}, 1, now)
		j.GangAttempt = 5
		for i, phase := range tt.phases {
			s := lt.fleet.Assign(lt.addMachine("h1"), fleet.PlacementKey{Job: j, Task: int32(i + 1), Attempt: 5}, now)
			s.Phase, s.LaunchSent = phase, true
		}
		lt.taskTracker.taskEnded(&fleet.Slot{PlacementKey: fleet.PlacementKey{Job: j, Attempt: 5}, Phase: wire.TaskExited, Cause: wire.CauseGangIncomplete}, j, lt.addMachine("h2"), now)
		if j.GangStopping != tt.broken || (!tt.broken && j.GangAttempt != 5) {
			t.Errorf("%s: begins anew %v, want %v", tt.name, j.GangStopping, tt.broken)
		}
	}
}
