package node

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// submissionBurst submits n small jobs at once, each by three users, and cancels half of
// them before, while and after they are accepted.
func submissionBurst(n int) func(*simulation) {
	return func(s *simulation) {
		for i := range n {
			s.submitByThreeUsers(i)
		}
	}
}

// submitByThreeUsers submits job i of a burst by three users, of whom one cancels it if i is even.
func (s *simulation) submitByThreeUsers(i int) {
	spec := &job.Spec{
		ID:           fmt.Sprintf("run-9%05d", i),
		Team:         "blue",
		ShapeName:    "array",
		PriorityName: "idle",
		Tasks:        1,
		CPUs:         0.25,
		MemGB:        0.5,
		EstimateS:    4,
		Spot:         true,
	}
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
	s.request(hc, "POST", "/api/jobs/"+spec.ID+"/abort", nil, func(status int, st wire.JobStatus) bool {
		if status == 200 && st.Phase != wire.JobCancelled && st.Phase != wire.JobDone {
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
			s.reportUnreachedCondition("no job runs that could be called off")
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
			s.reportUnreachedCondition("none of %d cancellations was told within %v", len(jobs), within)
		}
	}
}

// cancelAtCompletion cancels each job at the moment in which its last task ends, or up to
// 60 ms later.
func cancelAtCompletion(seed uint64, duration time.Duration) func(*simulation) {
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
		time.Sleep(duration)
		s.OnLastTaskDone(nil)
		mu.Lock()
		defer mu.Unlock()
		if cancelled < 3 {
			s.reportUnreachedCondition("%d jobs were called off at their ends", cancelled)
		}
	}
}

// jobStream submits one-task jobs, four a second, and cancels a quarter of them.
func jobStream(duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		for i := range int(4 * duration / time.Second) {
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

// probeAfterAnswers lets users ask all controllers within milliseconds after each answer.
func probeAfterAnswers(duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.probing.Store(true)
		time.Sleep(duration)
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
	var st wire.JobStatus
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
				s.reportUnreachedCondition("team %s uses %v CPUs at most: not at its limit", team, most)
			}
		}
	}
}
