package autoscale

import (
	"math"
	"slices"
	"time"

	"vetchstream/internal/place"
	"vetchstream/internal/wire"
)

const (
	// maxMachinesPerPass bounds the machines that one call of ScaleOut requests. Later calls
	// request the rest once the cloud has shown how much capacity it has.
	maxMachinesPerPass = 150
	// minChargedS is the shortest time that the cloud charges for a machine, in seconds.
	minChargedS = 60
	// zoneSpreadFactor is the relative surcharge on an offer for each machine already in its
	// zone. It is small enough to decide only between offers of equal cost.
	zoneSpreadFactor = 0.001
)

// Offer is a machine type in one zone, on demand or spot.
type Offer struct {
	Type int // index into Input.Types
	Zone int
	Spot bool
}

// UnmetDemand describes a job with tasks that could not be placed on any machine.
type UnmetDemand struct {
	Demand *place.Demand
	// Count is the number of tasks that could not be placed.
	Count int
	// TaskS is the expected run time of a task, in seconds.
	TaskS float64
	// ImageGB is the size of the job's image, in GB.
	ImageGB float64
	// WaitedS is how long the job has waited, in seconds.
	WaitedS float64
	// Urgent waives Input.MinFill: machines are requested however little of them the job fills.
	Urgent bool
	// FitsByZone is set for a gang that must run in one zone: by zone, the number of its tasks
	// that fit now on the machines that are up. It is nil for other jobs and if unknown.
	FitsByZone []int
	// ChosenZone is a result: ScaleOut sets it to the zone that it has chosen for a gang with
	// FitsByZone, and to -1 otherwise.
	ChosenZone int
}

// PendingMachine is a machine that has been requested and is not up yet.
type PendingMachine struct {
	Offer
	// Free holds the resources that are not yet assigned to unmet demand.
	Free place.Resources
}

// Input holds everything besides the unmet demand that ScaleOut depends on.
type Input struct {
	Types []wire.MachineType
	// ZoneIndex maps zone names to zone indices.
	ZoneIndex map[string]int
	Pending   []PendingMachine
	Backoff   *Backoff
	// MachinesByZone counts the machines of each zone. Offers of equal cost are spread over the
	// zones, so that a wave of spot notices or the loss of a zone affects few machines.
	MachinesByZone []int
	// MinFill is the fraction of a machine that a job must fill for the machine to be requested
	// before the job has waited PatienceS seconds.
	MinFill   float64
	PatienceS float64
	Now       time.Time
	// Closed reports whether a maintenance window closes an offer, so that its machines would
	// be released again at once. A nil function closes no offer.
	Closed func(Offer) bool
}

// MachineResources returns the resources of a machine of a type.
func MachineResources(machineType *wire.MachineType) place.Resources {
	return place.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemGB: machineType.MemGB}
}

// HourlyPrice returns the price per hour of a machine of a type, spot or on demand.
func HourlyPrice(machineType *wire.MachineType, spot bool) float64 {
	if spot {
		return machineType.SpotPrice
	}
	return machineType.Price
}

// ScaleOut returns how many machines of each offer to request. It treats unmet demand in the
// given order. It assigns tasks to pending machines first, and requests machines of the offer
// with the lowest cost per task for the rest, if the job is urgent, fills enough of a machine or
// has waited long enough.
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

// pass is the state of one call of ScaleOut.
type pass struct {
	Input
	// pending holds the machines of Input.Pending and those that this pass requests.
	pending  []PendingMachine
	requests map[Offer]int
}

// limitReached reports whether the pass has requested more than maxMachinesPerPass machines.
func (p *pass) limitReached() bool { return len(p.pending) > len(p.Pending)+maxMachinesPerPass }

// assignDemand assigns the tasks of an unmet demand to pending machines and requests machines
// for the rest. It sets unmet.ChosenZone.
func (p *pass) assignDemand(unmet *UnmetDemand) {
	demand := unmet.Demand
	count := unmet.Count
	unmet.ChosenZone = -1
	if unmet.FitsByZone != nil {
		zone := p.chooseGangZone(unmet)
		if zone < 0 {
			return
		}
		unmet.ChosenZone = zone
		inZone := *demand
		inZone.Zone = zone
		demand = &inZone
		count -= min(count, unmet.FitsByZone[zone])
	}
	count = p.assignToPending(demand, count)
	p.requestMachines(unmet, demand, count)
}

// assignToPending assigns up to count tasks of a demand to pending machines, and returns how
// many of them are left over.
func (p *pass) assignToPending(demand *place.Demand, count int) (left int) {
	for i := range p.pending {
		if count == 0 {
			break
		}
		machine := &p.pending[i]
		if !allowsOffer(demand, machine.Offer) {
			continue
		}
		n := min(count, machine.Free.FitCount(demand.Need))
		machine.Free = subtractTasks(machine.Free, demand.Need, n)
		count -= n
	}
	return count
}

// requestMachines requests machines for count tasks. Its demand is unmet.Demand, confined to
// unmet.ChosenZone if a zone was chosen.
func (p *pass) requestMachines(unmet *UnmetDemand, demand *place.Demand, count int) {
	for count > 0 && !p.limitReached() {
		best, ok := p.cheapestOffer(unmet, demand, count)
		if !ok {
			return
		}
		n := min(count, best.capacity)
		fill := float64(n) / float64(best.capacity)
		if !unmet.Urgent && fill < p.MinFill && unmet.WaitedS < p.PatienceS {
			return
		}
		p.requests[best.offer]++
		total := MachineResources(&p.Types[best.offer.Type])
		p.pending = append(p.pending, PendingMachine{Offer: best.offer, Free: subtractTasks(total, demand.Need, n)})
		count -= n
	}
}

// chooseGangZone returns the zone in which the fewest tasks of a one-zone gang lack room, on
// machines that are up or pending, or -1 if no zone can provide the missing machines. A request
// for the cheapest offer of any zone could create one machine in each zone in turn; each would
// be released as idle before the next is up, and the gang would never start.
func (p *pass) chooseGangZone(unmet *UnmetDemand) (zone int) {
	zone = -1
	fewest := 0
	cheapest, hasCheapest := p.cheapestOffer(unmet, unmet.Demand, unmet.Count)
	for candidate, fit := range unmet.FitsByZone {
		demand := *unmet.Demand
		demand.Zone = candidate
		missing := max(0, unmet.Count-fit-p.countPendingFit(&demand))
		if missing > 0 {
			if _, ok := p.cheapestOffer(unmet, &demand, missing); !ok {
				continue
			}
		}
		if zone < 0 || missing < fewest || (missing == fewest && hasCheapest && candidate == cheapest.offer.Zone) {
			zone = candidate
			fewest = missing
		}
	}
	return zone
}

// countPendingFit returns how many tasks of a demand fit on the pending machines.
func (p *pass) countPendingFit(demand *place.Demand) (n int) {
	for i := range p.pending {
		if machine := &p.pending[i]; allowsOffer(demand, machine.Offer) {
			n += machine.Free.FitCount(demand.Need)
		}
	}
	return n
}

// choice is an offer and the number of tasks that fit on one of its machines.
type choice struct {
	offer    Offer
	capacity int
}

// cheapestOffer returns the available offer with the lowest cost per task for count tasks of a
// demand; ok is false if no offer is available.
func (in *Input) cheapestOffer(unmet *UnmetDemand, demand *place.Demand, count int) (best choice, ok bool) {
	lowest := math.Inf(1)
	for i := range in.Types {
		machineType := &in.Types[i]
		capacity := MachineResources(machineType).FitCount(demand.Need)
		if capacity == 0 {
			continue
		}
		for _, name := range machineType.Zones {
			zone, known := in.ZoneIndex[name]
			if !known {
				continue
			}
			for _, spot := range [...]bool{false, true} {
				offer := Offer{Type: i, Zone: zone, Spot: spot}
				if !allowsOffer(demand, offer) || !in.available(offer) {
					continue
				}
				if cost := in.costPerTask(offer, unmet, min(capacity, count)); cost < lowest {
					best = choice{offer: offer, capacity: capacity}
					lowest = cost
					ok = true
				}
			}
		}
	}
	return best, ok
}

// available reports whether machines of an offer may be requested now: neither the backoff nor a
// maintenance window blocks it.
func (in *Input) available(offer Offer) bool {
	return in.Backoff.Allows(offer, in.Now) && (in.Closed == nil || !in.Closed(offer))
}

// costPerTask returns the cost of one task when the given number of tasks share a machine of an
// offer. It includes the boot and the image fetch, because the cloud charges for a machine from
// the request on.
func (in *Input) costPerTask(offer Offer, unmet *UnmetDemand, tasks int) float64 {
	machineType := &in.Types[offer.Type]
	seconds := machineType.BootS + unmet.TaskS
	if machineType.FetchRate > 0 {
		seconds += unmet.ImageGB / machineType.FetchRate
	}
	cost := HourlyPrice(machineType, offer.Spot) * max(minChargedS, seconds) / float64(tasks)
	if offer.Zone < len(in.MachinesByZone) {
		cost *= 1 + zoneSpreadFactor*float64(in.MachinesByZone[offer.Zone])
	}
	return cost
}

// allowsOffer reports whether a task of the demand may run on a machine of the offer.
func allowsOffer(demand *place.Demand, offer Offer) bool {
	return demand.Allows(offer.Type, offer.Zone, offer.Spot)
}

// subtractTasks returns the free resources that remain after n tasks have taken need each.
func subtractTasks(free, need place.Resources, n int) place.Resources {
	count := float64(n)
	return place.Resources{
		CPUs:  free.CPUs - count*need.CPUs,
		GPUs:  free.GPUs - count*need.GPUs,
		MemGB: free.MemGB - count*need.MemGB,
	}
}
