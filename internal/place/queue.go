package place

import (
	"container/heap"
	"slices"

	"vetchstream/internal/job"
)

// queue holds the machines that have room for a task of a demand, the shortest
// length first and the first machine among equals: what a look at every machine
// would choose, but with one look for all tasks of the demand, because a
// placement changes the length of its own machine alone. (For a service it
// changes the zone's; its queue is made anew for each replica.)
type queue struct {
	p    *planner
	d    *Demand
	zone int
	// cached: only machines that have the image, or fetch it.
	cached bool
	at     []candidate
	room   int // tasks that fit, at least
}

type candidate struct {
	length  float64
	machine int
}

func (q *queue) Len() int { return len(q.at) }

func (q *queue) Less(a, b int) bool {
	x, y := &q.at[a], &q.at[b]
	return x.length < y.length || (x.length == y.length && x.machine < y.machine)
}

func (q *queue) Swap(a, b int) { q.at[a], q.at[b] = q.at[b], q.at[a] }

func (q *queue) Push(x any) { q.at = append(q.at, x.(candidate)) }

func (q *queue) Pop() any {
	c := q.at[len(q.at)-1]
	q.at = q.at[:len(q.at)-1]
	return c
}

func (p *planner) queue(d *Demand, zone int, cached bool) *queue {
	q := &queue{p: p, d: d, zone: zone, cached: cached}
	q.fill()
	return q
}

// queueAgain is queue, taken over from the demand before if that one asks for the
// same of its machines: a swarm of thousands of small jobs must not cost a look
// at every machine for each of them.
func (p *planner) queueAgain(d *Demand, zone int, cached bool) *queue {
	if q := p.last; q != nil && q.zone == zone && q.cached == cached && (!p.promised || (q.d.EndsIn == d.EndsIn && q.d.Movable == d.Movable)) && alike(q.d, d) && !p.keptFor[q.d.ID] && !p.keptFor[d.ID] {
		q.d = d
		return q
	}
	return p.queue(d, zone, cached)
}

// alike reports whether two demands see the same length on every machine, and may
// use the same ones, whatever has been placed of either.
func alike(a, b *Demand) bool {
	return a.Shape == job.Array && b.Shape == job.Array && a.Need == b.Need && a.Image == b.Image &&
		a.LastMachine == b.LastMachine && a.Spot == b.Spot && a.Zone == b.Zone && slices.Equal(a.TypeOK, b.TypeOK) &&
		!a.OneZone && !b.OneZone && !a.Spread && !b.Spread
}

func (q *queue) fill() {
	q.at, q.room = q.at[:0], 0
	q.p.each(q.zone, func(i int, m *Machine) {
		if m.Free.CPUs+slack < q.d.Need.CPUs || !free(m, q.d).Fits(q.d.Need) || !q.p.allowed(m, q.d) ||
			(q.cached && !slices.Contains(m.Images, q.d.Image)) {
			return
		}
		q.room += free(m, q.d).Times(q.d.Need)
		q.at = append(q.at, candidate{Length(&q.p.Weights, m, q.d), i})
	})
	heap.Init(q)
}

// next is the best machine for a task, or -1.
func (q *queue) next(task int32) int {
	var aside []candidate
	best := -1
	for len(q.at) > 0 {
		c := q.at[0]
		m := &q.p.Machines[c.machine]
		if !free(m, q.d).Fits(q.d.Need) || !q.p.allowed(m, q.d) {
			heap.Pop(q) // full, or its zone is closed by now: for good
			continue
		}
		if len(m.Exits) > 0 && m.Exits[Task{q.d.ID, task}] {
			aside = append(aside, heap.Pop(q).(candidate))
			continue
		}
		best = c.machine
		break
	}
	for _, c := range aside {
		heap.Push(q, c)
	}
	return best
}

// taken brings the queue up to date after a placement on machine i.
func (q *queue) taken(i int) {
	if q.d.Shape == job.Service {
		q.fill()
		return
	}
	for at := range q.at {
		if q.at[at].machine == i {
			q.at[at].length = Length(&q.p.Weights, &q.p.Machines[i], q.d)
			heap.Fix(q, at)
			return
		}
	}
}
