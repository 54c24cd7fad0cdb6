package dynconfig

import (
	"maps"
	"slices"
	"time"
)

// maxPendingListed bounds the pending shares that a status lists per region.
const maxPendingListed = 20

// Status says which revision of the configuration is in force in each region.
type Status struct {
	// Revision is the number of the last change.
	Revision uint64         `codec:"revision" json:"revision"`
	Regions  []RegionStatus `codec:"regions" json:"regions"`
}

// RegionStatus says which revision of the configuration is in force in a region.
type RegionStatus struct {
	Region string `codec:"region" json:"region"`
	// Revision is the last revision that is completely in force in the region, InForceS the time
	// since it is the last one, in seconds.
	Revision uint64  `codec:"revision" json:"revision"`
	InForceS float64 `codec:"in_force_s" json:"in_force_s"`
	// Behind is the number of later revisions, which are not completely in force.
	Behind uint64 `codec:"behind" json:"behind"`
	// SilentS is the time since the region's last request, in seconds. It is negative if this
	// leader has received none.
	SilentS float64 `codec:"silent_s" json:"silent_s"`
	// Pending are shares that are not in force, at most maxPendingListed. PendingCount is the
	// number of all of them.
	PendingCount int            `codec:"waiting" json:"waiting"`
	Pending      []PendingShare `codec:"waits,omitempty" json:"waits,omitempty"`
}

// PendingShare is a team whose share is not in force in a region.
type PendingShare struct {
	Team string `codec:"team" json:"team"`
	// InForce is the limit in force, Target the limit that the team will get.
	InForce Quota `codec:"has" json:"has"`
	Target  Quota `codec:"wants" json:"wants"`
	// BlockedBy are the regions that still hold an amount that this region needs, or this region
	// if it has not stored its grant yet.
	BlockedBy []string `codec:"for" json:"for"`
}

// TeamStatus is the configuration of a team, with the state of each region.
type TeamStatus struct {
	Name     string                       `codec:"name" json:"name"`
	Revision uint64                       `codec:"revision" json:"revision"`
	Removed  bool                         `codec:"removed,omitempty" json:"removed,omitempty"`
	Limit    Quota                        `codec:"limit" json:"limit"`
	Regions  map[string]RegionQuotaStatus `codec:"regions" json:"regions"`
}

// RegionQuotaStatus is a region's part of a team's quota.
type RegionQuotaStatus struct {
	// Limit and Guarantee are the configured amounts.
	Limit     Quota `codec:"limit" json:"limit"`
	Guarantee Quota `codec:"guarantee" json:"guarantee"`
	// Granted is the limit of the last grant, Held the most that the region may still use.
	Granted Quota `codec:"told" json:"told"`
	Held    Quota `codec:"held" json:"held"`
}

// inForce reports whether a team's share is in force in a region according to the region's last
// report.
func (h *Home) inForce(record *TeamRecord, region string) bool {
	grant := record.Grants[region]
	f := h.followers[region]
	share := h.currentShare(record, region)
	stored := f.reported && grant.Seq > 0 && f.reports[record.Name].Seq == grant.Seq
	return stored &&
		grant.Limit.approxEqual(share.Limit) &&
		grant.Guarantee.approxEqual(share.Guarantee.elementMin(share.Limit)) &&
		grant.Removed == record.Removed
}

// updatePending updates the followers' state of a team: the newest grant, and whether the team's
// share is pending.
func (h *Home) updatePending(name string) {
	record := h.teams[name]
	if record == nil {
		return
	}
	for region, f := range h.followers {
		f.newestSeq = max(f.newestSeq, record.Grants[region].Seq)
		if h.inForce(record, region) {
			delete(f.pending, name)
		} else if _, pending := f.pending[name]; !pending {
			f.pending[name] = record.Revision
		}
	}
}

// revisionInForce returns the last revision that is completely in force in a region, and the teams
// whose shares are pending there.
func (h *Home) revisionInForce(region string) (revision uint64, pending []string) {
	f := h.followers[region]
	if !f.reported {
		return 0, slices.Collect(maps.Keys(f.pending))
	}
	revision = h.head.Revision
	for name, first := range f.pending {
		pending = append(pending, name)
		revision = min(revision, first-1)
	}
	return revision, pending
}

// trackRevision records the revision in force in a region, and the time if the revision has
// changed.
func (h *Home) trackRevision(region string, now time.Time) {
	f := h.followers[region]
	revision, _ := h.revisionInForce(region)
	if revision != f.revision || f.revisionSince.IsZero() {
		f.revision = revision
		f.revisionSince = now
	}
}

// Status returns the status of the configuration in each region.
func (h *Home) Status(now time.Time) Status {
	out := Status{Revision: h.head.Revision}
	for _, region := range h.regions {
		out.Regions = append(out.Regions, h.regionStatus(region, now))
	}
	return out
}

func (h *Home) regionStatus(region string, now time.Time) RegionStatus {
	f := h.followers[region]
	revision, pending := h.revisionInForce(region)
	h.trackRevision(region, now)
	status := RegionStatus{
		Region:       region,
		Revision:     revision,
		InForceS:     now.Sub(f.revisionSince).Seconds(),
		Behind:       h.head.Revision - revision,
		SilentS:      -1,
		PendingCount: len(pending),
	}
	if !f.lastRequest.IsZero() {
		status.SilentS = now.Sub(f.lastRequest).Seconds()
	}
	slices.Sort(pending)
	for _, name := range pending[:min(len(pending), maxPendingListed)] {
		status.Pending = append(status.Pending, h.pendingShare(h.teams[name], region))
	}
	return status
}

// pendingShare describes a pending share and the regions that block it.
func (h *Home) pendingShare(record *TeamRecord, region string) PendingShare {
	grant := record.Grants[region]
	share := h.currentShare(record, region)
	pending := PendingShare{
		Team:      record.Name,
		InForce:   h.followers[region].reports[record.Name].Limit.quota(),
		Target:    share.Limit.quota(),
		BlockedBy: []string{},
	}
	if grant.Limit.approxEqual(share.Limit) {
		pending.BlockedBy = append(pending.BlockedBy, region) // the region has to store its grant, and no other region blocks it
		return pending
	}
	for _, other := range h.regions {
		held := record.Grants[other].Held
		silent := !h.followers[other].reported
		if silent || (other != region && !held.within(h.currentShare(record, other).Limit)) {
			pending.BlockedBy = append(pending.BlockedBy, other)
		}
	}
	return pending
}

// Teams returns up to limit teams whose names follow the given one, in the order of their names.
// more reports whether there are further ones.
func (h *Home) Teams(after string, limit int) (out []TeamStatus, more bool) {
	for _, name := range slices.Sorted(maps.Keys(h.teams)) {
		if name <= after {
			continue
		}
		if len(out) == limit {
			return out, true
		}
		out = append(out, h.teamStatus(h.teams[name]))
	}
	return out, false
}

func (h *Home) teamStatus(record *TeamRecord) TeamStatus {
	status := TeamStatus{
		Name:     record.Name,
		Revision: record.Revision,
		Removed:  record.Removed,
		Limit:    record.Limit.quota(),
		Regions:  map[string]RegionQuotaStatus{},
	}
	for _, region := range h.regions {
		share := record.configuredShare(region)
		grant := record.Grants[region]
		status.Regions[region] = RegionQuotaStatus{
			Limit:     share.Limit.quota(),
			Guarantee: share.Guarantee.quota(),
			Granted:   grant.Limit.quota(),
			Held:      grant.Held.quota(),
		}
	}
	return status
}
