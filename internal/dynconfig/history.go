package dynconfig

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"
)

// MaxHistory is how many changes are retained.
const MaxHistory = 64

// HistoryEntry is a change that was made, with the configuration before it, so that it can
// be rolled back.
type HistoryEntry struct {
	Revision uint64 `codec:"revision"`
	// At is the home leader's time of day, in milliseconds since 1970.
	At int64 `codec:"at"`
	// Teams are those that were changed or removed.
	Teams []string `codec:"teams"`
	// Before are the teams as they were; Added those that did not exist, or were removed.
	Before []TeamChange `codec:"before,omitempty"`
	Added  []string     `codec:"added,omitempty"`
	// Omitted: Before and Added are too large to be stored.
	Omitted bool `codec:"omitted,omitempty"`
}

// Slot is where the entry is stored: it replaces the one that is MaxHistory revisions older.
func (e *HistoryEntry) Slot() int { return int(e.Revision % MaxHistory) }

// WithoutBefore is the entry without the earlier configuration, for where that is too large
// to be stored.
func (e *HistoryEntry) WithoutBefore() *HistoryEntry {
	return &HistoryEntry{
		Revision: e.Revision,
		At:       e.At,
		Teams:    e.Teams,
		Omitted:  true,
	}
}

// LoadHistory takes in the entries that earlier leaders have stored, in any order.
func (h *Home) LoadHistory(entries []*HistoryEntry) {
	h.history = slices.Clone(entries)
	slices.SortFunc(h.history, func(a, b *HistoryEntry) int { return cmp.Compare(a.Revision, b.Revision) })
}

// NewHistoryEntry describes the update that Propose made for a change, before it is applied.
func (h *Home) NewHistoryEntry(u Update, now time.Time) *HistoryEntry {
	entry := &HistoryEntry{Revision: u.Head.Revision, At: now.UnixMilli()}
	for _, r := range u.Records {
		entry.Teams = append(entry.Teams, r.Name)
		before := h.teams[r.Name]
		if before == nil {
			before = h.recordFromReports(r.Name)
		}
		if before == nil || before.Removed {
			entry.Added = append(entry.Added, r.Name)
		} else {
			entry.Before = append(entry.Before, before.asChange())
		}
	}
	return entry
}

// AddHistory adds the entry of a change that is stored.
func (h *Home) AddHistory(e *HistoryEntry) {
	h.history = append(h.history, e)
	if len(h.history) > MaxHistory {
		h.history = h.history[len(h.history)-MaxHistory:]
	}
}

// HistorySummary is a retained change as the API shows it.
type HistorySummary struct {
	Revision uint64 `codec:"revision" json:"revision"`
	// At is the home leader's time of day, in milliseconds since 1970.
	At int64 `codec:"at" json:"at_ms"`
	// Teams are those that were changed or removed, at most maxTeamsListed, of Count.
	Teams []string `codec:"teams" json:"teams"`
	Count int      `codec:"count" json:"count"`
	// Omitted: it cannot be rolled back, because the configuration before it is not stored.
	Omitted bool `codec:"omitted,omitempty" json:"omitted,omitempty"`
}

// maxTeamsListed bounds the teams in a HistorySummary.
const maxTeamsListed = 20

// History lists the retained changes, the last one first.
func (h *Home) History() (out []HistorySummary) {
	for _, e := range slices.Backward(h.history) {
		out = append(out, HistorySummary{
			Revision: e.Revision,
			At:       e.At,
			Teams:    e.Teams[:min(len(e.Teams), maxTeamsListed)],
			Count:    len(e.Teams),
			Omitted:  e.Omitted,
		})
	}
	return out
}

// asChange is the change that would configure the team as it is.
func (r *TeamRecord) asChange() TeamChange {
	limit := r.Limit.quota()
	c := TeamChange{Name: r.Name, Limit: &limit, Regions: map[string]RegionQuota{}}
	for region, share := range r.Shares {
		regionLimit := share.Limit.quota()
		guarantee := share.Guarantee.quota()
		c.Regions[region] = RegionQuota{Limit: &regionLimit, Guarantee: &guarantee}
	}
	return c
}

// Rollback is the change that undoes all that came after a revision.
func (h *Home) Rollback(to uint64) (*Change, *Refusal) {
	if to >= h.head.Revision {
		return nil, refuse(http.StatusUnprocessableEntity, "revision", "%d is not before the last one, %d", to, h.head.Revision)
	}
	before := map[string]TeamChange{} // teams to configure as they were
	added := map[string]bool{}        // teams to remove
	reached := h.head.Revision        // the revision that the entries looked at lead back to
	for i := len(h.history) - 1; i >= 0 && h.history[i].Revision > to; i-- {
		entry := h.history[i]
		if entry.Omitted {
			return nil, refuse(http.StatusUnprocessableEntity, "revision", "what was there before revision %d was too large to be kept", entry.Revision)
		}
		for _, name := range entry.Added {
			delete(before, name)
			added[name] = true
		}
		for _, c := range entry.Before {
			delete(added, c.Name)
			before[c.Name] = c
		}
		reached = entry.Revision - 1
	}
	if reached > to {
		return nil, refuse(http.StatusUnprocessableEntity, "revision", "the history goes back to revision %d", reached)
	}
	change := &Change{Remove: slices.Sorted(maps.Keys(added))}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		change.Teams = append(change.Teams, before[name])
	}
	// A team that is not there any more need not be removed.
	change.Remove = slices.DeleteFunc(change.Remove, func(name string) bool { return h.teams[name] == nil || h.teams[name].Removed })
	return change, nil
}
