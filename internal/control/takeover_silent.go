package control

import (
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/wire"
)

// A machine of an earlier leader counts as silent after twice the time in which nearly
// all others have answered, within these bounds. The timeout follows that time because
// it is longer for a large fleet and on a slow controller.
const (
	minSilentTimeout = 1200 * time.Millisecond
	maxSilentTimeout = 3 * time.Second
)

const (
	// answerTimeout is the maximum time that a running machine takes to answer after a
	// takeover.
	answerTimeout = time.Second

	// silentReleaseDivisor limits the silent machines that a takeover releases to
	// 1/silentReleaseDivisor of the fleet. A network partition or a hang affects more
	// machines at a time, and those machines resume with their tasks.
	silentReleaseDivisor = 40
)

// contactStart returns the time from which the workers could be contacted. This is when
// the records were loaded, because an outage of the key-value store can delay the load
// for longer than every timeout of the takeover.
func (tk *takeover) contactStart() time.Time {
	if tk.phases.loaded.IsZero() {
		return tk.termStart
	}
	return tk.phases.loaded
}

// silentTimeout returns the time after contactStart from which a machine without an
// answer counts as silent.
func (tk *takeover) silentTimeout() time.Duration {
	if tk.phases.contacted.IsZero() {
		return maxSilentTimeout
	}
	contactTime := tk.phases.contacted.Sub(tk.contactStart())
	return min(max(minSilentTimeout, 2*contactTime), maxSilentTimeout)
}

// compareListing compares the machines of earlier leaders with the cloud's list. The
// list is in the order of creation, and a machine stays on it until it has ended. A
// machine that is missing although a later one is listed had therefore ended before the
// list was made: an earlier leader released it and could not remove it from the
// registry. Releasing it again reconciles it. If the list were wrong, tasks would be
// lost, but no safety invariant would be violated.
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
	for _, machine := range tk.fleet.All() {
		if machine.Inherited && !listed[machine.Name] && machine.Name < last {
			tk.unlisted[machine.Name] = true
		}
	}
}

// releaseUnlisted releases the machines that the cloud does not list, after the time in
// which a running machine would have answered.
func (tk *takeover) releaseUnlisted(now time.Time) {
	if now.Sub(tk.contactStart()) <= answerTimeout {
		return
	}
	for _, machine := range tk.inherited {
		if tk.unlisted[machine.Name] && !machine.Releasing {
			tk.machinePool.release(machine, "an earlier leader released it")
		}
	}
}

// releaseSilent handles the machines that have not answered the takeover in time. In a
// large fleet some spot machines have always disappeared without notice, and the jobs
// recorded for them, which are the large ones, would wait for a full lease after each
// change of leader. A small number of silent machines is released: once the cloud has
// confirmed the release, no task runs there.
func (tk *takeover) releaseSilent() {
	jobs := tk.activeJobsOn(tk.inherited)
	machines := len(tk.fleet.Machines)
	tk.log.Info("machines are silent after a takeover, their jobs are blocked", "machines", len(tk.inherited), "all_machines", machines, "jobs", jobs)
	if jobs == 0 || len(tk.inherited) > max(1, machines/silentReleaseDivisor) {
		return
	}
	for _, machine := range tk.inherited {
		if !machine.Releasing {
			tk.machinePool.release(machine, "it is silent after a takeover and blocks jobs")
		}
	}
}

// activeJobsOn counts the active jobs that earlier leaders have recorded for the
// machines.
func (tk *takeover) activeJobsOn(machines []*fleet.Machine) int {
	jobs := map[string]bool{}
	for _, machine := range machines {
		for _, inheritedJob := range machine.InheritedJobs {
			if j := tk.jobTable.get(inheritedJob.ID); j != nil && j.Phase == "" {
				jobs[inheritedJob.ID] = true
			}
		}
	}
	return len(jobs)
}
