package emulate

import (
	"slices"
	"strings"
	"testing"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// ago is a time before now.
func ago(d time.Duration) time.Time { return time.Now().Add(-d) }

// newTestWorker makes a worker whose lease has just begun.
func newTestWorker(w *World, name, zone string) *Worker {
	return &Worker{world: w, name: name, zone: zone, typeName: "x", leaseStart: time.Now(), tasks: map[string]*task{}}
}

// startTask starts a task of a job on a new worker.
func startTask(w *World, name, zone string, spec *job.Spec) {
	worker := newTestWorker(w, name, zone)
	w.workers[name] = worker
	t := &task{name: job.TaskName(spec.ID, int32(len(w.workers))), spec: spec, phase: wire.TaskRunning}
	worker.addTask(t.name, t)
	w.checkStart(worker, t)
}

// acceptJob records a job that was submitted and accepted some time ago.
func acceptJob(w *World, spec *job.Spec, since time.Duration) {
	w.specs[spec.ID] = spec
	w.checker.users.submittedAt[spec.ID] = ago(since)
	w.checker.users.acceptedAt[spec.ID] = ago(since)
}

// checkWaitingJob checks an accepted job beside a free worker, and once more 100 seconds later.
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

// checkerCase is what happens in a world, and the violation that the checker has to find.
type checkerCase struct {
	name string
	act  func(w *World)
	want string // empty: none
}

// answerCases are answers that users get, or miss.
var answerCases = []checkerCase{
	{"forgotten: no answer for 80 s since the last trouble", func(w *World) {
		acceptJob(w, &job.Spec{ID: "run-1", Tasks: 1}, 200*time.Second)
		w.checker.users.faultsEndedAt = ago(80 * time.Second)
		w.PollUnanswered("run-1")
	}, "forgotten"},
	{"answered a minute ago", func(w *World) {
		acceptJob(w, &job.Spec{ID: "run-1", Tasks: 1}, 200*time.Second)
		w.checker.users.faultsEndedAt = ago(80 * time.Second)
		w.checker.users.answeredAt["run-1"] = ago(time.Minute)
		w.PollUnanswered("run-1")
	}, ""},
	{"the troubles are not over", func(w *World) {
		acceptJob(w, &job.Spec{ID: "run-1", Tasks: 1}, 200*time.Second)
		w.PollUnanswered("run-1")
	}, ""},
	{"a repeated submission is refused", func(w *World) {
		w.CheckResubmission(&job.Spec{ID: "run-1"}, 422, "", wire.JobDone)
	}, "forgotten"},
	{"a repeated submission begins anew", func(w *World) {
		w.CheckResubmission(&job.Spec{ID: "run-1"}, 201, "pending", wire.JobDone)
	}, "went_back"},
	{"a repeated submission finds the end", func(w *World) {
		w.CheckResubmission(&job.Spec{ID: "run-1"}, 200, wire.JobDone, wire.JobDone)
	}, ""},
	{"a repeated submission right after the acceptance", func(w *World) {
		w.CheckResubmission(&job.Spec{ID: "run-1"}, 201, "pending", "")
	}, ""},
	{"it is not known", func(w *World) {
		w.CheckResubmission(&job.Spec{ID: "run-1"}, 422, "", "")
	}, "forgotten"},
	{"a poll that is older than what another controller told", func(w *World) {
		w.checker.reportedPhase["run-1"] = wire.JobCancelled
		w.CheckPoll(&job.Spec{ID: "run-1"}, 200, wire.JobRunning, w.FinalPhase("run-1"), true)
	}, "went_back"},
}

// startCases are starts of tasks.
var startCases = []checkerCase{
	{"a task starts after the time that its cancelled job has", func(w *World) {
		w.cfg.CancelTimeout = 25 * time.Second
		w.checker.cancelledAt["run-1"] = ago(26 * time.Second)
		startTask(w, "a", "x", &job.Spec{ID: "run-1", Tasks: 1})
	}, "ran_cancelled"},
	{"a task starts within it", func(w *World) {
		w.cfg.CancelTimeout = 25 * time.Second
		w.checker.cancelledAt["run-1"] = ago(24 * time.Second)
		startTask(w, "a", "x", &job.Spec{ID: "run-1", Tasks: 1})
	}, ""},
	{"three of four replicas in a zone", func(w *World) {
		spec := &job.Spec{ID: "run-1", Tasks: 4, Spread: true}
		startTask(w, "a", "x", spec)
		startTask(w, "b", "x", spec)
		startTask(w, "c", "x", spec)
	}, "wrong_place"},
	{"three of five replicas in a zone", func(w *World) {
		spec := &job.Spec{ID: "run-1", Tasks: 5, Spread: true}
		startTask(w, "a", "x", spec)
		startTask(w, "b", "x", spec)
		startTask(w, "c", "x", spec)
	}, ""},
	{"a job of one zone in two", func(w *World) {
		spec := &job.Spec{ID: "run-1", Tasks: 2, OneZone: true}
		startTask(w, "a", "x", spec)
		startTask(w, "b", "y", spec)
	}, "wrong_place"},
	{"a task on two machines", func(w *World) {
		spec := &job.Spec{ID: "run-1", Tasks: 2}
		startTask(w, "a", "x", spec)
		worker := newTestWorker(w, "b", "x")
		again := &task{name: job.TaskName(spec.ID, 1), spec: spec, phase: wire.TaskRunning, attempt: 2}
		worker.addTask("again", again)
		w.checkStart(worker, again)
	}, "ran_twice"},
	{"a task on a machine that has lost it", func(w *World) {
		spec := &job.Spec{ID: "run-1", Tasks: 1}
		startTask(w, "a", "x", spec)
		w.Kill([]*Worker{w.workers["a"]})
		startTask(w, "b", "x", spec)
	}, ""},
	{"more accelerators than the limit", func(w *World) {
		w.cfg.Limits = map[string]Resources{"red": {GPUs: 3}}
		spec := &job.Spec{ID: "run-1", Team: "red", Tasks: 2, GPUs: 2}
		startTask(w, "a", "x", spec)
		startTask(w, "b", "x", spec)
	}, "quota"},
}

// starvationCases are jobs that wait beside a free worker.
var starvationCases = []checkerCase{
	{"a job waits beside room", func(w *World) {
		checkWaitingJob(w, &job.Spec{ID: "run-1", Team: "red", ShapeName: "array", Tasks: 3, CPUs: 2})
	}, "idle: run-1"},
	{"a gang waits beside room for half of it", func(w *World) {
		checkWaitingJob(w, &job.Spec{ID: "run-1", Team: "red", ShapeName: gang, Tasks: 3, CPUs: 2})
	}, ""},
	{"there is room in another zone", func(w *World) {
		checkWaitingJob(w, &job.Spec{ID: "run-1", Team: "red", ShapeName: "array", Tasks: 3, CPUs: 2, Zone: "y"})
	}, ""},
	{"its team is at its limit", func(w *World) {
		w.cfg.Limits = map[string]Resources{"red": {CPUs: 1}}
		checkWaitingJob(w, &job.Spec{ID: "run-1", Team: "red", ShapeName: "array", Tasks: 3, CPUs: 2})
	}, ""},
	{"it runs", func(w *World) {
		spec := &job.Spec{ID: "run-1", Team: "red", ShapeName: "array", Tasks: 1, CPUs: 2}
		startTask(w, "b", "x", spec)
		checkWaitingJob(w, spec)
	}, ""},
}

// serviceLevelCases are whole days.
var serviceLevelCases = []checkerCase{
	{"less than half of a class", func(w *World) {
		for _, id := range []string{"run-1", "run-2", "run-3"} {
			acceptJob(w, &job.Spec{ID: id, Class: "c", Team: id, ShapeName: "array", Tasks: 1}, time.Minute)
			w.checker.users.startedAt[id] = time.Now()
		}
		w.checker.completedTasks["run-1"] = map[int32]bool{0: true}
		w.CheckServiceLevels(nil)
	}, "served: 1.0 of 3 jobs of class c"},
	{"the largest began too late", func(w *World) {
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
	}, "largest: run-3"},
	{"it could not run on the day's machines", func(w *World) {
		acceptJob(w, &job.Spec{ID: "run-1", Class: "c", ShapeName: "array", Tasks: 1}, 300*time.Second)
		w.CheckServiceLevels(func(*job.Spec) bool { return false })
	}, ""},
}

// TestInvariantViolationsAreDetected: the violations that the checker finds, each of which no scenario must have.
func TestInvariantViolationsAreDetected(t *testing.T) {
	for _, tt := range slices.Concat(answerCases, startCases, starvationCases, serviceLevelCases) {
		w := New(Config{CancelTimeout: time.Minute, LeaseDuration: time.Hour})
		tt.act(w)
		if got := strings.Join(w.Violations(), "; "); (tt.want == "") != (got == "") || !strings.Contains(got, tt.want) {
			t.Errorf("%s: %q, want %q", tt.name, got, tt.want)
		}
	}
}
