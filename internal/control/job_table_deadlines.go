package control

import (
	"math"

	"vetchstream/internal/config"
	"vetchstream/internal/job"
)

const (
	// defaultStartWithinS is the time from submission within which a job without
	// objectives has to start, in seconds.
	defaultStartWithinS = 60

	// defaultRunTimeS is the assumed run time of a task without an estimate, in seconds.
	defaultRunTimeS = 60
)

// latestStart returns the latest start time at which a job still meets its deadline and
// objectives, in seconds since the start of the term.
func (jt *jobTable) latestStart(j *job.Job) float64 {
	submitted := j.Submitted.Sub(jt.termStart).Seconds()
	latest := math.Inf(1)
	if j.DeadlineS != nil {
		latest = submitted + *j.DeadlineS - runTimeEstimate(j)
	}
	for _, objective := range jt.controller.Settings.Facts.Objectives {
		if objective.Class == j.Class && objective.WithinS > 0 {
			latest = min(latest, latestStartFor(&objective, j, submitted))
		}
	}
	if math.IsInf(latest, 1) {
		return submitted + defaultStartWithinS
	}
	return latest
}

// latestStartFor returns the latest start time at which a job still meets an objective.
// submitted and the result are in seconds since the start of the term. The result is
// infinite if the objective sets no bound.
func latestStartFor(objective *config.Objective, j *job.Job, submitted float64) float64 {
	switch objective.Kind {
	case config.ObjectiveWait:
		return submitted + objective.WithinS
	case config.ObjectiveFinished:
		// An objective that is shorter than the run time cannot be met, so it must not
		// advance the latest start.
		if runTime := runTimeEstimate(j); objective.WithinS > runTime {
			return submitted + objective.WithinS - runTime
		}
	}
	return math.Inf(1)
}

// runTimeEstimate returns the estimated run time of a task of the job, in seconds.
func runTimeEstimate(j *job.Job) float64 {
	if j.EstimateS <= 0 {
		return defaultRunTimeS
	}
	return j.EstimateS
}
