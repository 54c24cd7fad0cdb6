package calendar

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/place"
	"vetchstream/internal/wire"
)

// Limits bounds the entries of a calendar.
type Limits struct {
	HorizonDays         int // how far ahead an entry may lie
	Reservations        int // of all teams together
	ReservationsPerTeam int
	Windows             int // maintenance windows
	Occurrences         int // per reservation
}

// UnlimitedMachines is the result of Config.Machines for a type without a limit in a zone.
const UnlimitedMachines = -1

// Config describes the fleet and the teams that a calendar plans for.
type Config struct {
	Types []wire.MachineType
	Zones []string
	Teams []config.Team
	// Machines returns the number of machines of a type that the fleet can rely on in a zone;
	// a negative number means that there is no limit.
	Machines func(typ, zone string) int
	Limits   Limits
}

const (
	// unlimitedCapacity is the number of machines assumed for a pool without a limit.
	unlimitedCapacity = 1e6
	// capacityTolerance is the excess over a bound that is attributed to rounding of
	// floating-point sums.
	capacityTolerance = 1e-6
)

// Allocation assigns machines of one type in one zone to a reservation or a maintenance
// window. Reservations get whole machines, so that ordinary tasks never occupy the remainder
// of a reserved machine.
type Allocation struct {
	Type     string `codec:"type" json:"type"`
	Zone     string `codec:"zone" json:"zone"`
	Machines int    `codec:"machines" json:"machines"`
	Parts    int    `codec:"parts" json:"parts"`
}

// Booking is an accepted reservation with its allocated machines.
type Booking struct {
	*Reservation
	// Seq orders bookings by acceptance.
	Seq         uint64
	Allocations []Allocation
	// Revoked holds the starts of the occurrences whose capacity a forced window has revoked.
	Revoked map[int64]bool
}

// OccurrenceAt returns the occurrence that a job submitted at the given Unix time in
// milliseconds claims: the first one that ends after that time.
func (b *Booking) OccurrenceAt(submitted int64) (Span, bool) {
	i := firstEndingAfter(b.spans, submitted)
	if i == len(b.spans) {
		return Span{}, false
	}
	return b.spans[i], true
}

// overlaps reports whether any occurrence overlaps the span.
func (b *Booking) overlaps(s Span) bool {
	i := firstEndingAfter(b.spans, s.From)
	return i < len(b.spans) && b.spans[i].Overlaps(s)
}

// firstEndingAfter returns the index of the first of the ordered spans that ends after t, or
// len(spans) if none does.
func firstEndingAfter(spans []Span, t int64) int {
	i, _ := slices.BinarySearchFunc(spans, t+1, func(s Span, t int64) int { return cmp.Compare(s.To, t) })
	return i
}

// machinePool represents the machines of one type in one zone.
type machinePool struct {
	typeIndex, zoneIndex int
	capacity             float64 // number of machines that the fleet can rely on
	reserved             profile // number of machines allocated to reservations and windows
}

// usage is the amount of each resource in use over time.
type usage struct{ cpus, gpus profile }

// Calendar holds the accepted reservations and maintenance windows and decides whether further
// ones fit.
type Calendar struct {
	config    Config
	pools     []machinePool
	teamUsage []usage        // reserved by each team
	teamIndex map[string]int // index in config.Teams by name
	// overGuarantee sums the amounts that teams have reserved beyond their guarantees.
	overGuarantee usage
	// maintenance is the capacity that windows take out of service.
	maintenance     usage
	capacity        place.Resources // of all pools
	guaranteed      place.Resources // sum of the teams' guarantees
	bookings        map[string]*Booking
	bookingsPerTeam map[string]int
	windows         map[string]*PlannedWindow
	lastSeq         uint64
}

// New returns an empty calendar.
func New(cfg Config) *Calendar {
	c := &Calendar{
		config:          cfg,
		teamUsage:       make([]usage, len(cfg.Teams)),
		teamIndex:       map[string]int{},
		bookings:        map[string]*Booking{},
		bookingsPerTeam: map[string]int{},
		windows:         map[string]*PlannedWindow{},
	}
	for i, t := range cfg.Teams {
		c.teamIndex[t.Name] = i
		c.guaranteed.CPUs += t.CPUs
		c.guaranteed.GPUs += t.GPUs
	}
	for typeIndex, t := range cfg.Types {
		for zoneIndex, zone := range cfg.Zones {
			if slices.Contains(t.Zones, zone) {
				c.addPool(typeIndex, zoneIndex)
			}
		}
	}
	return c
}

// addPool adds the pool of a machine type in a zone, with its capacity.
func (c *Calendar) addPool(typeIndex, zoneIndex int) {
	t := &c.config.Types[typeIndex]
	machines := float64(c.config.Machines(t.Name, c.config.Zones[zoneIndex]))
	if machines < 0 {
		machines = unlimitedCapacity
	}
	c.pools = append(c.pools, machinePool{typeIndex: typeIndex, zoneIndex: zoneIndex, capacity: machines})
	c.capacity.CPUs += machines * t.CPUs
	c.capacity.GPUs += machines * t.GPUs
}

// typeOf returns the machine type of a pool.
func (c *Calendar) typeOf(p *machinePool) *wire.MachineType { return &c.config.Types[p.typeIndex] }

// zoneOf returns the zone of a pool.
func (c *Calendar) zoneOf(p *machinePool) string { return c.config.Zones[p.zoneIndex] }

// pool returns the pool of a machine type in a zone, or nil if the type is not offered there.
func (c *Calendar) pool(typ, zone string) *machinePool {
	for i := range c.pools {
		if p := &c.pools[i]; c.typeOf(p).Name == typ && c.zoneOf(p) == zone {
			return p
		}
	}
	return nil
}

// Bookings returns the accepted reservations by name. Callers must not modify the map.
func (c *Calendar) Bookings() map[string]*Booking { return c.bookings }

// Windows returns the accepted maintenance windows by name. Callers must not modify the map.
func (c *Calendar) Windows() map[string]*PlannedWindow { return c.windows }

// ErrLimit is returned for a reservation or window that would exceed the calendar's Limits.
var ErrLimit = errors.New("the calendar is full")

// Conflict is the error for a reservation or window that does not fit.
type Conflict struct {
	// Reason says why the entry does not fit.
	Reason string
	// Searched reports whether a later start was searched for. NextStart is the first one that
	// would fit, or zero if the search found none.
	Searched  bool
	NextStart time.Time
}

// Error implements error.
func (e *Conflict) Error() string {
	switch {
	case !e.Searched:
		return e.Reason
	case e.NextStart.IsZero():
		return e.Reason + "; no later start that fits was found"
	}
	return e.Reason + "; it would fit from " + e.NextStart.UTC().Format(time.RFC3339)
}

// Add adds an accepted reservation, replacing any reservation of the same name.
func (c *Calendar) Add(b *Booking) {
	c.Remove(b.Name)
	c.bookings[b.Name] = b
	c.bookingsPerTeam[b.Team]++
	c.lastSeq = max(c.lastSeq, b.Seq)
	c.applyBooking(b, 1)
}

// Remove removes the reservation of the given name, if there is one.
func (c *Calendar) Remove(name string) {
	b := c.bookings[name]
	if b == nil {
		return
	}
	c.applyBooking(b, -1)
	delete(c.bookings, name)
	c.bookingsPerTeam[b.Team]--
}

// applyBooking adds the machines and resources of a reservation to the profiles, or subtracts
// them if sign is -1.
func (c *Calendar) applyBooking(b *Booking, sign float64) {
	teamIndex, known := c.teamIndex[b.Team]
	for _, s := range b.spans {
		if b.Revoked[s.From] {
			continue
		}
		for _, a := range b.Allocations {
			if p := c.pool(a.Type, a.Zone); p != nil {
				p.reserved.add(s, sign*float64(a.Machines))
			}
		}
		if !known {
			continue // the team was removed from the settings
		}
		team, used := &c.config.Teams[teamIndex], &c.teamUsage[teamIndex]
		addUsage(&used.cpus, &c.overGuarantee.cpus, s, sign*b.CPUs*float64(b.Parts), team.CPUs)
		addUsage(&used.gpus, &c.overGuarantee.gpus, s, sign*b.GPUs*float64(b.Parts), team.GPUs)
	}
}

// addUsage adds an amount of a resource to a team's usage over a span, and adjusts the sum of
// the amounts that all teams have reserved beyond their guarantees.
func addUsage(team, overGuarantee *profile, s Span, amount, guarantee float64) {
	if amount == 0 {
		return
	}
	type change struct {
		span   Span
		amount float64
	}
	var changes []change
	team.forEach(s, func(part Span, used float64) bool {
		if increase := increaseBeyond(guarantee, used, amount); increase != 0 {
			changes = append(changes, change{part, increase})
		}
		return true
	})
	for _, c := range changes {
		overGuarantee.add(c.span, c.amount)
	}
	team.add(s, amount)
}

// increaseBeyond returns by how much the usage beyond the guarantee grows when amount is added
// to used.
func increaseBeyond(guarantee, used, amount float64) float64 {
	return max(0, used+amount-guarantee) - max(0, used-guarantee)
}
