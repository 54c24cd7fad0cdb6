package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Step takes one step, if it is time for one, and reports whether the record has changed. The
// record and the view alone decide, so any leader takes the same step, and taking it twice
// changes nothing more. The gate is that of the record's specification; nil: it cannot be
// read, which pauses. A copy of a record that shares its batches and failures with the
// original may be stepped: these are never changed in place.
func Step(r *Record, v *View, gate *Gate) bool {
	if r.State.Ended() {
		return false
	}
	if v.Cancelled {
		r.setState(Failed, v.Now, "the service was cancelled by its user")
		return true
	}
	if gate == nil { // it was checked when it was requested; a record of another release
		return r.pauseForOperator(v.Now, "the gate cannot be read")
	}
	switch r.State {
	case Pending:
		r.startBatch(0, v)
		return true
	case RollingBack:
		return r.stepRollingBack(v)
	}
	if reason := r.gateFailure(v, gate); reason != "" {
		if r.Spec.autoRollback() {
			r.rollBack(v.Now, reason)
			return true
		}
		return r.pauseForOperator(v.Now, reason)
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

// gateFailure says which batch fails the gate; empty: none. An instance that passed at first
// and fails later stops the roll-out, whichever batch it was in; so does one that fails while
// the roll-out is paused.
func (r *Record) gateFailure(v *View, gate *Gate) (reason string) {
	if r.BatchIndex >= len(r.Batches) || v.ChecksUnreachable {
		return ""
	}
	for i := 0; i <= r.BatchIndex; i++ {
		if s := r.sample(v, &r.Batches[i]); gate.Fails(s) {
			return fmt.Sprintf("batch %d: %s", i+1, describeSample(s))
		}
	}
	return ""
}

// setState moves the record to a state.
func (r *Record) setState(s State, now time.Time, reason string) {
	r.State = s
	r.StateSince = now.UnixMilli()
	r.Reason = reason
}

// startBatch starts a batch. One whose zone is unavailable changes places with a later one
// elsewhere, now and not later: once it has begun, its new version may have run there.
func (r *Record) startBatch(index int, v *View) {
	r.BatchIndex = index
	r.BatchStartedAt = v.Now.UnixMilli()
	for i := index; i < len(r.Batches); i++ {
		if v.UnavailableZones[r.Batches[i].Zone] {
			continue
		}
		if i != index {
			r.Batches = slices.Clone(r.Batches)
			r.Batches[index], r.Batches[i] = r.Batches[i], r.Batches[index]
		}
		r.setState(Advancing, v.Now, "")
		return
	}
	r.State = Advancing
	r.pause(v.Now, zoneUnavailableReason+r.Batches[index].Zone)
}

// pause stops the roll-out where it is. What should run stays as it was.
func (r *Record) pause(now time.Time, reason string) {
	r.ResumeState = r.State
	r.setState(Paused, now, reason)
}

// pauseForOperator pauses until an operator resumes, and reports whether the record has
// changed: a pause stays as it is.
func (r *Record) pauseForOperator(now time.Time, reason string) bool {
	if r.State == Paused {
		return false
	}
	r.pause(now, reason)
	r.ManualResume = true
	return true
}

// rollBack begins to roll batches back, the one that is under way first.
func (r *Record) rollBack(now time.Time, reason string) {
	r.BatchStartedAt = now.UnixMilli()
	r.setState(RollingBack, now, reason)
}

// secondsSince is the time since a time of day in milliseconds, in seconds.
func secondsSince(from int64, now time.Time) float64 { return float64(now.UnixMilli()-from) / 1000 }

// Reasons of a pause that ends by itself. They are stored: stepPaused recognizes them.
const (
	checksUnreachableReason = "the checks fail for old copies as well: the checker is cut off"
	zoneUnavailableReason   = "no machine of the zone can take work: "
	machinesLostReason      = "machines of the batch were lost: "
)

// stepPaused resumes what was paused for a reason that is gone.
func (r *Record) stepPaused(v *View) bool {
	if r.ManualResume || v.ChecksUnreachable || (r.BatchIndex < len(r.Batches) && v.UnavailableZones[r.Batches[r.BatchIndex].Zone]) {
		return false
	}
	switch {
	case r.Reason == checksUnreachableReason || strings.HasPrefix(r.Reason, zoneUnavailableReason):
	case strings.HasPrefix(r.Reason, machinesLostReason):
		if r.batchLost(v) {
			return false
		}
	default:
		return false
	}
	r.resume(v.Now)
	return true
}

// currentBatch is the batch that is being changed; the last one once all are.
func (r *Record) currentBatch() *Batch { return &r.Batches[min(r.BatchIndex, len(r.Batches)-1)] }

// batchLost reports whether machines of the batch under way are lost.
func (r *Record) batchLost(v *View) bool {
	return slices.ContainsFunc(r.currentBatch().Replicas, func(replica int32) bool {
		return v.oldInstance(replica).Lost || v.newInstance(replica).Lost
	})
}

// resume goes on where a pause began. The batch has its full time again: the delay was not
// its instances' doing.
func (r *Record) resume(now time.Time) {
	next := r.ResumeState
	if next == Soaking || next == "" {
		next = Advancing // it has to pass again
	}
	r.ManualResume = false
	r.ResumeState = ""
	r.BatchStartedAt = now.UnixMilli()
	r.setState(next, now, "")
}

// stepAdvancing begins the soak of a batch that is changed and passes, or stops one that is
// past its deadline.
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
	if s.Lost == 0 && b.changed(v) && gate.Passes(s) {
		r.setState(Soaking, v.Now, "")
		return true
	}
	if secondsSince(r.BatchStartedAt, v.Now) <= r.Spec.deadlineSeconds() {
		return false
	}
	r.stopOverdueBatch(s, v.Now)
	return true
}

// changed reports whether new instances alone run of a batch.
func (b *Batch) changed(v *View) bool {
	return !slices.ContainsFunc(b.Replicas, func(replica int32) bool {
		return !v.newInstance(replica).Running || v.oldInstance(replica).Live
	})
}

// stopOverdueBatch stops the roll-out when the batch under way is past its deadline. Only what
// its instances are known to have done is held against the build.
func (r *Record) stopOverdueBatch(s Sample, now time.Time) {
	reason := fmt.Sprintf("batch %d is not healthy after %.0f s: %s", r.BatchIndex+1, r.Spec.deadlineSeconds(), describeSample(s))
	switch {
	case (s.Unhealthy > 0 || s.AllFailures > 0) && r.Spec.autoRollback():
		r.rollBack(now, reason)
	case s.Lost > 0:
		r.pause(now, machinesLostReason+reason)
	default:
		r.pauseForOperator(now, reason)
	}
}

// stepSoaking goes on to the next batch when this one has passed for long enough.
func (r *Record) stepSoaking(v *View, gate *Gate) bool {
	if v.ChecksUnreachable {
		r.pause(v.Now, checksUnreachableReason)
		return true
	}
	if s := r.sample(v, &r.Batches[r.BatchIndex]); s.Lost > 0 || !gate.Passes(s) {
		r.setState(Advancing, v.Now, "") // to pass again, within the batch's deadline
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

// stepRollingBack rolls back one batch after the other. A batch that is past its deadline is
// left: it must not hold the others on the bad version.
func (r *Record) stepRollingBack(v *View) bool {
	overdue := secondsSince(r.BatchStartedAt, v.Now) > r.Spec.deadlineSeconds()
	if !r.currentBatch().rolledBack(v, r.Spec.readySeconds()) && !overdue {
		return false
	}
	if r.BatchIndex > 0 {
		r.BatchIndex--
		r.BatchStartedAt = v.Now.UnixMilli()
		return true
	}
	reason := r.Reason
	if overdue {
		for i, old := range v.Old {
			if !old.readyAfter(r.Spec.readySeconds()) {
				r.setState(Failed, v.Now, fmt.Sprintf("%s; rolled back, but the old version does not come up either (replica %d)", reason, i))
				return true
			}
		}
	}
	r.setState(RolledBack, v.Now, reason)
	return true
}

// rolledBack reports whether old instances alone run of a batch, for long enough.
func (b *Batch) rolledBack(v *View, readySeconds float64) bool {
	return !slices.ContainsFunc(b.Replicas, func(replica int32) bool {
		return v.newInstance(replica).Live || !v.oldInstance(replica).readyAfter(readySeconds)
	})
}
