package emulate

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// userObservations is what the users of a day check beside the rules of the protocol.
type userObservations struct {
	submittedAt   map[string]time.Time // job -> its first submission
	acceptedAt    map[string]time.Time
	answeredAt    map[string]time.Time // job -> the last poll that was answered
	startedAt     map[string]time.Time // job -> its first task that got its image
	startedTasks  map[string]bool      // tasks that did
	faultsOver    time.Time            // when the last trouble was over; zero: it is not
	forgotten     map[string]bool      // jobs that are noted as forgotten
	cancelled     map[string]bool      // jobs that were cancelled beside what their own users do
	starvingSince map[string]time.Time // job -> since when it waits beside room; not there: it does not
}

func newUserObservations() userObservations {
	return userObservations{submittedAt: map[string]time.Time{}, acceptedAt: map[string]time.Time{}, answeredAt: map[string]time.Time{},
		startedAt: map[string]time.Time{}, startedTasks: map[string]bool{}, forgotten: map[string]bool{}, cancelled: map[string]bool{}, starvingSince: map[string]time.Time{}}
}

const (
	// unansweredLimit is how long no question about an accepted job may be answered
	// once all troubles are over.
	unansweredLimit = 75 * time.Second
	// largestStartLimit is how soon the largest jobs of a class have to begin.
	largestStartLimit = 4 * time.Minute
	// starvationLimit is how long a job may wait beside a machine that fits and has room once
	// all troubles are over.
	starvationLimit = 90 * time.Second
	// largestFraction: the largest jobs of a class are one in that many, at least one.
	largestFraction = 10
)

// FaultsOver notes that all troubles are over.
func (w *World) FaultsOver() {
	w.mu.Lock()
	w.checker.users.faultsOver = time.Now()
	w.mu.Unlock()
}

// PollUnanswered judges a question about a job that had no answer from which anything
// follows.
func (w *World) PollUnanswered(id string) {
	w.mu.Lock()
	w.recordPoll(id, false)
	w.mu.Unlock()
}

// recordPoll notes a question about a job; the caller holds the lock.
func (w *World) recordPoll(id string, answered bool) {
	u := &w.checker.users
	now := time.Now()
	if answered {
		u.answeredAt[id] = now
		return
	}
	since, ok := u.acceptedAt[id]
	if !ok || u.faultsOver.IsZero() || u.forgotten[id] {
		return
	}
	for _, at := range []time.Time{u.answeredAt[id], u.faultsOver} {
		if at.After(since) {
			since = at
		}
	}
	if now.Sub(since) > unansweredLimit {
		u.forgotten[id] = true
		w.addViolation("forgotten: no question about %s was answered for %v", id, now.Sub(since).Round(time.Second))
	}
}

// FinalPhase is how a user was told that a job is over, by whichever controller, or empty. A
// question that begins now must not get an older answer.
func (w *World) FinalPhase(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.checker.reportedPhase[id]; p == wire.JobDone || p == wire.JobAborted {
		return p
	}
	return ""
}

// ReportedPhases is what users were told last of each accepted job: accepted, or its final phase.
func (w *World) ReportedPhases() map[string]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.checker.reportedPhase)
}

// SelectForCancellation picks up to n accepted jobs that run and that nobody has cancelled, for users
// who do so now.
func (w *World) SelectForCancellation(r *rand.Rand, n int) (out []*job.Spec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := map[string]*job.Spec{}
	for _, k := range w.workers {
		for _, t := range k.tasks {
			if t.spec != nil && k.occupies(t) && w.checker.reportedPhase[t.jobID()] == "accepted" && !w.checker.users.cancelled[t.jobID()] {
				runs[t.jobID()] = t.spec
			}
		}
	}
	ids := slices.Sorted(maps.Keys(runs))
	r.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids[:min(n, len(ids))] {
		w.checker.users.cancelled[id] = true
		out = append(out, runs[id])
	}
	return out
}

// OnLastTaskDone lets f be told of each accepted job that nobody has cancelled, the moment its last
// task has completed, and notes that its users may call it off now; nil: nobody is told.
func (w *World) OnLastTaskDone(f func(*job.Spec)) {
	w.mu.Lock()
	w.onLastTaskDone = f
	w.mu.Unlock()
}

// notifyLastTaskDone tells of the end of a job's last task; the caller holds the lock.
func (w *World) notifyLastTaskDone(s *job.Spec) {
	u := &w.checker.users
	if w.onLastTaskDone == nil || w.checker.reportedPhase[s.ID] != "accepted" || u.cancelled[s.ID] || len(w.checker.completed[s.ID]) < s.Tasks {
		return
	}
	u.cancelled[s.ID] = true
	f := w.onLastTaskDone
	w.wg.Go(func() { f(s) })
}

// TeamCPUs is how many CPUs the tasks of a team take, those that are stopped but not gone
// included.
func (w *World) TeamCPUs(team string) (cpus float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		for _, t := range k.tasks {
			if t.spec != nil && t.spec.Team == team && k.occupies(t) {
				cpus += t.spec.CPUs
			}
		}
	}
	return cpus
}

// CPUsByTeam is how many CPUs the tasks of each team take.
func (w *World) CPUsByTeam() map[string]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]float64{}
	for _, k := range w.workers {
		for _, t := range k.tasks {
			if t.spec != nil && k.occupies(t) {
				out[t.spec.Team] += t.spec.CPUs
			}
		}
	}
	return out
}

// WorkersWithJobs picks up to n machines that have a task of one of the jobs.
func (w *World) WorkersWithJobs(jobs []*job.Spec, n int) (out []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(w.workers)) {
		k := w.workers[name]
		if len(out) < n && slices.ContainsFunc(slices.Collect(maps.Values(k.tasks)), func(t *task) bool { return k.occupies(t) && slices.Contains(jobs, t.spec) }) {
			out = append(out, k)
		}
	}
	return out
}

// CancellationsConfirmed counts the cancellations that were first told from one moment to another.
func (w *World) CancellationsConfirmed(from, to time.Time) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.checker.cancelledAt {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// CheckStarvation judges the jobs that wait now: none does for long while machines that fit it have
// room for one of its tasks, of a gang for all of them, and its team is under its limit. It
// is called again and again once all troubles are over.
func (w *World) CheckStarvation() {
	w.mu.Lock()
	defer w.mu.Unlock()
	u, now := &w.checker.users, time.Now()
	placed, used := map[string]int{}, map[string]Limit{}
	for _, k := range w.workers {
		for _, t := range k.tasks {
			if t.spec != nil && t.phase != wire.Exited {
				placed[t.jobID()]++
				l := used[t.spec.Team]
				used[t.spec.Team] = Limit{l.CPUs + t.spec.CPUs, l.GPUs + t.spec.GPUs}
			}
		}
	}
	for id, s := range w.specs {
		left := s.Tasks - placed[id] - len(w.checker.completed[id])
		least := 1
		if s.ShapeName == gang {
			least = left
		}
		lim, of := w.cfg.Limits[s.Team], used[s.Team]
		over := (lim.CPUs > 0 && of.CPUs+float64(least)*s.CPUs > lim.CPUs+1e-6) || (lim.GPUs > 0 && of.GPUs+float64(least)*s.GPUs > lim.GPUs+1e-6)
		if w.checker.reportedPhase[id] != "accepted" || u.cancelled[id] || left < 1 || over || w.spareCapacity(s) < least || placed[id] > 0 {
			delete(u.starvingSince, id)
			continue
		}
		if _, ok := u.starvingSince[id]; !ok {
			u.starvingSince[id] = now
		}
		if d := now.Sub(u.starvingSince[id]); d > starvationLimit {
			w.addViolation("idle: %s has waited for %v beside room that fits", id, d.Round(time.Second))
			delete(u.starvingSince, id)
		}
	}
}

// spareCapacity is how many more tasks of a job the machines that are up have room for, of one that
// stays in a zone in the best of them; the caller holds the lock.
func (w *World) spareCapacity(s *job.Spec) (most int) {
	in := map[string]int{}
	for _, k := range w.workers {
		if time.Now().Before(k.bootedAt) || k.hanging || k.faulty || (k.spot && !s.Spot) || (s.Zone != "" && s.Zone != k.zone) || (s.Types != nil && !slices.Contains(s.Types, k.typ)) {
			continue
		}
		n := 0
		for k.hasRoom(s, n+1) {
			n++
		}
		zone := k.zone
		if !s.OneZone {
			zone = ""
		}
		in[zone] += n
		most = max(most, in[zone])
	}
	return most
}

// CheckResubmission judges the answer to a submission that is repeated; final is how its job had
// ended as far as users knew when they asked, or empty.
func (w *World) CheckResubmission(spec *job.Spec, status int, phase, final string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case status == 400 || status == 404 || status == 422:
		w.addViolation("forgotten: a repeated submission of %s got %d", spec.ID, status)
	case final != "" && (status == 201 || (status == 200 && phase != final)):
		w.addViolation("went_back: %s was %s, a repeated submission got %d %s", spec.ID, final, status, phase)
	}
}

// servedShare is the part of a job that was served: of a service what has started, of
// the others what is done.
func (w *World) servedShare(s *job.Spec) float64 {
	if s.ShapeName != service {
		return float64(len(w.checker.completed[s.ID])) / float64(s.Tasks)
	}
	n := 0
	for t := range s.Tasks {
		if w.checker.users.startedTasks[job.TaskName(s.ID, int32(t))] {
			n++
		}
	}
	return float64(n) / float64(s.Tasks)
}

// CheckServiceLevels judges the day as a whole: of each class, of each team and of the largest
// jobs of each class at least half is served, and the largest have begun in time.
// Jobs that their users have cancelled do not count. Those for which possible is
// false could not run on the day's machines; nil: all could.
func (w *World) CheckServiceLevels(possible func(*job.Spec) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	by := map[string][]*job.Spec{}
	for id, s := range w.specs {
		if _, ok := w.checker.users.acceptedAt[id]; !ok || w.checker.reportedPhase[id] == wire.JobAborted || (possible != nil && !possible(s)) {
			continue
		}
		by["class "+s.Class] = append(by["class "+s.Class], s)
		by["team "+s.Team] = append(by["team "+s.Team], s)
	}
	half := func(what string, of []*job.Spec) {
		sum := 0.0
		for _, s := range of {
			sum += w.servedShare(s)
		}
		if 2*sum < float64(len(of)) {
			w.addViolation("served: %.1f of %d jobs of %s", sum, len(of), what)
		}
	}
	for _, what := range slices.Sorted(maps.Keys(by)) {
		of := by[what]
		half(what, of)
		if what[0] != 'c' {
			continue
		}
		slices.SortFunc(of, func(a, b *job.Spec) int {
			return cmp.Or(-cmp.Compare(totalResources(a), totalResources(b)), cmp.Compare(a.ID, b.ID))
		})
		largest := of[:max(1, len(of)/largestFraction)]
		half("the largest of "+what, largest)
		for _, s := range largest {
			at, ok := w.checker.users.startedAt[s.ID]
			if !ok {
				at = time.Now()
			}
			if took := at.Sub(w.checker.users.submittedAt[s.ID]); took > largestStartLimit {
				w.addViolation("largest: %s of %s began after %v", s.ID, what, took.Round(time.Second))
			}
		}
	}
}

// totalResources is what a job takes in all, in the resource of which it takes more.
func totalResources(s *job.Spec) float64 { return float64(s.Tasks) * max(s.CPUs, s.GPUs) }
