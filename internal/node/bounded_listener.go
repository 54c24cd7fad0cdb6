package node

import (
	"container/list"
	"net"
	"net/http"
	"sync"

	"vetchstream/internal/config"
	"vetchstream/internal/control"
)

const (
	// outgoingSockets is how many sockets the controller needs besides those of direct
	// commands and of incoming connections: for the key-value store, the cloud, the
	// siblings and the listeners themselves.
	outgoingSockets = 40
	// minInbound is the least limit of incoming connections.
	minInbound = 8
)

// inboundLimit returns how many connections users, workers and health checks may have
// open: all sockets but those that the controller itself needs. Direct commands count
// twice, because as many idle connections are kept for the next ones.
func inboundLimit(settings *config.Settings) int {
	sockets := settings.Facts.Resources.MaxSockets
	return max(minInbound, sockets-2*control.MaxDirectCalls(sockets)-outgoingSockets)
}

// boundedListener limits the number of connections that are open at a time. At the
// limit a new connection replaces the one that has been idle for longest, so that
// neither a flood nor a fleet that has moved on to another leader shuts out health
// checks and users. Connections of workers that have tasks are replaced last: with
// more machines than sockets, their leases would expire while idle machines are served.
type boundedListener struct {
	net.Listener
	limit int
	// freed is signaled when a place has become free or a connection idle.
	freed     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once

	mu   sync.Mutex
	open int // connections that are open
	// idle and idleWithTasks hold the connections without a request (*boundedConn), the
	// longest idle first. Those of workers that have tasks are in idleWithTasks.
	idle, idleWithTasks *list.List
}

// boundedConn is a connection that counts towards the limit of its listener. The
// fields below closeOnce are guarded by the listener's lock.
type boundedConn struct {
	net.Conn
	listener  *boundedListener
	closeOnce sync.Once

	element  *list.Element // position in list; nil: a request is in progress
	list     *list.List    // the list of idle connections that element is in
	hasTasks bool          // of a worker with tasks, by its last heartbeat
}

// newBoundedListener returns a listener that accepts from l and has at most limit
// connections open.
func newBoundedListener(l net.Listener, limit int) *boundedListener {
	return &boundedListener{
		Listener:      l,
		limit:         limit,
		freed:         make(chan struct{}, 1),
		closed:        make(chan struct{}),
		idle:          list.New(),
		idleWithTasks: list.New(),
	}
}

// Accept waits for a connection and then for a place for it.
func (l *boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for !l.admit() {
		select {
		case <-l.freed:
		case <-l.closed:
			_ = conn.Close()
			return nil, net.ErrClosed
		}
	}
	return &boundedConn{Conn: conn, listener: l}, nil
}

// Close stops accepting, also while a connection waits for a place.
func (l *boundedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// signalFreed makes a connection that waits for a place try again.
func (l *boundedListener) signalFreed() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// admit reports whether it has reserved a place for a new connection. At the limit it
// closes an idle connection to make one.
func (l *boundedListener) admit() bool {
	reserved, oldest := l.reserveOrTakeIdle()
	if reserved {
		return true
	}
	if oldest == nil {
		return false
	}
	_ = oldest.Close() // not under the lock, which Close takes
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reserve()
}

// reserveOrTakeIdle reserves a place, or else returns the idle connection that is to be
// closed for one; nil: every connection has a request in progress.
func (l *boundedListener) reserveOrTakeIdle() (reserved bool, oldest *boundedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reserve() {
		return true, nil
	}
	front := l.idle.Front()
	if front == nil {
		front = l.idleWithTasks.Front()
	}
	if front == nil {
		return false, nil
	}
	oldest = front.Value.(*boundedConn)
	oldest.removeIdle()
	return false, oldest
}

// reserve takes a place if there is one. The caller holds the lock.
func (l *boundedListener) reserve() bool {
	if l.open >= l.limit {
		return false
	}
	l.open++
	return true
}

// trackState is the server's http.Server.ConnState: it maintains the lists of idle
// connections.
func (l *boundedListener) trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*boundedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.removeIdle()
	if state == http.StateIdle {
		c.list = l.idle
		if c.hasTasks {
			c.list = l.idleWithTasks
		}
		c.element = c.list.PushBack(c)
		l.signalFreed()
	}
}

// removeIdle takes the connection off the list of idle ones that it is in, if any. The
// caller holds the listener's lock.
func (c *boundedConn) removeIdle() {
	if c.element != nil {
		c.list.Remove(c.element)
		c.element = nil
	}
}

// setHasTasks records whether the connection is that of a worker with tasks. It counts
// from the next time that the connection becomes idle.
func (c *boundedConn) setHasTasks(hasTasks bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.hasTasks = hasTasks
}

// Close closes the connection and frees its place. Further calls free nothing.
func (c *boundedConn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.mu.Lock()
		c.removeIdle()
		c.listener.open--
		c.listener.mu.Unlock()
		c.listener.signalFreed()
	})
	return c.Conn.Close()
}
