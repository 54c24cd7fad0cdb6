// Package api provides a node's HTTP server for users, workers, operators and health checks. It
// limits the size and the duration of requests and passes them to a Backend.
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

// Backend answers the requests that the server has read.
type Backend interface {
	// HandleUser answers a user's or an operator's request, whether or not this node leads.
	HandleUser(ctx context.Context, request *rpc.Request) *rpc.Reply
	// Heartbeat answers a worker's heartbeat. It returns nil if another node is responsible for
	// the worker's machine.
	Heartbeat(ctx context.Context, request *rpc.Request) *rpc.Reply
	// Leader returns the leader's member name as this node knows it, or an empty string if it knows no
	// leader or leads itself.
	Leader() string
	// ForwardHeartbeat forwards a worker's heartbeat to the leader and returns the leader's reply.
	ForwardHeartbeat(ctx context.Context, request *rpc.Request) *rpc.Reply
	// Healthy reports whether the load balancer should send users to this node.
	Healthy() bool
}

// taskObserverKey is the key of a connection's task observer in its context.
type taskObserverKey struct{}

// WithTaskObserver returns a context for a connection. The server calls observe for each
// heartbeat that it answers on that connection, and passes whether the worker has tasks.
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
	meter   *metrics.Meter // nil: metrics are off

	mu        sync.Mutex
	redirects map[string]time.Time // time of a worker's last redirect, by its host and the leader
}

// New returns a server that passes its requests to a backend. The meter may be nil.
func New(backend Backend, log *slog.Logger, meter *metrics.Meter) *Server {
	return &Server{
		backend:   backend,
		log:       log,
		meter:     meter,
		redirects: map[string]time.Time{},
	}
}

// Time limits for the backend's answer. Each is shorter than the client's own time-out: 5 s for
// submissions and other changes, 2 s for polls, and 4 s for heartbeats.
const (
	changeTimeout    = 3500 * time.Millisecond
	statusTimeout    = 1700 * time.Millisecond
	heartbeatTimeout = 3 * time.Second
)

// Handler returns a handler that serves all routes.
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

// recoverPanic logs the panic of a request's handler and answers with status 500.
func (s *Server) recoverPanic(w http.ResponseWriter, _ *http.Request, v any) {
	s.log.Error("request handler panicked", "panic", v)
	w.WriteHeader(http.StatusInternalServerError)
}

// routeJobs adds the routes for users' jobs, which the protocol defines.
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

// serveUser passes a user's or an operator's request to the backend, writes the reply, and records
// the response time and the status.
func (s *Server) serveUser(w http.ResponseWriter, r *http.Request, request *rpc.Request, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	start := time.Now()
	reply := s.backend.HandleUser(ctx, request)
	kind := string(request.Kind)
	s.meter.Observe(metrics.UserResponseTime, kind, time.Since(start))
	s.meter.Add(metrics.UserResponses, kind+" "+strconv.Itoa(reply.Status), 1)
	writeReply(w, reply)
}

// serveHealth answers the load balancer's health checks.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !s.backend.Healthy() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveHeartbeat answers a worker's heartbeat. A node that is not responsible for the worker's
// machine redirects the worker to the leader. If the worker returns within redirectWindow, the
// node forwards its heartbeats to the leader.
func (s *Server) serveHeartbeat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := readBody(r)
	if err != nil {
		writeReply(w, errorReply(http.StatusBadRequest, err.Error()))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), heartbeatTimeout)
	defer cancel()
	request := &rpc.Request{Kind: rpc.KindHeartbeat, Body: body}
	if reply := s.backend.Heartbeat(ctx, request); reply != nil {
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
		writeReply(w, s.backend.ForwardHeartbeat(ctx, request))
		return
	}
	writeReply(w, redirectReply(leader))
}

const (
	// redirectWindow is how long after a redirect this node forwards the worker's heartbeats
	// instead of redirecting it again, because the worker may be unable to reach the leader.
	redirectWindow = 20 * time.Second
	// maxRedirects bounds the map of recent redirects. Beyond it the server clears the map, and
	// some workers are redirected a second time.
	maxRedirects = 1000
)

// redirected reports whether this node redirected the worker on the host to this leader within
// the last redirectWindow. If not, it records a redirect at the current time.
func (s *Server) redirected(host, leader string) bool {
	now := time.Now()
	key := host + " " + leader
	s.mu.Lock()
	defer s.mu.Unlock()
	last, known := s.redirects[key]
	if known && now.Sub(last) < redirectWindow {
		return true
	}
	if len(s.redirects) > maxRedirects {
		clear(s.redirects)
	}
	s.redirects[key] = now
	return false
}

// redirectReply returns a reply with status 421 that contains the leader's name.
func redirectReply(leader string) *rpc.Reply {
	body, err := wire.Marshal(wire.Redirect{ReportTo: leader})
	if err != nil {
		body = nil // without a name the worker tries the next node
	}
	return &rpc.Reply{Status: http.StatusMisdirectedRequest, Body: body}
}

// errorReply returns a reply with an error status and the reason.
func errorReply(status int, reason string) *rpc.Reply {
	body, err := wire.Marshal(wire.Error{Error: reason})
	if err != nil {
		return &rpc.Reply{Status: http.StatusInternalServerError}
	}
	return &rpc.Reply{Status: status, Body: body}
}

// errTooLarge is the error of readBody for a body of more than wire.MaxBody bytes.
var errTooLarge = errors.New("request body is too large")

// readBody reads a request's body of up to wire.MaxBody bytes.
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
	_, _ = w.Write(reply.Body) // fails only if the client has closed the connection
}
