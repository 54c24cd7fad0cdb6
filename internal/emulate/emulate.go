// Package emulate stands in for the systems that a controller works with, after their
// published protocols: the key-value store, the cloud and the workers. It injects faults and
// checks the invariants of the scheduler. Tests run it in memory and simulated time, the
// commands emulate and demo on loopback in real time. Nothing of it outlives the process.
package emulate

import (
	"io"
	"net"
	"net/http"
	"strconv"

	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// Network connects the parts of an emulation.
type Network interface {
	// Listen opens an address; its listener's Addr is what others dial.
	Listen(addr string) (net.Listener, error)
	// Dialer opens connections on behalf of a host.
	Dialer(from string) state.DialFunc
}

// maxBodyBytes bounds the body of a request, in bytes.
const maxBodyBytes = 4 * wire.MaxBody

// decodeRequest reads the body of a request; false: it is malformed.
func decodeRequest(q *http.Request, v any) bool {
	b, err := io.ReadAll(io.LimitReader(q.Body, maxBodyBytes))
	return err == nil && wire.Unmarshal(b, v) == nil
}

// writeResponse writes an answer.
func writeResponse(w http.ResponseWriter, status int, v any) {
	b, err := wire.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
