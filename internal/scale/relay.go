package scale

import (
	"io"
	"net"
	"sync"
)

// relay hands connections on to a controller of another region, and can cut the two
// regions from each other: what is under way is held, and new connections hang.
type relay struct {
	listener net.Listener
	target   string
	gate     *gate
	done     chan struct{}
	wg       sync.WaitGroup
}

// newRelay listens at an address of the network for connections to target.
func newRelay(ln net.Listener, target string) *relay {
	r := &relay{listener: ln, target: target, gate: newGate(), done: make(chan struct{})}
	r.wg.Go(r.accept)
	return r
}

// addr is where the relay is reached.
func (r *relay) addr() string { return r.listener.Addr().String() }

// close ends the relay and its connections.
func (r *relay) close() {
	close(r.done)
	_ = r.listener.Close()
	r.wg.Wait()
}

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serve(c) })
	}
}

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

// gatedWriter writes once the relay's gate is open.
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
