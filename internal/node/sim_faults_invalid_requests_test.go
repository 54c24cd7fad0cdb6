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

// invalidRequests lets users repeat submissions of unfinished jobs with another body, cancel
// jobs that are done, and submit what can never run or lacks a field.
func invalidRequests(seed uint64, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		u := &invalidUser{
			simulation: s,
			random:     newRand(seed),
			client:     s.userClient(4 * time.Second),
			answers:    map[string]int{},
		}
		begun := time.Now()
		for i := 0; time.Since(begun) < duration; i++ {
			time.Sleep(150 * time.Millisecond)
			u.sendOne(i)
		}
		if len(u.answers) < 4 {
			s.reportUnreachedCondition("only %v had a clear answer", u.answers)
		}
	}
}

// invalidUser is a user who sends requests that are to be refused, or that change nothing.
type invalidUser struct {
	*simulation
	random  *rand.Rand
	client  *http.Client
	answers map[string]int // clear answers, by the kind of request
}

// cpusOfNoMachine are more than any machine of a simulation has.
const cpusOfNoMachine = 17.0

// sendOne sends request i, of which each third one is of the same kind.
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

// submitWithoutField submits a job that lacks the n-th field, in the order of their names.
func (u *invalidUser) submitWithoutField(id string, n int) {
	fields := minimalSubmission(id)
	names := slices.Sorted(maps.Keys(fields))
	missing := names[n%len(names)]
	delete(fields, missing)
	if status, _ := u.post("/api/jobs", fields); status == 400 {
		u.answers["lacks a field"]++
	} else if status != 0 {
		u.ReportViolation("refused: a submission without %s got %d", missing, status)
	}
}

// submitTooLarge submits a job that fits no machine.
func (u *invalidUser) submitTooLarge(id string) {
	fields := minimalSubmission(id)
	fields["cpus"] = cpusOfNoMachine
	if status, _ := u.post("/api/jobs", fields); status == 422 {
		u.answers["never"]++
	} else if status != 0 {
		u.ReportViolation("refused: a job that fits no machine got %d", status)
	}
}

// cancelDone cancels a job that is done, which it stays.
func (u *invalidUser) cancelDone(id string) {
	if status, phase := u.post("/api/jobs/"+id+"/abort", nil); status == 200 && phase == wire.JobDone {
		u.answers["done"]++
	} else if status != 0 {
		u.ReportViolation("went_back: the cancellation of %s, which is done, got %d %s", id, status, phase)
	}
}

// resubmitChanged repeats the submission of a known job with another body.
func (u *invalidUser) resubmitChanged(id string) {
	final := u.FinalPhase(id)
	fields := minimalSubmission(id)
	fields["cpus"] = cpusOfNoMachine
	if status, phase := u.post("/api/jobs", fields); status != 0 {
		u.answers["repeated"]++
		u.CheckResubmission(&job.Spec{ID: id}, status, phase, final)
	}
}

// post sends a request to a drawn controller. A status of 0 means that there was no clear
// answer.
func (u *invalidUser) post(path string, fields map[string]any) (status int, phase wire.JobPhase) {
	b, err := wire.Marshal(fields)
	if err != nil {
		panic(err)
	}
	url := "http://" + u.controllerAddress(u.random.IntN(len(u.controllers))) + path
	res, err := u.client.Post(url, wire.ContentType, bytes.NewReader(b))
	if err != nil {
		return 0, ""
	}
	b, err = io.ReadAll(res.Body)
	_ = res.Body.Close()
	var st wire.JobStatus
	if err != nil || (res.StatusCode == 200 && wire.Unmarshal(b, &st) != nil) || res.StatusCode >= 429 {
		return 0, ""
	}
	return res.StatusCode, st.Phase
}

// minimalSubmission are the fields of a small job's submission.
func minimalSubmission(id string) (fields map[string]any) {
	spec := &job.Spec{ID: id, Team: "blue", ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 1, MemGB: 1}
	if err := wire.Unmarshal(submission(spec), &fields); err != nil {
		panic(err)
	}
	return fields
}
