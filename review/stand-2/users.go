package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
	"vetchstream/review/stand-2/site"
)

// users sends users' requests through a load balancer that takes the controllers in turn.
type users struct {
	record *record
	site   *site.Site
	next   atomic.Int64
}

// node returns the controller for the next connection.
func (u *users) node() *site.Controller {
	return u.site.Controllers[int(u.next.Add(1))%len(u.site.Controllers)]
}

const (
	// retryPause is the time after which users repeat a request that was not answered.
	retryPause = time.Second
	// submitTime is the time after which a case gives up a submission that nothing disturbs.
	submitTime = 15 * time.Second
	// pollPause is the time between the polls of a user.
	pollPause = 5 * time.Second
)

// array returns an array of tasks that run for the given time.
func array(number, tasks int, runS float64) *job.Spec {
	return &job.Spec{
		ID:           fmt.Sprintf("run-%06d", number),
		Class:        "ocrread",
		Team:         "ammanfin",
		ShapeName:    job.ArrayName,
		PriorityName: job.StandardName,
		Tasks:        tasks,
		CPUs:         1,
		MemGB:        1.2,
		Image:        "ocr-07",
		ImageGB:      0.6,
		Spot:         true,
		EstimateS:    runS,
	}
}

// fields returns the submission of a job.
func fields(spec *job.Spec) map[string]any {
	return map[string]any{
		"uid": spec.ID, "breed": spec.Class, "owner": spec.Team, "shape": spec.ShapeName, "rank": spec.PriorityName,
		"pieces": spec.Tasks, "cpus": spec.CPUs, "accelerators": spec.GPUs, "mem_gb": spec.MemGB,
		"reel": spec.Image, "image_gb": spec.ImageGB, "builds": nil, "yard": nil,
		"same_place": spec.OneZone, "apart": spec.Spread, "loaners": spec.Spot,
		"guess_s": spec.EstimateS, "mark_s": spec.CheckpointS, "stash_s": spec.SaveS, "due_s": nil,
	}
}

// submit submits a job until it is accepted, and reports whether it was.
func (u *users) submit(spec *job.Spec) bool {
	u.site.World.DescribeJob(spec)
	for end := time.Now().Add(submitTime); time.Now().Before(end); time.Sleep(retryPause) {
		node := u.node()
		answer := node.Submit(fields(spec))
		u.record.note("submit %s at %s: %d %s", spec.ID, node.Member, answer.Status, answer.Phase)
		if answer.Status == http.StatusCreated || answer.Status == http.StatusOK {
			u.site.World.JobAccepted(spec.ID)
			return true
		}
	}
	return false
}

// awaitDone polls a job until it is done, at most until the given time. It returns the last phase
// that was answered.
func (u *users) awaitDone(spec *job.Spec, until time.Time) (last wire.JobPhase) {
	for {
		node := u.node()
		answer := node.Get(spec.ID)
		u.record.note("poll %s at %s: %d %s, %d done", spec.ID, node.Member, answer.Status, answer.Phase, answer.Done)
		if answer.Status == http.StatusOK {
			last = answer.Phase
		}
		if last.Final() || time.Now().After(until) {
			return last
		}
		time.Sleep(pollPause)
	}
}
