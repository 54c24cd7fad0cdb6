package job

import "math"

// IsDone reports whether a task has completed.
func (j *Job) IsDone(task int32) bool {
	return int(task) < j.Tasks && j.done[task/wordBits]&(1<<(task%wordBits)) != 0
}

// MarkDone records a completed task and reports whether it was not recorded before.
func (j *Job) MarkDone(task int32) bool {
	if j.IsDone(task) {
		return false
	}
	j.done[task/wordBits] |= 1 << (task % wordBits)
	j.DoneCount++
	if j.Live[task] > 0 {
		j.liveIncomplete--
	}
	j.dirtyChunks[int(task)/tasksPerChunk] = true
	return true
}

// ReplicaPlan is which replicas of a service may run, and in which zone each (-1:
// any).
type ReplicaPlan struct {
	Allowed []bool
	Zone    []int
}

// MayRun reports whether a task may run.
func (j *Job) MayRun(task int32) bool {
	return j.Replicas == nil || (int(task) < len(j.Replicas.Allowed) && j.Replicas.Allowed[task])
}

// RequiredZone is the only zone that a task may run in, or -1.
func (j *Job) RequiredZone(task int32) int {
	if j.Replicas != nil && int(task) < len(j.Replicas.Zone) && j.Replicas.Zone[task] >= 0 {
		return j.Replicas.Zone[task]
	}
	return j.ZoneIdx
}

// CountUnplaced is the number of tasks that need a placement.
func (j *Job) CountUnplaced() int {
	if j.Replicas != nil {
		return j.unplacedReplicas()
	}
	if j.Shape == Service {
		return j.Tasks - len(j.Live)
	}
	return j.Tasks - j.DoneCount - j.liveIncomplete
}

// unplacedReplicas counts the replicas that may run and have no placement.
func (j *Job) unplacedReplicas() int {
	n := 0
	for t := range int32(j.Tasks) {
		if j.MayRun(t) && j.Live[t] == 0 {
			n++
		}
	}
	return n
}

// Unplaced is an iterator over the tasks that need a placement.
func (j *Job) Unplaced(yield func(task int32) bool) {
	if j.Shape != Service {
		for int(j.lowestIncomplete) < j.Tasks && j.IsDone(j.lowestIncomplete) {
			j.lowestIncomplete++
		}
	}
	for t := j.lowestIncomplete; int(t) < j.Tasks; t++ {
		if t%wordBits == 0 && j.Shape != Service && j.done[t/wordBits] == math.MaxUint64 {
			t += wordBits - 1 // a large job that is nearly done must not cost a check of each task
			continue
		}
		if j.Live[t] > 0 || !j.MayRun(t) || (j.Shape != Service && j.IsDone(t)) {
			continue
		}
		if !yield(t) {
			return
		}
	}
}

// AdjustLive changes the number of a task's placements that may be on a machine.
func (j *Job) AdjustLive(task int32, by int) {
	before := j.Live[task]
	after := before + by
	if after > 0 {
		j.Live[task] = after
	} else {
		delete(j.Live, task)
	}
	if (before > 0) == (after > 0) || j.IsDone(task) {
		return
	}
	if after > 0 {
		j.liveIncomplete++
	} else {
		j.liveIncomplete--
	}
}
