package control

import (
	"slices"
	"sync/atomic"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/place"
)

// takeover loads the records of earlier leaders and reconciles them with the machines.
// Until a machine has answered or its lease has expired, it may still run tasks that
// this term does not know.
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
	unlisted         map[string]bool  // machines of earlier leaders that are missing in the cloud's list, by name
	placementAllowed bool             // see mayPlace
	silentHandled    bool             // releaseSilent has run
	phases           takeoverPhases
}

// loaded reports whether the records of earlier leaders have been loaded. It may be
// called from any goroutine.
func (tk *takeover) loaded() bool { return tk.recordsLoaded.Load() }

// reconciled reports whether every machine of earlier leaders is reconciled, so that
// none of them runs a task that this term does not know.
func (tk *takeover) reconciled() bool { return tk.allReconciled }

// mayPlace reports whether tasks may be placed although some machines have not
// answered, because it is known what those may run.
func (tk *takeover) mayPlace() bool { return tk.placementAllowed }

// reconcileTimeout is how long a takeover waits for all machines before tasks are
// placed without the silent ones.
const reconcileTimeout = 700 * time.Millisecond

// reconcile updates the state of the machines of earlier leaders and reports whether
// tasks may be placed although some of these machines have not answered.
func (tk *takeover) reconcile(now time.Time) bool {
	tk.logPhases(now)
	if tk.allReconciled {
		return true
	}
	tk.inherited = tk.fleet.SettleInherited()
	if phases := &tk.phases; phases.contacted.IsZero() && 100*len(tk.inherited) <= (100-contactedPercent)*phases.machines {
		phases.contacted = now
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

// mustWaitForMachines reports whether no task may be placed yet. This is the case until
// all machines have answered or have had the time of a round trip, and while the type
// of a silent machine is unknown: its tasks may use an unknown part of a team's limit.
func (tk *takeover) mustWaitForMachines(now time.Time) bool {
	for _, machine := range tk.inherited {
		if !machine.Described || now.Sub(tk.contactStart()) < reconcileTimeout {
			return true
		}
	}
	return false
}

// blockedJobs returns the jobs that an unreconciled machine of an earlier leader may
// still run, and that must wait until the machine is reconciled. The full capacity of
// such a machine is added to the usage of every team that may have tasks there.
func (tk *takeover) blockedJobs(teams []place.Team) map[*job.Job]bool {
	blocked := map[*job.Job]bool{}
	for _, machine := range tk.inherited {
		for _, inheritedJob := range machine.InheritedJobs {
			if j := tk.jobTable.get(inheritedJob.ID); j != nil {
				blocked[j] = true
			}
		}
		capacity := &tk.nameIndex.machineTypes()[machine.Type]
		for i := range possibleTeams(machine, len(teams)) {
			teams[i].Used.CPUs += capacity.CPUs
			teams[i].Used.GPUs += capacity.GPUs
		}
	}
	return blocked
}

// blocks reports whether an unreconciled machine of an earlier leader may still run the
// job.
func (tk *takeover) blocks(j *job.Job) bool {
	for _, machine := range tk.inherited {
		if slices.ContainsFunc(machine.InheritedJobs, func(inherited fleet.InheritedJob) bool { return inherited.ID == j.ID }) {
			return true
		}
	}
	return false
}

// possibleTeams returns the indices of the teams that may have tasks on a machine of an
// earlier leader, out of teamCount teams.
func possibleTeams(machine *fleet.Machine, teamCount int) map[int]bool {
	possible := map[int]bool{}
	for _, inheritedJob := range machine.InheritedJobs {
		if inheritedJob.Team >= 0 {
			possible[inheritedJob.Team] = true
			continue
		}
		for team := range teamCount {
			possible[team] = true // the team of the job is unknown here, so it may be any team
		}
	}
	return possible
}
