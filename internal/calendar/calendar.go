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

// Limits bound a calendar.
type Limits struct {
	HorizonDays         int // how far ahead anything may be planned
	Reservations        int // in the whole calendar
	ReservationsPerTeam int
	Windows             int // maintenance windows
	Occurrences         int // of one reservation
}

// UnlimitedMachines stands for any number of machines in Config.Machines.
const UnlimitedMachines = -1

// Config is what a calendar plans for.
type Config struct {
	Types []wire.MachineType
	Zones []string
	Teams []config.Team
	// Machines is how many machines of a type can be relied upon in a zone; negative: any
	// number.
	Machines func(typ, zone string) int
	Limits   Limits
}

const (
	// unlimitedCapacity is the capacity of a pool of any number of machines.
	unlimitedCapacity = 1e6
	// capacityTolerance is by how much a sum of floating-point amounts may exceed a bound.
	capacityTolerance = 1e-6
)

// Allocation is a part of a reservation's capacity: machines of one type in one zone. Whole
// machines are reserved, so that no ordinary task on the rest of one can be in the way.
type Allocation struct {
	Type     string `codec:"type" json:"type"`
	Zone     string `codec:"zone" json:"zone"`
	Machines int    `codec:"machines" json:"machines"`
	Parts    int    `codec:"parts" json:"parts"`
}

// Booking is an accepted reservation.
type Booking struct {
	*Reservation
	// Seq is the order of acceptance.
	Seq         uint64
	Allocations []Allocation
	// Revoked are occurrences, by start, whose capacity a forced window has taken.
	Revoked map[int64]bool
}

// OccurrenceAt is the occurrence that a job claims which was submitted at a time of day in
// milliseconds: the first that was not over then.
func (b *Booking) OccurrenceAt(submitted int64) (Span, bool) {
	i := firstEndingAfter(b.spans, submitted)
	if i == len(b.spans) {
		return Span{}, false
	}
	return b.spans[i], true
}

// overlaps reports whether an occurrence overlaps a span.
func (b *Booking) overlaps(s Span) bool {
	i := firstEndingAfter(b.spans, s.From)
	return i < len(b.spans) && b.spans[i].Overlaps(s)
}

// firstEndingAfter is the index of the first of ordered spans that ends after t; the number
// of spans: none does.
func firstEndingAfter(spans []Span, t int64) int {
	i, _ := slices.BinarySearchFunc(spans, t+1, func(s Span, t int64) int { return cmp.Compare(s.To, t) })
	return i
}

// machinePool is the machines of one type in one zone.
type machinePool struct {
	typeIndex, zoneIndex int
	capacity             float64 // machines that can be relied upon
	reserved             profile // machines taken by reservations and windows
}

// usage is an amount of each resource over time.
type usage struct{ cpus, gpus profile }

// Calendar holds the accepted reservations and maintenance windows, and decides whether
// further ones fit.
type Calendar struct {
	config    Config
	pools     []machinePool
	teamUsage []usage        // reserved by each team
	teamIndex map[string]int // by name
	// overGuarantee is what all teams together have reserved beyond their guarantees.
	overGuarantee usage
	// maintenance is what windows take of the machines that can be relied upon.
	maintenance     usage
	capacity        place.Resources // of the machines that can be relied upon
	guaranteed      place.Resources // sum of the teams' guarantees
	bookings        map[string]*Booking
	bookingsPerTeam map[string]int
	windows         map[string]*PlannedWindow
	lastSeq         uint64
}

// New makes an empty calendar.
func New(f Config) *Calendar {
	c := &Calendar{
		config:          f,
		teamUsage:       make([]usage, len(f.Teams)),
		teamIndex:       map[string]int{},
		bookings:        map[string]*Booking{},
		bookingsPerTeam: map[string]int{},
		windows:         map[string]*PlannedWindow{},
	}
	for i, t := range f.Teams {
		c.teamIndex[t.Name] = i
		c.guaranteed.CPUs += t.CPUs
		c.guaranteed.GPUs += t.GPUs
	}
	for typeIndex, t := range f.Types {
		for zoneIndex, zone := range f.Zones {
			if slices.Contains(t.Zones, zone) {
				c.addPool(typeIndex, zoneIndex)
			}
		}
	}
	return c
}

// addPool adds the machines of a type in a zone.
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

// typeOf is the machine type of a pool.
func (c *Calendar) typeOf(p *machinePool) *wire.MachineType { return &c.config.Types[p.typeIndex] }

// zoneOf is the zone of a pool.
func (c *Calendar) zoneOf(p *machinePool) string { return c.config.Zones[p.zoneIndex] }

// pool is the pool of a machine type in a zone; nil: there is none.
func (c *Calendar) pool(typ, zone string) *machinePool {
	for i := range c.pools {
		if p := &c.pools[i]; c.typeOf(p).Name == typ && c.zoneOf(p) == zone {
			return p
		}
	}
	return nil
}

// Bookings are the accepted reservations, by name.
func (c *Calendar) Bookings() map[string]*Booking { return c.bookings }

// Windows are the accepted maintenance windows, by name.
func (c *Calendar) Windows() map[string]*PlannedWindow { return c.windows }

// ErrLimit is returned for a reservation or window beyond the calendar's Limits.
var ErrLimit = errors.New("the calendar is full")

// Conflict is returned for a reservation or window that does not fit.
type Conflict struct {
	// Reason is what is in the way.
	Reason string
	// Searched: a later start was searched for. NextStart is the first one that would fit;
	// zero: none was found within the horizon.
	Searched  bool
	NextStart time.Time
}

// Error implements error.
func (e *Conflict) Error() string {
	switch {
	case !e.Searched:
		return e.Reason
	case e.NextStart.IsZero():
		return e.Reason + "; no later start was found that would fit"
	}
	return e.Reason + "; it would fit from " + e.NextStart.UTC().Format(time.RFC3339)
}

// Add adds an accepted reservation, or replaces the one of its name.
func (c *Calendar) Add(b *Booking) {
	c.Remove(b.Name)
	c.bookings[b.Name] = b
	c.bookingsPerTeam[b.Team]++
	c.lastSeq = max(c.lastSeq, b.Seq)
	c.applyBooking(b, 1)
}

// Remove removes a reservation, if there is one of that name.
func (c *Calendar) Remove(name string) {
	b := c.bookings[name]
	if b == nil {
		return
	}
	c.applyBooking(b, -1)
	delete(c.bookings, name)
	c.bookingsPerTeam[b.Team]--
}

// applyBooking adds what a reservation takes to the profiles, or subtracts it (sign -1).
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
			continue // its team has left the settings
		}
		team, used := &c.config.Teams[teamIndex], &c.teamUsage[teamIndex]
		addUsage(&used.cpus, &c.overGuarantee.cpus, s, sign*b.CPUs*float64(b.Parts), team.CPUs)
		addUsage(&used.gpus, &c.overGuarantee.gpus, s, sign*b.GPUs*float64(b.Parts), team.GPUs)
	}
}

// addUsage changes by an amount what a team has reserved of a resource, and with it what all
// teams have reserved beyond their guarantees.
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
		if over := increaseBeyond(guarantee, used, amount); over != 0 {
			changes = append(changes, change{part, over})
		}
		return true
	})
	for _, x := range changes {
		overGuarantee.add(x.span, x.amount)
	}
	team.add(s, amount)
}

// increaseBeyond is by how much more a guarantee is exceeded when an amount is added to what
// is used.
func increaseBeyond(guarantee, used, amount float64) float64 {
	return max(0, used+amount-guarantee) - max(0, used-guarantee)
}
