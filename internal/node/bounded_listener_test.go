package node

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"time"
)

// listenerTestLimit is the connection limit of the tested listener.
const listenerTestLimit = 4

// slowServer is an HTTP server behind a boundedListener. Requests for /slow remain in
// progress until release is closed.
type slowServer struct {
	url     string
	entered chan struct{} // receives a value for each request for /slow that arrives
	release chan struct{}
	server  *http.Server
	served  chan struct{} // closed when the server has stopped
}

func startSlowServer(t *testing.T) *slowServer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bounded := newBoundedListener(l, listenerTestLimit)
	s := &slowServer{
		url:     "http://" + l.Addr().String(),
		entered: make(chan struct{}, 16),
		release: make(chan struct{}),
		served:  make(chan struct{}),
	}
	s.server = &http.Server{ConnState: bounded.trackState, Handler: http.HandlerFunc(s.handle)}
	go func() {
		defer close(s.served)
		_ = s.server.Serve(bounded)
	}()
	return s
}

func (s *slowServer) handle(_ http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/slow" {
		s.entered <- struct{}{}
		<-s.release
	}
}

// close stops the server and waits until it has stopped.
func (s *slowServer) close() {
	_ = s.server.Close()
	<-s.served
}

// get sends a request on a new connection, which stays open and idle afterwards.
func (s *slowServer) get(path string, timeout time.Duration) error {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{}}
	res, err := client.Get(s.url + path)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// startSlowRequests starts requests that are in progress when it returns. The channel
// delivers their results.
func (s *slowServer) startSlowRequests(requests int) <-chan error {
	results := make(chan error, requests)
	for range requests {
		go func() { results <- s.get("/slow", 0) }()
		<-s.entered
	}
	return results
}

// TestBoundedListener checks that a flood of connections does not lock out health checks
// and users, and that a connection with a request in progress is never closed for a new
// one.
func TestBoundedListener(t *testing.T) {
	tests := []struct {
		name       string
		idle       int // number of open connections without a request
		slow       int // number of connections with a request in progress
		wantServed bool
	}{
		{"below the limit: a new connection is served", 2, 0, true},
		{"more idle connections than the limit: a new connection is served", 10, 0, true},
		{"idle connections and requests in progress: a new connection is served", 5, 3, true},
		{"requests in progress on all connections: a new connection is not served", 0, listenerTestLimit, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startSlowServer(t)
			slow := s.startSlowRequests(tt.slow)
			for range tt.idle {
				if err := s.get("/healthz", 10*time.Second); err != nil {
					t.Fatalf("request that opens an idle connection: %v", err)
				}
			}
			if tt.wantServed {
				if err := s.get("/healthz", 10*time.Second); err != nil {
					t.Errorf("a new connection was not served: %v", err)
				}
			} else if s.get("/healthz", 50*time.Millisecond) == nil {
				t.Error("a new connection was served although the limit was reached")
			}
			close(s.release)
			for range tt.slow {
				if err := <-slow; err != nil {
					t.Errorf("a request in progress was interrupted: %v", err)
				}
			}
			s.close()
		})
	}
}

// TestBoundedListenerReplacement checks that connections of workers with tasks are replaced
// last, even if the other connections have been idle for a shorter time.
func TestBoundedListenerReplacement(t *testing.T) {
	tests := []struct {
		name     string
		hasTasks []bool // whether each connection's worker has tasks, in the order of becoming idle
		want     []int  // indexes of the connections in the order of closing
	}{
		{"no worker has tasks: the longest idle connection is closed first", []bool{false, false, false}, []int{0, 1, 2}},
		{"some workers have tasks: connections of workers without tasks are closed first", []bool{true, false, true, false}, []int{1, 3, 0, 2}},
		{"all workers have tasks: the longest idle connection is closed first", []bool{true, true}, []int{0, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newBoundedListener(nil, len(tt.hasTasks))
			var closed []int
			for i, hasTasks := range tt.hasTasks {
				if !l.admit() {
					t.Fatal("a connection below the limit was not admitted")
				}
				c := &boundedConn{
					Conn:     closeRecorder{onClose: func() { closed = append(closed, i) }},
					listener: l,
				}
				c.setHasTasks(hasTasks)
				l.trackState(c, http.StateIdle)
			}
			for range tt.hasTasks {
				l.admit()
			}
			if !slices.Equal(closed, tt.want) {
				t.Errorf("connections closed in the order %v, want %v", closed, tt.want)
			}
		})
	}
}

// closeRecorder is a connection that calls onClose on Close.
type closeRecorder struct {
	net.Conn
	onClose func()
}

func (c closeRecorder) Close() error {
	c.onClose()
	return nil
}
