package calendar

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxNamedConflicts is how many conflicting entries a refusal names.
	maxNamedConflicts = 3
	// maxStartCandidates bounds the search for a start that would fit.
	maxStartCandidates = 100
)

// capacityConflict names what is in the way of the first occurrence that does not fit.
func (c *Calendar) capacityConflict(r *Reservation, spans []Span) *Conflict {
	s := spans[0]
	if i := slices.IndexFunc(spans, func(s Span) bool { return !c.hasCapacity(r, s) }); i >= 0 {
		s = spans[i]
	}
	names := c.conflictingEntries(r, s)
	if len(names) == 0 {
		return &Conflict{Reason: fmt.Sprintf("at %s the machines counted upon have no room for %d parts", formatTime(s.From), r.Parts)}
	}
	more := ""
	if len(names) > maxNamedConflicts {
		names = names[:maxNamedConflicts]
		more = " and others"
	}
	return &Conflict{Reason: fmt.Sprintf("at %s no room for %d parts beside %s%s", formatTime(s.From), r.Parts, strings.Join(names, ", "), more)}
}

// conflictingEntries names the windows and reservations that take machines which a
// reservation could use in a span: all windows, and reservations until there are more names
// than a refusal has.
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

// hasCapacity reports whether the machines have capacity for a reservation in one span,
// whatever its team's quota.
func (c *Calendar) hasCapacity(r *Reservation, s Span) bool {
	byZone := map[string]int{}
	total, mostInZone := 0, 0
	for i := range c.pools {
		p := &c.pools[i]
		zone := c.zoneOf(p)
		parts := int(max(0, p.capacity-p.reserved.max(s))) * c.partsPerMachine(r, p)
		if r.Spread {
			parts = min(parts, maxPartsPerZone(r.Parts))
		}
		byZone[zone] += parts
		total += parts
		mostInZone = max(mostInZone, byZone[zone])
	}
	return total >= r.Parts && (!r.OneZone || mostInZone >= r.Parts)
}

// nextStart is the first start, among the times at which something ends, from which all
// occurrences would fit; zero: none of them.
func (c *Calendar) nextStart(r *Reservation, spans []Span) time.Time {
	first := spans[0].From
	for _, start := range c.startCandidates(r, first) {
		shifted := make([]Span, len(spans))
		for i, s := range spans {
			shifted[i] = Span{s.From + start - first, s.To + start - first}
		}
		if slices.ContainsFunc(shifted, func(s Span) bool { return !c.hasCapacity(r, s) }) {
			continue // cheaper than allocate, which would name what is in the way
		}
		if _, conflict := c.allocate(r, shifted, nil); conflict == nil {
			return time.UnixMilli(start)
		}
	}
	return time.Time{}
}

// startCandidates are the times after a start at which machines or quota become free.
func (c *Calendar) startCandidates(r *Reservation, after int64) []int64 {
	var ends []int64
	for i := range c.pools {
		ends = append(ends, c.pools[i].reserved.decreasesAfter(after, maxStartCandidates)...)
	}
	team := &c.teamUsage[c.teamIndex[r.Team]]
	ends = append(ends, team.cpus.decreasesAfter(after, maxStartCandidates)...)
	ends = append(ends, team.gpus.decreasesAfter(after, maxStartCandidates)...)
	ends = append(ends, c.overGuarantee.cpus.decreasesAfter(after, maxStartCandidates)...)
	slices.Sort(ends)
	ends = slices.Compact(ends)
	return ends[:min(len(ends), maxStartCandidates)]
}

// formatTime formats a time of day in milliseconds.
func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }
