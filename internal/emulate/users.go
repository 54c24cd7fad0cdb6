package emulate

import (
	"cmp"
	"maps"
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
}

func newUsers() users {
	return users{asked: map[string]time.Time{}, accepted: map[string]time.Time{}, answered: map[string]time.Time{},
		begun: map[string]time.Time{}, starts: map[string]bool{}, lost: map[string]bool{}}
}

const (
	// forgottenAfter is how long no question about an accepted job may be answered
	// once all troubles are over.
	forgottenAfter = 75 * time.Second
	// largestWithin is how soon the largest jobs of a class have to begin.
	largestWithin = 4 * time.Minute
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

// Repeated judges the answer to a submission that is repeated after the job's end.
func (w *World) Repeated(spec *job.Spec, status int, phase, final string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case status == 400 || status == 404 || status == 422:
		w.breaks("forgotten: a repeated submission of %s got %d", spec.ID, status)
	case status == 201 || (status == 200 && phase != final):
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
		if _, ok := w.judge.users.accepted[id]; !ok || w.judge.told[id] == wire.JobAborted || (possible != nil && !possible(s)) {
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
