package place

import (
	"reflect"
	"slices"
	"testing"

	"vetchstream/internal/job"
)

// busyMachine returns a machine without free CPUs whose tasks have the given remaining times,
// in seconds.
func busyMachine(id, zone int, remainingS ...float64) Machine {
	m := machine(id, zone, 8)
	m.Free = Resources{MemGB: 30}
	for i, remaining := range remainingS {
		m.Victims = append(m.Victims, Victim{ID: 10*id + i, Priority: job.Standard, Team: 0, Need: Resources{CPUs: 8 / float64(len(remainingS))}, RemainingS: remaining})
	}
	return m
}

var gangReservationTests = []struct {
	name        string
	change      func(*Input)
	want        []int // reserved machines
	preemptions int   // number of machines on which tasks are preempted
}{
	{"the machines of the zone where tasks complete first are reserved", func(*Input) {}, []int{2, 3}, 0},
	{"machines of a single zone are reserved, although another zone has a machine with room sooner", func(in *Input) { in.Machines[3].Zone = 0 }, []int{0, 3}, 0},
	{"a machine already reserved for the gang is reserved again", func(in *Input) {
		in.Machines[2].ReservedFor, in.Machines[2].Reserved, in.Machines[2].AwaitsCompletion = 1, Resources{CPUs: 8}, true
	}, []int{2, 3}, 0},
	{"a machine reserved for another demand is not reserved", func(in *Input) {
		in.Machines[2].ReservedFor, in.Machines[2].Reserved, in.Machines[2].AwaitsCompletion = 9, Resources{CPUs: 8}, true
	}, []int{0, 1}, 0},
	{"no machine is reserved while tasks are being preempted for the gang", func(in *Input) {
		in.Machines[2].ReservedFor, in.Machines[2].Reserved = 1, Resources{CPUs: 8}
	}, nil, 0},
	{"no machine is reserved if room takes longer than the bound", func(in *Input) {
		for i := range in.Machines {
			for v := range in.Machines[i].Victims {
				in.Machines[i].Victims[v].RemainingS = 500
			}
		}
	}, nil, 0},
	{"machines are reserved if the gang has waited longer than room takes", func(in *Input) {
		for i := range in.Machines {
			for v := range in.Machines[i].Victims {
				in.Machines[i].Victims[v].RemainingS = 100
			}
		}
		in.Demands[0].WaitedS = 110
	}, []int{0, 1}, 0},
	{"no machine is reserved if room takes longer than the maximum, however long the gang has waited", func(in *Input) {
		for i := range in.Machines {
			for v := range in.Machines[i].Victims {
				in.Machines[i].Victims[v].RemainingS = 500
			}
		}
		in.Demands[0].WaitedS = 1000
	}, nil, 0},
	{"tasks of lower priority are preempted instead of reserving machines", func(in *Input) { in.Demands[0].Priority = job.Urgent }, nil, 2},
	{"machines are reserved if preempting the tasks of lower priority alone makes no room", func(in *Input) {
		for i := range in.Machines {
			in.Machines[i].Victims[0].Priority = job.Idle
		}
	}, []int{2, 3}, 0},
}

// TestGangReservation checks which machines are reserved for a gang that lacks room. A gang that
// may preempt nothing needs a reservation, because arrays of its own priority would otherwise
// use the room as it becomes free.
func TestGangReservation(t *testing.T) {
	for _, tt := range gangReservationTests {
		t.Run(tt.name, func(t *testing.T) {
			d := demand(1, job.Gang, 8, 0, 1)
			d.Priority, d.MayPreempt, d.OneZone, d.Team = job.Standard, true, true, 0
			later := demand(2, job.Array, 1, 0)
			later.Priority = job.Idle
			in := Input{Machines: []Machine{busyMachine(0, 0, 20, 30), busyMachine(1, 0, 25, 31), busyMachine(2, 1, 5, 10), busyMachine(3, 1, 8, 12)},
				Demands: []Demand{d, later}, Teams: []Team{{}}, Weights: paperWeights}
			tt.change(&in)
			p := MakePlan(in)
			var got []int
			for _, r := range p.Reservations {
				got = append(got, r.Machine)
			}
			slices.Sort(got)
			if !reflect.DeepEqual(got, tt.want) || len(p.Preemptions) != tt.preemptions {
				t.Errorf("machines %v reserved, %d preemptions, want %v and %d", got, len(p.Preemptions), tt.want, tt.preemptions)
			}
		})
	}
}
