package site

import (
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

// Controller is one controller, a process of the project's program.
type Controller struct {
	Member, Addr string

	binary, tuning, config, logPath string

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{}
}

// Start starts the controller's process with the run command of the deploy file.
func (c *Controller) Start() error {
	log, err := os.OpenFile(c.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(c.binary, "--tuning", c.tuning, "--config", c.config)
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	cmd.Stderr = log
	cmd.Stdout = log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	c.mu.Lock()
	c.process = cmd.Process
	c.ended = ended
	c.mu.Unlock()
	go func() {
		_ = cmd.Wait() // a killed process ends with an error
		close(ended)
	}()
	return nil
}

// Kill ends the controller's process without a warning and waits for its end.
func (c *Controller) Kill() {
	c.mu.Lock()
	process, ended := c.process, c.ended
	c.process = nil
	c.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Kill() // fails only if the process has ended
	<-ended
}

// Healthy reports whether the controller answers the load balancer's probe with 200.
func (c *Controller) Healthy() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + c.Addr + "/healthz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Log returns the lines of the controller's log that contain the text.
func (c *Controller) Log(text string) (lines []string) {
	content, err := os.ReadFile(c.logPath)
	if err != nil {
		return nil
	}
	for line := range strings.SplitSeq(string(content), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// AwaitHealthy waits until all controllers are healthy, at most for the given time.
func (s *Site) AwaitHealthy(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		healthy := 0
		for _, controller := range s.Controllers {
			if controller.Healthy() {
				healthy++
			}
		}
		if healthy == len(s.Controllers) {
			return true
		}
	}
	return false
}
