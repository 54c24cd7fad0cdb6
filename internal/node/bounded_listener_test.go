package node

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"time"
)

// TestDoor: a flood of connections must not shut out health checks and users, and
// one whose request is under way is never closed for another.
func TestBoundedListener(t *testing.T) {
	tests := []struct {
		name  string
		idle  int // connections that are kept open without a request
		slow  int // connections whose request is under way
		serve bool
	}{
		{"room for all", 2, 0, true},
		{"idle ones yield", 10, 0, true},
		{"idle ones yield beside slow ones", 5, 3, true},
		{"all are busy", 0, 4, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			d := newBoundedListener(ln, 4)
			entered, leave := make(chan struct{}, 16), make(chan struct{})
			srv := &http.Server{ConnState: d.state, Handler: http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
				if q.URL.Path == "/slow" {
					entered <- struct{}{}
					<-leave
				}
			})}
			served := make(chan struct{})
			go func() { defer close(served); _ = srv.Serve(d) }()
			url := "http://" + ln.Addr().String()
			slow := make(chan error, tt.slow)
			for range tt.slow {
				go func() {
					res, err := (&http.Client{Transport: &http.Transport{}}).Get(url + "/slow")
					if err == nil {
						res.Body.Close()
					}
					slow <- err
				}()
				<-entered
			}
			get := func(patience time.Duration) error {
				res, err := (&http.Client{Timeout: patience, Transport: &http.Transport{}}).Get(url + "/healthz")
				if err == nil {
					res.Body.Close() // the connection stays open, idle
				}
				return err
			}
			for range tt.idle {
				if err := get(10 * time.Second); err != nil {
					t.Fatalf("idle connection: %v", err)
				}
			}
			if tt.serve {
				if err := get(10 * time.Second); err != nil {
					t.Errorf("not served: %v", err)
				}
			} else if get(50*time.Millisecond) == nil {
				t.Error("served beyond the limit")
			}
			close(leave)
			for range tt.slow {
				if err := <-slow; err != nil {
					t.Errorf("a request under way was cut off: %v", err)
				}
			}
			_ = srv.Close()
			<-served
		})
	}
}

// TestDoorKeeps: connections of workers that have tasks yield last, whatever idles
// for longer.
func TestBoundedListenerKeeps(t *testing.T) {
	tests := []struct {
		name  string
		work  []bool // of the connections, in the order in which they became idle
		wants []int  // the order in which they yield
	}{
		{"longest idle first", []bool{false, false, false}, []int{0, 1, 2}},
		{"without tasks first", []bool{true, false, true, false}, []int{1, 3, 0, 2}},
		{"all have tasks", []bool{true, true}, []int{0, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newBoundedListener(nil, len(tt.work))
			var closed []int
			for i, work := range tt.work {
				if !d.admit() {
					t.Fatal("no room")
				}
				c := &boundedConn{Conn: closer{closed: func() { closed = append(closed, i) }}, d: d}
				c.keeps(work)
				d.state(c, http.StateIdle)
			}
			for range tt.work {
				d.admit()
			}
			if !slices.Equal(closed, tt.wants) {
				t.Errorf("closed %v, want %v", closed, tt.wants)
			}
		})
	}
}

// closer is a connection that tells when it is closed.
type closer struct {
	net.Conn
	closed func()
}

func (c closer) Close() error { c.closed(); return nil }
