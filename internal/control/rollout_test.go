package control

import (
	"fmt"
	"testing"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/rollout"
	"vetchstream/internal/wire"
)

// leaderWithRollouts is a leader with services that each have a roll-out under way, with all
// instances of the old version running.
func leaderWithRollouts(tb testing.TB, services, replicas int) (*leaderTerm, time.Time) {
	tb.Helper()
	r := newTestTerm(tb)
	r.controller.Tuning.Rollouts.Enabled = true
	r.learn([]wire.MachineType{{Name: "small", CPUs: 64, MemGB: 1000, Zones: []string{"a", "b"}}})
	now := r.termStart.Add(time.Second)
	r.takeover.allReconciled = true
	var hosts []*fleet.Machine
	for i := range max(2, services*replicas/20) {
		h := r.host(fmt.Sprintf("h%d", i))
		r.nameIndex.describeHost(h, "small", []string{"a", "b"}[i%2], false)
		r.fleet.Observe(h, &wire.Heartbeat{Host: h.Name, Addr: "10.0.0.1:1", Session: 1, Seq: 1, Token: r.term}, true, now, r.jobTable.findOrAdd)
		h.Registered = true
		hosts = append(hosts, h)
	}
	for i := range services {
		spec := job.Spec{ID: fmt.Sprintf("run-%d", i), ShapeName: "daemon", PriorityName: "idle", Tasks: replicas, CPUs: 1}
		old := r.jobTable.add(&job.Record{Spec: spec}, 1, now)
		zones := make([]string, replicas)
		for t := range replicas {
			h := hosts[(i*replicas+t)%len(hosts)]
			s := r.fleet.Assign(h, fleet.PlacementKey{Job: old, Task: int32(t), Attempt: 1}, now)
			s.LaunchSent = true
			s.Observed = true
			s.Phase = wire.TaskRunning
			s.Health = wire.HealthGood
			s.RunningSince = now.Add(-time.Minute)
			zones[t] = r.nameIndex.zoneNames()[h.Zone]
		}
		spec.ID = fmt.Sprintf("run-%d", 10_000+i)
		r.jobTable.add(&job.Record{Spec: spec}, 1, now)
		rs := &rollout.Spec{Service: fmt.Sprintf("s%d", i), To: rollout.Target{ID: spec.ID, Image: "next"}}
		rec := rollout.New(rs, old.ID, old.ID, zones, now)
		rec.State = rollout.Advancing
		r.rollouts.addService(&service{rec: rec, version: 1})
	}
	return r, now
}

// TestRolloutReplicaQuota: what a stored roll-out requires is what may be placed, and nothing new before the
// machines of earlier leaders are reconciled.
func TestRolloutReplicaQuota(t *testing.T) {
	tests := []struct {
		name    string
		settled bool
		stored  func(*rollout.Record)
		old     int // instances of the old version that may run
		next    int // of the new one
	}{
		{"a batch under way, one extra", true, func(*rollout.Record) {}, 10, 1},
		{"not settled", false, func(*rollout.Record) {}, 0, 0},
		{"taken back", true, func(r *rollout.Record) { r.State = rollout.RolledBack }, 10, 0},
		{"paused before anything was changed", true, func(r *rollout.Record) {
			r.State, r.ResumeState, r.ManualResume = rollout.Paused, rollout.Advancing, true
		}, 10, 0},
		{"the second batch", true, func(r *rollout.Record) { r.BatchIndex = 1 }, 9, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, now := leaderWithRollouts(t, 1, 10)
			tt.stored(r.rollouts.services["s0"].rec)
			r.takeover.allReconciled = tt.settled
			r.rollouts.step(now)
			count := func(id string) (n int) {
				j := r.jobTable.get(id)
				for i := range int32(j.Tasks) {
					if j.MayRun(i) {
						n++
					}
				}
				return n
			}
			if old, next := count("run-0"), count("run-10000"); old != tt.old || next != tt.next {
				t.Errorf("%d old and %d new copies may run, want %d and %d", old, next, tt.old, tt.next)
			}
		})
	}
}

// BenchmarkRollouts is one evaluation of 200 services of 20 replicas, as it comes four times a
// second.
func BenchmarkRollouts(b *testing.B) {
	r, now := leaderWithRollouts(b, 200, 20)
	b.ReportAllocs()
	for b.Loop() {
		r.rollouts.lastStep = time.Time{}
		r.rollouts.step(now)
	}
}
