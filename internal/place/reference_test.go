package place

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"vetchstream/internal/job"
)

// referencePlanner is a simple planner that computes the cost of every machine for every task, as
// the paper describes it. MakePlan with its queue must give the same result, including ties.
type referencePlanner struct {
	planner
}

// best returns the index of the machine with the lowest cost for a task, or -1 if none has room.
func (p *referencePlanner) best(d *Demand, task int32, zone int) int {
	best, lowest := -1, math.Inf(1)
	for i := range p.Machines {
		m := &p.Machines[i]
		if (zone >= 0 && m.Zone != zone) || !m.available(d).Fits(d.Need) || !p.eligible(m, d) || m.UnclearedExits[TaskKey{d.ID, task}] {
			continue
		}
		if cost := Length(&p.Weights, m, d); cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// place places the tasks of demand i that fit in a zone, or in any zone if zone is -1. It returns
// the assignments and their total cost.
func (p *referencePlanner) place(i, zone int) (assignments []Assignment, cost float64) {
	d := &p.Demands[i]
	for _, task := range d.Pending {
		if d.Team >= 0 && !p.Teams[d.Team].withinLimit(d.Need) {
			break
		}
		m := p.best(d, task, zone)
		if m < 0 {
			break
		}
		cost += Length(&p.Weights, &p.Machines[m], d)
		p.assign(d, m)
		assignments = append(assignments, Assignment{i, task, m})
	}
	return assignments, cost
}

// clone returns a copy of the planner that shares no state with it that place changes.
func (p *referencePlanner) clone() *referencePlanner {
	q := &referencePlanner{planner{Input: p.Input}}
	q.Machines, q.Teams, q.Demands = slices.Clone(p.Machines), slices.Clone(p.Teams), slices.Clone(p.Demands)
	for i := range q.Demands {
		q.Demands[i].TasksByZone = slices.Clone(q.Demands[i].TasksByZone)
	}
	return q
}

// referencePlan returns the assignments of the demands, which it places in the given order.
func referencePlan(in Input, order []int) (all []Assignment) {
	p := (&referencePlanner{planner{Input: in}}).clone()
	for _, i := range order {
		d := &p.Demands[i]
		if d.Shape != job.Gang {
			zone := d.Zone
			if d.OneZone && zone < 0 {
				zone = p.zoneWithMostRoom(d)
			}
			assignments, _ := p.place(i, zone)
			all = append(all, assignments...)
			continue
		}
		zones := []int{-1}
		if d.OneZone {
			zones = []int{0, 1, 2}
		}
		best, lowest := p, math.Inf(1)
		var chosen []Assignment
		for _, zone := range zones {
			q := p.clone()
			if assignments, cost := q.place(i, zone); len(assignments) == len(d.Pending) && cost < lowest {
				best, lowest, chosen = q, cost, assignments
			}
		}
		p, all = best, append(all, chosen...)
	}
	return all
}

// randomInput returns a random input with the given numbers of machines and demands.
func randomInput(r *rand.Rand, machines, demands int) Input {
	w := paperWeights
	w.Price, w.Empty = 30, 300
	in := Input{Weights: w, Teams: []Team{{}, {Limit: Resources{CPUs: float64(machines)}}, {Guarantee: Resources{CPUs: 20}}}}
	for i := range machines {
		// The few different values lead to many ties.
		cpus := float64(int(4) << r.IntN(3))
		m := machine(i, r.IntN(3), cpus)
		m.Type, m.Spot, m.Scale, m.Price = int(math.Log2(cpus))-2, r.IntN(2) == 0, 4/cpus, float64(1+r.IntN(3))
		m.Free.CPUs -= float64(r.IntN(int(cpus) + 1))
		m.Tasks, m.WaitingTasks, m.Unreliable = r.IntN(3), r.IntN(2), r.IntN(9) == 0
		for image := range 4 {
			if r.IntN(3) == 0 {
				m.Images = append(m.Images, image)
			}
		}
		if r.IntN(8) == 0 {
			m.ReservedFor, m.Reserved = 1+r.IntN(demands), Resources{CPUs: 2, MemGB: 1}
		}
		if r.IntN(4) == 0 {
			m.UnclearedExits = map[TaskKey]bool{{1 + r.IntN(demands), int32(r.IntN(4))}: true}
		}
		in.Machines = append(in.Machines, m)
	}
	for i := range demands {
		d := demand(1+i, job.Shape(r.IntN(3)), float64(1+r.IntN(5)))
		for t := range int32(1 + r.IntN(12)) {
			d.Pending = append(d.Pending, t)
		}
		d.Total, d.Team, d.Image, d.LastMachine = len(d.Pending), r.IntN(4)-1, r.IntN(4), r.IntN(machines)
		d.Priority, d.LatestStart, d.Spot = job.Priority(r.IntN(3)), float64(r.IntN(4)), r.IntN(2) == 0
		d.OneZone, d.Spread = r.IntN(4) == 0, r.IntN(4) == 0
		if r.IntN(5) == 0 {
			d.AllowedTypes = []bool{true, r.IntN(2) == 0, false}
		}
		if d.Shape != job.Gang && !d.OneZone && r.IntN(5) == 0 {
			d.Zone = r.IntN(3)
		}
		if i > 0 && d.ID%3 == 0 {
			// A demand that is interchangeable with the previous one, and next to it in the order.
			similar := in.Demands[i-1]
			similar.ID, similar.TasksByZone = d.ID, d.TasksByZone
			d = similar
		}
		in.Demands = append(in.Demands, d)
	}
	return in
}

// TestMakePlanMatchesReference checks that MakePlan makes the same assignments as the reference
// planner, which computes the cost of every machine for every task.
func TestMakePlanMatchesReference(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 2))
		in := randomInput(r, 6+r.IntN(60), 1+r.IntN(8))
		inputCopy := (&referencePlanner{planner{Input: in}}).clone().Input
		p := MakePlan(in)
		var order []int
		for _, a := range p.Assignments {
			if !slices.Contains(order, a.Demand) {
				order = append(order, a.Demand)
			}
		}
		// The position of demands without assignments does not matter, because they use no
		// resources.
		for i := range in.Demands {
			if !slices.Contains(order, i) {
				order = append(order, i)
			}
		}
		if want := referencePlan(inputCopy, order); !reflect.DeepEqual(p.Assignments, want) {
			t.Errorf("seed %d: assignments\n%v, want\n%v", seed, p.Assignments, want)
		}
	}
}

// BenchmarkMakePlan measures MakePlan for a large fleet: without any room (full=true), and with
// large arrays and gangs to place in an empty fleet (full=false).
func BenchmarkMakePlan(b *testing.B) {
	for _, full := range []bool{true, false} {
		b.Run(fmt.Sprintf("full=%v", full), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 3))
			in := randomInput(r, 850, 60)
			for i := range in.Machines {
				m := &in.Machines[i]
				m.ReservedFor, m.UnclearedExits, m.Images = 0, nil, []int{r.IntN(4)}
				if m.Free = m.Total; full {
					m.Free = Resources{}
				}
			}
			for i := range in.Demands {
				d := &in.Demands[i]
				d.Shape, d.Spread, d.Pending = job.Array, false, nil
				for t := range int32(300) {
					d.Pending = append(d.Pending, t)
				}
				if i%2 == 0 {
					d.Shape, d.OneZone, d.Zone, d.Pending, d.Need.CPUs = job.Gang, true, -1, d.Pending[:24], 4
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				p := referencePlanner{planner{Input: in}}
				MakePlan(p.clone().Input)
			}
		})
	}
}
