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

// fakeBackend is a Backend with fixed replies that counts forwarded heartbeats and records users'
// requests.
type fakeBackend struct {
	userReply      *rpc.Reply
	heartbeatReply *rpc.Reply
	leader         string
	healthy        bool

	forwarded int      // number of forwarded heartbeats
	requests  []string // users' requests, as "KIND ID"
}

func (b *fakeBackend) HandleUser(_ context.Context, request *rpc.Request) *rpc.Reply {
	b.requests = append(b.requests, string(request.Kind)+" "+request.ID)
	return b.userReply
}
func (b *fakeBackend) Heartbeat(context.Context, *rpc.Request) *rpc.Reply { return b.heartbeatReply }
func (b *fakeBackend) Leader() string                                     { return b.leader }
func (b *fakeBackend) Healthy() bool                                      { return b.healthy }
func (b *fakeBackend) ForwardHeartbeat(context.Context, *rpc.Request) *rpc.Reply {
	b.forwarded++
	return &rpc.Reply{Status: http.StatusOK}
}

// TestRoutes checks that each route passes its request to the backend with the right kind and ID,
// and writes the status and the Retry-After header of the reply.
func TestRoutes(t *testing.T) {
	status := func(code int) *rpc.Reply { return &rpc.Reply{Status: code} }
	busy := &rpc.Reply{Status: http.StatusServiceUnavailable, RetryAfter: 1}
	tests := []struct {
		name, method, path string
		bodyBytes          int
		backend            fakeBackend
		want               int    // status
		request            string // user's request that the backend receives; empty: none
		retryAfter         string
	}{
		{"submission: passed to the backend", "POST", "/api/jobs", 5, fakeBackend{userReply: status(201)}, 201, "submit ", ""},
		{"submission over MaxBody: 400 without a request to the backend", "POST", "/api/jobs", wire.MaxBody + 1, fakeBackend{}, 400, "", ""},
		{"submission of MaxBody bytes: passed to the backend", "POST", "/api/jobs", wire.MaxBody, fakeBackend{userReply: status(400)}, 400, "submit ", ""},
		{"poll of a job: passed to the backend with its ID", "GET", "/api/jobs/run-1", 0, fakeBackend{userReply: status(200)}, 200, "status run-1", ""},
		{"cancellation that the backend refuses for now: 503 with Retry-After", "POST", "/api/jobs/run-1/abort", 0, fakeBackend{userReply: busy}, 503, "abort run-1", "1"},
		{"unsupported method of a known route: 405", "DELETE", "/api/jobs/run-1", 0, fakeBackend{}, 405, "", ""},
		{"unknown route: 404", "GET", "/api/job", 0, fakeBackend{}, 404, "", ""},
		{"health check of a healthy backend: 200", "GET", "/healthz", 0, fakeBackend{healthy: true}, 200, "", ""},
		{"health check of an unhealthy backend: 503", "GET", "/healthz", 0, fakeBackend{}, 503, "", ""},
		{"heartbeat that the backend answers: its reply", "POST", "/checkin", 5, fakeBackend{heartbeatReply: status(200)}, 200, "", ""},
		{"heartbeat of another node's machine without a leader: 503", "POST", "/checkin", 5, fakeBackend{}, 503, "", ""},
		{"heartbeat of another node's machine: 421", "POST", "/checkin", 5, fakeBackend{leader: "n2"}, 421, "", ""},
		{"heartbeat over MaxBody: 400", "POST", "/checkin", wire.MaxBody + 1, fakeBackend{heartbeatReply: status(200)}, 400, "", ""},
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
				t.Errorf("the backend received the user request %q, want %q", got, tt.request)
			}
			if got := w.Header().Get("Retry-After"); got != tt.retryAfter {
				t.Errorf("Retry-After header %q, want %q", got, tt.retryAfter)
			}
		})
	}
}

// TestHeartbeatRedirect checks that a node forwards the heartbeat of a worker that returns after a
// redirect to the same leader, because the worker may be unable to reach that leader.
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
			t.Errorf("heartbeat %d, of %s with leader %s: status %d, want %d", i, step.host, step.leader, got, step.want)
		}
	}
	if backend.forwarded != 2 {
		t.Errorf("%d heartbeats forwarded, want 2", backend.forwarded)
	}
}
