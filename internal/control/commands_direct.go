package control

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

const (
	// directTimeout bounds a direct command, from connecting to reading the answer.
	directTimeout = 2500 * time.Millisecond

	// directIdleTimeout is how long an idle connection to a worker stays open.
	directIdleTimeout = 30 * time.Second

	// maxDirectAnswerBytes bounds the body of a worker's answer.
	maxDirectAnswerBytes = 4 * wire.MaxBody
)

// errNotEntitled means that the sender may no longer act on behalf of the leader.
var errNotEntitled = errors.New("direct command not sent: sender is no longer entitled to act for the leader")

// MaxDirectCalls returns how many direct commands may be in flight at a time. Commands to
// the whole fleet at once would exhaust the sockets and the processor.
func MaxDirectCalls(maxSockets int) int { return max(8, maxSockets/16) }

// DirectClient returns the HTTP client for direct commands; it keeps at most maxIdle idle
// connections open.
func DirectClient(dial state.DialFunc, maxIdle int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     2,
		MaxIdleConnsPerHost: 1,
		MaxIdleConns:        maxIdle,
		IdleConnTimeout:     directIdleTimeout,
		DisableCompression:  true,
	}}
}

// DirectResult is the outcome of a direct command.
type DirectResult struct {
	Status int    // HTTP status; 0 without a complete answer
	Body   []byte // the worker's report
	// Reached tells whether a connection was established, so that the worker may have
	// received the command.
	Reached bool
}

// notExecuted reports whether the worker has certainly not executed the command and never
// will.
func (r DirectResult) notExecuted(report *wire.Heartbeat) bool {
	refused := r.Status != http.StatusOK && report != nil
	return !r.Reached || refused || r.Status == http.StatusBadRequest
}

// SendDirect sends a direct command and returns the worker's answer. It calls entitled
// immediately before sending, to check whether the sender may act for the leader.
func SendDirect(ctx context.Context, client *http.Client, addr string, body []byte, entitled func() bool) (DirectResult, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/do", bytes.NewReader(body))
	if err != nil {
		return DirectResult{}, err
	}
	req.GetBody = nil // the client must not send the command twice
	req.Header.Set("Content-Type", wire.ContentType)
	if !entitled() {
		return DirectResult{}, errNotEntitled
	}
	res, err := client.Do(req)
	if err != nil {
		return DirectResult{Reached: connected.Load()}, err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(res.Body, maxDirectAnswerBytes))
	if err != nil {
		return DirectResult{Reached: true}, err
	}
	return DirectResult{Status: res.StatusCode, Body: answer, Reached: true}, nil
}
