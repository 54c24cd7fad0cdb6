package place

// Team holds the quota of a team and the resources that its tasks use.
type Team struct {
	// Guarantee is the team's guaranteed share. A resource with the value 0 is not part of the
	// guarantee.
	Guarantee Resources
	// Limit bounds the resources that the team's tasks may use at any time. 0 means no limit.
	Limit Resources
	// Used is the resources that the team's tasks use, including tasks that are being stopped.
	Used Resources
	// Stopping is the part of Used that belongs to tasks that are being stopped.
	Stopping Resources
	// Claimed is the resources that preemption is freeing for the team and that its tasks do
	// not use yet.
	Claimed Resources
}

// canYield reports whether the team still uses its guaranteed share after tasks that use r
// are stopped. Only borrowed resources may be reclaimed for another team's guarantee: a team
// pushed below its own guarantee would reclaim them in turn, and the two teams would preempt
// each other for ever.
func (t *Team) canYield(r Resources) bool {
	left := t.Used.addScaled(t.Stopping, -1).addScaled(r, -1)
	return left.CPUs >= t.Guarantee.CPUs-slack && left.GPUs >= t.Guarantee.GPUs-slack
}

// withinGuarantee reports whether need, added to the resources that the team uses, stays
// within its guarantee. It ignores resources without a guarantee, but need must include at
// least one with a guarantee.
func (t *Team) withinGuarantee(need Resources) bool {
	used := t.Used.addScaled(need, 1)
	includesGuaranteed := false
	for _, r := range [...]struct{ guaranteed, used, need float64 }{
		{t.Guarantee.CPUs, used.CPUs, need.CPUs},
		{t.Guarantee.GPUs, used.GPUs, need.GPUs},
	} {
		if r.guaranteed == 0 {
			continue
		}
		if r.used > r.guaranteed+slack {
			return false
		}
		includesGuaranteed = includesGuaranteed || r.need > 0
	}
	return includesGuaranteed
}

// withinLimit reports whether need, added to the resources that the team uses, stays within
// its limit.
func (t *Team) withinLimit(need Resources) bool {
	used := t.Used.addScaled(need, 1)
	return (t.Limit.CPUs == 0 || used.CPUs <= t.Limit.CPUs+slack) &&
		(t.Limit.GPUs == 0 || used.GPUs <= t.Limit.GPUs+slack)
}

// borrowed returns the resources that the team uses beyond its guarantee. If only GPUs are
// guaranteed, CPUs do not count as borrowed, because GPU tasks need CPUs too. Without any
// guarantee, everything is borrowed.
func (t *Team) borrowed() (r Resources) {
	if t.Guarantee.CPUs == 0 && t.Guarantee.GPUs == 0 {
		return t.Used
	}
	if t.Guarantee.CPUs > 0 {
		r.CPUs = max(0, t.Used.CPUs-t.Guarantee.CPUs)
	}
	if t.Guarantee.GPUs > 0 {
		r.GPUs = max(0, t.Used.GPUs-t.Guarantee.GPUs)
	}
	return r
}

// borrows reports whether the team uses CPUs or GPUs beyond its guarantee.
func (t *Team) borrows() bool {
	extra := t.borrowed()
	return extra.CPUs > slack || extra.GPUs > slack
}

// withinTeamLimit reports whether need fits into the limit of the demand's team.
func (p *planner) withinTeamLimit(d *Demand, need Resources) bool {
	return d.Team < 0 || p.Teams[d.Team].withinLimit(need)
}
