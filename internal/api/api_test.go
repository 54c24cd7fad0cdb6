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

// standIn is a backend whose answers a case chooses.
type standIn struct {
	answer    *rpc.Reply
	report    *rpc.Reply
	leader    string
	healthy   bool
	forwarded int
	asked     []string
}

func (s *standIn) HandleUser(_ context.Context, q *rpc.Request) *rpc.Reply {
	s.asked = append(s.asked, q.Kind+" "+q.ID)
	return s.answer
}
func (s *standIn) Heartbeat(context.Context, *rpc.Request) *rpc.Reply { return s.report }
func (s *standIn) Leader() string                                     { return s.leader }
func (s *standIn) Healthy() bool                                      { return s.healthy }
func (s *standIn) ForwardHeartbeat(context.Context, *rpc.Request) *rpc.Reply {
	s.forwarded++
	return &rpc.Reply{Status: http.StatusOK}
}

func TestRoutes(t *testing.T) {
	busy := &rpc.Reply{Status: http.StatusServiceUnavailable, RetryAfter: 1}
	tests := []struct {
		name, method, path string
		body               int
		back               standIn
		want               int
		asked              string
		retry              string
	}{
		{"submission", "POST", "/api/jobs", 5, standIn{answer: &rpc.Reply{Status: 201}}, 201, "submit ", ""},
		{"too large", "POST", "/api/jobs", wire.MaxBody + 1, standIn{}, 400, "", ""},
		{"largest", "POST", "/api/jobs", wire.MaxBody, standIn{answer: &rpc.Reply{Status: 400}}, 400, "submit ", ""},
		{"status", "GET", "/api/jobs/run-1", 0, standIn{answer: &rpc.Reply{Status: 200}}, 200, "status run-1", ""},
		{"abort", "POST", "/api/jobs/run-1/abort", 0, standIn{answer: busy}, 503, "abort run-1", "1"},
		{"wrong method", "DELETE", "/api/jobs/run-1", 0, standIn{}, 405, "", ""},
		{"unknown route", "GET", "/api/job", 0, standIn{}, 404, "", ""},
		{"healthy", "GET", "/healthz", 0, standIn{healthy: true}, 200, "", ""},
		{"not healthy", "GET", "/healthz", 0, standIn{}, 503, "", ""},
		{"a report to the leader", "POST", "/checkin", 5, standIn{report: &rpc.Reply{Status: 200}}, 200, "", ""},
		{"a report without a leader", "POST", "/checkin", 5, standIn{}, 503, "", ""},
		{"a report to another node", "POST", "/checkin", 5, standIn{leader: "n2"}, 421, "", ""},
		{"a report that is too large", "POST", "/checkin", wire.MaxBody + 1, standIn{report: &rpc.Reply{Status: 200}}, 400, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := New(&tt.back, slog.New(slog.DiscardHandler), nil).Handler()
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(tt.method, tt.path, bytes.NewReader(make([]byte, tt.body))))
			if w.Code != tt.want {
				t.Errorf("status %d, want %d", w.Code, tt.want)
			}
			if got := strings.Join(tt.back.asked, ","); got != tt.asked {
				t.Errorf("asked %q, want %q", got, tt.asked)
			}
			if got := w.Header().Get("Retry-After"); got != tt.retry {
				t.Errorf("Retry-After %q, want %q", got, tt.retry)
			}
		})
	}
}

// TestRedirect: a worker that comes back after a redirect may be cut off from
// the leader, so its next report is handed on.
func TestRedirect(t *testing.T) {
	back := &standIn{leader: "n2"}
	h := New(back, slog.New(slog.DiscardHandler), nil).Handler()
	send := func(from string) int {
		q := httptest.NewRequest("POST", "/checkin", strings.NewReader("x"))
		q.RemoteAddr = from + ":1"
		w := httptest.NewRecorder()
		h.ServeHTTP(w, q)
		return w.Code
	}
	for i, step := range []struct {
		from, leader string
		want         int
	}{{"w1", "n2", 421}, {"w1", "n2", 200}, {"w2", "n2", 421}, {"w1", "n3", 421}, {"w1", "n3", 200}} {
		back.leader = step.leader
		if got := send(step.from); got != step.want {
			t.Errorf("step %d: status %d, want %d", i, got, step.want)
		}
	}
	if back.forwarded != 2 {
		t.Errorf("%d reports handed on, want 2", back.forwarded)
	}
}
