package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// Times of the protocol for users.
const (
	changeTimeout = 5 * time.Second // for the answer to a submission or a cancellation
	pollTimeout   = 2 * time.Second // for the answer to a poll
	retryPause    = time.Second     // before a request is repeated
	pollPause     = 5 * time.Second // between two polls of a job
)

// timeNow returns the current time.
func timeNow() time.Time { return time.Now() }

// answer is the answer to a user's request. code is 0 if there was none in time.
type answer struct {
	code   int
	status wire.JobStatus
	reason string
}

func (a answer) String() string {
	if a.code == 0 {
		return "no answer"
	}
	if a.status.ID == "" {
		return fmt.Sprintf("%d %s", a.code, a.reason)
	}
	return fmt.Sprintf("%d %s, %d done, %d running", a.code, a.status.Phase, a.status.Done, a.status.Running)
}

// userClient sends users' requests, each on a connection of its own, as through a load balancer.
var userClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call sends one request to a controller.
func (c *cluster) call(m *member, method, path string, body []byte, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.userAddr+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	req.Header.Set("Content-Type", wire.ContentType)
	res, err := userClient.Do(req)
	if err != nil {
		return answer{}
	}
	defer res.Body.Close()
	content, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{}
	}
	a := answer{code: res.StatusCode}
	if a.code == http.StatusOK || a.code == http.StatusCreated {
		if wire.Unmarshal(content, &a.status) != nil {
			return answer{}
		}
		return a
	}
	var refusal wire.Error
	_ = wire.Unmarshal(content, &refusal)
	a.reason = refusal.Error
	return a
}

// submit submits a job as a user does, at controller first and then at the next ones, until it
// is accepted or until 60 s have passed.
func (c *cluster) submit(first int, spec *job.Spec) error {
	body, err := wire.Marshal(spec)
	if err != nil {
		return err
	}
	c.world.DescribeJob(spec)
	for end := time.Now().Add(time.Minute); time.Now().Before(end); first++ {
		m := c.members[first%controllers]
		a := c.call(m, http.MethodPost, "/api/jobs", body, changeTimeout)
		c.record.logf("submission of %s to %s: %v", spec.ID, m.name, a)
		if a.code == http.StatusOK || a.code == http.StatusCreated {
			c.world.JobAccepted(spec.ID)
			return nil
		}
		time.Sleep(retryPause)
	}
	return fmt.Errorf("job %s was not accepted", spec.ID)
}

// poll asks for a job's state once.
func (c *cluster) poll(m *member, id string) answer {
	a := c.call(m, http.MethodGet, "/api/jobs/"+id, nil, pollTimeout)
	c.record.logf("poll of %s at %s: %v", id, m.name, a)
	return a
}

// cancel cancels a job and repeats that at the next controller until it is answered with 200 or
// until the end. It returns whether it was answered.
func (c *cluster) cancel(first int, id string, end time.Time) bool {
	for ; time.Now().Before(end); first++ {
		m := c.members[first%controllers]
		a := c.call(m, http.MethodPost, "/api/jobs/"+id+"/abort", nil, changeTimeout)
		c.record.logf("cancellation of %s at %s: %v", id, m.name, a)
		if a.code == http.StatusOK {
			return true
		}
		time.Sleep(retryPause)
	}
	return false
}
