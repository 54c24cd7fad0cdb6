package emulate

// tasksOn are tasks with the machines that they are on.
type tasksOn map[*task]*Worker

// taskIndex finds the tasks of all machines by their names, jobs and teams, so that a start is
// checked against the tasks that it concerns alone. Tasks of unknown jobs are not in it: nothing
// is counted for them.
type taskIndex struct {
	byName, byJob, byTeam map[string]tasksOn
}

func newTaskIndex() taskIndex {
	return taskIndex{byName: map[string]tasksOn{}, byJob: map[string]tasksOn{}, byTeam: map[string]tasksOn{}}
}

// each calls f with the sets that a task belongs to, by their keys.
func (x *taskIndex) each(t *task, f func(sets map[string]tasksOn, key string)) {
	f(x.byName, t.name)
	f(x.byJob, t.spec.ID)
	f(x.byTeam, t.spec.Team)
}

// addTask puts a task on the machine.
func (worker *Worker) addTask(id string, t *task) {
	worker.tasks[id] = t
	if t.spec == nil {
		return
	}
	worker.world.tasks.each(t, func(sets map[string]tasksOn, key string) {
		if sets[key] == nil {
			sets[key] = tasksOn{}
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
	worker.world.tasks.each(t, func(sets map[string]tasksOn, key string) {
		delete(sets[key], t)
		if len(sets[key]) == 0 {
			delete(sets, key)
		}
	})
}
