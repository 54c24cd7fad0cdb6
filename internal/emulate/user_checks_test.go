package emulate

import (
	"slices"
	"strings"
	"testing"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// ago returns the time that was the given duration before now.
func ago(d time.Duration) time.Time { return time.Now().Add(-d) }

// newTestWorker returns a worker whose lease has just started.
func newTestWorker(w *World, name, zone string) *Worker {
	return &Worker{world: w, name: name, zone: zone, typeName: "x", leaseStart: time.Now(), tasks: map[string]*task{}}
}

// startTask starts a task of the job on a new worker.
func startTask(w *World, name, zone string, spec *job.Spec) {
	worker := newTestWorker(w, name, zone)
	w.workers[name] = worker
	t := &task{name: job.TaskName(spec.ID, int32(len(w.workers))), spec: spec, phase: wire.TaskRunning}
	worker.addTask(t.name, t)
	w.checkStart(worker, t)
}

// acceptJob records a job as submitted and accepted the given duration ago.
func acceptJob(w *World, spec *job.Spec, since time.Duration) {
	w.specs[spec.ID] = spec
	w.checker.users.submittedAt[spec.ID] = ago(since)
	w.checker.users.acceptedAt[spec.ID] = ago(since)
}

// checkWaitingJob runs the starvation check on an accepted job and one free worker, then once more as
// if 100 seconds had passed.
func checkWaitingJob(w *World, spec *job.Spec) {
	w.cfg.Types = []wire.MachineType{{Name: "x", CPUs: 5}}
	w.workers["a"] = newTestWorker(w, "a", "x")
	w.specs[spec.ID] = spec
	w.checker.reportedPhase[spec.ID] = phaseAccepted
	w.CheckStarvation()
	if at, ok := w.checker.users.starvingSince[spec.ID]; ok {
		w.checker.users.starvingSince[spec.ID] = at.Add(-100 * time.Second)
	}
	w.CheckStarvation()
}

// checkerCase is an action on a world and the violation that the checker has to record.
type checkerCase struct {
	name string
	act  func(w *World)
	want string // contained in the violations; empty if there must be none
}

// answerCases are responses that users get, or do not get.
var answerCases = []checkerCase{
	{"polls unanswered for 80 s after the last fault are a violation", func(w *World) {
		acceptJob(w, &job.Spec{ID: "run-1", Tasks: 1}, 200*time.Second)
		w.checker.users.faultsEndedAt = ago(80 * time.Second)
		w.PollUnanswered("run-1")
	}, "forgotten"},
	{"an unanswered poll a minute after an answered one is allowed", func(w *World) {
		acceptJob(w, &job.Spec{ID: "run-1", Tasks: 1}, 200*time.Second)
		w.checker.users.faultsEndedAt = ago(80 * time.Second)
		w.checker.users.answeredAt["run-1"] = ago(time.Minute)
		w.PollUnanswered("run-1")
	}, ""},
	{"unanswered polls are allowed while faults last", func(w *World) {
		acceptJob(w, &job.Spec{ID: "run-1", Tasks: 1}, 200*time.Second)
		w.PollUnanswered("run-1")
	}, ""},
	{"refusing the repeated submission of a done job is a violation", func(w *World) {
		w.CheckResubmission(&job.Spec{ID: "run-1"}, 422, "", wire.JobDone)
	}, "forgotten"},
	{"accepting a done job again on a repeated submission is a violation", func(w *World) {
		w.CheckResubmission(&job.Spec{ID: "run-1"}, 201, "pending", wire.JobDone)
	}, "went_back"},
	{"a repeated submission may report the final phase", func(w *World) {
		w.CheckResubmission(&job.Spec{ID: "run-1"}, 200, wire.JobDone, wire.JobDone)
	}, ""},
	{"a repeated submission of a job without a final phase may be accepted", func(w *World) {
		w.CheckResubmission(&job.Spec{ID: "run-1"}, 201, "pending", "")
	}, ""},
	{"refusing a repeated submission of a job without a final phase is a violation", func(w *World) {
		w.CheckResubmission(&job.Spec{ID: "run-1"}, 422, "", "")
	}, "forgotten"},
	{"a poll that reports an earlier phase than another controller did is a violation", func(w *World) {
		w.checker.reportedPhase["run-1"] = wire.JobCancelled
		w.CheckPoll(&job.Spec{ID: "run-1"}, 200, wire.JobRunning, w.FinalPhase("run-1"), true)
	}, "went_back"},
}

// startCases start tasks, with and without a violation.
var startCases = []checkerCase{
	{"a start after the cancel timeout of the job is a violation", func(w *World) {
		w.cfg.CancelTimeout = 25 * time.Second
		w.checker.cancelledAt["run-1"] = ago(26 * time.Second)
		startTask(w, "a", "x", &job.Spec{ID: "run-1", Tasks: 1})
	}, "ran_cancelled"},
	{"a start within the cancel timeout of the job is allowed", func(w *World) {
		w.cfg.CancelTimeout = 25 * time.Second
		w.checker.cancelledAt["run-1"] = ago(24 * time.Second)
		startTask(w, "a", "x", &job.Spec{ID: "run-1", Tasks: 1})
	}, ""},
	{"three of four spread replicas in one zone are a violation", func(w *World) {
		spec := &job.Spec{ID: "run-1", Tasks: 4, Spread: true}
		startTask(w, "a", "x", spec)
		startTask(w, "b", "x", spec)
		startTask(w, "c", "x", spec)
	}, "wrong_place"},
	{"three of five spread replicas in one zone are allowed", func(w *World) {
		spec := &job.Spec{ID: "run-1", Tasks: 5, Spread: true}
		startTask(w, "a", "x", spec)
		startTask(w, "b", "x", spec)
		startTask(w, "c", "x", spec)
	}, ""},
	{"a one-zone job in two zones is a violation", func(w *World) {
		spec := &job.Spec{ID: "run-1", Tasks: 2, OneZone: true}
		startTask(w, "a", "x", spec)
		startTask(w, "b", "y", spec)
	}, "wrong_place"},
	{"a task that runs on two machines is a violation", func(w *World) {
		spec := &job.Spec{ID: "run-1", Tasks: 2}
		startTask(w, "a", "x", spec)
		worker := newTestWorker(w, "b", "x")
		again := &task{name: job.TaskName(spec.ID, 1), spec: spec, phase: wire.TaskRunning, attempt: 2}
		worker.addTask("again", again)
		w.checkStart(worker, again)
	}, "ran_twice"},
	{"a task may start again after its machine is killed", func(w *World) {
		spec := &job.Spec{ID: "run-1", Tasks: 1}
		startTask(w, "a", "x", spec)
		w.Kill([]*Worker{w.workers["a"]})
		startTask(w, "b", "x", spec)
	}, ""},
	{"using more accelerators than the team's limit is a violation", func(w *World) {
		w.cfg.Limits = map[string]Resources{"red": {GPUs: 3}}
		spec := &job.Spec{ID: "run-1", Team: "red", Tasks: 2, GPUs: 2}
		startTask(w, "a", "x", spec)
		startTask(w, "b", "x", spec)
	}, "quota"},
}

// starvationCases are accepted jobs and one worker with free resources.
var starvationCases = []checkerCase{
	{"a job that waits although resources are free is a violation", func(w *World) {
		checkWaitingJob(w, &job.Spec{ID: "run-1", Team: "red", ShapeName: "array", Tasks: 3, CPUs: 2})
	}, "idle: job run-1"},
	{"a gang may wait if only some of its members fit", func(w *World) {
		checkWaitingJob(w, &job.Spec{ID: "run-1", Team: "red", ShapeName: gang, Tasks: 3, CPUs: 2})
	}, ""},
	{"a job may wait if only another zone has free resources", func(w *World) {
		checkWaitingJob(w, &job.Spec{ID: "run-1", Team: "red", ShapeName: "array", Tasks: 3, CPUs: 2, Zone: "y"})
	}, ""},
	{"a job may wait if it would exceed the limit of its team", func(w *World) {
		w.cfg.Limits = map[string]Resources{"red": {CPUs: 1}}
		checkWaitingJob(w, &job.Spec{ID: "run-1", Team: "red", ShapeName: "array", Tasks: 3, CPUs: 2})
	}, ""},
	{"a job that runs is not waiting", func(w *World) {
		spec := &job.Spec{ID: "run-1", Team: "red", ShapeName: "array", Tasks: 1, CPUs: 2}
		startTask(w, "b", "x", spec)
		checkWaitingJob(w, spec)
	}, ""},
}

// serviceLevelCases are jobs of a whole scenario.
var serviceLevelCases = []checkerCase{
	{"a class with less than half of its jobs served is a violation", func(w *World) {
		for _, id := range []string{"run-1", "run-2", "run-3"} {
			acceptJob(w, &job.Spec{ID: id, Class: "c", Team: id, ShapeName: "array", Tasks: 1}, time.Minute)
			w.checker.users.startedAt[id] = time.Now()
		}
		w.checker.completedTasks["run-1"] = map[int32]bool{0: true}
		w.CheckServiceLevels(nil)
	}, "served: only 1.0 of 3 jobs of class c were served"},
	{"a late start of the largest job is a violation", func(w *World) {
		for _, id := range []string{"run-1", "run-2", "run-3"} {
			spec := &job.Spec{ID: id, Class: "c", Team: "red", ShapeName: "array", Tasks: 1, CPUs: 1}
			if id == "run-3" {
				spec.CPUs = 4
			}
			acceptJob(w, spec, 300*time.Second)
			w.checker.users.startedAt[id] = ago(100 * time.Second)
			w.checker.completedTasks[id] = map[int32]bool{0: true}
		}
		w.checker.users.startedAt["run-3"] = ago(30 * time.Second)
		w.CheckServiceLevels(nil)
	}, "largest: job run-3"},
	{"jobs that could not run on the machines of the scenario are ignored", func(w *World) {
		acceptJob(w, &job.Spec{ID: "run-1", Class: "c", ShapeName: "array", Tasks: 1}, 300*time.Second)
		w.CheckServiceLevels(func(*job.Spec) bool { return false })
	}, ""},
}

// launchCopy executes a launch, and then a copy of it. If cleared is set, the exit of the task is
// cleared in between, and if token is above 0, the worker has seen that token by then.
func launchCopy(w *World, cleared bool, token uint64) {
	launch := wire.Command{Verb: wire.CommandLaunch, Task: "run-1/0", Attempt: 1}
	w.cfg.Types = []wire.MachineType{{Name: "x", CPUs: 5}}
	w.specs["run-1"] = &job.Spec{ID: "run-1", ShapeName: "array", Tasks: 1}
	worker := newTestWorker(w, "a", "x")
	worker.execute([]wire.Command{launch, {Verb: wire.CommandStop, Task: launch.Task, Attempt: 1}})
	if cleared {
		worker.execute([]wire.Command{{Verb: wire.CommandClear, Task: launch.Task, Attempt: 1}})
	}
	worker.token = token
	worker.receiveDuplicate(wire.DirectCommands{Commands: []wire.Command{launch}}, 0)
}

// duplicateCases are copies of launches.
var duplicateCases = []checkerCase{
	{"a copy of a launch whose exit has been cleared is a violation", func(w *World) { launchCopy(w, true, 0) }, "restarted"},
	{"a copy of a launch whose exit is still reported has no effect", func(w *World) { launchCopy(w, false, 0) }, ""},
	{"a copy with a lower token than the worker has seen is refused", func(w *World) { launchCopy(w, true, 1) }, ""},
}

// TestInvariantViolationsAreDetected checks that the checker records each kind of violation, and
// none for behaviour that is allowed.
func TestInvariantViolationsAreDetected(t *testing.T) {
	for _, tt := range slices.Concat(answerCases, startCases, starvationCases, serviceLevelCases, duplicateCases) {
		w := New(Config{CancelTimeout: time.Minute, LeaseDuration: time.Hour})
		tt.act(w)
		if got := strings.Join(w.Violations(), "; "); (tt.want == "") != (got == "") || !strings.Contains(got, tt.want) {
			t.Errorf("%s: violations %q, want them to contain %q", tt.name, got, tt.want)
		}
	}
}
