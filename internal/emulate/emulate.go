// Package emulate emulates the systems that a controller communicates with, according to their
// published protocols: the key-value store, the cloud and the workers. It injects faults and
// checks the invariants of the scheduler. Tests run it in memory and in simulated time; the
// commands emulate and demo run it on loopback in real time. It keeps all data in memory.
package emulate

import (
	"io"
	"net"
	"net/http"
	"strconv"

	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// Network provides connections between the emulated systems and the controllers.
type Network interface {
	// Listen listens at an address. Others dial the Addr of the returned listener.
	Listen(addr string) (net.Listener, error)
	// Dialer returns a function that opens connections from the given host.
	Dialer(from string) state.DialFunc
}

// maxBodyBytes bounds the body of a request or a response.
const maxBodyBytes = 4 * wire.MaxBody

// decodeRequest decodes the body of a request into v. It returns false if the body is malformed.
func decodeRequest(r *http.Request, v any) bool {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	return err == nil && wire.Unmarshal(body, v) == nil
}

// writeResponse encodes v as the body of a response with the given status.
func writeResponse(w http.ResponseWriter, status int, v any) {
	body, err := wire.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
