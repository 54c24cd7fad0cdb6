package control

import (
	"testing"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// TestAttributeFailure: who is at fault when tasks fail, the machine or the job.
func TestAttributeFailure(t *testing.T) {
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
			lt := newTestTerm(t)
			now := time.Unix(1000, 0)
			jobs := map[string]*job.Job{}
			for i, st := range tt.steps {
				j := jobs[st.job]
				if j == nil {
					j = lt.addArrayJob(st.job)
					jobs[st.job] = j
				}
				s := &fleet.Slot{PlacementKey: fleet.PlacementKey{Job: j, Task: int32(i)}, Cause: wire.CauseError}
				if st.done {
					s.Cause = wire.CauseDone
				}
				lt.taskTracker.taskEnded(s, j, lt.addMachine(st.host), now)
			}
			sick, held := "", ""
			for _, h := range lt.fleet.All() {
				if h.Quarantined {
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

// TestCheckSpeed: a machine that is far slower than its kind is given up, one that
// finishes what an earlier leader began is not.
func TestCheckSpeed(t *testing.T) {
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
			lt := newTestTerm(t)
			j, now := lt.addArrayJob("run-1"), time.Unix(1000, 0)
			end := func(task int, host string, ran time.Duration, adopted bool) {
				s := &fleet.Slot{PlacementKey: fleet.PlacementKey{Job: j, Task: int32(task)}, Cause: wire.CauseDone, RunningSince: now.Add(-ran), Adopted: adopted}
				lt.taskTracker.taskEnded(s, j, lt.addMachine(host), now)
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
			if got := lt.addMachine("h2").Quarantined; got != tt.want {
				t.Errorf("given up: %v, want %v", got, tt.want)
			}
		})
	}
}
