package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// sample sums up the new copies of a batch.
func (r *Record) sample(v *View, b *Batch) Sample {
	s := Sample{Replicas: len(b.Replicas)}
	var healthy, unhealthy, unknown int
	hosts := map[string]bool{}
	youngest := -1.0
	for _, i := range b.Replicas {
		f := r.Failures[i]
		s.Failures = max(s.Failures, f.Count)
		s.AllFailures += f.Count
		for _, h := range f.Hosts {
			hosts[h] = true
		}
		c := v.instance(v.New, i)
		switch {
		case c.Lost:
			s.Lost++
			continue
		case !c.Running:
			unknown++
		case c.Health == Healthy:
			healthy++
		case c.Health == Unhealthy:
			unhealthy++
			s.BadS = max(s.BadS, c.BadS)
		default:
			unknown++
		}
		if c.Running && (youngest < 0 || c.SinceS < youngest) {
			youngest = c.SinceS
		}
	}
	s.SinceS = max(0, youngest)
	s.FailedHosts = len(hosts)
	if n := float64(s.Replicas - s.Lost); n > 0 {
		s.Healthy, s.Unhealthy, s.Unknown = float64(healthy)/n, float64(unhealthy)/n, float64(unknown)/n
	}
	return s
}

func (v *View) instance(of []Instance, i int32) Instance {
	if int(i) >= len(of) {
		return Instance{}
	}
	return of[i]
}

// setState moves the record to a state.
func (r *Record) setState(s State, now time.Time, why string) {
	r.State, r.StateSince, r.Reason = s, now.UnixMilli(), why
}

// startBatch starts work on a batch. One whose zone is down gives way to one elsewhere,
// now and not later: once it has begun, its new version may have run there.
func (r *Record) startBatch(at int, v *View) {
	r.BatchIndex, r.BatchStartedAt = at, v.Now.UnixMilli()
	for i := at; i < len(r.Batches); i++ {
		if v.UnavailableZones[r.Batches[i].Zone] {
			continue
		}
		if i != at {
			r.Batches = slices.Clone(r.Batches)
			r.Batches[at], r.Batches[i] = r.Batches[i], r.Batches[at]
		}
		r.setState(Advancing, v.Now, "")
		return
	}
	r.State = Advancing
	r.pause(v.Now, zoneUnavailableReason+r.Batches[at].Zone)
}

// pause stops where it is. What is wanted stays as it was.
func (r *Record) pause(now time.Time, why string) {
	r.ResumeState = r.State
	r.setState(Paused, now, why)
}

// rollBack begins to take batches back, the one that is under way first.
func (r *Record) rollBack(now time.Time, why string) {
	r.BatchStartedAt = now.UnixMilli()
	r.setState(RollingBack, now, why)
}

func secondsSince(from int64, now time.Time) float64 { return float64(now.UnixMilli()-from) / 1000 }

// Step takes one step, if it is time for one, and reports whether the record has
// changed. It is the same whoever takes it, and taking it twice changes nothing
// more: the record and the view decide alone. The gate is that of the record's
// spec; nil: it cannot be read, which pauses. A copy of the record that shares its
// batches and failures with another may be stepped: these are never changed in
// place.
func Step(r *Record, v *View, gate *Gate) bool {
	if r.State.Over() {
		return false
	}
	if v.Cancelled {
		r.setState(Failed, v.Now, "the service was cancelled by its user")
		return true
	}
	if gate == nil { // it was checked when it came; a record of another version
		if r.State != Paused {
			r.pause(v.Now, "the gate cannot be read")
			r.PausedByOperator = true
			return true
		}
		return false
	}
	switch r.State {
	case Pending:
		r.startBatch(0, v)
		return true
	case RollingBack:
		return r.stepRollingBack(v)
	}
	// A copy that passed at first and fails later stops the roll-out, whichever
	// batch it was in; so does one that fails while it is paused.
	if r.BatchIndex < len(r.Batches) && !v.ChecksUnreachable {
		for i := 0; i <= r.BatchIndex; i++ {
			s := r.sample(v, &r.Batches[i])
			if !gate.Fails(s) {
				continue
			}
			why := fmt.Sprintf("batch %d: %s", i+1, describeSample(s))
			if r.Spec.autoRollback() {
				r.rollBack(v.Now, why)
				return true
			}
			if r.State != Paused {
				r.pause(v.Now, why)
				r.PausedByOperator = true
				return true
			}
			return false
		}
	}
	switch r.State {
	case Paused:
		return r.stepPaused(v)
	case Advancing:
		return r.stepAdvancing(v, gate)
	case Soaking:
		return r.stepSoaking(v, gate)
	}
	return false
}

// describeSample says in words what a gate has seen.
func describeSample(s Sample) string {
	return fmt.Sprintf("%d failures on %d machines, at most %d of one copy; %.0f %% healthy, %.0f %% unhealthy, %.0f %% unknown, %d lost",
		s.AllFailures, s.FailedHosts, s.Failures, 100*s.Healthy, 100*s.Unhealthy, 100*s.Unknown, s.Lost)
}

// Reasons of a pause that ends by itself.
const (
	checksUnreachableReason = "the checks fail for old copies as well: the checker is cut off"
	zoneUnavailableReason   = "no machine of the zone can take work: "
	machinesLostReason      = "machines of the batch were lost: "
)

// stepPaused resumes what was paused for a reason that has gone.
func (r *Record) stepPaused(v *View) bool {
	if r.PausedByOperator || v.ChecksUnreachable || (r.BatchIndex < len(r.Batches) && v.UnavailableZones[r.Batches[r.BatchIndex].Zone]) {
		return false
	}
	switch {
	case r.Reason == checksUnreachableReason || strings.HasPrefix(r.Reason, zoneUnavailableReason):
	case strings.HasPrefix(r.Reason, machinesLostReason):
		for _, i := range r.Batches[min(r.BatchIndex, len(r.Batches)-1)].Replicas {
			if v.instance(v.Old, i).Lost || v.instance(v.New, i).Lost {
				return false
			}
		}
	default:
		return false
	}
	r.resume(v.Now)
	return true
}

// resume goes on where a pause began. The batch has its full time again: it was
// not its copies' doing.
func (r *Record) resume(now time.Time) {
	back := r.ResumeState
	if back == Soaking || back == "" {
		back = Advancing // it has to pass anew
	}
	r.PausedByOperator, r.ResumeState, r.BatchStartedAt = false, "", now.UnixMilli()
	r.setState(back, now, "")
}

func (r *Record) stepAdvancing(v *View, gate *Gate) bool {
	b := &r.Batches[r.BatchIndex]
	if v.ChecksUnreachable {
		r.pause(v.Now, checksUnreachableReason)
		return true
	}
	if v.UnavailableZones[b.Zone] {
		// It has begun: it is waited for, and never made larger.
		r.pause(v.Now, zoneUnavailableReason+b.Zone)
		return true
	}
	s := r.sample(v, b)
	changed := s.Lost == 0
	for _, i := range b.Replicas {
		changed = changed && v.instance(v.New, i).Running && !v.instance(v.Old, i).Live
	}
	if changed && gate.Passes(s) {
		r.setState(Soaking, v.Now, "")
		return true
	}
	if secondsSince(r.BatchStartedAt, v.Now) <= r.Spec.deadlineSeconds() {
		return false
	}
	// Late. Only what the copies are known to have done is held against the build.
	why := fmt.Sprintf("batch %d is not healthy after %.0f s: %s", r.BatchIndex+1, r.Spec.deadlineSeconds(), describeSample(s))
	switch {
	case (s.Unhealthy > 0 || s.AllFailures > 0) && r.Spec.autoRollback():
		r.rollBack(v.Now, why)
	case s.Lost > 0:
		r.pause(v.Now, machinesLostReason+why)
	default:
		r.pause(v.Now, why)
		r.PausedByOperator = true
	}
	return true
}

func (r *Record) stepSoaking(v *View, gate *Gate) bool {
	if v.ChecksUnreachable {
		r.pause(v.Now, checksUnreachableReason)
		return true
	}
	if s := r.sample(v, &r.Batches[r.BatchIndex]); s.Lost > 0 || !gate.Passes(s) {
		r.setState(Advancing, v.Now, "") // to pass anew, within the batch's deadline
		return true
	}
	if secondsSince(r.StateSince, v.Now) < r.Spec.soakSeconds() {
		return false
	}
	if r.BatchIndex+1 < len(r.Batches) {
		r.startBatch(r.BatchIndex+1, v)
		return true
	}
	r.BatchIndex = len(r.Batches)
	r.Current, r.Next = r.Next, r.Current
	r.setState(Done, v.Now, "")
	return true
}

// stepRollingBack takes back one batch after the other, with or without a healthy copy.
func (r *Record) stepRollingBack(v *View) bool {
	b := &r.Batches[min(r.BatchIndex, len(r.Batches)-1)]
	// An old copy counts when it has run for a while: one that crashes looks up for a
	// moment each time.
	up := func(c Instance) bool { return c.Running && c.SinceS >= r.Spec.readySeconds() }
	back := true
	for _, i := range b.Replicas {
		back = back && !v.instance(v.New, i).Live && up(v.instance(v.Old, i))
	}
	late := secondsSince(r.BatchStartedAt, v.Now) > r.Spec.deadlineSeconds()
	if !back && !late {
		return false
	}
	why := r.Reason
	if r.BatchIndex > 0 {
		// One that does not come back up in time must not keep the others on the bad
		// version.
		r.BatchIndex--
		r.BatchStartedAt = v.Now.UnixMilli()
		return true
	}
	for i, c := range v.Old {
		if !up(c) && late {
			r.setState(Failed, v.Now, fmt.Sprintf("%s; rolled back, but the old version does not come up either (replica %d)", why, i))
			return true
		}
	}
	r.setState(RolledBack, v.Now, why)
	return true
}

// DesiredState is what should run: for each replica whether its old copy should, and the
// zone of its new one.
type DesiredState struct {
	Old []bool
	New []Placement
}

// Placement is where a new copy should run.
type Placement struct {
	Wanted bool
	Zone   string // empty: anywhere
}

// Desired says what should run now. It follows from the record and the view alone.
func Desired(r *Record, v *View) DesiredState {
	n := max(len(v.Old), len(v.New))
	w := DesiredState{Old: make([]bool, n), New: make([]Placement, n)}
	for i := range w.Old {
		w.Old[i] = true
	}
	state := r.State
	if state == Paused {
		state = r.ResumeState
	}
	switch state {
	case Pending, RolledBack, Failed, Done:
		return w // what is current: when it is done, the versions have changed places
	}
	for at, b := range r.Batches {
		switch {
		case at > r.BatchIndex:
			continue
		case at < r.BatchIndex:
			for _, i := range b.Replicas {
				w.Old[i], w.New[i] = false, Placement{true, b.Zone}
			}
		case state == RollingBack:
			// The whole batch goes back at once: its new copies are bad.
		case r.State == Paused:
			// What is there stays, and what is missing comes back as it was.
			for _, i := range b.Replicas {
				if next := v.instance(v.New, i); next.Live {
					w.Old[i], w.New[i] = v.instance(v.Old, i).Live, Placement{true, b.Zone}
				}
			}
		default:
			r.changeBatch(v, &b, &w)
		}
	}
	return w
}

// changeBatch says which replicas of the batch under way change now. A new copy may
// start when there is one extra or when its old one has gone; an old copy goes
// when its new one has been healthy for a while (a bad build can look healthy for a
// moment), or when one may be missing.
func (r *Record) changeBatch(v *View, b *Batch, w *DesiredState) {
	extra, missing := r.Spec.maxSurge(), r.Spec.maxUnavailable()
	for _, i := range b.Replicas {
		old, next := v.instance(v.Old, i), v.instance(v.New, i)
		good := next.Running && !next.Lost && next.Health == Healthy && next.SinceS >= r.Spec.readySeconds()
		switch {
		case next.Live && !old.Live:
			w.Old[i], w.New[i] = false, Placement{true, b.Zone}
			if !good {
				missing--
			}
		case next.Live && good:
			w.Old[i], w.New[i] = false, Placement{true, b.Zone}
			extra--
		case next.Live:
			w.New[i] = Placement{true, b.Zone}
			extra--
		case !old.Live:
			// Neither is there: the old one has gone by itself, or for this change.
			w.Old[i], w.New[i] = false, Placement{true, b.Zone}
			missing--
		}
	}
	for _, i := range b.Replicas {
		if w.New[i].Wanted || !w.Old[i] {
			continue
		}
		switch {
		case extra > 0:
			w.New[i] = Placement{true, b.Zone}
			extra--
		case missing > 0:
			w.Old[i] = false // the new one follows when it has gone
			missing--
		}
	}
}

// Pause stops a roll-out for an operator.
func Pause(r *Record, now time.Time) bool {
	if r.State.Over() || (r.State == Paused && r.PausedByOperator) {
		return false
	}
	if r.State != Paused {
		r.pause(now, "")
	}
	r.PausedByOperator, r.Reason = true, "paused by an operator"
	return true
}

// Resume goes on with a paused roll-out.
func Resume(r *Record, now time.Time) bool {
	if r.State != Paused {
		return false
	}
	r.resume(now)
	return true
}

// RollBack rolls back for an operator.
func RollBack(r *Record, now time.Time) bool {
	if r.State.Over() || r.State == RollingBack {
		return false
	}
	r.PausedByOperator = false
	r.BatchIndex = min(r.BatchIndex, max(0, len(r.Batches)-1))
	r.rollBack(now, "rolled back by an operator")
	return true
}
