package place

import (
	"fmt"
	"slices"
	"testing"

	"vetchstream/internal/job"
)

// imageMachine is a machine with so many free CPUs of 8 and the images.
func imageMachine(id int, free float64, images ...int) Machine {
	m := machine(id, 0, 8)
	m.Free.CPUs, m.Images, m.FetchGBPerS = free, images, 0.5
	if free < 8 {
		m.Tasks = 1
	}
	return m
}

// fullMachine is a machine that is full with one victim.
func fullMachine(id int, loss float64, images ...int) Machine {
	m := imageMachine(id, 0, images...)
	m.Victims = []Victim{{ID: id, Priority: job.Idle, Team: -1, Need: Resources{CPUs: 8}, LossCPUSeconds: loss, RemainingS: 5}}
	return m
}

// imageDemand is an array of one task that needs a whole machine and the image.
func imageDemand(id, image int, edit func(*Demand)) Demand {
	d := demand(id, job.Array, 8, 0)
	d.Priority, d.Image, d.ImageGB, d.Team = job.Standard, image, 5, -1
	if edit != nil {
		edit(&d)
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
	want string // demand>machine for a placement, demand!machine for a preemption, demand?machine for a reservation
}

// imageTests returns the cases anew, because MakePlan changes its input.
func imageTests() []imageTest {
	return []imageTest{
		{"an array with time left leaves room to one that has its image there", Input{
			Machines: []Machine{imageMachine(0, 8, 1)}, Demands: []Demand{imageDemand(1, 0, withDelayScheduling), imageDemand(2, 1, withDelayScheduling)}}, "1>a"},
		{"and takes what is left", Input{
			Machines: []Machine{imageMachine(0, 8, 1), imageMachine(1, 8, 1)}, Demands: []Demand{imageDemand(1, 0, withDelayScheduling), imageDemand(2, 1, withDelayScheduling)}}, "1>a 0>b"},
		{"one without does not wait", Input{
			Machines: []Machine{imageMachine(0, 8, 1)}, Demands: []Demand{imageDemand(1, 0, nil), imageDemand(2, 1, withDelayScheduling)}}, "0>a"},
		{"nor does one inside its guarantee", Input{Teams: []Team{{Guarantee: Resources{CPUs: 8}}}, Machines: []Machine{imageMachine(0, 8, 1)},
			Demands: []Demand{imageDemand(1, 0, func(d *Demand) { d.CanDelay, d.Team = true, 0 }), imageDemand(2, 1, withDelayScheduling)}}, "0>a"},
		{"a service in a hurry has room made where its image is", Input{
			Machines: []Machine{imageMachine(0, 8), fullMachine(1, 100, 0)}, Demands: []Demand{imageDemand(1, 0, withSlowFetch(job.Service))}}, "0!b"},
		{"and waits for that room", Input{
			Machines: []Machine{imageMachine(0, 8), func() Machine {
				m := fullMachine(1, 100, 0)
				m.ReservedFor, m.Reserved, m.Victims = 1, Resources{CPUs: 8}, nil
				return m
			}(), fullMachine(2, 1)}, Demands: []Demand{imageDemand(1, 0, withSlowFetch(job.Service))}}, ""},
		{"without any such machine it takes another", Input{
			Machines: []Machine{imageMachine(0, 8), fullMachine(1, 100, 1)}, Demands: []Demand{imageDemand(1, 0, withSlowFetch(job.Service))}}, "0>a"},
		{"work is stopped where the image is, though more is lost", Input{
			Machines: []Machine{fullMachine(0, 1), fullMachine(1, 100, 0)}, Demands: []Demand{imageDemand(1, 0, func(d *Demand) { d.Shape, d.MayPreempt = job.Service, true })}}, "0!b"},
		{"a gang in a hurry waits for one of many machines with its image", Input{
			Machines: slices.Concat([]Machine{imageMachine(0, 8)}, slices.Repeat([]Machine{imageMachine(1, 0, 0)}, commonImageFactor)), Demands: []Demand{imageDemand(1, 0, withSlowFetch(job.Gang))}}, ""},
		{"and has the soonest of them kept", Input{
			Machines: slices.Concat([]Machine{imageMachine(0, 8)}, slices.Repeat([]Machine{imageMachine(1, 0, 0)}, commonImageFactor), []Machine{func() Machine {
				m := fullMachine(9, 1, 0)
				m.Victims[0].Priority = job.Standard
				return m
			}()}), Demands: []Demand{imageDemand(1, 0, withSlowFetch(job.Gang))}}, "0?j"},
		{"not if there are few", Input{
			Machines: []Machine{imageMachine(0, 8), imageMachine(1, 0, 0)}, Demands: []Demand{imageDemand(1, 0, withSlowFetch(job.Gang))}}, "0>a"},
		{"room for replicas that are kept apart is made in each zone", Input{
			Machines: func() []Machine {
				ms := []Machine{fullMachine(0, 1), fullMachine(1, 2), fullMachine(2, 100)}
				ms[2].Zone = 1
				return ms
			}(), Demands: []Demand{imageDemand(1, 0, func(d *Demand) {
				d.Shape, d.MayPreempt, d.Spread, d.Total, d.Pending = job.Service, true, true, 2, []int32{0, 1}
			})}}, "0!a 0!c"},
	}
}

// TestImagePlacement: delay scheduling, and preemption where an image is cached. "a" to
// "d" are machines; image 0 is the first demand's.
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
		for _, e := range p.Preemptions {
			got += fmt.Sprintf(" %d!%c", e.Demand, 'a'+e.Machine)
		}
		for _, r := range p.Reservations {
			got += fmt.Sprintf(" %d?%c", r.Demand, 'a'+r.Machine)
		}
		if got != "" {
			got = got[1:]
		}
		if got != tt.want {
			t.Errorf("%s: %q, want %q", tt.name, got, tt.want)
		}
	}
}
