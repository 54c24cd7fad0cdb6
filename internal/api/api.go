// Package api is the HTTP listener for users, workers and health checks. A request
// that reaches another node than the leader is handed on over peer.
package api

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"vetchstream/internal/job"
	"vetchstream/internal/metrics"
	"vetchstream/internal/rpc"
	"vetchstream/internal/wire"
)

// Backend answers the requests that the listener lets in.
type Backend interface {
	// Answer answers a user's request, wherever the leader is.
	Answer(ctx context.Context, q *rpc.Request) *rpc.Reply
	// Report answers a worker's report as leader; nil: this node does not lead.
	Report(ctx context.Context, q *rpc.Request) *rpc.Reply
	// Leader names the leader as far as this node knows, or is empty.
	Leader() string
	// Forward hands a worker's report to the leader.
	Forward(ctx context.Context, q *rpc.Request) *rpc.Reply
	// Healthy reports whether users should be sent here.
	Healthy() bool
}

type workKey struct{}

// WithWork hands the listener of a connection's requests whom to tell whether its worker
// has tasks.
func WithWork(ctx context.Context, told func(work bool)) context.Context {
	return context.WithValue(ctx, workKey{}, told)
}

// Server is the listener.
type Server struct {
	back  Backend
	log   *slog.Logger
	meter *metrics.Meter

	mu   sync.Mutex
	sent map[string]time.Time // when a worker was last redirected, by its host
}

// New makes a listener before a backend.
func New(back Backend, log *slog.Logger, m *metrics.Meter) *Server {
	return &Server{back: back, log: log, meter: m, sent: map[string]time.Time{}}
}

// userTime bounds the answer to a user, below the user's own patience (5 s for
// submissions, 2 s for polls).
const (
	submitTime = 3500 * time.Millisecond
	pollTime   = 1700 * time.Millisecond
	reportTime = 3 * time.Second
)

// Handler returns the routes.
func (s *Server) Handler() http.Handler {
	rt := httprouter.New()
	rt.HandleMethodNotAllowed = true
	rt.RedirectTrailingSlash, rt.RedirectFixedPath = false, false
	rt.PanicHandler = func(w http.ResponseWriter, _ *http.Request, v any) {
		s.log.Error("request failed", "panic", v)
		w.WriteHeader(http.StatusInternalServerError)
	}
	rt.POST("/api/jobs", func(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
		body, err := read(q)
		if err != nil {
			write(w, refuse(http.StatusBadRequest, err.Error()))
			return
		}
		s.user(w, q, &rpc.Request{Kind: rpc.KindSubmit, ID: job.PeekID(body), Body: body}, submitTime)
	})
	rt.GET("/api/jobs/:id", func(w http.ResponseWriter, q *http.Request, p httprouter.Params) {
		s.user(w, q, &rpc.Request{Kind: rpc.KindStatus, ID: p.ByName("id")}, pollTime)
	})
	rt.POST("/api/jobs/:id/abort", func(w http.ResponseWriter, q *http.Request, p httprouter.Params) {
		s.user(w, q, &rpc.Request{Kind: rpc.KindAbort, ID: p.ByName("id")}, submitTime)
	})
	s.rolloutRoutes(rt)
	s.calendarRoutes(rt)
	s.configuration(rt)
	rt.POST("/checkin", s.checkin)
	rt.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if !s.back.Healthy() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	rt.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		write(w, refuse(http.StatusNotFound, "no such route"))
	})
	rt.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		write(w, refuse(http.StatusMethodNotAllowed, "method not allowed"))
	})
	return rt
}

// errTooLarge is the refusal of a body over the limit.
var errTooLarge = errors.New("body is too large")

func read(q *http.Request) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(q.Body, wire.MaxBody+1))
	if err != nil {
		return nil, err
	}
	if len(b) > wire.MaxBody {
		return nil, errTooLarge
	}
	return b, nil
}

func refuse(status int, why string) *rpc.Reply {
	b, err := wire.Marshal(wire.Error{Error: why})
	if err != nil {
		return &rpc.Reply{Status: http.StatusInternalServerError}
	}
	return &rpc.Reply{Status: status, Body: b}
}

func write(w http.ResponseWriter, p *rpc.Reply) {
	h := w.Header()
	h.Set("Content-Type", wire.ContentType)
	h.Set("Content-Length", strconv.Itoa(len(p.Body)))
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(p.RetryAfter))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(p.Body) // a client that has left is no concern of ours
}

func (s *Server) user(w http.ResponseWriter, q *http.Request, r *rpc.Request, limit time.Duration) {
	ctx, cancel := context.WithTimeout(q.Context(), limit)
	defer cancel()
	begun := time.Now()
	p := s.back.Answer(ctx, r)
	s.meter.Took(metrics.AnswerTime, r.Kind, time.Since(begun))
	s.meter.Add(metrics.Answers, r.Kind+" "+strconv.Itoa(p.Status), 1)
	write(w, p)
}

// redirectAgain is how long a worker that comes back after a redirect is served
// through this node instead: it may be cut off from the leader.
const redirectAgain = 20 * time.Second

func (s *Server) checkin(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
	body, err := read(q)
	if err != nil {
		write(w, refuse(http.StatusBadRequest, err.Error()))
		return
	}
	ctx, cancel := context.WithTimeout(q.Context(), reportTime)
	defer cancel()
	r := &rpc.Request{Kind: rpc.KindReport, Body: body}
	if p := s.back.Report(ctx, r); p != nil {
		if told, ok := ctx.Value(workKey{}).(func(bool)); ok {
			told(p.Work)
		}
		write(w, p)
		return
	}
	leader := s.back.Leader()
	if leader == "" {
		write(w, refuse(http.StatusServiceUnavailable, "no leader is known"))
		return
	}
	from, _, _ := net.SplitHostPort(q.RemoteAddr)
	if s.redirected(from, leader) {
		write(w, s.back.Forward(ctx, r))
		return
	}
	b, err := wire.Marshal(wire.Redirect{ReportTo: leader})
	if err != nil {
		b = nil
	}
	write(w, &rpc.Reply{Status: http.StatusMisdirectedRequest, Body: b})
}

// redirected reports whether the worker was sent to this leader a short while
// ago, and notes that it is now.
func (s *Server) redirected(from, leader string) bool {
	now := time.Now()
	key := from + " " + leader
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.sent[key]
	if ok && now.Sub(t) < redirectAgain {
		return true
	}
	if len(s.sent) > 1000 {
		clear(s.sent)
	}
	s.sent[key] = now
	return false
}
