package dynconfig

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"
)

// MaxHistory is the number of changes that are retained.
const MaxHistory = 64

// HistoryEntry is a change that took effect, with the configuration before it, so that the change
// can be rolled back.
type HistoryEntry struct {
	Revision uint64 `codec:"revision"`
	// At is the home leader's time of day, in milliseconds since 1970.
	At int64 `codec:"at"`
	// Teams are the teams that were changed or removed.
	Teams []string `codec:"teams"`
	// Before are the teams that existed before the change, as they were configured. Added are
	// the teams that did not exist or were removed at that time.
	Before []TeamChange `codec:"before,omitempty"`
	Added  []string     `codec:"added,omitempty"`
	// Omitted means that Before and Added were too large to be stored.
	Omitted bool `codec:"omitted,omitempty"`
}

// Slot returns the number under which the entry is stored. The entry replaces the one that is
// MaxHistory revisions older.
func (e *HistoryEntry) Slot() int { return int(e.Revision % MaxHistory) }

// WithoutBefore returns the entry without the earlier configuration, which may be too large to be
// stored.
func (e *HistoryEntry) WithoutBefore() *HistoryEntry {
	return &HistoryEntry{
		Revision: e.Revision,
		At:       e.At,
		Teams:    e.Teams,
		Omitted:  true,
	}
}

// LoadHistory sets the history to the entries that earlier leaders have stored, in any order.
func (h *Home) LoadHistory(entries []*HistoryEntry) {
	h.history = slices.Clone(entries)
	slices.SortFunc(h.history, func(a, b *HistoryEntry) int { return cmp.Compare(a.Revision, b.Revision) })
}

// NewHistoryEntry returns the entry for an update that Propose returned. It has to be called
// before the update is applied.
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

// AddHistory adds a stored entry to the history, and drops the oldest one beyond MaxHistory.
func (h *Home) AddHistory(e *HistoryEntry) {
	h.history = append(h.history, e)
	if len(h.history) > MaxHistory {
		h.history = h.history[len(h.history)-MaxHistory:]
	}
}

// HistorySummary is a change of the history in the API.
type HistorySummary struct {
	Revision uint64 `codec:"revision" json:"revision"`
	// At is the home leader's time of day, in milliseconds since 1970.
	At int64 `codec:"at" json:"at_ms"`
	// Teams are the teams that were changed or removed, at most maxTeamsListed of them. Count is
	// the number of all.
	Teams []string `codec:"teams" json:"teams"`
	Count int      `codec:"count" json:"count"`
	// Omitted means that the change cannot be rolled back, because the configuration before it is
	// not stored.
	Omitted bool `codec:"omitted,omitempty" json:"omitted,omitempty"`
}

// maxTeamsListed bounds the teams in a HistorySummary.
const maxTeamsListed = 20

// History returns the retained changes, the last one first.
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

// asChange returns the change that results in the team's present configuration.
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

// Rollback returns the change that restores the configuration at a revision.
func (h *Home) Rollback(to uint64) (*Change, *Refusal) {
	if to >= h.head.Revision {
		return nil, refuse(http.StatusUnprocessableEntity, "revision", "%d is not earlier than the last revision, %d", to, h.head.Revision)
	}
	before := map[string]TeamChange{} // teams to configure as they were
	added := map[string]bool{}        // teams to remove, which the revision did not have
	reached := h.head.Revision        // the revision to which the entries processed so far lead back
	for i := len(h.history) - 1; i >= 0 && h.history[i].Revision > to; i-- {
		entry := h.history[i]
		if entry.Omitted {
			return nil, refuse(http.StatusUnprocessableEntity, "revision", "the configuration before revision %d was too large to be stored", entry.Revision)
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
		return nil, refuse(http.StatusUnprocessableEntity, "revision", "the history goes back to revision %d only", reached)
	}
	change := &Change{Remove: slices.Sorted(maps.Keys(added))}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		change.Teams = append(change.Teams, before[name])
	}
	// A team that does not exist or is removed already need not be removed.
	change.Remove = slices.DeleteFunc(change.Remove, func(name string) bool { return h.teams[name] == nil || h.teams[name].Removed })
	return change, nil
}
