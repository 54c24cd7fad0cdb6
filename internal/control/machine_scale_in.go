package control

import (
	"slices"
	"time"

	"vetchstream/internal/autoscale"
	"vetchstream/internal/fleet"
)

const (
	// lostGrace is how long a silent machine is retained after its lease: a partition that ends
	// soon gives it back without a new boot.
	lostGrace = 20 * time.Second
	// bootGrace is added to the boot time that is granted to a machine.
	bootGrace = 10 * time.Second
	// gangIdleBoots is for how many boot times an idle machine is retained for a gang that
	// gathers in its zone: one machine of several can come late.
	gangIdleBoots = 4
	// maxReleaseBatch is the protocol's limit for one release request.
	maxReleaseBatch = 100
	// reasonInboundCut is the reason to release a machine that sends heartbeats but
	// receives nothing.
	reasonInboundCut = "it sends heartbeats but receives nothing"
	// releaseInterval is the least time between a release's answer and the next request.
	releaseInterval = time.Second
)

// scaleIn releases machines that are idle, silent, faulty or never came up.
func (mp *machinePool) scaleIn(now time.Time) {
	for _, h := range mp.fleet.All() {
		if h.Releasing {
			continue
		}
		if reason := mp.releaseReason(h, now); reason != "" {
			mp.release(h, reason)
		}
	}
}

// releaseReason returns why a machine is to be released, or "".
func (mp *machinePool) releaseReason(h *fleet.Machine, now time.Time) string {
	patience := mp.fleet.Lease + lostGrace
	if h.Inherited {
		// Its heartbeats prevent its lease from expiring, but it has taken in nothing in this
		// term: its jobs would be blocked for as long as it goes on. After a failover the
		// machines that have answered need not wait for those that have not.
		if now.Sub(mp.takeover.contactStart()) > patience {
			return reasonInboundCut
		}
		return ""
	}
	switch {
	case h.InboundCut() && now.Sub(h.InboundCutSince) > patience:
		return reasonInboundCut
	case h.OutboundCut() && now.Sub(h.OutboundCutSince) > patience:
		// Its tasks die with each of its leases, and as long as it answers direct commands its
		// lease does not expire here.
		return "it answers direct commands but its heartbeats reach no controller"
	case h.Booting:
		granted := time.Duration(mp.controller.Tuning.Machines.GiveUpBoots * float64(mp.bootTime(h)))
		if now.Sub(h.AddedAt) > granted+bootGrace {
			return "it did not boot in time"
		}
	case h.Lost:
		if now.Sub(h.LostAt) > lostGrace {
			return "its lease expired and it sends no heartbeats"
		}
	case h.Busy() || hasUnsettled(h):
	case h.Quarantined:
		return "it is quarantined and empty"
	case !h.ReclaimAt.IsZero():
		return "its spot capacity is being reclaimed and it is empty"
	case mp.maintenanceDrains.started(h, now):
		return "its maintenance window begins"
	case mp.planner.reserved(h) || mp.reservationHolds.retains(h):
	case mp.idleTooLong(h, now) && !mp.neededForGang(h, now):
		return "it is idle"
	}
	return ""
}

// hasUnsettled reports whether it is not known yet whether some task is on the machine.
func hasUnsettled(h *fleet.Machine) bool {
	for _, s := range h.Slots {
		if !s.Settled {
			return true
		}
	}
	return false
}

// idleTooLong reports whether a machine has been idle for so long that it does not pay to
// retain it.
func (mp *machinePool) idleTooLong(h *fleet.Machine, now time.Time) bool {
	return now.Sub(h.IdleSince) > time.Duration(mp.controller.Tuning.Machines.IdleBoots*float64(mp.bootTime(h)))
}

// neededForGang reports whether a machine is in the zone that was chosen for a gang whose
// machines are not together yet, and can run its tasks.
func (mp *machinePool) neededForGang(h *fleet.Machine, now time.Time) bool {
	t := mp.nameIndex.machineType(h)
	if t == nil || now.Sub(h.IdleSince) > gangIdleBoots*mp.bootTime(h) {
		return false
	}
	total := autoscale.MachineResources(t)
	for i := range mp.unmetDemand {
		u := &mp.unmetDemand[i]
		if u.FitsByZone != nil && u.ChosenZone == h.Zone && allowsKind(u.Demand, h) && total.Fits(u.Demand.Need) {
			return true
		}
	}
	return false
}

// release releases a machine. That is never taken back: a request that was sent may be
// executed at any later time.
func (mp *machinePool) release(h *fleet.Machine, reason string) {
	h.Releasing = true
	mp.log.Info("releasing a machine", "machine", h.Name, "reason", reason)
	mp.pendingReleases = append(mp.pendingReleases, h)
}

// sendReleases sends the pending releases, many in one request: the cloud takes a few
// requests a second, and provisioning needs them too.
func (mp *machinePool) sendReleases(now time.Time) {
	if mp.releaseInFlight || len(mp.pendingReleases) == 0 || now.Before(mp.nextReleaseAt) || !mp.controller.Entitled(mp.term) {
		return
	}
	hosts := slices.Clone(mp.pendingReleases[:min(len(mp.pendingReleases), maxReleaseBatch)])
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = h.Name
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
			mp.pendingReleases = mp.pendingReleases[len(hosts):]
			for _, h := range hosts {
				mp.forgetReleased(h)
			}
		})
	}()
}

// forgetReleased removes a machine that is gone, with all tasks on it.
func (mp *machinePool) forgetReleased(h *fleet.Machine) {
	mp.taskTracker.applyEvents(mp.fleet.Remove(h), time.Now())
	mp.releasedNames[h.Name] = true
	mp.planner.forgetMachine(h)
	mp.reservationHolds.machineRemoved(h)
	mp.shards.removeMachine(h)
	delete(mp.noticeLogged, h)
	delete(mp.unlisted, h)
	if mp.registry.removeMachine(h) {
		mp.fleet.ReleaseIndex(h.Index)
	}
}
