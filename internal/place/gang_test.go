package place

import (
	"reflect"
	"slices"
	"testing"

	"vetchstream/internal/job"
)

// busyMachine is a machine that is full of tasks with the given remaining times, in seconds.
func busyMachine(id, zone int, left ...float64) Machine {
	m := machine(id, zone, 8)
	m.Free = Resources{MemGB: 30}
	for i, l := range left {
		m.Victims = append(m.Victims, Victim{ID: 10*id + i, Priority: job.Standard, Team: 0, Need: Resources{CPUs: 8 / float64(len(left))}, RemainingS: l})
	}
	return m
}

var reserveTests = []struct {
	name        string
	change      func(*Input)
	want        []int // reserved machines
	preemptions int   // machines on which work is stopped
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
				in.Machines[i].Victims[v].RemainingS = 500
			}
		}
	}, nil, 0},
	{"unless the gang has waited for longer than that", func(in *Input) {
		for i := range in.Machines {
			for v := range in.Machines[i].Victims {
				in.Machines[i].Victims[v].RemainingS = 100
			}
		}
		in.Demands[0].WaitedS = 110
	}, []int{0, 1}, 0},
	{"but not for ever", func(in *Input) {
		for i := range in.Machines {
			for v := range in.Machines[i].Victims {
				in.Machines[i].Victims[v].RemainingS = 500
			}
		}
		in.Demands[0].WaitedS = 1000
	}, nil, 0},
	{"work of a lower priority is stopped at once", func(in *Input) { in.Demands[0].Priority = job.Urgent }, nil, 2},
	{"only where it is the last that is in the way", func(in *Input) {
		for i := range in.Machines {
			in.Machines[i].Victims[0].Priority = job.Idle
		}
	}, []int{2, 3}, 0},
}

// TestGangReservation: a gang that may stop nothing gets machines kept for it where room
// comes soonest, so that arrays of its own priority do not fill it up again.
func TestGangReservation(t *testing.T) {
	for _, tt := range reserveTests {
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
				t.Errorf("reserved %v, work stopped on %d, want %v and %d", got, len(p.Preemptions), tt.want, tt.preemptions)
			}
		})
	}
}
