package control

import (
	"cmp"
	"math"
	"slices"
	"time"

	"vetchstream/internal/autoscale"
	"vetchstream/internal/calendar"
	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/place"
)

// holdMachines chooses the machines of a hold and requests the missing ones.
func (rh *reservationHolds) holdMachines(hold *occurrenceHold, booking *calendar.Booking, now time.Time) {
	untilStart := rh.secondsToStart(hold, now)
	if !hold.provisioning && untilStart <= rh.provisionLeadTime(booking).Seconds() {
		hold.provisioning = true
		rh.log.Info("provisioning machines for a reservation", "reservation", hold.reservation, "start", time.UnixMilli(hold.span.From).UTC(), "allocations", hold.allocations)
	}
	if hold.claimer != nil && rh.fullyRunning(hold.claimer) {
		rh.holdRunningMachines(hold)
		return
	}
	rh.removeUnsuitable(hold)
	unfilled := rh.fillAllocations(hold, untilStart, now)
	outcome := relocationNotNeeded
	if len(unfilled) > 0 {
		outcome = rh.relocate(hold, unfilled, now)
	}
	if outcome == relocated {
		rh.releaseMachines(hold)
		unfilled = rh.fillAllocations(hold, untilStart, now)
	}
	// A complete hold covers the claimer's needs only until one provisioning lead time after
	// the start. If the claimer still waits then, the autoscaler provisions for it as for any
	// other job.
	stillCovers := len(unfilled) > 0 || untilStart > -rh.provisionLeadTime(booking).Seconds()
	hold.covered = hold.provisioning && outcome != relocationImpossible && stillCovers
	if !hold.provisioning {
		return
	}
	for _, a := range unfilled {
		rh.requestMachines(hold, a)
	}
}

// removeUnsuitable removes machines that cannot serve the occurrence or do not match any of
// the hold's allocations.
func (rh *reservationHolds) removeUnsuitable(hold *occurrenceHold) {
	for machine := range hold.machines {
		allocated := func(a calendar.Allocation) bool { return rh.matches(machine, a) }
		if !rh.canServe(machine, hold) || !slices.ContainsFunc(hold.allocations, allocated) {
			rh.removeMachine(hold, machine)
			rh.requestPlan()
		}
	}
}

// holdRunningMachines holds exactly the machines on which the claimer runs. The claimer may
// have started on machines outside the hold, and a machine that booted later is not needed.
func (rh *reservationHolds) holdRunningMachines(hold *occurrenceHold) {
	running := map[*fleet.Machine]bool{}
	for slot := range rh.fleet.SlotsOf(hold.claimer) {
		if slot.Active() && (rh.holdOf[slot.Machine] == nil || rh.holdOf[slot.Machine] == hold) {
			running[slot.Machine] = true
		}
	}
	for machine := range hold.machines {
		if !running[machine] {
			rh.removeMachine(hold, machine)
			rh.requestPlan()
		}
	}
	for machine := range running {
		rh.addMachine(hold, machine)
	}
}

// matches reports whether a machine has the type and the zone of an allocation.
func (rh *reservationHolds) matches(machine *fleet.Machine, a calendar.Allocation) bool {
	t := rh.nameIndex.machineType(machine)
	return t != nil && machine.Zone >= 0 && t.Name == a.Type && rh.nameIndex.zoneNames()[machine.Zone] == a.Zone
}

// canServe reports whether a machine can serve an occurrence until its end.
func (rh *reservationHolds) canServe(machine *fleet.Machine, hold *occurrenceHold) bool {
	return machine.Usable() && (hold.spot || !machine.Spot) && rh.maintenanceDrains.freeOfMaintenance(machine, hold.span)
}

// fillAllocations adds machines to a hold until each allocation is complete, starting with
// those that are free soonest. It returns the missing machines as allocations.
func (rh *reservationHolds) fillAllocations(hold *occurrenceHold, untilStart float64, now time.Time) (unfilled []calendar.Allocation) {
	for _, a := range hold.allocations {
		held, candidates := rh.candidates(hold, a, untilStart, now)
		missing := a.Machines - held
		for _, c := range candidates[:min(max(0, missing), len(candidates))] {
			rh.addMachine(hold, c.machine)
			missing--
			rh.requestPlan()
		}
		if missing > 0 {
			a.Machines = missing
			unfilled = append(unfilled, a)
		}
	}
	return unfilled
}

// holdCandidate is a machine that could be held, with an upper bound on the seconds until
// its tasks have ended.
type holdCandidate struct {
	machine     *fleet.Machine
	freeSeconds float64
}

// candidates returns the number of machines that are already held for an allocation, and the
// machines that could be held, in the order in which they become free. Machines whose tasks
// may still run at the start of the occurrence are excluded, since holding them would be of
// no use; after the start only free machines qualify.
func (rh *reservationHolds) candidates(hold *occurrenceHold, a calendar.Allocation, untilStart float64, now time.Time) (held int, list []holdCandidate) {
	for _, machine := range rh.fleet.All() {
		if !rh.matches(machine, a) {
			continue
		}
		if rh.holdOf[machine] == hold {
			held++
			continue
		}
		if rh.holdOf[machine] != nil || !rh.canServe(machine, hold) || rh.planner.reserved(machine) {
			continue
		}
		if free := rh.secondsUntilFree(machine, hold.claimer, now); free <= max(0, untilStart) {
			list = append(list, holdCandidate{machine: machine, freeSeconds: free})
		}
	}
	slices.SortFunc(list, func(a, b holdCandidate) int {
		return cmp.Or(cmp.Compare(a.freeSeconds, b.freeSeconds), cmp.Compare(a.machine.Index, b.machine.Index))
	})
	return held, list
}

// secondsUntilFree returns an upper bound on the seconds until all tasks on a machine, except
// the claimer's, have ended.
func (rh *reservationHolds) secondsUntilFree(machine *fleet.Machine, claimer *job.Job, now time.Time) float64 {
	free := 0.0
	for _, slot := range machine.Slots {
		if slot.Active() && slot.Job != claimer {
			free = max(free, rh.maxRemainingSeconds(slot, now))
		}
	}
	return free
}

// relocationOutcome is the outcome of an attempt to relocate a hold to other machines.
type relocationOutcome int

const (
	relocationNotNeeded  relocationOutcome = iota // no machine is missing, or the missing ones are obtainable
	relocated                                     // the hold has new allocations
	relocationImpossible                          // the missing machines are not obtainable, and there are no better ones
)

// pool identifies the machines of one type in one zone.
type pool struct{ typ, zone string }

// relocate chooses other allocations for a hold if its missing machines are not obtainable
// because their zone is silent or the cloud has recently refused to provide them.
func (rh *reservationHolds) relocate(hold *occurrenceHold, unfilled []calendar.Allocation, now time.Time) relocationOutcome {
	silent := rh.silentZones(now)
	unobtainable := func(typ, zone string) bool {
		return silent[zone] || !rh.machinePool.offerOpen(typ, zone, hold.spot, now)
	}
	if !slices.ContainsFunc(unfilled, func(a calendar.Allocation) bool { return unobtainable(a.Type, a.Zone) }) {
		return relocationNotNeeded
	}
	available := rh.availableMachines(hold)
	limit := func(typ, zone string) int {
		if unobtainable(typ, zone) {
			return available[pool{typ, zone}]
		}
		return math.MaxInt32
	}
	missing := func(allocations []calendar.Allocation) (n int) {
		for _, a := range allocations {
			n += max(0, a.Machines-limit(a.Type, a.Zone))
		}
		return n
	}
	other := rh.calendarStore.reallocate(hold, limit)
	if other == nil || missing(other) >= missing(hold.allocations) {
		return relocationImpossible // without an improvement the hold stays, so that it does not alternate between pools
	}
	rh.log.Info("reservation relocated", "reservation", hold.reservation, "allocations", other, "previous", hold.allocations)
	hold.allocations = other
	return relocated
}

// availableMachines returns, by pool, the number of existing machines that a hold may use.
func (rh *reservationHolds) availableMachines(hold *occurrenceHold) map[pool]int {
	available := map[pool]int{}
	for _, machine := range rh.fleet.All() {
		t := rh.nameIndex.machineType(machine)
		if t == nil || machine.Zone < 0 || (!rh.canServe(machine, hold) && !machine.Booting) {
			continue
		}
		if rh.holdOf[machine] == nil || rh.holdOf[machine] == hold {
			available[pool{t.Name, rh.nameIndex.zoneNames()[machine.Zone]}]++
		}
	}
	return available
}

// silentZones returns the zones whose booted machines are all lost or have sent no heartbeat
// within the silence limit.
func (rh *reservationHolds) silentZones(now time.Time) map[string]bool {
	limit := rh.rollouts.silenceLimit()
	silent, responsive := map[string]bool{}, map[string]bool{}
	for _, machine := range rh.fleet.All() {
		if machine.Zone < 0 || machine.Booting {
			continue
		}
		zone := rh.nameIndex.zoneNames()[machine.Zone]
		if machine.Lost || machine.SinceLastReport(now) > limit {
			silent[zone] = true
		} else {
			responsive[zone] = true
		}
	}
	for zone := range responsive {
		delete(silent, zone)
	}
	return silent
}

// requestMachines requests missing machines of an allocation. The demand is for whole
// machines.
func (rh *reservationHolds) requestMachines(hold *occurrenceHold, a calendar.Allocation) {
	types := rh.nameIndex.machineTypes()
	allowed := make([]bool, len(types))
	size := place.Resources{}
	for i := range types {
		if types[i].Name == a.Type {
			allowed[i] = true
			size = place.Resources{CPUs: types[i].CPUs, GPUs: types[i].GPUs, MemGB: types[i].MemGB}
		}
	}
	rh.requests = append(rh.requests, autoscale.UnmetDemand{
		Demand: &place.Demand{
			Shape:        job.Gang,
			Need:         size,
			AllowedTypes: allowed,
			Zone:         rh.nameIndex.zoneIndex(a.Zone),
			Spot:         hold.spot,
			Total:        a.Machines,
			TasksByZone:  make([]int, len(rh.nameIndex.zoneNames())),
		},
		Count:  a.Machines,
		TaskS:  float64(hold.span.To-hold.span.From) / millisPerSecond,
		Urgent: true,
	})
}

// millisPerSecond converts the calendar's timestamps, which are in milliseconds.
const millisPerSecond = 1000
