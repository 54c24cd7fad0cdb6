package emulate

// workerByTask maps tasks to the workers that run them.
type workerByTask map[*task]*Worker

// taskIndex indexes the tasks of all machines by name, job and team, so that the check of a start
// reads only related tasks. It has no tasks of unknown jobs, which no check counts.
type taskIndex struct {
	byName, byJob, byTeam map[string]workerByTask
}

func newTaskIndex() taskIndex {
	return taskIndex{byName: map[string]workerByTask{}, byJob: map[string]workerByTask{}, byTeam: map[string]workerByTask{}}
}

// each calls f with each map of the index and the task's key in it.
func (index *taskIndex) each(t *task, f func(tasks map[string]workerByTask, key string)) {
	f(index.byName, t.name)
	f(index.byJob, t.spec.ID)
	f(index.byTeam, t.spec.Team)
}

// addTask adds a task to the worker and the index.
func (worker *Worker) addTask(id string, t *task) {
	worker.tasks[id] = t
	if t.spec == nil {
		return
	}
	worker.world.tasks.each(t, func(tasks map[string]workerByTask, key string) {
		if tasks[key] == nil {
			tasks[key] = workerByTask{}
		}
		tasks[key][t] = worker
	})
}

// deleteTask removes a task from the worker and the index.
func (worker *Worker) deleteTask(id string) {
	t := worker.tasks[id]
	delete(worker.tasks, id)
	if t.spec == nil {
		return
	}
	worker.world.tasks.each(t, func(tasks map[string]workerByTask, key string) {
		delete(tasks[key], t)
		if len(tasks[key]) == 0 {
			delete(tasks, key)
		}
	})
}
