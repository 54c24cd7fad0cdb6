package emulate

import (
	"net/http"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// execute carries out a controller's orders.
func (worker *Worker) execute(orders []wire.Command) {
	for _, o := range orders {
		id := taskKey(o.Task, o.Attempt)
		t := worker.tasks[id]
		switch o.Verb {
		case wire.CommandLaunch:
			if t == nil {
				worker.launch(id, o)
			}
		case wire.CommandStop:
			if t != nil && t.phase != wire.TaskExited {
				worker.stop(t, o.GraceS)
			}
		case wire.CommandClear:
			if t != nil && t.phase == wire.TaskExited {
				worker.deleteTask(id)
			}
		}
	}
}

// launch begins to pull the image of a task.
func (worker *Worker) launch(id string, o wire.Command) {
	jobID, index, _ := job.SplitTaskName(o.Task)
	spec := worker.world.spec(jobID)
	t := &task{
		name:     o.Task,
		index:    index,
		attempt:  o.Attempt,
		spec:     spec,
		phase:    wire.TaskFetching,
		pulledAt: time.Now().Add(worker.world.cfg.ImagePullTime + worker.pullDelay),
	}
	worker.addTask(id, t)
	worker.changed = true
	switch {
	case spec == nil:
		t.exit(wire.CauseUnknownTask)
	case worker.overcommitted():
		t.exit(wire.CauseNoResources)
	}
}

// stop ends a task, after a checkpoint if the grace time (in seconds) is long enough for one.
func (worker *Worker) stop(t *task, grace *float64) {
	worker.changed = true
	if t.phase == wire.TaskRunning && t.spec.CheckpointS > 0 && grace != nil && *grace >= t.spec.SaveS {
		t.phase = wire.TaskCheckpointing
		t.checkpointedAt = time.Now().Add(seconds(t.spec.SaveS))
		return
	}
	if t.phase == wire.TaskCheckpointing && grace != nil && *grace > 0 {
		return
	}
	was := t.phase
	t.exit(wire.CauseStopped)
	worker.recordEnd(t, was, time.Now())
}

// serveHealthCheck answers a health check of a replica.
func (worker *Worker) serveHealthCheck(rw http.ResponseWriter, taskName string) {
	if worker.world.dropHealthChecks {
		panic(http.ErrAbortHandler) // ends the connection without an answer
	}
	for _, t := range worker.tasks {
		if t.name != taskName || t.phase != wire.TaskRunning {
			continue
		}
		if worker.world.images[t.spec.Image].health(time.Since(t.runningSince)) == wire.HealthBad {
			rw.WriteHeader(http.StatusInternalServerError)
		}
		return
	}
	rw.WriteHeader(http.StatusNotFound)
}

// lockWhenResponsive waits until the worker does not hang, and returns with the world's lock.
func (worker *Worker) lockWhenResponsive() {
	const pollInterval = 50 * time.Millisecond
	checker := &worker.world.checker
	worker.world.mu.Lock()
	if !worker.hanging {
		return
	}
	checker.blockedCommands++
	checker.maxBlockedCommands = max(checker.maxBlockedCommands, checker.blockedCommands)
	for worker.hanging {
		worker.world.mu.Unlock()
		time.Sleep(pollInterval)
		worker.world.mu.Lock()
	}
	checker.blockedCommands--
}

// serve answers direct commands and health checks. A command of a leader that is superseded, or
// for an earlier session, is refused.
func (worker *Worker) serve(rw http.ResponseWriter, q *http.Request) {
	var d wire.DirectCommands
	decoded := q.URL.Path == "/do" && decodeRequest(q, &d)
	worker.lockWhenResponsive()
	defer worker.world.mu.Unlock()
	if worker.removed {
		return
	}
	worker.step(time.Now())
	valid := d.Token >= worker.token && d.Session == worker.session
	worker.world.recordDirectCommands(d.Commands, valid)
	switch {
	case q.URL.Path == "/show":
	case q.Method == http.MethodGet:
		worker.serveHealthCheck(rw, q.URL.Query().Get("piece"))
		return
	case !decoded:
		writeResponse(rw, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	case !valid:
		writeResponse(rw, http.StatusConflict, worker.heartbeat())
		return
	default:
		worker.raiseToken(d.Token)
		worker.world.checker.directCommands++
		worker.execute(d.Commands)
	}
	writeResponse(rw, http.StatusOK, worker.heartbeat())
}

// raiseToken takes over a higher fencing token.
func (worker *Worker) raiseToken(token uint64) {
	if token > worker.token {
		worker.token = token
		worker.changed = true
	}
}
