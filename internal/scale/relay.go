package scale

import (
	"io"
	"net"
	"sync"
)

// relay hands connections on to a controller of another region, and can cut the two
// regions from each other: what is under way is held, and new connections hang.
type relay struct {
	ln     net.Listener
	target string
	gate   *gate
	end    chan struct{}
	wg     sync.WaitGroup
}

// newRelay listens at an address of the network for connections to target.
func newRelay(ln net.Listener, target string) *relay {
	r := &relay{ln: ln, target: target, gate: newGate(), end: make(chan struct{})}
	r.wg.Go(r.accept)
	return r
}

// addr is where the relay is reached.
func (r *relay) addr() string { return r.ln.Addr().String() }

// close ends the relay and its connections.
func (r *relay) close() {
	close(r.end)
	_ = r.ln.Close()
	r.wg.Wait()
}

func (r *relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serve(c) })
	}
}

func (r *relay) serve(from net.Conn) {
	defer from.Close()
	if !r.gate.pass(r.end) {
		return
	}
	to, err := net.Dial("tcp4", r.target)
	if err != nil {
		return
	}
	defer to.Close()
	var wg sync.WaitGroup
	pipe := func(dst, src net.Conn) {
		_, _ = io.Copy(&held{dst, r}, src) // an end of either side ends both
		_ = dst.Close()
		_ = src.Close()
	}
	wg.Go(func() { pipe(to, from) })
	wg.Go(func() { pipe(from, to) })
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-r.end:
		_ = from.Close()
		_ = to.Close()
		<-done
	}
}

// held writes once the relay's gate is open.
type held struct {
	dst net.Conn
	r   *relay
}

// Write implements io.Writer.
func (h *held) Write(b []byte) (int, error) {
	if !h.r.gate.pass(h.r.end) {
		return 0, net.ErrClosed
	}
	return h.dst.Write(b)
}
