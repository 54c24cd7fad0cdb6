package emulate

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// invariantChecker records the phases that were reported to users, the tasks that have run and the
// violations of the protocol's invariants. The world's lock guards it.
type invariantChecker struct {
	users      userObservations
	violations []string

	reportedPhase  map[string]wire.JobPhase  // by job: the final phase last reported to a user, or phaseAccepted
	cancelledAt    map[string]time.Time      // by job: time of the first response that confirmed its cancellation
	completedTasks map[string]map[int32]bool // by job: indexes of its tasks that are done

	starts                  int
	startsAfterCancellation int            // starts of tasks after the cancellation of their job was confirmed
	tasksLost               int            // tasks that were running when their machine was lost or its lease expired
	heartbeatsAnswered      map[string]int // by controller
	directCommands          int
	// overdueLaunches counts the launch commands sent directly that reached a worker after the
	// cancel timeout of their job, overdueExecuted those of them that the worker executed.
	overdueLaunches, overdueExecuted int
	// blockedCommands counts the direct requests that currently wait at hanging machines,
	// maxBlockedCommands is the highest count so far.
	blockedCommands, maxBlockedCommands int
	// unansweredTime has the times in milliseconds from a worker's first unanswered heartbeat to its
	// next answered one.
	unansweredTime *hdrhistogram.Histogram
}

// phaseAccepted is the reported phase of an accepted job without a reported final phase.
const phaseAccepted = "accepted"

func newInvariantChecker() invariantChecker {
	return invariantChecker{
		users:              newUserObservations(),
		reportedPhase:      map[string]wire.JobPhase{},
		cancelledAt:        map[string]time.Time{},
		completedTasks:     map[string]map[int32]bool{},
		heartbeatsAnswered: map[string]int{},
		unansweredTime:     hdrhistogram.New(1, time.Hour.Milliseconds(), 3),
	}
}

// maxViolations bounds the list of violations because a single fault can cause thousands.
const maxViolations = 20

// addViolation records and logs a violated invariant; the caller holds the lock.
func (w *World) addViolation(format string, args ...any) {
	if len(w.checker.violations) < maxViolations {
		violation := fmt.Sprintf(format, args...)
		w.checker.violations = append(w.checker.violations, violation)
		w.cfg.Log.Error("invariant violated", "violation", violation)
	}
}

// ReportViolation records a violated invariant that a user has observed.
func (w *World) ReportViolation(format string, args ...any) {
	w.mu.Lock()
	w.addViolation(format, args...)
	w.mu.Unlock()
}

// Violations returns the violations recorded so far, at most maxViolations.
func (w *World) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.checker.violations)
}

// recordDirectCommands counts the launch commands that reach a worker directly after the cancel
// timeout of their job; the caller holds the lock.
func (w *World) recordDirectCommands(commands []wire.Command, executed bool) {
	for _, command := range commands {
		id, _, ok := job.SplitTaskName(command.Task)
		if !ok || command.Verb != wire.CommandLaunch {
			continue
		}
		if at, cancelled := w.checker.cancelledAt[id]; cancelled && time.Since(at) > w.cfg.CancelTimeout {
			w.checker.overdueLaunches++
			if executed {
				w.checker.overdueExecuted++
			}
		}
	}
}

// UnfinishedJobs returns the jobs without a reported final phase, with the phase that was last
// reported.
func (w *World) UnfinishedJobs() map[string]wire.JobPhase {
	w.mu.Lock()
	defer w.mu.Unlock()
	unfinished := map[string]wire.JobPhase{}
	for id := range w.specs {
		if phase := w.checker.reportedPhase[id]; !phase.Final() {
			unfinished[id] = phase
		}
	}
	return unfinished
}

// JobAccepted records that a controller has accepted a user's job.
func (w *World) JobAccepted(id string) {
	w.mu.Lock()
	w.checker.reportedPhase[id] = phaseAccepted
	w.checker.users.acceptedAt[id] = time.Now()
	w.mu.Unlock()
}

// CancellationAnswered records the phase in the response to a cancellation.
func (w *World) CancellationAnswered(id string, phase wire.JobPhase) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checker.reportedPhase[id] = phase
	w.recordCancelled(id, phase)
}

// recordCancelled records when a cancellation was first confirmed, by any controller and in the
// response to any request; the caller holds the lock.
func (w *World) recordCancelled(id string, phase wire.JobPhase) {
	if _, known := w.checker.cancelledAt[id]; phase == wire.JobCancelled && !known {
		w.checker.cancelledAt[id] = time.Now()
	}
}

// CheckPoll checks the response to a poll of a job. before is the final phase that was reported
// earlier, or empty; cancelled says whether the job's user has cancelled it. CheckPoll returns the
// value of before for the next poll.
func (w *World) CheckPoll(spec *job.Spec, status int, phase, before wire.JobPhase, cancelled bool) wire.JobPhase {
	w.mu.Lock()
	defer w.mu.Unlock()
	if status == http.StatusNotFound {
		w.addViolation("forgotten: a poll of job %s got 404", spec.ID)
	}
	w.recordPoll(spec.ID, status == http.StatusOK)
	if status != http.StatusOK {
		return before
	}
	if before != "" && phase != before {
		w.addViolation("went_back: job %s was reported as %s, then as %s", spec.ID, before, phase)
	}
	if n := len(w.checker.completedTasks[spec.ID]); phase == wire.JobDone && n != spec.Tasks {
		w.addViolation("not_done: job %s was reported as done with %d of %d tasks completed", spec.ID, n, spec.Tasks)
	}
	if phase == wire.JobCancelled && !cancelled && !w.checker.users.cancelledByScenario[spec.ID] {
		w.addViolation("went_back: job %s was reported as cancelled, but nobody has cancelled it", spec.ID)
	}
	if phase.Final() {
		w.checker.reportedPhase[spec.ID] = phase
		w.recordCancelled(spec.ID, phase)
		return phase
	}
	return before
}

// checkStart checks the invariants that concern a task when it starts, once its image is pulled;
// the caller holds the lock.
func (w *World) checkStart(worker *Worker, t *task) {
	w.recordStart(t)
	w.checkSingleCopy(worker, t)
	w.checkLimit(t)
	w.checkZones(worker, t)
	if worker.spot && !t.spec.Spot {
		w.addViolation("wrong_place: task %s starts on a spot machine, which its job does not allow", t.name)
	}
	if t.spec.Types != nil && !slices.Contains(t.spec.Types, worker.typeName) {
		w.addViolation("wrong_place: task %s starts on machine type %s, which its job does not allow", t.name, worker.typeName)
	}
	if t.spec.Zone != "" && t.spec.Zone != worker.zone {
		w.addViolation("wrong_place: task %s starts in zone %s, which its job does not allow", t.name, worker.zone)
	}
	if at, ok := w.checker.cancelledAt[t.spec.ID]; ok {
		w.checker.startsAfterCancellation++
		if time.Since(at) > w.cfg.CancelTimeout {
			w.addViolation("ran_cancelled: task %s starts %v after the cancellation was confirmed", t.name, time.Since(at))
		}
	}
}

// recordStart records the start of a task and, for the first one of a job, that of the job; the
// caller holds the lock.
func (w *World) recordStart(t *task) {
	w.checker.starts++
	users := &w.checker.users
	if _, ok := users.startedAt[t.spec.ID]; !ok {
		users.startedAt[t.spec.ID] = time.Now()
	}
	if !users.startedTasks[t.name] && w.cfg.OnStarted != nil {
		w.cfg.OnStarted(t.spec, time.Since(users.submittedAt[t.spec.ID]))
	}
	users.startedTasks[t.name] = true
}

// checkSingleCopy checks that the task runs on no other machine; the caller holds the lock.
func (w *World) checkSingleCopy(worker *Worker, t *task) {
	for x, other := range w.tasks.byName[t.name] {
		if x != t && other.occupies(x) {
			w.addViolation("ran_twice: task %s starts on %s while it runs on %s", t.name, worker.name, other.name)
		}
	}
}

// checkLimit checks that the task's team is within its limit; the caller holds the lock.
func (w *World) checkLimit(t *task) {
	limit := w.cfg.Limits[t.spec.Team]
	if limit == (Resources{}) {
		return
	}
	used := Resources{t.spec.CPUs, t.spec.GPUs}
	for x, other := range w.tasks.byTeam[t.spec.Team] {
		if x != t && other.occupies(x) {
			used.CPUs += x.spec.CPUs
			used.GPUs += x.spec.GPUs
		}
	}
	if limit.exceededBy(used) {
		w.addViolation("quota: team %s uses %v, its limit is %v", t.spec.Team, used, limit)
	}
}

// exceededBy reports whether the used resources exceed the limit, apart from rounding errors.
func (r Resources) exceededBy(used Resources) bool {
	const rounding = 1e-6
	return (r.CPUs > 0 && used.CPUs > r.CPUs+rounding) || (r.GPUs > 0 && used.GPUs > r.GPUs+rounding)
}

// checkZones checks the zones of a job that has to run in one zone or to be spread over several;
// the caller holds the lock.
func (w *World) checkZones(worker *Worker, t *task) {
	if !t.spec.OneZone && !t.spec.Spread {
		return
	}
	inZone := 1
	for x, other := range w.tasks.byJob[t.spec.ID] {
		if x == t || !other.occupies(x) {
			continue
		}
		if other.zone == worker.zone {
			inZone++
		} else if t.spec.OneZone {
			w.addViolation("wrong_place: one-zone job %s runs in zones %s and %s", t.spec.ID, other.zone, worker.zone)
		}
	}
	if t.spec.Spread && inZone > (t.spec.Tasks+1)/2 {
		w.addViolation("wrong_place: %d of %d tasks of spread job %s run in zone %s", inZone, t.spec.Tasks, t.spec.ID, worker.zone)
	}
}

// checkRunning checks that a task does not run after the cancel timeout of its job; the caller holds
// the lock.
func (w *World) checkRunning(worker *Worker, t *task) {
	if at, ok := w.checker.cancelledAt[t.jobID()]; ok && worker.occupies(t) && time.Since(at) > w.cfg.CancelTimeout {
		w.addViolation("ran_cancelled: task %s runs on %s %v after the cancellation was confirmed", t.name, worker.name, time.Since(at))
	}
}

// recordCompleted records a task as done. The members of a gang complete together. The caller holds
// the lock.
func (w *World) recordCompleted(t *task) {
	tasks := w.checker.completedTasks[t.spec.ID]
	if tasks == nil {
		tasks = map[int32]bool{}
		w.checker.completedTasks[t.spec.ID] = tasks
	}
	tasks[t.index] = true
	if t.spec.ShapeName == gang {
		for i := range t.spec.Tasks {
			tasks[int32(i)] = true
		}
	}
	w.notifyLastTaskDone(t.spec)
}
