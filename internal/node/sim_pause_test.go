package node

import (
	"net"
	"sync"
	"time"
)

// pauseGate blocks the network traffic of a process while the process is paused. A message
// that has passed all of its sender's checks waits at the gate and is sent once the process
// resumes.
type pauseGate struct {
	mu      sync.Mutex
	resumed chan struct{} // closed when the process resumes; nil: not paused
}

// pause suspends the process for the duration.
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

// wait blocks while the process is paused.
func (g *pauseGate) wait() {
	g.mu.Lock()
	resumed := g.resumed
	g.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// pausableConn is a connection of a process that can be paused.
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

// pausableListener is a listener of a process that can be paused.
type pausableListener struct {
	net.Listener
	gate *pauseGate
}

// Accept implements net.Listener.
func (l pausableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.gate.wait()
	return pausableConn{conn, l.gate}, nil
}
