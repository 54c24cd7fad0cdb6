package node

import (
	"container/list"
	"net"
	"net/http"
	"sync"

	"vetchstream/internal/config"
	"vetchstream/internal/control"
)

// outgoing is what state service, cloud, siblings and listeners take of the
// sockets, besides direct commands.
const outgoing = 40

// inbound is how many connections users, workers and health checks may have
// open: all sockets but those that the controller itself needs. A direct command
// may be under way while as many connections are kept for the next.
func inbound(set *config.Settings) int {
	n := set.Facts.Resources.MaxSockets
	return max(8, n-2*control.MaxDirectCalls(n)-outgoing)
}

// boundedListener limits the connections that are open at a time. At the limit a new one
// takes the place of the one that has been idle for longest, so that a flood, or
// a fleet that has moved on to another leader, does not shut out health checks
// and users. Connections of workers that have tasks yield last: with more machines
// than sockets their leases would run out while idle machines are served.
type boundedListener struct {
	net.Listener
	most int
	// freed tells that a place or an idle connection may have come.
	freed chan struct{}
	ended chan struct{}
	once  sync.Once

	mu   sync.Mutex
	open int
	// idle and kept hold *boundedConn, longest idle first; kept those of workers with tasks.
	idle, kept *list.List
}

type boundedConn struct {
	net.Conn
	d    *boundedListener
	once sync.Once
	at   *list.Element // nil: a request is under way
	in   *list.List    // that at is in
	keep bool          // of a worker with tasks, by its last report
}

func newBoundedListener(l net.Listener, most int) *boundedListener {
	return &boundedListener{Listener: l, most: most, freed: make(chan struct{}, 1), ended: make(chan struct{}), idle: list.New(), kept: list.New()}
}

// Accept waits for a connection and for room for it.
func (d *boundedListener) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for !d.admit() {
		select {
		case <-d.freed:
		case <-d.ended:
			_ = c.Close()
			return nil, net.ErrClosed
		}
	}
	return &boundedConn{Conn: c, d: d}, nil
}

// Close stops accepting, also while a connection waits for room.
func (d *boundedListener) Close() error {
	d.once.Do(func() { close(d.ended) })
	return d.Listener.Close()
}

// wake lets a connection that waits for room look again.
func (d *boundedListener) wake() {
	select {
	case d.freed <- struct{}{}:
	default:
	}
}

// admit takes a place, for which it closes an idle connection at the limit.
func (d *boundedListener) admit() bool {
	d.mu.Lock()
	if d.open < d.most {
		d.open++
		d.mu.Unlock()
		return true
	}
	var oldest *boundedConn
	e := d.idle.Front()
	if e == nil {
		e = d.kept.Front()
	}
	if e != nil {
		oldest = e.Value.(*boundedConn)
		d.busy(oldest)
	}
	d.mu.Unlock()
	if oldest == nil {
		return false
	}
	_ = oldest.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open < d.most {
		d.open++
		return true
	}
	return false
}

// busy takes a connection off the list of idle ones; the caller holds the lock.
func (d *boundedListener) busy(c *boundedConn) {
	if c.at != nil {
		c.in.Remove(c.at)
		c.at = nil
	}
}

// keeps notes whether the connection is that of a worker with tasks.
func (c *boundedConn) keeps(work bool) {
	c.d.mu.Lock()
	c.keep = work
	c.d.mu.Unlock()
}

// state follows the server's connections.
func (d *boundedListener) state(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*boundedConn)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busy(c)
	if s == http.StateIdle {
		c.in = d.idle
		if c.keep {
			c.in = d.kept
		}
		c.at = c.in.PushBack(c)
		d.wake()
	}
}

// Close closes the connection and gives its place back.
func (c *boundedConn) Close() error {
	c.once.Do(func() {
		c.d.mu.Lock()
		c.d.busy(c)
		c.d.open--
		c.d.mu.Unlock()
		c.d.wake()
	})
	return c.Conn.Close()
}
