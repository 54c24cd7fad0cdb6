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

// judge keeps what users were told and what has run, and notes every broken rule
// of the protocol. The world's lock guards it.
type judge struct {
	told    map[string]string // job -> last final phase told, or "accepted"
	users   users
	aborted map[string]time.Time
	done    map[string]map[int32]bool
	broken  []string
	starts  int
	vain    int            // starts after their cancellation was told
	lapsed  int            // tasks that ran when the lease of their machine ended
	answers map[string]int // answered reports, by controller
	directs int            // direct commands
	// overdue counts the launches by direct command that reached a worker when their job's
	// tasks had to be gone already, overdueDone those of them that it carried out.
	overdue, overdueDone int
	// stuck counts the direct commands that wait at machines that hang, and mostStuck how
	// many did at a time.
	stuck, mostStuck int
	// silence is how long workers went without an answer, from the first report that
	// had none, in milliseconds.
	silence *hdrhistogram.Histogram
}

func newJudge() judge {
	return judge{told: map[string]string{}, users: newUsers(), aborted: map[string]time.Time{}, done: map[string]map[int32]bool{}, answers: map[string]int{},
		silence: hdrhistogram.New(1, time.Hour.Milliseconds(), 3)}
}

// maxBroken bounds the list of broken rules: one fault can break thousands.
const maxBroken = 20

// breaks notes a broken rule; the caller holds the lock.
func (w *World) breaks(format string, a ...any) {
	if len(w.judge.broken) < maxBroken {
		w.judge.broken = append(w.judge.broken, fmt.Sprintf(format, a...))
	}
}

// Fail notes a broken rule that a user has seen.
func (w *World) Fail(format string, a ...any) {
	w.mu.Lock()
	w.breaks(format, a...)
	w.mu.Unlock()
}

// Broken are the rules that were broken.
func (w *World) Broken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.judge.broken)
}

// Starts counts the tasks that got their image.
func (w *World) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.judge.starts
}

// Vain counts the tasks that got their image after a user was told that their job is
// cancelled: start commands that were in flight.
func (w *World) Vain() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.judge.vain
}

// OverdueLaunches counts the direct commands to launch a task that reached a worker after
// the last moment at which a task of the cancelled job may be on a machine, and those of
// them that it carried out. Such a task may still be halted before it has its image.
func (w *World) OverdueLaunches() (arrived, carriedOut int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.judge.overdue, w.judge.overdueDone
}

// MostStuck is how many direct commands have waited at hanging machines at a time.
func (w *World) MostStuck() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.judge.mostStuck
}

// arrived notes direct commands that reach a worker; the caller holds the lock.
func (w *World) arrived(orders []wire.Command, carriedOut bool) {
	for _, o := range orders {
		id, _, ok := job.SplitTask(o.Task)
		if !ok || o.Verb != wire.CommandLaunch {
			continue
		}
		if at, cancelled := w.judge.aborted[id]; cancelled && time.Since(at) > w.cfg.Cancel {
			w.judge.overdue++
			if carriedOut {
				w.judge.overdueDone++
			}
		}
	}
}

// Lapsed counts the tasks that ran when the lease of their machine ended.
func (w *World) Lapsed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.judge.lapsed
}

// Answers counts the reports that each controller has answered.
func (w *World) Answers() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.judge.answers)
}

// Silences are quantiles of how long workers went without an answer, from the first
// report that had none: the median, 99 % and the longest; n is how many did.
func (w *World) Silences() (n int64, half, most99, longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ms := func(v int64) time.Duration { return time.Duration(v) * time.Millisecond }
	h := w.judge.silence
	return h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max())
}

// Open lists the jobs whose users have not been told that they are over, with
// what they were told.
func (w *World) Open() map[string]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	open := map[string]string{}
	for id := range w.specs {
		if p := w.judge.told[id]; p != wire.JobDone && p != wire.JobCancelled {
			open[id] = p
		}
	}
	return open
}

// Accepted notes that a user was told that a job is accepted.
func (w *World) Accepted(id string) {
	w.mu.Lock()
	w.judge.told[id] = "accepted"
	w.judge.users.accepted[id] = time.Now()
	w.mu.Unlock()
}

// Aborted notes the answer to a cancellation.
func (w *World) Aborted(id, phase string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.judge.told[id] = phase
	w.cancelled(id, phase)
}

// cancelled notes when a user was first told that a job is cancelled, by whichever
// controller and in answer to whatever; the caller holds the lock.
func (w *World) cancelled(id, phase string) {
	if _, known := w.judge.aborted[id]; phase == wire.JobCancelled && !known {
		w.judge.aborted[id] = time.Now()
	}
}

// Polled judges the answer to a poll: what was told before, and whether its user
// has asked to cancel. It returns the phase to hold the next answer against.
func (w *World) Polled(spec *job.Spec, status int, phase, before string, cancelled bool) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if status == 404 {
		w.breaks("forgotten: %s got 404", spec.ID)
	}
	w.asked(spec.ID, status == 200)
	if status != 200 {
		return before
	}
	if before != "" && phase != before {
		w.breaks("went_back: %s was %s, is %s", spec.ID, before, phase)
	}
	if n := len(w.judge.done[spec.ID]); phase == wire.JobDone && n != spec.Tasks {
		w.breaks("not_done: %s has %d of %d tasks", spec.ID, n, spec.Tasks)
	}
	if phase == wire.JobCancelled && !cancelled && !w.judge.users.cancels[spec.ID] {
		w.breaks("went_back: %s was not cancelled by its user", spec.ID)
	}
	if phase == wire.JobDone || phase == wire.JobCancelled {
		w.judge.told[spec.ID] = phase
		w.cancelled(spec.ID, phase)
		return phase
	}
	return before
}

// started judges a task that gets its image; the caller holds the lock.
func (w *World) started(k *Worker, t *task) {
	w.judge.starts++
	if _, ok := w.judge.users.begun[t.spec.ID]; !ok {
		w.judge.users.begun[t.spec.ID] = time.Now()
	}
	if !w.judge.users.starts[t.name] && w.cfg.Started != nil {
		w.cfg.Started(t.spec, time.Since(w.judge.users.asked[t.spec.ID]))
	}
	w.judge.users.starts[t.name] = true
	w.judgeTwice(k, t)
	w.judgeLimit(t)
	w.judgeZones(k, t)
	if k.spot && !t.spec.Spot {
		w.breaks("wrong_place: %s on a spot machine", t.name)
	}
	if t.spec.Types != nil && !slices.Contains(t.spec.Types, k.typ) {
		w.breaks("wrong_place: %s on a %s", t.name, k.typ)
	}
	if t.spec.Zone != "" && t.spec.Zone != k.zone {
		w.breaks("wrong_place: %s in %s", t.name, k.zone)
	}
	if at, ok := w.judge.aborted[t.spec.ID]; ok {
		w.judge.vain++
		if time.Since(at) > w.cfg.Cancel {
			w.breaks("ran_cancelled: %s starts %v after the answer", t.name, time.Since(at))
		}
	}
}

// judgeTwice looks for the task on another machine; the caller holds the lock.
func (w *World) judgeTwice(k *Worker, t *task) {
	for x, o := range w.index.byName[t.name] {
		if x != t && o.on(x) {
			w.breaks("ran_twice: %s starts on %s while it is on %s", t.name, k.name, o.name)
		}
	}
}

// judgeLimit adds up what the task's team uses; the caller holds the lock.
func (w *World) judgeLimit(t *task) {
	l := w.cfg.Limits[t.spec.Team]
	if l == (Limit{}) {
		return
	}
	used := Limit{t.spec.CPUs, t.spec.GPUs}
	for x, o := range w.index.byTeam[t.spec.Team] {
		if x != t && o.on(x) {
			used.CPUs += x.spec.CPUs
			used.GPUs += x.spec.GPUs
		}
	}
	if (l.CPUs > 0 && used.CPUs > l.CPUs+1e-6) || (l.GPUs > 0 && used.GPUs > l.GPUs+1e-6) {
		w.breaks("quota: %s uses %v of %v", t.spec.Team, used, l)
	}
}

// judgeZones looks at where the other tasks of the job are; the caller holds the lock.
func (w *World) judgeZones(k *Worker, t *task) {
	if !t.spec.OneZone && !t.spec.Spread {
		return
	}
	inZone := 1
	for x, o := range w.index.byJob[t.spec.ID] {
		if x == t || !o.on(x) {
			continue
		}
		if o.zone == k.zone {
			inZone++
		} else if t.spec.OneZone {
			w.breaks("wrong_place: %s in %s and %s", t.spec.ID, o.zone, k.zone)
		}
	}
	if t.spec.Spread && inZone > (t.spec.Tasks+1)/2 {
		w.breaks("wrong_place: %d of %d tasks of %s in %s", inZone, t.spec.Tasks, t.spec.ID, k.zone)
	}
}

// stays judges a task that is on its machine; the caller holds the lock.
func (w *World) stays(k *Worker, t *task) {
	if at, ok := w.judge.aborted[t.id()]; ok && k.on(t) && time.Since(at) > w.cfg.Cancel {
		w.breaks("ran_cancelled: %s is on %s %v after the answer", t.name, k.name, time.Since(at))
	}
}

// completed notes a task that is done; the members of a gang complete together.
func (w *World) completed(t *task) {
	set := w.judge.done[t.spec.ID]
	if set == nil {
		set = map[int32]bool{}
		w.judge.done[t.spec.ID] = set
	}
	set[t.idx] = true
	if t.spec.ShapeName == gang {
		for i := range t.spec.Tasks {
			set[int32(i)] = true
		}
	}
	w.ended(t.spec)
}
