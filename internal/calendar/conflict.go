package calendar

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxNamedConflicts is the maximum number of conflicting entries that a refusal names.
	maxNamedConflicts = 3
	// maxStartCandidates limits the starts that the search for a later one tries.
	maxStartCandidates = 100
)

// capacityConflict returns the conflict of the first span without capacity, or of the first
// span if each has capacity by itself but no machines are free in all of them.
func (c *Calendar) capacityConflict(r *Reservation, spans []Span) *Conflict {
	conflicting := spans[0]
	if i := slices.IndexFunc(spans, func(s Span) bool { return !c.hasCapacity(r, s) }); i >= 0 {
		conflicting = spans[i]
	}
	names := c.conflictingEntries(r, conflicting)
	if len(names) == 0 {
		return &Conflict{Reason: fmt.Sprintf("at %s the fleet has no capacity for %d parts", formatTime(conflicting.From), r.Parts)}
	}
	suffix := ""
	if len(names) > maxNamedConflicts {
		names = names[:maxNamedConflicts]
		suffix = " and others"
	}
	return &Conflict{Reason: fmt.Sprintf("at %s there is no capacity for %d parts beside %s%s", formatTime(conflicting.From), r.Parts, strings.Join(names, ", "), suffix)}
}

// conflictingEntries returns the names of windows and reservations that occupy machines which
// the reservation could use during the span. It returns all such windows, and stops at
// reservations once there are more names than a refusal includes.
func (c *Calendar) conflictingEntries(r *Reservation, s Span) []string {
	usable := func(a Allocation) bool { return r.allows(a.Type, a.Zone) }
	var names []string
	for _, name := range slices.Sorted(maps.Keys(c.windows)) {
		if w := c.windows[name]; w.span.Overlaps(s) && slices.ContainsFunc(w.Closed, usable) {
			names = append(names, "window "+name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.bookings)) {
		if len(names) > maxNamedConflicts {
			break
		}
		if b := c.bookings[name]; slices.ContainsFunc(b.Allocations, usable) && b.overlaps(s) {
			names = append(names, "reservation "+name)
		}
	}
	return names
}

// hasCapacity reports whether enough machines are free for a reservation in one span. It
// ignores the quotas of teams.
func (c *Calendar) hasCapacity(r *Reservation, s Span) bool {
	byZone := map[string]int{}
	total, maxInZone := 0, 0
	for i := range c.pools {
		p := &c.pools[i]
		zone := c.zoneOf(p)
		parts := int(max(0, p.capacity-p.reserved.max(s))) * c.partsPerMachine(r, p)
		if r.Spread {
			parts = min(parts, maxPartsPerZone(r.Parts))
		}
		byZone[zone] += parts
		total += parts
		maxInZone = max(maxInZone, byZone[zone])
	}
	return total >= r.Parts && (!r.OneZone || maxInZone >= r.Parts)
}

// nextStart returns the earliest later start for which all occurrences would fit, out of the
// times at which capacity becomes free; zero if none of them fits.
func (c *Calendar) nextStart(r *Reservation, spans []Span) time.Time {
	first := spans[0].From
	for _, start := range c.startCandidates(r, first) {
		shifted := make([]Span, len(spans))
		for i, s := range spans {
			shifted[i] = Span{s.From + start - first, s.To + start - first}
		}
		if slices.ContainsFunc(shifted, func(s Span) bool { return !c.hasCapacity(r, s) }) {
			continue // cheaper than allocate, which also describes the conflict
		}
		if _, conflict := c.allocate(r, shifted, nil); conflict == nil {
			return time.UnixMilli(start)
		}
	}
	return time.Time{}
}

// startCandidates returns the first times after the given one at which machines or quota
// become free, in order.
func (c *Calendar) startCandidates(r *Reservation, after int64) []int64 {
	var candidates []int64
	for i := range c.pools {
		candidates = append(candidates, c.pools[i].reserved.decreasesAfter(after, maxStartCandidates)...)
	}
	used := &c.teamUsage[c.teamIndex[r.Team]]
	candidates = append(candidates, used.cpus.decreasesAfter(after, maxStartCandidates)...)
	candidates = append(candidates, used.gpus.decreasesAfter(after, maxStartCandidates)...)
	candidates = append(candidates, c.overGuarantee.cpus.decreasesAfter(after, maxStartCandidates)...)
	slices.Sort(candidates)
	candidates = slices.Compact(candidates)
	return candidates[:min(len(candidates), maxStartCandidates)]
}

// formatTime formats a Unix time in milliseconds.
func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }
