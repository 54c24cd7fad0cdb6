package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"vetchstream/internal/emulate"
)

// network is a loopback network that can hold up one direct command: what arrives next at the address of a worker
// is delivered late, also if the sender has given up and closed the connection meanwhile. What arrives on other
// connections is not held up.
type network struct {
	*emulate.Loopback

	mu       sync.Mutex
	heldHost string        // host at which the next command is held up; empty: none
	holdTime time.Duration // how long it is held up
	held     int           // number of commands that were held up
}

// newNetwork returns a network in a block of loopback addresses that no other run uses. The first worker is the third
// host of a block.
func newNetwork() *network {
	block := 65 + os.Getpid()%180
	for range 180 {
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.0.3:9000", block))
		if err == nil {
			_ = listener.Close()
			break
		}
		block = 65 + (block-64)%180
	}
	return &network{Loopback: emulate.NewLoopbackAt(byte(block))}
}

// holdNext holds up the next direct command to a host for the given time.
func (n *network) holdNext(host string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heldHost = host
	n.holdTime = d
}

// heldCommands returns the number of commands that were held up.
func (n *network) heldCommands() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held
}

// takeHold returns how long data that arrives at a host now is held up.
func (n *network) takeHold(host string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.heldHost != host {
		return 0
	}
	n.heldHost = ""
	n.held++
	return n.holdTime
}

// Listen implements emulate.Network. Workers listen on hosts whose names begin with w.
func (n *network) Listen(addr string) (net.Listener, error) {
	listener, err := n.Loopback.Listen(addr)
	if err != nil || !strings.HasPrefix(addr, "w") {
		return listener, err
	}
	host, _, _ := net.SplitHostPort(addr)
	return &heldListener{Listener: listener, network: n, host: host}, nil
}

type heldListener struct {
	net.Listener
	network *network
	host    string
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newHeldConn(conn, l.network, l.host), nil
}

// heldConn is a connection whose incoming data passes through a queue. The queue takes what the sender has sent
// although the sender closes the connection.
type heldConn struct {
	net.Conn
	incoming *io.PipeReader
}

func newHeldConn(conn net.Conn, n *network, host string) *heldConn {
	reader, writer := io.Pipe()
	chunks := make(chan []byte, 64)
	go func() {
		defer close(chunks)
		for {
			chunk := make([]byte, 32<<10)
			count, err := conn.Read(chunk)
			if count > 0 {
				chunks <- chunk[:count]
			}
			if err != nil {
				return
			}
		}
	}()
	go func() {
		for chunk := range chunks {
			time.Sleep(n.takeHold(host))
			if _, err := writer.Write(chunk); err != nil {
				return
			}
		}
		_ = writer.CloseWithError(io.EOF)
	}()
	return &heldConn{Conn: conn, incoming: reader}
}

// Read implements net.Conn.
func (c *heldConn) Read(b []byte) (int, error) { return c.incoming.Read(b) }

// Close implements net.Conn.
func (c *heldConn) Close() error {
	_ = c.incoming.Close()
	return c.Conn.Close()
}
