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

// referencePlanner is the planner as the paper describes it, which scores every machine for
// every task. The queue of MakePlan must come to the same result, ties included.
type referencePlanner struct {
	planner
}

func (p *referencePlanner) best(d *Demand, task int32, zone int) int {
	best, length := -1, math.Inf(1)
	for i := range p.Machines {
		m := &p.Machines[i]
		if (zone >= 0 && m.Zone != zone) || !m.available(d).Fits(d.Need) || !p.eligible(m, d) || m.UnclearedExits[TaskKey{d.ID, task}] {
			continue
		}
		if l := Cost(&p.Weights, m, d); l < length {
			best, length = i, l
		}
	}
	return best
}

// place places the tasks of demand i that fit in a zone, or in any if zone is -1.
func (p *referencePlanner) place(i, zone int) (set []Assignment, length float64) {
	d := &p.Demands[i]
	for _, t := range d.Pending {
		if d.Team >= 0 && !p.Teams[d.Team].withinLimit(d.Need) {
			break
		}
		m := p.best(d, t, zone)
		if m < 0 {
			break
		}
		length += Cost(&p.Weights, &p.Machines[m], d)
		p.assign(d, m)
		set = append(set, Assignment{i, t, m})
	}
	return set, length
}

func (p *referencePlanner) clone() *referencePlanner {
	q := &referencePlanner{planner{Input: p.Input}}
	q.Machines, q.Teams, q.Demands = slices.Clone(p.Machines), slices.Clone(p.Teams), slices.Clone(p.Demands)
	for i := range q.Demands {
		q.Demands[i].TasksByZone = slices.Clone(q.Demands[i].TasksByZone)
	}
	return q
}

func referencePlan(in Input, order []int) (all []Assignment) {
	p := (&referencePlanner{planner{Input: in}}).clone()
	for _, i := range order {
		d := &p.Demands[i]
		if d.Shape != job.Gang {
			zone := d.Zone
			if d.OneZone && zone < 0 {
				zone = p.zoneWithMostRoom(d)
			}
			set, _ := p.place(i, zone)
			all = append(all, set...)
			continue
		}
		zones := []int{-1}
		if d.OneZone {
			zones = []int{0, 1, 2}
		}
		best, shortest := p, math.Inf(1)
		var chosen []Assignment
		for _, z := range zones {
			q := p.clone()
			if set, l := q.place(i, z); len(set) == len(d.Pending) && l < shortest {
				best, shortest, chosen = q, l, set
			}
		}
		p, all = best, append(all, chosen...)
	}
	return all
}

func randomInput(r *rand.Rand, machines, demands int) Input {
	w := paperWeights
	w.Price, w.Empty = 30, 300
	in := Input{Weights: w, Teams: []Team{{}, {Limit: Resources{CPUs: float64(machines)}}, {Guarantee: Resources{CPUs: 20}}}}
	for i := range machines {
		// Few different values give many ties.
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
			// Interchangeable with the one before, and next to it in the order.
			like := in.Demands[i-1]
			like.ID, like.TasksByZone = d.ID, d.TasksByZone
			d = like
		}
		in.Demands = append(in.Demands, d)
	}
	return in
}

// TestMakePlanMatchesReference: the queue chooses what scoring every machine for every task would.
func TestMakePlanMatchesReference(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 2))
		in := randomInput(r, 6+r.IntN(60), 1+r.IntN(8))
		same := (&referencePlanner{planner{Input: in}}).clone().Input
		p := MakePlan(in)
		var order []int
		for _, a := range p.Assignments {
			if !slices.Contains(order, a.Demand) {
				order = append(order, a.Demand)
			}
		}
		// Demands that got nothing take nothing either, so that their turn does not matter.
		for i := range in.Demands {
			if !slices.Contains(order, i) {
				order = append(order, i)
			}
		}
		if want := referencePlan(same, order); !reflect.DeepEqual(p.Assignments, want) {
			t.Errorf("seed %d: placed\n%v, want\n%v", seed, p.Assignments, want)
		}
	}
}

// BenchmarkMakePlan makes a plan for a large fleet: "full" has no room,
// the other places large arrays and gangs.
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
