package control

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// TestStalledJobs checks that a job without progress is logged once, with the reason, and
// that a job that makes progress is not logged. It guards against a stuck job of which only
// debug logs show what holds it.
func TestStalledJobs(t *testing.T) {
	place := func(lt *leaderTerm, j *job.Job) {
		slot := lt.fleet.Assign(lt.addMachine("h1"), fleet.PlacementKey{Job: j, Attempt: 1}, testStart)
		slot.LaunchSent = true
		slot.Phase = wire.TaskRunning
	}
	tests := []struct {
		name    string
		prepare func(lt *leaderTerm, j *job.Job)
		want    string // part of the log line; empty: none
	}{
		{"its only task runs longer than three times its estimate", place, `reason="on machines"`},
		{"its task is on a machine: the line names the machine", place, "run-1/0 on h1: running"},
		{"no machine fits", func(*leaderTerm, *job.Job) {}, `reason="no machine fits"`},
		{"its launch is delayed", func(_ *leaderTerm, j *job.Job) { j.NotBefore = testStart.Add(time.Hour) }, "reason=backoff"},
		{"its end is not stored", func(_ *leaderTerm, j *job.Job) { j.EndingPhase = wire.JobDone }, `reason="end not stored"`},
		{"its record is not read", func(lt *leaderTerm, j *job.Job) { lt.jobTable.unidentified[j] = true }, `reason="record unread"`},
		{"its team is unknown", func(_ *leaderTerm, j *job.Job) { j.TeamIdx = -1 }, `reason="unknown team"`},
		{"no task may be placed after a takeover", func(lt *leaderTerm, _ *job.Job) { lt.takeover.placementAllowed = false }, "reason=takeover"},
		{"a silent machine may run it", func(lt *leaderTerm, _ *job.Job) {
			machine := lt.addMachine("h1")
			machine.InheritedJobs = []fleet.InheritedJob{{ID: "run-1"}}
			lt.takeover.inherited = []*fleet.Machine{machine}
		}, `reason="silent machine"`},
		{"it has ended", func(_ *leaderTerm, j *job.Job) { j.Phase = wire.JobDone }, ""},
		{"a service has all replicas on machines", func(lt *leaderTerm, j *job.Job) {
			j.Shape = job.Service
			place(lt, j)
		}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var log bytes.Buffer
			lt := newTestTerm(t)
			lt.log = slog.New(slog.NewTextHandler(&log, nil))
			spec := job.Spec{ID: "run-1", ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 1, EstimateS: 10}
			j := job.New(&job.Record{Spec: spec}, testStart)
			lt.jobTable.jobs[j.ID] = j
			lt.jobTable.indexes[j] = 1
			j.TeamIdx = 0
			lt.takeover.placementAllowed = true
			tt.prepare(lt, j)
			lt.progressMonitor.check(testStart)
			lt.progressMonitor.check(testStart.Add(stallMargin))
			if log.Len() > 0 {
				t.Errorf("logged too early: %s", log.String())
			}
			for i := range 3 {
				lt.progressMonitor.check(testStart.Add(stallMargin + time.Duration(30+10*i)*time.Second))
			}
			if lines := strings.Count(log.String(), "\n"); !strings.Contains(log.String(), tt.want) || (tt.want == "") != (lines == 0) || lines > 1 {
				t.Errorf("logged %d lines %q, want one that contains %q (none if empty)", lines, log.String(), tt.want)
			}
			log.Reset()
			j.DoneCount++
			lt.progressMonitor.check(testStart.Add(time.Hour))
			if log.Len() > 0 {
				t.Errorf("logged although a task has completed: %s", log.String())
			}
		})
	}
}
