package control

import (
	"testing"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// TestIncomplete: a gang's member that has waited in vain comes back with the same
// attempt while others fetch their images, and otherwise the gang begins anew.
func TestIncomplete(t *testing.T) {
	tests := []struct {
		name   string
		phases []string // of the members but the first, which leaves
		broken bool
	}{
		{"another fetches", []string{wire.Waiting, wire.Pulling}, false},
		{"another's launch has not been shown yet", []string{wire.Waiting, ""}, false},
		{"nobody fetches any more", []string{wire.Waiting, wire.Waiting}, true},
		{"another has no place", []string{wire.Pulling}, true},
	}
	for _, tt := range tests {
		r := bench(t)
		now := time.Unix(1000, 0)
		j := r.jobTable.add(&job.Record{Spec: job.Spec{ID: "run-1", ShapeName: "ensemble", RankName: "standard", Tasks: 3, CPUs: 1}}, 1, now)
		j.GangAttempt = 5
		for i, phase := range tt.phases {
			s := r.fleet.Assign(r.host("h1"), fleet.Key{Job: j, Task: int32(i + 1), Attempt: 5}, now)
			s.Phase, s.Sent = phase, true
		}
		r.taskTracker.ended(&fleet.Slot{Key: fleet.Key{Job: j, Attempt: 5}, Phase: wire.Exited, Cause: wire.CauseIncomplete}, j, r.host("h2"), now)
		if j.GangBroken != tt.broken || (!tt.broken && j.GangAttempt != 5) {
			t.Errorf("%s: begins anew %v, want %v", tt.name, j.GangBroken, tt.broken)
		}
	}
}

// TestDeafReturned: machines that report and take in nothing are left in time, and
// returned after their lease and a while.
func TestDeafReturned(t *testing.T) {
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
		r := bench(t, config.Team{Name: "red"})
		r.learn([]wire.MachineType{{Name: "x", CPUs: 8, BootS: 1000, Zones: []string{"a"}}})
		now := r.since.Add(tt.deaf)
		h := r.host("h1")
		r.nameIndex.describeHost(h, "x", "a", false)
		h.Booting, h.Durable, h.Fenced, h.IdleFrom = false, true, !tt.old, now
		if h.Inherited = tt.old; !tt.old {
			r.fleet.Deafen(h, r.since)
		}
		r.machinePool.scaleIn(now)
		if h.Releasing != tt.returned {
			t.Errorf("%s: returned %v, want %v", tt.name, h.Releasing, tt.returned)
		}
	}
}
