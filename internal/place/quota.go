package place

// Team holds a team's quota and what its tasks use.
type Team struct {
	// Guarantee is the team's guaranteed share. A resource of which 0 is guaranteed is not
	// part of it.
	Guarantee Resources
	// Limit bounds what the team's tasks may use at any time; 0 means no limit.
	Limit Resources
	// Used is what the team's tasks use, those that are being stopped included.
	Used Resources
	// Stopping is the part of Used whose tasks are being stopped.
	Stopping Resources
	// Claimed is what preemption is freeing for the team and its tasks do not use yet.
	Claimed Resources
}

// canYield reports whether the team still has its guarantee when tasks that use r are
// stopped. Only what it borrows may be stopped for another team's guarantee: a team pushed
// below its own guarantee would claim the resources back, and the two would preempt each
// other for ever.
func (t *Team) canYield(r Resources) bool {
	left := t.Used.addScaled(t.Stopping, -1).addScaled(r, -1)
	return left.CPUs >= t.Guarantee.CPUs-slack && left.GPUs >= t.Guarantee.GPUs-slack
}

// withinGuarantee reports whether need, on top of what the team uses, is inside its
// guarantee. Resources that are not guaranteed are not looked at, but need must include at
// least one that is.
func (t *Team) withinGuarantee(need Resources) bool {
	used := t.Used.addScaled(need, 1)
	inside := false
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
		inside = inside || r.need > 0
	}
	return inside
}

// withinLimit reports whether need, on top of what the team uses, is inside its limit.
func (t *Team) withinLimit(need Resources) bool {
	used := t.Used.addScaled(need, 1)
	return (t.Limit.CPUs == 0 || used.CPUs <= t.Limit.CPUs+slack) &&
		(t.Limit.GPUs == 0 || used.GPUs <= t.Limit.GPUs+slack)
}

// borrowed returns what the team uses beyond its guarantee. Where only GPUs are guaranteed,
// the CPUs that come with them are not borrowed; without any guarantee everything is.
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
	b := t.borrowed()
	return b.CPUs > slack || b.GPUs > slack
}

// withinTeamLimit reports whether the limit of the demand's team has room for need.
func (p *planner) withinTeamLimit(d *Demand, need Resources) bool {
	return d.Team < 0 || p.Teams[d.Team].withinLimit(need)
}
