package place

import (
	"fmt"
	"slices"
	"testing"

	"vetchstream/internal/job"
)

// imageMachine returns a machine with the given number of free CPUs out of 8 and the given
// images.
func imageMachine(id int, freeCPUs float64, images ...int) Machine {
	m := machine(id, 0, 8)
	m.Free.CPUs, m.Images, m.FetchGBPerS = freeCPUs, images, 0.5
	if freeCPUs < 8 {
		m.Tasks = 1
	}
	return m
}

// fullMachine returns a machine that one victim fills.
func fullMachine(id int, lossCPUSeconds float64, images ...int) Machine {
	m := imageMachine(id, 0, images...)
	m.Victims = []Victim{{ID: id, Priority: job.Idle, Team: -1, Need: Resources{CPUs: 8}, LossCPUSeconds: lossCPUSeconds, RemainingS: 5}}
	return m
}

// imageDemand returns an array of one task that needs a whole machine and the image.
func imageDemand(id, image int, change func(*Demand)) Demand {
	d := demand(id, job.Array, 8, 0)
	d.Priority, d.Image, d.ImageGB, d.Team = job.Standard, image, 5, -1
	if change != nil {
		change(&d)
	}
	return d
}

func withDelayScheduling(d *Demand) { d.CanDelay = true }

func withSlowFetch(shape job.Shape) func(*Demand) {
	return func(d *Demand) { d.Shape, d.FetchTooSlow, d.MayPreempt = shape, true, true }
}

type imageTest struct {
	name string
	in   Input
	want string // "demand>machine" is an assignment, "demand!machine" a preemption, "demand?machine" a reservation
}

// imageTests returns new test cases on each call, because MakePlan modifies its input.
func imageTests() []imageTest {
	return []imageTest{
		{"delay scheduling: an array without the image leaves the machine to one whose image is cached", Input{
			Machines: []Machine{imageMachine(0, 8, 1)}, Demands: []Demand{imageDemand(1, 0, withDelayScheduling), imageDemand(2, 1, withDelayScheduling)}}, "1>a"},
		{"delay scheduling: an array without the image takes the machine that is left", Input{
			Machines: []Machine{imageMachine(0, 8, 1), imageMachine(1, 8, 1)}, Demands: []Demand{imageDemand(1, 0, withDelayScheduling), imageDemand(2, 1, withDelayScheduling)}}, "1>a 0>b"},
		{"an array without delay scheduling takes a machine without its image", Input{
			Machines: []Machine{imageMachine(0, 8, 1)}, Demands: []Demand{imageDemand(1, 0, nil), imageDemand(2, 1, withDelayScheduling)}}, "0>a"},
		{"an array within its guarantee takes a machine without its image, despite delay scheduling", Input{Teams: []Team{{Guarantee: Resources{CPUs: 8}}}, Machines: []Machine{imageMachine(0, 8, 1)},
			Demands: []Demand{imageDemand(1, 0, func(d *Demand) { d.CanDelay, d.Team = true, 0 }), imageDemand(2, 1, withDelayScheduling)}}, "0>a"},
		{"a service that a fetch would make late preempts where its image is cached", Input{
			Machines: []Machine{imageMachine(0, 8), fullMachine(1, 100, 0)}, Demands: []Demand{imageDemand(1, 0, withSlowFetch(job.Service))}}, "0!b"},
		{"a service that a fetch would make late waits for the machine being freed", Input{
			Machines: []Machine{imageMachine(0, 8), func() Machine {
				m := fullMachine(1, 100, 0)
				m.ReservedFor, m.Reserved, m.Victims = 1, Resources{CPUs: 8}, nil
				return m
			}(), fullMachine(2, 1)}, Demands: []Demand{imageDemand(1, 0, withSlowFetch(job.Service))}}, ""},
		{"a service that a fetch would make late takes a free machine if none has its image", Input{
			Machines: []Machine{imageMachine(0, 8), fullMachine(1, 100, 1)}, Demands: []Demand{imageDemand(1, 0, withSlowFetch(job.Service))}}, "0>a"},
		{"preemption prefers a machine with the image, although more work is lost", Input{
			Machines: []Machine{fullMachine(0, 1), fullMachine(1, 100, 0)}, Demands: []Demand{imageDemand(1, 0, func(d *Demand) { d.Shape, d.MayPreempt = job.Service, true })}}, "0!b"},
		{"a gang that a fetch would make late waits if many machines have its image", Input{
			Machines: slices.Concat([]Machine{imageMachine(0, 8)}, slices.Repeat([]Machine{imageMachine(1, 0, 0)}, commonImageFactor)), Demands: []Demand{imageDemand(1, 0, withSlowFetch(job.Gang))}}, ""},
		{"a gang that a fetch would make late reserves the machine with its image that has room soonest", Input{
			Machines: slices.Concat([]Machine{imageMachine(0, 8)}, slices.Repeat([]Machine{imageMachine(1, 0, 0)}, commonImageFactor), []Machine{func() Machine {
				m := fullMachine(9, 1, 0)
				m.Victims[0].Priority = job.Standard
				return m
			}()}), Demands: []Demand{imageDemand(1, 0, withSlowFetch(job.Gang))}}, "0?j"},
		{"a gang that a fetch would make late takes a free machine if few have its image", Input{
			Machines: []Machine{imageMachine(0, 8), imageMachine(1, 0, 0)}, Demands: []Demand{imageDemand(1, 0, withSlowFetch(job.Gang))}}, "0>a"},
		{"a service with spread replicas preempts in each zone", Input{
			Machines: func() []Machine {
				ms := []Machine{fullMachine(0, 1), fullMachine(1, 2), fullMachine(2, 100)}
				ms[2].Zone = 1
				return ms
			}(), Demands: []Demand{imageDemand(1, 0, func(d *Demand) {
				d.Shape, d.MayPreempt, d.Spread, d.Total, d.Pending = job.Service, true, true, 2, []int32{0, 1}
			})}}, "0!a 0!c"},
	}
}

// TestImagePlacement checks delay scheduling and preemption on machines that have the image.
// Letters name the machines, in order from "a". Image 0 is that of the first demand.
func TestImagePlacement(t *testing.T) {
	for _, tt := range imageTests() {
		tt.in.Weights = paperWeights
		for i := range tt.in.Machines {
			tt.in.Machines[i].ID = i
		}
		p := MakePlan(tt.in)
		got := ""
		for _, a := range p.Assignments {
			got += fmt.Sprintf(" %d>%c", a.Demand, 'a'+a.Machine)
		}
		for _, preemption := range p.Preemptions {
			got += fmt.Sprintf(" %d!%c", preemption.Demand, 'a'+preemption.Machine)
		}
		for _, r := range p.Reservations {
			got += fmt.Sprintf(" %d?%c", r.Demand, 'a'+r.Machine)
		}
		if got != "" {
			got = got[1:]
		}
		if got != tt.want {
			t.Errorf("%s: got plan %q, want %q", tt.name, got, tt.want)
		}
	}
}
