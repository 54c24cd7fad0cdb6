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

// leaderWithRollouts returns a leader with services that each have an advancing roll-out, and
// the current time. All instances of the old versions are running.
func leaderWithRollouts(tb testing.TB, services, replicas int) (*leaderTerm, time.Time) {
	tb.Helper()
	lt := newTestTerm(tb)
	lt.controller.Tuning.Rollouts.Enabled = true
	lt.updatePriceList([]wire.MachineType{{Name: "small", CPUs: 64, MemGB: 1000, Zones: []string{"a", "b"}}})
	now := lt.termStart.Add(time.Second)
	lt.takeover.allReconciled = true
	var machines []*fleet.Machine
	for i := range max(2, services*replicas/20) {
		machine := lt.addMachine(fmt.Sprintf("h%d", i))
		lt.nameIndex.describeMachine(machine, "small", []string{"a", "b"}[i%2], false)
		lt.fleet.Observe(machine, &wire.Heartbeat{Machine: machine.Name, Addr: "10.0.0.1:1", Session: 1, Seq: 1, Token: wire.FirstToken(lt.term)}, true, now, lt.jobTable.findOrAdd)
		machine.Registered = true
		machines = append(machines, machine)
	}
	for i := range services {
		spec := job.Spec{ID: fmt.Sprintf("run-%d", i), ShapeName: "daemon", PriorityName: "idle", Tasks: replicas, CPUs: 1}
		old := lt.jobTable.add(&job.Record{Spec: spec}, 1, now)
		zones := make([]string, replicas)
		for replica := range replicas {
			machine := machines[(i*replicas+replica)%len(machines)]
			slot := lt.fleet.Assign(machine, fleet.PlacementKey{Job: old, Task: int32(replica), Attempt: 1}, now)
			slot.LaunchSent = true
			slot.Observed = true
			slot.Phase = wire.TaskRunning
			slot.Health = wire.HealthGood
			slot.RunningSince = now.Add(-time.Minute)
			zones[replica] = lt.nameIndex.zoneNames()[machine.Zone]
		}
		spec.ID = fmt.Sprintf("run-%d", 10_000+i)
		lt.jobTable.add(&job.Record{Spec: spec}, 1, now)
		rolloutSpec := &rollout.Spec{Service: fmt.Sprintf("s%d", i), To: rollout.Target{ID: spec.ID, Image: "next"}}
		rec := rollout.New(rolloutSpec, old.ID, old.ID, zones, now)
		rec.State = rollout.Advancing
		lt.rollouts.addService(&service{rec: rec, version: 1})
	}
	return lt, now
}

// TestRolloutReplicaQuota checks how many replicas of each version may run in a state of the
// stored roll-out. No replica may run before the machines of earlier leaders are
// reconciled.
func TestRolloutReplicaQuota(t *testing.T) {
	tests := []struct {
		name       string
		reconciled bool
		modify     func(*rollout.Record)
		old        int // replicas of the old version that may run
		next       int // replicas of the new version that may run
	}{
		{"advancing in the first batch: one new replica in addition to all old ones", true, func(*rollout.Record) {}, 10, 1},
		{"advancing, but machines not reconciled: no replica may run", false, func(*rollout.Record) {}, 0, 0},
		{"rolled back: all old replicas and no new one", true, func(r *rollout.Record) { r.State = rollout.RolledBack }, 10, 0},
		{"paused before the first replica was replaced: all old replicas and no new one", true, func(r *rollout.Record) {
			r.State, r.ResumeState, r.ManualResume = rollout.Paused, rollout.Advancing, true
		}, 10, 0},
		{"advancing in the second batch: one old replica replaced, one new replica in addition", true, func(r *rollout.Record) { r.BatchIndex = 1 }, 9, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lt, now := leaderWithRollouts(t, 1, 10)
			tt.modify(lt.rollouts.services["s0"].rec)
			lt.takeover.allReconciled = tt.reconciled
			lt.rollouts.step(now)
			count := func(id string) (n int) {
				j := lt.jobTable.get(id)
				for i := range int32(j.Tasks) {
					if j.MayRun(i) {
						n++
					}
				}
				return n
			}
			if old, next := count("run-0"), count("run-10000"); old != tt.old || next != tt.next {
				t.Errorf("%d old and %d new replicas may run, want %d and %d", old, next, tt.old, tt.next)
			}
		})
	}
}

// BenchmarkRollouts measures one evaluation of 200 services with 20 replicas each, which the
// leader performs four times a second.
func BenchmarkRollouts(b *testing.B) {
	lt, now := leaderWithRollouts(b, 200, 20)
	b.ReportAllocs()
	for b.Loop() {
		lt.rollouts.lastStep = time.Time{}
		lt.rollouts.step(now)
	}
}
