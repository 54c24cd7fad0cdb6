package node

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"vetchstream/internal/emulate"
	"vetchstream/internal/wire"
)

// maxReplays bounds the captured heartbeats that are sent at a time.
const maxReplays = 100

// replayHeartbeats captures all heartbeats for a while, and sends them to all controllers at
// once, so long after.
func replayHeartbeats(captureTime, after time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.CaptureHeartbeats(true)
		time.Sleep(captureTime)
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
		s.reportUnreachedCondition("no other leader has come")
	}
}
