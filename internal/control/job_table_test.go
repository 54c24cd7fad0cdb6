package control

import (
	"testing"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/job"
)

// TestLatestStart: the earliest of the deadline and the objectives of a job's class
// counts; an objective that the run time alone rules out does not.
func TestLatestStart(t *testing.T) {
	due := 500.0
	tests := []struct {
		name       string
		objectives []config.Objective
		due        *float64
		want       float64 // seconds from the submission
	}{
		{"nothing is asked", nil, nil, defaultStartWithinS},
		{"a deadline", nil, &due, 400},
		{"to start", []config.Objective{{Kind: config.ObjectiveWait, Class: "batch", WithinS: 90}}, &due, 90},
		{"to finish", []config.Objective{{Kind: config.ObjectiveFinished, Class: "batch", WithinS: 150}}, &due, 50},
		{"to finish sooner than it can", []config.Objective{{Kind: config.ObjectiveFinished, Class: "batch", WithinS: 99}}, &due, 400},
		{"of another class", []config.Objective{{Kind: config.ObjectiveWait, Class: "train", WithinS: 9}}, nil, defaultStartWithinS},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lt := newTestTerm(t)
			lt.controller.Settings.Facts.Objectives = tt.objectives
			rec := &job.Record{Spec: job.Spec{ID: "run-1", Class: "batch", EstimateS: 100, DeadlineS: tt.due}}
			j := job.New(rec, lt.termStart.Add(-10*time.Second))
			if got := lt.jobTable.latestStart(j); got != tt.want-10 {
				t.Errorf("latest start %v, want %v", got, tt.want-10)
			}
		})
	}
}
