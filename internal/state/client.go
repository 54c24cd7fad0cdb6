// Package state is the client of the state service, the consensus-backed
// key-value store of the cluster: reads, listings, compare-and-swap
// transactions, leases and watches over HTTP with CBOR bodies. Requests are
// rate-limited by a per-node budget of requests and writes per second. The
// client reduces the budget when the service answers 429 (too many requests),
// and hedges requests that are slow.
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

// Client talks to the state service. It is safe for concurrent use.
type Client struct {
	baseURL     string
	requestHTTP *http.Client // of all requests but watches
	watchHTTP   *http.Client // of watches, which hold a connection for long
	reads       *rate.Limiter
	writes      *rate.Limiter
	latency     *latencyTracker

	mu     sync.Mutex
	budget Budget // zero: unbounded
	// budgetFraction is the fraction of the budget that is in use: the service may
	// take less than the settings say.
	budgetFraction  float64
	budgetChangedAt time.Time // when budgetFraction was last changed
}

const (
	// callTimeout bounds every call but listings and watches. It is short, so that
	// a delayed packet costs one retry and not the leader's lease.
	callTimeout = 1200 * time.Millisecond
	// maxResponseBytes bounds what is read of one response.
	maxResponseBytes = 8 << 20
	// idleConnTimeout is how long an unused connection stays open.
	idleConnTimeout = 30 * time.Second
	// requestConns and watchConns are the most connections of a client for requests
	// and for watches; unboundedConns is that of a client without a budget.
	requestConns   = 12
	watchConns     = 2
	unboundedConns = 2
)

// newTransport makes an HTTP newTransport of at most conns connections.
func newTransport(dial DialFunc, conns int) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// New makes a client for the service at addr (host:port) within budget b.
func New(addr string, dial DialFunc, b Budget) *Client {
	reads, writes := b.bursts()
	return &Client{
		baseURL:        "http://" + addr,
		requestHTTP:    &http.Client{Transport: newTransport(dial, requestConns)},
		watchHTTP:      &http.Client{Transport: newTransport(dial, watchConns)},
		reads:          rate.NewLimiter(rate.Limit(b.RPS), reads),
		writes:         rate.NewLimiter(rate.Limit(b.WriteRPS), writes),
		latency:        newLatencyTracker(),
		budget:         b,
		budgetFraction: 1,
	}
}

// NewUnbounded makes a client without a budget and with connections of its own,
// for leader election and its lease: a burst of submissions must not keep a
// leader from renewing the lease, nor a successor from being elected.
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
// error wraps one of the package's sentinels, or is a *ConflictError or a
// *StatusError; the errors of the encoder and decoder are returned as they are.
func (c *Client) do(ctx context.Context, hc *http.Client, method, path string, body, out any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return err
	}
	res, err := hc.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	c.adjustBudget(res.StatusCode, time.Now())
	return decodeResponse(res.StatusCode, b, out, method, path)
}

// newRequest encodes body, if any, and makes the request.
func (c *Client) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var rd io.Reader
	if body != nil {
		b, err := wire.Marshal(body)
		if err != nil {
			return nil, err
		}
		rd = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, rd)
	if err != nil {
		return nil, fmt.Errorf("state request: %w", err)
	}
	// Without GetBody the transport does not retry by itself: whether a commit is
	// sent twice is the caller's decision.
	req.GetBody = nil
	if body != nil {
		req.Header.Set("Content-Type", wire.ContentType)
	}
	return req, nil
}
