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
	// maxRequestMachines is the protocol's limit for one request for machines.
	maxRequestMachines = 50
	// provisionTries is how often a request is sent, provisionRetryInterval the time between.
	provisionTries         = 4
	provisionRetryInterval = time.Second
	// maxZoneCountGangs is for how many gangs the room is counted, zone by zone.
	maxZoneCountGangs = 20
	// pendingBoots is for how many boot times a machine that boots is expected to come up.
	pendingBoots = 2
)

// scaleOut requests machines for calendar reservations and unmet demand.
func (mp *machinePool) scaleOut(now time.Time) {
	reserved := mp.reservationHolds.machineRequests(now)
	if len(mp.unmetDemand)+len(reserved) == 0 {
		return
	}
	in := mp.scaleOutInput(now)
	mp.countZoneCapacity()
	unmet := slices.Concat(reserved, mp.unmetDemand)
	for offer, count := range autoscale.ScaleOut(in, unmet) {
		mp.provision(offer, min(count, maxRequestMachines))
	}
	// The zone that was chosen for a gang prevents the release of its idle machines.
	copy(mp.unmetDemand, unmet[len(reserved):])
}

// scaleOutInput describes the cloud's offers and the machines.
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
	for _, h := range mp.fleet.All() {
		if h.Zone >= 0 {
			in.MachinesByZone[h.Zone]++
		}
		if mp.isPending(h, now) {
			addPending(autoscale.Offer{Type: h.Type, Zone: h.Zone, Spot: h.Spot})
		}
	}
	for offer, count := range mp.provisioning {
		for range count {
			addPending(offer)
		}
	}
	return in
}

// isPending reports whether a machine is expected to take tasks soon: it boots, or it is up
// and not in the registry yet.
func (mp *machinePool) isPending(h *fleet.Machine, now time.Time) bool {
	if h.Releasing || !h.Described {
		return false
	}
	if h.Booting {
		return now.Sub(h.AddedAt) < pendingBoots*mp.bootTime(h)
	}
	return !h.Lost && !h.Registered
}

// offerOpen reports whether machines of a type in a zone may be had, as far as the cloud's
// last answers have shown.
func (mp *machinePool) offerOpen(typ, zone string, spot bool, now time.Time) bool {
	t, z, known := mp.nameIndex.offerIndices(typ, zone)
	if !known || mp.maintenanceDrains.poolClosed(typ, zone, now) {
		return false
	}
	onDemand := autoscale.Offer{Type: t, Zone: z}
	if mp.backoff.Open(onDemand, now) {
		return true
	}
	return spot && mp.backoff.Open(autoscale.Offer{Type: t, Zone: z, Spot: true}, now)
}

// countZoneCapacity sets, for the first gangs that have to be in one zone and are in none
// yet, how many of their tasks fit in each.
func (mp *machinePool) countZoneCapacity() {
	gangs := 0
	for i := range mp.unmetDemand {
		u := &mp.unmetDemand[i]
		d := u.Demand
		if !d.OneZone || d.Zone >= 0 || slices.Max(d.TasksByZone) > 0 {
			continue
		}
		if gangs == maxZoneCountGangs {
			return
		}
		gangs++
		u.FitsByZone = mp.fitsByZone(d)
	}
}

// fitsByZone counts, per zone, the tasks of a demand that fit on the machines that are up.
func (mp *machinePool) fitsByZone(d *place.Demand) []int {
	j := mp.jobTable.byIndex(d.ID)
	fits := make([]int, len(mp.nameIndex.zoneNames()))
	for _, h := range mp.fleet.All() {
		t := mp.nameIndex.machineType(h)
		if h.Usable() && t != nil && allowsMachine(d, h) && !mp.unavailableToGang(h, j) {
			fits[h.Zone] += freeCapacity(t, h).FitCount(d.Need)
		}
	}
	return fits
}

// unavailableToGang reports whether a machine is reserved or held for others than the gang.
func (mp *machinePool) unavailableToGang(h *fleet.Machine, gang *job.Job) bool {
	holder := mp.planner.reservedFor(h)
	return (holder != nil && holder != gang) || mp.reservationHolds.retains(h)
}

// allowsMachine reports whether a demand may run on machines of the type and kind of h.
func allowsMachine(d *place.Demand, h *fleet.Machine) bool {
	return (d.AllowedTypes == nil || d.AllowedTypes[h.Type]) && (d.Spot || !h.Spot)
}

// provision requests machines of an offer.
func (mp *machinePool) provision(o autoscale.Offer, count int) {
	mp.requestCount++
	req := wire.RentalRequest{
		Request: fmt.Sprintf("r-%d-%d", mp.term, mp.requestCount),
		Type:    mp.nameIndex.machineTypes()[o.Type].Name,
		Zone:    mp.nameIndex.zoneNames()[o.Zone],
		Spot:    o.Spot,
		Count:   count,
	}
	mp.provisioning[o] += count
	mp.log.Info("provisioning machines", "request", req.Request, "type", req.Type, "zone", req.Zone, "spot", req.Spot, "count", count)
	requestedAt := time.Now()
	go func() {
		names, err := mp.sendRequest(req)
		mp.enqueue(func() {
			mp.provisioning[o] -= count
			mp.provisioned(o, req, names, err, requestedAt)
		})
	}()
}

// sendRequest sends a request for machines until it succeeds or is refused, a few times at
// most. The name of the request makes repeating it safe: it provisions nothing twice.
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

// provisioned handles the outcome of a request for machines.
func (mp *machinePool) provisioned(o autoscale.Offer, req wire.RentalRequest, names []string, err error, requestedAt time.Time) {
	if err != nil {
		mp.log.Info("provisioning failed", "request", req.Request, "error", err)
		mp.backoff.Refused(o, time.Now())
		return
	}
	mp.log.Info("machines provisioned", "request", req.Request, "machines", names)
	if len(names) < req.Count {
		mp.backoff.Refused(o, time.Now())
	} else {
		mp.backoff.Succeeded(o)
	}
	for _, name := range names {
		if mp.wasReleased(name) {
			continue
		}
		h := mp.fleet.Add(name, requestedAt)
		mp.nameIndex.describeMachine(h, req.Type, req.Zone, o.Spot)
		mp.reservationHolds.machineProvisioned(h)
	}
}
