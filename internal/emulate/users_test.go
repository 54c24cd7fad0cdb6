package emulate

import (
	"strings"
	"testing"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// TestJudge: what the judge holds against a day, each of which a day must not have.
func TestJudge(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	at := func(w *World, name, zone string, sp *job.Spec) {
		k := &Worker{world: w, name: name, zone: zone, typ: "x", leaseStart: now, tasks: map[string]*task{}}
		w.workers[name] = k
		tk := &task{name: job.TaskName(sp.ID, int32(len(w.workers))), spec: sp, phase: wire.Running}
		k.addTask(tk.name, tk)
		w.checkStart(k, tk)
	}
	accept := func(w *World, sp *job.Spec, asked time.Duration) {
		w.specs[sp.ID] = sp
		w.checker.users.submittedAt[sp.ID], w.checker.users.acceptedAt[sp.ID] = ago(asked), ago(asked)
	}
	waits := func(w *World, sp *job.Spec) {
		w.cfg.Types = []wire.MachineType{{Name: "x", CPUs: 5}}
		w.workers["a"] = &Worker{world: w, name: "a", zone: "x", typ: "x", leaseStart: now, tasks: map[string]*task{}}
		w.specs[sp.ID], w.checker.reportedPhase[sp.ID] = sp, "accepted"
		w.CheckStarvation()
		if at, ok := w.checker.users.starvingSince[sp.ID]; ok {
			w.checker.users.starvingSince[sp.ID] = at.Add(-100 * time.Second)
		}
		w.CheckStarvation()
	}
	tests := []struct {
		name string
		do   func(w *World)
		want string // the broken rule; empty: none
	}{
		{"forgotten: no answer for 80 s since the last trouble", func(w *World) {
			accept(w, &job.Spec{ID: "run-1", Tasks: 1}, 200*time.Second)
			w.checker.users.faultsOver = ago(80 * time.Second)
			w.PollUnanswered("run-1")
		}, "forgotten"},
		{"answered a minute ago", func(w *World) {
			accept(w, &job.Spec{ID: "run-1", Tasks: 1}, 200*time.Second)
			w.checker.users.faultsOver, w.checker.users.answeredAt["run-1"] = ago(80*time.Second), ago(time.Minute)
			w.PollUnanswered("run-1")
		}, ""},
		{"the troubles are not over", func(w *World) {
			accept(w, &job.Spec{ID: "run-1", Tasks: 1}, 200*time.Second)
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
			w.checker.reportedPhase["run-1"] = wire.JobAborted
			w.CheckPoll(&job.Spec{ID: "run-1"}, 200, wire.JobRunning, w.FinalPhase("run-1"), true)
		}, "went_back"},
		{"a task starts after the time that its cancelled job has", func(w *World) {
			w.cfg.CancelTimeout, w.checker.cancelledAt["run-1"] = 25*time.Second, ago(26*time.Second)
			at(w, "a", "x", &job.Spec{ID: "run-1", Tasks: 1})
		}, "ran_cancelled"},
		{"a task starts within it", func(w *World) {
			w.cfg.CancelTimeout, w.checker.cancelledAt["run-1"] = 25*time.Second, ago(24*time.Second)
			at(w, "a", "x", &job.Spec{ID: "run-1", Tasks: 1})
		}, ""},
		{"a job waits beside room", func(w *World) { waits(w, &job.Spec{ID: "run-1", Team: "red", ShapeName: "array", Tasks: 3, CPUs: 2}) }, "idle: run-1"},
		{"a gang waits beside room for half of it", func(w *World) { waits(w, &job.Spec{ID: "run-1", Team: "red", ShapeName: gang, Tasks: 3, CPUs: 2}) }, ""},
		{"there is room in another zone", func(w *World) {
			waits(w, &job.Spec{ID: "run-1", Team: "red", ShapeName: "array", Tasks: 3, CPUs: 2, Zone: "y"})
		}, ""},
		{"its team is at its limit", func(w *World) {
			w.cfg.Limits = map[string]Limit{"red": {CPUs: 1}}
			waits(w, &job.Spec{ID: "run-1", Team: "red", ShapeName: "array", Tasks: 3, CPUs: 2})
		}, ""},
		{"it runs", func(w *World) {
			sp := &job.Spec{ID: "run-1", Team: "red", ShapeName: "array", Tasks: 1, CPUs: 2}
			at(w, "b", "x", sp)
			waits(w, sp)
		}, ""},
		{"three of four replicas in a zone", func(w *World) {
			sp := &job.Spec{ID: "run-1", Tasks: 4, Spread: true}
			at(w, "a", "x", sp)
			at(w, "b", "x", sp)
			at(w, "c", "x", sp)
		}, "wrong_place"},
		{"three of five replicas in a zone", func(w *World) {
			sp := &job.Spec{ID: "run-1", Tasks: 5, Spread: true}
			at(w, "a", "x", sp)
			at(w, "b", "x", sp)
			at(w, "c", "x", sp)
		}, ""},
		{"a job of one zone in two", func(w *World) {
			sp := &job.Spec{ID: "run-1", Tasks: 2, OneZone: true}
			at(w, "a", "x", sp)
			at(w, "b", "y", sp)
		}, "wrong_place"},
		{"a task on two machines", func(w *World) {
			sp := &job.Spec{ID: "run-1", Tasks: 2}
			at(w, "a", "x", sp)
			k := &Worker{world: w, name: "b", zone: "x", typ: "x", leaseStart: now, tasks: map[string]*task{}}
			again := &task{name: job.TaskName(sp.ID, 1), spec: sp, phase: wire.Running, attempt: 2}
			k.addTask("again", again)
			w.checkStart(k, again)
		}, "ran_twice"},
		{"a task on a machine that has lost it", func(w *World) {
			sp := &job.Spec{ID: "run-1", Tasks: 1}
			at(w, "a", "x", sp)
			w.Kill([]*Worker{w.workers["a"]})
			at(w, "b", "x", sp)
		}, ""},
		{"more accelerators than the limit", func(w *World) {
			w.cfg.Limits = map[string]Limit{"red": {GPUs: 3}}
			sp := &job.Spec{ID: "run-1", Team: "red", Tasks: 2, GPUs: 2}
			at(w, "a", "x", sp)
			at(w, "b", "x", sp)
		}, "quota"},
		{"less than half of a class", func(w *World) {
			for _, id := range []string{"run-1", "run-2", "run-3"} {
				accept(w, &job.Spec{ID: id, Class: "c", Team: id, ShapeName: "array", Tasks: 1}, time.Minute)
				w.checker.users.startedAt[id] = now
			}
			w.checker.completed["run-1"] = map[int32]bool{0: true}
			w.CheckServiceLevels(nil)
		}, "served: 1.0 of 3 jobs of class c"},
		{"the largest began too late", func(w *World) {
			for _, id := range []string{"run-1", "run-2", "run-3"} {
				sp := &job.Spec{ID: id, Class: "c", Team: "red", ShapeName: "array", Tasks: 1, CPUs: 1}
				if id == "run-3" {
					sp.CPUs = 4
				}
				accept(w, sp, 300*time.Second)
				w.checker.users.startedAt[id], w.checker.completed[id] = ago(100*time.Second), map[int32]bool{0: true}
			}
			w.checker.users.startedAt["run-3"] = ago(30 * time.Second)
			w.CheckServiceLevels(nil)
		}, "largest: run-3"},
		{"it could not run on the day's machines", func(w *World) {
			accept(w, &job.Spec{ID: "run-1", Class: "c", ShapeName: "array", Tasks: 1}, 300*time.Second)
			w.CheckServiceLevels(func(*job.Spec) bool { return false })
		}, ""},
	}
	for _, tt := range tests {
		w := New(Config{CancelTimeout: time.Minute, LeaseDuration: time.Hour})
		tt.do(w)
		if got := strings.Join(w.Violations(), "; "); (tt.want == "") != (got == "") || !strings.Contains(got, tt.want) {
			t.Errorf("%s: %q, want %q", tt.name, got, tt.want)
		}
	}
}
