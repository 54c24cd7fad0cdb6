package control

import (
	"testing"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/job"
)

// TestLatestStart checks that the earliest of the deadline and the objectives of a job's
// class determines the latest start, and that objectives shorter than the run time are
// ignored.
func TestLatestStart(t *testing.T) {
	deadline := 500.0
	tests := []struct {
		name       string
		objectives []config.Objective
		deadline   *float64
		want       float64 // in seconds since the submission
	}{
		{"no deadline and no objective: default", nil, nil, defaultStartWithinS},
		{"deadline only: deadline minus run time", nil, &deadline, 400},
		{"objective for the start before the deadline", []config.Objective{{Kind: config.ObjectiveWait, Class: "batch", WithinS: 90}}, &deadline, 90},
		{"objective for the finish before the deadline: objective minus run time", []config.Objective{{Kind: config.ObjectiveFinished, Class: "batch", WithinS: 150}}, &deadline, 50},
		{"objective for the finish shorter than the run time: ignored", []config.Objective{{Kind: config.ObjectiveFinished, Class: "batch", WithinS: 99}}, &deadline, 400},
		{"objective of another class: ignored", []config.Objective{{Kind: config.ObjectiveWait, Class: "train", WithinS: 9}}, nil, defaultStartWithinS},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lt := newTestTerm(t)
			lt.controller.Settings.Facts.Objectives = tt.objectives
			rec := &job.Record{Spec: job.Spec{ID: "run-1", Class: "batch", EstimateS: 100, DeadlineS: tt.deadline}}
			j := job.New(rec, lt.termStart.Add(-10*time.Second))
			if got := lt.jobTable.latestStart(j); got != tt.want-10 {
				t.Errorf("latest start %v s after the start of the term, want %v s", got, tt.want-10)
			}
		})
	}
}
