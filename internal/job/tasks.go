package job

import "math"

// IsDone reports whether a task has completed.
func (j *Job) IsDone(task int32) bool {
	return int(task) < j.Tasks && j.done[task/wordBits]&(1<<(task%wordBits)) != 0
}

// MarkDone marks a task as completed. It reports false if the task was already marked.
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

// ReplicaPlan holds for each replica of a service whether it may run, and in which zone.
type ReplicaPlan struct {
	Allowed []bool
	Zone    []int // -1 if the plan does not restrict the zone
}

// MayRun reports whether a task may run according to the plan of the replicas.
func (j *Job) MayRun(task int32) bool {
	return j.Replicas == nil || (int(task) < len(j.Replicas.Allowed) && j.Replicas.Allowed[task])
}

// RequiredZone returns the only zone that a task may run in, or -1 if it may run in any.
func (j *Job) RequiredZone(task int32) int {
	if j.Replicas != nil && int(task) < len(j.Replicas.Zone) && j.Replicas.Zone[task] >= 0 {
		return j.Replicas.Zone[task]
	}
	return j.ZoneIdx
}

// CountUnplaced returns the number of tasks that need a placement.
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
	count := 0
	for task := range int32(j.Tasks) {
		if j.MayRun(task) && j.Live[task] == 0 {
			count++
		}
	}
	return count
}

// Unplaced iterates over the tasks that need a placement, in ascending order.
func (j *Job) Unplaced(yield func(task int32) bool) {
	if j.Shape != Service {
		for int(j.lowestIncomplete) < j.Tasks && j.IsDone(j.lowestIncomplete) {
			j.lowestIncomplete++
		}
	}
	for task := j.lowestIncomplete; int(task) < j.Tasks; task++ {
		if task%wordBits == 0 && j.Shape != Service && j.done[task/wordBits] == math.MaxUint64 {
			task += wordBits - 1 // skip the word: a large job that is nearly complete must not cost a check of each task
			continue
		}
		if j.Live[task] > 0 || !j.MayRun(task) || (j.Shape != Service && j.IsDone(task)) {
			continue
		}
		if !yield(task) {
			return
		}
	}
}

// AdjustLive adds delta to the number of a task's placements that may be on a machine.
func (j *Job) AdjustLive(task int32, delta int) {
	before := j.Live[task]
	after := before + delta
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
