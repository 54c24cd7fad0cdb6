package api

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"vetchstream/internal/rpc"
	"vetchstream/internal/wire"
)

// fakeBackend is a backend whose replies a test case chooses.
type fakeBackend struct {
	userReply      *rpc.Reply
	heartbeatReply *rpc.Reply
	leader         string
	healthy        bool

	forwarded int      // heartbeats that were forwarded
	requests  []string // of users: "KIND ID"
}

func (b *fakeBackend) HandleUser(_ context.Context, q *rpc.Request) *rpc.Reply {
	b.requests = append(b.requests, string(q.Kind)+" "+q.ID)
	return b.userReply
}
func (b *fakeBackend) Heartbeat(context.Context, *rpc.Request) *rpc.Reply { return b.heartbeatReply }
func (b *fakeBackend) Leader() string                                     { return b.leader }
func (b *fakeBackend) Healthy() bool                                      { return b.healthy }
func (b *fakeBackend) ForwardHeartbeat(context.Context, *rpc.Request) *rpc.Reply {
	b.forwarded++
	return &rpc.Reply{Status: http.StatusOK}
}

// TestRoutes: each route passes its request to the backend with the right kind and id,
// and writes the status and Retry-After of the reply.
func TestRoutes(t *testing.T) {
	status := func(code int) *rpc.Reply { return &rpc.Reply{Status: code} }
	busy := &rpc.Reply{Status: http.StatusServiceUnavailable, RetryAfter: 1}
	tests := []struct {
		name, method, path string
		bodyBytes          int
		backend            fakeBackend
		want               int
		request            string // that the backend gets; empty: none of a user
		retryAfter         string
	}{
		{"submission", "POST", "/api/jobs", 5, fakeBackend{userReply: status(201)}, 201, "submit ", ""},
		{"too large", "POST", "/api/jobs", wire.MaxBody + 1, fakeBackend{}, 400, "", ""},
		{"largest", "POST", "/api/jobs", wire.MaxBody, fakeBackend{userReply: status(400)}, 400, "submit ", ""},
		{"status", "GET", "/api/jobs/run-1", 0, fakeBackend{userReply: status(200)}, 200, "status run-1", ""},
		{"cancellation", "POST", "/api/jobs/run-1/abort", 0, fakeBackend{userReply: busy}, 503, "abort run-1", "1"},
		{"wrong method", "DELETE", "/api/jobs/run-1", 0, fakeBackend{}, 405, "", ""},
		{"unknown route", "GET", "/api/job", 0, fakeBackend{}, 404, "", ""},
		{"healthy", "GET", "/healthz", 0, fakeBackend{healthy: true}, 200, "", ""},
		{"not healthy", "GET", "/healthz", 0, fakeBackend{}, 503, "", ""},
		{"a heartbeat to the leader", "POST", "/checkin", 5, fakeBackend{heartbeatReply: status(200)}, 200, "", ""},
		{"a heartbeat without a leader", "POST", "/checkin", 5, fakeBackend{}, 503, "", ""},
		{"a heartbeat to another node", "POST", "/checkin", 5, fakeBackend{leader: "n2"}, 421, "", ""},
		{"a heartbeat that is too large", "POST", "/checkin", wire.MaxBody + 1, fakeBackend{heartbeatReply: status(200)}, 400, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := New(&tt.backend, slog.New(slog.DiscardHandler), nil).Handler()
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(tt.method, tt.path, bytes.NewReader(make([]byte, tt.bodyBytes))))
			if w.Code != tt.want {
				t.Errorf("status %d, want %d", w.Code, tt.want)
			}
			if got := strings.Join(tt.backend.requests, ","); got != tt.request {
				t.Errorf("request %q, want %q", got, tt.request)
			}
			if got := w.Header().Get("Retry-After"); got != tt.retryAfter {
				t.Errorf("Retry-After %q, want %q", got, tt.retryAfter)
			}
		})
	}
}

// TestHeartbeatRedirect: a worker that comes back after a redirect may be cut off from the
// leader, so its next heartbeat is forwarded.
func TestHeartbeatRedirect(t *testing.T) {
	backend := &fakeBackend{leader: "n2"}
	h := New(backend, slog.New(slog.DiscardHandler), nil).Handler()
	send := func(host string) int {
		r := httptest.NewRequest("POST", "/checkin", strings.NewReader("x"))
		r.RemoteAddr = host + ":1"
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w.Code
	}
	for i, step := range []struct {
		host, leader string
		want         int
	}{{"w1", "n2", 421}, {"w1", "n2", 200}, {"w2", "n2", 421}, {"w1", "n3", 421}, {"w1", "n3", 200}} {
		backend.leader = step.leader
		if got := send(step.host); got != step.want {
			t.Errorf("step %d: status %d, want %d", i, got, step.want)
		}
	}
	if backend.forwarded != 2 {
		t.Errorf("%d heartbeats forwarded, want 2", backend.forwarded)
	}
}
