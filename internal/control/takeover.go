package control

import (
	"sync/atomic"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/place"
)

// takeover loads what earlier leaders have stored, and reconciles it with the
// machines: until a machine has answered or its lease has expired, it may still run
// tasks that this term has not seen.
type takeover struct {
	*core
	nameIndex         *nameIndex
	jobTable          *jobTable
	registry          *registry
	machinePool       *machinePool
	admission         *admission
	completions       *completions
	results           *results
	admissionGroups   *admissionGroups
	rollouts          *rollouts
	calendarStore     *calendarStore
	reservationHolds  *reservationHolds
	maintenanceDrains *maintenanceDrains
	shards            *shards
	teamQuotas        *teamQuotas
	homeQuotas        *homeQuotas

	recordsLoaded    atomic.Bool
	allReconciled    bool             // every machine of earlier leaders is reconciled
	inherited        []*fleet.Machine // machines of earlier leaders that are not reconciled yet
	unlisted         map[string]bool  // machines of earlier leaders that the cloud does not list
	placementAllowed bool             // see mayPlace
	silentHandled    bool             // releaseSilent has run
	phases           takeoverPhases
}

// loaded reports whether the records of earlier leaders are read. It may be called
// from any goroutine.
func (tk *takeover) loaded() bool { return tk.recordsLoaded.Load() }

// reconciled reports whether every machine of earlier leaders is reconciled: nothing
// runs on them that this term has not seen.
func (tk *takeover) reconciled() bool { return tk.allReconciled }

// mayPlace reports whether work may be placed although some machines have not
// answered: what they may run is known.
func (tk *takeover) mayPlace() bool { return tk.placementAllowed }

// reconcileTimeout is how long a takeover waits for all machines before work is
// placed without the silent ones.
const reconcileTimeout = 700 * time.Millisecond

// reconcile looks at the machines of earlier leaders and reports whether work may
// be placed although some have not answered.
func (tk *takeover) reconcile(now time.Time) bool {
	tk.logPhases(now)
	if tk.allReconciled {
		return true
	}
	tk.inherited = tk.fleet.SettleInherited()
	if p := &tk.phases; p.contacted.IsZero() && 100*len(tk.inherited) <= (100-contactedPercent)*p.machines {
		p.contacted = now
	}
	if tk.mustWaitForMachines(now) {
		return false
	}
	tk.releaseUnlisted(now)
	if len(tk.inherited) > 0 && !tk.silentHandled && now.Sub(tk.contactStart()) > tk.silentTimeout() {
		tk.silentHandled = true
		tk.releaseSilent()
	}
	tk.placementAllowed = true
	if len(tk.inherited) == 0 {
		tk.allReconciled = true
		tk.phases.reconciled = now
		tk.log.Info("all machines reconciled", "duration", now.Sub(tk.termStart).Round(time.Millisecond))
	}
	return true
}

// mustWaitForMachines reports whether nothing may be placed yet: a silent machine's
// type is not known, and so not what it may take of a team's limit, or the machines
// have not had the time of a round trip.
func (tk *takeover) mustWaitForMachines(now time.Time) bool {
	for _, h := range tk.inherited {
		if !h.Described || now.Sub(tk.contactStart()) < reconcileTimeout {
			return true
		}
	}
	return false
}

// blockedJobs are the jobs that a machine of an earlier leader may still run, and
// that must wait until it is reconciled. What such a machine may run is added in
// full to the usage of every team that may have work there.
func (tk *takeover) blockedJobs(teams []place.Team) map[*job.Job]bool {
	blocked := map[*job.Job]bool{}
	for _, h := range tk.inherited {
		for _, past := range h.InheritedJobs {
			if j := tk.jobTable.get(past.ID); j != nil {
				blocked[j] = true
			}
		}
		capacity := &tk.nameIndex.machineTypes()[h.Type]
		for i := range possibleTeams(h, len(teams)) {
			teams[i].Used.CPUs += capacity.CPUs
			teams[i].Used.GPUs += capacity.GPUs
		}
	}
	return blocked
}

// possibleTeams are the indices of the teams that may have work on a machine of an
// earlier leader, of so many teams.
func possibleTeams(h *fleet.Machine, teams int) map[int]bool {
	possible := map[int]bool{}
	for _, past := range h.InheritedJobs {
		if past.Team >= 0 {
			possible[past.Team] = true
			continue
		}
		for t := range teams {
			possible[t] = true // its team is not known here: it may be any
		}
	}
	return possible
}
