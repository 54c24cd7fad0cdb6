package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"vetchstream/internal/emulate"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// submissionBurst submits n small jobs at once, each by three users, and cancels half of
// them before, while and after they are accepted.
func submissionBurst(n int) func(*simulation) {
	return func(s *simulation) {
		for i := range n {
			s.submitThrice(i)
		}
	}
}

// submitThrice submits job i of a burst by three users, of whom one cancels it if i is even.
func (s *simulation) submitThrice(i int) {
	spec := &job.Spec{ID: fmt.Sprintf("run-9%05d", i), Team: "blue", ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 0.25, MemGB: 0.5, EstimateS: 4, Spot: true}
	cancelAfter := time.Duration(0)
	if i%2 == 0 {
		cancelAfter = time.Duration(i%7)*time.Second + time.Millisecond
	}
	s.DescribeJob(spec)
	s.Go(func() { s.runUser(spec, 0, cancelAfter) })
	hc := s.userClient(5 * time.Second)
	for range 2 {
		s.Go(func() { s.submit(hc, spec) })
	}
	if i%4 == 0 {
		s.Go(func() { s.cancelEarly(hc, spec) })
	}
}

// cancelEarly cancels a job that may not be submitted yet.
func (s *simulation) cancelEarly(hc *http.Client, spec *job.Spec) {
	s.request(hc, "POST", "/api/jobs/"+spec.ID+"/abort", nil, func(status int, st wire.Status) bool {
		if status == 200 && st.Phase != wire.JobAborted && st.Phase != wire.JobDone {
			s.ReportViolation("went_back: an abort of %s got %s", spec.ID, st.Phase)
		}
		return status == 200 || status == 404 // not submitted yet
	})
}

// cancelRunningJobs cancels up to n jobs that run, within a fifth of a second, at all
// controllers, and lets up to eight machines that have tasks of them hang for a while. At
// least one of the cancellations has to be confirmed within the time given.
func cancelRunningJobs(seed uint64, n int, hangs, within time.Duration) func(*simulation) {
	return func(s *simulation) {
		begun := time.Now()
		jobs := s.SelectForCancellation(newRand(seed), n)
		if len(jobs) == 0 {
			s.notReached("no job runs that could be called off")
			return
		}
		workers := s.WorkersWithJobs(jobs, 8)
		if hangs > 0 {
			s.Hang(workers, true)
		}
		for i, spec := range jobs {
			s.Go(func() {
				time.Sleep(time.Duration(i) * 200 * time.Millisecond / time.Duration(len(jobs)))
				s.cancelJob(spec)
			})
		}
		time.Sleep(hangs)
		if hangs > 0 {
			s.Hang(workers, false)
		}
		time.Sleep(within - time.Since(begun))
		if s.CancellationsConfirmed(begun, begun.Add(within)) == 0 {
			s.notReached("none of %d cancellations was told within %v", len(jobs), within)
		}
	}
}

// cancelAtCompletion cancels each job at the moment in which its last task ends, or up to
// 60 ms later.
func cancelAtCompletion(seed uint64, d time.Duration) func(*simulation) {
	return func(s *simulation) {
		var mu sync.Mutex
		r := newRand(seed)
		cancelled := 0
		s.OnLastTaskDone(func(spec *job.Spec) {
			mu.Lock()
			wait := time.Duration(r.IntN(60)) * time.Millisecond
			cancelled++
			mu.Unlock()
			time.Sleep(wait)
			s.cancelJob(spec)
		})
		time.Sleep(d)
		s.OnLastTaskDone(nil)
		mu.Lock()
		defer mu.Unlock()
		if cancelled < 3 {
			s.notReached("%d jobs were called off at their ends", cancelled)
		}
	}
}

// jobStream submits one-task jobs, four a second, and cancels a quarter of them.
func jobStream(d time.Duration) func(*simulation) {
	return func(s *simulation) {
		for i := range int(4 * d / time.Second) {
			spec := &job.Spec{
				ID:           fmt.Sprintf("run-8%05d", i),
				Team:         []string{"blue", "red"}[i%2],
				Class:        "stream",
				ShapeName:    "array",
				PriorityName: "standard",
				Tasks:        1,
				CPUs:         0.5,
				MemGB:        0.5,
				EstimateS:    3,
				Spot:         true,
			}
			cancelAfter := time.Duration(0)
			if i%4 == 3 {
				cancelAfter = time.Duration(1+i%7) * 700 * time.Millisecond
			}
			s.Go(func() { s.runUser(spec, 0, cancelAfter) })
			time.Sleep(250 * time.Millisecond)
		}
	}
}

// invalidRequests lets users repeat submissions of unfinished jobs with another body, cancel
// jobs that are done, and submit what can never run or lacks a field.
func invalidRequests(seed uint64, d time.Duration) func(*simulation) {
	return func(s *simulation) {
		u := &invalidUser{
			simulation: s,
			random:     newRand(seed),
			client:     s.userClient(4 * time.Second),
			answers:    map[string]int{},
		}
		begun := time.Now()
		for i := 0; time.Since(begun) < d; i++ {
			time.Sleep(150 * time.Millisecond)
			u.sendOne(i)
		}
		if len(u.answers) < 4 {
			s.notReached("only %v had a clear answer", u.answers)
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
func (u *invalidUser) post(path string, fields map[string]any) (status int, phase string) {
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
	var st wire.Status
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

// probeClosely lets users ask all controllers within milliseconds after each answer.
func probeClosely(d time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.probing.Store(true)
		time.Sleep(d)
		s.probing.Store(false)
	}
}

// probeControllers asks all controllers, and repeats the submission there, in the milliseconds
// after an answer. None may answer with an older state than was reported before the question.
func (s *simulation) probeControllers(spec *job.Spec, cancelled bool) {
	if !s.probing.Load() {
		return
	}
	for i := range 4 * len(s.controllers) {
		s.Go(func() {
			time.Sleep(time.Duration(i) * 1500 * time.Microsecond)
			s.probeController(i, spec, cancelled)
		})
	}
}

// probeController asks about a job at controller i, or repeats its submission there.
func (s *simulation) probeController(i int, spec *job.Spec, cancelled bool) {
	hc := s.userClient(4 * time.Second)
	before := s.FinalPhase(spec.ID)
	url := "http://" + s.controllerAddress(i) + "/api/jobs"
	polls := i%2 == 0
	var res *http.Response
	var err error
	if polls {
		res, err = hc.Get(url + "/" + spec.ID)
	} else {
		res, err = hc.Post(url, wire.ContentType, bytes.NewReader(submission(spec)))
	}
	if err != nil {
		return
	}
	b, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	var st wire.Status
	if err != nil || (res.StatusCode/100 == 2 && wire.Unmarshal(b, &st) != nil) {
		return
	}
	if polls {
		s.CheckPoll(spec, res.StatusCode, st.Phase, before, cancelled)
	} else {
		s.CheckResubmission(spec, res.StatusCode, st.Phase, before)
	}
}

// waitUntilAtLimit waits until teams use all but a little of their limits, for ten seconds
// each at most.
func waitUntilAtLimit(teams ...string) func(*simulation) {
	return func(s *simulation) {
		for _, team := range teams {
			most := 0.0
			for range 100 {
				if most = max(most, s.TeamCPUs(team)); most >= 12*float64(s.scale) {
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			if most < 12*float64(s.scale) {
				s.notReached("team %s uses %v CPUs at most: not at its limit", team, most)
			}
		}
	}
}

// maxReplays bounds the captured heartbeats that are sent at a time.
const maxReplays = 100

// replayHeartbeats captures all heartbeats for a while, and sends them to all controllers at
// once, so long after.
func replayHeartbeats(capture, after time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.CaptureHeartbeats(true)
		time.Sleep(capture)
		s.CaptureHeartbeats(false)
		captured := s.CapturedHeartbeats()
		time.Sleep(after)
		slots := make(chan struct{}, maxReplays)
		for i, heartbeat := range captured {
			slots <- struct{}{}
			s.Go(func() {
				defer func() { <-slots }()
				s.replayHeartbeat(i, heartbeat)
			})
		}
	}
}

// replayHeartbeat sends a captured heartbeat to controller i, from its worker's address.
func (s *simulation) replayHeartbeat(i int, heartbeat emulate.CapturedHeartbeat) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	url := "http://" + s.controllerAddress(i) + "/checkin"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(heartbeat.Body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", wire.ContentType)
	hc := &http.Client{Transport: &http.Transport{DialContext: s.net.Dialer(heartbeat.Host), DisableKeepAlives: true}}
	if res, err := hc.Do(req); err == nil {
		_ = res.Body.Close()
	}
}

// replayToNextLeader captures all heartbeats for a while, and sends them to all controllers as
// another leader begins.
func replayToNextLeader(capture time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.CaptureHeartbeats(true)
		time.Sleep(capture)
		s.CaptureHeartbeats(false)
		term := s.term()
		for range 600 {
			if s.term() > term {
				replayHeartbeats(0, 0)(s)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
		s.notReached("no other leader has come")
	}
}
