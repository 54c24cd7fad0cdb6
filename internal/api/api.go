// Package api is the HTTP server for users, workers, operators and health checks. It
// reads and bounds requests, and passes them to a Backend, which knows who leads.
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

// Backend answers the requests that the server accepts.
type Backend interface {
	// HandleUser answers a user's or an operator's request, whichever node leads.
	HandleUser(ctx context.Context, q *rpc.Request) *rpc.Reply
	// Heartbeat answers a worker's heartbeat; nil: this node does not answer for the
	// worker's machine.
	Heartbeat(ctx context.Context, q *rpc.Request) *rpc.Reply
	// Leader names the leader as far as this node knows; empty: none, or this node.
	Leader() string
	// ForwardHeartbeat forwards a worker's heartbeat to the leader.
	ForwardHeartbeat(ctx context.Context, q *rpc.Request) *rpc.Reply
	// Healthy reports whether users should be sent to this node.
	Healthy() bool
}

// taskObserverKey is the key of a connection's task observer in its context.
type taskObserverKey struct{}

// WithTaskObserver returns the context of a connection whose server calls observe after
// each heartbeat that comes in on it, with whether the worker has tasks.
func WithTaskObserver(ctx context.Context, observe func(hasTasks bool)) context.Context {
	return context.WithValue(ctx, taskObserverKey{}, observe)
}

// observeTasks calls the task observer of the request's connection, if it has one.
func observeTasks(ctx context.Context, hasTasks bool) {
	if observe, ok := ctx.Value(taskObserverKey{}).(func(bool)); ok {
		observe(hasTasks)
	}
}

// Server is the HTTP server of one node.
type Server struct {
	backend Backend
	log     *slog.Logger
	meter   *metrics.Meter // nil: off

	mu        sync.Mutex
	redirects map[string]time.Time // when a worker was last redirected, by its host and the leader
}

// New returns a server of a backend.
func New(backend Backend, log *slog.Logger, meter *metrics.Meter) *Server {
	return &Server{
		backend:   backend,
		log:       log,
		meter:     meter,
		redirects: map[string]time.Time{},
	}
}

// Limits of the time for an answer. They are below the time that the client waits: 5 s
// for submissions and other changes, 2 s for polls, and 4 s for heartbeats.
const (
	changeTimeout    = 3500 * time.Millisecond
	statusTimeout    = 1700 * time.Millisecond
	heartbeatTimeout = 3 * time.Second
)

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler {
	router := httprouter.New()
	router.HandleMethodNotAllowed = true
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.PanicHandler = s.recoverPanic
	s.routeJobs(router)
	s.routeRollouts(router)
	s.routeCalendar(router)
	s.routeConfiguration(router)
	router.POST("/checkin", s.serveHeartbeat)
	router.GET("/healthz", s.serveHealth)
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeReply(w, errorReply(http.StatusNotFound, "no such route"))
	})
	router.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeReply(w, errorReply(http.StatusMethodNotAllowed, "method not allowed"))
	})
	return router
}

// recoverPanic answers a request whose handler has panicked.
func (s *Server) recoverPanic(w http.ResponseWriter, _ *http.Request, v any) {
	s.log.Error("request handler panicked", "panic", v)
	w.WriteHeader(http.StatusInternalServerError)
}

// routeJobs adds the protocol's routes for users.
func (s *Server) routeJobs(router *httprouter.Router) {
	router.POST("/api/jobs", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		body, err := readBody(r)
		if err != nil {
			writeReply(w, errorReply(http.StatusBadRequest, err.Error()))
			return
		}
		s.serveUser(w, r, &rpc.Request{Kind: rpc.KindSubmit, ID: job.PeekID(body), Body: body}, changeTimeout)
	})
	router.GET("/api/jobs/:id", func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		s.serveUser(w, r, &rpc.Request{Kind: rpc.KindStatus, ID: p.ByName("id")}, statusTimeout)
	})
	router.POST("/api/jobs/:id/abort", func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		s.serveUser(w, r, &rpc.Request{Kind: rpc.KindCancel, ID: p.ByName("id")}, changeTimeout)
	})
}

// serveUser passes a user's or an operator's request to the backend and writes its reply.
func (s *Server) serveUser(w http.ResponseWriter, r *http.Request, q *rpc.Request, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	begun := time.Now()
	reply := s.backend.HandleUser(ctx, q)
	kind := string(q.Kind)
	s.meter.Observe(metrics.UserResponseTime, kind, time.Since(begun))
	s.meter.Add(metrics.UserResponses, kind+" "+strconv.Itoa(reply.Status), 1)
	writeReply(w, reply)
}

// serveHealth answers the health checks of the load balancer.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !s.backend.Healthy() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveHeartbeat answers a worker's heartbeat. A node that does not answer for the
// worker's machine redirects the worker to the leader, and forwards the heartbeat if
// the worker comes back all the same.
func (s *Server) serveHeartbeat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := readBody(r)
	if err != nil {
		writeReply(w, errorReply(http.StatusBadRequest, err.Error()))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), heartbeatTimeout)
	defer cancel()
	q := &rpc.Request{Kind: rpc.KindHeartbeat, Body: body}
	if reply := s.backend.Heartbeat(ctx, q); reply != nil {
		observeTasks(ctx, reply.HasTasks)
		writeReply(w, reply)
		return
	}
	leader := s.backend.Leader()
	if leader == "" {
		writeReply(w, errorReply(http.StatusServiceUnavailable, "no leader is known"))
		return
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	if s.redirected(host, leader) {
		writeReply(w, s.backend.ForwardHeartbeat(ctx, q))
		return
	}
	writeReply(w, redirectReply(leader))
}

const (
	// redirectWindow is how long a worker that comes back after a redirect is served
	// through this node instead: it may be cut off from the leader.
	redirectWindow = 20 * time.Second
	// maxRedirects bounds the redirects that are remembered. Beyond it all are forgotten,
	// which costs some workers a second redirect.
	maxRedirects = 1000
)

// redirected reports whether the worker on the host was redirected to this leader
// within redirectWindow. If not, it records that the worker is redirected now.
func (s *Server) redirected(host, leader string) bool {
	now := time.Now()
	key := host + " " + leader
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.redirects[key]
	if ok && now.Sub(last) < redirectWindow {
		return true
	}
	if len(s.redirects) > maxRedirects {
		clear(s.redirects)
	}
	s.redirects[key] = now
	return false
}

// redirectReply is a 421 that names the leader.
func redirectReply(leader string) *rpc.Reply {
	body, err := wire.Marshal(wire.Redirect{ReportTo: leader})
	if err != nil {
		body = nil // the worker tries the next node
	}
	return &rpc.Reply{Status: http.StatusMisdirectedRequest, Body: body}
}

// errorReply is a refusal with a reason.
func errorReply(status int, reason string) *rpc.Reply {
	body, err := wire.Marshal(wire.Error{Error: reason})
	if err != nil {
		return &rpc.Reply{Status: http.StatusInternalServerError}
	}
	return &rpc.Reply{Status: status, Body: body}
}

// errTooLarge is returned by readBody for a body over wire.MaxBody.
var errTooLarge = errors.New("body is too large")

// readBody reads a request's body.
func readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody+1))
	if err != nil {
		return nil, err
	}
	if len(body) > wire.MaxBody {
		return nil, errTooLarge
	}
	return body, nil
}

// writeReply writes a reply as the response to a request.
func writeReply(w http.ResponseWriter, reply *rpc.Reply) {
	header := w.Header()
	header.Set("Content-Type", wire.ContentType)
	header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	if reply.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(reply.RetryAfter))
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body) // fails only if the client has left
}
