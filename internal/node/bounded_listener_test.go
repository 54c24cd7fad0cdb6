package node

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"time"
)

// listenerTestLimit is the number of connections that the tested listener admits.
const listenerTestLimit = 4

// slowServer is an HTTP server behind a boundedListener. Requests for /slow are in
// progress until release is closed.
type slowServer struct {
	url     string
	entered chan struct{} // a value for each request for /slow that has arrived
	release chan struct{}
	server  *http.Server
	served  chan struct{} // closed when the server has ended
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

// close ends the server and waits for its end.
func (s *slowServer) close() {
	_ = s.server.Close()
	<-s.served
}

// get makes a request on a connection of its own, which stays open and idle.
func (s *slowServer) get(path string, timeout time.Duration) error {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{}}
	res, err := client.Get(s.url + path)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// startSlowRequests starts requests that are in progress when it returns. Their results come
// from the channel.
func (s *slowServer) startSlowRequests(requests int) <-chan error {
	results := make(chan error, requests)
	for range requests {
		go func() { results <- s.get("/slow", 0) }()
		<-s.entered
	}
	return results
}

// TestBoundedListener: a flood of connections must not shut out health checks and
// users, and a connection whose request is in progress is never closed for another.
func TestBoundedListener(t *testing.T) {
	tests := []struct {
		name  string
		idle  int // connections that stay open without a request
		slow  int // connections whose request is in progress
		serve bool
	}{
		{"room for all", 2, 0, true},
		{"idle ones are replaced", 10, 0, true},
		{"idle ones are replaced beside slow ones", 5, 3, true},
		{"all are busy", 0, listenerTestLimit, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startSlowServer(t)
			slow := s.startSlowRequests(tt.slow)
			for range tt.idle {
				if err := s.get("/healthz", 10*time.Second); err != nil {
					t.Fatalf("idle connection: %v", err)
				}
			}
			if tt.serve {
				if err := s.get("/healthz", 10*time.Second); err != nil {
					t.Errorf("not served: %v", err)
				}
			} else if s.get("/healthz", 50*time.Millisecond) == nil {
				t.Error("served beyond the limit")
			}
			close(s.release)
			for range tt.slow {
				if err := <-slow; err != nil {
					t.Errorf("a request in progress was cut off: %v", err)
				}
			}
			s.close()
		})
	}
}

// TestBoundedListenerReplacement: connections of workers that have tasks are replaced
// last, even if others have been idle for a shorter time.
func TestBoundedListenerReplacement(t *testing.T) {
	tests := []struct {
		name     string
		hasTasks []bool // of the connections, in the order in which they became idle
		want     []int  // the order in which they are closed
	}{
		{"longest idle first", []bool{false, false, false}, []int{0, 1, 2}},
		{"without tasks first", []bool{true, false, true, false}, []int{1, 3, 0, 2}},
		{"all have tasks", []bool{true, true}, []int{0, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newBoundedListener(nil, len(tt.hasTasks))
			var closed []int
			for i, hasTasks := range tt.hasTasks {
				if !l.admit() {
					t.Fatal("no place")
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
				t.Errorf("closed %v, want %v", closed, tt.want)
			}
		})
	}
}

// closeRecorder is a connection that calls onClose when it is closed.
type closeRecorder struct {
	net.Conn
	onClose func()
}

func (c closeRecorder) Close() error {
	c.onClose()
	return nil
}
