package place

import "sort"

// borrowPenaltyS is the time in seconds by which the latest start of a demand is delayed if its
// team borrows the whole fleet. The delay is proportional to the borrowed share.
const borrowPenaltyS = 60.0

// demandOrder returns the indexes of the demands in the order in which they are placed. It also
// sets p.withinGuarantee.
func (p *planner) demandOrder() []int {
	order := make([]int, len(p.Demands))
	for i := range order {
		order[i] = i
	}
	p.withinGuarantee = make([]bool, len(p.Demands))
	starts := p.effectiveStarts()
	for i := range p.Demands {
		d := &p.Demands[i]
		p.withinGuarantee[i] = d.Team >= 0 && p.Teams[d.Team].withinGuarantee(d.Need)
	}
	sort.SliceStable(order, func(a, b int) bool {
		return p.precedes(order[a], order[b], starts)
	})
	return order
}

// effectiveStarts returns the latest start of each demand, delayed for teams that borrow. Their
// demands are placed as if their jobs had more time, so that a burst of one team does not
// starve the others.
func (p *planner) effectiveStarts() []float64 {
	var fleet Resources
	for i := range p.Machines {
		fleet = fleet.addScaled(p.Machines[i].Total, 1)
	}
	starts := make([]float64, len(p.Demands))
	for i := range p.Demands {
		d := &p.Demands[i]
		starts[i] = d.LatestStart
		if d.Team >= 0 {
			starts[i] += borrowPenaltyS * p.Teams[d.Team].borrowed().dominantShare(fleet)
		}
	}
	return starts
}

// precedes reports whether demand i is placed before demand k.
func (p *planner) precedes(i, k int, starts []float64) bool {
	x, y := &p.Demands[i], &p.Demands[k]
	switch {
	case x.Overdue != y.Overdue:
		return x.Overdue
	case x.Priority != y.Priority:
		return x.Priority > y.Priority
	case p.withinGuarantee[i] != p.withinGuarantee[k]:
		return p.withinGuarantee[i]
	case starts[i] != starts[k]:
		return starts[i] < starts[k]
	}
	return x.ID < y.ID
}
