package emulate

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// userObservations records what users observe; the checks of user-visible guarantees use it.
type userObservations struct {
	submittedAt         map[string]time.Time // by job: time of its first submission
	acceptedAt          map[string]time.Time
	answeredAt          map[string]time.Time // by job: time of the last answered poll
	startedAt           map[string]time.Time // by job: time when the first of its tasks started
	startedTasks        map[string]bool      // names of the tasks that have started
	faultsEndedAt       time.Time            // zero while faults are still injected
	reportedForgotten   map[string]bool      // jobs whose violation "forgotten" is recorded already
	cancelledByScenario map[string]bool      // jobs that the scenario cancels, in addition to cancellations by their own users
	starvingSince       map[string]time.Time // by job: since when it has waited although resources are free
}

func newUserObservations() userObservations {
	return userObservations{
		submittedAt:         map[string]time.Time{},
		acceptedAt:          map[string]time.Time{},
		answeredAt:          map[string]time.Time{},
		startedAt:           map[string]time.Time{},
		startedTasks:        map[string]bool{},
		reportedForgotten:   map[string]bool{},
		cancelledByScenario: map[string]bool{},
		starvingSince:       map[string]time.Time{},
	}
}

const (
	// unansweredLimit bounds the time without an answered poll of an accepted job, counted after
	// the last fault has ended.
	unansweredLimit = 75 * time.Second
	// largestStartLimit bounds the time from submission to start of the largest jobs of a class.
	largestStartLimit = 4 * time.Minute
	// starvationLimit bounds the time that a job may wait while suitable machines have free
	// resources, counted after the last fault has ended.
	starvationLimit = 90 * time.Second
	// largestDivisor divides the number of jobs of a class to get that of its largest jobs, at least
	// one.
	largestDivisor = 10
)

// FaultsEnded records that the last fault has ended.
func (w *World) FaultsEnded() {
	w.mu.Lock()
	w.checker.users.faultsEndedAt = time.Now()
	w.mu.Unlock()
}

// PollUnanswered records a poll of a job that got no response, or one that does not give the job's
// phase.
func (w *World) PollUnanswered(id string) {
	w.mu.Lock()
	w.recordPoll(id, false)
	w.mu.Unlock()
}

// recordPoll records a poll of a job and adds a violation if polls have gone unanswered for more
// than unansweredLimit; the caller holds the lock.
func (w *World) recordPoll(id string, answered bool) {
	users := &w.checker.users
	now := time.Now()
	if answered {
		users.answeredAt[id] = now
		return
	}
	since, ok := users.acceptedAt[id]
	if !ok || users.faultsEndedAt.IsZero() || users.reportedForgotten[id] {
		return
	}
	for _, at := range []time.Time{users.answeredAt[id], users.faultsEndedAt} {
		if at.After(since) {
			since = at
		}
	}
	if now.Sub(since) > unansweredLimit {
		users.reportedForgotten[id] = true
		w.addViolation("forgotten: no poll of job %s was answered for %v", id, now.Sub(since).Round(time.Second))
	}
}

// FinalPhase returns the final phase of a job that any controller has reported to a user, or an
// empty phase. A poll that is sent from now on must not report an earlier phase.
func (w *World) FinalPhase(id string) wire.JobPhase {
	w.mu.Lock()
	defer w.mu.Unlock()
	if phase := w.checker.reportedPhase[id]; phase.Final() {
		return phase
	}
	return ""
}

// ReportedPhases returns, for each accepted job, the phase that was last reported to a user:
// accepted or a final phase.
func (w *World) ReportedPhases() map[string]wire.JobPhase {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.checker.reportedPhase)
}

// SelectForCancellation selects up to n random accepted jobs that are running and not cancelled by
// the scenario. It records them as cancelled; the caller has to cancel them.
func (w *World) SelectForCancellation(r *rand.Rand, n int) (selected []*job.Spec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := map[string]*job.Spec{}
	for _, worker := range w.workers {
		for _, t := range worker.tasks {
			id := t.jobID()
			accepted := w.checker.reportedPhase[id] == phaseAccepted && !w.checker.users.cancelledByScenario[id]
			if t.spec != nil && worker.occupies(t) && accepted {
				running[id] = t.spec
			}
		}
	}
	ids := slices.Sorted(maps.Keys(running))
	r.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids[:min(n, len(ids))] {
		w.checker.users.cancelledByScenario[id] = true
		selected = append(selected, running[id])
	}
	return selected
}

// OnLastTaskDone makes the world call f for each accepted job, unless the scenario has cancelled
// it, as soon as the last of its tasks has completed. The job is recorded as cancelled because f
// may cancel it. A nil f disables the calls.
func (w *World) OnLastTaskDone(f func(*job.Spec)) {
	w.mu.Lock()
	w.onLastTaskDone = f
	w.mu.Unlock()
}

// notifyLastTaskDone calls the function set by OnLastTaskDone if all tasks of the job are done;
// the caller holds the lock.
func (w *World) notifyLastTaskDone(spec *job.Spec) {
	users := &w.checker.users
	if w.onLastTaskDone == nil || w.checker.reportedPhase[spec.ID] != phaseAccepted || users.cancelledByScenario[spec.ID] || len(w.checker.completedTasks[spec.ID]) < spec.Tasks {
		return
	}
	users.cancelledByScenario[spec.ID] = true
	f := w.onLastTaskDone
	w.wg.Go(func() { f(spec) })
}

// WorkersWithJobs returns up to n workers that run a task of one of the jobs.
func (w *World) WorkersWithJobs(jobs []*job.Spec, n int) (workers []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(w.workers)) {
		worker := w.workers[name]
		hasTask := func(t *task) bool { return worker.occupies(t) && slices.Contains(jobs, t.spec) }
		if len(workers) < n && slices.ContainsFunc(slices.Collect(maps.Values(worker.tasks)), hasTask) {
			workers = append(workers, worker)
		}
	}
	return workers
}

// CheckStarvation adds a violation for each job that has waited for more than starvationLimit
// although its team is below its limit and suitable machines have free resources for one of its
// tasks (for all tasks of a gang). Callers call it periodically after the last fault has ended.
func (w *World) CheckStarvation() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	placed, used := w.placedTasks()
	starvingSince := w.checker.users.starvingSince
	for id, spec := range w.specs {
		if !w.starves(spec, placed[id], used[spec.Team]) {
			delete(starvingSince, id)
			continue
		}
		if _, ok := starvingSince[id]; !ok {
			starvingSince[id] = now
		}
		if waited := now.Sub(starvingSince[id]); waited > starvationLimit {
			w.addViolation("idle: job %s has waited for %v although suitable machines have free resources", id, waited.Round(time.Second))
			delete(starvingSince, id)
		}
	}
}

// placedTasks returns the number of tasks on machines for each job and the resources that they
// take for each team; the caller holds the lock.
func (w *World) placedTasks() (placed map[string]int, used map[string]Resources) {
	placed = map[string]int{}
	used = map[string]Resources{}
	for _, worker := range w.workers {
		for _, t := range worker.tasks {
			if t.spec == nil || t.phase == wire.TaskExited {
				continue
			}
			placed[t.jobID()]++
			team := used[t.spec.Team]
			used[t.spec.Team] = Resources{team.CPUs + t.spec.CPUs, team.GPUs + t.spec.GPUs}
		}
	}
	return placed, used
}

// starves reports whether an accepted job has no task on a machine although free resources would
// allow it to start; the caller holds the lock.
func (w *World) starves(spec *job.Spec, placed int, usedByTeam Resources) bool {
	if w.checker.reportedPhase[spec.ID] != phaseAccepted || w.checker.users.cancelledByScenario[spec.ID] || placed > 0 {
		return false
	}
	waiting := spec.Tasks - placed - len(w.checker.completedTasks[spec.ID])
	if waiting < 1 {
		return false
	}
	minimum := 1 // tasks that have to be placed together
	if spec.ShapeName == gang {
		minimum = waiting
	}
	withJob := Resources{usedByTeam.CPUs + float64(minimum)*spec.CPUs, usedByTeam.GPUs + float64(minimum)*spec.GPUs}
	return !w.cfg.Limits[spec.Team].exceededBy(withJob) && w.spareCapacity(spec) >= minimum
}

// spareCapacity returns the number of tasks of a job for which suitable machines have free
// resources. If the job has to run in one zone, only the zone with the most free resources counts.
// The caller holds the lock.
func (w *World) spareCapacity(spec *job.Spec) (capacity int) {
	byZone := map[string]int{}
	for _, worker := range w.workers {
		if !worker.fits(spec) {
			continue
		}
		n := 0
		for worker.hasRoom(spec, n+1) {
			n++
		}
		zone := worker.zone
		if !spec.OneZone {
			zone = ""
		}
		byZone[zone] += n
		capacity = max(capacity, byZone[zone])
	}
	return capacity
}

// fits reports whether the worker is running and tasks of the job may run on it.
func (worker *Worker) fits(spec *job.Spec) bool {
	running := !time.Now().Before(worker.bootedAt) && !worker.hanging && !worker.faulty
	zoneAllowed := spec.Zone == "" || spec.Zone == worker.zone
	typeAllowed := spec.Types == nil || slices.Contains(spec.Types, worker.typeName)
	return running && zoneAllowed && typeAllowed && (spec.Spot || !worker.spot)
}

// CheckResubmission checks the response to a repeated submission. final is the final phase that had
// been reported for the job when the submission was sent, or empty.
func (w *World) CheckResubmission(spec *job.Spec, status int, phase, final wire.JobPhase) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case status == http.StatusBadRequest || status == http.StatusNotFound || status == http.StatusUnprocessableEntity:
		w.addViolation("forgotten: a repeated submission of job %s got status %d", spec.ID, status)
	case final != "" && (status == http.StatusCreated || (status == http.StatusOK && phase != final)):
		w.addViolation("went_back: job %s was reported as %s, but a repeated submission got status %d with phase %q", spec.ID, final, status, phase)
	}
}

// servedFraction returns the fraction of a job's tasks that were served: tasks of a service are
// served once they have started, tasks of other jobs once they are done.
func (w *World) servedFraction(spec *job.Spec) float64 {
	if spec.ShapeName != service {
		return float64(len(w.checker.completedTasks[spec.ID])) / float64(spec.Tasks)
	}
	n := 0
	for t := range spec.Tasks {
		if w.checker.users.startedTasks[job.TaskName(spec.ID, int32(t))] {
			n++
		}
	}
	return float64(n) / float64(spec.Tasks)
}

// CheckServiceLevels checks that at least half of the jobs of each class, of each team and of the
// largest jobs of each class are served, and that the largest jobs have started in time. It ignores
// cancelled jobs and those for which possible returns false because the machines of the scenario
// could not run them. A nil possible means that all jobs could run.
func (w *World) CheckServiceLevels(possible func(*job.Spec) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	byClass, byTeam := map[string][]*job.Spec{}, map[string][]*job.Spec{}
	for id, spec := range w.specs {
		_, accepted := w.checker.users.acceptedAt[id]
		if !accepted || w.checker.reportedPhase[id] == wire.JobCancelled || (possible != nil && !possible(spec)) {
			continue
		}
		byClass[spec.Class] = append(byClass[spec.Class], spec)
		byTeam[spec.Team] = append(byTeam[spec.Team], spec)
	}
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		w.checkHalfServed("class "+class, byClass[class])
		w.checkLargestJobs("class "+class, byClass[class])
	}
	for _, team := range slices.Sorted(maps.Keys(byTeam)) {
		w.checkHalfServed("team "+team, byTeam[team])
	}
}

// checkHalfServed checks that at least half of the jobs are served; the caller holds the lock.
func (w *World) checkHalfServed(group string, jobs []*job.Spec) {
	served := 0.0
	for _, spec := range jobs {
		served += w.servedFraction(spec)
	}
	if 2*served < float64(len(jobs)) {
		w.addViolation("served: only %.1f of %d jobs of %s were served", served, len(jobs), group)
	}
}

// checkLargestJobs checks that the largest jobs of a class are served and have started in time;
// the caller holds the lock.
func (w *World) checkLargestJobs(class string, jobs []*job.Spec) {
	slices.SortFunc(jobs, func(a, b *job.Spec) int {
		return cmp.Or(-cmp.Compare(totalResources(a), totalResources(b)), cmp.Compare(a.ID, b.ID))
	})
	largest := jobs[:max(1, len(jobs)/largestDivisor)]
	w.checkHalfServed("the largest of "+class, largest)
	for _, spec := range largest {
		at, ok := w.checker.users.startedAt[spec.ID]
		if !ok {
			at = time.Now()
		}
		if took := at.Sub(w.checker.users.submittedAt[spec.ID]); took > largestStartLimit {
			w.addViolation("largest: job %s of %s started %v after its submission", spec.ID, class, took.Round(time.Second))
		}
	}
}

// totalResources returns the CPUs or the accelerators of all tasks of a job, whichever is more.
func totalResources(spec *job.Spec) float64 { return float64(spec.Tasks) * max(spec.CPUs, spec.GPUs) }
