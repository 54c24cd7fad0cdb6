package control

import (
	"math"

	"vetchstream/internal/config"
	"vetchstream/internal/job"
)

const (
	// defaultStartWithinS is when a job without objectives has to start, in seconds from its
	// submission.
	defaultStartWithinS = 60

	// defaultRunTimeS is the run time of a task without an estimate, in seconds.
	defaultRunTimeS = 60
)

// latestStart is when a job has to start to meet its objectives, in seconds from the
// start of the term.
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

// latestStartFor is when a job that was submitted at a time has to start to meet an
// objective, in seconds; infinite if the objective does not say.
func latestStartFor(objective *config.Objective, j *job.Job, submitted float64) float64 {
	switch objective.Kind {
	case config.ObjectiveWait:
		return submitted + objective.WithinS
	case config.ObjectiveFinished:
		// An objective that the job's own run time rules out gives no reason to hurry.
		if runTime := runTimeEstimate(j); objective.WithinS > runTime {
			return submitted + objective.WithinS - runTime
		}
	}
	return math.Inf(1)
}

// runTimeEstimate is the expected run time of a task, in seconds.
func runTimeEstimate(j *job.Job) float64 {
	if j.EstimateS <= 0 {
		return defaultRunTimeS
	}
	return j.EstimateS
}
