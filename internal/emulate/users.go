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

// users is what the users of a day check beside the rules of the protocol.
type users struct {
	asked    map[string]time.Time // job -> its first submission
	accepted map[string]time.Time
	answered map[string]time.Time // job -> the last poll that was answered
	begun    map[string]time.Time // job -> its first task that got its image
	starts   map[string]bool      // tasks that did
	calm     time.Time            // when the last trouble was over; zero: it is not
	lost     map[string]bool      // jobs that are noted as forgotten
	cancels  map[string]bool      // jobs that were cancelled beside what their own users do
	idle     map[string]time.Time // job -> since when it waits beside room; not there: it does not
}

func newUsers() users {
	return users{asked: map[string]time.Time{}, accepted: map[string]time.Time{}, answered: map[string]time.Time{},
		begun: map[string]time.Time{}, starts: map[string]bool{}, lost: map[string]bool{}, cancels: map[string]bool{}, idle: map[string]time.Time{}}
}

const (
	// forgottenAfter is how long no question about an accepted job may be answered
	// once all troubles are over.
	forgottenAfter = 75 * time.Second
	// largestWithin is how soon the largest jobs of a class have to begin.
	largestWithin = 4 * time.Minute
	// idleBeside is how long a job may wait beside a machine that fits and has room once
	// all troubles are over.
	idleBeside = 90 * time.Second
	// largestPart: the largest jobs of a class are one in that many, at least one.
	largestPart = 10
)

// Calm notes that all troubles are over.
func (w *World) Calm() {
	w.mu.Lock()
	w.judge.users.calm = time.Now()
	w.mu.Unlock()
}

// Asked judges a question about a job that had no answer from which anything
// follows.
func (w *World) Asked(id string) {
	w.mu.Lock()
	w.asked(id, false)
	w.mu.Unlock()
}

// asked notes a question about a job; the caller holds the lock.
func (w *World) asked(id string, answered bool) {
	u := &w.judge.users
	now := time.Now()
	if answered {
		u.answered[id] = now
		return
	}
	since, ok := u.accepted[id]
	if !ok || u.calm.IsZero() || u.lost[id] {
		return
	}
	for _, at := range []time.Time{u.answered[id], u.calm} {
		if at.After(since) {
			since = at
		}
	}
	if now.Sub(since) > forgottenAfter {
		u.lost[id] = true
		w.breaks("forgotten: no question about %s was answered for %v", id, now.Sub(since).Round(time.Second))
	}
}

// Told is how a user was told that a job is over, by whichever controller, or empty. A
// question that begins now must not get an older answer.
func (w *World) Told(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.judge.told[id]; p == wire.JobDone || p == wire.JobCancelled {
		return p
	}
	return ""
}

// AllTold is what users were told last of each accepted job: accepted, or its final phase.
func (w *World) AllTold() map[string]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.judge.told)
}

// CallOff picks up to n accepted jobs that run and that nobody has cancelled, for users
// who do so now.
func (w *World) CallOff(r *rand.Rand, n int) (out []*job.Spec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := map[string]*job.Spec{}
	for _, k := range w.workers {
		for _, t := range k.tasks {
			if t.spec != nil && k.on(t) && w.judge.told[t.id()] == "accepted" && !w.judge.users.cancels[t.id()] {
				runs[t.id()] = t.spec
			}
		}
	}
	ids := slices.Sorted(maps.Keys(runs))
	r.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids[:min(n, len(ids))] {
		w.judge.users.cancels[id] = true
		out = append(out, runs[id])
	}
	return out
}

// Ends lets f be told of each accepted job that nobody has cancelled, the moment its last
// task has completed, and notes that its users may call it off now; nil: nobody is told.
func (w *World) Ends(f func(*job.Spec)) {
	w.mu.Lock()
	w.ends = f
	w.mu.Unlock()
}

// ended tells of the end of a job's last task; the caller holds the lock.
func (w *World) ended(s *job.Spec) {
	u := &w.judge.users
	if w.ends == nil || w.judge.told[s.ID] != "accepted" || u.cancels[s.ID] || len(w.judge.done[s.ID]) < s.Tasks {
		return
	}
	u.cancels[s.ID] = true
	f := w.ends
	w.wg.Go(func() { f(s) })
}

// Uses is how many CPUs the tasks of a team take, those that are stopped but not gone
// included.
func (w *World) Uses(team string) (cpus float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		for _, t := range k.tasks {
			if t.spec != nil && t.spec.Team == team && k.on(t) {
				cpus += t.spec.CPUs
			}
		}
	}
	return cpus
}

// UsesAll is how many CPUs the tasks of each team take.
func (w *World) UsesAll() map[string]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]float64{}
	for _, k := range w.workers {
		for _, t := range k.tasks {
			if t.spec != nil && k.on(t) {
				out[t.spec.Team] += t.spec.CPUs
			}
		}
	}
	return out
}

// With picks up to n machines that have a task of one of the jobs.
func (w *World) With(jobs []*job.Spec, n int) (out []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(w.workers)) {
		k := w.workers[name]
		if len(out) < n && slices.ContainsFunc(slices.Collect(maps.Values(k.tasks)), func(t *task) bool { return k.on(t) && slices.Contains(jobs, t.spec) }) {
			out = append(out, k)
		}
	}
	return out
}

// Confirmed counts the cancellations that were first told from one moment to another.
func (w *World) Confirmed(from, to time.Time) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.judge.aborted {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// Neglects judges the jobs that wait now: none does for long while machines that fit it have
// room for one of its tasks, of a gang for all of them, and its team is under its limit. It
// is called again and again once all troubles are over.
func (w *World) Neglects() {
	w.mu.Lock()
	defer w.mu.Unlock()
	u, now := &w.judge.users, time.Now()
	placed, used := map[string]int{}, map[string]Limit{}
	for _, k := range w.workers {
		for _, t := range k.tasks {
			if t.spec != nil && t.phase != wire.TaskExited {
				placed[t.id()]++
				l := used[t.spec.Team]
				used[t.spec.Team] = Limit{l.CPUs + t.spec.CPUs, l.GPUs + t.spec.GPUs}
			}
		}
	}
	for id, s := range w.specs {
		left := s.Tasks - placed[id] - len(w.judge.done[id])
		least := 1
		if s.ShapeName == gang {
			least = left
		}
		lim, of := w.cfg.Limits[s.Team], used[s.Team]
		over := (lim.CPUs > 0 && of.CPUs+float64(least)*s.CPUs > lim.CPUs+1e-6) || (lim.GPUs > 0 && of.GPUs+float64(least)*s.GPUs > lim.GPUs+1e-6)
		if w.judge.told[id] != "accepted" || u.cancels[id] || left < 1 || over || w.fits(s) < least || placed[id] > 0 {
			delete(u.idle, id)
			continue
		}
		if _, ok := u.idle[id]; !ok {
			u.idle[id] = now
		}
		if d := now.Sub(u.idle[id]); d > idleBeside {
			w.breaks("idle: %s has waited for %v beside room that fits", id, d.Round(time.Second))
			delete(u.idle, id)
		}
	}
}

// fits is how many more tasks of a job the machines that are up have room for, of one that
// stays in a zone in the best of them; the caller holds the lock.
func (w *World) fits(s *job.Spec) (most int) {
	in := map[string]int{}
	for _, k := range w.workers {
		if time.Now().Before(k.up) || k.hung || k.sick || (k.spot && !s.Spot) || (s.Zone != "" && s.Zone != k.zone) || (s.Types != nil && !slices.Contains(s.Types, k.typ)) {
			continue
		}
		n := 0
		for k.spare(s, n+1) {
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

// Repeated judges the answer to a submission that is repeated; final is how its job had
// ended as far as users knew when they asked, or empty.
func (w *World) Repeated(spec *job.Spec, status int, phase, final string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case status == 400 || status == 404 || status == 422:
		w.breaks("forgotten: a repeated submission of %s got %d", spec.ID, status)
	case final != "" && (status == 201 || (status == 200 && phase != final)):
		w.breaks("went_back: %s was %s, a repeated submission got %d %s", spec.ID, final, status, phase)
	}
}

// served is the part of a job that was served: of a service what has started, of
// the others what is done.
func (w *World) served(s *job.Spec) float64 {
	if s.ShapeName != service {
		return float64(len(w.judge.done[s.ID])) / float64(s.Tasks)
	}
	n := 0
	for t := range s.Tasks {
		if w.judge.users.starts[job.TaskName(s.ID, int32(t))] {
			n++
		}
	}
	return float64(n) / float64(s.Tasks)
}

// EndDay judges the day as a whole: of each class, of each team and of the largest
// jobs of each class at least half is served, and the largest have begun in time.
// Jobs that their users have cancelled do not count. Those for which possible is
// false could not run on the day's machines; nil: all could.
func (w *World) EndDay(possible func(*job.Spec) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	by := map[string][]*job.Spec{}
	for id, s := range w.specs {
		if _, ok := w.judge.users.accepted[id]; !ok || w.judge.told[id] == wire.JobCancelled || (possible != nil && !possible(s)) {
			continue
		}
		by["class "+s.Class] = append(by["class "+s.Class], s)
		by["team "+s.Team] = append(by["team "+s.Team], s)
	}
	half := func(what string, of []*job.Spec) {
		sum := 0.0
		for _, s := range of {
			sum += w.served(s)
		}
		if 2*sum < float64(len(of)) {
			w.breaks("served: %.1f of %d jobs of %s", sum, len(of), what)
		}
	}
	for _, what := range slices.Sorted(maps.Keys(by)) {
		of := by[what]
		half(what, of)
		if what[0] != 'c' {
			continue
		}
		slices.SortFunc(of, func(a, b *job.Spec) int {
			return cmp.Or(-cmp.Compare(size(a), size(b)), cmp.Compare(a.ID, b.ID))
		})
		largest := of[:max(1, len(of)/largestPart)]
		half("the largest of "+what, largest)
		for _, s := range largest {
			at, ok := w.judge.users.begun[s.ID]
			if !ok {
				at = time.Now()
			}
			if took := at.Sub(w.judge.users.asked[s.ID]); took > largestWithin {
				w.breaks("largest: %s of %s began after %v", s.ID, what, took.Round(time.Second))
			}
		}
	}
}

// size is what a job takes in all, in the resource of which it takes more.
func size(s *job.Spec) float64 { return float64(s.Tasks) * max(s.CPUs, s.GPUs) }
