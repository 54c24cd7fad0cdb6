package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Step advances the record by one step if one is due, and reports whether the record has changed.
// The decision depends on the record and the view alone, so that every leader takes the same
// step and a repeated step changes nothing. The gate is compiled from the record's specification;
// a nil gate means that the expressions cannot be compiled, and pauses the roll-out. A copy of a
// record may share its batches and failures with the original, because Step never changes these
// in place.
func Step(r *Record, view *View, gate *Gate) bool {
	if r.State.Ended() {
		return false
	}
	if view.Cancelled {
		r.setState(Failed, view.Now, "the service was cancelled by its user")
		return true
	}
	if gate == nil {
		// The gate compiled when the roll-out was requested: another release stored the record.
		return r.pauseForOperator(view.Now, "the gate cannot be read")
	}
	switch r.State {
	case Pending:
		r.startBatch(0, view)
		return true
	case RollingBack:
		return r.stepRollingBack(view)
	}
	if reason := r.gateFailure(view, gate); reason != "" {
		if r.Spec.autoRollback() {
			r.rollBack(view.Now, reason)
			return true
		}
		return r.pauseForOperator(view.Now, reason)
	}
	switch r.State {
	case Paused:
		return r.stepPaused(view)
	case Advancing:
		return r.stepAdvancing(view, gate)
	case Soaking:
		return r.stepSoaking(view, gate)
	}
	return false
}

// gateFailure describes the first batch that fails the gate. The reason is empty if none fails.
// It looks at all batches that have started, also during a pause: an instance that passed at
// first and fails later stops the roll-out as well.
func (r *Record) gateFailure(view *View, gate *Gate) (reason string) {
	if r.BatchIndex >= len(r.Batches) || view.ChecksUnreachable {
		return ""
	}
	for i := 0; i <= r.BatchIndex; i++ {
		if s := r.sample(view, &r.Batches[i]); gate.Fails(s) {
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

// startBatch starts a batch. A batch whose zone is unavailable is swapped with a later batch in
// another zone. The swap is only possible before the batch starts, because afterwards the new
// version may have run in its zone. If the zones of all later batches are unavailable as well,
// the roll-out is paused.
func (r *Record) startBatch(index int, view *View) {
	r.BatchIndex = index
	r.BatchStartedAt = view.Now.UnixMilli()
	for i := index; i < len(r.Batches); i++ {
		if view.UnavailableZones[r.Batches[i].Zone] {
			continue
		}
		if i != index {
			r.Batches = slices.Clone(r.Batches)
			r.Batches[index], r.Batches[i] = r.Batches[i], r.Batches[index]
		}
		r.setState(Advancing, view.Now, "")
		return
	}
	r.State = Advancing
	r.pause(view.Now, zoneUnavailableReason+r.Batches[index].Zone)
}

// pause stops the roll-out in its current state. The desired instances stay the same.
func (r *Record) pause(now time.Time, reason string) {
	r.ResumeState = r.State
	r.setState(Paused, now, reason)
}

// pauseForOperator pauses the roll-out until an operator resumes it, and reports whether the
// record has changed. It leaves a roll-out that is paused already as it is.
func (r *Record) pauseForOperator(now time.Time, reason string) bool {
	if r.State == Paused {
		return false
	}
	r.pause(now, reason)
	r.ManualResume = true
	return true
}

// rollBack starts to roll the batches back, the current one first.
func (r *Record) rollBack(now time.Time, reason string) {
	r.BatchStartedAt = now.UnixMilli()
	r.setState(RollingBack, now, reason)
}

// secondsSince returns the seconds since a time in milliseconds since 1970.
func secondsSince(from int64, now time.Time) float64 { return float64(now.UnixMilli()-from) / 1000 }

// Reasons of pauses that end by themselves. They are stored, and stepPaused recognizes them by
// their text.
const (
	checksUnreachableReason = "the checks fail for old copies as well: the checker is cut off"
	zoneUnavailableReason   = "no machine of the zone can take work: "
	machinesLostReason      = "machines of the batch were lost: "
)

// stepPaused resumes a roll-out if the reason of its pause no longer holds.
func (r *Record) stepPaused(view *View) bool {
	if r.ManualResume || view.ChecksUnreachable || (r.BatchIndex < len(r.Batches) && view.UnavailableZones[r.Batches[r.BatchIndex].Zone]) {
		return false
	}
	switch {
	case r.Reason == checksUnreachableReason || strings.HasPrefix(r.Reason, zoneUnavailableReason):
	case strings.HasPrefix(r.Reason, machinesLostReason):
		if r.batchLost(view) {
			return false
		}
	default:
		return false
	}
	r.resume(view.Now)
	return true
}

// currentBatch returns the batch that is being changed, or the last one if all are changed.
func (r *Record) currentBatch() *Batch { return &r.Batches[min(r.BatchIndex, len(r.Batches)-1)] }

// batchLost reports whether a machine of the current batch is lost.
func (r *Record) batchLost(view *View) bool {
	return slices.ContainsFunc(r.currentBatch().Replicas, func(replica int32) bool {
		return view.oldInstance(replica).Lost || view.newInstance(replica).Lost
	})
}

// resume continues with the state before the pause. The batch's deadline starts anew, because its
// instances did not cause the delay.
func (r *Record) resume(now time.Time) {
	next := r.ResumeState
	if next == Soaking || next == "" {
		next = Advancing // the batch has to pass the gate again
	}
	r.ManualResume = false
	r.ResumeState = ""
	r.BatchStartedAt = now.UnixMilli()
	r.setState(next, now, "")
}

// stepAdvancing starts the soak of a batch that is changed and passes the gate, or stops the
// roll-out if the batch is past its deadline.
func (r *Record) stepAdvancing(view *View, gate *Gate) bool {
	batch := &r.Batches[r.BatchIndex]
	if view.ChecksUnreachable {
		r.pause(view.Now, checksUnreachableReason)
		return true
	}
	if view.UnavailableZones[batch.Zone] {
		// The batch has started, so the roll-out waits for its zone and starts no other batch.
		r.pause(view.Now, zoneUnavailableReason+batch.Zone)
		return true
	}
	s := r.sample(view, batch)
	if s.Lost == 0 && batch.changed(view) && gate.Passes(s) {
		r.setState(Soaking, view.Now, "")
		return true
	}
	if secondsSince(r.BatchStartedAt, view.Now) <= r.Spec.deadlineSeconds() {
		return false
	}
	r.stopOverdueBatch(s, view.Now)
	return true
}

// changed reports whether every replica of a batch runs its new instance and no old one.
func (b *Batch) changed(view *View) bool {
	return !slices.ContainsFunc(b.Replicas, func(replica int32) bool {
		return !view.newInstance(replica).Running || view.oldInstance(replica).Live
	})
}

// stopOverdueBatch rolls back or pauses the roll-out because the current batch is past its
// deadline. Only observed failures and unhealthy instances count against the build.
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

// stepSoaking starts the next batch once the current one has passed the gate for the soak time.
func (r *Record) stepSoaking(view *View, gate *Gate) bool {
	if view.ChecksUnreachable {
		r.pause(view.Now, checksUnreachableReason)
		return true
	}
	if s := r.sample(view, &r.Batches[r.BatchIndex]); s.Lost > 0 || !gate.Passes(s) {
		r.setState(Advancing, view.Now, "") // the batch has to pass again before its deadline
		return true
	}
	if secondsSince(r.StateSince, view.Now) < r.Spec.soakSeconds() {
		return false
	}
	if r.BatchIndex+1 < len(r.Batches) {
		r.startBatch(r.BatchIndex+1, view)
		return true
	}
	r.BatchIndex = len(r.Batches)
	r.Current, r.Next = r.Next, r.Current
	r.setState(Done, view.Now, "")
	return true
}

// stepRollingBack rolls back one batch after the other. It does not wait for a batch that is past
// its deadline, because the other batches would stay on the bad version.
func (r *Record) stepRollingBack(view *View) bool {
	overdue := secondsSince(r.BatchStartedAt, view.Now) > r.Spec.deadlineSeconds()
	if !r.currentBatch().rolledBack(view, r.Spec.readySeconds()) && !overdue {
		return false
	}
	if r.BatchIndex > 0 {
		r.BatchIndex--
		r.BatchStartedAt = view.Now.UnixMilli()
		return true
	}
	reason := r.Reason
	if overdue {
		for i, old := range view.Old {
			if !old.readyAfter(r.Spec.readySeconds()) {
				r.setState(Failed, view.Now, fmt.Sprintf("%s; rolled back, but the old version does not come up either (replica %d)", reason, i))
				return true
			}
		}
	}
	r.setState(RolledBack, view.Now, reason)
	return true
}

// rolledBack reports whether no new instance of a batch is live and every old one has run for
// readySeconds.
func (b *Batch) rolledBack(view *View, readySeconds float64) bool {
	return !slices.ContainsFunc(b.Replicas, func(replica int32) bool {
		return view.newInstance(replica).Live || !view.oldInstance(replica).readyAfter(readySeconds)
	})
}
