package control

import (
	"testing"

	"vetchstream/internal/config"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// TestUnschedulableReason checks which jobs can never run, and that the question stays
// undecided without a price list.
func TestUnschedulableReason(t *testing.T) {
	types := []wire.MachineType{
		{Name: "small", CPUs: 4, MemGB: 16, Zones: []string{"a"}},
		{Name: "large", CPUs: 64, GPUs: 8, MemGB: 128, Zones: []string{"b"}},
	}
	tests := []struct {
		name          string
		edit          func(*job.Spec)
		noPriceList   bool
		unschedulable bool
		decidable     bool
	}{
		{"a task that fits is schedulable", func(*job.Spec) {}, false, false, true},
		{"a task without a price list is undecided", func(*job.Spec) {}, true, false, false},
		{"an unknown team is unschedulable even without a price list", func(spec *job.Spec) { spec.Team = "green" }, true, true, true},
		{"a task with more CPUs than any type is unschedulable", func(spec *job.Spec) { spec.CPUs = 65 }, false, true, true},
		{"a task with more CPUs than the allowed type is unschedulable", func(spec *job.Spec) { spec.CPUs, spec.Types = 8, []string{"small"} }, false, true, true},
		{"a task with more CPUs than the types in the allowed zone is unschedulable", func(spec *job.Spec) { spec.CPUs, spec.Zone = 8, "a" }, false, true, true},
		{"a job that allows only an unknown type is unschedulable", func(spec *job.Spec) { spec.Types = []string{"huge"} }, false, true, true},
		{"an array whose tasks together exceed the CPU limit is schedulable", func(spec *job.Spec) { spec.Tasks = 100 }, false, false, true},
		{"a gang over the CPU limit is unschedulable", func(spec *job.Spec) { spec.ShapeName, spec.Tasks = "ensemble", 11 }, false, true, true},
		{"a service over the CPU limit is unschedulable", func(spec *job.Spec) { spec.ShapeName, spec.Tasks = "daemon", 11 }, false, true, true},
		{"a gang at the CPU limit is schedulable", func(spec *job.Spec) { spec.ShapeName, spec.Tasks = "ensemble", 10 }, false, false, true},
		{"an array with a task over the CPU limit is unschedulable", func(spec *job.Spec) { spec.CPUs = 11 }, false, true, true},
		{"a task with more GPUs than any type is unschedulable", func(spec *job.Spec) { spec.GPUs = 9 }, false, true, true},
		{"a GPU task that allows only a type without GPUs is unschedulable", func(spec *job.Spec) { spec.GPUs, spec.Types = 1, []string{"small"} }, false, true, true},
		{"a GPU task without a price list is undecided", func(spec *job.Spec) { spec.GPUs = 1 }, true, false, false},
		{"an array with a task over the GPU limit is unschedulable", func(spec *job.Spec) { spec.GPUs = 7 }, false, true, true},
		{"an array whose tasks together exceed the GPU limit is schedulable", func(spec *job.Spec) { spec.GPUs, spec.Tasks = 2, 100 }, false, false, true},
		{"a gang over the GPU limit is unschedulable", func(spec *job.Spec) { spec.ShapeName, spec.GPUs, spec.Tasks = "ensemble", 2, 4 }, false, true, true},
		{"a service at the GPU limit is schedulable", func(spec *job.Spec) { spec.ShapeName, spec.GPUs, spec.Tasks = "daemon", 2, 3 }, false, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lt := newTestTerm(t, config.Team{Name: "red", CPUsMax: 10, GPUsMax: 6})
			if !tt.noPriceList {
				lt.updatePriceList(types)
			}
			spec := &job.Spec{ID: "run-1", Team: "red", ShapeName: "array", Tasks: 1, CPUs: 1, MemGB: 1}
			tt.edit(spec)
			reason, decidable := unschedulableReason(spec, lt.nameIndex.machineTypes(), lt.teamQuotas.teamQuota(spec.Team).current)
			if (reason != "") != tt.unschedulable || decidable != tt.decidable {
				t.Errorf("got reason %q and decidable %v", reason, decidable)
			}
		})
	}
}

// TestAdmissionRefusal checks that jobs that can never run are refused with status 422,
// and that all jobs of known teams are refused with status 503 without a price list.
func TestAdmissionRefusal(t *testing.T) {
	types := []wire.MachineType{{Name: "small", CPUs: 4, MemGB: 16, Zones: []string{"a"}}, {Name: "wide", CPUs: 8, GPUs: 2, MemGB: 16, Zones: []string{"a", "b"}}}
	tests := []struct {
		name string
		edit func(*job.Spec)
		want int // status of the refusal; 0 if the job is admitted
	}{
		{"an array", func(*job.Spec) {}, 0},
		{"an array with more tasks than the machines and the team's limit can run at a time", func(spec *job.Spec) { spec.Tasks = 1000 }, 0},
		{"an unknown team", func(spec *job.Spec) { spec.Team = "green" }, 422},
		{"more CPUs than any machine type", func(spec *job.Spec) { spec.CPUs = 9 }, 422},
		{"more memory than any machine type", func(spec *job.Spec) { spec.MemGB = 17 }, 422},
		{"more GPUs than any machine type", func(spec *job.Spec) { spec.GPUs = 3 }, 422},
		{"GPUs with only a type without GPUs allowed", func(spec *job.Spec) { spec.GPUs, spec.Types = 1, []string{"small"} }, 422},
		{"only an unknown machine type allowed", func(spec *job.Spec) { spec.Types = []string{"huge"} }, 422},
		{"an unknown and a known machine type allowed", func(spec *job.Spec) { spec.Types = []string{"huge", "small"} }, 0},
		{"an unknown zone", func(spec *job.Spec) { spec.Zone = "z" }, 422},
		{"a zone in which the allowed machine type does not exist", func(spec *job.Spec) { spec.Zone, spec.Types = "b", []string{"small"} }, 422},
		{"a task that exceeds the team's CPU limit", func(spec *job.Spec) { spec.Team, spec.CPUs = "blue", 3 }, 422},
		{"a gang that exceeds the team's CPU limit", func(spec *job.Spec) { spec.Team, spec.ShapeName, spec.Tasks = "blue", "ensemble", 3 }, 422},
		{"a gang at the team's CPU limit", func(spec *job.Spec) { spec.Team, spec.ShapeName, spec.Tasks = "blue", "ensemble", 2 }, 0},
		{"a service that exceeds the team's CPU limit", func(spec *job.Spec) { spec.Team, spec.ShapeName, spec.Tasks = "blue", "daemon", 3 }, 422},
		{"a gang that exceeds the team's GPU limit", func(spec *job.Spec) { spec.ShapeName, spec.Tasks, spec.GPUs = "ensemble", 3, 2 }, 422},
		{"a spread gang that fits in two zones", func(spec *job.Spec) { spec.ShapeName, spec.Spread = "ensemble", true }, 0},
		{"a spread gang whose allowed type exists in one zone only", func(spec *job.Spec) { spec.ShapeName, spec.Spread, spec.Types = "ensemble", true, []string{"small"} }, 422},
		{"a spread gang that also requires a single zone", func(spec *job.Spec) { spec.ShapeName, spec.Spread, spec.OneZone = "ensemble", true, true }, 422},
		{"a spread gang of one task in one zone", func(spec *job.Spec) { spec.ShapeName, spec.Spread, spec.Zone, spec.Tasks = "ensemble", true, "a", 1 }, 0},
		{"a spread array in one zone, half of which can run at a time", func(spec *job.Spec) { spec.Spread, spec.Zone = true, "a" }, 0},
	}
	lt := newTestTerm(t, config.Team{Name: "red", GPUsMax: 5}, config.Team{Name: "blue", CPUsMax: 2})
	for _, tt := range tests {
		spec := job.Spec{ID: "run-1", Team: "red", ShapeName: "array", PriorityName: "idle", Tasks: 2, CPUs: 1, MemGB: 1}
		tt.edit(&spec)
		got := 0
		if refusal := lt.controller.admissionRefusal(&spec, types, lt.teamQuotas.teamQuota(spec.Team)); refusal != nil {
			got = refusal.Status
		}
		if got != tt.want {
			t.Errorf("%s: refusal status %d, want %d", tt.name, got, tt.want)
		}
		if refusal := lt.controller.admissionRefusal(&spec, nil, lt.teamQuotas.teamQuota(spec.Team)); spec.Team != "green" && (refusal == nil || refusal.Status != 503) {
			t.Errorf("%s, without a price list: refusal %v, want status 503", tt.name, refusal)
		}
	}
}
