package scale

import (
	"io"
	"net"
	"sync"
)

// relay forwards connections to a controller of another region and can simulate a network partition
// of the two regions. During a partition it holds data in transit and leaves new connections without
// a response.
type relay struct {
	listener net.Listener
	target   string
	gate     *gate
	done     chan struct{}
	wg       sync.WaitGroup
}

// newRelay starts a relay that forwards the connections of a listener to target.
func newRelay(ln net.Listener, target string) *relay {
	r := &relay{listener: ln, target: target, gate: newGate(), done: make(chan struct{})}
	r.wg.Go(r.accept)
	return r
}

// addr returns the address that the relay listens on.
func (r *relay) addr() string { return r.listener.Addr().String() }

// close stops the relay and closes its connections.
func (r *relay) close() {
	close(r.done)
	_ = r.listener.Close()
	r.wg.Wait()
}

// accept forwards connections until the relay is closed.
func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serve(c) })
	}
}

// serve forwards a connection until one side closes it or the relay is closed.
func (r *relay) serve(from net.Conn) {
	defer from.Close()
	if !r.gate.pass(r.done) {
		return
	}
	to, err := net.Dial("tcp4", r.target)
	if err != nil {
		return
	}
	defer to.Close()
	var wg sync.WaitGroup
	pipe := func(dst, src net.Conn) {
		_, _ = io.Copy(&gatedWriter{dst, r}, src) // an error or end of file closes both sides
		_ = dst.Close()
		_ = src.Close()
	}
	wg.Go(func() { pipe(to, from) })
	wg.Go(func() { pipe(from, to) })
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-r.done:
		_ = from.Close()
		_ = to.Close()
		<-done
	}
}

// gatedWriter delays writes to dst while the relay's gate is closed.
type gatedWriter struct {
	dst   net.Conn
	relay *relay
}

// Write implements io.Writer.
func (w *gatedWriter) Write(b []byte) (int, error) {
	if !w.relay.gate.pass(w.relay.done) {
		return 0, net.ErrClosed
	}
	return w.dst.Write(b)
}
