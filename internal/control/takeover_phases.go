package control

import (
	"time"

	"vetchstream/internal/metrics"
)

const (
	// contactedPercent is the share of the machines, in percent, that must have
	// answered for the fleet to count as contacted: a few are always gone.
	contactedPercent = 95

	// firstLaunchTimeout is how long the summary of a takeover waits for a first
	// launch: there may be no work.
	firstLaunchTimeout = 30 * time.Second

	// notReachedMS stands in the summary for a phase that was not reached.
	notReachedMS = -1
)

// takeoverPhases are the times at which a takeover reached each phase; zero: not
// yet. They are logged in one line, once the takeover is over.
type takeoverPhases struct {
	loaded      time.Time // the stored records are read
	contacted   time.Time // nearly all workers have answered
	reconciled  time.Time // no machine may run what is not known here
	firstLaunch time.Time

	machines int // that were loaded, as are jobs and tasks
	jobs     int
	tasks    int

	logged bool
}

// recordLaunches notes that n launches have been sent.
func (tk *takeover) recordLaunches(n int, now time.Time) {
	tk.controller.Meter.Add(metrics.TaskLaunches, "", n)
	if n > 0 && tk.phases.firstLaunch.IsZero() {
		tk.phases.firstLaunch = now
	}
}

// logPhases logs once how long the phases of the takeover took: without a leader,
// reading the records, contacting the workers, the first launch, the last machine.
func (tk *takeover) logPhases(now time.Time) {
	p := &tk.phases
	if p.logged || p.reconciled.IsZero() || (p.firstLaunch.IsZero() && now.Sub(tk.termStart) < firstLaunchTimeout) {
		return
	}
	p.logged = true
	tk.measurePhases()
	tk.log.Info("takeover phases",
		"leaderless_ms", tk.leaderlessMS(),
		"loaded_ms", tk.sinceStartMS(p.loaded),
		"contacted_ms", tk.sinceStartMS(p.contacted),
		"first_launch_ms", tk.sinceStartMS(p.firstLaunch),
		"reconciled_ms", tk.sinceStartMS(p.reconciled),
		"machines", p.machines,
		"jobs", p.jobs,
		"tasks", p.tasks)
}

// measurePhases feeds the phases that were reached into the metrics.
func (tk *takeover) measurePhases() {
	p := &tk.phases
	for phase, at := range map[string]time.Time{
		"loaded":  p.loaded,
		"met":     p.contacted,
		"launch":  p.firstLaunch,
		"settled": p.reconciled,
	} {
		if !at.IsZero() {
			tk.controller.Meter.Observe(metrics.TakeoverTime, phase, at.Sub(tk.termStart))
		}
	}
}

// sinceStartMS is the time from the start of the term, in milliseconds.
func (tk *takeover) sinceStartMS(at time.Time) int64 {
	if at.IsZero() {
		return notReachedMS
	}
	return at.Sub(tk.termStart).Milliseconds()
}

// leaderlessMS is the time from when the previous leader was last heard to the start of
// the term, in milliseconds.
func (tk *takeover) leaderlessMS() int64 {
	if tk.lastLeaderSeen.IsZero() {
		return notReachedMS
	}
	return tk.termStart.Sub(tk.lastLeaderSeen).Milliseconds()
}
