package calendar

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"vetchstream/internal/place"
)

// machineLimit is how many machines of a type can be had in a zone; nil: no limit beside the
// calendar's own.
type machineLimit = func(typ, zone string) int

// Fit finds capacity for a reservation, and changes nothing. The error is a *Conflict, or an
// ErrLimit.
func (c *Calendar) Fit(r *Reservation, now time.Time) (*Booking, error) {
	if len(c.bookings) >= c.config.Limits.Reservations {
		return nil, fmt.Errorf("%w: %d reservations", ErrLimit, len(c.bookings))
	}
	if c.bookingsPerTeam[r.Team] >= c.config.Limits.ReservationsPerTeam {
		return nil, fmt.Errorf("%w: team %s has %d reservations", ErrLimit, r.Team, c.bookingsPerTeam[r.Team])
	}
	if _, ok := c.teamIndex[r.Team]; !ok {
		return nil, &Conflict{Reason: "team " + r.Team + " is not known"}
	}
	if !c.anyMachineFits(r) {
		return nil, &Conflict{Reason: "a part fits no machine type that is allowed there"}
	}
	spans := c.remainingOccurrences(r, now)
	allocations, conflict := c.allocate(r, spans, nil)
	if conflict != nil {
		conflict.Searched = true
		conflict.NextStart = c.nextStart(r, spans)
		return nil, conflict
	}
	return &Booking{Reservation: r, Seq: c.lastSeq + 1, Allocations: allocations}, nil
}

// Reallocate finds other capacity for one occurrence of an accepted reservation within a
// limit of machines; nil: there is none.
func (c *Calendar) Reallocate(name string, s Span, limit machineLimit) []Allocation {
	b := c.bookings[name]
	if b == nil {
		return nil
	}
	c.applyBooking(b, -1)
	defer c.applyBooking(b, 1)
	allocations, _ := c.allocate(b.Reservation, []Span{s}, limit)
	return allocations
}

// anyMachineFits reports whether a part fits any machine at all.
func (c *Calendar) anyMachineFits(r *Reservation) bool {
	return slices.ContainsFunc(c.pools, func(p machinePool) bool { return p.capacity > 0 && c.partsPerMachine(r, &p) > 0 })
}

// partsPerMachine is how many parts of a reservation fit on a machine of a pool; 0 where it
// may not be placed.
func (c *Calendar) partsPerMachine(r *Reservation, p *machinePool) int {
	t := c.typeOf(p)
	if !r.allows(t.Name, c.zoneOf(p)) {
		return 0
	}
	return place.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}.FitCount(r.PartSize())
}

// allows reports whether a reservation may use machines of a type in a zone.
func (r *Reservation) allows(typ, zone string) bool {
	return (r.Types == nil || slices.Contains(r.Types, typ)) && (r.Zone == "" || r.Zone == zone)
}

// remainingOccurrences are the occurrences that are not over.
func (c *Calendar) remainingOccurrences(r *Reservation, now time.Time) []Span {
	return r.spans[firstEndingAfter(r.spans, now.UnixMilli()):]
}

// allocate finds machines that are free in all of the spans, within a limit. The conflict is
// what is in the way; nil: nothing is.
func (c *Calendar) allocate(r *Reservation, spans []Span, limit machineLimit) ([]Allocation, *Conflict) {
	if conflict := c.quotaConflict(r, spans); conflict != nil {
		return nil, conflict
	}
	byZone := c.freePools(r, spans, limit)
	zones := slices.Sorted(maps.Keys(byZone))
	var allocations []Allocation
	switch {
	case r.OneZone:
		allocations = c.allocateOneZone(byZone, zones, r.Parts)
	case r.Spread:
		allocations = c.allocateSpread(byZone, zones, r.Parts)
	default:
		var all []freePool
		for _, zone := range zones {
			all = append(all, byZone[zone]...)
		}
		if cheapest, _, left := c.takeCheapest(all, r.Parts); left == 0 {
			allocations = cheapest
		}
	}
	if allocations == nil {
		return nil, c.capacityConflict(r, spans)
	}
	return allocations, nil
}

// freePool is what is free of a pool for a reservation.
type freePool struct {
	index           int // of the pool
	parts           int // that fit
	partsPerMachine int
	partCost        float64 // price of a machine divided by the parts on it
}

// freePools are the pools that are free in all of the spans, by index of the zone.
func (c *Calendar) freePools(r *Reservation, spans []Span, limit machineLimit) map[int][]freePool {
	byZone := map[int][]freePool{}
	for i := range c.pools {
		p := &c.pools[i]
		perMachine := c.partsPerMachine(r, p)
		if perMachine == 0 {
			continue
		}
		t := c.typeOf(p)
		free := p.capacity
		for _, s := range spans {
			free = min(free, p.capacity-p.reserved.max(s))
		}
		if limit != nil {
			free = min(free, float64(limit(t.Name, c.zoneOf(p))))
		}
		price := t.Price
		if r.Spot {
			price = min(price, t.SpotPrice)
		}
		if machines := int(max(0, free)); machines > 0 {
			byZone[p.zoneIndex] = append(byZone[p.zoneIndex], freePool{
				index:           i,
				parts:           machines * perMachine,
				partsPerMachine: perMachine,
				partCost:        price / float64(perMachine),
			})
		}
	}
	return byZone
}

// takeCheapest allocates parts to the cheapest pools first, which it sorts. Left is the
// number of parts that do not fit.
func (c *Calendar) takeCheapest(pools []freePool, parts int) (allocations []Allocation, cost float64, left int) {
	slices.SortFunc(pools, func(a, b freePool) int {
		return cmp.Or(cmp.Compare(a.partCost, b.partCost), cmp.Compare(a.index, b.index))
	})
	for _, free := range pools {
		n := min(parts, free.parts)
		if n == 0 {
			break
		}
		machines := (n + free.partsPerMachine - 1) / free.partsPerMachine
		p := &c.pools[free.index]
		allocations = append(allocations, Allocation{
			Type:     c.typeOf(p).Name,
			Zone:     c.zoneOf(p),
			Machines: machines,
			Parts:    n,
		})
		cost += float64(machines*free.partsPerMachine) * free.partCost
		parts -= n
	}
	return allocations, cost, parts
}

// allocateOneZone allocates all parts in the cheapest zone that has capacity for them; nil:
// none has.
func (c *Calendar) allocateOneZone(byZone map[int][]freePool, zones []int, parts int) []Allocation {
	var best []Allocation
	bestCost := 0.0
	for _, zone := range zones {
		allocations, cost, left := c.takeCheapest(byZone[zone], parts)
		if left == 0 && (best == nil || cost < bestCost) {
			best = allocations
			bestCost = cost
		}
	}
	return best
}

// allocateSpread allocates at most half of the parts in one zone, as for jobs, cheapest
// zones first; nil: there is no such capacity.
func (c *Calendar) allocateSpread(byZone map[int][]freePool, zones []int, parts int) []Allocation {
	type zoneCost struct {
		zone int
		cost float64 // of the first part
	}
	var order []zoneCost
	for _, zone := range zones {
		_, cost, _ := c.takeCheapest(byZone[zone], 1)
		order = append(order, zoneCost{zone, cost})
	}
	slices.SortStableFunc(order, func(a, b zoneCost) int { return cmp.Compare(a.cost, b.cost) })
	var spread []Allocation
	left := parts
	for _, z := range order {
		wanted := min(left, maxPartsPerZone(parts))
		allocations, _, rest := c.takeCheapest(byZone[z.zone], wanted)
		spread = append(spread, allocations...)
		left -= wanted - rest
	}
	if left > 0 {
		return nil
	}
	return spread
}

// maxPartsPerZone is how many parts of a reservation that is spread may be in one zone.
func maxPartsPerZone(parts int) int { return (parts + 1) / 2 }

// resourceQuota is how a reservation stands to its team's limit, and to the guarantees of the
// others, for one resource.
type resourceQuota struct {
	resource string // as it is called in a conflict
	demand   float64
	// limit and guarantee are the team's; a limit of 0 is none.
	limit, guarantee float64
	// team is what the team has reserved, overGuarantee what all teams have beyond their
	// guarantees, maintenance what windows take.
	team, overGuarantee, maintenance *profile
	// capacity is that of all machines, guaranteed the sum of all guarantees.
	capacity, guaranteed float64
}

// quotaConflict is how the team's limit or the others' guarantees are in the way; nil: not at
// all.
//
// What teams have reserved beyond their guarantees, together, never takes more than what is
// left of the machines that can be relied upon when every team has its guarantee. So no
// reservation can starve another team's guaranteed work.
func (c *Calendar) quotaConflict(r *Reservation, spans []Span) *Conflict {
	i := c.teamIndex[r.Team]
	team := &c.config.Teams[i]
	cpus := resourceQuota{
		resource:      "CPUs",
		demand:        r.CPUs * float64(r.Parts),
		limit:         team.CPUsMax,
		guarantee:     team.CPUs,
		team:          &c.teamUsage[i].cpus,
		overGuarantee: &c.overGuarantee.cpus,
		maintenance:   &c.maintenance.cpus,
		capacity:      c.capacity.CPUs,
		guaranteed:    c.guaranteed.CPUs,
	}
	gpus := resourceQuota{
		resource:      "accelerators",
		demand:        r.GPUs * float64(r.Parts),
		limit:         team.GPUsMax,
		guarantee:     team.GPUs,
		team:          &c.teamUsage[i].gpus,
		overGuarantee: &c.overGuarantee.gpus,
		maintenance:   &c.maintenance.gpus,
		capacity:      c.capacity.GPUs,
		guaranteed:    c.guaranteed.GPUs,
	}
	if conflict := cpus.conflict(spans); conflict != nil {
		return conflict
	}
	return gpus.conflict(spans)
}

// conflict is what is in the way in the first of the spans in which anything is.
func (q *resourceQuota) conflict(spans []Span) *Conflict {
	if q.demand == 0 {
		return nil
	}
	for _, s := range spans {
		if used := q.team.max(s); q.limit > 0 && used+q.demand > q.limit+capacityTolerance {
			return &Conflict{Reason: fmt.Sprintf("at %s the team's limit of %g %s, of which %g are reserved", formatTime(s.From), q.limit, q.resource, used)}
		}
		if q.guaranteed <= q.guarantee {
			break // nobody else has a guarantee
		}
		if conflict := q.guaranteeConflict(s); conflict != nil {
			return conflict
		}
	}
	return nil
}

// guaranteeConflict is set if other teams' guarantees are in the way in a span.
func (q *resourceQuota) guaranteeConflict(s Span) (conflict *Conflict) {
	q.team.forEach(s, func(part Span, used float64) bool {
		more := increaseBeyond(q.guarantee, used, q.demand)
		if more > 0 && q.overGuarantee.max(part)+q.maintenance.max(part)+more > q.capacity-q.guaranteed+capacityTolerance {
			conflict = &Conflict{Reason: fmt.Sprintf("at %s other teams' guarantees of %s", formatTime(part.From), q.resource)}
		}
		return conflict == nil
	})
	return conflict
}
