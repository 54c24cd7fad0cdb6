package place

import (
	"cmp"
	"slices"

	"vetchstream/internal/job"
)

// canPreemptAny reports whether there can be any task at all that the demand may preempt.
func (p *planner) canPreemptAny(d *Demand) bool {
	if !p.hasVictims {
		return false
	}
	if p.lowestPriority < d.Priority {
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

// canPreempt reports whether the demand may preempt a victim: by its higher priority, or for
// its team's guarantee.
func (p *planner) canPreempt(d *Demand, v *Victim) bool {
	if v.Priority < d.Priority {
		return p.canPreemptByPriority(d, v)
	}
	return p.canReclaim(d, v)
}

// canPreemptByPriority reports whether the demand may preempt a victim of lower priority. A late
// victim inside its team's guarantee is spared from a demand beyond its own: it would
// reclaim the room at once, from that very demand, and the two would preempt each other for
// as long as there is too little room for both.
func (p *planner) canPreemptByPriority(d *Demand, v *Victim) bool {
	return !v.Late || v.Team < 0 || v.Team == d.Team || p.withinTeamGuarantee(d) || p.Teams[v.Team].canYield(v.released())
}

// canReclaim reports whether the demand is inside its team's guarantee and the victim is
// what another team borrows.
func (p *planner) canReclaim(d *Demand, v *Victim) bool {
	if d.Team < 0 || v.Team < 0 || v.Team == d.Team {
		return false
	}
	// What is claimed counts as used: a team that claimed more than its guarantee would
	// borrow, and have it reclaimed by the next.
	t := p.Teams[d.Team]
	t.Used = t.Used.addScaled(t.Claimed, 1)
	return t.withinGuarantee(d.Need) && p.Teams[v.Team].borrows() && p.Teams[v.Team].canYield(v.released())
}

// withinTeamGuarantee reports whether all that a gang waits for, or the next task of another
// demand, is within its team's guarantee.
func (p *planner) withinTeamGuarantee(d *Demand) bool {
	need := d.Need
	if d.Shape == job.Gang {
		need = Resources{}.addScaled(need, float64(len(d.Pending)))
	}
	return d.Team >= 0 && p.Teams[d.Team].withinGuarantee(need)
}

// countMachinesBeingFreed counts the machines on which preemption is making room for the demand.
// Those that have become ineligible meanwhile are of no use.
func (p *planner) countMachinesBeingFreed(d *Demand) (n int) {
	for i := range p.Machines {
		if m := &p.Machines[i]; m.ReservedFor == d.ID && !m.AwaitsCompletion && p.eligible(m, d) {
			n++
		}
	}
	return n
}

// canMakeRoom reports whether room may be made on the machine for a task of the demand, whose
// image takes at most maxFetch seconds there.
func (p *planner) canMakeRoom(m *Machine, d *Demand, maxFetch float64) bool {
	return m.fetchSeconds(d) <= maxFetch && !m.reservationBlocks(d) && !m.Unreliable &&
		m.Total.Fits(d.Need) && p.eligible(m, d)
}

// preemptionCandidate is a machine on which preemption could make room for a task.
type preemptionCandidate struct {
	machine int // index into Input.Machines
	// fetchS is how long the image takes there, in seconds.
	fetchS float64
	// lossCPUSeconds is the work that would be thrown away, in CPU seconds.
	lossCPUSeconds float64
}

// preempt makes room for up to n tasks of demand i, each on another machine, where that
// throws away the least work, and returns for how many it did. The image takes at most
// maxFetch seconds there. A negative zone means any.
func (p *planner) preempt(i, zone, n int, maxFetch float64) (made int) {
	d := &p.Demands[i]
	if n <= 0 || !p.canPreemptAny(d) {
		return 0
	}
	madeByZone := make([]int, len(d.TasksByZone))
	for _, c := range p.preemptionCandidates(d, zone, maxFetch) {
		if made == n {
			break
		}
		m := &p.Machines[c.machine]
		// Replicas that are spread need room in each zone, not twice in one.
		if d.Spread && d.TasksByZone[m.Zone]+madeByZone[m.Zone] >= d.maxPerZone() {
			continue
		}
		victims, ok := p.chooseVictims(m, d)
		if !ok {
			continue
		}
		m.reserve(d, false)
		if d.Team >= 0 {
			t := &p.Teams[d.Team]
			t.Claimed = t.Claimed.addScaled(d.Need, 1)
		}
		p.plan.Preemptions = append(p.plan.Preemptions, Preemption{Demand: i, Machine: c.machine, Victims: victims})
		madeByZone[m.Zone]++
		made++
	}
	return made
}

// preemptionCandidates returns the machines on which preemption makes room for a task of
// the demand, the best first: what is preempted should let the demand start now, not after
// a fetch, and lose as little work as possible.
func (p *planner) preemptionCandidates(d *Demand, zone int, maxFetch float64) []preemptionCandidate {
	var all []preemptionCandidate
	p.eachMachine(zone, func(i int, m *Machine) {
		if len(m.Victims) == 0 || !p.canMakeRoom(m, d, maxFetch) {
			return
		}
		p.sortVictims(i)
		if loss, ok := p.preemptionLoss(m, d); ok {
			all = append(all, preemptionCandidate{machine: i, fetchS: m.fetchSeconds(d), lossCPUSeconds: loss})
		}
	})
	slices.SortFunc(all, func(a, b preemptionCandidate) int {
		return cmp.Or(cmp.Compare(a.fetchS, b.fetchS), cmp.Compare(a.lossCPUSeconds, b.lossCPUSeconds), cmp.Compare(a.machine, b.machine))
	})
	return all
}

// preemptionLoss returns the work that making room for a task of the demand on the machine
// throws away, in CPU seconds; ok is false if preemption makes no room there, or none is
// needed.
func (p *planner) preemptionLoss(m *Machine, d *Demand) (loss float64, ok bool) {
	free := m.Free
	victims := 0
	for v := range m.Victims {
		if free.Fits(d.Need) {
			break
		}
		if victim := &m.Victims[v]; p.canPreempt(d, victim) {
			free = free.addScaled(victim.Need, 1)
			loss += victim.LossCPUSeconds
			victims++
		}
	}
	return loss, victims > 0 && free.Fits(d.Need)
}

// chooseVictims returns the ids of the machine's victims that make room for a task of the
// demand and counts them as stopping. It is false, and changes nothing, if they do not
// suffice, because of what this plan has preempted before.
func (p *planner) chooseVictims(m *Machine, d *Demand) (ids []int, ok bool) {
	free := m.Free
	before := slices.Clone(p.Teams)
	for v := range m.Victims {
		if free.Fits(d.Need) {
			break
		}
		victim := &m.Victims[v]
		if !p.canPreempt(d, victim) {
			continue
		}
		ids = append(ids, victim.ID)
		free = free.addScaled(victim.Need, 1)
		if victim.Team >= 0 {
			t := &p.Teams[victim.Team]
			t.Stopping = t.Stopping.addScaled(victim.released(), 1)
		}
	}
	if !free.Fits(d.Need) {
		p.Teams = before
		return nil, false
	}
	return ids, true
}

// sortVictims brings the victims of machine i into the order in which they are preempted.
func (p *planner) sortVictims(i int) {
	if p.victimsSorted[i] {
		return
	}
	p.victimsSorted[i] = true
	slices.SortStableFunc(p.Machines[i].Victims, func(a, b Victim) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.LossCPUSeconds, b.LossCPUSeconds))
	})
}
