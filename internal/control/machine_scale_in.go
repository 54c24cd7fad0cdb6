package control

import (
	"slices"
	"time"

	"vetchstream/internal/autoscale"
	"vetchstream/internal/fleet"
)

const (
	// lostGrace is how long a silent machine is kept after its lease has expired. If a
	// network partition ends in this time, the machine is available again without a boot.
	lostGrace = 20 * time.Second
	// bootGrace is added to the boot time that a machine is allowed.
	bootGrace = 10 * time.Second
	// gangIdleBoots is how long, in boot times, an idle machine is kept for a gang whose
	// other machines are still being provisioned in the same zone: single machines can
	// boot late.
	gangIdleBoots = 4
	// maxReleaseBatch is the protocol's limit on the machines in one release request.
	maxReleaseBatch = 100
	// reasonInboundCut is the reason to release a machine that sends heartbeats but
	// receives no messages.
	reasonInboundCut = "it sends heartbeats but receives no messages"
	// releaseInterval is the shortest time between the response to a release request and
	// the next request.
	releaseInterval = time.Second
)

// scaleIn releases machines that are idle, silent or faulty, or that did not boot in
// time.
func (mp *machinePool) scaleIn(now time.Time) {
	for _, machine := range mp.fleet.All() {
		if machine.Releasing {
			continue
		}
		if reason := mp.releaseReason(machine, now); reason != "" {
			mp.release(machine, reason)
		}
	}
}

// releaseReason returns why a machine should be released, or "" if it should be kept.
func (mp *machinePool) releaseReason(machine *fleet.Machine, now time.Time) string {
	cutLimit := mp.fleet.Lease + lostGrace
	if machine.Inherited {
		// Its heartbeats keep its lease from expiring, but it has not received a message
		// in this term: its jobs would be blocked indefinitely. After a failover the
		// machines that have responded must not wait for those that have not.
		if now.Sub(mp.takeover.contactStart()) > cutLimit {
			return reasonInboundCut
		}
		return ""
	}
	switch {
	case machine.InboundCut() && now.Sub(machine.InboundCutSince) > cutLimit:
		return reasonInboundCut
	case machine.OutboundCut() && now.Sub(machine.OutboundCutSince) > cutLimit:
		// The worker ends its tasks with each lease, while its responses to direct
		// commands keep the lease from expiring at the leader.
		return "it answers direct commands but its heartbeats reach no controller"
	case machine.Booting:
		bootLimit := time.Duration(mp.controller.Tuning.Machines.GiveUpBoots * float64(mp.bootTime(machine)))
		if now.Sub(machine.AddedAt) > bootLimit+bootGrace {
			return "it did not boot in time"
		}
	case machine.Lost:
		if now.Sub(machine.LostAt) > lostGrace {
			return "its lease expired and it sends no heartbeats"
		}
	case machine.Busy() || hasUnsettledSlot(machine):
	case machine.Quarantined:
		return "it is quarantined and empty"
	case !machine.ReclaimAt.IsZero():
		return "its spot capacity is being reclaimed and it is empty"
	case mp.maintenanceDrains.started(machine, now):
		return "its maintenance window begins"
	case mp.planner.reserved(machine) || mp.reservationHolds.retains(machine):
	case mp.idleTooLong(machine, now) && !mp.neededForGang(machine, now):
		return "it is idle"
	}
	return ""
}

// hasUnsettledSlot reports whether it is still unknown for some task whether it runs on
// the machine.
func hasUnsettledSlot(machine *fleet.Machine) bool {
	for _, slot := range machine.Slots {
		if !slot.Settled {
			return true
		}
	}
	return false
}

// idleTooLong reports whether a machine has been idle for longer than it is worth
// keeping.
func (mp *machinePool) idleTooLong(machine *fleet.Machine, now time.Time) bool {
	return now.Sub(machine.IdleSince) > time.Duration(mp.controller.Tuning.Machines.IdleBoots*float64(mp.bootTime(machine)))
}

// neededForGang reports whether a machine can run tasks of a gang that still lacks
// machines, and is in the zone chosen for that gang.
func (mp *machinePool) neededForGang(machine *fleet.Machine, now time.Time) bool {
	machineType := mp.nameIndex.machineType(machine)
	if machineType == nil || now.Sub(machine.IdleSince) > gangIdleBoots*mp.bootTime(machine) {
		return false
	}
	capacity := autoscale.MachineResources(machineType)
	for i := range mp.unmetDemand {
		unmet := &mp.unmetDemand[i]
		if unmet.FitsByZone != nil && unmet.ChosenZone == machine.Zone && allowsMachine(unmet.Demand, machine) && capacity.Fits(unmet.Demand.Need) {
			return true
		}
	}
	return false
}

// release marks a machine for release. This cannot be undone: a release request that was
// sent may be executed at any later time.
func (mp *machinePool) release(machine *fleet.Machine, reason string) {
	machine.Releasing = true
	mp.log.Info("releasing machine", "machine", machine.Name, "reason", reason)
	mp.pendingReleases = append(mp.pendingReleases, machine)
}

// sendReleases requests the pending releases, many per request: the cloud accepts only a
// few requests per second, and provisioning needs some of them.
func (mp *machinePool) sendReleases(now time.Time) {
	if mp.releaseInFlight || len(mp.pendingReleases) == 0 || now.Before(mp.nextReleaseAt) || !mp.controller.Entitled(mp.term) {
		return
	}
	batch := slices.Clone(mp.pendingReleases[:min(len(mp.pendingReleases), maxReleaseBatch)])
	names := make([]string, len(batch))
	for i, machine := range batch {
		names[i] = machine.Name
	}
	mp.releaseInFlight = true
	go func() {
		err := mp.controller.Cloud.Release(mp.ctx, names)
		mp.enqueue(func() {
			mp.releaseInFlight = false
			mp.nextReleaseAt = time.Now().Add(releaseInterval)
			if err != nil {
				mp.log.Info("releasing machines failed, retrying", "machines", len(names), "error", err)
				return
			}
			mp.pendingReleases = mp.pendingReleases[len(batch):]
			for _, machine := range batch {
				mp.removeReleased(machine)
			}
		})
	}()
}

// removeReleased removes a released machine with all slots on it.
func (mp *machinePool) removeReleased(machine *fleet.Machine) {
	mp.taskTracker.applyEvents(mp.fleet.Remove(machine), time.Now())
	mp.releasedNames[machine.Name] = true
	mp.planner.removeMachine(machine)
	mp.reservationHolds.machineRemoved(machine)
	mp.shards.remove(machine)
	delete(mp.noticeLogged, machine)
	delete(mp.unlisted, machine)
	if mp.registry.removeHost(machine) {
		mp.fleet.ReleaseIndex(machine.Index)
	}
}
