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

// plain is the planner as the paper describes it, a look at every machine for
// every task: what the queue of Make must come to, ties included.
type plain struct {
	planner
}

func (p *plain) best(d *Demand, task int32, zone int) int {
	best, length := -1, math.Inf(1)
	for i := range p.Machines {
		m := &p.Machines[i]
		if (zone >= 0 && m.Zone != zone) || !free(m, d).Fits(d.Need) || !p.allowed(m, d) || m.Exits[Task{d.ID, task}] {
			continue
		}
		if l := Length(&p.Weights, m, d); l < length {
			best, length = i, l
		}
	}
	return best
}

// place puts all tasks of demand i that fit into a zone, or into any (-1).
func (p *plain) place(i, zone int) (set []Assignment, length float64) {
	d := &p.Demands[i]
	for _, t := range d.Pending {
		if d.Team >= 0 && !p.Teams[d.Team].room(d.Need) {
			break
		}
		m := p.best(d, t, zone)
		if m < 0 {
			break
		}
		length += Length(&p.Weights, &p.Machines[m], d)
		p.take(d, m)
		set = append(set, Assignment{i, t, m})
	}
	return set, length
}

func (p *plain) copyOf() *plain {
	q := &plain{planner{Input: p.Input}}
	q.Machines, q.Teams, q.Demands = slices.Clone(p.Machines), slices.Clone(p.Teams), slices.Clone(p.Demands)
	for i := range q.Demands {
		q.Demands[i].InZone = slices.Clone(q.Demands[i].InZone)
	}
	return q
}

func plainMake(in Input, order []int) (all []Assignment) {
	p := (&plain{planner{Input: in}}).copyOf()
	for _, i := range order {
		d := &p.Demands[i]
		if d.Shape != job.Gang {
			zone := d.Zone
			if d.OneZone && zone < 0 {
				zone = p.roomiest(d)
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
			q := p.copyOf()
			if set, l := q.place(i, z); len(set) == len(d.Pending) && l < shortest {
				best, shortest, chosen = q, l, set
			}
		}
		p, all = best, append(all, chosen...)
	}
	return all
}

func randomFleet(r *rand.Rand, machines, demands int) Input {
	w := paper
	w.Price, w.Empty = 30, 300
	in := Input{Weights: w, Teams: []Team{{}, {Limit: Amount{CPUs: float64(machines)}}, {Guarantee: Amount{CPUs: 20}}}}
	for i := range machines {
		// Few different values, so that there are many ties.
		cpus := float64(int(4) << r.IntN(3))
		m := machine(i, r.IntN(3), cpus)
		m.Type, m.Spot, m.Scale, m.Price = int(math.Log2(cpus))-2, r.IntN(2) == 0, 4/cpus, float64(1+r.IntN(3))
		m.Free.CPUs -= float64(r.IntN(int(cpus) + 1))
		m.Jobs, m.Queue, m.Unreliable = r.IntN(3), r.IntN(2), r.IntN(9) == 0
		for image := range 4 {
			if r.IntN(3) == 0 {
				m.Images = append(m.Images, image)
			}
		}
		if r.IntN(8) == 0 {
			m.KeptFor, m.Kept = 1+r.IntN(demands), Amount{CPUs: 2, MemGB: 1}
		}
		if r.IntN(4) == 0 {
			m.Exits = map[Task]bool{{1 + r.IntN(demands), int32(r.IntN(4))}: true}
		}
		in.Machines = append(in.Machines, m)
	}
	for i := range demands {
		d := demand(1+i, job.Shape(r.IntN(3)), float64(1+r.IntN(5)))
		for t := range int32(1 + r.IntN(12)) {
			d.Pending = append(d.Pending, t)
		}
		d.Total, d.Team, d.Image, d.LastMachine = len(d.Pending), r.IntN(4)-1, r.IntN(4), r.IntN(machines)
		d.Rank, d.LatestStart, d.Spot = job.Priority(r.IntN(3)), float64(r.IntN(4)), r.IntN(2) == 0
		d.OneZone, d.Spread = r.IntN(4) == 0, r.IntN(4) == 0
		if r.IntN(5) == 0 {
			d.TypeOK = []bool{true, r.IntN(2) == 0, false}
		}
		if d.Shape != job.Gang && !d.OneZone && r.IntN(5) == 0 {
			d.Zone = r.IntN(3)
		}
		if i > 0 && d.ID%3 == 0 {
			// One of a swarm: like the one before, and next to it in the order.
			like := in.Demands[i-1]
			like.ID, like.InZone = d.ID, d.InZone
			d = like
		}
		in.Demands = append(in.Demands, d)
	}
	return in
}

// TestPlain: the queue chooses what the plain sum over all machines would.
func TestPlain(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 2))
		in := randomFleet(r, 6+r.IntN(60), 1+r.IntN(8))
		same := (&plain{planner{Input: in}}).copyOf().Input
		p := Make(in)
		var order []int
		for _, a := range p.Assign {
			if !slices.Contains(order, a.Demand) {
				order = append(order, a.Demand)
			}
		}
		// Demands that got nothing take nothing either: their turn does not matter.
		for i := range in.Demands {
			if !slices.Contains(order, i) {
				order = append(order, i)
			}
		}
		if want := plainMake(same, order); !reflect.DeepEqual(p.Assign, want) {
			t.Errorf("seed %d: placed\n%v, want\n%v", seed, p.Assign, want)
		}
	}
}

// BenchmarkMake is a pass over a fleet of the grown size: "full" has no room,
// "wave" takes in a large array and gangs.
func BenchmarkMake(b *testing.B) {
	for _, full := range []bool{true, false} {
		b.Run(fmt.Sprintf("full=%v", full), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 3))
			in := randomFleet(r, 850, 60)
			for i := range in.Machines {
				m := &in.Machines[i]
				m.KeptFor, m.Exits, m.Images = 0, nil, []int{r.IntN(4)}
				if m.Free = m.Total; full {
					m.Free = Amount{}
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
				p := plain{planner{Input: in}}
				Make(p.copyOf().Input)
			}
		})
	}
}
