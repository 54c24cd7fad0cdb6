package control

import (
	"testing"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// The worker reports a task as running whose exit it has reported before.
func TestTaskThatRunsAgainIsCountedAndStopped(t *testing.T) {
	const attempt, laterAttempt = 5, 6
	tests := []struct {
		name, shape string
		// afterExit changes the job between the exit and the report that shows it running.
		afterExit func(lt *leaderTerm, j *job.Job)
	}{
		{"a task of an active job", "array", func(*leaderTerm, *job.Job) {}},
		{"a task of a cancelled job", "array", func(_ *leaderTerm, j *job.Job) { j.EndingPhase = wire.JobCancelled }},
		{"a task that runs on another machine by now", "array", func(lt *leaderTerm, j *job.Job) {
			lt.reportTask(lt.addMachine("h2"), j, 1, laterAttempt, wire.TaskRunning)
		}},
		{"a member of a gang whose next attempt runs by now", "ensemble", func(lt *leaderTerm, j *job.Job) {
			resetGang(j)
			lt.reportTask(lt.addMachine("h2"), j, 1, laterAttempt, wire.TaskRunning)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lt := newTestTerm(t)
			spec := job.Spec{ID: "run-1", ShapeName: tt.shape, PriorityName: "idle", Tasks: 1, CPUs: 1}
			j := lt.jobTable.add(&job.Record{Spec: spec}, 1, testStart)
			machine := lt.addMachine("h1")
			lt.reportTask(machine, j, 1, attempt, wire.TaskRunning)
			lt.reportTask(machine, j, 2, attempt, wire.TaskExited)
			tt.afterExit(lt, j)
			lt.reportTask(machine, j, 3, attempt, wire.TaskRunning)
			slot := machine.Slots[fleet.PlacementKey{Job: j, Attempt: attempt}]
			if slot == nil || !slot.Active() || machine.UsedCPUs != 1 || j.Live[0] == 0 {
				t.Fatal("the ledger does not count the task on the machine")
			}
			if !slot.Stopping || slot.GraceS != 0 {
				t.Error("the task is not stopped at once")
			}
			if other := lt.fleet.Machines["h2"]; other != nil && (j.GangStopping || other.Slots[fleet.PlacementKey{Job: j, Attempt: laterAttempt}].Stopping) {
				t.Error("the task on the other machine is stopped too")
			}
		})
	}
}

// reportTask passes a worker's report that lists one attempt of task 0 of a job.
func (lt *leaderTerm) reportTask(machine *fleet.Machine, j *job.Job, seq, attempt uint64, phase wire.TaskPhase) {
	status := wire.TaskStatus{Task: job.TaskName(j.ID, 0), Attempt: attempt, Phase: phase}
	if phase == wire.TaskExited {
		status.Cause = wire.CauseStopped
	}
	heartbeat := &wire.Heartbeat{Machine: machine.Name, Session: 1, Seq: seq, Token: wire.FirstToken(lt.term), Tasks: []wire.TaskStatus{status}}
	lt.taskTracker.observe(machine, heartbeat, true, testStart)
}
