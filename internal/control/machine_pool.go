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

	wants     []autoscale.Want // what the last plan found no room for
	removed   map[string]bool
	met       map[*fleet.Host]bool // by a report alone, no list has had them yet
	renting   map[autoscale.Offer]int
	hires     uint64 // requests made in this term
	backoff   *autoscale.Backoff
	rentAt    time.Time
	returns   []*fleet.Host // machines whose release is not answered yet
	returning bool
	returnAt  time.Time
	noticed   map[*fleet.Host]time.Time
	listAt    time.Time
	listing   bool
	typesAt   time.Time
	typing    bool
}

func newMachinePool(co *core) *machinePool {
	return &machinePool{core: co, removed: map[string]bool{}, met: map[*fleet.Host]bool{}, renting: map[autoscale.Offer]int{}, backoff: autoscale.NewBackoff(),
		noticed: map[*fleet.Host]time.Time{}}
}

// want says what the last plan found no room for, the most urgent first.
func (mc *machinePool) want(ws []autoscale.Want) { mc.wants = ws }

// gone reports whether a machine of that name has been returned.
func (mc *machinePool) gone(name string) bool { return mc.removed[name] }

// adopt takes in a machine that nobody expected and that reports.
func (mc *machinePool) adopt(m *wire.Report, now time.Time) *fleet.Host {
	mc.log.Info("adopting a machine that nobody expected", "host", m.Host, "type", m.Type, "zone", m.Zone)
	h := mc.fleet.Add(m.Host, now)
	mc.met[h] = true
	return h
}

// strays returns adopted machines that the cloud's list lacks although it has later
// ones: they were gone when it was made (takeover.listed says why). A late copy of a
// report has brought back a machine that an earlier leader has returned; until it is
// settled, the jobs that it names would wait for a lease.
func (mc *machinePool) strays(list []wire.CloudHost) {
	if len(list) == 0 || len(mc.met) == 0 {
		return
	}
	there := map[string]bool{}
	for i := range list {
		there[list[i].Name] = true
	}
	for h := range mc.met {
		switch {
		case there[h.Name]:
			delete(mc.met, h)
		case h.Name < list[len(list)-1].Name && !h.Releasing:
			mc.release(h, "a late report has brought it back")
		}
	}
}

// cloud looks after the machines: the price list, the machine list, rentals and
// returns.
func (mc *machinePool) cloud(now time.Time) {
	if !mc.typing && now.After(mc.typesAt) {
		mc.typing = true
		go func() {
			types, err := mc.controller.Cloud.Types(mc.ctx)
			mc.enqueue(func() {
				mc.typing = false
				if err != nil {
					mc.typesAt = time.Now().Add(2 * time.Second)
					return
				}
				mc.typesAt = time.Now().Add(time.Minute)
				mc.newTypes(types)
			})
		}()
	}
	lag := config.Seconds(mc.controller.Settings.Facts.Cloud.ListLagS)
	if !mc.listing && now.After(mc.listAt) {
		mc.listing = true
		go func() {
			list, err := mc.controller.Cloud.List(mc.ctx)
			mc.enqueue(func() {
				mc.listing = false
				mc.listAt = time.Now().Add(max(3*time.Second, lag/2))
				if err != nil {
					mc.log.Debug("machine list failed", "error", err)
					return
				}
				mc.listed(list)
			})
		}()
	}
	if now.Before(mc.rentAt) || len(mc.nameIndex.list()) == 0 {
		return
	}
	mc.rentAt = now.Add(500 * time.Millisecond)
	mc.giveBack(now)
	mc.sendReturns(now)
	mc.rent(now)
}

func (mc *machinePool) newTypes(types []wire.MachineType) {
	first := len(mc.nameIndex.list()) == 0
	mc.nameIndex.learn(types)
	mc.jobTable.rebindNames()
	mc.controller.mu.Lock()
	mc.controller.types = mc.nameIndex.list()
	mc.controller.mu.Unlock()
	mc.requestPlan()
	if first {
		// Kept for a leader that finds the cloud out of order.
		if w, err := state.Put(typesKey, typesRecord{Types: types}); err == nil {
			mc.recordWriter.write([]state.Write{w}, func(error) {})
		}
	}
}

// listed takes in the machine list. It lags, so a machine that it lacks may be
// up, and one that it has may be gone.
func (mc *machinePool) listed(list []wire.CloudHost) {
	now := time.Now()
	mc.takeover.compareListing(list)
	mc.strays(list)
	for i := range list {
		c := &list[i]
		if mc.removed[c.Name] {
			continue
		}
		h := mc.fleet.Hosts[c.Name]
		if h == nil {
			h = mc.fleet.Add(c.Name, now)
			h.AddedAt = now.Add(-config.Seconds(c.AgeS))
			mc.log.Info("machine found in the list", "host", c.Name, "phase", c.Phase)
		}
		if !h.Known {
			mc.nameIndex.describe(h, c.Type, c.Zone, c.Spot)
		}
		if h.Addr == "" {
			h.Addr = c.Addr
		}
		if c.Phase == "failed" && !h.Releasing {
			mc.release(h, "it has failed")
		}
	}
}

func (mc *machinePool) boot(h *fleet.Host) time.Duration {
	if t := mc.nameIndex.typeOf(h); t != nil {
		return config.Seconds(t.BootS)
	}
	return time.Minute
}

// lostGrace is how long a silent machine is kept after its lease: a cut that
// ends soon gives it back without a new boot.
const lostGrace = 20 * time.Second

// giveBack returns machines that are idle, silent, sick or never came up. After a
// takeover those that have answered need not wait for those that have not.
func (mc *machinePool) giveBack(now time.Time) {
	patience := mc.fleet.Lease + lostGrace
	for _, h := range mc.fleet.All() {
		if h.Releasing {
			continue
		}
		if h.Inherited {
			// Its reports keep it from being lost, but it has not taken in this term: it
			// would hold back its jobs for as long as it goes on reporting.
			if now.Sub(mc.takeover.contactStart()) > patience {
				mc.release(h, "it reports and takes in nothing that is sent to it")
			}
			continue
		}
		t := mc.controller.Tuning.Hosts
		switch {
		case h.InboundCut() && now.Sub(h.InboundCutAt) > patience:
			mc.release(h, "it reports and takes in nothing that is sent to it")
		case h.OutboundCut() && now.Sub(h.OutboundCutAt) > patience:
			// Its tasks die with each of its leases, and as long as it answers direct
			// commands it is never lost.
			mc.release(h, "it lives and reaches no controller")
		case h.Booting:
			if now.Sub(h.AddedAt) > time.Duration(t.GiveUpBoots*float64(mc.boot(h)))+10*time.Second {
				mc.release(h, "it does not come up")
			}
		case h.Lost:
			if now.Sub(h.LostAt) > lostGrace {
				mc.release(h, "it is silent")
			}
		case h.Busy() || mc.unsettled(h):
		case h.Draining:
			mc.release(h, "it is sick")
		case !h.RecallAt.IsZero():
			mc.release(h, "it is being taken back and is empty")
		case mc.maintenanceDrains.started(h, now):
			mc.release(h, "its maintenance begins")
		case mc.planner.kept(h) || mc.reservationHolds.retains(h):
		case now.Sub(h.IdleFrom) > time.Duration(t.IdleBoots*float64(mc.boot(h))):
			if !mc.awaited(h, now) {
				mc.release(h, "it is idle")
			}
		}
	}
}

// renewable reports whether an answer may renew the machine's lease. Where it may not, the
// worker's session has to end: what runs there is lost.
func (mc *machinePool) renewable(h *fleet.Host, now time.Time) bool {
	if mc.fleet.Renewable(h, now, maxOrders) {
		h.RenewalStopped = false
		return true
	}
	if !h.RenewalStopped {
		mc.log.Info("a launch of a cancelled job may be on its way to a machine, its session has to end", "host", h.Name, "tasks", h.Jobs-h.CancelledInFlight)
		mc.controller.Meter.Add(metrics.Withheld, "", 1)
		mc.taskTracker.applyEvents(mc.fleet.StopRenewal(h), now)
	}
	return false
}

func (mc *machinePool) unsettled(h *fleet.Host) bool {
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
	mc.returns = append(mc.returns, h)
}

// mostReturned is the protocol's limit for one release.
const mostReturned = 100

// sendReturns hands machines back, many in one request: the cloud takes a few
// requests a second, and rentals need them too.
func (mc *machinePool) sendReturns(now time.Time) {
	if mc.returning || len(mc.returns) == 0 || now.Before(mc.returnAt) || !mc.controller.Entitled(mc.term) {
		return
	}
	hs := slices.Clone(mc.returns[:min(len(mc.returns), mostReturned)])
	names := make([]string, len(hs))
	for i, h := range hs {
		names[i] = h.Name
	}
	mc.returning = true
	go func() {
		err := mc.controller.Cloud.Release(mc.ctx, names)
		mc.enqueue(func() {
			mc.returning, mc.returnAt = false, time.Now().Add(time.Second)
			if err != nil {
				mc.log.Info("returning failed, trying again", "machines", len(names), "error", err)
				return
			}
			mc.returns = mc.returns[len(hs):]
			for _, h := range hs {
				mc.returned(h)
			}
		})
	}()
}

// returned forgets a machine that is gone with all on it.
func (mc *machinePool) returned(h *fleet.Host) {
	mc.taskTracker.applyEvents(mc.fleet.Remove(h), time.Now())
	mc.removed[h.Name] = true
	mc.planner.gone(h)
	mc.reservationHolds.machineRemoved(h)
	mc.shards.remove(h)
	delete(mc.noticed, h)
	delete(mc.met, h)
	if mc.registry.removeHost(h) {
		mc.fleet.FreeIndex(h.Index)
	}
}

func (mc *machinePool) rent(now time.Time) {
	slots := mc.reservationHolds.machineRequests(now)
	if len(mc.wants)+len(slots) == 0 {
		return
	}
	shop := autoscale.Shop{Types: mc.nameIndex.list(), ZoneOf: mc.nameIndex.zonesByName(), Backoff: mc.backoff,
		MinFill: mc.controller.Tuning.Hosts.MinFill, Patience: mc.controller.Tuning.Hosts.PatienceS, Now: now,
		Closed: func(o autoscale.Offer) bool {
			return mc.maintenanceDrains.poolClosed(mc.nameIndex.list()[o.Type].Name, mc.nameIndex.zoneNames()[o.Zone], now)
		}}
	coming := func(o autoscale.Offer) {
		t := &mc.nameIndex.list()[o.Type]
		shop.Coming = append(shop.Coming, autoscale.Coming{Offer: o, Free: place.Amount{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}})
	}
	shop.InZone = make([]int, len(mc.nameIndex.zoneNames()))
	for _, h := range mc.fleet.All() {
		if h.Zone >= 0 {
			shop.InZone[h.Zone]++
		}
		if !h.Releasing && h.Known && (h.Booting && now.Sub(h.AddedAt) < 2*mc.boot(h) || !h.Booting && !h.Lost && !h.Durable) {
			coming(autoscale.Offer{Type: h.Type, Zone: h.Zone, Spot: h.Spot})
		}
	}
	for o, n := range mc.renting {
		for range n {
			coming(o)
		}
	}
	mc.gather()
	all := slices.Concat(slots, mc.wants)
	for o, n := range autoscale.Rentals(shop, all) {
		mc.hire(o, min(n, 50))
	}
	// The zone that was chosen for a gang keeps its idle machines from being returned.
	copy(mc.wants, all[len(slots):])
}

// open reports whether machines of a type in a zone may be had, as far as the last
// answers have shown.
func (mc *machinePool) open(typ, zone string, spot bool, now time.Time) bool {
	t, z, known := mc.nameIndex.offer(typ, zone)
	if !known || mc.maintenanceDrains.poolClosed(typ, zone, now) {
		return false
	}
	return mc.backoff.Open(autoscale.Offer{Type: t, Zone: z}, now) || (spot && mc.backoff.Open(autoscale.Offer{Type: t, Zone: z, Spot: true}, now))
}

// gathered is for how many gangs that wait the room is looked at, zone by zone.
const gathered = 20

// gather finds out how much room there is for gangs that have to be in one zone.
func (mc *machinePool) gather() {
	n := 0
	for i := range mc.wants {
		w := &mc.wants[i]
		d := w.Demand
		if !d.OneZone || d.Zone >= 0 || slices.Max(d.InZone) > 0 || n == gathered {
			continue
		}
		n++
		j := mc.jobTable.byIndex(d.ID)
		w.Room = make([]int, len(mc.nameIndex.zoneNames()))
		for _, h := range mc.fleet.All() {
			t := mc.nameIndex.typeOf(h)
			if !h.Usable() || t == nil || (d.TypeOK != nil && !d.TypeOK[h.Type]) || (h.Spot && !d.Spot) {
				continue
			}
			if k := mc.planner.keeper(h); (k != nil && k != j) || mc.reservationHolds.retains(h) {
				continue
			}
			w.Room[h.Zone] += place.Amount{CPUs: t.CPUs - h.CPUs, GPUs: t.GPUs - h.GPUs, MemGB: t.MemGB - h.MemGB}.Times(d.Need)
		}
	}
}

// awaitedBoots is for how many boot times an idle machine is kept for a gang that
// gathers in its zone: one machine of several can come late.
const awaitedBoots = 4

// awaited reports whether an idle machine is a part of the room that a gang
// gathers.
func (mc *machinePool) awaited(h *fleet.Host, now time.Time) bool {
	t := mc.nameIndex.typeOf(h)
	if t == nil || now.Sub(h.IdleFrom) > awaitedBoots*mc.boot(h) {
		return false
	}
	for i := range mc.wants {
		w := &mc.wants[i]
		d := w.Demand
		if w.Room != nil && w.Chosen == h.Zone && (d.TypeOK == nil || d.TypeOK[h.Type]) && (d.Spot || !h.Spot) &&
			(place.Amount{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}).Fits(d.Need) {
			return true
		}
	}
	return false
}

func (mc *machinePool) hire(o autoscale.Offer, n int) {
	mc.hires++
	req := wire.Hire{Request: fmt.Sprintf("r-%d-%d", mc.term, mc.hires), Type: mc.nameIndex.list()[o.Type].Name, Zone: mc.nameIndex.zoneNames()[o.Zone], Spot: o.Spot, Count: n}
	mc.renting[o] += n
	mc.log.Info("renting", "request", req.Request, "type", req.Type, "zone", req.Zone, "spot", req.Spot, "count", n)
	asked := time.Now()
	go func() {
		var names []string
		err := errors.New("not entitled")
		// The same name again is safe: it rents nothing twice.
		for try := 0; try < 4 && mc.ctx.Err() == nil; try++ {
			if mc.controller.Entitled(mc.term) {
				if names, err = mc.controller.Cloud.Rent(mc.ctx, req); err == nil || errors.Is(err, autoscale.ErrNoCapacity) {
					break
				}
			}
			mc.sleep(time.Second)
		}
		mc.enqueue(func() {
			mc.renting[o] -= n
			if err != nil {
				mc.log.Info("rental refused", "request", req.Request, "error", err)
				mc.backoff.Refused(o, time.Now())
				return
			}
			mc.log.Info("rented", "request", req.Request, "hosts", names)
			if len(names) < n {
				mc.backoff.Refused(o, time.Now())
			} else {
				mc.backoff.Served(o)
			}
			for _, name := range names {
				if mc.removed[name] {
					continue
				}
				h := mc.fleet.Add(name, asked)
				mc.nameIndex.describe(h, req.Type, req.Zone, o.Spot)
				mc.reservationHolds.machineProvisioned(h)
			}
		})
	}()
}

// recall empties a machine that the cloud takes back.
func (mc *machinePool) recall(h *fleet.Host, now time.Time) {
	left := h.RecallAt.Sub(now).Seconds()
	if _, told := mc.noticed[h]; !told {
		mc.log.Info("machine is being taken back", "host", h.Name, "in", left)
		mc.noticed[h] = h.RecallAt
	}
	for _, s := range h.Slots {
		if !s.Active() || s.Stopping {
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
		if s.Phase != wire.Running || runTimeEstimate(s.Job)-ran > left {
			mc.taskTracker.stopSlot(s, 0)
		}
	}
}
