package emulate

import (
	"net/http"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// execute executes commands of a controller.
func (worker *Worker) execute(commands []wire.Command) {
	for _, command := range commands {
		id := taskKey(command.Task, command.Attempt)
		t := worker.tasks[id]
		switch command.Verb {
		case wire.CommandLaunch:
			if t == nil {
				worker.launch(id, command)
			}
		case wire.CommandStop:
			if t != nil && t.phase != wire.TaskExited {
				worker.stop(t, command.GraceS)
			}
		case wire.CommandClear:
			if t != nil && t.phase == wire.TaskExited {
				worker.deleteTask(id)
			}
		}
	}
}

// launch adds a task and starts to pull its image. The task exits at once if its job is unknown or
// the machine lacks resources.
func (worker *Worker) launch(id string, command wire.Command) {
	jobID, index, _ := job.SplitTaskName(command.Task)
	spec := worker.world.spec(jobID)
	t := &task{
		name:     command.Task,
		index:    index,
		attempt:  command.Attempt,
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

// stop stops a task. If the grace time (in seconds) is long enough, a task with checkpoints saves one
// first.
func (worker *Worker) stop(t *task, graceS *float64) {
	worker.changed = true
	if t.phase == wire.TaskRunning && t.spec.CheckpointS > 0 && graceS != nil && *graceS >= t.spec.SaveS {
		t.phase = wire.TaskCheckpointing
		t.checkpointedAt = time.Now().Add(seconds(t.spec.SaveS))
		return
	}
	if t.phase == wire.TaskCheckpointing && graceS != nil && *graceS > 0 {
		return
	}
	previous := t.phase
	t.exit(wire.CauseStopped)
	worker.recordEnd(t, previous, time.Now())
}

// serveHealthCheck responds to a health check of a replica.
func (worker *Worker) serveHealthCheck(rw http.ResponseWriter, taskName string) {
	if worker.world.dropHealthChecks {
		panic(http.ErrAbortHandler) // closes the connection without a response
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

// lockWhenResponsive waits until the worker does not hang, and returns holding the world's lock.
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

// serve responds to direct commands and health checks. It refuses commands of a superseded leader and
// commands for an earlier session.
func (worker *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	var request wire.DirectCommands
	decoded := r.URL.Path == "/do" && decodeRequest(r, &request)
	worker.lockWhenResponsive()
	defer worker.world.mu.Unlock()
	if worker.removed {
		return
	}
	worker.step(time.Now())
	valid := worker.accepts(request)
	worker.world.recordDirectCommands(request.Commands, valid)
	switch {
	case r.URL.Path == "/show":
	case r.Method == http.MethodGet:
		worker.serveHealthCheck(rw, r.URL.Query().Get("piece"))
		return
	case !decoded:
		writeResponse(rw, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	case !valid:
		writeResponse(rw, http.StatusConflict, worker.heartbeat())
		return
	default:
		worker.raiseToken(request.Token)
		worker.world.checker.directCommands++
		worker.execute(request.Commands)
		worker.duplicateCommands(request)
	}
	writeResponse(rw, http.StatusOK, worker.heartbeat())
}

// accepts reports whether direct commands are from the newest leader that the worker has heard of and
// for its current session.
func (worker *Worker) accepts(request wire.DirectCommands) bool {
	return request.Token >= worker.token && request.Session == worker.session
}

// raiseToken raises the worker's fencing token if the given one is higher.
func (worker *Worker) raiseToken(token uint64) {
	if token > worker.token {
		worker.token = token
		worker.changed = true
	}
}
