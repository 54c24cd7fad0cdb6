// Package state is the client of the state service, the consensus-backed
// key-value store of the cluster. It offers reads, listings, compare-and-swap
// transactions, leases and watches over HTTP with CBOR bodies. Reads, listings and
// transactions are subject to a per-node budget of requests and writes per second,
// which the client reduces when the service answers 429 (too many requests). Slow
// requests are hedged.
package state

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"vetchstream/internal/wire"
)

// DialFunc opens a network connection to addr, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Client sends requests to the state service. It is safe for concurrent use.
type Client struct {
	baseURL     string
	requestHTTP *http.Client // for all requests except watches
	watchHTTP   *http.Client // for watches, which occupy a connection for a long time
	reads       *rate.Limiter
	writes      *rate.Limiter
	latency     *latencyTracker

	mu     sync.Mutex
	budget Budget // zero if unbounded
	// budgetFraction is the fraction of the budget in use. It is below 1 when the service
	// accepts fewer requests than the settings allow.
	budgetFraction  float64
	budgetChangedAt time.Time // time of the last change of budgetFraction
}

const (
	// callTimeout limits the duration of every call except listings and watches. It is
	// short, so that after a delayed packet a retry can still renew the leader's lease in
	// time.
	callTimeout = 1200 * time.Millisecond
	// maxResponseBytes is the maximum number of bytes read of a response body.
	maxResponseBytes = 8 << 20
	// idleConnTimeout is how long an idle connection stays open.
	idleConnTimeout = 30 * time.Second
	// requestConns and watchConns are the maximum numbers of connections of a client for
	// requests and for watches. unboundedConns replaces requestConns for a client without
	// a budget.
	requestConns   = 12
	watchConns     = 2
	unboundedConns = 2
)

// newTransport returns an HTTP transport with at most conns connections.
func newTransport(dial DialFunc, conns int) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// New returns a client of the service at addr (host:port) with the given budget.
func New(addr string, dial DialFunc, budget Budget) *Client {
	reads, writes := budget.bursts()
	return &Client{
		baseURL:        "http://" + addr,
		requestHTTP:    &http.Client{Transport: newTransport(dial, requestConns)},
		watchHTTP:      &http.Client{Transport: newTransport(dial, watchConns)},
		reads:          rate.NewLimiter(rate.Limit(budget.RPS), reads),
		writes:         rate.NewLimiter(rate.Limit(budget.WriteRPS), writes),
		latency:        newLatencyTracker(),
		budget:         budget,
		budgetFraction: 1,
	}
}

// NewUnbounded returns a client without a budget and with its own connections, for
// leader election: a burst of submissions must neither delay the renewal of the
// leader's lease nor the election of a successor.
func NewUnbounded(addr string, dial DialFunc) *Client {
	return &Client{
		baseURL:        "http://" + addr,
		requestHTTP:    &http.Client{Transport: newTransport(dial, unboundedConns)},
		watchHTTP:      &http.Client{Transport: newTransport(dial, watchConns)},
		reads:          rate.NewLimiter(rate.Inf, 1),
		writes:         rate.NewLimiter(rate.Inf, 1),
		latency:        newLatencyTracker(),
		budgetFraction: 1,
	}
}

// do sends one request with the timeout and decodes the response into out. The
// error wraps one of the package's sentinel errors, or is a *ConflictError or a
// *StatusError. Errors of the encoder and the decoder are returned unchanged.
func (c *Client) do(ctx context.Context, httpClient *http.Client, method, path string, body, out any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return err
	}
	res, err := httpClient.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	defer res.Body.Close()
	content, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	c.adjustBudget(res.StatusCode, time.Now())
	return decodeResponse(res.StatusCode, content, out, method, path)
}

// newRequest returns a request with body, if not nil, encoded as CBOR.
func (c *Client) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		b, err := wire.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return nil, fmt.Errorf("state service: create request: %w", err)
	}
	// Without GetBody the transport does not resend a request with a body on its own:
	// the caller decides whether a commit may be sent twice.
	req.GetBody = nil
	if body != nil {
		req.Header.Set("Content-Type", wire.ContentType)
	}
	return req, nil
}
