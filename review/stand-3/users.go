package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"vetchstream/internal/emulate"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// Timeouts and pauses of users, as the protocol has them.
const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	retryPause    = time.Second
	retryLimit    = 60 * time.Second
	pollInterval  = 5 * time.Second
)

// run is one run of a case: its platform, its users and its record.
type run struct {
	*platform
	start   time.Time
	trouble bool

	mu       sync.Mutex
	record   *os.File
	client   *http.Client
	nextNode atomic.Int64
}

// logf writes a line to the record.
func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// answer is the answer to a user's request; status 0 means that there was none in time.
type answer struct {
	status     int
	body       wire.JobStatus
	retryAfter time.Duration
}

// call sends a request to the next node, as a load balancer would.
func (r *run) call(method, path string, body []byte, timeout time.Duration) answer {
	node := r.nodes[int(r.nextNode.Add(1))%len(r.nodes)]
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	request.Header.Set("Content-Type", wire.ContentType)
	response, err := r.client.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	a := answer{status: response.StatusCode}
	_ = wire.Unmarshal(content, &a.body) // the body of a refusal has no status
	if s, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		a.retryAfter = min(time.Duration(s)*time.Second, 30*time.Second)
	}
	return a
}

// retry repeats a request until it is settled or the user gives up, and returns the last answer.
func (r *run) retry(what, method, path string, body []byte, settled func(answer) bool) (last answer, ok bool) {
	begin := time.Now()
	for {
		last = r.call(method, path, body, submitTimeout)
		r.logf("%s: status %d phase %q", what, last.status, last.body.Phase)
		if settled(last) {
			return last, true
		}
		pause := max(retryPause, last.retryAfter)
		if time.Since(begin)+pause > retryLimit {
			r.logf("%s: given up after %.1f s", what, time.Since(begin).Seconds())
			return last, false
		}
		time.Sleep(pause)
	}
}

// submit submits a job and reports whether it was accepted.
func (r *run) submit(spec *job.Spec) bool {
	r.world.DescribeJob(spec)
	body, err := wire.Marshal(spec)
	if err != nil {
		return false
	}
	_, ok := r.retry("submit "+spec.ID, http.MethodPost, "/api/jobs", body, func(a answer) bool {
		return a.status == http.StatusCreated || a.status == http.StatusOK
	})
	return ok
}

// abort cancels a job. ok is false if the user has given up without an answer.
func (r *run) abort(id string) (phase wire.JobPhase, ok bool) {
	last, ok := r.retry("abort "+id, http.MethodPost, "/api/jobs/"+id+"/abort", nil, func(a answer) bool {
		return a.status == http.StatusOK
	})
	return last.body.Phase, ok
}

// poll asks for a job once.
func (r *run) poll(id string) answer {
	a := r.call(http.MethodGet, "/api/jobs/"+id, nil, pollTimeout)
	r.logf("poll %s: status %d phase %q done %d running %d", id, a.status, a.body.Phase, a.body.Done, a.body.Running)
	return a
}

// awaitService waits until a controller leads and answers.
func (r *run) awaitService(limit time.Duration) bool {
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(200 * time.Millisecond) {
		up := 0
		for range r.nodes {
			if r.call(http.MethodGet, "/api/jobs/run-999999", nil, pollTimeout).status == http.StatusNotFound {
				up++
			}
		}
		if up == len(r.nodes) {
			return true
		}
	}
	return false
}

// until waits until the condition holds, and reports whether it did in time.
func until(limit time.Duration, condition func() bool) bool {
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(100 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// logHistory writes what the workers ran to the record.
func (r *run) logHistory() {
	r.logf("what the workers ran (times since the start of the run):")
	for _, e := range r.world.History() {
		what := "start"
		if !e.Start {
			what = "end " + string(e.Cause)
		}
		r.logf("  at %8.3f %s on %s (%s): %s", e.At.Sub(r.start).Seconds(), e.Task, e.Machine, e.Zone, what)
	}
}

// events returns the events of a job's tasks.
func (r *run) events(id string) (events []emulate.Event) {
	for _, e := range r.world.History() {
		if name, _, ok := job.SplitTaskName(e.Task); ok && name == id {
			events = append(events, e)
		}
	}
	return events
}
