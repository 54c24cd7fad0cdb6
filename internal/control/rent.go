package control

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/fleet"
	"vetchstream/internal/hosts"
	"vetchstream/internal/place"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// cloud looks after the machines: the price list, the machine list, rentals and
// returns.
func (r *reign) cloud(now time.Time) {
	if !r.typing && now.After(r.typesAt) {
		r.typing = true
		go func() {
			types, err := r.c.Cloud.Types(r.ctx)
			r.post(func() {
				r.typing = false
				if err != nil {
					r.typesAt = time.Now().Add(2 * time.Second)
					return
				}
				r.typesAt = time.Now().Add(time.Minute)
				r.newTypes(types)
			})
		}()
	}
	lag := config.Seconds(r.c.Settings.Facts.Cloud.ListLagS)
	if !r.listing && now.After(r.listAt) {
		r.listing = true
		go func() {
			list, err := r.c.Cloud.List(r.ctx)
			r.post(func() {
				r.listing = false
				r.listAt = time.Now().Add(max(3*time.Second, lag/2))
				if err != nil {
					r.log.Debug("machine list failed", "error", err)
					return
				}
				r.listed(list)
			})
		}()
	}
	if now.Before(r.rentAt) || len(r.types) == 0 {
		return
	}
	r.rentAt = now.Add(500 * time.Millisecond)
	r.giveBack(now)
	r.sendReturns(now)
	r.rent(now)
}

func (r *reign) newTypes(types []wire.MachineType) {
	first := len(r.types) == 0
	r.setTypes(types)
	r.c.mu.Lock()
	r.c.types = r.types
	r.c.mu.Unlock()
	r.dirty = true
	if first {
		// Kept for a leader that finds the cloud out of order.
		if w, err := state.Put(typesKey, typesRecord{Types: types}); err == nil {
			r.write([]state.Write{w}, func(error) {})
		}
	}
}

// listed takes in the machine list. It lags, so a machine that it lacks may be
// up, and one that it has may be gone.
func (r *reign) listed(list []wire.CloudHost) {
	now := time.Now()
	for i := range list {
		c := &list[i]
		if r.removed[c.Name] {
			continue
		}
		h := r.fleet.Hosts[c.Name]
		if h == nil {
			h = r.fleet.Add(c.Name, now)
			h.Born = now.Add(-config.Seconds(c.AgeS))
			r.log.Info("machine found in the list", "host", c.Name, "phase", c.Phase)
		}
		if !h.Known {
			r.describe(h, c.Type, c.Zone, c.Spot)
		}
		if h.Addr == "" {
			h.Addr = c.Addr
		}
		if c.Phase == "failed" && !h.Releasing {
			r.release(h, "it has failed")
		}
	}
}

func (r *reign) boot(h *fleet.Host) time.Duration {
	if h.Type >= 0 && h.Type < len(r.types) {
		return config.Seconds(r.types[h.Type].BootS)
	}
	return time.Minute
}

// lostGrace is how long a silent machine is kept after its lease: a cut that
// ends soon gives it back without a new boot.
const lostGrace = 20 * time.Second

// giveBack returns machines that are idle, silent, sick or never came up.
func (r *reign) giveBack(now time.Time) {
	if !r.ready {
		return
	}
	for _, h := range r.fleet.All() {
		if h.Releasing {
			continue
		}
		t := r.c.Tuning.Hosts
		switch {
		case h.Booting:
			if now.Sub(h.Born) > time.Duration(t.GiveUpBoots*float64(r.boot(h)))+10*time.Second {
				r.release(h, "it does not come up")
			}
		case h.Lost:
			if now.Sub(h.LostAt) > lostGrace {
				r.release(h, "it is silent")
			}
		case h.Busy() || r.unsettled(h):
		case h.Draining:
			r.release(h, "it is sick")
		case !h.RecallAt.IsZero():
			r.release(h, "it is being taken back and is empty")
		case len(r.keeps) > 0 && r.keeps[h].job != nil:
		case now.Sub(h.IdleFrom) > time.Duration(t.IdleBoots*float64(r.boot(h))):
			r.release(h, "it is idle")
		}
	}
}

func (r *reign) unsettled(h *fleet.Host) bool {
	for _, s := range h.Slots {
		if !s.Settled {
			return true
		}
	}
	return false
}

// release returns a machine. A release that was sent is never taken back: it may
// be executed at any later time.
func (r *reign) release(h *fleet.Host, why string) {
	h.Releasing = true
	r.log.Info("returning a machine", "host", h.Name, "why", why)
	r.returns = append(r.returns, h)
}

// mostReturned is the protocol's limit for one release.
const mostReturned = 100

// sendReturns hands machines back, many in one request: the cloud takes a few
// requests a second, and rentals need them too.
func (r *reign) sendReturns(now time.Time) {
	if r.returning || len(r.returns) == 0 || now.Before(r.returnAt) || !r.c.Entitled(r.term) {
		return
	}
	hs := slices.Clone(r.returns[:min(len(r.returns), mostReturned)])
	names := make([]string, len(hs))
	for i, h := range hs {
		names[i] = h.Name
	}
	r.returning = true
	go func() {
		err := r.c.Cloud.Release(r.ctx, names)
		r.post(func() {
			r.returning, r.returnAt = false, time.Now().Add(time.Second)
			if err != nil {
				r.log.Info("returning failed, trying again", "machines", len(names), "error", err)
				return
			}
			r.returns = r.returns[len(hs):]
			for _, h := range hs {
				r.returned(h)
			}
		})
	}()
}

// returned forgets a machine that is gone with all on it.
func (r *reign) returned(h *fleet.Host) {
	r.handle(r.fleet.Remove(h), time.Now())
	r.removed[h.Name] = true
	delete(r.keeps, h)
	delete(r.noticed, h)
	if r.registry.leave(h) {
		r.fleet.Free(h.Idx)
	}
}

func (r *reign) rent(now time.Time) {
	if len(r.wants) == 0 {
		return
	}
	shop := hosts.Shop{Types: r.types, ZoneOf: r.zoneIdx, Backoff: r.backoff,
		MinFill: r.c.Tuning.Hosts.MinFill, Patience: r.c.Tuning.Hosts.PatienceS, Now: now}
	coming := func(o hosts.Offer) {
		t := &r.types[o.Type]
		shop.Coming = append(shop.Coming, hosts.Coming{Offer: o, Free: place.Amount{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}})
	}
	shop.InZone = make([]int, len(r.zones))
	for _, h := range r.fleet.All() {
		if h.Zone >= 0 {
			shop.InZone[h.Zone]++
		}
		if !h.Releasing && h.Known && (h.Booting && now.Sub(h.Born) < 2*r.boot(h) || !h.Booting && !h.Lost && !h.Durable) {
			coming(hosts.Offer{Type: h.Type, Zone: h.Zone, Spot: h.Spot})
		}
	}
	for o, n := range r.renting {
		for range n {
			coming(o)
		}
	}
	for o, n := range hosts.Rentals(shop, r.wants) {
		r.hire(o, min(n, 50))
	}
}

func (r *reign) hire(o hosts.Offer, n int) {
	r.hires++
	req := wire.Hire{Request: fmt.Sprintf("r-%d-%d", r.term, r.hires), Type: r.types[o.Type].Name, Zone: r.zones[o.Zone], Spot: o.Spot, Count: n}
	r.renting[o] += n
	r.log.Info("renting", "request", req.Request, "type", req.Type, "zone", req.Zone, "spot", req.Spot, "count", n)
	asked := time.Now()
	go func() {
		var names []string
		err := errors.New("not entitled")
		// The same name again is safe: it rents nothing twice.
		for try := 0; try < 4 && r.ctx.Err() == nil; try++ {
			if r.c.Entitled(r.term) {
				if names, err = r.c.Cloud.Rent(r.ctx, req); err == nil || errors.Is(err, hosts.ErrNoCapacity) {
					break
				}
			}
			r.pause(time.Second)
		}
		r.post(func() {
			r.renting[o] -= n
			if err != nil {
				r.log.Info("rental refused", "request", req.Request, "error", err)
				r.backoff.Refused(o, time.Now())
				return
			}
			r.log.Info("rented", "request", req.Request, "hosts", names)
			if len(names) < n {
				r.backoff.Refused(o, time.Now())
			} else {
				r.backoff.Served(o)
			}
			for _, name := range names {
				if r.removed[name] {
					continue
				}
				h := r.fleet.Add(name, asked)
				r.describe(h, req.Type, req.Zone, o.Spot)
			}
		})
	}()
}
