package autoscale

import (
	"math"
	"time"

	"vetchstream/internal/place"
	"vetchstream/internal/wire"
)

// Offer is a machine type in one zone, ordinary or spot.
type Offer struct {
	Type, Zone int
	Spot       bool
}

// Backoff remembers which offers were refused lately.
type Backoff struct {
	until map[Offer]time.Time
	step  map[Offer]time.Duration
}

// NewBackoff makes an empty memory.
func NewBackoff() *Backoff {
	return &Backoff{until: map[Offer]time.Time{}, step: map[Offer]time.Duration{}}
}

const (
	firstBackoff = 5 * time.Second
	maxBackoff   = 40 * time.Second
)

// Refused notes a refusal; the pause doubles from one to the next.
func (b *Backoff) Refused(o Offer, now time.Time) {
	d := min(maxBackoff, max(firstBackoff, 2*b.step[o]))
	b.step[o], b.until[o] = d, now.Add(d)
}

// Served forgets the refusals of an offer.
func (b *Backoff) Served(o Offer) { delete(b.step, o); delete(b.until, o) }

// Open reports whether the offer may be asked for.
func (b *Backoff) Open(o Offer, now time.Time) bool { return !now.Before(b.until[o]) }

// Want is waiting work of one job that found no machine.
type Want struct {
	Demand *place.Demand
	Count  int
	// TaskS is the expected run time of a task, in seconds.
	TaskS  float64
	Image  float64 // GB
	Waited float64 // seconds
	Urgent bool    // waiting costs an aim: rent without regard to the fill
	// Room is how many of the tasks fit now on machines that are up, by zone, for a
	// gang that has to be in one; nil: not known.
	Room []int
	// Chosen is the zone that Rentals has chosen for such a gang; -1: none.
	Chosen int
}

// gather chooses the zone of a gang that has to be in one: where the fewest tasks
// are without room, counting what is up and what comes. Renting wherever it is
// cheapest would bring one machine here and one there, each idle and returned
// before the next comes, and the gang would wait for ever.
func (s *Shop) gather(w *Want, coming []Coming) (zone int) {
	zone = -1
	best, _, any := s.cheapest(w.Demand, w.Count, *w)
	least := 0
	for z, fit := range w.Room {
		d := *w.Demand
		d.Zone = z
		for i := range coming {
			if allowed(&d, coming[i].Offer) {
				fit += coming[i].Free.Times(d.Need)
			}
		}
		left := max(0, w.Count-fit)
		if left > 0 {
			if _, _, ok := s.cheapest(&d, left, *w); !ok {
				continue
			}
		}
		if zone < 0 || left < least || (left == least && any && z == best.Zone) {
			zone, least = z, left
		}
	}
	return zone
}

// Coming is a machine that was rented and is not up yet.
type Coming struct {
	Offer
	Free place.Amount
}

// Shop is all that a rental decision depends on.
type Shop struct {
	Types   []wire.MachineType
	ZoneOf  map[string]int
	Coming  []Coming
	Backoff *Backoff
	// InZone counts the machines of each zone: what costs the same is spread, so
	// that a wave of notices or a cut in one zone takes few.
	InZone   []int
	MinFill  float64
	Patience float64
	Now      time.Time
	// Closed tells of offers that would only be returned again for maintenance; nil:
	// none.
	Closed func(Offer) bool
}

// mostAtOnce bounds what one look rents, in machines.
const mostAtOnce = 150

// Rentals decides what to rent: waiting work goes first to the machines that
// are coming, and what is left to the offer that runs it at the lowest cost, if
// the work can fill enough of it or has waited for long.
func Rentals(s Shop, wants []Want) map[Offer]int {
	out := map[Offer]int{}
	coming := append([]Coming(nil), s.Coming...)
	for wi := range wants {
		w := &wants[wi]
		d := w.Demand
		left := w.Count
		w.Chosen = -1
		if w.Room != nil {
			zone := s.gather(w, coming)
			if zone < 0 {
				continue
			}
			here := *d
			here.Zone, w.Chosen = zone, zone
			d = &here
			left -= min(left, w.Room[zone])
		}
		for i := range coming {
			c := &coming[i]
			if left == 0 {
				break
			}
			if !allowed(d, c.Offer) {
				continue
			}
			n := min(left, c.Free.Times(d.Need))
			c.Free = minus(c.Free, d.Need, n)
			left -= n
		}
		for left > 0 {
			o, slots, ok := s.cheapest(d, left, *w)
			if !ok {
				break
			}
			t := &s.Types[o.Type]
			total := place.Amount{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}
			n := min(left, slots)
			fill := float64(n) / float64(slots)
			if !w.Urgent && fill < s.MinFill && w.Waited < s.Patience {
				break
			}
			out[o]++
			coming = append(coming, Coming{o, minus(total, d.Need, n)})
			left -= n
			if len(coming) > len(s.Coming)+mostAtOnce {
				return out // the rest at the next look, when capacity has shown itself
			}
		}
	}
	return out
}

func minus(a, need place.Amount, n int) place.Amount {
	k := float64(n)
	return place.Amount{CPUs: a.CPUs - k*need.CPUs, GPUs: a.GPUs - k*need.GPUs, MemGB: a.MemGB - k*need.MemGB}
}

func allowed(d *place.Demand, o Offer) bool {
	if (d.TypeOK != nil && !d.TypeOK[o.Type]) || (d.Zone >= 0 && d.Zone != o.Zone) || (o.Spot && !d.Spot) {
		return false
	}
	if d.Spread && d.InZone[o.Zone] >= (d.Total+1)/2 {
		return false
	}
	if d.OneZone {
		for z, n := range d.InZone {
			if n > 0 && z != o.Zone {
				return false
			}
		}
	}
	return true
}

// cheapest is the offer with the lowest cost per task: the machine is paid from
// the request, so the boot time counts, and for as long as its share of the
// tasks takes.
func (s *Shop) cheapest(d *place.Demand, left int, w Want) (best Offer, slots int, ok bool) {
	cost := math.Inf(1)
	for ti := range s.Types {
		t := &s.Types[ti]
		n := place.Amount{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}.Times(d.Need)
		if n == 0 {
			continue
		}
		for _, zn := range t.Zones {
			z, known := s.ZoneOf[zn]
			if !known {
				continue
			}
			for _, spot := range []bool{false, true} {
				o := Offer{ti, z, spot}
				if !allowed(d, o) || !s.Backoff.Open(o, s.Now) || (s.Closed != nil && s.Closed(o)) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				secs := t.BootS + w.TaskS
				if t.FetchRate > 0 {
					secs += w.Image / t.FetchRate
				}
				c := price * max(60, secs) / float64(min(n, left))
				if z < len(s.InZone) {
					c *= 1 + 0.001*float64(s.InZone[z])
				}
				if c < cost {
					best, slots, cost, ok = o, n, c, true
				}
			}
		}
	}
	return best, slots, ok
}
