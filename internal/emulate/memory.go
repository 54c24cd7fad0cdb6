package emulate

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"vetchstream/internal/state"
)

// Memory is a network in memory with cuts, for days in simulated time. Packets that meet a cut are held and
// delivered in order once it ends, even when the sender has closed meanwhile.
type Memory struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	conns     map[*memConn]bool
	cut       func(from, to string) bool
	mute      func(from, to string) bool
	hold      func(from, to string) bool
	deny      func(from, to string) bool
	delay     time.Duration // of every packet
}

// NewMemory makes a network without cuts.
func NewMemory() *Memory {
	return &Memory{listeners: map[string]*memListener{}, conns: map[*memConn]bool{}, cut: func(string, string) bool { return false },
		mute: func(string, string) bool { return false }, hold: func(string, string) bool { return false }, deny: func(string, string) bool { return false }, delay: memDelay}
}

// Slow makes every packet take that much longer.
func (n *Memory) Slow(d time.Duration) {
	n.mu.Lock()
	n.delay = memDelay + d
	n.mu.Unlock()
}

func (n *Memory) takes() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay
}

// Deny lets no connection be opened from one host to another for which f is true, and
// breaks those that are. The other may open one the other way round.
func (n *Memory) Deny(f func(from, to string) bool) {
	n.mu.Lock()
	n.deny = f
	n.mu.Unlock()
	n.reset(f)
}

// Hold holds what a host sends on connections that it has opened to another for which f is
// true: its requests. Answers to them, and what goes over connections that the other has
// opened, pass.
func (n *Memory) Hold(f func(from, to string) bool) {
	n.mu.Lock()
	n.hold = f
	n.mu.Unlock()
}

func (n *Memory) holds(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hold(from, to)
}

func (n *Memory) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut(from, to) || n.cut(to, from) || n.mute(from, to)
}

// Mute holds what passes from one host to another for which f is true, and not what
// comes back.
func (n *Memory) Mute(f func(from, to string) bool) {
	n.mu.Lock()
	n.mute = f
	n.mu.Unlock()
}

// Cut holds what passes between two hosts for which f is true, in either direction.
func (n *Memory) Cut(f func(from, to string) bool) {
	n.mu.Lock()
	n.cut = f
	n.mu.Unlock()
}

type memListener struct {
	n     *Memory
	addr  string
	ch    chan net.Conn
	once  sync.Once
	ended chan struct{}
}

type memAddr string

func (a memAddr) Network() string { return "memory" }
func (a memAddr) String() string  { return string(a) }

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ch:
		return c, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() {
		close(l.ended)
		l.n.mu.Lock()
		if l.n.listeners[l.addr] == l {
			delete(l.n.listeners, l.addr)
		}
		l.n.mu.Unlock()
	})
	return nil
}

func (l *memListener) Addr() net.Addr { return memAddr(l.addr) }

// Listen implements Network.
func (n *Memory) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, errors.New("address in use")
	}
	l := &memListener{n: n, addr: addr, ch: make(chan net.Conn, 64), ended: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// memConn is one end; out carries what it writes to the other end's pump.
type memConn struct {
	net.Conn
	from, to string
	stop     func()
}

func (c *memConn) RemoteAddr() net.Addr { return memAddr(c.to) }
func (c *memConn) LocalAddr() net.Addr  { return memAddr(c.from) }

const memDelay = 2 * time.Millisecond

// Dialer implements Network.
func (n *Memory) Dialer(from string) state.DialFunc {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		to, _, _ := net.SplitHostPort(addr)
		for n.isCut(from, to) {
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(50 * time.Millisecond):
			}
		}
		n.mu.Lock()
		l := n.listeners[addr]
		if n.deny(from, to) {
			l = nil
		}
		n.mu.Unlock()
		if l == nil {
			return nil, errors.New("connection refused")
		}
		a, ap := net.Pipe()
		bp, b := net.Pipe()
		ca, cb := &memConn{Conn: a, from: from + ":1", to: addr}, &memConn{Conn: b, from: addr, to: from + ":1"}
		dead := make(chan struct{})
		var once sync.Once
		reset := func() {
			once.Do(func() {
				close(dead)
				for _, c := range []net.Conn{a, ap, bp, b} {
					_ = c.Close()
				}
				n.mu.Lock()
				delete(n.conns, ca)
				n.mu.Unlock()
			})
		}
		ca.stop, cb.stop = reset, reset
		n.mu.Lock()
		n.conns[ca] = true
		n.mu.Unlock()
		go n.pump(ap, bp, dead, func() bool { return n.isCut(from, to) || n.holds(from, to) })
		go n.pump(bp, ap, dead, func() bool { return n.isCut(to, from) })
		select {
		case l.ch <- cb:
		case <-l.ended:
			reset()
			return nil, errors.New("connection refused")
		}
		return ca, nil
	}
}

type packet struct {
	at time.Time
	b  []byte
}

// pump carries packets from one end of a connection to the other, and keeps them for as
// long as held says.
func (n *Memory) pump(src, dst net.Conn, dead chan struct{}, held func() bool) {
	q := make(chan packet, 4096)
	go func() {
		defer close(q)
		buf := make([]byte, 32<<10)
		for {
			k, err := src.Read(buf)
			if k > 0 {
				select {
				case q <- packet{time.Now().Add(n.takes()), append([]byte(nil), buf[:k]...)}:
				case <-dead:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range q {
		time.Sleep(time.Until(p.at))
		for held() {
			select {
			case <-dead:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
		if _, err := dst.Write(p.b); err != nil {
			break
		}
	}
	_ = dst.Close()
}

// Reset breaks every connection of a host, as when its process ends.
func (n *Memory) Reset(match func(from, to string) bool) {
	n.reset(func(f, t string) bool { return match(f, t) || match(t, f) })
}

// reset breaks the connections that were opened from one host to another for which match
// is true.
func (n *Memory) reset(match func(from, to string) bool) {
	n.mu.Lock()
	var hit []*memConn
	for c := range n.conns {
		f, _, _ := net.SplitHostPort(c.from)
		t, _, _ := net.SplitHostPort(c.to)
		if match(f, t) {
			hit = append(hit, c)
		}
	}
	n.mu.Unlock()
	for _, c := range hit {
		c.stop()
	}
}
