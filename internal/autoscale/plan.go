package autoscale

import (
	"math"
	"slices"
	"time"

	"vetchstream/internal/place"
	"vetchstream/internal/wire"
)

const (
	// maxMachinesPerPass bounds what one call of ScaleOut requests. The rest follows when the
	// cloud has shown what capacity it has.
	maxMachinesPerPass = 150
	// minChargedS is for how long a machine costs at the least, in seconds.
	minChargedS = 60
	// zoneSpreadFactor is by how much each machine in a zone makes another one there count as
	// dearer. It decides only between offers that cost the same.
	zoneSpreadFactor = 0.001
)

// Offer is a machine type in one zone, on demand or spot.
type Offer struct {
	Type int // index into Input.Types
	Zone int
	Spot bool
}

// UnmetDemand is a job with tasks that found no machine.
type UnmetDemand struct {
	Demand *place.Demand
	// Count is the number of those tasks.
	Count int
	// TaskS is the expected run time of a task, in seconds.
	TaskS float64
	// ImageGB is the size of the job's image.
	ImageGB float64
	// WaitedS is for how long the job has waited, in seconds.
	WaitedS float64
	// Urgent: machines are requested however little of them the job fills.
	Urgent bool
	// FitsByZone is, for a gang that has to be in one zone, how many of its tasks fit now on
	// the machines that are up, by zone; nil if unknown.
	FitsByZone []int
	// ChosenZone is set by ScaleOut to the zone that it has chosen for such a gang, and to -1
	// for all others.
	ChosenZone int
}

// PendingMachine is a machine that was requested and is not up yet.
type PendingMachine struct {
	Offer
	// Free is what no unmet demand has been assigned of it.
	Free place.Resources
}

// Input is all that a decision to scale out depends on, apart from the unmet demand.
type Input struct {
	Types []wire.MachineType
	// ZoneIndex maps the names of zones to their indices.
	ZoneIndex map[string]int
	Pending   []PendingMachine
	Backoff   *Backoff
	// MachinesByZone counts the machines of each zone. Offers that cost the same are spread,
	// so that a wave of spot notices or the loss of a zone takes few.
	MachinesByZone []int
	// MinFill is the part of a machine that a job must fill for the machine to be requested
	// before the job has waited for PatienceS seconds.
	MinFill   float64
	PatienceS float64
	Now       time.Time
	// Closed reports whether machines of an offer would only be released again for
	// maintenance; nil means none.
	Closed func(Offer) bool
}

// MachineResources returns what a machine of a type has.
func MachineResources(t *wire.MachineType) place.Resources {
	return place.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}
}

// HourlyPrice returns the price of a machine of a type, per hour.
func HourlyPrice(t *wire.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// ScaleOut decides how many machines of which offers to request. Unmet demand, in its
// order, goes first to the machines that are pending and then to the offer that runs it at
// the lowest cost, if it fills enough of the machine or has waited for long.
func ScaleOut(in Input, unmet []UnmetDemand) map[Offer]int {
	p := &pass{
		Input:    in,
		pending:  slices.Clone(in.Pending),
		requests: map[Offer]int{},
	}
	for i := range unmet {
		p.assignDemand(&unmet[i])
		if p.limitReached() {
			break
		}
	}
	return p.requests
}

// pass is one call of ScaleOut.
type pass struct {
	Input
	// pending are the machines of Input.Pending and those that this pass requests.
	pending  []PendingMachine
	requests map[Offer]int
}

// limitReached reports whether the pass has requested as much as one pass may.
func (p *pass) limitReached() bool { return len(p.pending) > len(p.Pending)+maxMachinesPerPass }

// assignDemand finds machines for an unmet demand.
func (p *pass) assignDemand(u *UnmetDemand) {
	d := u.Demand
	count := u.Count
	u.ChosenZone = -1
	if u.FitsByZone != nil {
		zone := p.chooseGangZone(u)
		if zone < 0 {
			return
		}
		u.ChosenZone = zone
		inZone := *d
		inZone.Zone = zone
		d = &inZone
		count -= min(count, u.FitsByZone[zone])
	}
	count = p.assignToPending(d, count)
	p.requestMachines(u, d, count)
}

// assignToPending assigns tasks of a demand to machines that are pending, and returns how many
// of count are left.
func (p *pass) assignToPending(d *place.Demand, count int) (left int) {
	for i := range p.pending {
		if count == 0 {
			break
		}
		m := &p.pending[i]
		if !allowsOffer(d, m.Offer) {
			continue
		}
		n := min(count, m.Free.FitCount(d.Need))
		m.Free = subtractTasks(m.Free, d.Need, n)
		count -= n
	}
	return count
}

// requestMachines requests machines for count tasks of a demand; d is u.Demand, confined to the
// chosen zone where there is one.
func (p *pass) requestMachines(u *UnmetDemand, d *place.Demand, count int) {
	for count > 0 && !p.limitReached() {
		best, ok := p.cheapestOffer(u, d, count)
		if !ok {
			return
		}
		n := min(count, best.capacity)
		fill := float64(n) / float64(best.capacity)
		if !u.Urgent && fill < p.MinFill && u.WaitedS < p.PatienceS {
			return
		}
		p.requests[best.offer]++
		total := MachineResources(&p.Types[best.offer.Type])
		p.pending = append(p.pending, PendingMachine{Offer: best.offer, Free: subtractTasks(total, d.Need, n)})
		count -= n
	}
}

// chooseGangZone chooses the zone of a gang that has to be in one: where the fewest tasks
// lack room, counting the machines that are up and those pending; -1 if there is none.
// Requesting wherever it is cheapest would bring one machine to each zone, idle and released
// before the next comes, and the gang would wait for ever.
func (p *pass) chooseGangZone(u *UnmetDemand) (zone int) {
	zone = -1
	fewest := 0
	cheapest, hasCheapest := p.cheapestOffer(u, u.Demand, u.Count)
	for z, fit := range u.FitsByZone {
		d := *u.Demand
		d.Zone = z
		missing := max(0, u.Count-fit-p.countPendingFit(&d))
		if missing > 0 {
			if _, ok := p.cheapestOffer(u, &d, missing); !ok {
				continue
			}
		}
		if zone < 0 || missing < fewest || (missing == fewest && hasCheapest && z == cheapest.offer.Zone) {
			zone = z
			fewest = missing
		}
	}
	return zone
}

// countPendingFit returns how many tasks of a demand fit on the machines that are pending.
func (p *pass) countPendingFit(d *place.Demand) (n int) {
	for i := range p.pending {
		if m := &p.pending[i]; allowsOffer(d, m.Offer) {
			n += m.Free.FitCount(d.Need)
		}
	}
	return n
}

// choice is an offer with the number of tasks that fit on one of its machines.
type choice struct {
	offer    Offer
	capacity int
}

// cheapestOffer returns the offer that can be had with the lowest cost per task for count tasks
// of a demand; ok is false if there is none.
func (in *Input) cheapestOffer(u *UnmetDemand, d *place.Demand, count int) (best choice, ok bool) {
	lowest := math.Inf(1)
	for i := range in.Types {
		t := &in.Types[i]
		capacity := MachineResources(t).FitCount(d.Need)
		if capacity == 0 {
			continue
		}
		for _, name := range t.Zones {
			zone, known := in.ZoneIndex[name]
			if !known {
				continue
			}
			for _, spot := range [...]bool{false, true} {
				o := Offer{Type: i, Zone: zone, Spot: spot}
				if !allowsOffer(d, o) || !in.available(o) {
					continue
				}
				if cost := in.costPerTask(o, u, min(capacity, count)); cost < lowest {
					best = choice{offer: o, capacity: capacity}
					lowest = cost
					ok = true
				}
			}
		}
	}
	return best, ok
}

// available reports whether machines of an offer may be requested now.
func (in *Input) available(o Offer) bool {
	return in.Backoff.Allows(o, in.Now) && (in.Closed == nil || !in.Closed(o))
}

// costPerTask returns the cost of each of the given number of tasks that share a machine of
// an offer. The machine is charged from the request on, so that booting and the image fetch
// count.
func (in *Input) costPerTask(o Offer, u *UnmetDemand, tasks int) float64 {
	t := &in.Types[o.Type]
	seconds := t.BootS + u.TaskS
	if t.FetchRate > 0 {
		seconds += u.ImageGB / t.FetchRate
	}
	cost := HourlyPrice(t, o.Spot) * max(minChargedS, seconds) / float64(tasks)
	if o.Zone < len(in.MachinesByZone) {
		cost *= 1 + zoneSpreadFactor*float64(in.MachinesByZone[o.Zone])
	}
	return cost
}

// allowsOffer reports whether a task of the demand may run on a machine of the offer.
func allowsOffer(d *place.Demand, o Offer) bool { return d.Allows(o.Type, o.Zone, o.Spot) }

// subtractTasks returns a less n times need.
func subtractTasks(a, need place.Resources, n int) place.Resources {
	k := float64(n)
	return place.Resources{
		CPUs:  a.CPUs - k*need.CPUs,
		GPUs:  a.GPUs - k*need.GPUs,
		MemGB: a.MemGB - k*need.MemGB,
	}
}
