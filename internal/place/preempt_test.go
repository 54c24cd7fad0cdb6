package place

import (
	"reflect"
	"testing"

	"vetchstream/internal/job"
)

// preemptInput returns an input with one machine that runs two victims, and a gang of a higher
// priority that lacks room.
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

// setGuaranteeClaim replaces the input by an array of four tasks whose team has the given
// guarantee of CPUs and uses three, and by three machines that each run a task on CPUs which the
// other team borrows.
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

// makeVictimsLate marks all victims of the first machine as late.
func makeVictimsLate(in *Input) {
	for v := range in.Machines[0].Victims {
		in.Machines[0].Victims[v].Late = true
	}
}

var preemptTests = []struct {
	name   string
	change func(*Input)
	want   []int // IDs of the preempted victims
}{
	{"the victim that makes room with the least loss is preempted", func(*Input) {}, []int{1}},
	{"a demand of the same priority preempts nothing", func(in *Input) { in.Demands[0].Priority = job.Standard }, nil},
	{"a demand within its guarantee preempts a task on borrowed CPUs", func(in *Input) {
		in.Demands[0].Priority = job.Standard
		in.Teams[0].Guarantee = Resources{CPUs: 10}
		in.Teams[1].Guarantee = Resources{CPUs: 2}
	}, []int{1}},
	{"nothing is preempted if the other team would fall below its guarantee", func(in *Input) {
		in.Demands[0].Priority = job.Standard
		in.Teams[0].Guarantee = Resources{CPUs: 10}
		in.Teams[1].Guarantee = Resources{CPUs: 5}
	}, nil},
	{"a victim whose whole gang would push its team below the guarantee is skipped", func(in *Input) {
		in.Demands[0].Priority = job.Standard
		in.Teams[0].Guarantee = Resources{CPUs: 10}
		in.Teams[1].Guarantee = Resources{CPUs: 2}
		in.Machines[0].Victims[1].Released = Resources{CPUs: 6}
	}, []int{0}},
	{"nothing is preempted if the other team, without its tasks being stopped, would fall below its guarantee", func(in *Input) {
		in.Demands[0].Priority = job.Standard
		in.Teams[0].Guarantee = Resources{CPUs: 10}
		in.Teams[1].Guarantee, in.Teams[1].Stopping = Resources{CPUs: 2}, Resources{CPUs: 3}
	}, nil},
	{"a demand within its GPU guarantee preempts tasks on borrowed GPUs", func(in *Input) {
		in.Demands[0].Priority = job.Standard
		in.Demands[0].Need = Resources{CPUs: 4, GPUs: 4}
		in.Machines[0].Total.GPUs = 4
		for i := range in.Machines[0].Victims {
			in.Machines[0].Victims[i].Need.GPUs = 2
		}
		in.Teams[0].Guarantee = Resources{GPUs: 10}
		in.Teams[1] = Team{Guarantee: Resources{GPUs: 1}, Used: Resources{CPUs: 7, GPUs: 6}}
	}, []int{1, 0}},
	{"a demand within its guarantee does not preempt tasks within another guarantee", func(in *Input) {
		in.Demands[0].Priority = job.Standard
		in.Teams[0].Guarantee = Resources{CPUs: 10}
		in.Teams[1].Guarantee = Resources{CPUs: 7}
	}, nil},
	{"a higher priority outside its guarantee does not preempt late tasks within theirs", func(in *Input) {
		in.Teams[0] = Team{Guarantee: Resources{CPUs: 2}, Used: Resources{CPUs: 5}}
		in.Teams[1].Guarantee = Resources{CPUs: 10}
		makeVictimsLate(in)
	}, nil},
	{"a gang of higher priority partly outside its guarantee does not preempt late tasks within theirs", func(in *Input) {
		in.Teams[0].Guarantee = Resources{CPUs: 6}
		in.Teams[1].Guarantee = Resources{CPUs: 10}
		in.Demands[0].Pending, in.Demands[0].Total = []int32{0, 1}, 2
		in.Machines = append(in.Machines, machine(1, 0, 4))
		makeVictimsLate(in)
	}, nil},
	{"a higher priority outside its guarantee preempts tasks within theirs that are not late", func(in *Input) {
		in.Teams[0] = Team{Guarantee: Resources{CPUs: 2}, Used: Resources{CPUs: 5}}
		in.Teams[1].Guarantee = Resources{CPUs: 10}
	}, []int{1}},
	{"a higher priority within its guarantee preempts late tasks within theirs", func(in *Input) {
		in.Teams[0].Guarantee = Resources{CPUs: 10}
		in.Teams[1].Guarantee = Resources{CPUs: 10}
		makeVictimsLate(in)
	}, []int{1}},
	{"a higher priority outside its guarantee preempts late tasks outside theirs", func(in *Input) {
		in.Teams[0] = Team{Guarantee: Resources{CPUs: 2}, Used: Resources{CPUs: 5}}
		in.Teams[1].Guarantee = Resources{CPUs: 4}
		makeVictimsLate(in)
	}, []int{1}},
	{"a lower priority within its guarantee preempts a higher priority on borrowed CPUs", func(in *Input) {
		in.Demands[0].Priority = job.Standard
		in.Teams[0].Guarantee = Resources{CPUs: 10}
		in.Teams[1].Guarantee = Resources{CPUs: 2}
		for v := range in.Machines[0].Victims {
			in.Machines[0].Victims[v].Priority = job.Urgent
		}
	}, []int{1}},
	{"an array preempts for two of four tasks if its guarantee has room for two", func(in *Input) { setGuaranteeClaim(in, 5) }, []int{0, 1}},
	{"resources already reserved by preemption count against the guarantee", func(in *Input) {
		setGuaranteeClaim(in, 5)
		in.Machines[0].ReservedFor, in.Machines[0].Reserved = 1, Resources{CPUs: 1}
	}, []int{1}},
	{"an array preempts for three of four tasks if its guarantee has room for three", func(in *Input) { setGuaranteeClaim(in, 6) }, []int{0, 1, 2}},
	{"nothing is preempted if a machine is already being freed for the gang", func(in *Input) {
		in.Machines[0].ReservedFor, in.Machines[0].Reserved = 1, Resources{CPUs: 4}
	}, nil},
}

// TestPreempt checks which victims a gang or an array preempts, by priority and by guarantee.
func TestPreempt(t *testing.T) {
	for _, tt := range preemptTests {
		t.Run(tt.name, func(t *testing.T) {
			in := preemptInput()
			tt.change(&in)
			p := MakePlan(in)
			var got []int
			for _, preemption := range p.Preemptions {
				got = append(got, preemption.Victims...)
			}
			if !reflect.DeepEqual(got, tt.want) {
				t.Errorf("preempted victims %v, want %v", got, tt.want)
			}
		})
	}
}
