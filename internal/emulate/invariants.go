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

// invariantChecker records what users were told and what has run, and the violated invariants
// of the protocol. The world's lock guards it.
type invariantChecker struct {
	users      userObservations
	violations []string

	reportedPhase  map[string]wire.JobPhase  // job -> the last final phase that a user was told, or phaseAccepted
	cancelledAt    map[string]time.Time      // job -> the first answer that confirmed its cancellation
	completedTasks map[string]map[int32]bool // job -> its tasks that are done

	starts                  int
	startsAfterCancellation int            // of tasks whose cancellation was confirmed
	tasksLost               int            // tasks that ran when their machine was lost or its lease expired
	heartbeatsAnswered      map[string]int // by controller
	directCommands          int
	// overdueLaunches counts the launches by direct command that reached a worker when their
	// job's tasks had to be gone already, overdueExecuted those of them that it carried out.
	overdueLaunches, overdueExecuted int
	// blockedCommands counts the direct commands that wait at machines that hang,
	// maxBlockedCommands how many did at a time.
	blockedCommands, maxBlockedCommands int
	// unansweredTime is how long workers went without an answer, from the first heartbeat that
	// had none, in milliseconds.
	unansweredTime *hdrhistogram.Histogram
}

// phaseAccepted is the reported phase of a job that is accepted and not over.
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

// maxViolations bounds the list of violations: one fault can cause thousands.
const maxViolations = 20

// addViolation records a violated invariant; the caller holds the lock.
func (w *World) addViolation(format string, a ...any) {
	if len(w.checker.violations) < maxViolations {
		w.checker.violations = append(w.checker.violations, fmt.Sprintf(format, a...))
	}
}

// ReportViolation records a violated invariant that a user has seen.
func (w *World) ReportViolation(format string, a ...any) {
	w.mu.Lock()
	w.addViolation(format, a...)
	w.mu.Unlock()
}

// Violations are the invariants that were violated, the first ones of many.
func (w *World) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.checker.violations)
}

// recordDirectCommands counts the overdue launches among direct commands that reach a worker; the
// caller holds the lock.
func (w *World) recordDirectCommands(orders []wire.Command, carriedOut bool) {
	for _, o := range orders {
		id, _, ok := job.SplitTaskName(o.Task)
		if !ok || o.Verb != wire.CommandLaunch {
			continue
		}
		if at, cancelled := w.checker.cancelledAt[id]; cancelled && time.Since(at) > w.cfg.CancelTimeout {
			w.checker.overdueLaunches++
			if carriedOut {
				w.checker.overdueExecuted++
			}
		}
	}
}

// UnfinishedJobs lists the jobs whose users have not been told that they are over, with
// what they were told.
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

// JobAccepted records that a user was told that a job is accepted.
func (w *World) JobAccepted(id string) {
	w.mu.Lock()
	w.checker.reportedPhase[id] = phaseAccepted
	w.checker.users.acceptedAt[id] = time.Now()
	w.mu.Unlock()
}

// CancellationAnswered records the answer to a cancellation.
func (w *World) CancellationAnswered(id string, phase wire.JobPhase) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checker.reportedPhase[id] = phase
	w.recordCancelled(id, phase)
}

// recordCancelled records when a cancellation was first confirmed, by any controller and in
// answer to any request; the caller holds the lock.
func (w *World) recordCancelled(id string, phase wire.JobPhase) {
	if _, known := w.checker.cancelledAt[id]; phase == wire.JobCancelled && !known {
		w.checker.cancelledAt[id] = time.Now()
	}
}

// CheckPoll checks the answer to a poll against the final phase that was told before (empty:
// none), and against whether the job's user has cancelled it. It returns the final phase to
// check the next answer against.
func (w *World) CheckPoll(spec *job.Spec, status int, phase, before wire.JobPhase, cancelled bool) wire.JobPhase {
	w.mu.Lock()
	defer w.mu.Unlock()
	if status == http.StatusNotFound {
		w.addViolation("forgotten: %s got 404", spec.ID)
	}
	w.recordPoll(spec.ID, status == http.StatusOK)
	if status != http.StatusOK {
		return before
	}
	if before != "" && phase != before {
		w.addViolation("went_back: %s was %s, is %s", spec.ID, before, phase)
	}
	if n := len(w.checker.completedTasks[spec.ID]); phase == wire.JobDone && n != spec.Tasks {
		w.addViolation("not_done: %s has %d of %d tasks", spec.ID, n, spec.Tasks)
	}
	if phase == wire.JobCancelled && !cancelled && !w.checker.users.cancelledByScenario[spec.ID] {
		w.addViolation("went_back: %s was not cancelled by its user", spec.ID)
	}
	if phase.Final() {
		w.checker.reportedPhase[spec.ID] = phase
		w.recordCancelled(spec.ID, phase)
		return phase
	}
	return before
}

// checkStart checks a task that gets its image; the caller holds the lock.
func (w *World) checkStart(worker *Worker, t *task) {
	w.recordStart(t)
	w.checkSingleCopy(worker, t)
	w.checkLimit(t)
	w.checkZones(worker, t)
	if worker.spot && !t.spec.Spot {
		w.addViolation("wrong_place: %s on a spot machine", t.name)
	}
	if t.spec.Types != nil && !slices.Contains(t.spec.Types, worker.typeName) {
		w.addViolation("wrong_place: %s on a %s", t.name, worker.typeName)
	}
	if t.spec.Zone != "" && t.spec.Zone != worker.zone {
		w.addViolation("wrong_place: %s in %s", t.name, worker.zone)
	}
	if at, ok := w.checker.cancelledAt[t.spec.ID]; ok {
		w.checker.startsAfterCancellation++
		if time.Since(at) > w.cfg.CancelTimeout {
			w.addViolation("ran_cancelled: %s starts %v after the answer", t.name, time.Since(at))
		}
	}
}

// recordStart records the start of a task, which may be the first of its job; the caller holds
// the lock.
func (w *World) recordStart(t *task) {
	w.checker.starts++
	u := &w.checker.users
	if _, ok := u.startedAt[t.spec.ID]; !ok {
		u.startedAt[t.spec.ID] = time.Now()
	}
	if !u.startedTasks[t.name] && w.cfg.OnStarted != nil {
		w.cfg.OnStarted(t.spec, time.Since(u.submittedAt[t.spec.ID]))
	}
	u.startedTasks[t.name] = true
}

// checkSingleCopy checks that the task is on no other machine; the caller holds the lock.
func (w *World) checkSingleCopy(worker *Worker, t *task) {
	for x, other := range w.tasks.byName[t.name] {
		if x != t && other.occupies(x) {
			w.addViolation("ran_twice: %s starts on %s while it is on %s", t.name, worker.name, other.name)
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
		w.addViolation("quota: %s uses %v of %v", t.spec.Team, used, limit)
	}
}

// exceededBy reports whether a team that uses that much is above its limit, but for rounding.
func (l Resources) exceededBy(used Resources) bool {
	const rounding = 1e-6
	return (l.CPUs > 0 && used.CPUs > l.CPUs+rounding) || (l.GPUs > 0 && used.GPUs > l.GPUs+rounding)
}

// checkZones checks the zones of a job that stays in one or is spread over several; the caller
// holds the lock.
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
			w.addViolation("wrong_place: %s in %s and %s", t.spec.ID, other.zone, worker.zone)
		}
	}
	if t.spec.Spread && inZone > (t.spec.Tasks+1)/2 {
		w.addViolation("wrong_place: %d of %d tasks of %s in %s", inZone, t.spec.Tasks, t.spec.ID, worker.zone)
	}
}

// checkRunning checks that a task on its machine is not one that had to be gone; the caller holds
// the lock.
func (w *World) checkRunning(worker *Worker, t *task) {
	if at, ok := w.checker.cancelledAt[t.jobID()]; ok && worker.occupies(t) && time.Since(at) > w.cfg.CancelTimeout {
		w.addViolation("ran_cancelled: %s is on %s %v after the answer", t.name, worker.name, time.Since(at))
	}
}

// recordCompleted records a task that is done; the members of a gang complete together. The
// caller holds the lock.
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
