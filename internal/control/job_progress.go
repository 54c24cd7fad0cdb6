package control

import (
	"fmt"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/metrics"
)

// stallReason is why a job makes no progress. It is a label of metrics.StalledJobs.
type stallReason string

// The reasons.
const (
	stallRecordUnread  stallReason = "record unread"   // the job's record has not been read
	stallEnding        stallReason = "end not stored"  // the job's final record has not been stored
	stallTakeover      stallReason = "takeover"        // no task may be placed until the machines have been contacted
	stallBlocked       stallReason = "silent machine"  // a silent machine of an earlier leader may run its tasks
	stallUnknownTeam   stallReason = "unknown team"    // the team is not in the configuration
	stallBackoff       stallReason = "backoff"         // its tasks have failed, the next launch is delayed
	stallReservation   stallReason = "reservation"     // it waits for the start of its reservation
	stallGangStopping  stallReason = "gang stopping"   // members of its last attempt have not ended
	stallTasksOnFleet  stallReason = "on machines"     // all unfinished tasks are on machines
	stallNotAssignable stallReason = "no machine fits" // the plans find no machine for its tasks
)

// stallReasons lists all reasons.
var stallReasons = [...]stallReason{
	stallRecordUnread, stallEnding, stallTakeover, stallBlocked, stallUnknownTeam,
	stallBackoff, stallReservation, stallGangStopping, stallTasksOnFleet, stallNotAssignable,
}

const (
	// progressCheckInterval is the time between two checks of all jobs.
	progressCheckInterval = 5 * time.Second
	// A job counts as stalled after stallMargin and stallRunTimes times the estimated run
	// time of a task. Estimates are often wrong by half.
	stallMargin   = time.Minute
	stallRunTimes = 3
	// maxLoggedSlots bounds the placements in the log line of a job.
	maxLoggedSlots = 5
)

// progressMonitor finds the active jobs that make no progress, counts them by reason and
// logs each of them once.
type progressMonitor struct {
	*core
	jobTable      *jobTable
	takeover      *takeover
	calendarStore *calendarStore

	progress    map[*job.Job]*jobProgress
	nextCheckAt time.Time
}

// jobProgress is what was last seen of a job's progress.
type jobProgress struct {
	done   int       // completed tasks
	placed int       // tasks on machines
	last   time.Time // last placement
	since  time.Time // time from which these have not changed
	logged bool
}

func newProgressMonitor(co *core) *progressMonitor {
	return &progressMonitor{core: co, progress: map[*job.Job]*jobProgress{}}
}

// check checks all jobs if a check is due.
func (pm *progressMonitor) check(now time.Time) {
	if now.Before(pm.nextCheckAt) {
		return
	}
	pm.nextCheckAt = now.Add(progressCheckInterval)
	stalled := map[stallReason]int{}
	for _, j := range pm.jobTable.all() {
		progress := pm.observe(j, now)
		if !isStalled(j, progress, now) {
			continue
		}
		reason := pm.reason(j, now)
		stalled[reason]++
		if !progress.logged {
			progress.logged = true
			pm.logStalled(j, reason, now.Sub(progress.since))
		}
	}
	for j := range pm.progress {
		if pm.jobTable.index(j) == 0 {
			delete(pm.progress, j)
		}
	}
	for _, reason := range stallReasons {
		pm.controller.Meter.SetLabeled(metrics.StalledJobs, string(reason), stalled[reason])
	}
}

// observe updates what is known of a job's progress.
func (pm *progressMonitor) observe(j *job.Job, now time.Time) *jobProgress {
	progress := pm.progress[j]
	if progress == nil || progress.done != j.DoneCount || progress.placed != len(j.Live) || !progress.last.Equal(j.WaitingSince) {
		progress = &jobProgress{done: j.DoneCount, placed: len(j.Live), last: j.WaitingSince, since: now}
		pm.progress[j] = progress
	}
	return progress
}

// isStalled reports whether a job should have made progress. The replicas of a service run
// until it is cancelled.
func isStalled(j *job.Job, progress *jobProgress, now time.Time) bool {
	if j.Phase != "" || (j.Shape == job.Service && j.CountUnplaced() == 0) {
		return false
	}
	limit := stallMargin + time.Duration(stallRunTimes*runTimeEstimate(j)*float64(time.Second))
	return now.Sub(progress.since) >= limit
}

// reason returns why a job makes no progress.
func (pm *progressMonitor) reason(j *job.Job, now time.Time) stallReason {
	switch {
	case pm.jobTable.isUnidentified(j):
		return stallRecordUnread
	case j.EndingPhase != "":
		return stallEnding
	case j.CountUnplaced() == 0:
		return stallTasksOnFleet
	case !pm.takeover.reconciled() && !pm.takeover.mayPlace():
		return stallTakeover
	case pm.takeover.blocks(j):
		return stallBlocked
	case j.TeamIdx < 0:
		return stallUnknownTeam
	case now.Before(j.NotBefore):
		return stallBackoff
	case pm.calendarStore.waitsForStart(j, now):
		return stallReservation
	case j.Shape == job.Gang && (j.GangStopping || j.GangStarted):
		return stallGangStopping
	}
	return stallNotAssignable
}

// logStalled logs a job that makes no progress, with some of its tasks on machines.
func (pm *progressMonitor) logStalled(j *job.Job, reason stallReason, stalledFor time.Duration) {
	var slots []string
	for slot := range pm.fleet.SlotsOf(j) {
		if slot.Active() && len(slots) < maxLoggedSlots {
			slots = append(slots, describeSlot(slot))
		}
	}
	pm.log.Warn("job makes no progress", "job", j.ID, "reason", reason, "for", stalledFor.Round(time.Second), "tasks", j.Tasks,
		"done", j.DoneCount, "unplaced", j.CountUnplaced(), "placements", slots)
}

// describeSlot describes a placement for the log.
func describeSlot(slot *fleet.Slot) string {
	phase := string(slot.Phase)
	switch {
	case !slot.LaunchSent:
		phase = "launch not sent"
	case phase == "":
		phase = "launch sent"
	}
	return fmt.Sprintf("%s on %s: %s, placed at %s", job.TaskName(slot.Job.ID, slot.Task), slot.Machine.Name, phase, slot.PlacedAt.Format(time.TimeOnly))
}
