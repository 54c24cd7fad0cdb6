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

// userObservations are what users check beside the invariants of the protocol.
type userObservations struct {
	submittedAt         map[string]time.Time // job -> its first submission
	acceptedAt          map[string]time.Time
	answeredAt          map[string]time.Time // job -> the last poll that was answered
	startedAt           map[string]time.Time // job -> its first task that got its image
	startedTasks        map[string]bool      // tasks that did
	faultsEndedAt       time.Time            // when the last fault was over; zero: it is not
	reportedForgotten   map[string]bool      // jobs that are reported as forgotten
	cancelledByScenario map[string]bool      // jobs that were cancelled beside what their own users do
	starvingSince       map[string]time.Time // job -> since when it waits beside free resources
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
	// unansweredLimit is how long no poll of an accepted job may be answered once all faults
	// are over.
	unansweredLimit = 75 * time.Second
	// largestStartLimit is how soon the largest jobs of a class have to begin.
	largestStartLimit = 4 * time.Minute
	// starvationLimit is how long a job may wait beside a machine that fits it and has the
	// resources once all faults are over.
	starvationLimit = 90 * time.Second
	// largestFraction: the largest jobs of a class are one in that many, at least one.
	largestFraction = 10
)

// FaultsEnded records that all faults are over.
func (w *World) FaultsEnded() {
	w.mu.Lock()
	w.checker.users.faultsEndedAt = time.Now()
	w.mu.Unlock()
}

// PollUnanswered checks a poll of a job that had no answer, or none from which anything
// follows.
func (w *World) PollUnanswered(id string) {
	w.mu.Lock()
	w.recordPoll(id, false)
	w.mu.Unlock()
}

// recordPoll records a poll of a job; the caller holds the lock.
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
		w.addViolation("forgotten: no question about %s was answered for %v", id, now.Sub(since).Round(time.Second))
	}
}

// FinalPhase is the final phase of a job that a user was told by any controller, or empty. A
// poll that begins now must not get an older answer.
func (w *World) FinalPhase(id string) wire.JobPhase {
	w.mu.Lock()
	defer w.mu.Unlock()
	if phase := w.checker.reportedPhase[id]; phase.Final() {
		return phase
	}
	return ""
}

// ReportedPhases are what users were told last of each accepted job: accepted, or its final
// phase.
func (w *World) ReportedPhases() map[string]wire.JobPhase {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.checker.reportedPhase)
}

// SelectForCancellation draws up to n accepted jobs that run and that nobody has cancelled, for
// users who do so now.
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

// OnLastTaskDone lets f be called with each accepted job that nobody has cancelled, the moment
// its last task has completed, and records that f may cancel it; nil: no longer.
func (w *World) OnLastTaskDone(f func(*job.Spec)) {
	w.mu.Lock()
	w.onLastTaskDone = f
	w.mu.Unlock()
}

// notifyLastTaskDone calls the function of OnLastTaskDone if all tasks of a job are done; the
// caller holds the lock.
func (w *World) notifyLastTaskDone(s *job.Spec) {
	u := &w.checker.users
	if w.onLastTaskDone == nil || w.checker.reportedPhase[s.ID] != phaseAccepted || u.cancelledByScenario[s.ID] || len(w.checker.completedTasks[s.ID]) < s.Tasks {
		return
	}
	u.cancelledByScenario[s.ID] = true
	f := w.onLastTaskDone
	w.wg.Go(func() { f(s) })
}

// WorkersWithJobs are up to n workers that have a task of one of the jobs.
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

// CheckStarvation checks the jobs that wait now: none does for long while machines that fit it
// have the resources for one of its tasks, of a gang for all of them, and its team is under its
// limit. It is called again and again once all faults are over.
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
			w.addViolation("idle: %s has waited for %v beside room that fits", id, d.Round(time.Second))
			delete(starvingSince, id)
		}
	}
}

// placedTasks counts the tasks on machines by job, and adds up their resources by team; the
// caller holds the lock.
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

// starves reports whether an accepted job without a task on a machine waits beside free
// resources; the caller holds the lock.
func (w *World) starves(s *job.Spec, placed int, usedByTeam Resources) bool {
	if w.checker.reportedPhase[s.ID] != phaseAccepted || w.checker.users.cancelledByScenario[s.ID] || placed > 0 {
		return false
	}
	waiting := s.Tasks - placed - len(w.checker.completedTasks[s.ID])
	if waiting < 1 {
		return false
	}
	least := 1 // tasks that have to be placed at a time
	if s.ShapeName == gang {
		least = waiting
	}
	withJob := Resources{usedByTeam.CPUs + float64(least)*s.CPUs, usedByTeam.GPUs + float64(least)*s.GPUs}
	return !w.cfg.Limits[s.Team].exceededBy(withJob) && w.spareCapacity(s) >= least
}

// spareCapacity is how many more tasks of a job the machines that are up have the resources for,
// of a job that stays in a zone in the best of them; the caller holds the lock.
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

// fits reports whether the worker is up and one on which tasks of the job may run.
func (worker *Worker) fits(s *job.Spec) bool {
	up := !time.Now().Before(worker.bootedAt) && !worker.hanging && !worker.faulty
	zone := s.Zone == "" || s.Zone == worker.zone
	typ := s.Types == nil || slices.Contains(s.Types, worker.typeName)
	return up && zone && typ && (s.Spot || !worker.spot)
}

// CheckResubmission checks the answer to a submission that is repeated; final is the job's final
// phase that users had been told when they asked, or empty.
func (w *World) CheckResubmission(spec *job.Spec, status int, phase, final wire.JobPhase) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case status == http.StatusBadRequest || status == http.StatusNotFound || status == http.StatusUnprocessableEntity:
		w.addViolation("forgotten: a repeated submission of %s got %d", spec.ID, status)
	case final != "" && (status == http.StatusCreated || (status == http.StatusOK && phase != final)):
		w.addViolation("went_back: %s was %s, a repeated submission got %d %s", spec.ID, final, status, phase)
	}
}

// servedFraction is the part of a job that was served: of a service the tasks that have started,
// of the others those that are done.
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

// CheckServiceLevels checks all jobs as a whole: of each class, of each team and of the largest
// jobs of each class at least half is served, and the largest have started in time. Jobs that
// their users have cancelled do not count. Those for which possible is false could not run on
// the machines that there were; nil: all could.
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

// checkHalfServed checks that at least half of some jobs is served; the caller holds the lock.
func (w *World) checkHalfServed(what string, jobs []*job.Spec) {
	sum := 0.0
	for _, s := range jobs {
		sum += w.servedFraction(s)
	}
	if 2*sum < float64(len(jobs)) {
		w.addViolation("served: %.1f of %d jobs of %s", sum, len(jobs), what)
	}
}

// checkLargestJobs checks that the largest jobs of a class are served and have started in time; the
// caller holds the lock.
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
			w.addViolation("largest: %s of %s began after %v", s.ID, class, took.Round(time.Second))
		}
	}
}

// totalResources is what all tasks of a job take, in the resource of which they take more.
func totalResources(s *job.Spec) float64 { return float64(s.Tasks) * max(s.CPUs, s.GPUs) }
