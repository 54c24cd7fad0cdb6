package control

import (
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/wire"
)

// A machine of an earlier leader counts as silent after twice the time in which
// nearly all others have answered, within these bounds: that time grows with the
// fleet, and where the controller is slow.
const (
	minSilentTimeout = 1200 * time.Millisecond
	maxSilentTimeout = 3 * time.Second
)

const (
	// answerTimeout is how long a machine that is up takes at most to answer after a
	// takeover.
	answerTimeout = time.Second

	// silentReleaseDivisor bounds the machines that a takeover releases for being
	// silent to one in so many. A network partition or a hang takes more at a time,
	// and its machines come back with their work.
	silentReleaseDivisor = 40
)

// contactStart is when the workers could first be called: an outage of the state
// service can delay the loading for longer than every timeout of the takeover.
func (tk *takeover) contactStart() time.Time {
	if tk.phases.loaded.IsZero() {
		return tk.termStart
	}
	return tk.phases.loaded
}

// silentTimeout is the time from contactStart after which a machine counts as
// silent.
func (tk *takeover) silentTimeout() time.Duration {
	if tk.phases.contacted.IsZero() {
		return maxSilentTimeout
	}
	contactTime := tk.phases.contacted.Sub(tk.contactStart())
	return min(max(minSilentTimeout, 2*contactTime), maxSilentTimeout)
}

// compareListing compares the machines of earlier leaders with the cloud's list. One
// that is not listed, although later ones are, was gone when the list was made:
// machines are listed in the order in which they were created, and stay listed until
// they are gone. An earlier leader has released it and could not remove it from the
// registry any more. It is released once more, which reconciles it; if the list were
// wrong, work would be lost and no rule broken.
func (tk *takeover) compareListing(list []wire.CloudMachine) {
	if tk.allReconciled || len(list) == 0 {
		return
	}
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].Name] = true
	}
	last := list[len(list)-1].Name
	tk.unlisted = map[string]bool{}
	for _, h := range tk.fleet.All() {
		if h.Inherited && !listed[h.Name] && h.Name < last {
			tk.unlisted[h.Name] = true
		}
	}
}

// releaseUnlisted releases the machines that the cloud does not list, once they have
// had the time to answer.
func (tk *takeover) releaseUnlisted(now time.Time) {
	if now.Sub(tk.contactStart()) <= answerTimeout {
		return
	}
	for _, h := range tk.inherited {
		if tk.unlisted[h.Name] && !h.Releasing {
			tk.machinePool.release(h, "an earlier leader released it")
		}
	}
}

// releaseSilent handles the machines that a takeover still waits for. In a large
// fleet some spot machines are always gone without notice, and the jobs noted for
// them, which are the large ones, would wait for a full lease after each change of
// leader. A few are released: once the cloud has answered, nothing is on them.
func (tk *takeover) releaseSilent() {
	jobs := tk.activeJobsOn(tk.inherited)
	machines := len(tk.fleet.Machines)
	tk.log.Info("machines are silent after a takeover, their jobs are blocked", "machines", len(tk.inherited), "all_machines", machines, "jobs", jobs)
	if jobs == 0 || len(tk.inherited) > max(1, machines/silentReleaseDivisor) {
		return
	}
	for _, h := range tk.inherited {
		if !h.Releasing {
			tk.machinePool.release(h, "it is silent after a takeover and blocks jobs")
		}
	}
}

// activeJobsOn counts the active jobs that earlier leaders have noted for machines.
func (tk *takeover) activeJobsOn(machines []*fleet.Machine) int {
	jobs := map[string]bool{}
	for _, h := range machines {
		for _, past := range h.InheritedJobs {
			if j := tk.jobTable.get(past.ID); j != nil && j.Phase == "" {
				jobs[past.ID] = true
			}
		}
	}
	return len(jobs)
}
