package control

import (
	"time"

	"vetchstream/internal/fleet"
)

// Machines that no holder may answer, because a task of a cancelled job may be on them.

// keep takes a machine back from its holder, or keeps it here, in time before its lease may
// only be renewed by answers that carry halts.
func (sh *shards) keep(h *fleet.Host, now time.Time) {
	limit, bounded := sh.fleet.RenewalLimit(h)
	if !bounded || limit.Sub(now) > sh.allot.RevocationTime()+2*urgentEvery {
		return
	}
	sh.kept[h] = struct{}{}
	sh.allot.Retain(h.Name, "a cancelled task may be on it", now)
}

// keepDue looks for machines that have to be kept, among those that wait for a command, and
// lets go of those that need not be any more. It comes before each reply to a holder, since
// a reply prolongs its grant.
func (sh *shards) keepDue(now time.Time) {
	if now.Sub(sh.keptAt) < urgentEvery {
		return
	}
	sh.keptAt = now
	for _, h := range sh.fleet.AwaitingCommand() {
		sh.keep(h, now)
	}
	for h := range sh.kept {
		if _, bounded := sh.fleet.RenewalLimit(h); bounded && sh.fleet.Hosts[h.Name] == h {
			continue
		}
		delete(sh.kept, h)
		sh.allot.Release(h.Name)
	}
}
