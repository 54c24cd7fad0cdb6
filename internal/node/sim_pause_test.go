package node

import (
	"net"
	"sync"
	"time"
)

// pauseGate stops what a process sends and takes in while it stands still. A message
// whose sender has passed every check waits in it, and leaves when the process
// goes on.
type pauseGate struct {
	mu      sync.Mutex
	resumed chan struct{} // nil: open
}

// pause lets the process stand still for a while.
func (g *pauseGate) pause(duration time.Duration) {
	resumed := make(chan struct{})
	g.mu.Lock()
	g.resumed = resumed
	g.mu.Unlock()
	time.Sleep(duration)
	g.mu.Lock()
	g.resumed = nil
	g.mu.Unlock()
	close(resumed)
}

// wait returns once the process goes on.
func (g *pauseGate) wait() {
	g.mu.Lock()
	resumed := g.resumed
	g.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// pausableConn is a connection of a process that may be paused.
type pausableConn struct {
	net.Conn
	gate *pauseGate
}

// Write implements net.Conn.
func (c pausableConn) Write(b []byte) (int, error) {
	c.gate.wait()
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c pausableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.gate.wait()
	return n, err
}

// pausableListener is a listener of a process that may be paused.
type pausableListener struct {
	net.Listener
	gate *pauseGate
}

// Accept implements net.Listener.
func (l pausableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.gate.wait()
	return pausableConn{c, l.gate}, nil
}
