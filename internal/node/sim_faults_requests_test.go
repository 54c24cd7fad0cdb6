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
// them: some before or while they are accepted, the others afterwards.
func submissionBurst(n int) func(*simulation) {
	return func(s *simulation) {
		for i := range n {
			s.submitByThreeUsers(i)
		}
	}
}

// submitByThreeUsers submits job i of a burst by three users. One of them cancels it if i is
// even; another user cancels it early if i is a multiple of four.
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
	client := s.userClient(5 * time.Second)
	for range 2 {
		s.Go(func() { s.submit(client, spec) })
	}
	if i%4 == 0 {
		s.Go(func() { s.cancelEarly(client, spec) })
	}
}

// cancelEarly cancels a job that may not have been submitted yet.
func (s *simulation) cancelEarly(client *http.Client, spec *job.Spec) {
	s.request(client, "POST", "/api/jobs/"+spec.ID+"/abort", nil, func(status int, jobStatus wire.JobStatus) bool {
		if status == 200 && jobStatus.Phase != wire.JobCancelled && jobStatus.Phase != wire.JobDone {
			s.ReportViolation("went_back: an abort of %s got %s, want cancelled or done", spec.ID, jobStatus.Phase)
		}
		return status == 200 || status == 404 // not submitted yet
	})
}

// cancelRunningJobs cancels up to n running jobs within 200 ms through all controllers, and
// lets up to eight workers with tasks of these jobs hang for hangTime. At least one of the
// cancellations has to be confirmed within the given time.
func cancelRunningJobs(seed uint64, n int, hangTime, within time.Duration) func(*simulation) {
	return func(s *simulation) {
		start := time.Now()
		jobs := s.SelectForCancellation(newRand(seed), n)
		if len(jobs) == 0 {
			s.reportUnreachedCondition("no running job to cancel")
			return
		}
		workers := s.WorkersWithJobs(jobs, 8)
		if hangTime > 0 {
			s.Hang(workers, true)
		}
		for i, spec := range jobs {
			s.Go(func() {
				time.Sleep(time.Duration(i) * 200 * time.Millisecond / time.Duration(len(jobs)))
				s.cancelJob(spec)
			})
		}
		time.Sleep(hangTime)
		if hangTime > 0 {
			s.Hang(workers, false)
		}
		time.Sleep(within - time.Since(start))
		if s.CancellationsConfirmed(start, start.Add(within)) == 0 {
			s.reportUnreachedCondition("none of %d cancellations was confirmed within %v", len(jobs), within)
		}
	}
}

// cancelAtCompletion cancels each job between 0 and 60 ms after its last task has ended.
func cancelAtCompletion(seed uint64, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		var mu sync.Mutex
		random := newRand(seed)
		cancelled := 0
		s.OnLastTaskDone(func(spec *job.Spec) {
			mu.Lock()
			wait := time.Duration(random.IntN(60)) * time.Millisecond
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
			s.reportUnreachedCondition("%d jobs were cancelled as their last task ended, want at least 3", cancelled)
		}
	}
}

// jobStream submits four single-task jobs per second, and cancels a quarter of them.
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

// probeAfterAnswers lets users query all controllers within milliseconds after each answer.
func probeAfterAnswers(duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.probing.Store(true)
		time.Sleep(duration)
		s.probing.Store(false)
	}
}

// probeControllers polls the job and resubmits it at all controllers in the milliseconds after
// an answer. No controller may answer with an older state than was reported before the probe.
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

// probeController polls a job at controller i if i is even, and resubmits it there otherwise.
func (s *simulation) probeController(i int, spec *job.Spec, cancelled bool) {
	client := s.userClient(4 * time.Second)
	before := s.FinalPhase(spec.ID)
	url := "http://" + s.controllerAddress(i) + "/api/jobs"
	isPoll := i%2 == 0
	var response *http.Response
	var err error
	if isPoll {
		response, err = client.Get(url + "/" + spec.ID)
	} else {
		response, err = client.Post(url, wire.ContentType, bytes.NewReader(submission(spec)))
	}
	if err != nil {
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	var jobStatus wire.JobStatus
	if err != nil || (response.StatusCode/100 == 2 && wire.Unmarshal(body, &jobStatus) != nil) {
		return
	}
	if isPoll {
		s.CheckPoll(spec, response.StatusCode, jobStatus.Phase, before, cancelled)
	} else {
		s.CheckResubmission(spec, response.StatusCode, jobStatus.Phase, before)
	}
}

// waitUntilAtLimit waits until each of the teams uses nearly all of its limit, for at most ten
// seconds per team.
func waitUntilAtLimit(teams ...string) func(*simulation) {
	return func(s *simulation) {
		for _, team := range teams {
			peak := 0.0
			for range 100 {
				if peak = max(peak, s.TeamCPUs(team)); peak >= 12*float64(s.scale) {
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			if peak < 12*float64(s.scale) {
				s.reportUnreachedCondition("team %s used at most %v CPUs, which is not close to its limit", team, peak)
			}
		}
	}
}
