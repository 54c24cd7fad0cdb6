package emulate

import (
	"errors"
	"net"
	"sync"
	"time"
)

// memListener is a listener of a MemoryNetwork.
type memListener struct {
	network  *MemoryNetwork
	addr     string
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

// memAddr is an address in a MemoryNetwork.
type memAddr string

// Network implements net.Addr.
func (a memAddr) Network() string { return "memory" }

// String implements net.Addr.
func (a memAddr) String() string { return string(a) }

// Accept implements net.Listener.
func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		if l.network.listeners[l.addr] == l {
			delete(l.network.listeners, l.addr)
		}
		l.network.mu.Unlock()
	})
	return nil
}

// Addr implements net.Listener.
func (l *memListener) Addr() net.Addr { return memAddr(l.addr) }

// memConn is one end of a connection.
type memConn struct {
	net.Conn
	from, to string
	reset    func() // closes both ends at once
}

// RemoteAddr implements net.Conn.
func (c *memConn) RemoteAddr() net.Addr { return memAddr(c.to) }

// LocalAddr implements net.Conn.
func (c *memConn) LocalAddr() net.Addr { return memAddr(c.from) }

const (
	packetLatency = 2 * time.Millisecond
	// partitionPoll is the time between checks whether held packets can be delivered.
	partitionPoll = 50 * time.Millisecond
	// maxPackets and maxPacketSize (in bytes) bound the data in flight in one direction of a
	// connection.
	maxPackets    = 4096
	maxPacketSize = 32 << 10
	// listenBacklog bounds the connections that wait to be accepted by a listener.
	listenBacklog = 64
)

var (
	errAddressInUse      = errors.New("address in use")
	errConnectionRefused = errors.New("connection refused")
)

// connect returns the two ends of a connection from a host to an address of another host. Each end
// is a pipe, and packets are forwarded between the pipes.
func (n *MemoryNetwork) connect(from, to, addr string) (client, server *memConn) {
	clientPipe, clientSide := net.Pipe()
	serverSide, serverPipe := net.Pipe()
	client = &memConn{Conn: clientPipe, from: from + ":1", to: addr}
	server = &memConn{Conn: serverPipe, from: addr, to: from + ":1"}
	broken := make(chan struct{})
	var once sync.Once
	reset := func() {
		once.Do(func() {
			close(broken)
			for _, end := range []net.Conn{clientPipe, clientSide, serverSide, serverPipe} {
				_ = end.Close()
			}
			n.mu.Lock()
			delete(n.connections, client)
			n.mu.Unlock()
		})
	}
	client.reset = reset
	server.reset = reset
	n.mu.Lock()
	n.connections[client] = true
	n.mu.Unlock()
	go n.forward(clientSide, serverSide, broken, func() bool { return n.isPartitioned(from, to) || n.holdsRequests(from, to) })
	go n.forward(serverSide, clientSide, broken, func() bool { return n.isPartitioned(to, from) })
	return client, server
}

// packet is data in flight.
type packet struct {
	deliverAt time.Time
	payload   []byte
}

// forward forwards packets from one end of a connection to the other until the connection is closed
// or reset. It holds them while held returns true.
func (n *MemoryNetwork) forward(src, dst net.Conn, broken <-chan struct{}, held func() bool) {
	packets := make(chan packet, maxPackets)
	go n.readPackets(src, packets, broken)
	for p := range packets {
		time.Sleep(time.Until(p.deliverAt))
		for held() {
			select {
			case <-broken:
				return
			case <-time.After(partitionPoll):
			}
		}
		if _, err := dst.Write(p.payload); err != nil {
			break
		}
	}
	_ = dst.Close()
}

// readPackets reads the data that an end of a connection sends, and closes packets at its end.
func (n *MemoryNetwork) readPackets(src net.Conn, packets chan<- packet, broken <-chan struct{}) {
	defer close(packets)
	buf := make([]byte, maxPacketSize)
	for {
		size, err := src.Read(buf)
		if size > 0 {
			select {
			case packets <- packet{time.Now().Add(n.packetDelay()), append([]byte(nil), buf[:size]...)}:
			case <-broken:
				return
			}
		}
		if err != nil {
			return
		}
	}
}
