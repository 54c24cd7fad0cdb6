package place

import (
	"reflect"
	"testing"

	"vetchstream/internal/job"
)

// preemptInput is a machine with two victims and a gang of a higher priority that lacks room.
func preemptInput() Input {
	m := machine(0, 0, 8)
	m.Free = Resources{CPUs: 1, MemGB: 30}
	m.Victims = []Victim{
		{ID: 0, Priority: job.Standard, Team: 1, Need: Resources{CPUs: 4}, LossCPUSeconds: 40},
		{ID: 1, Priority: job.Standard, Team: 1, Need: Resources{CPUs: 3}, LossCPUSeconds: 5},
	}
	d := demand(1, job.Gang, 4, 0)
	d.Priority, d.MayPreempt = job.Urgent, true
	return Input{Machines: []Machine{m}, Demands: []Demand{d}, Teams: []Team{{}, {Used: Resources{CPUs: 7}}}, Weights: paperWeights}
}

// setGuaranteeClaim makes an array of four wait whose team uses three CPUs; on each of three machines
// there is a task that the other team borrows for.
func setGuaranteeClaim(in *Input, guarantee float64) {
	d := demand(1, job.Array, 1, 0, 1, 2, 3)
	d.Priority, d.MayPreempt = job.Standard, true
	in.Demands = []Demand{d}
	in.Teams = []Team{{Guarantee: Resources{CPUs: guarantee}, Used: Resources{CPUs: 3}}, {Guarantee: Resources{CPUs: 1}, Used: Resources{CPUs: 20}}}
	in.Machines = nil
	for i := range 3 {
		m := machine(i, 0, 4)
		m.Free = Resources{MemGB: 8}
		m.Victims = []Victim{{ID: i, Priority: job.Standard, Team: 1, Need: Resources{CPUs: 4, MemGB: 1}, LossCPUSeconds: 1}}
		in.Machines = append(in.Machines, m)
	}
}

// makeVictimsLate makes all victims of the first machine late.
func makeVictimsLate(in *Input) {
	for v := range in.Machines[0].Victims {
		in.Machines[0].Victims[v].Late = true
	}
}

var preemptTests = []struct {
	name   string
	change func(*Input)
	want   []int
}{
	{"the cheapest victims that make room", func(*Input) {}, []int{1}},
	{"not the same priority", func(in *Input) { in.Demands[0].Priority = job.Standard }, nil},
	{"borrowed work yields to a guarantee", func(in *Input) {
		in.Demands[0].Priority = job.Standard
		in.Teams[0].Guarantee = Resources{CPUs: 10}
		in.Teams[1].Guarantee = Resources{CPUs: 2}
	}, []int{1}},
	{"no more than the other team has beyond its guarantee", func(in *Input) {
		in.Demands[0].Priority = job.Standard
		in.Teams[0].Guarantee = Resources{CPUs: 10}
		in.Teams[1].Guarantee = Resources{CPUs: 5}
	}, nil},
	{"a gang that would leave whole counts whole", func(in *Input) {
		in.Demands[0].Priority = job.Standard
		in.Teams[0].Guarantee = Resources{CPUs: 10}
		in.Teams[1].Guarantee = Resources{CPUs: 2}
		in.Machines[0].Victims[1].Released = Resources{CPUs: 6}
	}, []int{0}},
	{"what is leaving already is not beyond it", func(in *Input) {
		in.Demands[0].Priority = job.Standard
		in.Teams[0].Guarantee = Resources{CPUs: 10}
		in.Teams[1].Guarantee, in.Teams[1].Stopping = Resources{CPUs: 2}, Resources{CPUs: 3}
	}, nil},
	{"borrowed accelerators yield to a guarantee of accelerators", func(in *Input) {
		in.Demands[0].Priority = job.Standard
		in.Demands[0].Need = Resources{CPUs: 4, GPUs: 4}
		in.Machines[0].Total.GPUs = 4
		for i := range in.Machines[0].Victims {
			in.Machines[0].Victims[i].Need.GPUs = 2
		}
		in.Teams[0].Guarantee = Resources{GPUs: 10}
		in.Teams[1] = Team{Guarantee: Resources{GPUs: 1}, Used: Resources{CPUs: 7, GPUs: 6}}
	}, []int{1, 0}},
	{"guaranteed work does not yield to a guarantee", func(in *Input) {
		in.Demands[0].Priority = job.Standard
		in.Teams[0].Guarantee = Resources{CPUs: 10}
		in.Teams[1].Guarantee = Resources{CPUs: 7}
	}, nil},
	{"late work inside its guarantee does not yield to a higher priority that borrows", func(in *Input) {
		in.Teams[0] = Team{Guarantee: Resources{CPUs: 2}, Used: Resources{CPUs: 5}}
		in.Teams[1].Guarantee = Resources{CPUs: 10}
		makeVictimsLate(in)
	}, nil},
	{"nor to a gang that would borrow a part of it", func(in *Input) {
		in.Teams[0].Guarantee = Resources{CPUs: 6}
		in.Teams[1].Guarantee = Resources{CPUs: 10}
		in.Demands[0].Pending, in.Demands[0].Total = []int32{0, 1}, 2
		in.Machines = append(in.Machines, machine(1, 0, 4))
		makeVictimsLate(in)
	}, nil},
	{"it does while it has time, and does not claim the room back", func(in *Input) {
		in.Teams[0] = Team{Guarantee: Resources{CPUs: 2}, Used: Resources{CPUs: 5}}
		in.Teams[1].Guarantee = Resources{CPUs: 10}
	}, []int{1}},
	{"it does to a higher priority inside its own guarantee", func(in *Input) {
		in.Teams[0].Guarantee = Resources{CPUs: 10}
		in.Teams[1].Guarantee = Resources{CPUs: 10}
		makeVictimsLate(in)
	}, []int{1}},
	{"late work beyond its guarantee yields", func(in *Input) {
		in.Teams[0] = Team{Guarantee: Resources{CPUs: 2}, Used: Resources{CPUs: 5}}
		in.Teams[1].Guarantee = Resources{CPUs: 4}
		makeVictimsLate(in)
	}, []int{1}},
	{"and the other way round: late work takes the room that a higher priority borrows", func(in *Input) {
		in.Demands[0].Priority = job.Standard
		in.Teams[0].Guarantee = Resources{CPUs: 10}
		in.Teams[1].Guarantee = Resources{CPUs: 2}
		for v := range in.Machines[0].Victims {
			in.Machines[0].Victims[v].Priority = job.Urgent
		}
	}, []int{1}},
	{"no more is claimed than the guarantee holds", func(in *Input) { setGuaranteeClaim(in, 5) }, []int{0, 1}},
	{"what is being made counts", func(in *Input) {
		setGuaranteeClaim(in, 5)
		in.Machines[0].ReservedFor, in.Machines[0].Reserved = 1, Resources{CPUs: 1}
	}, []int{1}},
	{"all that the guarantee holds", func(in *Input) { setGuaranteeClaim(in, 6) }, []int{0, 1, 2}},
	{"nothing is stopped twice for one demand", func(in *Input) {
		in.Machines[0].ReservedFor, in.Machines[0].Reserved = 1, Resources{CPUs: 4}
	}, nil},
}

// TestPreempt: which victims a gang or an array may preempt, by priority and by guarantee.
func TestPreempt(t *testing.T) {
	for _, tt := range preemptTests {
		t.Run(tt.name, func(t *testing.T) {
			in := preemptInput()
			tt.change(&in)
			p := MakePlan(in)
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
