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

// Succeeded forgets the refusals of an offer.
func (b *Backoff) Succeeded(o Offer) { delete(b.step, o); delete(b.until, o) }

// Open reports whether the offer may be asked for.
func (b *Backoff) Open(o Offer, now time.Time) bool { return !now.Before(b.until[o]) }

// UnmetDemand is waiting work of one job that found no machine.
type UnmetDemand struct {
	Demand *place.Demand
	Count  int
	// TaskS is the expected run time of a task, in seconds.
	TaskS   float64
	ImageGB float64 // GB
	Waited  float64 // seconds
	Urgent  bool    // waiting costs an aim: rent without regard to the fill
	// FitsByZone is how many of the tasks fit now on machines that are up, by zone, for a
	// gang that has to be in one; nil: not known.
	FitsByZone []int
	// ChosenZone is the zone that Rentals has chosen for such a gang; -1: none.
	ChosenZone int
}

// chooseGangZone chooses the zone of a gang that has to be in one: where the fewest tasks
// are without room, counting what is up and what comes. Renting wherever it is
// cheapest would bring one machine here and one there, each idle and returned
// before the next comes, and the gang would wait for ever.
func (s *Input) chooseGangZone(w *UnmetDemand, coming []PendingMachine) (zone int) {
	zone = -1
	best, _, any := s.cheapest(w.Demand, w.Count, *w)
	least := 0
	for z, fit := range w.FitsByZone {
		d := *w.Demand
		d.Zone = z
		for i := range coming {
			if eligible(&d, coming[i].Offer) {
				fit += coming[i].Free.FitCount(d.Need)
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

// PendingMachine is a machine that was rented and is not up yet.
type PendingMachine struct {
	Offer
	Free place.Resources
}

// Input is all that a rental decision depends on.
type Input struct {
	Types   []wire.MachineType
	ZoneOf  map[string]int
	Pending []PendingMachine
	Backoff *Backoff
	// MachinesByZone counts the machines of each zone: what costs the same is spread, so
	// that a wave of notices or a cut in one zone takes few.
	MachinesByZone []int
	MinFill        float64
	PatienceS      float64
	Now            time.Time
	// Closed tells of offers that would only be returned again for maintenance; nil:
	// none.
	Closed func(Offer) bool
}

// maxMachinesPerPass bounds what one look rents, in machines.
const maxMachinesPerPass = 150

// ScaleOut decides what to rent: waiting work goes first to the machines that
// are coming, and what is left to the offer that runs it at the lowest cost, if
// the work can fill enough of it or has waited for long.
func ScaleOut(s Input, wants []UnmetDemand) map[Offer]int {
	out := map[Offer]int{}
	coming := append([]PendingMachine(nil), s.Pending...)
	for wi := range wants {
		w := &wants[wi]
		d := w.Demand
		left := w.Count
		w.ChosenZone = -1
		if w.FitsByZone != nil {
			zone := s.chooseGangZone(w, coming)
			if zone < 0 {
				continue
			}
			here := *d
			here.Zone, w.ChosenZone = zone, zone
			d = &here
			left -= min(left, w.FitsByZone[zone])
		}
		for i := range coming {
			c := &coming[i]
			if left == 0 {
				break
			}
			if !eligible(d, c.Offer) {
				continue
			}
			n := min(left, c.Free.FitCount(d.Need))
			c.Free = minus(c.Free, d.Need, n)
			left -= n
		}
		for left > 0 {
			o, slots, ok := s.cheapest(d, left, *w)
			if !ok {
				break
			}
			t := &s.Types[o.Type]
			total := place.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}
			n := min(left, slots)
			fill := float64(n) / float64(slots)
			if !w.Urgent && fill < s.MinFill && w.Waited < s.PatienceS {
				break
			}
			out[o]++
			coming = append(coming, PendingMachine{o, minus(total, d.Need, n)})
			left -= n
			if len(coming) > len(s.Pending)+maxMachinesPerPass {
				return out // the rest at the next look, when capacity has shown itself
			}
		}
	}
	return out
}

func minus(a, need place.Resources, n int) place.Resources {
	k := float64(n)
	return place.Resources{CPUs: a.CPUs - k*need.CPUs, GPUs: a.GPUs - k*need.GPUs, MemGB: a.MemGB - k*need.MemGB}
}

func eligible(d *place.Demand, o Offer) bool {
	if (d.AllowedTypes != nil && !d.AllowedTypes[o.Type]) || (d.Zone >= 0 && d.Zone != o.Zone) || (o.Spot && !d.Spot) {
		return false
	}
	if d.Spread && d.TasksByZone[o.Zone] >= (d.Total+1)/2 {
		return false
	}
	if d.OneZone {
		for z, n := range d.TasksByZone {
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
func (s *Input) cheapest(d *place.Demand, left int, w UnmetDemand) (best Offer, slots int, ok bool) {
	cost := math.Inf(1)
	for ti := range s.Types {
		t := &s.Types[ti]
		n := place.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}.FitCount(d.Need)
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
				if !eligible(d, o) || !s.Backoff.Open(o, s.Now) || (s.Closed != nil && s.Closed(o)) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				secs := t.BootS + w.TaskS
				if t.FetchRate > 0 {
					secs += w.ImageGB / t.FetchRate
				}
				c := price * max(60, secs) / float64(min(n, left))
				if z < len(s.MachinesByZone) {
					c *= 1 + 0.001*float64(s.MachinesByZone[z])
				}
				if c < cost {
					best, slots, cost, ok = o, n, c, true
				}
			}
		}
	}
	return best, slots, ok
}
