package control

import (
	"testing"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// TestAttributeFailure checks whether failing tasks are attributed to the machine, which
// is quarantined, or to the job, which is delayed.
func TestAttributeFailure(t *testing.T) {
	type step struct {
		job, machine string
		done         bool
	}
	fail := func(j, machine string) step { return step{j, machine, false} }
	done := func(j, machine string) step { return step{j, machine, true} }
	tests := []struct {
		name        string
		steps       []step
		quarantined string // names of the quarantined machines
		delayed     string // IDs of the jobs with backoff
	}{
		{"several jobs failing on one machine quarantine it", []step{fail("run-1", "h1"), fail("run-2", "h1"), fail("run-2", "h1")}, "h1", ""},
		{"a single job failing on one machine does not quarantine it", []step{fail("run-1", "h1"), fail("run-1", "h1"), fail("run-1", "h1"), fail("run-1", "h1")}, "", ""},
		{"a single job that succeeds elsewhere quarantines the machine it failed on", []step{fail("run-1", "h1"), fail("run-1", "h1"), fail("run-1", "h1"), done("run-1", "h2")}, "h1", ""},
		{"a job failing on every machine is delayed", []step{fail("run-1", "h1"), fail("run-1", "h1"), fail("run-1", "h2"), fail("run-1", "h3"), fail("run-1", "h1")}, "", "run-1"},
		{"a success resets the failures of the machine", []step{fail("run-1", "h1"), fail("run-2", "h1"), done("run-3", "h1"), fail("run-2", "h1")}, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lt := newTestTerm(t)
			now := time.Unix(1000, 0)
			jobs := map[string]*job.Job{}
			for i, taskStep := range tt.steps {
				j := jobs[taskStep.job]
				if j == nil {
					j = lt.addArrayJob(taskStep.job)
					jobs[taskStep.job] = j
				}
				slot := &fleet.Slot{PlacementKey: fleet.PlacementKey{Job: j, Task: int32(i)}, Cause: wire.CauseError}
				if taskStep.done {
					slot.Cause = wire.CauseDone
				}
				lt.taskTracker.taskEnded(slot, j, lt.addMachine(taskStep.machine), now)
			}
			quarantined, delayed := "", ""
			for _, machine := range lt.fleet.All() {
				if machine.Quarantined {
					quarantined += machine.Name
				}
			}
			for id, j := range jobs {
				if now.Before(j.NotBefore) {
					delayed += id
				}
			}
			if quarantined != tt.quarantined || delayed != tt.delayed {
				t.Errorf("quarantined machines %q, delayed jobs %q, want %q and %q", quarantined, delayed, tt.quarantined, tt.delayed)
			}
		})
	}
}

// TestCheckSpeed checks that a machine is quarantined if its tasks run much slower than
// on other machines, but not because the others' run times are only partly known after a
// takeover.
func TestCheckSpeed(t *testing.T) {
	tests := []struct {
		name        string
		runTime     time.Duration // run time on the tested machine; 10 s on the other
		adopted     bool          // the other machine's tasks were adopted from reports 2 s before their exit
		quarantined bool
	}{
		{"a machine nearly as fast as others is not quarantined", 11 * time.Second, false, false},
		{"a much slower machine is quarantined", 25 * time.Second, false, true},
		{"adopted tasks on another machine do not make it slow", 11 * time.Second, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lt := newTestTerm(t)
			j, now := lt.addArrayJob("run-1"), time.Unix(1000, 0)
			endTask := func(task int, machine string, runTime time.Duration, adopted bool) {
				slot := &fleet.Slot{PlacementKey: fleet.PlacementKey{Job: j, Task: int32(task)}, Cause: wire.CauseDone, RunningSince: now.Add(-runTime), Adopted: adopted}
				lt.taskTracker.taskEnded(slot, j, lt.addMachine(machine), now)
			}
			for i := range 10 {
				if tt.adopted {
					endTask(i, "h1", 2*time.Second, true)
				} else {
					endTask(i, "h1", 10*time.Second, false)
				}
			}
			for i := range 10 {
				endTask(20+i, "h2", tt.runTime, false)
			}
			if got := lt.addMachine("h2").Quarantined; got != tt.quarantined {
				t.Errorf("quarantined: got %v, want %v", got, tt.quarantined)
			}
		})
	}
}
