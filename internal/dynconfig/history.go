package dynconfig

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"
)

// MaxHistory is how many changes are kept.
const MaxHistory = 64

// HistoryEntry is a change that was made, with what was there before, so that it can be taken back.
type HistoryEntry struct {
	Revision uint64 `codec:"revision"`
	// At is the home leader's time of day, in milliseconds since 1970.
	At int64 `codec:"at"`
	// Teams are those that were changed or removed.
	Teams []string `codec:"teams"`
	// Before are the teams as they were; Added those that were not there, or removed.
	Before []TeamChange `codec:"before,omitempty"`
	Added  []string     `codec:"added,omitempty"`
	// Omitted: what was there before is too large to be kept.
	Omitted bool `codec:"omitted,omitempty"`
}

// Slot is where a change is kept: the one that is HistoryMost older goes.
func (p *HistoryEntry) Slot() int { return int(p.Revision % MaxHistory) }

// WithoutBefore is the change without what was there before, to be kept where that is too large.
func (p *HistoryEntry) WithoutBefore() *HistoryEntry {
	return &HistoryEntry{Revision: p.Revision, At: p.At, Teams: p.Teams, Omitted: true}
}

// LoadHistory takes in what earlier leaders have kept.
func (h *Home) LoadHistory(past []*HistoryEntry) {
	h.history = slices.Clone(past)
	slices.SortFunc(h.history, func(a, b *HistoryEntry) int { return cmp.Compare(a.Revision, b.Revision) })
}

// NewHistoryEntry describes an update that was proposed for a change, before it is applied.
func (h *Home) NewHistoryEntry(u Update, now time.Time) *HistoryEntry {
	p := &HistoryEntry{Revision: u.Head.Revision, At: now.UnixMilli()}
	for _, r := range u.Records {
		p.Teams = append(p.Teams, r.Name)
		was := h.teams[r.Name]
		if was == nil {
			was = h.recordFromReports(r.Name)
		}
		if was == nil || was.Removed {
			p.Added = append(p.Added, r.Name)
		} else {
			p.Before = append(p.Before, was.asChange())
		}
	}
	return p
}

// AddHistory adds a change that is stored.
func (h *Home) AddHistory(p *HistoryEntry) {
	h.history = append(h.history, p)
	if len(h.history) > MaxHistory {
		h.history = h.history[len(h.history)-MaxHistory:]
	}
}

// HistorySummary is a change for those who look at the history.
type HistorySummary struct {
	Revision uint64 `codec:"revision" json:"revision"`
	At       int64  `codec:"at" json:"at_ms"`
	// Teams are those that were changed or removed, at most twenty, of Count.
	Teams []string `codec:"teams" json:"teams"`
	Count int      `codec:"count" json:"count"`
	// Omitted: it cannot be taken back, because what was there before is not kept.
	Omitted bool `codec:"omitted,omitempty" json:"omitted,omitempty"`
}

// maxTeamsListed bounds the teams that are named of a change.
const maxTeamsListed = 20

// History are the changes that are kept, the last one first.
func (h *Home) History() (out []HistorySummary) {
	for _, p := range slices.Backward(h.history) {
		out = append(out, HistorySummary{p.Revision, p.At, p.Teams[:min(len(p.Teams), maxTeamsListed)], len(p.Teams), p.Omitted})
	}
	return out
}

// asChange is the team as an operator would ask for it.
func (r *TeamRecord) asChange() TeamChange {
	limit := r.Limit.quota()
	c := TeamChange{Name: r.Name, Limit: &limit, Regions: map[string]RegionQuota{}}
	for region, s := range r.Shares {
		part, guarantee := s.Limit.quota(), s.Guarantee.quota()
		c.Regions[region] = RegionQuota{Limit: &part, Guarantee: &guarantee}
	}
	return c
}

// Rollback is the change that takes back all that came after a revision.
func (h *Home) Rollback(to uint64) (*Change, *Refusal) {
	if to >= h.head.Revision {
		return nil, refuse(http.StatusUnprocessableEntity, "revision", "%d is not before the last one, %d", to, h.head.Revision)
	}
	before, added := map[string]TeamChange{}, map[string]bool{}
	next := h.head.Revision
	for i := len(h.history) - 1; i >= 0 && h.history[i].Revision > to; i-- {
		p := h.history[i]
		if p.Omitted {
			return nil, refuse(http.StatusUnprocessableEntity, "revision", "what was there before revision %d was too large to be kept", p.Revision)
		}
		for _, name := range p.Added {
			delete(before, name)
			added[name] = true
		}
		for _, c := range p.Before {
			delete(added, c.Name)
			before[c.Name] = c
		}
		next = p.Revision - 1
	}
	if next > to {
		return nil, refuse(http.StatusUnprocessableEntity, "revision", "the history goes back to revision %d", next)
	}
	c := &Change{Remove: slices.Sorted(maps.Keys(added))}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		c.Teams = append(c.Teams, before[name])
	}
	// A team that is not there any more need not be removed.
	c.Remove = slices.DeleteFunc(c.Remove, func(name string) bool { return h.teams[name] == nil || h.teams[name].Removed })
	return c, nil
}
