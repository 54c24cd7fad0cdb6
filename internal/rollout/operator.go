package rollout

import "time"

// Pause pauses a roll-out at an operator's request, and reports whether the record has changed.
func Pause(r *Record, now time.Time) bool {
	if r.State.Ended() || (r.State == Paused && r.ManualResume) {
		return false
	}
	if r.State != Paused {
		r.pause(now, "")
	}
	r.ManualResume = true
	r.Reason = "paused by an operator"
	return true
}

// Resume resumes a paused roll-out at an operator's request, and reports whether the record has
// changed.
func Resume(r *Record, now time.Time) bool {
	if r.State != Paused {
		return false
	}
	r.resume(now)
	return true
}

// RollBack starts to roll back at an operator's request, and reports whether the record has
// changed.
func RollBack(r *Record, now time.Time) bool {
	if r.State.Ended() || r.State == RollingBack {
		return false
	}
	r.ManualResume = false
	r.BatchIndex = min(r.BatchIndex, max(0, len(r.Batches)-1))
	r.rollBack(now, "rolled back by an operator")
	return true
}
