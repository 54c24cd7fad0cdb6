package control

import (
	"time"

	"vetchstream/internal/fleet"
)

// The leader itself answers machines that may run a task of a cancelled job, and those that
// get launches in its answers only.

// retain makes the leader serve a machine itself if only the leader may, and takes it back from
// its holder if it has one. This happens in time before the machine's lease may only be renewed
// by answers that carry halts.
func (sh *shards) retain(machine *fleet.Machine, now time.Time) {
	limit, bounded := sh.fleet.RenewalLimit(machine)
	switch {
	case bounded && limit.Sub(now) <= sh.assigner.RevocationTime()+2*urgentScanInterval:
		sh.assigner.Retain(machine.Name, "a cancelled task may be on it", now)
	case machine.TokensUsedUp():
		sh.assigner.Retain(machine.Name, "its fencing tokens are used up", now)
	default:
		return
	}
	sh.retained[machine] = struct{}{}
}

// updateRetained retains those machines awaiting a command that require it, and lets holders
// serve the machines again that no longer do. It must run before each reply to a holder,
// because a reply extends the holder's grant.
func (sh *shards) updateRetained(now time.Time) {
	if now.Sub(sh.retainedCheckedAt) < urgentScanInterval {
		return
	}
	sh.retainedCheckedAt = now
	for _, machine := range sh.fleet.AwaitingCommand() {
		sh.retain(machine, now)
	}
	for machine := range sh.retained {
		_, bounded := sh.fleet.RenewalLimit(machine)
		if (bounded || machine.TokensUsedUp()) && sh.fleet.Machines[machine.Name] == machine {
			continue
		}
		delete(sh.retained, machine)
		sh.assigner.Release(machine.Name)
	}
}
