package place

import (
	"reflect"
	"slices"
	"testing"

	"vetchstream/internal/job"
)

func machine(id, zone int, cpus float64) Machine {
	a := Resources{CPUs: cpus, MemGB: 4 * cpus}
	return Machine{ID: id, Zone: zone, Total: a, Free: a, Scale: 1, Price: 1}
}

func demand(id int, shape job.Shape, cpus float64, pending ...int32) Demand {
	return Demand{ID: id, Shape: shape, Need: Resources{CPUs: cpus, MemGB: 1}, Zone: -1, LastMachine: -1, Total: len(pending),
		Pending: pending, TasksByZone: make([]int, 3), Spot: true}
}

var paper = Weights{Queue: 13, Jobs: 7, CPU: 1, Image: 150, Sticky: 100, SameZone: 100, Unreliable: 400}

func TestMake(t *testing.T) {
	with := func(d Demand, f func(*Demand)) Demand { f(&d); return d }
	mwith := func(m Machine, f func(*Machine)) Machine { f(&m); return m }
	open := []Team{{}}
	tests := []struct {
		name  string
		in    Input
		want  map[int32]int // task of demand 0 -> machine
		short []int
	}{
		{"the least loaded machine", Input{Machines: []Machine{
			mwith(machine(0, 0, 8), func(m *Machine) { m.Queue, m.Jobs = 2, 2 }), machine(1, 0, 8)},
			Demands: []Demand{demand(1, job.Array, 1, 0)}}, map[int32]int{0: 1}, []int{0}},
		{"a cached image outweighs a few jobs", Input{Machines: []Machine{
			mwith(machine(0, 0, 8), func(m *Machine) { m.Jobs, m.Images = 3, []int{0} }), mwith(machine(1, 0, 8), func(m *Machine) { m.Images = []int{5} })},
			Demands: []Demand{demand(1, job.Array, 1, 0)}}, map[int32]int{0: 0}, []int{0}},
		{"a burst is spread, because placements are debited", Input{Machines: []Machine{machine(0, 0, 8), machine(1, 0, 8)},
			Demands: []Demand{demand(1, job.Array, 1, 0, 1)}}, map[int32]int{0: 0, 1: 1}, []int{0}},
		{"no spot machine for a job that does not allow it", Input{Machines: []Machine{mwith(machine(0, 0, 8), func(m *Machine) { m.Spot = true })},
			Demands: []Demand{with(demand(1, job.Array, 1, 0), func(d *Demand) { d.Spot = false })}}, map[int32]int{}, []int{1}},
		{"only allowed types", Input{Machines: []Machine{machine(0, 0, 8), mwith(machine(1, 0, 8), func(m *Machine) { m.Type = 1; m.Jobs = 5 })},
			Demands: []Demand{with(demand(1, job.Array, 1, 0), func(d *Demand) { d.AllowedTypes = []bool{false, true} })}}, map[int32]int{0: 1}, []int{0}},
		{"one zone holds for tasks that may still run", Input{Machines: []Machine{machine(0, 0, 8), machine(1, 1, 8)},
			Demands: []Demand{with(demand(1, job.Array, 1, 1), func(d *Demand) { d.OneZone, d.TasksByZone = true, []int{0, 1, 0} })}}, map[int32]int{1: 1}, []int{0}},
		{"at most half in one zone", Input{Machines: []Machine{machine(0, 0, 8), machine(1, 1, 2)},
			Demands: []Demand{with(demand(1, job.Service, 1, 0, 1, 2, 3, 4), func(d *Demand) { d.Spread = true })}},
			map[int32]int{0: 0, 1: 1, 2: 0, 3: 1, 4: 0}, []int{0}},
		{"a gang is placed whole or not at all", Input{Machines: []Machine{machine(0, 0, 4), machine(1, 1, 4)},
			Demands: []Demand{demand(1, job.Gang, 4, 0, 1, 2)}}, map[int32]int{}, []int{3}},
		{"a gang in one zone takes the zone with room", Input{Machines: []Machine{machine(0, 0, 4), machine(1, 1, 8)},
			Demands: []Demand{with(demand(1, job.Gang, 4, 0, 1), func(d *Demand) { d.OneZone = true })}}, map[int32]int{0: 1, 1: 1}, []int{0}},
		{"a gang stays in the only zone that it may use", Input{Machines: []Machine{machine(0, 0, 8), mwith(machine(1, 1, 8), func(m *Machine) { m.Jobs = 3 })},
			Demands: []Demand{with(demand(1, job.Gang, 4, 0, 1), func(d *Demand) { d.Zone = 1 })}}, map[int32]int{0: 1, 1: 1}, []int{0}},
		{"an array too", Input{Machines: []Machine{machine(0, 0, 8), mwith(machine(1, 1, 8), func(m *Machine) { m.Jobs = 3 })},
			Demands: []Demand{with(demand(1, job.Array, 1, 0), func(d *Demand) { d.Zone = 1 })}}, map[int32]int{0: 1}, []int{0}},
		{"a team stays below its limit", Input{Machines: []Machine{machine(0, 0, 8)},
			Teams:   []Team{{Limit: Resources{CPUs: 3}, Used: Resources{CPUs: 1}}},
			Demands: []Demand{demand(1, job.Array, 1, 0, 1, 2, 3)}}, map[int32]int{0: 0, 1: 0}, []int{0}},
		{"a gang over its team's limit rents nothing", Input{Machines: []Machine{machine(0, 0, 8)},
			Teams:   []Team{{Limit: Resources{CPUs: 3}, Used: Resources{CPUs: 1}}},
			Demands: []Demand{demand(1, job.Gang, 1.5, 0, 1)}}, map[int32]int{}, []int{0}},
		{"room kept for another job is not taken", Input{Machines: []Machine{mwith(machine(0, 0, 8), func(m *Machine) { m.ReservedFor, m.Reserved = 9, Resources{CPUs: 7.5} })},
			Demands: []Demand{demand(1, job.Array, 1, 0)}}, map[int32]int{}, []int{1}},
		{"a machine that still reports the task's exit is passed over", Input{Machines: []Machine{
			mwith(machine(0, 0, 8), func(m *Machine) { m.UnclearedExits = map[Task]bool{{1, 0}: true} })},
			Demands: []Demand{demand(1, job.Array, 1, 0)}}, map[int32]int{}, []int{1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.in.Weights = paper
			if tt.in.Teams == nil {
				tt.in.Teams = open
			}
			p := Make(tt.in)
			got := map[int32]int{}
			for _, a := range p.Assignments {
				got[a.Task] = tt.in.Machines[a.Machine].ID
			}
			if !reflect.DeepEqual(got, tt.want) {
				t.Errorf("assigned %v, want %v", got, tt.want)
			}
			if !reflect.DeepEqual(p.Unplaced, tt.short) {
				t.Errorf("short %v, want %v", p.Unplaced, tt.short)
			}
		})
	}
}

// TestFair: of two teams without guarantee, the one that runs less goes first,
// unless the other's work is much more pressing.
func TestFair(t *testing.T) {
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
		p := Make(Input{Machines: []Machine{m}, Demands: []Demand{a, b}, Teams: []Team{{Used: Resources{CPUs: 8}}, {Used: Resources{CPUs: 1}}}, Weights: paper})
		if len(p.Assignments) != 1 || p.Assignments[0].Demand+1 != tt.want {
			t.Errorf("%s: %v, want demand %d", tt.name, p.Assignments, tt.want)
		}
	}
}

// TestOverdue: a job of which nothing has begun for long goes before work of a higher
// rank, within its team's limit.
func TestOverdue(t *testing.T) {
	tests := []struct {
		name    string
		overdue bool
		limit   float64 // of its team
		want    int     // the demand that gets the room
	}{
		{"the higher rank", false, 0, 2},
		{"what is overdue", true, 0, 1},
		{"not beyond its team's limit", true, 0.5, 2},
	}
	for _, tt := range tests {
		m := machine(0, 0, 1)
		a, b := demand(1, job.Array, 1, 0), demand(2, job.Array, 1, 0)
		a.Rank, a.Overdue, b.Rank, b.Team = job.Idle, tt.overdue, job.Urgent, 1
		p := Make(Input{Machines: []Machine{m}, Demands: []Demand{a, b}, Teams: []Team{{Limit: Resources{CPUs: tt.limit}}, {}}, Weights: paper})
		if len(p.Assignments) != 1 || p.Assignments[0].Demand+1 != tt.want {
			t.Errorf("%s: %v, want demand %d", tt.name, p.Assignments, tt.want)
		}
	}
}

// TestGuarantee: what a team is guaranteed, borrows and yields is counted in the
// resource that is guaranteed; 0 of the other says nothing.
func TestGuarantee(t *testing.T) {
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
	p := Make(Input{Machines: []Machine{m}, Demands: []Demand{a, b}, Weights: paper,
		Teams: []Team{{Guarantee: Resources{GPUs: 1}, Used: Resources{CPUs: 8, GPUs: 8}}, {Guarantee: Resources{GPUs: 1}, Used: Resources{CPUs: 40, GPUs: 1}}}})
	if len(p.Assignments) != 1 || p.Assignments[0].Demand != 1 {
		t.Errorf("the room went to %v, want the team that borrows nothing", p.Assignments)
	}
}

func TestPreempt(t *testing.T) {
	base := func() Input {
		m := machine(0, 0, 8)
		m.Free = Resources{CPUs: 1, MemGB: 30}
		m.Victims = []Victim{
			{ID: 0, Rank: job.Standard, Team: 1, Need: Resources{CPUs: 4}, Loss: 40},
			{ID: 1, Rank: job.Standard, Team: 1, Need: Resources{CPUs: 3}, Loss: 5},
		}
		d := demand(1, job.Gang, 4, 0)
		d.Rank, d.MayPreempt = job.Urgent, true
		return Input{Machines: []Machine{m}, Demands: []Demand{d}, Teams: []Team{{}, {Used: Resources{CPUs: 7}}}, Weights: paper}
	}
	// claim: an array of four waits, its team uses three CPUs; on each of three machines
	// there is borrowed work of the other team.
	claim := func(in *Input, guarantee float64) {
		d := demand(1, job.Array, 1, 0, 1, 2, 3)
		d.Rank, d.MayPreempt = job.Standard, true
		in.Demands = []Demand{d}
		in.Teams = []Team{{Guarantee: Resources{CPUs: guarantee}, Used: Resources{CPUs: 3}}, {Guarantee: Resources{CPUs: 1}, Used: Resources{CPUs: 20}}}
		in.Machines = nil
		for i := range 3 {
			m := machine(i, 0, 4)
			m.Free = Resources{MemGB: 8}
			m.Victims = []Victim{{ID: i, Rank: job.Standard, Team: 1, Need: Resources{CPUs: 4, MemGB: 1}, Loss: 1}}
			in.Machines = append(in.Machines, m)
		}
	}
	late := func(in *Input) {
		for v := range in.Machines[0].Victims {
			in.Machines[0].Victims[v].Late = true
		}
	}
	tests := []struct {
		name string
		edit func(*Input)
		want []int
	}{
		{"the cheapest victims that make room", func(*Input) {}, []int{1}},
		{"not the same rank", func(in *Input) { in.Demands[0].Rank = job.Standard }, nil},
		{"borrowed work yields to a guarantee", func(in *Input) {
			in.Demands[0].Rank = job.Standard
			in.Teams[0].Guarantee = Resources{CPUs: 10}
			in.Teams[1].Guarantee = Resources{CPUs: 2}
		}, []int{1}},
		{"no more than the other team has beyond its guarantee", func(in *Input) {
			in.Demands[0].Rank = job.Standard
			in.Teams[0].Guarantee = Resources{CPUs: 10}
			in.Teams[1].Guarantee = Resources{CPUs: 5}
		}, nil},
		{"a gang that would leave whole counts whole", func(in *Input) {
			in.Demands[0].Rank = job.Standard
			in.Teams[0].Guarantee = Resources{CPUs: 10}
			in.Teams[1].Guarantee = Resources{CPUs: 2}
			in.Machines[0].Victims[1].Released = Resources{CPUs: 6}
		}, []int{0}},
		{"what is leaving already is not beyond it", func(in *Input) {
			in.Demands[0].Rank = job.Standard
			in.Teams[0].Guarantee = Resources{CPUs: 10}
			in.Teams[1].Guarantee, in.Teams[1].Stopping = Resources{CPUs: 2}, Resources{CPUs: 3}
		}, nil},
		{"borrowed accelerators yield to a guarantee of accelerators", func(in *Input) {
			in.Demands[0].Rank = job.Standard
			in.Demands[0].Need = Resources{CPUs: 4, GPUs: 4}
			in.Machines[0].Total.GPUs = 4
			for i := range in.Machines[0].Victims {
				in.Machines[0].Victims[i].Need.GPUs = 2
			}
			in.Teams[0].Guarantee = Resources{GPUs: 10}
			in.Teams[1] = Team{Guarantee: Resources{GPUs: 1}, Used: Resources{CPUs: 7, GPUs: 6}}
		}, []int{1, 0}},
		{"guaranteed work does not yield to a guarantee", func(in *Input) {
			in.Demands[0].Rank = job.Standard
			in.Teams[0].Guarantee = Resources{CPUs: 10}
			in.Teams[1].Guarantee = Resources{CPUs: 7}
		}, nil},
		{"late work inside its guarantee does not yield to a higher rank that borrows", func(in *Input) {
			in.Teams[0] = Team{Guarantee: Resources{CPUs: 2}, Used: Resources{CPUs: 5}}
			in.Teams[1].Guarantee = Resources{CPUs: 10}
			late(in)
		}, nil},
		{"nor to a gang that would borrow a part of it", func(in *Input) {
			in.Teams[0].Guarantee = Resources{CPUs: 6}
			in.Teams[1].Guarantee = Resources{CPUs: 10}
			in.Demands[0].Pending, in.Demands[0].Total = []int32{0, 1}, 2
			in.Machines = append(in.Machines, machine(1, 0, 4))
			late(in)
		}, nil},
		{"it does while it has time, and does not claim the room back", func(in *Input) {
			in.Teams[0] = Team{Guarantee: Resources{CPUs: 2}, Used: Resources{CPUs: 5}}
			in.Teams[1].Guarantee = Resources{CPUs: 10}
		}, []int{1}},
		{"it does to a higher rank inside its own guarantee", func(in *Input) {
			in.Teams[0].Guarantee = Resources{CPUs: 10}
			in.Teams[1].Guarantee = Resources{CPUs: 10}
			late(in)
		}, []int{1}},
		{"late work beyond its guarantee yields", func(in *Input) {
			in.Teams[0] = Team{Guarantee: Resources{CPUs: 2}, Used: Resources{CPUs: 5}}
			in.Teams[1].Guarantee = Resources{CPUs: 4}
			late(in)
		}, []int{1}},
		{"and the other way round: late work takes the room that a higher rank borrows", func(in *Input) {
			in.Demands[0].Rank = job.Standard
			in.Teams[0].Guarantee = Resources{CPUs: 10}
			in.Teams[1].Guarantee = Resources{CPUs: 2}
			for v := range in.Machines[0].Victims {
				in.Machines[0].Victims[v].Rank = job.Urgent
			}
		}, []int{1}},
		{"no more is claimed than the guarantee holds", func(in *Input) { claim(in, 5) }, []int{0, 1}},
		{"what is being made counts", func(in *Input) {
			claim(in, 5)
			in.Machines[0].ReservedFor, in.Machines[0].Reserved = 1, Resources{CPUs: 1}
		}, []int{1}},
		{"all that the guarantee holds", func(in *Input) { claim(in, 6) }, []int{0, 1, 2}},
		{"nothing is stopped twice for one demand", func(in *Input) {
			in.Machines[0].ReservedFor, in.Machines[0].Reserved = 1, Resources{CPUs: 4}
		}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := base()
			tt.edit(&in)
			p := Make(in)
			var got []int
			for _, e := range p.Preemptions {
				got = append(got, e.Victims...)
			}
			if !reflect.DeepEqual(got, tt.want) {
				t.Errorf("stopped %v, want %v", got, tt.want)
			}
		})
	}
}

// TestReserve: a gang that may stop nothing gets machines kept for it where room
// comes soonest, so that arrays of its own rank do not fill it up again.
func TestReserve(t *testing.T) {
	full := func(id, zone int, left ...float64) Machine {
		m := machine(id, zone, 8)
		m.Free = Resources{MemGB: 30}
		for i, l := range left {
			m.Victims = append(m.Victims, Victim{ID: 10*id + i, Rank: job.Standard, Team: 0, Need: Resources{CPUs: 8 / float64(len(left))}, Remaining: l})
		}
		return m
	}
	tests := []struct {
		name string
		edit func(*Input)
		want []int // reserved machines
		stop int   // machines on which work is stopped
	}{
		{"where it ends first", func(*Input) {}, []int{2, 3}, 0},
		{"all members in one zone", func(in *Input) { in.Machines[3].Zone = 0 }, []int{0, 3}, 0},
		{"what is reserved already is counted", func(in *Input) {
			in.Machines[2].ReservedFor, in.Machines[2].Reserved, in.Machines[2].AwaitsCompletion = 1, Resources{CPUs: 8}, true
		}, []int{2, 3}, 0},
		{"not what is kept for another", func(in *Input) {
			in.Machines[2].ReservedFor, in.Machines[2].Reserved, in.Machines[2].AwaitsCompletion = 9, Resources{CPUs: 8}, true
		}, []int{0, 1}, 0},
		{"nothing while work is being stopped for it", func(in *Input) {
			in.Machines[2].ReservedFor, in.Machines[2].Reserved = 1, Resources{CPUs: 8}
		}, nil, 0},
		{"room that comes too late is left to others", func(in *Input) {
			for i := range in.Machines {
				for v := range in.Machines[i].Victims {
					in.Machines[i].Victims[v].Remaining = 500
				}
			}
		}, nil, 0},
		{"unless the gang has waited for longer than that", func(in *Input) {
			for i := range in.Machines {
				for v := range in.Machines[i].Victims {
					in.Machines[i].Victims[v].Remaining = 100
				}
			}
			in.Demands[0].Waited = 110
		}, []int{0, 1}, 0},
		{"but not for ever", func(in *Input) {
			for i := range in.Machines {
				for v := range in.Machines[i].Victims {
					in.Machines[i].Victims[v].Remaining = 500
				}
			}
			in.Demands[0].Waited = 1000
		}, nil, 0},
		{"work of a lower rank is stopped at once", func(in *Input) { in.Demands[0].Rank = job.Urgent }, nil, 2},
		{"only where it is the last that is in the way", func(in *Input) {
			for i := range in.Machines {
				in.Machines[i].Victims[0].Rank = job.Idle
			}
		}, []int{2, 3}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := demand(1, job.Gang, 8, 0, 1)
			d.Rank, d.MayPreempt, d.OneZone, d.Team = job.Standard, true, true, 0
			later := demand(2, job.Array, 1, 0)
			later.Rank = job.Idle
			in := Input{Machines: []Machine{full(0, 0, 20, 30), full(1, 0, 25, 31), full(2, 1, 5, 10), full(3, 1, 8, 12)},
				Demands: []Demand{d, later}, Teams: []Team{{}}, Weights: paper}
			tt.edit(&in)
			p := Make(in)
			var got []int
			for _, r := range p.Reservations {
				got = append(got, r.Machine)
			}
			slices.Sort(got)
			if !reflect.DeepEqual(got, tt.want) || len(p.Preemptions) != tt.stop {
				t.Errorf("reserved %v, work stopped on %d, want %v and %d", got, len(p.Preemptions), tt.want, tt.stop)
			}
		})
	}
}
