package scale

import (
	"io"
	"net"
	"sync"
)

// relay forwards connections to a controller of another region, and can partition the two
// regions: data under way is held, and new connections hang.
type relay struct {
	listener net.Listener
	target   string
	gate     *gate
	done     chan struct{}
	wg       sync.WaitGroup
}

// newRelay forwards the connections of a listener to target.
func newRelay(ln net.Listener, target string) *relay {
	r := &relay{listener: ln, target: target, gate: newGate(), done: make(chan struct{})}
	r.wg.Go(r.accept)
	return r
}

// addr is the address of the relay.
func (r *relay) addr() string { return r.listener.Addr().String() }

// close ends the relay and its connections.
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

// serve forwards a connection until either side or the relay ends.
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
		_, _ = io.Copy(&gatedWriter{dst, r}, src) // an end of either side ends both
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

// gatedWriter writes to dst once the relay's gate is open.
type gatedWriter struct {
	dst   net.Conn
	relay *relay
}

// Write implements io.Writer.
func (h *gatedWriter) Write(b []byte) (int, error) {
	if !h.relay.gate.pass(h.relay.done) {
		return 0, net.ErrClosed
	}
	return h.dst.Write(b)
}
