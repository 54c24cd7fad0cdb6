package place

import (
	"container/heap"
	"slices"

	"vetchstream/internal/job"
)

// candidateQueue holds the machines that have room for a task of a demand, the shortest
// length first and the first machine among equals: what a look at every machine
// would choose, but with one look for all tasks of the demand, because a
// placement changes the length of its own machine alone. (For a service it
// changes the zone's; its queue is made anew for each replica.)
type candidateQueue struct {
	p    *planner
	d    *Demand
	zone int
	// cachedOnly: only machines that have the image, or fetch it.
	cachedOnly bool
	heap       []candidate
	capacity   int // tasks that fit, at least
}

type candidate struct {
	length  float64
	machine int
}

func (q *candidateQueue) Len() int { return len(q.heap) }

func (q *candidateQueue) Less(a, b int) bool {
	x, y := &q.heap[a], &q.heap[b]
	return x.length < y.length || (x.length == y.length && x.machine < y.machine)
}

func (q *candidateQueue) Swap(a, b int) { q.heap[a], q.heap[b] = q.heap[b], q.heap[a] }

func (q *candidateQueue) Push(x any) { q.heap = append(q.heap, x.(candidate)) }

func (q *candidateQueue) Pop() any {
	c := q.heap[len(q.heap)-1]
	q.heap = q.heap[:len(q.heap)-1]
	return c
}

func (p *planner) newQueue(d *Demand, zone int, cached bool) *candidateQueue {
	q := &candidateQueue{p: p, d: d, zone: zone, cachedOnly: cached}
	q.fill()
	return q
}

// reuseQueue is queue, taken over from the demand before if that one asks for the
// same of its machines: a swarm of thousands of small jobs must not cost a look
// at every machine for each of them.
func (p *planner) reuseQueue(d *Demand, zone int, cached bool) *candidateQueue {
	if q := p.lastQueue; q != nil && q.zone == zone && q.cachedOnly == cached && (!p.calendarBound || (q.d.EndsIn == d.EndsIn && q.d.Movable == d.Movable)) && interchangeable(q.d, d) && !p.reservedFor[q.d.ID] && !p.reservedFor[d.ID] {
		q.d = d
		return q
	}
	return p.newQueue(d, zone, cached)
}

// interchangeable reports whether two demands see the same length on every machine, and may
// use the same ones, whatever has been placed of either.
func interchangeable(a, b *Demand) bool {
	return a.Shape == job.Array && b.Shape == job.Array && a.Need == b.Need && a.Image == b.Image &&
		a.LastMachine == b.LastMachine && a.Spot == b.Spot && a.Zone == b.Zone && slices.Equal(a.AllowedTypes, b.AllowedTypes) &&
		!a.OneZone && !b.OneZone && !a.Spread && !b.Spread
}

func (q *candidateQueue) fill() {
	q.heap, q.capacity = q.heap[:0], 0
	q.p.eachMachine(q.zone, func(i int, m *Machine) {
		if m.Free.CPUs+slack < q.d.Need.CPUs || !available(m, q.d).Fits(q.d.Need) || !q.p.eligible(m, q.d) ||
			(q.cachedOnly && !slices.Contains(m.Images, q.d.Image)) {
			return
		}
		q.capacity += available(m, q.d).FitCount(q.d.Need)
		q.heap = append(q.heap, candidate{Length(&q.p.Weights, m, q.d), i})
	})
	heap.Init(q)
}

// next is the best machine for a task, or -1.
func (q *candidateQueue) next(task int32) int {
	var aside []candidate
	best := -1
	for len(q.heap) > 0 {
		c := q.heap[0]
		m := &q.p.Machines[c.machine]
		if !available(m, q.d).Fits(q.d.Need) || !q.p.eligible(m, q.d) {
			heap.Pop(q) // full, or its zone is closed by now: for good
			continue
		}
		if len(m.UnclearedExits) > 0 && m.UnclearedExits[Task{q.d.ID, task}] {
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

// placed brings the queue up to date after a placement on machine i.
func (q *candidateQueue) placed(i int) {
	if q.d.Shape == job.Service {
		q.fill()
		return
	}
	for at := range q.heap {
		if q.heap[at].machine == i {
			q.heap[at].length = Length(&q.p.Weights, &q.p.Machines[i], q.d)
			heap.Fix(q, at)
			return
		}
	}
}
