package dynconfig

import (
	"maps"
	"math"
	"slices"
	"time"
)

// maxPendingListed bounds the teams that a status lists for each region.
const maxPendingListed = 20

// Status is how far the configuration is in force.
type Status struct {
	// Revision is that of the last change.
	Revision uint64         `codec:"revision" json:"revision"`
	Regions  []RegionStatus `codec:"regions" json:"regions"`
}

// RegionStatus is how far a region follows.
type RegionStatus struct {
	Region string `codec:"region" json:"region"`
	// Revision is the last of which everything is in force there, for InForceS seconds.
	Revision uint64  `codec:"revision" json:"revision"`
	InForceS float64 `codec:"in_force_s" json:"in_force_s"`
	// Behind is by how many revisions it is behind.
	Behind uint64 `codec:"behind" json:"behind"`
	// SilentS is how long the region has not been heard of, in seconds; below 0: never by
	// this leader.
	SilentS float64 `codec:"silent_s" json:"silent_s"`
	// Waits are teams whose share is not in force, at most twenty, of Waiting.
	PendingCount int            `codec:"waiting" json:"waiting"`
	Pending      []PendingShare `codec:"waits,omitempty" json:"waits,omitempty"`
}

// PendingShare is a team whose share is not in force in a region.
type PendingShare struct {
	Team string `codec:"team" json:"team"`
	// InForce and Wants are the limits that are in force and that are to be.
	InForce Quota `codec:"has" json:"has"`
	Target  Quota `codec:"wants" json:"wants"`
	// BlockedBy are the regions that have not given back what this one is to have, or this one
	// where it has not taken its grant yet.
	BlockedBy []string `codec:"for" json:"for"`
}

// TeamStatus is a team as configured, with what each region is told.
type TeamStatus struct {
	Name     string                       `codec:"name" json:"name"`
	Revision uint64                       `codec:"revision" json:"revision"`
	Removed  bool                         `codec:"removed,omitempty" json:"removed,omitempty"`
	Limit    Quota                        `codec:"limit" json:"limit"`
	Regions  map[string]RegionQuotaStatus `codec:"regions" json:"regions"`
}

// RegionQuotaStatus is a region's part of a team: as configured, as told, and what is held for it.
type RegionQuotaStatus struct {
	Limit     Quota `codec:"limit" json:"limit"`
	Guarantee Quota `codec:"guarantee" json:"guarantee"`
	Granted   Quota `codec:"told" json:"told"`
	Held      Quota `codec:"held" json:"held"`
}

// quota is the amount with what has no bound left out.
func (a Amount) quota() (q Quota) {
	if !math.IsInf(a.CPUs, 1) {
		q.CPUs = &a.CPUs
	}
	if !math.IsInf(a.GPUs, 1) {
		q.GPUs = &a.GPUs
	}
	return q
}

// inForce reports whether a team's share is in force in a region as the region says.
func (h *Home) inForce(r *TeamRecord, region string) bool {
	g, f := r.Grants[region], h.followers[region]
	share := h.currentShare(r, region)
	return f.reported && g.Seq > 0 && f.reports[r.Name].Seq == g.Seq && g.Limit.approxEqual(share.Limit) && g.Guarantee.approxEqual(share.Guarantee.elementMin(share.Limit)) && g.Removed == r.Removed
}

// updatePending notes what the regions are told of a team, and where its share is not in force.
func (h *Home) updatePending(name string) {
	r := h.teams[name]
	if r == nil {
		return
	}
	for region, f := range h.followers {
		f.newestSeq = max(f.newestSeq, r.Grants[region].Seq)
		if h.inForce(r, region) {
			delete(f.pending, name)
		} else if _, lacks := f.pending[name]; !lacks {
			f.pending[name] = r.Revision
		}
	}
}

// revisionInForce is the last revision of which everything is in force in a region, and the
// teams of which it is not.
func (h *Home) revisionInForce(region string) (revision uint64, waiting []string) {
	f := h.followers[region]
	if !f.reported {
		return 0, slices.Collect(maps.Keys(f.pending))
	}
	revision = h.head.Revision
	for name, first := range f.pending {
		waiting = append(waiting, name)
		revision = min(revision, first-1)
	}
	return revision, waiting
}

// trackRevision keeps since when a region is at its revision.
func (h *Home) trackRevision(region string, now time.Time) {
	f := h.followers[region]
	if at, _ := h.revisionInForce(region); at != f.revision || f.revisionSince.IsZero() {
		f.revision, f.revisionSince = at, now
	}
}

// Status tells how far the regions are.
func (h *Home) Status(now time.Time) Status {
	out := Status{Revision: h.head.Revision}
	for _, region := range h.regions {
		f := h.followers[region]
		at, waiting := h.revisionInForce(region)
		h.trackRevision(region, now)
		s := RegionStatus{Region: region, Revision: at, InForceS: now.Sub(f.revisionSince).Seconds(), Behind: h.head.Revision - at, SilentS: -1, PendingCount: len(waiting)}
		if !f.lastRequest.IsZero() {
			s.SilentS = now.Sub(f.lastRequest).Seconds()
		}
		slices.Sort(waiting)
		for _, name := range waiting[:min(len(waiting), maxPendingListed)] {
			s.Pending = append(s.Pending, h.pendingShare(h.teams[name], region))
		}
		out.Regions = append(out.Regions, s)
	}
	return out
}

// pendingShare says for whom a region's share waits.
func (h *Home) pendingShare(r *TeamRecord, region string) PendingShare {
	g, share := r.Grants[region], h.currentShare(r, region)
	w := PendingShare{Team: r.Name, InForce: h.followers[region].reports[r.Name].Limit.quota(), Target: share.Limit.quota(), BlockedBy: []string{}}
	if g.Limit.approxEqual(share.Limit) {
		w.BlockedBy = append(w.BlockedBy, region) // it has only to take what it was told
		return w
	}
	for _, other := range h.regions {
		held := r.Grants[other].Held
		silent := !h.followers[other].reported
		if silent || (other != region && !held.within(h.currentShare(r, other).Limit)) {
			w.BlockedBy = append(w.BlockedBy, other)
		}
	}
	return w
}

// Teams are the teams as configured, by their names, from after a name on.
func (h *Home) Teams(after string, most int) (out []TeamStatus, more bool) {
	for _, name := range slices.Sorted(maps.Keys(h.teams)) {
		if name <= after {
			continue
		}
		if len(out) == most {
			return out, true
		}
		r := h.teams[name]
		t := TeamStatus{Name: name, Revision: r.Revision, Removed: r.Removed, Limit: r.Limit.quota(), Regions: map[string]RegionQuotaStatus{}}
		for _, region := range h.regions {
			share, g := r.configuredShare(region), r.Grants[region]
			t.Regions[region] = RegionQuotaStatus{share.Limit.quota(), share.Guarantee.quota(), g.Limit.quota(), g.Held.quota()}
		}
		out = append(out, t)
	}
	return out, false
}
