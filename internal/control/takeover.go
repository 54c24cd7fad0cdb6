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

// settleTime is how long a takeover waits for all machines before it places
// around the silent ones.
const settleTime = 700 * time.Millisecond

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

	ready     bool // every machine of earlier leaders is settled
	inherited []*fleet.Host
	missing   map[string]bool // machines of earlier leaders that the cloud's list lacks
	placeable bool            // work may be placed around the machines that have not been heard of
	metSilent bool            // the silent machines of a takeover have been dealt with
	read      atomic.Bool
	phases    phases
}

// phases are when a takeover came how far; zero: not yet. They are told in one
// line, once the takeover is over.
type phases struct {
	load, meet, settle, launch time.Time
	machines, jobs, tasks      int
	told                       bool
}

// metShare is the part of the machines, in percent, that must have answered for
// the fleet to count as met: a few are always gone.
const metShare = 95

// tellAfter is how long the line waits for a first launch: there may be no work.
const tellAfter = 30 * time.Second

// tell logs how long the takeover took, by phase: without a leader, reading the
// records, meeting the workers, the first launch, the last machine.
func (tk *takeover) tell(now time.Time) {
	p := &tk.phases
	if p.told || p.settle.IsZero() || (p.launch.IsZero() && now.Sub(tk.since) < tellAfter) {
		return
	}
	p.told = true
	ms := func(at time.Time) int64 {
		if at.IsZero() {
			return -1
		}
		return at.Sub(tk.since).Milliseconds()
	}
	lease := int64(-1)
	if !tk.alive.IsZero() {
		lease = tk.since.Sub(tk.alive).Milliseconds()
	}
	for phase, at := range map[string]time.Time{"loaded": p.load, "met": p.meet, "launch": p.launch, "settled": p.settle} {
		if !at.IsZero() {
			tk.c.Meter.Took(metrics.TakeoverTime, phase, at.Sub(tk.since))
		}
	}
	tk.log.Info("takeover", "lease_ms", lease, "loaded_ms", ms(p.load), "met_ms", ms(p.meet), "launch_ms", ms(p.launch),
		"settled_ms", ms(p.settle), "machines", p.machines, "jobs", p.jobs, "tasks", p.tasks)
}

// launched notes that launches have left.
func (tk *takeover) launched(n int, now time.Time) {
	tk.c.Meter.Add(metrics.Launches, "", n)
	if n > 0 && tk.phases.launch.IsZero() {
		tk.phases.launch = now
	}
}

// loaded reports whether the records of earlier leaders are read; any goroutine
// may ask.
func (tk *takeover) loaded() bool { return tk.read.Load() }

// settled reports whether every machine of earlier leaders is settled: nothing
// is on them but what this term has seen.
func (tk *takeover) settled() bool { return tk.ready }

// around reports whether work may be placed around the machines that have not been heard
// of: what they may run is known.
func (tk *takeover) around() bool { return tk.placeable }

// settle looks at the machines of earlier leaders and reports whether work may
// be placed around those that have not been heard of.
func (tk *takeover) settle(now time.Time) bool {
	tk.tell(now)
	if tk.ready {
		return true
	}
	tk.inherited = tk.fleet.Settle()
	if p := &tk.phases; p.meet.IsZero() && 100*len(tk.inherited) <= (100-metShare)*p.machines {
		p.meet = now
	}
	for _, h := range tk.inherited {
		// What it may take of a team's limit is not known; and give the others
		// the time of a round trip before the plan is made without them.
		if !h.Known || now.Sub(tk.begun()) < settleTime {
			return false
		}
	}
	if now.Sub(tk.begun()) > meetTime {
		for _, h := range tk.inherited {
			if tk.missing[h.Name] && !h.Releasing {
				tk.machinePool.release(h, "an earlier leader has returned it")
			}
		}
	}
	if len(tk.inherited) > 0 && !tk.metSilent && now.Sub(tk.begun()) > tk.silentTime() {
		tk.metSilent = true
		tk.silent()
	}
	tk.placeable = true
	if len(tk.inherited) == 0 {
		tk.ready, tk.phases.settle = true, now
		tk.log.Info("every machine is settled", "after", now.Sub(tk.since).Round(time.Millisecond))
	}
	return true
}

// blocked are the jobs that a machine of an earlier leader may still run, and
// that must wait until it is settled. What such a machine may run counts in full
// against the limit of every team that may have work there.
func (tk *takeover) blocked(teams []place.Team) map[*job.Job]bool {
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
		t := &tk.nameIndex.machineTypes()[h.Type]
		for i := range used {
			teams[i].Used.CPUs += t.CPUs
			teams[i].Used.GPUs += t.GPUs
		}
	}
	return out
}

// silentMost is after what time without a word a machine of an earlier leader is
// held to be silent, at the latest; silentLeast at the soonest. In between it is
// after twice the time in which nearly all others have answered: that grows with
// the fleet, and where the controller is slow.
const (
	silentLeast = 1200 * time.Millisecond
	silentMost  = 3 * time.Second
)

// begun is when the workers could first be called: an outage of the state service
// can hold up the loading for longer than every wait for them.
func (tk *takeover) begun() time.Time {
	if tk.phases.load.IsZero() {
		return tk.since
	}
	return tk.phases.load
}

// silentTime is after what time a machine is held to be silent.
func (tk *takeover) silentTime() time.Duration {
	if tk.phases.meet.IsZero() {
		return silentMost
	}
	return min(max(silentLeast, 2*tk.phases.meet.Sub(tk.begun())), silentMost)
}

// fewSilent is the part of the fleet that a takeover gives up for being silent. A
// cut or a hang takes more at a time, and its machines come back with their work.
const fewSilent = 40

// meetTime is what a machine that is there takes to answer after a takeover.
const meetTime = time.Second

// listed compares the machines of earlier leaders with the cloud's list. One that
// it lacks, although it has later ones, was gone when the list was made: names are
// listed in the order in which machines were made, and a machine stays listed
// until it is gone. An earlier leader has returned it and could not strike it off
// the registry any more. It is returned once more, which settles it; if the list
// were wrong, work would be lost and no rule broken.
func (tk *takeover) listed(list []wire.CloudHost) {
	if tk.ready || len(list) == 0 {
		return
	}
	there := make(map[string]bool, len(list))
	for i := range list {
		there[list[i].Name] = true
	}
	last := list[len(list)-1].Name
	tk.missing = map[string]bool{}
	for _, h := range tk.fleet.All() {
		if h.Inherited && !there[h.Name] && h.Name < last {
			tk.missing[h.Name] = true
		}
	}
}

// silent deals with the machines that a takeover still waits for. In a large
// fleet some spot machines are always gone without a word, and the jobs noted for
// them, which are the large ones, would wait for a full lease after each change of
// leader. A few are given back: once the cloud has answered, nothing is on them.
func (tk *takeover) silent() {
	jobs := map[string]bool{}
	for _, h := range tk.inherited {
		for _, past := range h.InheritedJobs {
			if j := tk.jobTable.get(past.ID); j != nil && j.Phase == "" {
				jobs[past.ID] = true
			}
		}
	}
	tk.log.Info("machines are silent, their jobs wait", "machines", len(tk.inherited), "of", len(tk.fleet.Hosts), "jobs", len(jobs))
	if len(jobs) == 0 || len(tk.inherited) > max(1, len(tk.fleet.Hosts)/fewSilent) {
		return
	}
	for _, h := range tk.inherited {
		if !h.Releasing {
			tk.machinePool.release(h, "it is silent after a change of leader, and jobs wait for it")
		}
	}
}
