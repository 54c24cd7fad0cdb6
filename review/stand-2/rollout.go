package main

import (
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"time"

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

// runRollout rolls out a bad build of a service. The state service carries out the transaction that
// stores the roll-out at once, and its answer is lost.
func runRollout(r *record, trouble bool) (int, error) {
	s, err := startSite(&site.Options{
		Facts: site.Facts(), Machines: 8, MaxMachines: 28, Tuning: "deploy/rollouts.json", Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return failed, err
	}
	defer s.Close()
	s.World.RecordHistory()
	s.World.SetImageBehavior(badImage, emulate.ImageBehavior{CrashAfter: 500 * time.Millisecond})
	time.Sleep(4 * time.Second)
	u := &users{record: r, site: s}
	service := array(6000, rolloutReplicas, 0)
	service.Class = "captions"
	service.ShapeName = job.ServiceName
	service.Image = goodImage
	if !u.submit(service) || !awaitReplicas(s, service.ID) {
		return failed, fmt.Errorf("the service does not run")
	}
	r.note("%d replicas of %s run", rolloutReplicas, goodImage)
	next := *service
	next.ID = "run-006001"
	next.Image = badImage
	s.World.DescribeJob(&next)
	if trouble {
		s.Store.LoseNextAnswer("r/")
		r.note("the answer to the next transaction that stores a roll-out will be lost")
	}
	if !u.startRollout(service.ID, next.ID) {
		return failed, fmt.Errorf("the roll-out was not accepted")
	}
	time.Sleep(rolloutWatch)
	noteHistory(r, s)
	for _, controller := range s.Controllers {
		for _, line := range controller.Log("roll-out") {
			r.note("log of %s: %s", controller.Member, strings.TrimSpace(line))
		}
	}
	started := startedReplicas(s, badImage)
	r.note("replicas of the bad build that were started: %v; a batch has %d", started, rolloutBatch)
	if len(started) > rolloutBatch {
		r.note("RULE BROKEN: more than one batch ran the bad build")
		return broken, nil
	}
	return held, nil
}

// startRollout asks for the roll-out until it is accepted, as an operator does.
func (u *users) startRollout(from, to string) bool {
	spec := map[string]any{
		"service": "captions", "from": from, "to": map[string]any{"uid": to, "reel": badImage},
		"batch": rolloutBatch, "most_extra": 1, "most_missing": 0, "ready_s": 5.0, "soak_s": 20.0, "deadline_s": 300.0,
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(retryPause) {
		node := u.node()
		status := node.StartRollout(spec)
		u.record.note("roll-out of %s to %s at %s: %d", from, to, node.Member, status)
		if status == http.StatusCreated || status == http.StatusOK {
			return true
		}
	}
	return false
}

// awaitReplicas waits until all replicas of the service run.
func awaitReplicas(s *site.Site, id string) bool {
	for range 300 {
		if s.World.RunningTasks(id) == rolloutReplicas {
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
