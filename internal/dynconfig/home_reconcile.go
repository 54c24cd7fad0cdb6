package dynconfig

import (
	"maps"
	"slices"
)

// minRaiseFraction is the smallest fraction of a share by which a grant is raised while the whole
// share is not free yet. It limits the raises, each of which is a write in both regions.
const minRaiseFraction = 0.1

// Step reconciles teams that have changed or for which a region has sent a new report. The update
// holds at most maxTeams records, and takes effect once it is stored and applied.
func (h *Home) Step(maxTeams int) Update {
	u := Update{Head: h.head}
	for _, name := range slices.Sorted(maps.Keys(h.dirty)) {
		if len(u.Records) >= maxTeams {
			break
		}
		delete(h.dirty, name)
		record := h.teams[name]
		if record == nil {
			if record = h.adopt(name); record == nil {
				continue
			}
			u.Head.Revision++
			record.Revision = u.Head.Revision
		}
		if next := h.reconcile(record, &u.Head); next != nil {
			u.Records = append(u.Records, next)
		}
	}
	return u
}

// allReported reports whether every region has reported all its teams to this leader. Until then
// no grant is raised, because the store may have lost the raise of another region's grant.
func (h *Home) allReported() bool {
	for _, f := range h.followers {
		if !f.reported {
			return false
		}
	}
	return true
}

// adopt rebuilds the record of a team that the store has lost although a region has a grant for
// the team. The result is nil if no region has a grant or not all regions have reported.
func (h *Home) adopt(name string) *TeamRecord {
	granted := func(f *follower) bool { return f.reports[name].Seq > 0 }
	if !h.allReported() || !slices.ContainsFunc(slices.Collect(maps.Values(h.followers)), granted) {
		return nil
	}
	record := h.recordFromReports(name)
	record.Adopted = true
	return record
}

// reconcile adjusts the grants of a team to its shares and to the regions' reports, and returns
// the record that has to be stored, or nil if it has not changed. It lowers grants first, and then
// raises others as far as no other region holds the amount. New grants get their sequence numbers
// from head.
func (h *Home) reconcile(current *TeamRecord, head *Head) *TeamRecord {
	record := current.clone()
	changed := false
	for _, region := range h.regions {
		changed = h.updateGrant(record, region, head) || changed
	}
	if h.allReported() {
		for _, region := range h.regions {
			changed = h.raiseGrant(record, region, head) || changed
		}
	}
	if !changed {
		return nil
	}
	return record
}

// updateGrant updates a region's grant without raising its limit, and reports whether the record
// has to be stored.
func (h *Home) updateGrant(record *TeamRecord, region string, head *Head) (changed bool) {
	grant, changed := h.reconcileReport(record, region)
	if grant.Seq == 0 && !h.followers[region].reported {
		record.Grants[region] = grant // nothing is sent to a region before it has reported
		return false
	}
	share := h.currentShare(record, region)
	limit := grant.Limit.elementMin(share.Limit)
	next := Grant{
		Seq:       grant.Seq,
		Limit:     limit,
		Guarantee: share.Guarantee.elementMin(limit),
		Target:    record.target(share),
		Removed:   record.Removed,
		Held:      grant.Held,
	}
	if next != grant || grant.Seq == 0 {
		changed = true
		head.Seq++
		next.Seq = head.Seq
	}
	record.Grants[region] = next
	return changed
}

// currentShare returns the share that a region should have now. A region keeps its share of a
// removed team until it accepts no more jobs of the team and the last one has ended.
func (h *Home) currentShare(record *TeamRecord, region string) Share {
	grant := record.Grants[region]
	f := h.followers[region]
	report := f.reports[record.Name]
	// A share that is closed stays closed, unless the region reports a late job.
	closed := report.Seq == grant.Seq || grant.Limit == Amount{}
	if record.Removed && grant.Removed && f.reported && !report.Busy && closed {
		return Share{}
	}
	return record.configuredShare(region)
}

// reconcileReport returns a region's grant with the amount that is held for the region after its
// last report. A sequence number of 0 means that the region needs a new grant. mustStore reports
// whether the change of the grant has to be stored.
func (h *Home) reconcileReport(record *TeamRecord, region string) (grant Grant, mustStore bool) {
	grant, known := record.Grants[region]
	f := h.followers[region]
	report, reported := f.reports[record.Name]
	switch {
	case !f.reported && !known:
		// The amount that the region holds is unknown, so no grant can be raised before it reports.
		return Grant{Held: NoLimit()}, false
	case !f.reported:
		return grant, false
	case !known, grant.Held == NoLimit() && grant.Seq == 0:
		return Grant{Limit: report.Limit, Held: report.Held.elementMax(report.Limit)}, true
	case !reported:
		return grant, false
	case grantLost(&grant, &report, f.storedSeq):
		grant.Held = grant.Held.elementMax(report.Held).elementMax(report.Limit)
		grant.Seq = 0
		return grant, true
	case report.Seq < grant.Seq:
		// The region has not stored the grant yet. It may hold more than the record says if its
		// own store was restored to an earlier state.
		held := grant.Held.elementMax(report.Held).elementMax(report.Limit)
		changed := held != grant.Held
		grant.Held = held
		return grant, changed
	}
	held := grant.Limit.elementMax(report.Held)
	// A partial release is stored together with the raise that depends on it, a complete one at
	// once.
	released := held != grant.Held && held == grant.Limit
	grant.Held = held
	return grant, released
}

// grantLost reports whether the home region's store has lost a later grant than this one: the
// region reports a later one, or it has stored grants up to storedSeq but not this one.
func grantLost(grant *Grant, report *TeamReport, storedSeq uint64) bool {
	switch {
	case report.Seq > grant.Seq:
		return true
	case report.Seq == grant.Seq:
		return report.Limit != grant.Limit
	}
	return grant.Seq <= storedSeq
}

// raiseGrant raises a region's limit towards its share as far as no other region holds the
// amount, and reports whether it raised the limit.
func (h *Home) raiseGrant(record *TeamRecord, region string, head *Head) bool {
	grant := record.Grants[region]
	share := h.currentShare(record, region)
	free := record.Limit.minus(record.heldByOthers(region))
	limit := grant.Limit.elementMax(share.Limit.elementMin(free))
	if limit.approxEqual(grant.Limit) {
		return false
	}
	if !limit.approxEqual(share.Limit) && !worthRaising(grant.Limit, limit, share.Limit) {
		return false
	}
	head.Seq++
	record.Grants[region] = Grant{
		Seq:       head.Seq,
		Limit:     limit,
		Guarantee: share.Guarantee.elementMin(limit),
		Target:    record.target(share),
		Removed:   record.Removed,
		Held:      grant.Held.elementMax(limit),
	}
	return true
}

// worthRaising reports whether a raise is at least minRaiseFraction of a share in one resource.
func worthRaising(from, to, share Amount) bool {
	enough := func(from, to, share float64) bool {
		return to > from && to-from >= minRaiseFraction*share
	}
	return enough(from.CPUs, to.CPUs, share.CPUs) || enough(from.GPUs, to.GPUs, share.GPUs)
}
