package site

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"vetchstream/internal/rollout"
	"vetchstream/internal/wire"
)

// Answer is the answer to a user's request; Status is 0 if there was none.
type Answer struct {
	Status int
	wire.JobStatus
	body []byte
}

// ask sends one request on a connection of its own.
func ask(method, url string, body any, limit time.Duration) (answer Answer) {
	var reader io.Reader
	if body != nil {
		encoded, err := wire.Marshal(body)
		if err != nil {
			return Answer{}
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, url, reader)
	if err != nil {
		return Answer{}
	}
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Timeout: limit, Transport: transport}
	response, err := client.Do(request)
	if err != nil {
		return Answer{}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{}
	}
	answer.Status = response.StatusCode
	answer.body = content
	if response.StatusCode < 300 {
		_ = wire.Unmarshal(content, &answer.JobStatus) // the caller checks the phase
	}
	return answer
}

// Submit sends a submission to a controller once.
func (c *Controller) Submit(fields map[string]any) Answer {
	return ask(http.MethodPost, "http://"+c.Addr+"/api/jobs", fields, 5*time.Second)
}

// Get polls a job at a controller once.
func (c *Controller) Get(id string) Answer {
	return ask(http.MethodGet, "http://"+c.Addr+"/api/jobs/"+id, nil, 2*time.Second)
}

// Abort sends a cancellation to a controller once.
func (c *Controller) Abort(id string) Answer {
	return ask(http.MethodPost, "http://"+c.Addr+"/api/jobs/"+id+"/abort", nil, 5*time.Second)
}

// StartRollout asks a controller once to start a roll-out. The answer has a status only.
func (c *Controller) StartRollout(spec map[string]any) (status int) {
	return ask(http.MethodPost, "http://"+c.Addr+"/api/rollouts", spec, 5*time.Second).Status
}

// UndoRollout asks a controller once to take back a service's roll-out. The answer has a status only.
func (c *Controller) UndoRollout(service string) (status int) {
	return ask(http.MethodPost, "http://"+c.Addr+"/api/rollouts/"+service+"/undo", nil, 5*time.Second).Status
}

// RolloutState asks a controller once for the state of a service's roll-out; empty without an answer.
func (c *Controller) RolloutState(service string) (state string) {
	var status rollout.Status
	answer := ask(http.MethodGet, "http://"+c.Addr+"/api/rollouts/"+service, nil, 5*time.Second)
	if answer.Status != http.StatusOK || wire.Unmarshal(answer.body, &status) != nil {
		return ""
	}
	return status.State
}
