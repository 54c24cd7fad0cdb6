package emulate

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// invariantChecker keeps what users were told and what has run, and notes every broken rule
// of the protocol. The world's lock guards it.
type invariantChecker struct {
	reportedPhase           map[string]string // job -> last final phase told, or "accepted"
	users                   userObservations
	cancelledAt             map[string]time.Time
	completed               map[string]map[int32]bool
	violations              []string
	starts                  int
	startsAfterCancellation int            // starts after their cancellation was told
	tasksLost               int            // tasks that ran when the lease of their machine ended
	heartbeatsAnswered      map[string]int // answered reports, by controller
	directCommands          int            // direct commands
	// overdueLaunches counts the launches by direct command that reached a worker when their job's
	// tasks had to be gone already, overdueDone those of them that it carried out.
	overdueLaunches, overdueExecuted int
	// blockedCommands counts the direct commands that wait at machines that hang, and mostStuck how
	// many did at a time.
	blockedCommands, maxBlockedCommands int
	// unansweredTime is how long workers went without an answer, from the first report that
	// had none, in milliseconds.
	unansweredTime *hdrhistogram.Histogram
}

func newInvariantChecker() invariantChecker {
	return invariantChecker{reportedPhase: map[string]string{}, users: newUserObservations(), cancelledAt: map[string]time.Time{}, completed: map[string]map[int32]bool{}, heartbeatsAnswered: map[string]int{},
		unansweredTime: hdrhistogram.New(1, time.Hour.Milliseconds(), 3)}
}

// maxViolations bounds the list of broken rules: one fault can break thousands.
const maxViolations = 20

// addViolation notes a broken rule; the caller holds the lock.
func (w *World) addViolation(format string, a ...any) {
	if len(w.checker.violations) < maxViolations {
		w.checker.violations = append(w.checker.violations, fmt.Sprintf(format, a...))
	}
}

// ReportViolation notes a broken rule that a user has seen.
func (w *World) ReportViolation(format string, a ...any) {
	w.mu.Lock()
	w.addViolation(format, a...)
	w.mu.Unlock()
}

// Violations are the rules that were broken.
func (w *World) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.checker.violations)
}

// Starts counts the tasks that got their image.
func (w *World) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checker.starts
}

// StartsAfterCancellation counts the tasks that got their image after a user was told that their job is
// cancelled: start commands that were in flight.
func (w *World) StartsAfterCancellation() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checker.startsAfterCancellation
}

// OverdueLaunches counts the direct commands to launch a task that reached a worker after
// the last moment at which a task of the cancelled job may be on a machine, and those of
// them that it carried out. Such a task may still be halted before it has its image.
func (w *World) OverdueLaunches() (arrived, carriedOut int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checker.overdueLaunches, w.checker.overdueExecuted
}

// MaxBlockedCommands is how many direct commands have waited at hanging machines at a time.
func (w *World) MaxBlockedCommands() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checker.maxBlockedCommands
}

// recordDirectCommands notes direct commands that reach a worker; the caller holds the lock.
func (w *World) recordDirectCommands(orders []wire.Order, carriedOut bool) {
	for _, o := range orders {
		id, _, ok := job.SplitTask(o.Task)
		if !ok || o.Op != wire.Launch {
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

// TasksLost counts the tasks that ran when the lease of their machine ended.
func (w *World) TasksLost() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checker.tasksLost
}

// HeartbeatsByController counts the reports that each controller has answered.
func (w *World) HeartbeatsByController() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.checker.heartbeatsAnswered)
}

// UnansweredQuantiles are quantiles of how long workers went without an answer, from the first
// report that had none: the median, 99 % and the longest; n is how many did.
func (w *World) UnansweredQuantiles() (n int64, half, most99, longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ms := func(v int64) time.Duration { return time.Duration(v) * time.Millisecond }
	h := w.checker.unansweredTime
	return h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max())
}

// UnfinishedJobs lists the jobs whose users have not been told that they are over, with
// what they were told.
func (w *World) UnfinishedJobs() map[string]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	open := map[string]string{}
	for id := range w.specs {
		if p := w.checker.reportedPhase[id]; p != wire.JobDone && p != wire.JobAborted {
			open[id] = p
		}
	}
	return open
}

// JobAccepted notes that a user was told that a job is accepted.
func (w *World) JobAccepted(id string) {
	w.mu.Lock()
	w.checker.reportedPhase[id] = "accepted"
	w.checker.users.acceptedAt[id] = time.Now()
	w.mu.Unlock()
}

// CancellationAnswered notes the answer to a cancellation.
func (w *World) CancellationAnswered(id, phase string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checker.reportedPhase[id] = phase
	w.recordCancelled(id, phase)
}

// recordCancelled notes when a user was first told that a job is cancelled, by whichever
// controller and in answer to whatever; the caller holds the lock.
func (w *World) recordCancelled(id, phase string) {
	if _, known := w.checker.cancelledAt[id]; phase == wire.JobAborted && !known {
		w.checker.cancelledAt[id] = time.Now()
	}
}

// CheckPoll judges the answer to a poll: what was told before, and whether its user
// has asked to cancel. It returns the phase to hold the next answer against.
func (w *World) CheckPoll(spec *job.Spec, status int, phase, before string, cancelled bool) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if status == 404 {
		w.addViolation("forgotten: %s got 404", spec.ID)
	}
	w.recordPoll(spec.ID, status == 200)
	if status != 200 {
		return before
	}
	if before != "" && phase != before {
		w.addViolation("went_back: %s was %s, is %s", spec.ID, before, phase)
	}
	if n := len(w.checker.completed[spec.ID]); phase == wire.JobDone && n != spec.Tasks {
		w.addViolation("not_done: %s has %d of %d tasks", spec.ID, n, spec.Tasks)
	}
	if phase == wire.JobAborted && !cancelled && !w.checker.users.cancelled[spec.ID] {
		w.addViolation("went_back: %s was not cancelled by its user", spec.ID)
	}
	if phase == wire.JobDone || phase == wire.JobAborted {
		w.checker.reportedPhase[spec.ID] = phase
		w.recordCancelled(spec.ID, phase)
		return phase
	}
	return before
}

// checkStart judges a task that gets its image; the caller holds the lock.
func (w *World) checkStart(k *Worker, t *task) {
	w.checker.starts++
	if _, ok := w.checker.users.startedAt[t.spec.ID]; !ok {
		w.checker.users.startedAt[t.spec.ID] = time.Now()
	}
	if !w.checker.users.startedTasks[t.name] && w.cfg.OnStarted != nil {
		w.cfg.OnStarted(t.spec, time.Since(w.checker.users.submittedAt[t.spec.ID]))
	}
	w.checker.users.startedTasks[t.name] = true
	w.checkSingleCopy(k, t)
	w.checkLimit(t)
	w.checkZones(k, t)
	if k.spot && !t.spec.Spot {
		w.addViolation("wrong_place: %s on a spot machine", t.name)
	}
	if t.spec.Types != nil && !slices.Contains(t.spec.Types, k.typ) {
		w.addViolation("wrong_place: %s on a %s", t.name, k.typ)
	}
	if t.spec.Zone != "" && t.spec.Zone != k.zone {
		w.addViolation("wrong_place: %s in %s", t.name, k.zone)
	}
	if at, ok := w.checker.cancelledAt[t.spec.ID]; ok {
		w.checker.startsAfterCancellation++
		if time.Since(at) > w.cfg.CancelTimeout {
			w.addViolation("ran_cancelled: %s starts %v after the answer", t.name, time.Since(at))
		}
	}
}

// checkSingleCopy looks for the task on another machine; the caller holds the lock.
func (w *World) checkSingleCopy(k *Worker, t *task) {
	for x, o := range w.tasks.byName[t.name] {
		if x != t && o.occupies(x) {
			w.addViolation("ran_twice: %s starts on %s while it is on %s", t.name, k.name, o.name)
		}
	}
}

// checkLimit adds up what the task's team uses; the caller holds the lock.
func (w *World) checkLimit(t *task) {
	l := w.cfg.Limits[t.spec.Team]
	if l == (Limit{}) {
		return
	}
	used := Limit{t.spec.CPUs, t.spec.GPUs}
	for x, o := range w.tasks.byTeam[t.spec.Team] {
		if x != t && o.occupies(x) {
			used.CPUs += x.spec.CPUs
			used.GPUs += x.spec.GPUs
		}
	}
	if (l.CPUs > 0 && used.CPUs > l.CPUs+1e-6) || (l.GPUs > 0 && used.GPUs > l.GPUs+1e-6) {
		w.addViolation("quota: %s uses %v of %v", t.spec.Team, used, l)
	}
}

// checkZones looks at where the other tasks of the job are; the caller holds the lock.
func (w *World) checkZones(k *Worker, t *task) {
	if !t.spec.OneZone && !t.spec.Spread {
		return
	}
	inZone := 1
	for x, o := range w.tasks.byJob[t.spec.ID] {
		if x == t || !o.occupies(x) {
			continue
		}
		if o.zone == k.zone {
			inZone++
		} else if t.spec.OneZone {
			w.addViolation("wrong_place: %s in %s and %s", t.spec.ID, o.zone, k.zone)
		}
	}
	if t.spec.Spread && inZone > (t.spec.Tasks+1)/2 {
		w.addViolation("wrong_place: %d of %d tasks of %s in %s", inZone, t.spec.Tasks, t.spec.ID, k.zone)
	}
}

// checkRunning judges a task that is on its machine; the caller holds the lock.
func (w *World) checkRunning(k *Worker, t *task) {
	if at, ok := w.checker.cancelledAt[t.jobID()]; ok && k.occupies(t) && time.Since(at) > w.cfg.CancelTimeout {
		w.addViolation("ran_cancelled: %s is on %s %v after the answer", t.name, k.name, time.Since(at))
	}
}

// recordCompleted notes a task that is done; the members of a gang complete together.
func (w *World) recordCompleted(t *task) {
	set := w.checker.completed[t.spec.ID]
	if set == nil {
		set = map[int32]bool{}
		w.checker.completed[t.spec.ID] = set
	}
	set[t.index] = true
	if t.spec.ShapeName == gang {
		for i := range t.spec.Tasks {
			set[int32(i)] = true
		}
	}
	w.notifyLastTaskDone(t.spec)
}
