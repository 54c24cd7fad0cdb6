package place

import "math"

// assign debits a task of the demand from machine i and its team, so that the next placement
// takes the load into account.
func (p *planner) assign(d *Demand, i int) {
	m := &p.Machines[i]
	m.Free = m.Free.addScaled(d.Need, -1)
	if m.ReservedFor == d.ID {
		if d.Team >= 0 && !m.AwaitsCompletion {
			t := &p.Teams[d.Team]
			t.Claimed = t.Claimed.addScaled(m.Reserved, -1)
		}
		m.claim(d)
	}
	m.Tasks++
	m.WaitingTasks++
	d.TasksByZone[m.Zone]++
	if d.Team >= 0 {
		t := &p.Teams[d.Team]
		t.Used = t.Used.addScaled(d.Need, 1)
	}
}

// placeWhereCached places a demand that would be late if it had to fetch its image. It prefers
// machines that have the image, where it also preempts tasks, and places only the remaining
// tasks on other machines.
func (p *planner) placeWhereCached(i int) {
	d := &p.Demands[i]
	p.placeTasks(i, true)
	if len(d.Pending) == 0 || p.plan.OverLimit[i] {
		return
	}
	pending := len(d.Pending)
	beingFreed := min(pending, p.countMachinesBeingFreed(d))
	if d.MayPreempt {
		if more := p.preempt(i, -1, pending-beingFreed, 0); more > 0 {
			beingFreed += more
			p.lastQueue = nil
		}
	}
	d.Pending = d.Pending[:pending-beingFreed]
	d.Waiting -= beingFreed
	if beingFreed < pending {
		p.placeTasks(i, false)
	}
}

// placeTasks places as many tasks of an array or a service as fit. With cachedOnly it uses
// only machines that have the image.
func (p *planner) placeTasks(i int, cachedOnly bool) {
	d := &p.Demands[i]
	zone := d.Zone
	if d.OneZone && zone < 0 {
		zone = p.zoneWithMostRoom(d)
	}
	q := p.reuseQueue(d, zone, cachedOnly)
	p.lastQueue = q
	pending := d.Pending
	for placed, task := range pending {
		if !p.withinTeamLimit(d, d.Need) {
			p.plan.OverLimit[i] = true
			return
		}
		m := q.next(task)
		if m < 0 {
			if !cachedOnly {
				p.reportUnplaced(i, len(pending)-placed)
			}
			return
		}
		p.assign(d, m)
		q.placed(m)
		p.plan.Assignments = append(p.plan.Assignments, Assignment{Demand: i, Task: task, Machine: m})
		d.Pending = pending[placed+1:]
		d.Waiting--
	}
}

// reportUnplaced records that no machine has room for the rest of a demand, of which pending
// tasks should have been placed now, and preempts other tasks if the demand may.
func (p *planner) reportUnplaced(i, pending int) {
	d := &p.Demands[i]
	p.plan.Unplaced[i] = p.capToTeamLimit(d, max(d.Waiting, pending))
	if d.MayPreempt && p.preempt(i, -1, p.plan.Unplaced[i]-p.countMachinesBeingFreed(d), math.Inf(1)) > 0 {
		p.lastQueue = nil
	}
}

// capToTeamLimit returns how many of n further tasks of the demand fit into its team's limit.
func (p *planner) capToTeamLimit(d *Demand, n int) int {
	if d.Team < 0 {
		return n
	}
	t := &p.Teams[d.Team]
	left := Resources{CPUs: math.Inf(1), GPUs: math.Inf(1), MemGB: math.Inf(1)}
	if t.Limit.CPUs > 0 {
		left.CPUs = t.Limit.CPUs - t.Used.CPUs
	}
	if t.Limit.GPUs > 0 {
		left.GPUs = t.Limit.GPUs - t.Used.GPUs
	}
	return min(n, left.FitCount(d.Need))
}

// zoneWithMostRoom returns the zone for a demand whose tasks must share a zone: the zone of
// its running tasks, or else the zone in which most of its tasks fit.
func (p *planner) zoneWithMostRoom(d *Demand) int {
	for z, n := range d.TasksByZone {
		if n > 0 {
			return z
		}
	}
	fitByZone := make([]int, len(d.TasksByZone))
	for i := range p.Machines {
		m := &p.Machines[i]
		if p.eligible(m, d) {
			fitByZone[m.Zone] += m.available(d).FitCount(d.Need)
		}
	}
	best := 0
	for z, n := range fitByZone {
		if n > fitByZone[best] {
			best = z
		}
	}
	return best
}
