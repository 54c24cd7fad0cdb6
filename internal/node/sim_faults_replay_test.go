package node

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"vetchstream/internal/emulate"
	"vetchstream/internal/wire"
)

// maxReplays is the maximum number of replayed heartbeats in flight.
const maxReplays = 100

// replayHeartbeats captures all heartbeats for captureTime. After the delay it sends
// them, distributed over all controllers, as fast as maxReplays permits.
func replayHeartbeats(captureTime, delay time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.CaptureHeartbeats(true)
		time.Sleep(captureTime)
		s.CaptureHeartbeats(false)
		captured := s.CapturedHeartbeats()
		time.Sleep(delay)
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

// replayHeartbeat sends a captured heartbeat to controller i from the address of its worker.
func (s *simulation) replayHeartbeat(i int, heartbeat emulate.CapturedHeartbeat) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	url := "http://" + s.controllerAddress(i) + "/checkin"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(heartbeat.Body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Content-Type", wire.ContentType)
	client := &http.Client{Transport: &http.Transport{DialContext: s.net.Dialer(heartbeat.Host), DisableKeepAlives: true}}
	if response, err := client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// replayToNextLeader captures all heartbeats for captureTime, and sends them, distributed over
// all controllers, when the next term begins.
func replayToNextLeader(captureTime time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.CaptureHeartbeats(true)
		time.Sleep(captureTime)
		s.CaptureHeartbeats(false)
		term := s.term()
		for range 600 {
			if s.term() > term {
				replayHeartbeats(0, 0)(s)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
		s.reportUnreachedCondition("no new term began within 30 s")
	}
}
