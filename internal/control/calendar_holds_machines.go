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

// holdMachines chooses the machines of a hold and requests those that are missing.
func (rh *reservationHolds) holdMachines(hold *occurrenceHold, b *calendar.Booking, now time.Time) {
	untilStart := rh.secondsToStart(hold, now)
	if !hold.provisioning && untilStart <= rh.provisionLeadTime(b).Seconds() {
		hold.provisioning = true
		rh.log.Info("provisioning machines for a reservation", "reservation", hold.reservation, "start", time.UnixMilli(hold.span.From).UTC(), "allocations", hold.allocations)
	}
	if hold.claimer != nil && rh.fullyRunning(hold.claimer) {
		rh.holdRunningMachines(hold)
		return
	}
	rh.removeUnsuitable(hold)
	short := rh.fillAllocations(hold, untilStart, now)
	relocation := relocationNotNeeded
	if len(short) > 0 {
		relocation = rh.relocate(hold, short, now)
	}
	if relocation == relocated {
		rh.releaseMachines(hold)
		short = rh.fillAllocations(hold, untilStart, now)
	}
	// Some time after the start a complete hold no longer answers for what its claimer needs.
	recent := len(short) > 0 || untilStart > -rh.provisionLeadTime(b).Seconds()
	hold.covered = hold.provisioning && relocation != relocationImpossible && recent
	if !hold.provisioning {
		return
	}
	for _, a := range short {
		rh.requestMachines(hold, a)
	}
}

// removeUnsuitable gives up machines that cannot serve the occurrence or are of none of
// its allocations.
func (rh *reservationHolds) removeUnsuitable(hold *occurrenceHold) {
	for h := range hold.machines {
		allocated := func(a calendar.Allocation) bool { return rh.matches(h, a) }
		if !rh.canServe(h, hold) || !slices.ContainsFunc(hold.allocations, allocated) {
			rh.removeMachine(hold, h)
			rh.requestPlan()
		}
	}
}

// holdRunningMachines holds exactly the machines on which the claimer runs: it may have
// started on others, and a machine that came up after that is not needed any more.
func (rh *reservationHolds) holdRunningMachines(hold *occurrenceHold) {
	running := map[*fleet.Machine]bool{}
	for s := range rh.fleet.SlotsOf(hold.claimer) {
		if s.Active() && (rh.holdOf[s.Machine] == nil || rh.holdOf[s.Machine] == hold) {
			running[s.Machine] = true
		}
	}
	for h := range hold.machines {
		if !running[h] {
			rh.removeMachine(hold, h)
			rh.requestPlan()
		}
	}
	for h := range running {
		rh.addMachine(hold, h)
	}
}

// matches reports whether a machine is of an allocation's type and zone.
func (rh *reservationHolds) matches(h *fleet.Machine, a calendar.Allocation) bool {
	t := rh.nameIndex.machineType(h)
	return t != nil && h.Zone >= 0 && t.Name == a.Type && rh.nameIndex.zoneNames()[h.Zone] == a.Zone
}

// canServe reports whether a machine can serve an occurrence to its end.
func (rh *reservationHolds) canServe(h *fleet.Machine, hold *occurrenceHold) bool {
	return h.Usable() && (hold.spot || !h.Spot) && rh.maintenanceDrains.freeOfMaintenance(h, hold.span)
}

// fillAllocations holds machines until each allocation is complete, those that are free
// soonest first, and returns what is missing.
func (rh *reservationHolds) fillAllocations(hold *occurrenceHold, untilStart float64, now time.Time) (short []calendar.Allocation) {
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
			short = append(short, a)
		}
	}
	return short
}

// holdCandidate is a machine that could be held, and in how many seconds its work has
// ended.
type holdCandidate struct {
	machine     *fleet.Machine
	freeSeconds float64
}

// candidates counts the machines of an allocation that are held already and lists those
// that could be, free soonest first. A machine whose work is not sure to end in time is not
// held before the start: it would be held in vain.
func (rh *reservationHolds) candidates(hold *occurrenceHold, a calendar.Allocation, untilStart float64, now time.Time) (held int, list []holdCandidate) {
	for _, h := range rh.fleet.All() {
		if !rh.matches(h, a) {
			continue
		}
		if rh.holdOf[h] == hold {
			held++
			continue
		}
		if rh.holdOf[h] != nil || !rh.canServe(h, hold) || rh.planner.reserved(h) {
			continue
		}
		if free := rh.secondsUntilFree(h, hold.claimer, now); free <= max(0, untilStart) {
			list = append(list, holdCandidate{machine: h, freeSeconds: free})
		}
	}
	slices.SortFunc(list, func(a, b holdCandidate) int {
		return cmp.Or(cmp.Compare(a.freeSeconds, b.freeSeconds), cmp.Compare(a.machine.Index, b.machine.Index))
	})
	return held, list
}

// secondsUntilFree is in how many seconds all work on a machine but the claimer's is sure
// to have ended.
func (rh *reservationHolds) secondsUntilFree(h *fleet.Machine, claimer *job.Job, now time.Time) float64 {
	free := 0.0
	for _, s := range h.Slots {
		if s.Active() && s.Job != claimer {
			free = max(free, rh.maxRemainingSeconds(s, now))
		}
	}
	return free
}

// relocationOutcome is the outcome of the search for other machines.
type relocationOutcome int

const (
	relocationNotNeeded  relocationOutcome = iota // the missing machines can be provisioned
	relocated                                     // the hold has new allocations
	relocationImpossible                          // the missing machines cannot be had, and there are no others
)

// pool names the machines of one type in one zone.
type pool struct{ typ, zone string }

// relocate chooses other machines for a hold if those that it lacks cannot be had: their
// zone is silent, or the cloud has refused them lately.
func (rh *reservationHolds) relocate(hold *occurrenceHold, short []calendar.Allocation, now time.Time) relocationOutcome {
	silent := rh.silentZones(now)
	unobtainable := func(typ, zone string) bool {
		return silent[zone] || !rh.machinePool.offerOpen(typ, zone, hold.spot, now)
	}
	if !slices.ContainsFunc(short, func(a calendar.Allocation) bool { return unobtainable(a.Type, a.Zone) }) {
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
		return relocationImpossible // no better: a hold must not move back and forth
	}
	rh.log.Info("reservation relocated", "reservation", hold.reservation, "allocations", other, "previous", hold.allocations)
	hold.allocations = other
	return relocated
}

// availableMachines counts the machines that exist and that a hold may use.
func (rh *reservationHolds) availableMachines(hold *occurrenceHold) map[pool]int {
	available := map[pool]int{}
	for _, h := range rh.fleet.All() {
		t := rh.nameIndex.machineType(h)
		if t == nil || h.Zone < 0 || (!rh.canServe(h, hold) && !h.Booting) {
			continue
		}
		if rh.holdOf[h] == nil || rh.holdOf[h] == hold {
			available[pool{t.Name, rh.nameIndex.zoneNames()[h.Zone]}]++
		}
	}
	return available
}

// silentZones are the zones in which no machine has sent a heartbeat lately.
func (rh *reservationHolds) silentZones(now time.Time) map[string]bool {
	limit := rh.rollouts.silenceLimit()
	silent, responsive := map[string]bool{}, map[string]bool{}
	for _, h := range rh.fleet.All() {
		if h.Zone < 0 || h.Booting {
			continue
		}
		zone := rh.nameIndex.zoneNames()[h.Zone]
		if h.Lost || h.SinceLastReport(now) > limit {
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

// requestMachines requests the whole machines of an allocation that a hold is short of.
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

// millisPerSecond converts times of day of the calendar, which are in milliseconds.
const millisPerSecond = 1000
