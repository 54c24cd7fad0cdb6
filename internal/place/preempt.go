package place

import (
	"cmp"
	"slices"

	"vetchstream/internal/job"
)

// canPreemptAny reports whether there can be anything at all that the demand may stop.
func (p *planner) canPreemptAny(d *Demand) bool {
	if !p.hasVictims {
		return false
	}
	if p.lowestRank < d.Rank {
		return true
	}
	if d.Team < 0 || !p.Teams[d.Team].withinGuarantee(d.Need) {
		return false
	}
	for t := range p.Teams {
		if t != d.Team && p.Teams[t].borrows() {
			return true
		}
	}
	return false
}

// canPreempt reports whether a demand may stop a victim: lower rank, or borrowed work
// of another team when the demand is within its own team's guarantee.
//
// Late work inside its team's guarantee is not stopped by rank for another team that
// borrows: it would claim the room back at once, from that very work, and the two would
// stop each other for as long as there is too little room for both.
func (p *planner) canPreempt(d *Demand, v *Victim) bool {
	if v.Rank < d.Rank {
		return !v.Late || v.Team < 0 || v.Team == d.Team || p.insideGuarantee(d) || p.Teams[v.Team].canYield(v.released())
	}
	if d.Team < 0 || v.Team < 0 || v.Team == d.Team {
		return false
	}
	// Room that is being made counts as used: a team that claimed more than its guarantee
	// would borrow, and have it claimed back by the next.
	t := p.Teams[d.Team]
	t.Used = t.Used.addScaled(t.Claimed, 1)
	return t.withinGuarantee(d.Need) && p.Teams[v.Team].borrows() && p.Teams[v.Team].canYield(v.released())
}

// insideGuarantee reports whether all that the demand waits for, of a gang, or its next task is
// within its team's guarantee.
func (p *planner) insideGuarantee(d *Demand) bool {
	need := d.Need
	if d.Shape == job.Gang {
		need = Resources{}.addScaled(need, float64(len(d.Pending)))
	}
	return d.Team >= 0 && p.Teams[d.Team].withinGuarantee(need)
}

// preparedMachines counts the machines on which room is being made for the demand. One in a
// zone that has been closed to it meanwhile is of no use.
func (p *planner) preparedMachines(d *Demand) (n int) {
	for i := range p.Machines {
		if m := &p.Machines[i]; m.ReservedFor == d.ID && !m.AwaitsCompletion && p.eligible(m, d) {
			n++
		}
	}
	return n
}

// preempt keeps room for up to n tasks of the demand, each on another machine,
// where that throws away the least work, and returns for how many it did. The image
// takes no longer there than fetch, in seconds.
func (p *planner) preempt(i, zone, n int, fetch float64) int {
	d := &p.Demands[i]
	if n <= 0 || !p.canPreemptAny(d) {
		return 0
	}
	type choice struct {
		machine, victims int
		fetch, loss      float64
	}
	var all []choice
	p.eachMachine(zone, func(mi int, m *Machine) {
		if m.fetchSeconds(d) > fetch || p.blocked(m, d) || m.Unreliable || len(m.Victims) == 0 || !m.Total.Fits(d.Need) || !p.eligible(m, d) {
			return
		}
		room, c := m.Free, choice{machine: mi, fetch: m.fetchSeconds(d)}
		for v := range p.sortedVictims(mi) {
			if room.Fits(d.Need) {
				break
			}
			if p.canPreempt(d, &m.Victims[v]) {
				room = room.addScaled(m.Victims[v].Need, 1)
				c.loss += m.Victims[v].Loss
				c.victims++
			}
		}
		if c.victims > 0 && room.Fits(d.Need) {
			all = append(all, c)
		}
	})
	slices.SortFunc(all, func(a, b choice) int {
		// What is stopped makes the demand start now, not after a fetch.
		return cmp.Or(cmp.Compare(a.fetch, b.fetch), cmp.Compare(a.loss, b.loss), cmp.Compare(a.machine, b.machine))
	})
	made, inZone := 0, make([]int, len(d.TasksByZone))
	for _, c := range all {
		if made == n {
			break
		}
		m := &p.Machines[c.machine]
		// Replicas that are kept apart need room in each zone, not twice in one.
		if d.Spread && d.TasksByZone[m.Zone]+inZone[m.Zone] >= (d.Total+1)/2 {
			continue
		}
		var ids []int
		room, teams := m.Free, slices.Clone(p.Teams)
		for v := range m.Victims {
			x := &m.Victims[v]
			if room.Fits(d.Need) {
				break
			}
			if p.canPreempt(d, x) {
				ids = append(ids, x.ID)
				room = room.addScaled(x.Need, 1)
				if x.Team >= 0 {
					t := &p.Teams[x.Team]
					t.Stopping = t.Stopping.addScaled(x.released(), 1)
				}
			}
		}
		if !room.Fits(d.Need) {
			p.Teams = teams // what this look has stopped before leaves too little to stop here
			continue
		}
		m.ReservedFor, m.Reserved, m.AwaitsCompletion = d.ID, d.Need, false
		if d.Team >= 0 {
			t := &p.Teams[d.Team]
			t.Claimed = t.Claimed.addScaled(d.Need, 1)
		}
		p.plan.Preemptions = append(p.plan.Preemptions, Preemption{i, c.machine, ids})
		inZone[m.Zone]++
		made++
	}
	return made
}

// released is what leaves when the victim is stopped.
func (v *Victim) released() Resources {
	return Resources{max(v.Need.CPUs, v.Released.CPUs), max(v.Need.GPUs, v.Released.GPUs), max(v.Need.MemGB, v.Released.MemGB)}
}

// sortedVictims returns a machine's victims in the order in which they are stopped.
func (p *planner) sortedVictims(i int) []Victim {
	m := &p.Machines[i]
	if !p.victimsSorted[i] {
		p.victimsSorted[i] = true
		slices.SortStableFunc(m.Victims, func(a, b Victim) int {
			return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Loss, b.Loss))
		})
	}
	return m.Victims
}

// blocked reports whether room is being kept here that is not the demand's to use
// anew: another's, or its own for which work is being stopped already.
func (p *planner) blocked(m *Machine, d *Demand) bool {
	return m.ReservedFor != 0 && (m.ReservedFor != d.ID || !m.AwaitsCompletion)
}
