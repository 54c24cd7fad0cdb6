package dynconfig

import (
	"maps"
	"slices"
)

// minRaiseFraction is the least part of a share by which a grant is raised before the
// whole share is free: each raise is a write in both regions.
const minRaiseFraction = 0.1

// Step reconciles up to maxTeams teams that have changed or of which regions have
// reported something new. The update takes effect once it is stored and applied.
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

// allReported reports whether every region has reported all its teams to this leader.
// Until then no grant is raised: the store may have lost the raise of another one.
func (h *Home) allReported() bool {
	for _, f := range h.followers {
		if !f.reported {
			return false
		}
	}
	return true
}

// adopt rebuilds the record of a team that a region has a grant for and the store has
// lost; nil: no region has one, or not all have reported.
func (h *Home) adopt(name string) *TeamRecord {
	granted := func(f *follower) bool { return f.reports[name].Seq > 0 }
	if !h.allReported() || !slices.ContainsFunc(slices.Collect(maps.Values(h.followers)), granted) {
		return nil
	}
	record := h.recordFromReports(name)
	record.Adopted = true
	return record
}

// reconcile compares the grants of a team with its shares and with what the regions
// report, and returns the record that has to be stored; nil: nothing has changed. Lower
// grants come first, then raises as far as no other region holds the amount. New grants
// are numbered by head.
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

// updateGrant brings a region's grant up to date without raising its limit, and reports
// whether the record has to be stored for that.
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

// currentShare is the share that a region is to have now. Of a removed team the region
// retains its share until it accepts no more jobs of it and the last one is over.
func (h *Home) currentShare(record *TeamRecord, region string) Share {
	grant := record.Grants[region]
	f := h.followers[region]
	report := f.reports[record.Name]
	// Once closed the share stays closed, unless a late job shows up.
	closed := report.Seq == grant.Seq || grant.Limit == Amount{}
	if record.Removed && grant.Removed && f.reported && !report.Busy && closed {
		return Share{}
	}
	return record.configuredShare(region)
}

// reconcileReport is a region's grant with what is held for it after its last report. A
// sequence number of 0 means that the region has to be sent a new grant; mustStore
// reports whether the record has to be stored for the change.
func (h *Home) reconcileReport(record *TeamRecord, region string) (grant Grant, mustStore bool) {
	grant, known := record.Grants[region]
	f := h.followers[region]
	report, reported := f.reports[record.Name]
	switch {
	case !f.reported && !known:
		// It is not known what the region holds: nothing can be raised before it reports.
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
		// The region has yet to store the grant. It may hold more than is known if its own
		// store was restored to an earlier state.
		held := grant.Held.elementMax(report.Held).elementMax(report.Limit)
		changed := held != grant.Held
		grant.Held = held
		return grant, changed
	}
	held := grant.Limit.elementMax(report.Held)
	// A partial release is stored with the raise that relies on it, a complete one at once.
	released := held != grant.Held && held == grant.Limit
	grant.Held = held
	return grant, released
}

// grantLost reports whether the home region's store has lost a later grant than g: the
// region reports one, or has stored grants up to storedSeq and not this one.
func grantLost(grant *Grant, report *TeamReport, storedSeq uint64) bool {
	switch {
	case report.Seq > grant.Seq:
		return true
	case report.Seq == grant.Seq:
		return report.Limit != grant.Limit
	}
	return grant.Seq <= storedSeq
}

// raiseGrant raises a region's limit towards its share as far as no other region holds
// the amount, and reports whether it did.
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

// worthRaising reports whether a raise is a large enough part of a share.
func worthRaising(from, to, share Amount) bool {
	enough := func(from, to, share float64) bool {
		return to > from && to-from >= minRaiseFraction*share
	}
	return enough(from.CPUs, to.CPUs, share.CPUs) || enough(from.GPUs, to.GPUs, share.GPUs)
}
