package control

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"vetchstream/internal/autoscale"
	"vetchstream/internal/config"
	"vetchstream/internal/fleet"
	"vetchstream/internal/metrics"
	"vetchstream/internal/place"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// machinePool rents, lists and returns machines, and empties those that are taken
// back.
type machinePool struct {
	*core
	nameIndex         *nameIndex
	jobTable          *jobTable
	registry          *registry
	takeover          *takeover
	planner           *planner
	taskTracker       *taskTracker
	recordWriter      *recordWriter
	reservationHolds  *reservationHolds
	maintenanceDrains *maintenanceDrains
	shards            *shards

	unmetDemand     []autoscale.UnmetDemand // what the last plan found no room for
	releasedNames   map[string]bool
	unlisted        map[*fleet.Host]bool // by a report alone, no list has had them yet
	provisioning    map[autoscale.Offer]int
	requestCount    uint64 // requests made in this term
	backoff         *autoscale.Backoff
	nextScalingAt   time.Time
	pendingReleases []*fleet.Host // machines whose release is not answered yet
	releaseInFlight bool
	nextReleaseAt   time.Time
	noticeLogged    map[*fleet.Host]time.Time
	nextListAt      time.Time
	listInFlight    bool
	nextTypesAt     time.Time
	typesInFlight   bool
}

func newMachinePool(co *core) *machinePool {
	return &machinePool{core: co, releasedNames: map[string]bool{}, unlisted: map[*fleet.Host]bool{}, provisioning: map[autoscale.Offer]int{}, backoff: autoscale.NewBackoff(),
		noticeLogged: map[*fleet.Host]time.Time{}}
}

// setUnmetDemand says what the last plan found no room for, the most urgent first.
func (mc *machinePool) setUnmetDemand(ws []autoscale.UnmetDemand) { mc.unmetDemand = ws }

// wasReleased reports whether a machine of that name has been returned.
func (mc *machinePool) wasReleased(name string) bool { return mc.releasedNames[name] }

// adopt takes in a machine that nobody expected and that reports.
func (mc *machinePool) adopt(m *wire.Report, now time.Time) *fleet.Host {
	mc.log.Info("adopting a machine that nobody expected", "host", m.Host, "type", m.Type, "zone", m.Zone)
	h := mc.fleet.Add(m.Host, now)
	mc.unlisted[h] = true
	return h
}

// releaseStaleAdoptions returns adopted machines that the cloud's list lacks although it has later
// ones: they were gone when it was made (takeover.listed says why). A late copy of a
// report has brought back a machine that an earlier leader has returned; until it is
// settled, the jobs that it names would wait for a lease.
func (mc *machinePool) releaseStaleAdoptions(list []wire.CloudHost) {
	if len(list) == 0 || len(mc.unlisted) == 0 {
		return
	}
	there := map[string]bool{}
	for i := range list {
		there[list[i].Name] = true
	}
	for h := range mc.unlisted {
		switch {
		case there[h.Name]:
			delete(mc.unlisted, h)
		case h.Name < list[len(list)-1].Name && !h.Releasing:
			mc.release(h, "a late report has brought it back")
		}
	}
}

// reconcile looks after the machines: the price list, the machine list, rentals and
// returns.
func (mc *machinePool) reconcile(now time.Time) {
	if !mc.typesInFlight && now.After(mc.nextTypesAt) {
		mc.typesInFlight = true
		go func() {
			types, err := mc.c.Cloud.MachineTypes(mc.ctx)
			mc.post(func() {
				mc.typesInFlight = false
				if err != nil {
					mc.nextTypesAt = time.Now().Add(2 * time.Second)
					return
				}
				mc.nextTypesAt = time.Now().Add(time.Minute)
				mc.applyTypes(types)
			})
		}()
	}
	lag := config.Seconds(mc.c.Settings.Facts.Cloud.ListLagS)
	if !mc.listInFlight && now.After(mc.nextListAt) {
		mc.listInFlight = true
		go func() {
			list, err := mc.c.Cloud.ListMachines(mc.ctx)
			mc.post(func() {
				mc.listInFlight = false
				mc.nextListAt = time.Now().Add(max(3*time.Second, lag/2))
				if err != nil {
					mc.log.Debug("machine list failed", "error", err)
					return
				}
				mc.applyList(list)
			})
		}()
	}
	if now.Before(mc.nextScalingAt) || len(mc.nameIndex.machineTypes()) == 0 {
		return
	}
	mc.nextScalingAt = now.Add(500 * time.Millisecond)
	mc.scaleIn(now)
	mc.sendReleases(now)
	mc.scaleOut(now)
}

func (mc *machinePool) applyTypes(types []wire.MachineType) {
	first := len(mc.nameIndex.machineTypes()) == 0
	mc.nameIndex.updateTypes(types)
	mc.jobTable.rebind()
	mc.c.mu.Lock()
	mc.c.types = mc.nameIndex.machineTypes()
	mc.c.mu.Unlock()
	mc.changed()
	if first {
		// Kept for a leader that finds the cloud out of order.
		if w, err := state.Put(typesKey, typesRecord{Types: types}); err == nil {
			mc.recordWriter.write([]state.Write{w}, func(error) {})
		}
	}
}

// applyList takes in the machine list. It lags, so a machine that it lacks may be
// up, and one that it has may be gone.
func (mc *machinePool) applyList(list []wire.CloudHost) {
	now := time.Now()
	mc.takeover.listed(list)
	mc.releaseStaleAdoptions(list)
	for i := range list {
		c := &list[i]
		if mc.releasedNames[c.Name] {
			continue
		}
		h := mc.fleet.Hosts[c.Name]
		if h == nil {
			h = mc.fleet.Add(c.Name, now)
			h.Born = now.Add(-config.Seconds(c.AgeS))
			mc.log.Info("machine found in the list", "host", c.Name, "phase", c.Phase)
		}
		if !h.Known {
			mc.nameIndex.describeHost(h, c.Type, c.Zone, c.Spot)
		}
		if h.Addr == "" {
			h.Addr = c.Addr
		}
		if c.Phase == "failed" && !h.Releasing {
			mc.release(h, "it has failed")
		}
	}
}

func (mc *machinePool) bootTime(h *fleet.Host) time.Duration {
	if t := mc.nameIndex.machineType(h); t != nil {
		return config.Seconds(t.BootS)
	}
	return time.Minute
}

// lostGrace is how long a silent machine is kept after its lease: a cut that
// ends soon gives it back without a new boot.
const lostGrace = 20 * time.Second

// scaleIn returns machines that are idle, silent, sick or never came up. After a
// takeover those that have answered need not wait for those that have not.
func (mc *machinePool) scaleIn(now time.Time) {
	patience := mc.fleet.Lease + lostGrace
	for _, h := range mc.fleet.All() {
		if h.Releasing {
			continue
		}
		if h.Inherited {
			// Its reports keep it from being lost, but it has not taken in this term: it
			// would hold back its jobs for as long as it goes on reporting.
			if now.Sub(mc.takeover.begun()) > patience {
				mc.release(h, "it reports and takes in nothing that is sent to it")
			}
			continue
		}
		t := mc.c.Tuning.Hosts
		switch {
		case h.Deaf() && now.Sub(h.DeafAt) > patience:
			mc.release(h, "it reports and takes in nothing that is sent to it")
		case h.Mute() && now.Sub(h.MuteAt) > patience:
			// Its tasks die with each of its leases, and as long as it answers direct
			// commands it is never lost.
			mc.release(h, "it lives and reaches no controller")
		case h.Booting:
			if now.Sub(h.Born) > time.Duration(t.GiveUpBoots*float64(mc.bootTime(h)))+10*time.Second {
				mc.release(h, "it does not come up")
			}
		case h.Lost:
			if now.Sub(h.LostAt) > lostGrace {
				mc.release(h, "it is silent")
			}
		case h.Busy() || mc.hasUnsettled(h):
		case h.Draining:
			mc.release(h, "it is sick")
		case !h.RecallAt.IsZero():
			mc.release(h, "it is being taken back and is empty")
		case mc.maintenanceDrains.due(h, now):
			mc.release(h, "its maintenance begins")
		case mc.planner.reserved(h) || mc.reservationHolds.holding(h):
		case now.Sub(h.IdleFrom) > time.Duration(t.IdleBoots*float64(mc.bootTime(h))):
			if !mc.neededForGang(h, now) {
				mc.release(h, "it is idle")
			}
		}
	}
}

// mayRenewLease reports whether an answer may renew the machine's lease. Where it may not, the
// worker's session has to end: what runs there is lost.
func (mc *machinePool) mayRenewLease(h *fleet.Host, now time.Time) bool {
	if mc.fleet.Renewable(h, now, maxOrders) {
		h.Withheld = false
		return true
	}
	if !h.Withheld {
		mc.log.Info("a launch of a cancelled job may be on its way to a machine, its session has to end", "host", h.Name, "tasks", h.Jobs-h.Unsettled)
		mc.c.Meter.Add(metrics.Withheld, "", 1)
		mc.taskTracker.handle(mc.fleet.Withhold(h), now)
	}
	return false
}

func (mc *machinePool) hasUnsettled(h *fleet.Host) bool {
	for _, s := range h.Slots {
		if !s.Settled {
			return true
		}
	}
	return false
}

// release returns a machine. A release that was sent is never taken back: it may
// be executed at any later time.
func (mc *machinePool) release(h *fleet.Host, why string) {
	h.Releasing = true
	mc.log.Info("returning a machine", "host", h.Name, "why", why)
	mc.pendingReleases = append(mc.pendingReleases, h)
}

// maxReleaseBatch is the protocol's limit for one release.
const maxReleaseBatch = 100

// sendReleases hands machines back, many in one request: the cloud takes a few
// requests a second, and rentals need them too.
func (mc *machinePool) sendReleases(now time.Time) {
	if mc.releaseInFlight || len(mc.pendingReleases) == 0 || now.Before(mc.nextReleaseAt) || !mc.c.Entitled(mc.term) {
		return
	}
	hs := slices.Clone(mc.pendingReleases[:min(len(mc.pendingReleases), maxReleaseBatch)])
	names := make([]string, len(hs))
	for i, h := range hs {
		names[i] = h.Name
	}
	mc.releaseInFlight = true
	go func() {
		err := mc.c.Cloud.Release(mc.ctx, names)
		mc.post(func() {
			mc.releaseInFlight, mc.nextReleaseAt = false, time.Now().Add(time.Second)
			if err != nil {
				mc.log.Info("returning failed, trying again", "machines", len(names), "error", err)
				return
			}
			mc.pendingReleases = mc.pendingReleases[len(hs):]
			for _, h := range hs {
				mc.forgetReleased(h)
			}
		})
	}()
}

// forgetReleased forgets a machine that is gone with all on it.
func (mc *machinePool) forgetReleased(h *fleet.Host) {
	mc.taskTracker.handle(mc.fleet.Remove(h), time.Now())
	mc.releasedNames[h.Name] = true
	mc.planner.forgetMachine(h)
	mc.reservationHolds.forget(h)
	mc.shards.gone(h)
	delete(mc.noticeLogged, h)
	delete(mc.unlisted, h)
	if mc.registry.leave(h) {
		mc.fleet.Free(h.Idx)
	}
}

func (mc *machinePool) scaleOut(now time.Time) {
	slots := mc.reservationHolds.missing(now)
	if len(mc.unmetDemand)+len(slots) == 0 {
		return
	}
	shop := autoscale.Input{Types: mc.nameIndex.machineTypes(), ZoneIndex: mc.nameIndex.zoneIndices(), Backoff: mc.backoff,
		MinFill: mc.c.Tuning.Hosts.MinFill, PatienceS: mc.c.Tuning.Hosts.PatienceS, Now: now,
		Closed: func(o autoscale.Offer) bool {
			return mc.maintenanceDrains.closed(mc.nameIndex.machineTypes()[o.Type].Name, mc.nameIndex.zoneNames()[o.Zone], now)
		}}
	coming := func(o autoscale.Offer) {
		t := &mc.nameIndex.machineTypes()[o.Type]
		shop.Pending = append(shop.Pending, autoscale.PendingMachine{Offer: o, Free: place.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}})
	}
	shop.MachinesByZone = make([]int, len(mc.nameIndex.zoneNames()))
	for _, h := range mc.fleet.All() {
		if h.Zone >= 0 {
			shop.MachinesByZone[h.Zone]++
		}
		if !h.Releasing && h.Known && (h.Booting && now.Sub(h.Born) < 2*mc.bootTime(h) || !h.Booting && !h.Lost && !h.Durable) {
			coming(autoscale.Offer{Type: h.Type, Zone: h.Zone, Spot: h.Spot})
		}
	}
	for o, n := range mc.provisioning {
		for range n {
			coming(o)
		}
	}
	mc.countZoneCapacity()
	all := slices.Concat(slots, mc.unmetDemand)
	for o, n := range autoscale.ScaleOut(shop, all) {
		mc.provision(o, min(n, 50))
	}
	// The zone that was chosen for a gang keeps its idle machines from being returned.
	copy(mc.unmetDemand, all[len(slots):])
}

// offerOpen reports whether machines of a type in a zone may be had, as far as the last
// answers have shown.
func (mc *machinePool) offerOpen(typ, zone string, spot bool, now time.Time) bool {
	t, z, known := mc.nameIndex.offerIndices(typ, zone)
	if !known || mc.maintenanceDrains.closed(typ, zone, now) {
		return false
	}
	return mc.backoff.Open(autoscale.Offer{Type: t, Zone: z}, now) || (spot && mc.backoff.Open(autoscale.Offer{Type: t, Zone: z, Spot: true}, now))
}

// maxGatheringGangs is for how many gangs that wait the room is looked at, zone by zone.
const maxGatheringGangs = 20

// countZoneCapacity finds out how much room there is for gangs that have to be in one zone.
func (mc *machinePool) countZoneCapacity() {
	n := 0
	for i := range mc.unmetDemand {
		w := &mc.unmetDemand[i]
		d := w.Demand
		if !d.OneZone || d.Zone >= 0 || slices.Max(d.TasksByZone) > 0 || n == maxGatheringGangs {
			continue
		}
		n++
		j := mc.jobTable.at(d.ID)
		w.FitsByZone = make([]int, len(mc.nameIndex.zoneNames()))
		for _, h := range mc.fleet.All() {
			t := mc.nameIndex.machineType(h)
			if !h.Usable() || t == nil || (d.AllowedTypes != nil && !d.AllowedTypes[h.Type]) || (h.Spot && !d.Spot) {
				continue
			}
			if k := mc.planner.reservedFor(h); (k != nil && k != j) || mc.reservationHolds.holding(h) {
				continue
			}
			w.FitsByZone[h.Zone] += place.Resources{CPUs: t.CPUs - h.CPUs, GPUs: t.GPUs - h.GPUs, MemGB: t.MemGB - h.MemGB}.FitCount(d.Need)
		}
	}
}

// gangIdleBoots is for how many boot times an idle machine is kept for a gang that
// gathers in its zone: one machine of several can come late.
const gangIdleBoots = 4

// neededForGang reports whether an idle machine is a part of the room that a gang
// gathers.
func (mc *machinePool) neededForGang(h *fleet.Host, now time.Time) bool {
	t := mc.nameIndex.machineType(h)
	if t == nil || now.Sub(h.IdleFrom) > gangIdleBoots*mc.bootTime(h) {
		return false
	}
	for i := range mc.unmetDemand {
		w := &mc.unmetDemand[i]
		d := w.Demand
		if w.FitsByZone != nil && w.ChosenZone == h.Zone && (d.AllowedTypes == nil || d.AllowedTypes[h.Type]) && (d.Spot || !h.Spot) &&
			(place.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}).Fits(d.Need) {
			return true
		}
	}
	return false
}

func (mc *machinePool) provision(o autoscale.Offer, n int) {
	mc.requestCount++
	req := wire.Hire{Request: fmt.Sprintf("r-%d-%d", mc.term, mc.requestCount), Type: mc.nameIndex.machineTypes()[o.Type].Name, Zone: mc.nameIndex.zoneNames()[o.Zone], Spot: o.Spot, Count: n}
	mc.provisioning[o] += n
	mc.log.Info("renting", "request", req.Request, "type", req.Type, "zone", req.Zone, "spot", req.Spot, "count", n)
	asked := time.Now()
	go func() {
		var names []string
		err := errors.New("not entitled")
		// The same name again is safe: it rents nothing twice.
		for try := 0; try < 4 && mc.ctx.Err() == nil; try++ {
			if mc.c.Entitled(mc.term) {
				if names, err = mc.c.Cloud.Provision(mc.ctx, req); err == nil || errors.Is(err, autoscale.ErrNoCapacity) {
					break
				}
			}
			mc.pause(time.Second)
		}
		mc.post(func() {
			mc.provisioning[o] -= n
			if err != nil {
				mc.log.Info("rental refused", "request", req.Request, "error", err)
				mc.backoff.Refused(o, time.Now())
				return
			}
			mc.log.Info("rented", "request", req.Request, "hosts", names)
			if len(names) < n {
				mc.backoff.Refused(o, time.Now())
			} else {
				mc.backoff.Succeeded(o)
			}
			for _, name := range names {
				if mc.releasedNames[name] {
					continue
				}
				h := mc.fleet.Add(name, asked)
				mc.nameIndex.describeHost(h, req.Type, req.Zone, o.Spot)
				mc.reservationHolds.rented(h)
			}
		})
	}()
}

// handleSpotNotice empties a machine that the cloud takes back.
func (mc *machinePool) handleSpotNotice(h *fleet.Host, now time.Time) {
	left := h.RecallAt.Sub(now).Seconds()
	if _, told := mc.noticeLogged[h]; !told {
		mc.log.Info("machine is being taken back", "host", h.Name, "in", left)
		mc.noticeLogged[h] = h.RecallAt
	}
	for _, s := range h.Slots {
		if !s.On() || s.Stopping {
			continue
		}
		if g := saveGrace(s.Job); g > 0 && left > s.Job.SaveS {
			mc.taskTracker.stopSlot(s, g)
			continue
		}
		ran := 0.0
		if !s.RunAt.IsZero() {
			ran = now.Sub(s.RunAt).Seconds()
		}
		if s.Phase != wire.Running || estimate(s.Job)-ran > left {
			mc.taskTracker.stopSlot(s, 0)
		}
	}
}
