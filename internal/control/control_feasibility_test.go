package control

import (
	"testing"

	"vetchstream/internal/config"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// TestNeverSchedulable: what can never run is told from what cannot be told yet.
func TestNeverSchedulable(t *testing.T) {
	types := []wire.MachineType{
		{Name: "small", CPUs: 4, MemGB: 16, Zones: []string{"a"}},
		{Name: "large", CPUs: 64, GPUs: 8, MemGB: 128, Zones: []string{"b"}},
	}
	tests := []struct {
		name  string
		edit  func(*job.Spec)
		bare  bool // no price list yet
		never bool
		known bool
	}{
		{"fits", func(*job.Spec) {}, false, false, true},
		{"no price list yet", func(*job.Spec) {}, true, false, false},
		{"unknown team", func(s *job.Spec) { s.Team = "green" }, true, true, true},
		{"too large", func(s *job.Spec) { s.CPUs = 65 }, false, true, true},
		{"too large for the allowed type", func(s *job.Spec) { s.CPUs, s.Types = 8, []string{"small"} }, false, true, true},
		{"too large for the allowed zone", func(s *job.Spec) { s.CPUs, s.Zone = 8, "a" }, false, true, true},
		{"an unknown type", func(s *job.Spec) { s.Types = []string{"huge"} }, false, true, true},
		{"an array over the limit in all", func(s *job.Spec) { s.Tasks = 100 }, false, false, true},
		{"a gang over the limit", func(s *job.Spec) { s.ShapeName, s.Tasks = "ensemble", 11 }, false, true, true},
		{"a service over the limit", func(s *job.Spec) { s.ShapeName, s.Tasks = "daemon", 11 }, false, true, true},
		{"a gang at the limit", func(s *job.Spec) { s.ShapeName, s.Tasks = "ensemble", 10 }, false, false, true},
		{"a task over the limit", func(s *job.Spec) { s.CPUs = 11 }, false, true, true},
		{"more accelerators than any type has", func(s *job.Spec) { s.GPUs = 9 }, false, true, true},
		{"accelerators that the allowed type has not", func(s *job.Spec) { s.GPUs, s.Types = 1, []string{"small"} }, false, true, true},
		{"accelerators, no price list yet", func(s *job.Spec) { s.GPUs = 1 }, true, false, false},
		{"a task over the limit of accelerators", func(s *job.Spec) { s.GPUs = 7 }, false, true, true},
		{"an array over the limit of accelerators in all", func(s *job.Spec) { s.GPUs, s.Tasks = 2, 100 }, false, false, true},
		{"a gang over the limit of accelerators", func(s *job.Spec) { s.ShapeName, s.GPUs, s.Tasks = "ensemble", 2, 4 }, false, true, true},
		{"a service at the limit of accelerators", func(s *job.Spec) { s.ShapeName, s.GPUs, s.Tasks = "daemon", 2, 3 }, false, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lt := newTestTerm(t, config.Team{Name: "red", CPUsMax: 10, GPUsMax: 6})
			if !tt.bare {
				lt.learn(types)
			}
			s := &job.Spec{ID: "run-1", Team: "red", ShapeName: "array", Tasks: 1, CPUs: 1, MemGB: 1}
			tt.edit(s)
			why, known := neverSchedulable(s, lt.nameIndex.machineTypes(), lt.teamQuotas.teamQuota(s.Team).current)
			if (why != "") != tt.never || known != tt.known {
				t.Errorf("%q, known %v", why, known)
			}
		})
	}
}

// TestAdmissionRefusal: what can never run is refused, and what cannot be judged yet waits.
func TestAdmissionRefusal(t *testing.T) {
	types := []wire.MachineType{{Name: "small", CPUs: 4, MemGB: 16, Zones: []string{"a"}}, {Name: "wide", CPUs: 8, GPUs: 2, MemGB: 16, Zones: []string{"a", "b"}}}
	tests := []struct {
		name string
		edit func(*job.Spec)
		want int // 0: it may be taken in
	}{
		{"an array", func(*job.Spec) {}, 0},
		{"an array of more tasks than the limit has room for at a time", func(s *job.Spec) { s.Tasks = 1000 }, 0},
		{"an unknown team", func(s *job.Spec) { s.Team = "green" }, 422},
		{"more CPUs than any machine", func(s *job.Spec) { s.CPUs = 9 }, 422},
		{"more memory", func(s *job.Spec) { s.MemGB = 17 }, 422},
		{"more accelerators", func(s *job.Spec) { s.GPUs = 3 }, 422},
		{"accelerators on a type that has none", func(s *job.Spec) { s.GPUs, s.Types = 1, []string{"small"} }, 422},
		{"an unknown type", func(s *job.Spec) { s.Types = []string{"huge"} }, 422},
		{"an unknown type beside a known one", func(s *job.Spec) { s.Types = []string{"huge", "small"} }, 0},
		{"an unknown zone", func(s *job.Spec) { s.Zone = "z" }, 422},
		{"a zone without its type", func(s *job.Spec) { s.Zone, s.Types = "b", []string{"small"} }, 422},
		{"a task beyond the team's limit", func(s *job.Spec) { s.Team, s.CPUs = "blue", 3 }, 422},
		{"a gang beyond it", func(s *job.Spec) { s.Team, s.ShapeName, s.Tasks = "blue", "ensemble", 3 }, 422},
		{"a gang within it", func(s *job.Spec) { s.Team, s.ShapeName, s.Tasks = "blue", "ensemble", 2 }, 0},
		{"a service beyond it", func(s *job.Spec) { s.Team, s.ShapeName, s.Tasks = "blue", "daemon", 3 }, 422},
		{"a gang beyond the limit of accelerators", func(s *job.Spec) { s.ShapeName, s.Tasks, s.GPUs = "ensemble", 3, 2 }, 422},
		{"a gang that is apart, in two zones", func(s *job.Spec) { s.ShapeName, s.Spread = "ensemble", true }, 0},
		{"a gang that is apart, with machines in one zone", func(s *job.Spec) { s.ShapeName, s.Spread, s.Types = "ensemble", true, []string{"small"} }, 422},
		{"a gang that is apart and in one zone", func(s *job.Spec) { s.ShapeName, s.Spread, s.OneZone = "ensemble", true, true }, 422},
		{"a gang of one that is apart", func(s *job.Spec) { s.ShapeName, s.Spread, s.Zone, s.Tasks = "ensemble", true, "a", 1 }, 0},
		{"an array that is apart, in one zone: a half at a time", func(s *job.Spec) { s.Spread, s.Zone = true, "a" }, 0},
	}
	lt := newTestTerm(t, config.Team{Name: "red", GPUsMax: 5}, config.Team{Name: "blue", CPUsMax: 2})
	for _, tt := range tests {
		s := job.Spec{ID: "run-1", Team: "red", ShapeName: "array", PriorityName: "idle", Tasks: 2, CPUs: 1, MemGB: 1}
		tt.edit(&s)
		got := 0
		if p := lt.controller.admissionRefusal(&s, types, lt.teamQuotas.teamQuota(s.Team)); p != nil {
			got = p.Status
		}
		if got != tt.want {
			t.Errorf("%s: %d, want %d", tt.name, got, tt.want)
		}
		if p := lt.controller.admissionRefusal(&s, nil, lt.teamQuotas.teamQuota(s.Team)); s.Team != "green" && (p == nil || p.Status != 503) {
			t.Errorf("%s, types not known: %v, want 503", tt.name, p)
		}
	}
}
