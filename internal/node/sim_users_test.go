package node

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

const (
	// userTries is the maximum number of times that a user sends a request, once per second,
	// until it has a conclusive answer.
	userTries = 90
	// userPolls is the maximum number of times that a user polls a job, at userPollInterval.
	userPolls        = 200
	userPollInterval = 3 * time.Second
)

// controllerAddress returns the address of the controller that a user's try i is sent to.
func (s *simulation) controllerAddress(i int) string {
	return simMember(i%len(s.controllers)) + ":80"
}

// userClient returns an HTTP client of a user who waits for an answer until the timeout.
func (s *simulation) userClient(timeout time.Duration) *http.Client {
	transport := &http.Transport{DialContext: s.net.Dialer("user"), DisableKeepAlives: true}
	return &http.Client{Timeout: timeout, Transport: transport}
}

// request sends a request, once per second and to the controllers in turn, until accept returns
// true for an answer. It reports whether there was such an answer. Meanwhile it checks that the
// job of the request is not forgotten.
func (s *simulation) request(client *http.Client, method, path string, body []byte, accept func(status int, jobStatus wire.JobStatus) bool) bool {
	id, _, _ := strings.Cut(strings.TrimPrefix(path, "/api/jobs/"), "/")
	firstTry := int(s.requests.Add(1)) // a load balancer sends each request to another controller
	for try := range userTries {
		select {
		case <-s.Done():
			return false
		default:
		}
		httpRequest, err := http.NewRequest(method, "http://"+s.controllerAddress(firstTry+try)+path, bytes.NewReader(body))
		if err != nil {
			panic(err)
		}
		response, err := client.Do(httpRequest)
		if err == nil {
			answer, readErr := io.ReadAll(response.Body)
			response.Body.Close()
			var jobStatus wire.JobStatus
			accepted := response.StatusCode == 200 || response.StatusCode == 201
			readable := readErr == nil && (!accepted || wire.Unmarshal(answer, &jobStatus) == nil)
			if readable && accept(response.StatusCode, jobStatus) {
				return true
			}
		}
		s.PollUnanswered(id)
		time.Sleep(time.Second)
	}
	return false
}

// submit submits a job until it is accepted, and checks the answers. It reports whether the job
// was accepted.
func (s *simulation) submit(client *http.Client, spec *job.Spec) bool {
	return s.request(client, "POST", "/api/jobs", submission(spec), func(status int, _ wire.JobStatus) bool {
		if status == 400 || status == 422 || status == 404 {
			s.ReportViolation("refused: the submission of %s got %d", spec.ID, status)
		}
		return status == 200 || status == 201
	})
}

// resubmit submits a job again after it has ended, like a user whose retry arrives late.
func (s *simulation) resubmit(client *http.Client, spec *job.Spec, final wire.JobPhase) {
	s.request(client, "POST", "/api/jobs", submission(spec), func(status int, jobStatus wire.JobStatus) bool {
		s.CheckResubmission(spec, status, jobStatus.Phase, final)
		return status < 429
	})
}

// submission returns the body of a job's submission, encoded as users encode it.
func submission(spec *job.Spec) []byte {
	fields := map[string]any{
		"uid":          spec.ID,
		"breed":        "c",
		"owner":        spec.Team,
		"shape":        spec.ShapeName,
		"rank":         spec.PriorityName,
		"pieces":       spec.Tasks,
		"cpus":         spec.CPUs,
		"accelerators": spec.GPUs,
		"mem_gb":       spec.MemGB,
		"reel":         "i",
		"image_gb":     0.5,
		"same_place":   spec.OneZone,
		"apart":        spec.Spread,
		"loaners":      spec.Spot,
		"guess_s":      spec.EstimateS,
		"mark_s":       spec.CheckpointS,
		"stash_s":      spec.SaveS,
	}
	if spec.Zone != "" {
		fields["yard"] = spec.Zone
	}
	if spec.Reservation != "" {
		fields["booking"] = spec.Reservation
	}
	body, err := wire.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return body
}

// runUser submits a job at a time after the start of the scenario, cancels it cancelAfter after
// its acceptance (0: not at all), and polls it for the rest of the scenario.
func (s *simulation) runUser(spec *job.Spec, at, cancelAfter time.Duration) {
	select {
	case <-s.Done():
		return
	case <-time.After(at):
	}
	client := s.userClient(5 * time.Second)
	s.DescribeJob(spec)
	if !s.submit(client, spec) {
		return
	}
	s.JobAccepted(spec.ID)
	willCancel := cancelAfter > 0
	s.probeControllers(spec, willCancel)
	if willCancel {
		time.Sleep(cancelAfter)
		// Another user polls other controllers meanwhile: their answers count as a confirmation
		// of the cancellation, even if the answer to the cancellation itself is lost.
		stopped := make(chan struct{})
		defer close(stopped)
		s.Go(func() { s.pollDuringCancellation(spec, stopped) })
		s.cancelJob(spec)
	}
	s.pollJob(client, spec, willCancel)
}

// cancelJob cancels a job and checks the answers.
func (s *simulation) cancelJob(spec *job.Spec) {
	client := s.userClient(5 * time.Second)
	s.request(client, "POST", "/api/jobs/"+spec.ID+"/abort", nil, func(status int, jobStatus wire.JobStatus) bool {
		if status == 404 {
			s.ReportViolation("forgotten: an abort of %s got 404", spec.ID)
		}
		if status == 200 {
			s.CancellationAnswered(spec.ID, jobStatus.Phase)
			s.probeControllers(spec, true)
		}
		return status == 200
	})
}

// pollJob polls a job and checks the answers. Once the job has ended it submits it again.
func (s *simulation) pollJob(client *http.Client, spec *job.Spec, cancelled bool) {
	var final wire.JobPhase
	resubmitted := false
	poll := func(status int, jobStatus wire.JobStatus) bool {
		before := final
		final = s.CheckPoll(spec, status, jobStatus.Phase, before, cancelled)
		if final != before {
			s.probeControllers(spec, cancelled)
		}
		return status == 200
	}
	for range userPolls {
		if final != "" && !resubmitted {
			s.resubmit(client, spec, final)
			resubmitted = true
		}
		if !s.request(client, "GET", "/api/jobs/"+spec.ID, nil, poll) {
			return
		}
		select {
		case <-s.Done():
			return
		case <-time.After(userPollInterval):
		}
	}
}

// pollDuringCancellation polls a job that is being cancelled, until a poll confirms a final phase
// or stop is closed.
func (s *simulation) pollDuringCancellation(spec *job.Spec, stop <-chan struct{}) {
	client := s.userClient(2 * time.Second)
	var before wire.JobPhase
	for i := 1; before == ""; i++ {
		select {
		case <-stop:
			return
		case <-s.Done():
			return
		case <-time.After(700 * time.Millisecond):
		}
		response, err := client.Get("http://" + s.controllerAddress(i) + "/api/jobs/" + spec.ID)
		if err != nil {
			continue
		}
		answer, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		var jobStatus wire.JobStatus
		if err == nil && response.StatusCode == http.StatusOK && wire.Unmarshal(answer, &jobStatus) == nil {
			before = s.CheckPoll(spec, response.StatusCode, jobStatus.Phase, before, true)
		}
	}
}

// pollUnknownJobs polls jobs that no user has submitted.
func (s *simulation) pollUnknownJobs() {
	client := s.userClient(2 * time.Second)
	for i := 0; ; i++ {
		select {
		case <-s.Done():
			return
		case <-time.After(7 * time.Second):
		}
		response, err := client.Get(fmt.Sprintf("http://%s/api/jobs/run-77%05d", s.controllerAddress(i), i))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			s.ReportViolation("invented: a poll for a job that no user has submitted got 200")
		}
	}
}
