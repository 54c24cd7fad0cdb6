package control

import (
	"time"

	"vetchstream/internal/fleet"
)

// Machines that no holder may answer, because a task of a cancelled job may be on them.

// reserve takes a machine back from its holder, or keeps it here, in time before its lease may
// only be renewed by answers that carry halts.
func (sh *shards) reserve(h *fleet.Host, now time.Time) {
	limit, bounded := sh.fleet.RenewalLimit(h)
	if !bounded || limit.Sub(now) > sh.assigner.RevocationTime()+2*urgentScanInterval {
		return
	}
	sh.reserved[h] = struct{}{}
	sh.assigner.Retain(h.Name, "a cancelled task may be on it", now)
}

// updateReserved looks for machines that have to be kept, among those that wait for a command, and
// lets go of those that need not be any more. It comes before each reply to a holder, since
// a reply prolongs its grant.
func (sh *shards) updateReserved(now time.Time) {
	if now.Sub(sh.reserveCheckedAt) < urgentScanInterval {
		return
	}
	sh.reserveCheckedAt = now
	for _, h := range sh.fleet.AwaitingCommand() {
		sh.reserve(h, now)
	}
	for h := range sh.reserved {
		if _, bounded := sh.fleet.RenewalLimit(h); bounded && sh.fleet.Hosts[h.Name] == h {
			continue
		}
		delete(sh.reserved, h)
		sh.assigner.Release(h.Name)
	}
}
