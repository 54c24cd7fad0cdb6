package place

import (
	"container/heap"
	"slices"

	"vetchstream/internal/job"
)

// candidateQueue is a heap of the machines that have room for a task of a demand, ordered by
// cost and then by index. It gives the same result as computing the cost of every machine for
// every task, but computes it only once for all tasks of the demand, because a placement
// changes the cost of its own machine only. For a service, a placement changes the cost of
// the whole zone, so the queue is rebuilt after each replica.
type candidateQueue struct {
	planner *planner
	demand  *Demand
	// zone is the only zone of the candidates, or -1 for any.
	zone int
	// cachedOnly restricts the candidates to machines that have the image or are fetching it.
	cachedOnly bool
	heap       []candidate
	// capacity is the number of tasks that fit when the queue is built.
	capacity int
}

// candidate is a machine with its cost.
type candidate struct {
	cost    float64
	machine int // index into Input.Machines
}

// Len implements heap.Interface.
func (q *candidateQueue) Len() int { return len(q.heap) }

// Less implements heap.Interface.
func (q *candidateQueue) Less(a, b int) bool {
	x, y := &q.heap[a], &q.heap[b]
	return x.cost < y.cost || (x.cost == y.cost && x.machine < y.machine)
}

// Swap implements heap.Interface.
func (q *candidateQueue) Swap(a, b int) { q.heap[a], q.heap[b] = q.heap[b], q.heap[a] }

// Push implements heap.Interface.
func (q *candidateQueue) Push(x any) { q.heap = append(q.heap, x.(candidate)) }

// Pop implements heap.Interface.
func (q *candidateQueue) Pop() any {
	last := len(q.heap) - 1
	popped := q.heap[last]
	q.heap = q.heap[:last]
	return popped
}

// newQueue returns a new queue for a demand.
func (p *planner) newQueue(d *Demand, zone int, cachedOnly bool) *candidateQueue {
	q := &candidateQueue{
		planner:    p,
		demand:     d,
		zone:       zone,
		cachedOnly: cachedOnly,
	}
	q.fill()
	return q
}

// reuseQueue returns the previous demand's queue if it has the same candidates and costs, and
// a new one otherwise. This saves computing the cost of every machine for each of thousands
// of similar small jobs.
func (p *planner) reuseQueue(d *Demand, zone int, cachedOnly bool) *candidateQueue {
	q := p.lastQueue
	if q == nil || q.zone != zone || q.cachedOnly != cachedOnly || !p.sharesQueue(q.demand, d) {
		return p.newQueue(d, zone, cachedOnly)
	}
	q.demand = d
	return q
}

// sharesQueue reports whether two demands have the same candidates with the same costs.
func (p *planner) sharesQueue(a, b *Demand) bool {
	if p.usesCalendar && (a.EndsInS != b.EndsInS || a.Movable != b.Movable) {
		return false
	}
	return interchangeable(a, b) && !p.reservedFor[a.ID] && !p.reservedFor[b.ID]
}

// interchangeable reports whether two demands may use the same machines at the same costs,
// regardless of which of their tasks have been placed.
func interchangeable(a, b *Demand) bool {
	return a.Shape == job.Array && b.Shape == job.Array &&
		a.Need == b.Need &&
		a.Image == b.Image &&
		a.LastMachine == b.LastMachine &&
		a.Spot == b.Spot &&
		a.Zone == b.Zone &&
		slices.Equal(a.AllowedTypes, b.AllowedTypes) &&
		!a.OneZone && !b.OneZone &&
		!a.Spread && !b.Spread
}

// fill builds the heap from all machines.
func (q *candidateQueue) fill() {
	q.heap = q.heap[:0]
	q.capacity = 0
	q.planner.eachMachine(q.zone, func(i int, m *Machine) {
		// The first condition is a cheap check that hasRoom would also make.
		if m.Free.CPUs+slack < q.demand.Need.CPUs || !q.hasRoom(m) || (q.cachedOnly && !m.hasImage(q.demand)) {
			return
		}
		q.capacity += m.available(q.demand).FitCount(q.demand.Need)
		q.heap = append(q.heap, candidate{cost: q.cost(m), machine: i})
	})
	heap.Init(q)
}

// hasRoom reports whether another task of the demand may run on the machine.
func (q *candidateQueue) hasRoom(m *Machine) bool {
	return m.available(q.demand).Fits(q.demand.Need) && q.planner.eligible(m, q.demand)
}

func (q *candidateQueue) cost(m *Machine) float64 {
	return Length(&q.planner.Weights, m, q.demand)
}

// next returns the index of the best machine for a task, or -1 if there is none.
func (q *candidateQueue) next(task int32) int {
	// skipped holds machines that would refuse this task but remain candidates for others.
	var skipped []candidate
	best := -1
	for len(q.heap) > 0 {
		c := q.heap[0]
		m := &q.planner.Machines[c.machine]
		if !q.hasRoom(m) {
			heap.Pop(q) // permanently: the machine is full, or the demand may no longer use its zone
			continue
		}
		if len(m.UnclearedExits) > 0 && m.UnclearedExits[TaskKey{Demand: q.demand.ID, Task: task}] {
			skipped = append(skipped, heap.Pop(q).(candidate))
			continue
		}
		best = c.machine
		break
	}
	for _, c := range skipped {
		heap.Push(q, c)
	}
	return best
}

// placed updates the queue after a task was placed on machine i.
func (q *candidateQueue) placed(i int) {
	if q.demand.Shape == job.Service {
		q.fill()
		return
	}
	for at := range q.heap {
		if q.heap[at].machine == i {
			q.heap[at].cost = q.cost(&q.planner.Machines[i])
			heap.Fix(q, at)
			return
		}
	}
}
