package main

import (
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/emulate"
	"vetchstream/internal/job"
	"vetchstream/review/stand-2/site"
)

const (
	// rolloutReplicas is the number of the service's replicas.
	rolloutReplicas = 6
	// rolloutBatch is the number of replicas that may change at a time.
	rolloutBatch = 1
	// rolloutWatch is how long the roll-out is watched. The build fails half a second after each start.
	rolloutWatch = 45 * time.Second

	goodImage = "captions-1"
	badImage  = "captions-2"
)

// rolloutSite starts the deployment with roll-outs and a service that runs.
func rolloutSite(r *record, facts config.Facts, next *config.StateLimits, service *job.Spec) (*users, error) {
	s, err := startSite(&site.Options{
		Facts: facts, NextState: next, Machines: 8, MaxMachines: 28, Tuning: "deploy/rollouts.json", Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return nil, err
	}
	s.World.RecordHistory()
	time.Sleep(4 * time.Second)
	u := &users{record: r, site: s}
	service.Class = "captions"
	service.ShapeName = job.ServiceName
	service.Image = goodImage
	if !u.submit(service) || !awaitReplicas(s, service) {
		s.Close()
		return nil, fmt.Errorf("the service does not run")
	}
	r.note("%d replicas of %s run", service.Tasks, goodImage)
	return u, nil
}

// runRollout rolls out a bad build of a service. The state service carries out the transaction that
// stores the roll-out at once, and its answer is lost.
func runRollout(r *record, trouble bool) (int, error) {
	service := array(6000, rolloutReplicas, 0)
	u, err := rolloutSite(r, site.Facts(), nil, service)
	if err != nil {
		return failed, err
	}
	s := u.site
	defer s.Close()
	s.World.SetImageBehavior(badImage, emulate.ImageBehavior{CrashAfter: 500 * time.Millisecond})
	if trouble {
		s.Store.LoseNextAnswer("r/")
		r.note("the answer to the next transaction that stores a roll-out will be lost")
	}
	if !u.startRollout(service, "run-006001", map[string]any{"ready_s": 5.0, "soak_s": 20.0}) {
		return failed, fmt.Errorf("the roll-out was not accepted")
	}
	time.Sleep(rolloutWatch)
	noteRollout(r, s)
	started := startedReplicas(s, badImage)
	r.note("replicas of the bad build that were started: %v; a batch has %d", started, rolloutBatch)
	if len(started) > rolloutBatch {
		r.note("RULE BROKEN: more than one batch ran the bad build")
		return broken, nil
	}
	return held, nil
}

// noteRollout notes what ran, and what the controllers log about the roll-out.
func noteRollout(r *record, s *site.Site) {
	noteHistory(r, s)
	for _, controller := range s.Controllers {
		for _, line := range controller.Log("roll-out") {
			r.note("log of %s: %s", controller.Member, strings.TrimSpace(line))
		}
	}
}

// startRollout asks for a roll-out of the bad build until it is accepted, as an operator does. It adds
// the fields to those that all cases have.
func (u *users) startRollout(service *job.Spec, to string, extra map[string]any) bool {
	next := *service
	next.ID = to
	next.Image = badImage
	u.site.World.DescribeJob(&next)
	spec := map[string]any{
		"service": "captions", "from": service.ID, "to": map[string]any{"uid": to, "reel": badImage},
		"batch": rolloutBatch, "most_extra": 1, "most_missing": 0, "deadline_s": 300.0,
	}
	maps.Copy(spec, extra)
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(retryPause) {
		node := u.node()
		status := node.StartRollout(spec)
		u.record.note("roll-out of %s to %s at %s: %d", service.ID, to, node.Member, status)
		if status == http.StatusCreated || status == http.StatusOK {
			return true
		}
	}
	return false
}

// awaitReplicas waits until all replicas of the service run.
func awaitReplicas(s *site.Site, service *job.Spec) bool {
	for range 300 {
		if s.World.RunningTasks(service.ID) == service.Tasks {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// startedReplicas returns the tasks with the image that were started, each once.
func startedReplicas(s *site.Site, image string) (tasks []string) {
	for _, event := range s.World.History() {
		if event.Start && event.Image == image {
			tasks = append(tasks, event.Task)
		}
	}
	slices.Sort(tasks)
	return slices.Compact(tasks)
}
