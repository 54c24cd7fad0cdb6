package emulate

// workerByTask are tasks with the machines that they are on.
type workerByTask map[*task]*Worker

// taskIndex finds the tasks of all machines by their names, jobs and teams, so that a start is
// checked against the tasks that it concerns alone. Tasks of unknown jobs are not in it: nothing
// is counted for them.
type taskIndex struct {
	byName, byJob, byTeam map[string]workerByTask
}

func newTaskIndex() taskIndex {
	return taskIndex{byName: map[string]workerByTask{}, byJob: map[string]workerByTask{}, byTeam: map[string]workerByTask{}}
}

// each calls f with the sets that a task belongs to, by their keys.
func (index *taskIndex) each(t *task, f func(sets map[string]workerByTask, key string)) {
	f(index.byName, t.name)
	f(index.byJob, t.spec.ID)
	f(index.byTeam, t.spec.Team)
}

// addTask puts a task on the machine.
func (worker *Worker) addTask(id string, t *task) {
	worker.tasks[id] = t
	if t.spec == nil {
		return
	}
	worker.world.tasks.each(t, func(sets map[string]workerByTask, key string) {
		if sets[key] == nil {
			sets[key] = workerByTask{}
		}
		sets[key][t] = worker
	})
}

// deleteTask takes a task off the machine.
func (worker *Worker) deleteTask(id string) {
	t := worker.tasks[id]
	delete(worker.tasks, id)
	if t.spec == nil {
		return
	}
	worker.world.tasks.each(t, func(sets map[string]workerByTask, key string) {
		delete(sets[key], t)
		if len(sets[key]) == 0 {
			delete(sets, key)
		}
	})
}
