package place

import "sort"

// borrowPenaltyS is how much later the latest start of a demand counts whose team borrows
// the whole fleet, in seconds.
const borrowPenaltyS = 60.0

// demandOrder returns the indices of the demands in the order in which they are placed, and
// sets p.guaranteed.
func (p *planner) demandOrder() []int {
	order := make([]int, len(p.Demands))
	for i := range order {
		order[i] = i
	}
	p.withinGuarantee = make([]bool, len(p.Demands))
	start := p.effectiveStarts()
	for i := range p.Demands {
		d := &p.Demands[i]
		p.withinGuarantee[i] = d.Team >= 0 && p.Teams[d.Team].withinGuarantee(d.Need)
	}
	sort.SliceStable(order, func(a, b int) bool {
		return p.precedes(order[a], order[b], start)
	})
	return order
}

// effectiveStarts returns the latest starts of the demands, later for teams that borrow:
// these yield to the others as if their jobs had more time, so that the burst of one team
// does not starve the others.
func (p *planner) effectiveStarts() []float64 {
	var fleet Resources
	for i := range p.Machines {
		fleet = fleet.addScaled(p.Machines[i].Total, 1)
	}
	start := make([]float64, len(p.Demands))
	for i := range p.Demands {
		d := &p.Demands[i]
		start[i] = d.LatestStart
		if d.Team >= 0 {
			start[i] += borrowPenaltyS * p.Teams[d.Team].borrowed().dominantShare(fleet)
		}
	}
	return start
}

// precedes reports whether demand i is placed before demand k.
func (p *planner) precedes(i, k int, start []float64) bool {
	x, y := &p.Demands[i], &p.Demands[k]
	switch {
	case x.Overdue != y.Overdue:
		return x.Overdue
	case x.Priority != y.Priority:
		return x.Priority > y.Priority
	case p.withinGuarantee[i] != p.withinGuarantee[k]:
		return p.withinGuarantee[i]
	case start[i] != start[k]:
		return start[i] < start[k]
	}
	return x.ID < y.ID
}
