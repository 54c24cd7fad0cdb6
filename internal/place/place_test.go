package place

import (
	"reflect"
	"testing"

	"vetchstream/internal/job"
)

// machine returns an empty machine.
func machine(id, zone int, cpus float64) Machine {
	total := Resources{CPUs: cpus, MemGB: 4 * cpus}
	return Machine{ID: id, Zone: zone, Total: total, Free: total, Scale: 1, Price: 1}
}

// demand returns a demand of the first team whose tasks need the given number of CPUs each.
func demand(id int, shape job.Shape, cpus float64, pending ...int32) Demand {
	return Demand{ID: id, Shape: shape, Need: Resources{CPUs: cpus, MemGB: 1}, Zone: -1, LastMachine: -1, Total: len(pending),
		Pending: pending, TasksByZone: make([]int, 3), Spot: true}
}

// paperWeights holds weights for all dimensions but price and empty machines.
var paperWeights = Weights{Queue: 13, Jobs: 7, CPU: 1, Image: 150, Sticky: 100, SameZone: 100, Unreliable: 400}

// demandWith returns a demand after a change.
func demandWith(d Demand, change func(*Demand)) Demand { change(&d); return d }

// machineWith returns a machine after a change.
func machineWith(m Machine, change func(*Machine)) Machine { change(&m); return m }

type planTest struct {
	name     string
	in       Input
	want     map[int32]int // machine of each task of the first demand
	unplaced []int
}

// planTests returns new test cases on each call, because MakePlan modifies its input.
func planTests() []planTest {
	return []planTest{
		{"a task goes to the least loaded machine", Input{Machines: []Machine{
			machineWith(machine(0, 0, 8), func(m *Machine) { m.WaitingTasks, m.Tasks = 2, 2 }), machine(1, 0, 8)},
			Demands: []Demand{demand(1, job.Array, 1, 0)}}, map[int32]int{0: 1}, []int{0}},
		{"a cached image outweighs a few tasks on the machine", Input{Machines: []Machine{
			machineWith(machine(0, 0, 8), func(m *Machine) { m.Tasks, m.Images = 3, []int{0} }), machineWith(machine(1, 0, 8), func(m *Machine) { m.Images = []int{5} })},
			Demands: []Demand{demand(1, job.Array, 1, 0)}}, map[int32]int{0: 0}, []int{0}},
		{"the tasks of an array are spread, because each placement adds to the load", Input{Machines: []Machine{machine(0, 0, 8), machine(1, 0, 8)},
			Demands: []Demand{demand(1, job.Array, 1, 0, 1)}}, map[int32]int{0: 0, 1: 1}, []int{0}},
		{"a demand that does not allow spot machines gets none", Input{Machines: []Machine{machineWith(machine(0, 0, 8), func(m *Machine) { m.Spot = true })},
			Demands: []Demand{demandWith(demand(1, job.Array, 1, 0), func(d *Demand) { d.Spot = false })}}, map[int32]int{}, []int{1}},
		{"a task goes to a machine of an allowed type, although another is less loaded", Input{Machines: []Machine{machine(0, 0, 8), machineWith(machine(1, 0, 8), func(m *Machine) { m.Type = 1; m.Tasks = 5 })},
			Demands: []Demand{demandWith(demand(1, job.Array, 1, 0), func(d *Demand) { d.AllowedTypes = []bool{false, true} })}}, map[int32]int{0: 1}, []int{0}},
		{"a demand restricted to one zone stays in the zone of its running task", Input{Machines: []Machine{machine(0, 0, 8), machine(1, 1, 8)},
			Demands: []Demand{demandWith(demand(1, job.Array, 1, 1), func(d *Demand) { d.OneZone, d.TasksByZone = true, []int{0, 1, 0} })}}, map[int32]int{1: 1}, []int{0}},
		{"a spread service has at most half of its replicas, rounded up, in one zone", Input{Machines: []Machine{machine(0, 0, 8), machine(1, 1, 2)},
			Demands: []Demand{demandWith(demand(1, job.Service, 1, 0, 1, 2, 3, 4), func(d *Demand) { d.Spread = true })}},
			map[int32]int{0: 0, 1: 1, 2: 0, 3: 1, 4: 0}, []int{0}},
		{"a gang is not placed if one member has no room", Input{Machines: []Machine{machine(0, 0, 4), machine(1, 1, 4)},
			Demands: []Demand{demand(1, job.Gang, 4, 0, 1, 2)}}, map[int32]int{}, []int{3}},
		{"a gang restricted to one zone takes the zone with room for all members", Input{Machines: []Machine{machine(0, 0, 4), machine(1, 1, 8)},
			Demands: []Demand{demandWith(demand(1, job.Gang, 4, 0, 1), func(d *Demand) { d.OneZone = true })}}, map[int32]int{0: 1, 1: 1}, []int{0}},
		{"a gang with a fixed zone is placed there, although another zone is less loaded", Input{Machines: []Machine{machine(0, 0, 8), machineWith(machine(1, 1, 8), func(m *Machine) { m.Tasks = 3 })},
			Demands: []Demand{demandWith(demand(1, job.Gang, 4, 0, 1), func(d *Demand) { d.Zone = 1 })}}, map[int32]int{0: 1, 1: 1}, []int{0}},
		{"an array with a fixed zone is placed there, although another zone is less loaded", Input{Machines: []Machine{machine(0, 0, 8), machineWith(machine(1, 1, 8), func(m *Machine) { m.Tasks = 3 })},
			Demands: []Demand{demandWith(demand(1, job.Array, 1, 0), func(d *Demand) { d.Zone = 1 })}}, map[int32]int{0: 1}, []int{0}},
		{"only tasks within the limit of the team are placed, and the others do not count as unplaced", Input{Machines: []Machine{machine(0, 0, 8)},
			Teams:   []Team{{Limit: Resources{CPUs: 3}, Used: Resources{CPUs: 1}}},
			Demands: []Demand{demand(1, job.Array, 1, 0, 1, 2, 3)}}, map[int32]int{0: 0, 1: 0}, []int{0}},
		{"a gang beyond the limit of its team is not placed and does not count as unplaced", Input{Machines: []Machine{machine(0, 0, 8)},
			Teams:   []Team{{Limit: Resources{CPUs: 3}, Used: Resources{CPUs: 1}}},
			Demands: []Demand{demand(1, job.Gang, 1.5, 0, 1)}}, map[int32]int{}, []int{0}},
		{"resources reserved for another demand are not used", Input{Machines: []Machine{machineWith(machine(0, 0, 8), func(m *Machine) { m.ReservedFor, m.Reserved = 9, Resources{CPUs: 7.5} })},
			Demands: []Demand{demand(1, job.Array, 1, 0)}}, map[int32]int{}, []int{1}},
		{"a machine that still reports the exit of a task does not get the task", Input{Machines: []Machine{
			machineWith(machine(0, 0, 8), func(m *Machine) { m.UnclearedExits = map[TaskKey]bool{{1, 0}: true} })},
			Demands: []Demand{demand(1, job.Array, 1, 0)}}, map[int32]int{}, []int{1}},
	}
}

// TestMakePlan checks constraints, costs, team limits and reservations.
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
				t.Errorf("assignments %v, want %v", got, tt.want)
			}
			if !reflect.DeepEqual(p.Unplaced, tt.unplaced) {
				t.Errorf("unplaced tasks %v, want %v", p.Unplaced, tt.unplaced)
			}
		})
	}
}

// TestFairness checks that of two teams without a guarantee, the one that uses less goes first,
// unless the latest start of the other's job is much earlier.
func TestFairness(t *testing.T) {
	tests := []struct {
		name  string
		start float64 // latest start of the demand of the team that uses more; the other's is 100
		want  int     // ID of the demand that is placed
	}{
		{"same latest start: the team that uses less goes first", 100, 2},
		{"latest start 20 s earlier: the team that uses less goes first", 80, 2},
		{"latest start 80 s earlier: the team that uses more goes first", 20, 1},
	}
	for _, tt := range tests {
		m := machine(0, 0, 10)
		m.Free = Resources{CPUs: 1, MemGB: 40}
		a, b := demand(1, job.Array, 1, 0), demand(2, job.Array, 1, 0)
		a.Team, a.LatestStart, b.Team, b.LatestStart = 0, tt.start, 1, 100
		p := MakePlan(Input{Machines: []Machine{m}, Demands: []Demand{a, b}, Teams: []Team{{Used: Resources{CPUs: 8}}, {Used: Resources{CPUs: 1}}}, Weights: paperWeights})
		if len(p.Assignments) != 1 || p.Assignments[0].Demand+1 != tt.want {
			t.Errorf("%s: assignments %v, want demand %d", tt.name, p.Assignments, tt.want)
		}
	}
}

// TestOverdue checks that an overdue job goes before demands of a higher priority, within its
// team's limit.
func TestOverdue(t *testing.T) {
	tests := []struct {
		name    string
		overdue bool
		limit   float64 // CPU limit of the first demand's team; 0 means none
		want    int     // ID of the demand that is placed
	}{
		{"not overdue: the higher priority goes first", false, 0, 2},
		{"overdue: the lower priority goes first", true, 0, 1},
		{"overdue but beyond its team's limit: the higher priority goes first", true, 0.5, 2},
	}
	for _, tt := range tests {
		m := machine(0, 0, 1)
		a, b := demand(1, job.Array, 1, 0), demand(2, job.Array, 1, 0)
		a.Priority, a.Overdue, b.Priority, b.Team = job.Idle, tt.overdue, job.Urgent, 1
		p := MakePlan(Input{Machines: []Machine{m}, Demands: []Demand{a, b}, Teams: []Team{{Limit: Resources{CPUs: tt.limit}}, {}}, Weights: paperWeights})
		if len(p.Assignments) != 1 || p.Assignments[0].Demand+1 != tt.want {
			t.Errorf("%s: assignments %v, want demand %d", tt.name, p.Assignments, tt.want)
		}
	}
}

// TestTeamGuarantee checks that a team's guarantee and its borrowed resources count only in the
// resources that are guaranteed. A guarantee of 0 for one resource does not restrict it.
func TestTeamGuarantee(t *testing.T) {
	gpus := func(n float64) Resources { return Resources{CPUs: 6 * n, GPUs: n} }
	tests := []struct {
		name           string
		team           Team
		need           Resources
		within, borrow bool
	}{
		{"GPU guarantee, task fits: within it, nothing borrowed", Team{Guarantee: Resources{GPUs: 10}, Used: gpus(8)}, gpus(2), true, false},
		{"GPU guarantee, task exceeds it: not within it, nothing borrowed", Team{Guarantee: Resources{GPUs: 10}, Used: gpus(9)}, gpus(2), false, false},
		{"GPU guarantee already exceeded: not within it, GPUs borrowed", Team{Guarantee: Resources{GPUs: 10}, Used: gpus(11)}, gpus(1), false, true},
		{"GPU guarantee, task without GPUs: not within it", Team{Guarantee: Resources{GPUs: 10}}, Resources{CPUs: 1}, false, false},
		{"CPU guarantee already exceeded: not within it, CPUs borrowed", Team{Guarantee: Resources{CPUs: 10}, Used: Resources{CPUs: 11}}, Resources{CPUs: 1}, false, true},
		{"CPU and GPU guarantee, GPUs used up: not within it, nothing borrowed", Team{Guarantee: Resources{CPUs: 100, GPUs: 2}, Used: gpus(2)}, gpus(1), false, false},
		{"no guarantee: not within it, everything borrowed", Team{Used: gpus(1)}, gpus(1), false, true},
	}
	for _, tt := range tests {
		if w, b := tt.team.withinGuarantee(tt.need), tt.team.borrows(); w != tt.within || b != tt.borrow {
			t.Errorf("%s: got within guarantee %v, borrows %v", tt.name, w, b)
		}
	}
	// Of two teams, the one that borrows the larger share of the fleet's GPUs goes last, although
	// it uses fewer CPUs.
	m := Machine{Total: Resources{CPUs: 100, GPUs: 10, MemGB: 10}, Free: Resources{CPUs: 50, GPUs: 1, MemGB: 10}, Scale: 1, Price: 1}
	a, b := demand(1, job.Array, 1, 0), demand(2, job.Array, 1, 0)
	a.Need.GPUs, b.Need.GPUs, b.Team = 1, 1, 1
	p := MakePlan(Input{Machines: []Machine{m}, Demands: []Demand{a, b}, Weights: paperWeights,
		Teams: []Team{{Guarantee: Resources{GPUs: 1}, Used: Resources{CPUs: 8, GPUs: 8}}, {Guarantee: Resources{GPUs: 1}, Used: Resources{CPUs: 40, GPUs: 1}}}})
	if len(p.Assignments) != 1 || p.Assignments[0].Demand != 1 {
		t.Errorf("assignments %v, want only the demand of the team that borrows nothing", p.Assignments)
	}
}
