package place

import (
	"reflect"
	"testing"

	"vetchstream/internal/job"
)

// machine is an empty machine.
func machine(id, zone int, cpus float64) Machine {
	a := Resources{CPUs: cpus, MemGB: 4 * cpus}
	return Machine{ID: id, Zone: zone, Total: a, Free: a, Scale: 1, Price: 1}
}

// demand is a job of the first team whose tasks need so many CPUs each.
func demand(id int, shape job.Shape, cpus float64, pending ...int32) Demand {
	return Demand{ID: id, Shape: shape, Need: Resources{CPUs: cpus, MemGB: 1}, Zone: -1, LastMachine: -1, Total: len(pending),
		Pending: pending, TasksByZone: make([]int, 3), Spot: true}
}

// paperWeights are the weights without those for price and empty machines.
var paperWeights = Weights{Queue: 13, Jobs: 7, CPU: 1, Image: 150, Sticky: 100, SameZone: 100, Unreliable: 400}

// demandWith returns a demand that f has changed.
func demandWith(d Demand, f func(*Demand)) Demand { f(&d); return d }

// machineWith returns a machine that f has changed.
func machineWith(m Machine, f func(*Machine)) Machine { f(&m); return m }

type planTest struct {
	name     string
	in       Input
	want     map[int32]int // task of demand 0 -> machine
	unplaced []int
}

// planTests returns the cases anew, because MakePlan changes its input.
func planTests() []planTest {
	return []planTest{
		{"the least loaded machine", Input{Machines: []Machine{
			machineWith(machine(0, 0, 8), func(m *Machine) { m.WaitingTasks, m.Tasks = 2, 2 }), machine(1, 0, 8)},
			Demands: []Demand{demand(1, job.Array, 1, 0)}}, map[int32]int{0: 1}, []int{0}},
		{"a cached image outweighs a few jobs", Input{Machines: []Machine{
			machineWith(machine(0, 0, 8), func(m *Machine) { m.Tasks, m.Images = 3, []int{0} }), machineWith(machine(1, 0, 8), func(m *Machine) { m.Images = []int{5} })},
			Demands: []Demand{demand(1, job.Array, 1, 0)}}, map[int32]int{0: 0}, []int{0}},
		{"a burst is spread, because placements are debited", Input{Machines: []Machine{machine(0, 0, 8), machine(1, 0, 8)},
			Demands: []Demand{demand(1, job.Array, 1, 0, 1)}}, map[int32]int{0: 0, 1: 1}, []int{0}},
		{"no spot machine for a job that does not allow it", Input{Machines: []Machine{machineWith(machine(0, 0, 8), func(m *Machine) { m.Spot = true })},
			Demands: []Demand{demandWith(demand(1, job.Array, 1, 0), func(d *Demand) { d.Spot = false })}}, map[int32]int{}, []int{1}},
		{"only allowed types", Input{Machines: []Machine{machine(0, 0, 8), machineWith(machine(1, 0, 8), func(m *Machine) { m.Type = 1; m.Tasks = 5 })},
			Demands: []Demand{demandWith(demand(1, job.Array, 1, 0), func(d *Demand) { d.AllowedTypes = []bool{false, true} })}}, map[int32]int{0: 1}, []int{0}},
		{"one zone holds for tasks that may still run", Input{Machines: []Machine{machine(0, 0, 8), machine(1, 1, 8)},
			Demands: []Demand{demandWith(demand(1, job.Array, 1, 1), func(d *Demand) { d.OneZone, d.TasksByZone = true, []int{0, 1, 0} })}}, map[int32]int{1: 1}, []int{0}},
		{"at most half in one zone", Input{Machines: []Machine{machine(0, 0, 8), machine(1, 1, 2)},
			Demands: []Demand{demandWith(demand(1, job.Service, 1, 0, 1, 2, 3, 4), func(d *Demand) { d.Spread = true })}},
			map[int32]int{0: 0, 1: 1, 2: 0, 3: 1, 4: 0}, []int{0}},
		{"a gang is placed whole or not at all", Input{Machines: []Machine{machine(0, 0, 4), machine(1, 1, 4)},
			Demands: []Demand{demand(1, job.Gang, 4, 0, 1, 2)}}, map[int32]int{}, []int{3}},
		{"a gang in one zone takes the zone with room", Input{Machines: []Machine{machine(0, 0, 4), machine(1, 1, 8)},
			Demands: []Demand{demandWith(demand(1, job.Gang, 4, 0, 1), func(d *Demand) { d.OneZone = true })}}, map[int32]int{0: 1, 1: 1}, []int{0}},
		{"a gang stays in the only zone that it may use", Input{Machines: []Machine{machine(0, 0, 8), machineWith(machine(1, 1, 8), func(m *Machine) { m.Tasks = 3 })},
			Demands: []Demand{demandWith(demand(1, job.Gang, 4, 0, 1), func(d *Demand) { d.Zone = 1 })}}, map[int32]int{0: 1, 1: 1}, []int{0}},
		{"an array too", Input{Machines: []Machine{machine(0, 0, 8), machineWith(machine(1, 1, 8), func(m *Machine) { m.Tasks = 3 })},
			Demands: []Demand{demandWith(demand(1, job.Array, 1, 0), func(d *Demand) { d.Zone = 1 })}}, map[int32]int{0: 1}, []int{0}},
		{"a team stays below its limit", Input{Machines: []Machine{machine(0, 0, 8)},
			Teams:   []Team{{Limit: Resources{CPUs: 3}, Used: Resources{CPUs: 1}}},
			Demands: []Demand{demand(1, job.Array, 1, 0, 1, 2, 3)}}, map[int32]int{0: 0, 1: 0}, []int{0}},
		{"a gang over its team's limit rents nothing", Input{Machines: []Machine{machine(0, 0, 8)},
			Teams:   []Team{{Limit: Resources{CPUs: 3}, Used: Resources{CPUs: 1}}},
			Demands: []Demand{demand(1, job.Gang, 1.5, 0, 1)}}, map[int32]int{}, []int{0}},
		{"room kept for another job is not taken", Input{Machines: []Machine{machineWith(machine(0, 0, 8), func(m *Machine) { m.ReservedFor, m.Reserved = 9, Resources{CPUs: 7.5} })},
			Demands: []Demand{demand(1, job.Array, 1, 0)}}, map[int32]int{}, []int{1}},
		{"a machine that still reports the task's exit is passed over", Input{Machines: []Machine{
			machineWith(machine(0, 0, 8), func(m *Machine) { m.UnclearedExits = map[TaskKey]bool{{1, 0}: true} })},
			Demands: []Demand{demand(1, job.Array, 1, 0)}}, map[int32]int{}, []int{1}},
	}
}

// TestMakePlan: filters, scores, quotas and reservations.
func TestMakePlan(t *testing.T) {
	for _, tt := range planTests() {
		t.Run(tt.name, func(t *testing.T) {
			tt.in.Weights = paperWeights
			if tt.in.Teams == nil {
				tt.in.Teams = []Team{{}}
			}
			p := MakePlan(tt.in)
			got := map[int32]int{}
			for _, a := range p.Assignments {
				got[a.Task] = tt.in.Machines[a.Machine].ID
			}
			if !reflect.DeepEqual(got, tt.want) {
				t.Errorf("assigned %v, want %v", got, tt.want)
			}
			if !reflect.DeepEqual(p.Unplaced, tt.unplaced) {
				t.Errorf("short %v, want %v", p.Unplaced, tt.unplaced)
			}
		})
	}
}

// TestFairness: of two teams without guarantee, the one that runs less goes first,
// unless the other's work is much more pressing.
func TestFairness(t *testing.T) {
	tests := []struct {
		name  string
		start float64 // latest start of the team that runs much; the other's is 100
		want  int     // the demand that gets the room
	}{
		{"equally pressing", 100, 2},
		{"a little more pressing", 80, 2},
		{"much more pressing", 20, 1},
	}
	for _, tt := range tests {
		m := machine(0, 0, 10)
		m.Free = Resources{CPUs: 1, MemGB: 40}
		a, b := demand(1, job.Array, 1, 0), demand(2, job.Array, 1, 0)
		a.Team, a.LatestStart, b.Team, b.LatestStart = 0, tt.start, 1, 100
		p := MakePlan(Input{Machines: []Machine{m}, Demands: []Demand{a, b}, Teams: []Team{{Used: Resources{CPUs: 8}}, {Used: Resources{CPUs: 1}}}, Weights: paperWeights})
		if len(p.Assignments) != 1 || p.Assignments[0].Demand+1 != tt.want {
			t.Errorf("%s: %v, want demand %d", tt.name, p.Assignments, tt.want)
		}
	}
}

// TestOverdue: a job of which nothing has begun for long goes before work of a higher
// priority, within its team's limit.
func TestOverdue(t *testing.T) {
	tests := []struct {
		name    string
		overdue bool
		limit   float64 // of its team
		want    int     // the demand that gets the room
	}{
		{"the higher priority", false, 0, 2},
		{"what is overdue", true, 0, 1},
		{"not beyond its team's limit", true, 0.5, 2},
	}
	for _, tt := range tests {
		m := machine(0, 0, 1)
		a, b := demand(1, job.Array, 1, 0), demand(2, job.Array, 1, 0)
		a.Priority, a.Overdue, b.Priority, b.Team = job.Idle, tt.overdue, job.Urgent, 1
		p := MakePlan(Input{Machines: []Machine{m}, Demands: []Demand{a, b}, Teams: []Team{{Limit: Resources{CPUs: tt.limit}}, {}}, Weights: paperWeights})
		if len(p.Assignments) != 1 || p.Assignments[0].Demand+1 != tt.want {
			t.Errorf("%s: %v, want demand %d", tt.name, p.Assignments, tt.want)
		}
	}
}

// TestTeamGuarantee: what a team is guaranteed, borrows and yields is counted in the
// resource that is guaranteed; 0 of the other says nothing.
func TestTeamGuarantee(t *testing.T) {
	gpus := func(n float64) Resources { return Resources{CPUs: 6 * n, GPUs: n} }
	tests := []struct {
		name           string
		team           Team
		need           Resources
		within, borrow bool
	}{
		{"inside, accelerators alone are guaranteed", Team{Guarantee: Resources{GPUs: 10}, Used: gpus(8)}, gpus(2), true, false},
		{"beyond it with this task", Team{Guarantee: Resources{GPUs: 10}, Used: gpus(9)}, gpus(2), false, false},
		{"beyond it already", Team{Guarantee: Resources{GPUs: 10}, Used: gpus(11)}, gpus(1), false, true},
		{"a task without accelerators is in no guarantee of them", Team{Guarantee: Resources{GPUs: 10}}, Resources{CPUs: 1}, false, false},
		{"CPUs alone are guaranteed", Team{Guarantee: Resources{CPUs: 10}, Used: Resources{CPUs: 11}}, Resources{CPUs: 1}, false, true},
		{"both are: either can be the one that is used up", Team{Guarantee: Resources{CPUs: 100, GPUs: 2}, Used: gpus(2)}, gpus(1), false, false},
		{"no guarantee: all is borrowed", Team{Used: gpus(1)}, gpus(1), false, true},
	}
	for _, tt := range tests {
		if w, b := tt.team.withinGuarantee(tt.need), tt.team.borrows(); w != tt.within || b != tt.borrow {
			t.Errorf("%s: within %v, borrows %v", tt.name, w, b)
		}
	}
	// Of two teams the one that borrows the larger part of the fleet's accelerators
	// yields, however few CPUs it uses.
	m := Machine{Total: Resources{CPUs: 100, GPUs: 10, MemGB: 10}, Free: Resources{CPUs: 50, GPUs: 1, MemGB: 10}, Scale: 1, Price: 1}
	a, b := demand(1, job.Array, 1, 0), demand(2, job.Array, 1, 0)
	a.Need.GPUs, b.Need.GPUs, b.Team = 1, 1, 1
	p := MakePlan(Input{Machines: []Machine{m}, Demands: []Demand{a, b}, Weights: paperWeights,
		Teams: []Team{{Guarantee: Resources{GPUs: 1}, Used: Resources{CPUs: 8, GPUs: 8}}, {Guarantee: Resources{GPUs: 1}, Used: Resources{CPUs: 40, GPUs: 1}}}})
	if len(p.Assignments) != 1 || p.Assignments[0].Demand != 1 {
		t.Errorf("the room went to %v, want the team that borrows nothing", p.Assignments)
	}
}
