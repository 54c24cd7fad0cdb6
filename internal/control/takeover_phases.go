package control

import (
	"time"

	"vetchstream/internal/metrics"
)

const (
	// contactedPercent is the percentage of the machines that must have answered for
	// the fleet to count as contacted. It is below 100 because a few machines are
	// always down.
	contactedPercent = 95

	// firstLaunchTimeout is how long the summary of a takeover waits for the first
	// launch, as there may be no task to launch.
	firstLaunchTimeout = 30 * time.Second

	// notReachedMS is logged for a phase that was not reached.
	notReachedMS = -1
)

// takeoverPhases holds the times at which a takeover reached each phase. A time is zero
// until its phase is reached. All are logged in one line at the end of the takeover.
type takeoverPhases struct {
	loaded      time.Time // the stored records are loaded
	contacted   time.Time // nearly all workers have answered
	reconciled  time.Time // no machine can run a task that this term does not know
	firstLaunch time.Time

	machines int // numbers of loaded machines, jobs and unfinished tasks
	jobs     int
	tasks    int

	logged bool
}

// recordLaunches counts n launches that were sent, and records the time of the first
// launch of the term.
func (tk *takeover) recordLaunches(n int, now time.Time) {
	tk.controller.Meter.Add(metrics.TaskLaunches, "", n)
	if n > 0 && tk.phases.firstLaunch.IsZero() {
		tk.phases.firstLaunch = now
	}
}

// logPhases logs once how long each phase of the takeover took: the time without a
// leader, loading the records, contacting the workers, the first launch, and
// reconciling the last machine.
func (tk *takeover) logPhases(now time.Time) {
	phases := &tk.phases
	if phases.logged || phases.reconciled.IsZero() || (phases.firstLaunch.IsZero() && now.Sub(tk.termStart) < firstLaunchTimeout) {
		return
	}
	phases.logged = true
	tk.observePhases()
	tk.log.Info("takeover phases",
		"leaderless_ms", tk.leaderlessMS(),
		"loaded_ms", tk.sinceStartMS(phases.loaded),
		"contacted_ms", tk.sinceStartMS(phases.contacted),
		"first_launch_ms", tk.sinceStartMS(phases.firstLaunch),
		"reconciled_ms", tk.sinceStartMS(phases.reconciled),
		"machines", phases.machines,
		"jobs", phases.jobs,
		"tasks", phases.tasks)
}

// observePhases adds the times of the phases that were reached to the metrics.
func (tk *takeover) observePhases() {
	phases := &tk.phases
	for phase, at := range map[string]time.Time{
		"loaded":  phases.loaded,
		"met":     phases.contacted,
		"launch":  phases.firstLaunch,
		"settled": phases.reconciled,
	} {
		if !at.IsZero() {
			tk.controller.Meter.Observe(metrics.TakeoverTime, phase, at.Sub(tk.termStart))
		}
	}
}

// sinceStartMS returns the time from the start of the term in milliseconds, or
// notReachedMS if at is zero.
func (tk *takeover) sinceStartMS(at time.Time) int64 {
	if at.IsZero() {
		return notReachedMS
	}
	return at.Sub(tk.termStart).Milliseconds()
}

// leaderlessMS returns the time in milliseconds between the last sign of the previous
// leader and the start of the term, or notReachedMS if there was no such sign.
func (tk *takeover) leaderlessMS() int64 {
	if tk.lastLeaderSeen.IsZero() {
		return notReachedMS
	}
	return tk.termStart.Sub(tk.lastLeaderSeen).Milliseconds()
}
