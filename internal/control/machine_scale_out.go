package control

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"vetchstream/internal/autoscale"
	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/place"
	"vetchstream/internal/wire"
)

const (
	// maxRequestMachines is the protocol's limit on the machines in one provisioning
	// request.
	maxRequestMachines = 50
	// provisionTries is how often a provisioning request is sent at most,
	// provisionRetryInterval the time between two tries.
	provisionTries         = 4
	provisionRetryInterval = time.Second
	// maxZoneCountGangs is the most gangs for which the capacity of each zone is counted.
	maxZoneCountGangs = 20
	// pendingBoots is how long, in boot times, a booting machine counts as pending.
	pendingBoots = 2
)

// scaleOut provisions machines for calendar reservations and unmet demand.
func (mp *machinePool) scaleOut(now time.Time) {
	calendarRequests := mp.reservationHolds.machineRequests(now)
	if len(mp.unmetDemand)+len(calendarRequests) == 0 {
		return
	}
	in := mp.scaleOutInput(now)
	mp.countZoneCapacity()
	unmet := slices.Concat(calendarRequests, mp.unmetDemand)
	for offer, count := range autoscale.ScaleOut(in, unmet) {
		mp.provision(offer, min(count, maxRequestMachines))
	}
	// The zones chosen for gangs keep scaleIn from releasing their idle machines.
	copy(mp.unmetDemand, unmet[len(calendarRequests):])
}

// scaleOutInput describes the cloud's offers and the pending machines.
func (mp *machinePool) scaleOutInput(now time.Time) autoscale.Input {
	types, zones := mp.nameIndex.machineTypes(), mp.nameIndex.zoneNames()
	in := autoscale.Input{
		Types:          types,
		ZoneIndex:      mp.nameIndex.zoneIndices(),
		Backoff:        mp.backoff,
		MachinesByZone: make([]int, len(zones)),
		MinFill:        mp.controller.Tuning.Machines.MinFill,
		PatienceS:      mp.controller.Tuning.Machines.PatienceS,
		Now:            now,
		Closed: func(o autoscale.Offer) bool {
			return mp.maintenanceDrains.poolClosed(types[o.Type].Name, zones[o.Zone], now)
		},
	}
	addPending := func(o autoscale.Offer) {
		in.Pending = append(in.Pending, autoscale.PendingMachine{
			Offer: o,
			Free:  autoscale.MachineResources(&types[o.Type]),
		})
	}
	for _, machine := range mp.fleet.All() {
		if machine.Zone >= 0 {
			in.MachinesByZone[machine.Zone]++
		}
		if mp.isPending(machine, now) {
			addPending(autoscale.Offer{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot})
		}
	}
	for offer, count := range mp.provisioning {
		for range count {
			addPending(offer)
		}
	}
	return in
}

// isPending reports whether a machine is expected to take tasks soon: it boots, or it has
// booted and is not in the registry yet.
func (mp *machinePool) isPending(machine *fleet.Machine, now time.Time) bool {
	if machine.Releasing || !machine.Described {
		return false
	}
	if machine.Booting {
		return now.Sub(machine.AddedAt) < pendingBoots*mp.bootTime(machine)
	}
	return !machine.Lost && !machine.Registered
}

// offerOpen reports whether machines of a type in a zone may be available, judging by the
// cloud's last responses.
func (mp *machinePool) offerOpen(typeName, zoneName string, spot bool, now time.Time) bool {
	typeIdx, zoneIdx, known := mp.nameIndex.offerIndices(typeName, zoneName)
	if !known || mp.maintenanceDrains.poolClosed(typeName, zoneName, now) {
		return false
	}
	onDemand := autoscale.Offer{Type: typeIdx, Zone: zoneIdx}
	if mp.backoff.Allows(onDemand, now) {
		return true
	}
	return spot && mp.backoff.Allows(autoscale.Offer{Type: typeIdx, Zone: zoneIdx, Spot: true}, now)
}

// countZoneCapacity sets how many of its tasks fit in each zone, for the first gangs that
// must run in one zone and have no active task in any.
func (mp *machinePool) countZoneCapacity() {
	gangs := 0
	for i := range mp.unmetDemand {
		unmet := &mp.unmetDemand[i]
		demand := unmet.Demand
		if !demand.OneZone || demand.Zone >= 0 || slices.Max(demand.TasksByZone) > 0 {
			continue
		}
		if gangs == maxZoneCountGangs {
			return
		}
		gangs++
		unmet.FitsByZone = mp.fitsByZone(demand)
	}
}

// fitsByZone returns, per zone, how many tasks of a demand fit on the usable machines.
func (mp *machinePool) fitsByZone(demand *place.Demand) []int {
	j := mp.jobTable.byIndex(demand.ID)
	fits := make([]int, len(mp.nameIndex.zoneNames()))
	for _, machine := range mp.fleet.All() {
		machineType := mp.nameIndex.machineType(machine)
		if machine.Usable() && machineType != nil && allowsMachine(demand, machine) && !mp.unavailableToGang(machine, j) {
			fits[machine.Zone] += freeCapacity(machineType, machine).FitCount(demand.Need)
		}
	}
	return fits
}

// unavailableToGang reports whether a machine is reserved or held for anything but the
// gang.
func (mp *machinePool) unavailableToGang(machine *fleet.Machine, gang *job.Job) bool {
	holder := mp.planner.reservedFor(machine)
	return (holder != nil && holder != gang) || mp.reservationHolds.retains(machine)
}

// allowsMachine reports whether a demand allows a machine's type, and spot machines if it
// is one.
func allowsMachine(demand *place.Demand, machine *fleet.Machine) bool {
	return (demand.AllowedTypes == nil || demand.AllowedTypes[machine.Type]) && (demand.Spot || !machine.Spot)
}

// provision requests machines of an offer.
func (mp *machinePool) provision(offer autoscale.Offer, count int) {
	mp.requestCount++
	req := wire.RentalRequest{
		Request: fmt.Sprintf("r-%d-%d", mp.term, mp.requestCount),
		Type:    mp.nameIndex.machineTypes()[offer.Type].Name,
		Zone:    mp.nameIndex.zoneNames()[offer.Zone],
		Spot:    offer.Spot,
		Count:   count,
	}
	mp.provisioning[offer] += count
	mp.log.Info("provisioning machines", "request", req.Request, "type", req.Type, "zone", req.Zone, "spot", req.Spot, "count", count)
	requestedAt := time.Now()
	go func() {
		names, err := mp.sendRequest(req)
		mp.enqueue(func() {
			mp.provisioning[offer] -= count
			mp.provisioned(offer, req, names, err, requestedAt)
		})
	}()
}

// sendRequest sends a provisioning request until it succeeds or is refused, at most
// provisionTries times. The name of the request makes it idempotent.
func (mp *machinePool) sendRequest(req wire.RentalRequest) (names []string, err error) {
	err = errNotEntitled
	for try := 0; try < provisionTries && mp.ctx.Err() == nil; try++ {
		if mp.controller.Entitled(mp.term) {
			names, err = mp.controller.Cloud.Provision(mp.ctx, req)
			if err == nil || errors.Is(err, autoscale.ErrNoCapacity) {
				break
			}
		}
		mp.sleep(provisionRetryInterval)
	}
	return names, err
}

// provisioned handles the result of a provisioning request.
func (mp *machinePool) provisioned(offer autoscale.Offer, req wire.RentalRequest, names []string, err error, requestedAt time.Time) {
	if err != nil {
		mp.log.Info("provisioning failed", "request", req.Request, "error", err)
		mp.backoff.RecordRefusal(offer, time.Now())
		return
	}
	mp.log.Info("machines provisioned", "request", req.Request, "machines", names)
	if len(names) < req.Count {
		mp.backoff.RecordRefusal(offer, time.Now())
	} else {
		mp.backoff.RecordSuccess(offer)
	}
	for _, name := range names {
		if mp.wasReleased(name) {
			continue
		}
		machine := mp.fleet.Add(name, requestedAt)
		mp.nameIndex.describeMachine(machine, req.Type, req.Zone, offer.Spot)
		mp.reservationHolds.machineProvisioned(machine)
	}
}
