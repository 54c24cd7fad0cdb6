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
	// largestFraction is the divisor that gives the number of largest jobs of a class: a tenth of
	// its jobs, at least one.
	largestFraction = 10
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
	u := &w.checker.users
	now := time.Now()
	if answered {
		u.answeredAt[id] = now
		return
	}
	since, ok := u.acceptedAt[id]
	if !ok || u.faultsEndedAt.IsZero() || u.reportedForgotten[id] {
		return
	}
	for _, at := range []time.Time{u.answeredAt[id], u.faultsEndedAt} {
		if at.After(since) {
			since = at
		}
	}
	if now.Sub(since) > unansweredLimit {
		u.reportedForgotten[id] = true
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
func (w *World) SelectForCancellation(r *rand.Rand, n int) (out []*job.Spec) {
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
		out = append(out, running[id])
	}
	return out
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
func (w *World) notifyLastTaskDone(s *job.Spec) {
	u := &w.checker.users
	if w.onLastTaskDone == nil || w.checker.reportedPhase[s.ID] != phaseAccepted || u.cancelledByScenario[s.ID] || len(w.checker.completedTasks[s.ID]) < s.Tasks {
		return
	}
	u.cancelledByScenario[s.ID] = true
	f := w.onLastTaskDone
	w.wg.Go(func() { f(s) })
}

// WorkersWithJobs returns up to n workers that run a task of one of the jobs.
func (w *World) WorkersWithJobs(jobs []*job.Spec, n int) (out []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(w.workers)) {
		worker := w.workers[name]
		hasTask := func(t *task) bool { return worker.occupies(t) && slices.Contains(jobs, t.spec) }
		if len(out) < n && slices.ContainsFunc(slices.Collect(maps.Values(worker.tasks)), hasTask) {
			out = append(out, worker)
		}
	}
	return out
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
	for id, s := range w.specs {
		if !w.starves(s, placed[id], used[s.Team]) {
			delete(starvingSince, id)
			continue
		}
		if _, ok := starvingSince[id]; !ok {
			starvingSince[id] = now
		}
		if d := now.Sub(starvingSince[id]); d > starvationLimit {
			w.addViolation("idle: job %s has waited for %v although suitable machines have free resources", id, d.Round(time.Second))
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
func (w *World) starves(s *job.Spec, placed int, usedByTeam Resources) bool {
	if w.checker.reportedPhase[s.ID] != phaseAccepted || w.checker.users.cancelledByScenario[s.ID] || placed > 0 {
		return false
	}
	waiting := s.Tasks - placed - len(w.checker.completedTasks[s.ID])
	if waiting < 1 {
		return false
	}
	least := 1 // tasks that have to be placed together
	if s.ShapeName == gang {
		least = waiting
	}
	withJob := Resources{usedByTeam.CPUs + float64(least)*s.CPUs, usedByTeam.GPUs + float64(least)*s.GPUs}
	return !w.cfg.Limits[s.Team].exceededBy(withJob) && w.spareCapacity(s) >= least
}

// spareCapacity returns the number of tasks of a job for which suitable machines have free
// resources. If the job has to run in one zone, only the zone with the most free resources counts.
// The caller holds the lock.
func (w *World) spareCapacity(s *job.Spec) (most int) {
	byZone := map[string]int{}
	for _, worker := range w.workers {
		if !worker.fits(s) {
			continue
		}
		n := 0
		for worker.hasRoom(s, n+1) {
			n++
		}
		zone := worker.zone
		if !s.OneZone {
			zone = ""
		}
		byZone[zone] += n
		most = max(most, byZone[zone])
	}
	return most
}

// fits reports whether the worker is running and tasks of the job may run on it.
func (worker *Worker) fits(s *job.Spec) bool {
	up := !time.Now().Before(worker.bootedAt) && !worker.hanging && !worker.faulty
	zone := s.Zone == "" || s.Zone == worker.zone
	typ := s.Types == nil || slices.Contains(s.Types, worker.typeName)
	return up && zone && typ && (s.Spot || !worker.spot)
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
func (w *World) servedFraction(s *job.Spec) float64 {
	if s.ShapeName != service {
		return float64(len(w.checker.completedTasks[s.ID])) / float64(s.Tasks)
	}
	n := 0
	for t := range s.Tasks {
		if w.checker.users.startedTasks[job.TaskName(s.ID, int32(t))] {
			n++
		}
	}
	return float64(n) / float64(s.Tasks)
}

// CheckServiceLevels checks that at least half of the jobs of each class, of each team and of the
// largest jobs of each class are served, and that the largest jobs have started in time. It ignores
// cancelled jobs and those for which possible returns false because the machines of the scenario
// could not run them. A nil possible means that all jobs could run.
func (w *World) CheckServiceLevels(possible func(*job.Spec) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	byClass, byTeam := map[string][]*job.Spec{}, map[string][]*job.Spec{}
	for id, s := range w.specs {
		_, accepted := w.checker.users.acceptedAt[id]
		if !accepted || w.checker.reportedPhase[id] == wire.JobCancelled || (possible != nil && !possible(s)) {
			continue
		}
		byClass[s.Class] = append(byClass[s.Class], s)
		byTeam[s.Team] = append(byTeam[s.Team], s)
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
func (w *World) checkHalfServed(what string, jobs []*job.Spec) {
	sum := 0.0
	for _, s := range jobs {
		sum += w.servedFraction(s)
	}
	if 2*sum < float64(len(jobs)) {
		w.addViolation("served: only %.1f of %d jobs of %s were served", sum, len(jobs), what)
	}
}

// checkLargestJobs checks that the largest jobs of a class are served and have started in time;
// the caller holds the lock.
func (w *World) checkLargestJobs(class string, jobs []*job.Spec) {
	slices.SortFunc(jobs, func(a, b *job.Spec) int {
		return cmp.Or(-cmp.Compare(totalResources(a), totalResources(b)), cmp.Compare(a.ID, b.ID))
	})
	largest := jobs[:max(1, len(jobs)/largestFraction)]
	w.checkHalfServed("the largest of "+class, largest)
	for _, s := range largest {
		at, ok := w.checker.users.startedAt[s.ID]
		if !ok {
			at = time.Now()
		}
		if took := at.Sub(w.checker.users.submittedAt[s.ID]); took > largestStartLimit {
			w.addViolation("largest: job %s of %s started %v after its submission", s.ID, class, took.Round(time.Second))
		}
	}
}

// totalResources returns the CPUs or the accelerators of all tasks of a job, whichever is more.
func totalResources(s *job.Spec) float64 { return float64(s.Tasks) * max(s.CPUs, s.GPUs) }
