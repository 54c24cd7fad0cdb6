package calendar

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"vetchstream/internal/place"
)

// machineLimit returns the maximum number of machines of a type that may be allocated in a
// zone. A nil function sets no limit beyond the capacity of the calendar's pools.
type machineLimit = func(typ, zone string) int

// Fit allocates capacity for a reservation and returns the booking, without adding it to the
// calendar. The error is a *Conflict or wraps ErrLimit.
func (c *Calendar) Fit(r *Reservation, now time.Time) (*Booking, error) {
	if len(c.bookings) >= c.config.Limits.Reservations {
		return nil, fmt.Errorf("%w: %d reservations", ErrLimit, len(c.bookings))
	}
	if c.bookingsPerTeam[r.Team] >= c.config.Limits.ReservationsPerTeam {
		return nil, fmt.Errorf("%w: team %s has %d reservations", ErrLimit, r.Team, c.bookingsPerTeam[r.Team])
	}
	if _, ok := c.teamIndex[r.Team]; !ok {
		return nil, &Conflict{Reason: "team " + r.Team + " is not configured"}
	}
	if !c.anyMachineFits(r) {
		return nil, &Conflict{Reason: "a part fits on no machine type that the reservation may use"}
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

// Reallocate allocates capacity anew for one occurrence of an accepted reservation, within
// the limit, without changing the calendar. It returns nil if there is not enough.
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

// anyMachineFits reports whether a part fits on a machine of any pool.
func (c *Calendar) anyMachineFits(r *Reservation) bool {
	return slices.ContainsFunc(c.pools, func(p machinePool) bool { return p.capacity > 0 && c.partsPerMachine(r, &p) > 0 })
}

// partsPerMachine returns how many parts of a reservation fit on a machine of a pool. It is 0
// if the reservation may not use the pool.
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

// remainingOccurrences returns the occurrences that have not ended.
func (c *Calendar) remainingOccurrences(r *Reservation, now time.Time) []Span {
	return r.spans[firstEndingAfter(r.spans, now.UnixMilli()):]
}

// allocate allocates machines that are free in all of the spans, within the limit. It returns
// a conflict if there are not enough or a quota is exceeded.
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
		if cheapest, _, unplaced := c.takeCheapest(all, r.Parts); unplaced == 0 {
			allocations = cheapest
		}
	}
	if allocations == nil {
		return nil, c.capacityConflict(r, spans)
	}
	return allocations, nil
}

// freePool is the free capacity of a pool for a reservation.
type freePool struct {
	index           int // in Calendar.pools
	parts           int // number of parts that fit
	partsPerMachine int
	partCost        float64 // price of a machine divided by partsPerMachine
}

// freePools returns the capacity that is free in all of the spans, by index of the zone.
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

// takeCheapest sorts the pools by cost and allocates parts to the cheapest ones first. It also
// returns the price of the allocated machines and the number of parts that do not fit.
func (c *Calendar) takeCheapest(pools []freePool, parts int) (allocations []Allocation, cost float64, unplaced int) {
	slices.SortFunc(pools, func(a, b freePool) int {
		return cmp.Or(cmp.Compare(a.partCost, b.partCost), cmp.Compare(a.index, b.index))
	})
	for _, free := range pools {
		placed := min(parts, free.parts)
		if placed == 0 {
			break
		}
		machines := (placed + free.partsPerMachine - 1) / free.partsPerMachine
		p := &c.pools[free.index]
		allocations = append(allocations, Allocation{
			Type:     c.typeOf(p).Name,
			Zone:     c.zoneOf(p),
			Machines: machines,
			Parts:    placed,
		})
		cost += float64(machines*free.partsPerMachine) * free.partCost
		parts -= placed
	}
	return allocations, cost, parts
}

// allocateOneZone allocates all parts in the cheapest zone that has capacity for them. It
// returns nil if none has.
func (c *Calendar) allocateOneZone(byZone map[int][]freePool, zones []int, parts int) []Allocation {
	var best []Allocation
	bestCost := 0.0
	for _, zone := range zones {
		allocations, cost, unplaced := c.takeCheapest(byZone[zone], parts)
		if unplaced == 0 && (best == nil || cost < bestCost) {
			best = allocations
			bestCost = cost
		}
	}
	return best
}

// allocateSpread allocates at most half of the parts, rounded up, in any one zone, as the
// placement of jobs does. It begins with the cheapest zone, and returns nil if the capacity does
// not suffice.
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
	remaining := parts
	for _, z := range order {
		wanted := min(remaining, maxPartsPerZone(parts))
		allocations, _, unplaced := c.takeCheapest(byZone[z.zone], wanted)
		spread = append(spread, allocations...)
		remaining -= wanted - unplaced
	}
	if remaining > 0 {
		return nil
	}
	return spread
}

// maxPartsPerZone returns the maximum number of parts in one zone of a spread reservation.
func maxPartsPerZone(parts int) int { return (parts + 1) / 2 }

// resourceQuota holds what decides whether a reservation's demand for one resource respects
// its team's limit and the guarantees of the other teams.
type resourceQuota struct {
	resource string // its name in a conflict
	demand   float64
	// limit and guarantee are those of the team; a limit of 0 means no limit.
	limit, guarantee float64
	// team is the team's reserved amount, overGuarantee the sum of the amounts that all teams
	// have reserved beyond their guarantees, maintenance the amount that windows take.
	team, overGuarantee, maintenance *profile
	// capacity is the sum over all pools, guaranteed the sum over all teams.
	capacity, guaranteed float64
}

// quotaConflict returns the conflict if a reservation would exceed its team's limit or
// encroach on the guarantees of other teams, or nil if it does neither.
//
// The sum of the amounts that teams have reserved beyond their guarantees never exceeds the
// capacity that remains once every team has its guarantee. So no reservation can starve
// another team's guaranteed work.
func (c *Calendar) quotaConflict(r *Reservation, spans []Span) *Conflict {
	teamIndex := c.teamIndex[r.Team]
	team := &c.config.Teams[teamIndex]
	cpus := resourceQuota{
		resource:      "CPUs",
		demand:        r.CPUs * float64(r.Parts),
		limit:         team.CPUsMax,
		guarantee:     team.CPUs,
		team:          &c.teamUsage[teamIndex].cpus,
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
		team:          &c.teamUsage[teamIndex].gpus,
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

// conflict returns the conflict of the first span that has one, or nil.
func (q *resourceQuota) conflict(spans []Span) *Conflict {
	if q.demand == 0 {
		return nil
	}
	for _, s := range spans {
		if used := q.team.max(s); q.limit > 0 && used+q.demand > q.limit+capacityTolerance {
			return &Conflict{Reason: fmt.Sprintf("at %s the team would exceed its limit of %g %s, of which %g are reserved", formatTime(s.From), q.limit, q.resource, used)}
		}
		if q.guaranteed <= q.guarantee {
			break // no other team has a guarantee
		}
		if conflict := q.guaranteeConflict(s); conflict != nil {
			return conflict
		}
	}
	return nil
}

// guaranteeConflict returns a conflict if the demand would encroach on other teams' guarantees
// during a span, or nil.
func (q *resourceQuota) guaranteeConflict(s Span) (conflict *Conflict) {
	q.team.forEach(s, func(part Span, used float64) bool {
		increase := increaseBeyond(q.guarantee, used, q.demand)
		if increase > 0 && q.overGuarantee.max(part)+q.maintenance.max(part)+increase > q.capacity-q.guaranteed+capacityTolerance {
			conflict = &Conflict{Reason: fmt.Sprintf("at %s the capacity is needed for other teams' guarantees of %s", formatTime(part.From), q.resource)}
		}
		return conflict == nil
	})
	return conflict
}
