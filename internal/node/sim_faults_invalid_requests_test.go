package node

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// invalidRequests lets a user resubmit unfinished jobs with a different body, cancel jobs that
// are done, and submit jobs that can never run or lack a field.
func invalidRequests(seed uint64, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		user := &invalidUser{
			simulation: s,
			random:     newRand(seed),
			client:     s.userClient(4 * time.Second),
			answers:    map[string]int{},
		}
		start := time.Now()
		for i := 0; time.Since(start) < duration; i++ {
			time.Sleep(150 * time.Millisecond)
			user.sendOne(i)
		}
		if len(user.answers) < 4 {
			s.reportUnreachedCondition("conclusive answers by kind of request: %v, want all 4 kinds", user.answers)
		}
	}
}

// invalidUser is a user who sends requests that have to be refused or have no effect.
type invalidUser struct {
	*simulation
	random  *rand.Rand
	client  *http.Client
	answers map[string]int // number of conclusive answers by kind of request
}

// cpusOfNoMachine is more than any machine of a simulation has.
const cpusOfNoMachine = 17.0

// sendOne sends request i. The kinds of requests alternate with a period of three.
func (u *invalidUser) sendOne(i int) {
	reported := u.ReportedPhases()
	if len(reported) == 0 {
		return
	}
	id := slices.Sorted(maps.Keys(reported))[u.random.IntN(len(reported))]
	newID := fmt.Sprintf("run-6%05d", i)
	switch {
	case i%3 == 0:
		u.submitWithoutField(newID, i/3)
	case i%3 == 1:
		u.submitTooLarge(newID)
	case reported[id] == wire.JobDone:
		u.cancelDone(id)
	default:
		u.resubmitChanged(id)
	}
}

// submitWithoutField submits a job without the n-th field in alphabetical order.
func (u *invalidUser) submitWithoutField(id string, n int) {
	fields := minimalSubmission(id)
	names := slices.Sorted(maps.Keys(fields))
	missing := names[n%len(names)]
	delete(fields, missing)
	if status, _ := u.post("/api/jobs", fields); status == 400 {
		u.answers["lacks a field"]++
	} else if status != 0 {
		u.ReportViolation("refused: a submission without %s got %d, want 400", missing, status)
	}
}

// submitTooLarge submits a job that fits no machine.
func (u *invalidUser) submitTooLarge(id string) {
	fields := minimalSubmission(id)
	fields["cpus"] = cpusOfNoMachine
	if status, _ := u.post("/api/jobs", fields); status == 422 {
		u.answers["never"]++
	} else if status != 0 {
		u.ReportViolation("refused: a job that fits no machine got %d, want 422", status)
	}
}

// cancelDone cancels a job that is done. The job has to remain done.
func (u *invalidUser) cancelDone(id string) {
	if status, phase := u.post("/api/jobs/"+id+"/abort", nil); status == 200 && phase == wire.JobDone {
		u.answers["done"]++
	} else if status != 0 {
		u.ReportViolation("went_back: the cancellation of %s, which is done, got %d %s, want 200 done", id, status, phase)
	}
}

// resubmitChanged resubmits a known job with a different body.
func (u *invalidUser) resubmitChanged(id string) {
	final := u.FinalPhase(id)
	fields := minimalSubmission(id)
	fields["cpus"] = cpusOfNoMachine
	if status, phase := u.post("/api/jobs", fields); status != 0 {
		u.answers["repeated"]++
		u.CheckResubmission(&job.Spec{ID: id}, status, phase, final)
	}
}

// post sends a request to a random controller. It returns status 0 if there was no conclusive
// answer.
func (u *invalidUser) post(path string, fields map[string]any) (status int, phase wire.JobPhase) {
	body, err := wire.Marshal(fields)
	if err != nil {
		panic(err)
	}
	url := "http://" + u.controllerAddress(u.random.IntN(len(u.controllers))) + path
	response, err := u.client.Post(url, wire.ContentType, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	body, err = io.ReadAll(response.Body)
	_ = response.Body.Close()
	var jobStatus wire.JobStatus
	if err != nil || (response.StatusCode == 200 && wire.Unmarshal(body, &jobStatus) != nil) || response.StatusCode >= 429 {
		return 0, ""
	}
	return response.StatusCode, jobStatus.Phase
}

// minimalSubmission returns the fields of a small job's submission.
func minimalSubmission(id string) (fields map[string]any) {
	spec := &job.Spec{ID: id, Team: "blue", ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 1, MemGB: 1}
	if err := wire.Unmarshal(submission(spec), &fields); err != nil {
		panic(err)
	}
	return fields
}
