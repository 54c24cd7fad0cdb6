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
	// reservedSockets is the number of sockets that the controller needs besides those for
	// direct commands and incoming connections: for the key-value store, the cloud, the
	// siblings and the listeners themselves.
	reservedSockets = 40
	// minInboundLimit is the lower bound of the limit on incoming connections.
	minInboundLimit = 8
)

// inboundLimit returns the maximum number of open connections from users, workers and
// health checks: all sockets except those that the controller itself needs. Direct
// commands count twice, because an equal number of idle connections is kept for reuse.
func inboundLimit(settings *config.Settings) int {
	sockets := settings.Facts.Resources.MaxSockets
	return max(minInboundLimit, sockets-2*control.MaxDirectCalls(sockets)-reservedSockets)
}

// boundedListener limits the number of open connections. At the limit a new connection
// replaces the one that has been idle longest, so that neither a flood of connections nor
// the idle connections of workers that now contact another leader lock out health checks
// and users. Connections of workers with tasks are replaced last: with more machines than
// sockets, the leases of such workers would otherwise expire while idle machines are
// served.
type boundedListener struct {
	net.Listener
	limit int
	// freed is signaled when a connection has been closed or has become idle.
	freed     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once

	mu   sync.Mutex
	open int // number of open connections
	// idle and idleWithTasks hold the connections (*boundedConn) without a request in
	// progress, the longest idle first. idleWithTasks holds those of workers with tasks.
	idle, idleWithTasks *list.List
}

// boundedConn is a connection that counts towards its listener's limit. The listener's
// lock guards the fields below closeOnce.
type boundedConn struct {
	net.Conn
	listener  *boundedListener
	closeOnce sync.Once

	element  *list.Element // position in list; nil: a request is in progress
	list     *list.List    // the list that contains element
	hasTasks bool          // the last heartbeat came from a worker with tasks
}

// newBoundedListener returns a listener that accepts connections from l and keeps at most
// limit of them open.
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

// Accept waits for a connection, and then until the limit permits it.
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

// Close closes the listener. An Accept whose connection waits for the limit returns
// net.ErrClosed.
func (l *boundedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// signalFreed wakes an Accept that waits for the limit.
func (l *boundedListener) signalFreed() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// admit counts a new connection as open and reports whether the limit permits it. At the
// limit it closes an idle connection first.
func (l *boundedListener) admit() bool {
	reserved, oldest := l.reserveOrTakeIdle()
	if reserved {
		return true
	}
	if oldest == nil {
		return false
	}
	_ = oldest.Close() // Close takes the lock itself
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reserve()
}

// reserveOrTakeIdle counts a new connection as open. At the limit it instead returns the
// idle connection to close; it returns nil if every connection has a request in progress.
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

// reserve counts a new connection as open, unless the limit is reached. The caller holds
// the lock.
func (l *boundedListener) reserve() bool {
	if l.open >= l.limit {
		return false
	}
	l.open++
	return true
}

// trackState is the callback for http.Server.ConnState. It maintains the lists of idle
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

// removeIdle removes the connection from the list of idle connections that contains it,
// if any. The caller holds the listener's lock.
func (c *boundedConn) removeIdle() {
	if c.element != nil {
		c.list.Remove(c.element)
		c.element = nil
	}
}

// setHasTasks records whether the connection belongs to a worker with tasks. This takes
// effect when the connection next becomes idle.
func (c *boundedConn) setHasTasks(hasTasks bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.hasTasks = hasTasks
}

// Close closes the connection. The first call also deducts it from the listener's open
// connections.
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
