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
	// userTries is how often a user repeats a request that has no clear answer, once a second.
	userTries = 90
	// userPolls is how often a user polls a job, with userPollInterval in between.
	userPolls        = 200
	userPollInterval = 3 * time.Second
)

// controllerAddress is where the i-th try of a user goes.
func (s *simulation) controllerAddress(i int) string {
	return simMember(i%len(s.controllers)) + ":80"
}

// userClient is an HTTP client of a user who waits that long for an answer.
func (s *simulation) userClient(timeout time.Duration) *http.Client {
	transport := &http.Transport{DialContext: s.net.Dialer("user"), DisableKeepAlives: true}
	return &http.Client{Timeout: timeout, Transport: transport}
}

// request repeats a request until want takes an answer, and checks that a job is not
// forgotten meanwhile. It reports whether there was such an answer.
func (s *simulation) request(hc *http.Client, method, path string, body []byte, want func(status int, st wire.JobStatus) bool) bool {
	id, _, _ := strings.Cut(strings.TrimPrefix(path, "/api/jobs/"), "/")
	first := int(s.requests.Add(1)) // a balancer sends each to another controller
	for try := range userTries {
		select {
		case <-s.Ended():
			return false
		default:
		}
		req, err := http.NewRequest(method, "http://"+s.controllerAddress(first+try)+path, bytes.NewReader(body))
		if err != nil {
			panic(err)
		}
		res, err := hc.Do(req)
		if err == nil {
			b, readErr := io.ReadAll(res.Body)
			res.Body.Close()
			var st wire.JobStatus
			accepted := res.StatusCode == 200 || res.StatusCode == 201
			readable := readErr == nil && (!accepted || wire.Unmarshal(b, &st) == nil)
			if readable && want(res.StatusCode, st) {
				return true
			}
		}
		s.PollUnanswered(id)
		time.Sleep(time.Second)
	}
	return false
}

// submit submits a job until it is accepted, and checks the answers.
func (s *simulation) submit(hc *http.Client, spec *job.Spec) bool {
	return s.request(hc, "POST", "/api/jobs", submission(spec), func(status int, _ wire.JobStatus) bool {
		if status == 400 || status == 422 || status == 404 {
			s.ReportViolation("refused: %s got %d", spec.ID, status)
		}
		return status == 200 || status == 201
	})
}

// resubmit repeats the submission of a job that is over, as a user whose retry comes late.
func (s *simulation) resubmit(hc *http.Client, spec *job.Spec, final wire.JobPhase) {
	s.request(hc, "POST", "/api/jobs", submission(spec), func(status int, st wire.JobStatus) bool {
		s.CheckResubmission(spec, status, st.Phase, final)
		return status < 429
	})
}

// submission is the body of a job's submission, as users encode it.
func submission(spec *job.Spec) []byte {
	m := map[string]any{
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
		m["yard"] = spec.Zone
	}
	if spec.Reservation != "" {
		m["booking"] = spec.Reservation
	}
	body, err := wire.Marshal(m)
	if err != nil {
		panic(err)
	}
	return body
}

// runUser submits a job at a time after the start, cancels it that long after it was accepted
// (0: not at all), and polls it for the rest of the scenario.
func (s *simulation) runUser(spec *job.Spec, at, cancelAfter time.Duration) {
	select {
	case <-s.Ended():
		return
	case <-time.After(at):
	}
	hc := s.userClient(5 * time.Second)
	s.DescribeJob(spec)
	if !s.submit(hc, spec) {
		return
	}
	s.JobAccepted(spec.ID)
	cancels := cancelAfter > 0
	s.probeControllers(spec, cancels)
	if cancels {
		time.Sleep(cancelAfter)
		// Another user asks other controllers meanwhile: what one of them answers counts as
		// confirmed, though the answer to the cancellation itself may be lost.
		stopped := make(chan struct{})
		defer close(stopped)
		s.Go(func() { s.pollDuringCancellation(spec, stopped) })
		s.cancelJob(spec)
	}
	s.pollJob(hc, spec, cancels)
}

// cancelJob cancels a job and checks the answer.
func (s *simulation) cancelJob(spec *job.Spec) {
	hc := s.userClient(5 * time.Second)
	s.request(hc, "POST", "/api/jobs/"+spec.ID+"/abort", nil, func(status int, st wire.JobStatus) bool {
		if status == 404 {
			s.ReportViolation("forgotten: abort of %s got 404", spec.ID)
		}
		if status == 200 {
			s.CancellationAnswered(spec.ID, st.Phase)
			s.probeControllers(spec, true)
		}
		return status == 200
	})
}

// pollJob polls a job and checks the answers. Once the job is over it is submitted again.
func (s *simulation) pollJob(hc *http.Client, spec *job.Spec, cancelled bool) {
	var final wire.JobPhase
	resubmitted := false
	poll := func(status int, st wire.JobStatus) bool {
		before := final
		final = s.CheckPoll(spec, status, st.Phase, before, cancelled)
		if final != before {
			s.probeControllers(spec, cancelled)
		}
		return status == 200
	}
	for range userPolls {
		if final != "" && !resubmitted {
			s.resubmit(hc, spec, final)
			resubmitted = true
		}
		if !s.request(hc, "GET", "/api/jobs/"+spec.ID, nil, poll) {
			return
		}
		select {
		case <-s.Ended():
			return
		case <-time.After(userPollInterval):
		}
	}
}

// pollDuringCancellation polls a job that is being cancelled, until its user stops.
func (s *simulation) pollDuringCancellation(spec *job.Spec, until <-chan struct{}) {
	hc := s.userClient(2 * time.Second)
	var before wire.JobPhase
	for i := 1; before == ""; i++ {
		select {
		case <-until:
			return
		case <-s.Ended():
			return
		case <-time.After(700 * time.Millisecond):
		}
		res, err := hc.Get("http://" + s.controllerAddress(i) + "/api/jobs/" + spec.ID)
		if err != nil {
			continue
		}
		b, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		var st wire.JobStatus
		if err == nil && res.StatusCode == http.StatusOK && wire.Unmarshal(b, &st) == nil {
			before = s.CheckPoll(spec, res.StatusCode, st.Phase, before, true)
		}
	}
}

// pollUnknownJobs asks about jobs that nobody has submitted.
func (s *simulation) pollUnknownJobs() {
	hc := s.userClient(2 * time.Second)
	for i := 0; ; i++ {
		select {
		case <-s.Ended():
			return
		case <-time.After(7 * time.Second):
		}
		res, err := hc.Get(fmt.Sprintf("http://%s/api/jobs/run-77%05d", s.controllerAddress(i), i))
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			s.ReportViolation("invented: a job that nobody has submitted")
		}
	}
}
