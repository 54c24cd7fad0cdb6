package control

import (
	"sync/atomic"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/metrics"
	"vetchstream/internal/place"
	"vetchstream/internal/wire"
)

// reconcileTimeout is how long a takeover waits for all machines before it places
// around the silent ones.
const reconcileTimeout = 700 * time.Millisecond

// takeover loads what earlier leaders have left, and knows which of their
// machines may still run what it has not seen.
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

	allReconciled    bool // every machine of earlier leaders is settled
	inherited        []*fleet.Host
	unlisted         map[string]bool // machines of earlier leaders that the cloud's list lacks
	placementAllowed bool            // work may be placed around the machines that have not been heard of
	silentHandled    bool            // the silent machines of a takeover have been dealt with
	recordsLoaded    atomic.Bool
	phases           takeoverPhases
}

// takeoverPhases are when a takeover came how far; zero: not yet. They are told in one
// line, once the takeover is over.
type takeoverPhases struct {
	loaded, contacted, reconciled, firstLaunch time.Time
	machines, jobs, tasks                      int
	logged                                     bool
}

// contactedPercent is the part of the machines, in percent, that must have answered for
// the fleet to count as met: a few are always gone.
const contactedPercent = 95

// firstLaunchTimeout is how long the line waits for a first launch: there may be no work.
const firstLaunchTimeout = 30 * time.Second

// logPhases logs how long the takeover took, by phase: without a leader, reading the
// records, meeting the workers, the first launch, the last machine.
func (tk *takeover) logPhases(now time.Time) {
	p := &tk.phases
	if p.logged || p.reconciled.IsZero() || (p.firstLaunch.IsZero() && now.Sub(tk.termStart) < firstLaunchTimeout) {
		return
	}
	p.logged = true
	ms := func(at time.Time) int64 {
		if at.IsZero() {
			return -1
		}
		return at.Sub(tk.termStart).Milliseconds()
	}
	lease := int64(-1)
	if !tk.lastLeaderSeen.IsZero() {
		lease = tk.termStart.Sub(tk.lastLeaderSeen).Milliseconds()
	}
	for phase, at := range map[string]time.Time{"loaded": p.loaded, "met": p.contacted, "launch": p.firstLaunch, "settled": p.reconciled} {
		if !at.IsZero() {
			tk.controller.Meter.Took(metrics.TakeoverTime, phase, at.Sub(tk.termStart))
		}
	}
	tk.log.Info("takeover", "lease_ms", lease, "loaded_ms", ms(p.loaded), "met_ms", ms(p.contacted), "launch_ms", ms(p.firstLaunch),
		"settled_ms", ms(p.reconciled), "machines", p.machines, "jobs", p.jobs, "tasks", p.tasks)
}

// recordLaunches notes that launches have left.
func (tk *takeover) recordLaunches(n int, now time.Time) {
	tk.controller.Meter.Add(metrics.Launches, "", n)
	if n > 0 && tk.phases.firstLaunch.IsZero() {
		tk.phases.firstLaunch = now
	}
}

// loaded reports whether the records of earlier leaders are read; any goroutine
// may ask.
func (tk *takeover) loaded() bool { return tk.recordsLoaded.Load() }

// reconciled reports whether every machine of earlier leaders is settled: nothing
// is on them but what this term has seen.
func (tk *takeover) reconciled() bool { return tk.allReconciled }

// mayPlace reports whether work may be placed around the machines that have not been heard
// of: what they may run is known.
func (tk *takeover) mayPlace() bool { return tk.placementAllowed }

// reconcile looks at the machines of earlier leaders and reports whether work may
// be placed around those that have not been heard of.
func (tk *takeover) reconcile(now time.Time) bool {
	tk.logPhases(now)
	if tk.allReconciled {
		return true
	}
	tk.inherited = tk.fleet.Settle()
	if p := &tk.phases; p.contacted.IsZero() && 100*len(tk.inherited) <= (100-contactedPercent)*p.machines {
		p.contacted = now
	}
	for _, h := range tk.inherited {
		// What it may take of a team's limit is not known; and give the others
		// the time of a round trip before the plan is made without them.
		if !h.Known || now.Sub(tk.contactStart()) < reconcileTimeout {
			return false
		}
	}
	if now.Sub(tk.contactStart()) > answerTimeout {
		for _, h := range tk.inherited {
			if tk.unlisted[h.Name] && !h.Releasing {
				tk.machinePool.release(h, "an earlier leader has returned it")
			}
		}
	}
	if len(tk.inherited) > 0 && !tk.silentHandled && now.Sub(tk.contactStart()) > tk.silentTimeout() {
		tk.silentHandled = true
		tk.releaseSilent()
	}
	tk.placementAllowed = true
	if len(tk.inherited) == 0 {
		tk.allReconciled, tk.phases.reconciled = true, now
		tk.log.Info("every machine is settled", "after", now.Sub(tk.termStart).Round(time.Millisecond))
	}
	return true
}

// blockedJobs are the jobs that a machine of an earlier leader may still run, and
// that must wait until it is settled. What such a machine may run counts in full
// against the limit of every team that may have work there.
func (tk *takeover) blockedJobs(teams []place.Team) map[*job.Job]bool {
	out := map[*job.Job]bool{}
	for _, h := range tk.inherited {
		used := map[int]bool{}
		for _, past := range h.InheritedJobs {
			if j := tk.jobTable.get(past.ID); j != nil {
				out[j] = true
			}
			if past.Team >= 0 {
				used[past.Team] = true
				continue
			}
			for t := range teams {
				used[t] = true // its team is not known here: it may be any
			}
		}
		t := &tk.nameIndex.list()[h.Type]
		for i := range used {
			teams[i].Used.CPUs += t.CPUs
			teams[i].Used.GPUs += t.GPUs
		}
	}
	return out
}

// maxSilentTimeout is after what time without a word a machine of an earlier leader is
// held to be silent, at the latest; silentLeast at the soonest. In between it is
// after twice the time in which nearly all others have answered: that grows with
// the fleet, and where the controller is slow.
const (
	minSilentTimeout = 1200 * time.Millisecond
	maxSilentTimeout = 3 * time.Second
)

// contactStart is when the workers could first be called: an outage of the state service
// can hold up the loading for longer than every wait for them.
func (tk *takeover) contactStart() time.Time {
	if tk.phases.loaded.IsZero() {
		return tk.termStart
	}
	return tk.phases.loaded
}

// silentTimeout is after what time a machine is held to be silent.
func (tk *takeover) silentTimeout() time.Duration {
	if tk.phases.contacted.IsZero() {
		return maxSilentTimeout
	}
	return min(max(minSilentTimeout, 2*tk.phases.contacted.Sub(tk.contactStart())), maxSilentTimeout)
}

// silentReleaseDivisor is the part of the fleet that a takeover gives up for being silent. A
// cut or a hang takes more at a time, and its machines come back with their work.
const silentReleaseDivisor = 40

// answerTimeout is what a machine that is there takes to answer after a takeover.
const answerTimeout = time.Second

// compareListing compares the machines of earlier leaders with the cloud's list. One that
// it lacks, although it has later ones, was gone when the list was made: names are
// listed in the order in which machines were made, and a machine stays listed
// until it is gone. An earlier leader has returned it and could not strike it off
// the registry any more. It is returned once more, which settles it; if the list
// were wrong, work would be lost and no rule broken.
func (tk *takeover) compareListing(list []wire.CloudHost) {
	if tk.allReconciled || len(list) == 0 {
		return
	}
	there := make(map[string]bool, len(list))
	for i := range list {
		there[list[i].Name] = true
	}
	last := list[len(list)-1].Name
	tk.unlisted = map[string]bool{}
	for _, h := range tk.fleet.All() {
		if h.Inherited && !there[h.Name] && h.Name < last {
			tk.unlisted[h.Name] = true
		}
	}
}

// releaseSilent deals with the machines that a takeover still waits for. In a large
// fleet some spot machines are always gone without a word, and the jobs noted for
// them, which are the large ones, would wait for a full lease after each change of
// leader. A few are given back: once the cloud has answered, nothing is on them.
func (tk *takeover) releaseSilent() {
	jobs := map[string]bool{}
	for _, h := range tk.inherited {
		for _, past := range h.InheritedJobs {
			if j := tk.jobTable.get(past.ID); j != nil && j.Phase == "" {
				jobs[past.ID] = true
			}
		}
	}
	tk.log.Info("machines are silent, their jobs wait", "machines", len(tk.inherited), "of", len(tk.fleet.Hosts), "jobs", len(jobs))
	if len(jobs) == 0 || len(tk.inherited) > max(1, len(tk.fleet.Hosts)/silentReleaseDivisor) {
		return
	}
	for _, h := range tk.inherited {
		if !h.Releasing {
			tk.machinePool.release(h, "it is silent after a change of leader, and jobs wait for it")
		}
	}
}
