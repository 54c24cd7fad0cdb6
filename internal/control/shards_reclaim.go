package control

import (
	"time"

	"vetchstream/internal/fleet"
)

// Machines that no holder may answer, because a task of a cancelled job may be on them.

// reserve makes the leader serve a machine itself, or take it back from its holder, in time
// before the machine's lease may only be renewed by answers that carry halts.
func (sh *shards) reserve(h *fleet.Machine, now time.Time) {
	limit, bounded := sh.fleet.RenewalLimit(h)
	if !bounded || limit.Sub(now) > sh.assigner.RevocationTime()+2*urgentScanInterval {
		return
	}
	sh.reserved[h] = struct{}{}
	sh.assigner.Retain(h.Name, "a cancelled task may be on it", now)
}

// updateReserved reserves the machines that have to be, among those that wait for a command,
// and lets holders have those again that need not be any more. It has to run before each reply
// to a holder, since a reply prolongs its grant.
func (sh *shards) updateReserved(now time.Time) {
	if now.Sub(sh.reserveCheckedAt) < urgentScanInterval {
		return
	}
	sh.reserveCheckedAt = now
	for _, h := range sh.fleet.AwaitingCommand() {
		sh.reserve(h, now)
	}
	for h := range sh.reserved {
		if _, bounded := sh.fleet.RenewalLimit(h); bounded && sh.fleet.Machines[h.Name] == h {
			continue
		}
		delete(sh.reserved, h)
		sh.assigner.Release(h.Name)
	}
}
