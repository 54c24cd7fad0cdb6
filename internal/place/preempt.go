package place

import (
	"cmp"
	"slices"

	"vetchstream/internal/job"
)

// canPreemptAny reports whether there may be a task that the demand may preempt. It is a cheap
// check without the victims themselves.
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

// canPreempt reports whether the demand may preempt a victim, either because its priority is
// higher or to reclaim its team's guarantee.
func (p *planner) canPreempt(d *Demand, v *Victim) bool {
	if v.Priority < d.Priority {
		return p.canPreemptByPriority(d, v)
	}
	return p.canReclaim(d, v)
}

// canPreemptByPriority reports whether the demand may preempt a victim of lower priority. A demand
// outside its team's guarantee may not preempt a late victim within its own: the victim would
// reclaim the room from that demand at once, and the two would preempt each other for as long
// as there is too little room for both.
func (p *planner) canPreemptByPriority(d *Demand, v *Victim) bool {
	return !v.Late || v.Team < 0 || v.Team == d.Team || p.withinTeamGuarantee(d) || p.Teams[v.Team].canYield(v.released())
}

// canReclaim reports whether the demand is within its team's guarantee and the victim uses
// resources that another team borrows.
func (p *planner) canReclaim(d *Demand, v *Victim) bool {
	if d.Team < 0 || v.Team < 0 || v.Team == d.Team {
		return false
	}
	// Claimed resources count as used. Otherwise a team could claim more than its guarantee,
	// and other teams would reclaim the excess as borrowed.
	t := p.Teams[d.Team]
	t.Used = t.Used.addScaled(t.Claimed, 1)
	return t.withinGuarantee(d.Need) && p.Teams[v.Team].borrows() && p.Teams[v.Team].canYield(v.released())
}

// withinTeamGuarantee reports whether the next task of the demand, or all pending members of a
// gang, are within its team's guarantee.
func (p *planner) withinTeamGuarantee(d *Demand) bool {
	need := d.Need
	if d.Shape == job.Gang {
		need = Resources{}.addScaled(need, float64(len(d.Pending)))
	}
	return d.Team >= 0 && p.Teams[d.Team].withinGuarantee(need)
}

// countMachinesBeingFreed returns the number of machines on which tasks are being preempted for
// the demand, except those that have become ineligible meanwhile.
func (p *planner) countMachinesBeingFreed(d *Demand) (count int) {
	for i := range p.Machines {
		if m := &p.Machines[i]; m.ReservedFor == d.ID && !m.AwaitsCompletion && p.eligible(m, d) {
			count++
		}
	}
	return count
}

// canMakeRoom reports whether tasks on the machine may be preempted, or the machine reserved, for
// a task of the demand, provided that fetching the image there takes at most maxFetchS seconds.
func (p *planner) canMakeRoom(m *Machine, d *Demand, maxFetchS float64) bool {
	return m.fetchSeconds(d) <= maxFetchS && !m.reservationBlocks(d) && !m.Unreliable &&
		m.Total.Fits(d.Need) && p.eligible(m, d)
}

// preemptionCandidate is a machine on which preemption could make room for a task.
type preemptionCandidate struct {
	machine int // index into Input.Machines
	// fetchS is the time in seconds that fetching the image takes there.
	fetchS float64
	// lossCPUSeconds is the work that preemption would discard, in CPU seconds.
	lossCPUSeconds float64
}

// preempt makes room for up to n tasks of demand i, each on a different machine that fetches the
// image within maxFetchS seconds, and returns the number of tasks that it made room for. It
// takes the machines in the order of preemptionCandidates. A negative zone means any.
func (p *planner) preempt(i, zone, n int, maxFetchS float64) (count int) {
	d := &p.Demands[i]
	if n <= 0 || !p.canPreemptAny(d) {
		return 0
	}
	countByZone := make([]int, len(d.TasksByZone))
	for _, c := range p.preemptionCandidates(d, zone, maxFetchS) {
		if count == n {
			break
		}
		m := &p.Machines[c.machine]
		// A demand with Spread needs room in several zones, not all of it in one.
		if d.Spread && d.TasksByZone[m.Zone]+countByZone[m.Zone] >= d.maxPerZone() {
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
		countByZone[m.Zone]++
		count++
	}
	return count
}

// preemptionCandidates returns the machines on which preemption makes room for a task of the
// demand, the best first. After preemption, the demand should start at once rather than after a
// fetch, and as little work as possible should be lost.
func (p *planner) preemptionCandidates(d *Demand, zone int, maxFetchS float64) []preemptionCandidate {
	var all []preemptionCandidate
	p.eachMachine(zone, func(i int, m *Machine) {
		if len(m.Victims) == 0 || !p.canMakeRoom(m, d, maxFetchS) {
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

// preemptionLoss returns the work, in CPU seconds, that is discarded if tasks on the machine are
// preempted to make room for a task of the demand. ok is false if preemption cannot make room
// there or is not needed.
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

// chooseVictims returns the IDs of the machine's victims that make room for a task of the demand,
// and counts their resources as stopping. If the victims do not suffice, because of previous
// preemptions in this plan, ok is false and nothing changes.
func (p *planner) chooseVictims(m *Machine, d *Demand) (ids []int, ok bool) {
	free := m.Free
	teamsBefore := slices.Clone(p.Teams)
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
		p.Teams = teamsBefore
		return nil, false
	}
	return ids, true
}

// sortVictims sorts the victims of machine i into the order in which they are preempted.
func (p *planner) sortVictims(i int) {
	if p.victimsSorted[i] {
		return
	}
	p.victimsSorted[i] = true
	slices.SortStableFunc(p.Machines[i].Victims, func(a, b Victim) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.LossCPUSeconds, b.LossCPUSeconds))
	})
}
