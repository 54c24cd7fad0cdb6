// Package state is the client of the state service, the consensus-backed
// key-value store of the cluster: reads, listings, compare-and-swap
// transactions, leases and watches over HTTP with CBOR bodies. Requests are
// paced by a per-node budget of requests and writes a second, which narrows
// when the service refuses for its rate, and slow reads are hedged.
package state

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"vetchstream/internal/wire"
)

// DialFunc opens a network connection to addr, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

var (
	// ErrNotFound means that there is no such key or lease (status 404).
	ErrNotFound = errors.New("not found")
	// ErrRefused means that the request was certainly not executed: the service
	// refused it (status 429 or 503) or the budget's wait was cancelled.
	ErrRefused = errors.New("state service refused")
	// ErrUnknown means that no clear answer came; the request may be executed now
	// or later.
	ErrUnknown = errors.New("state service did not answer")
	// ErrConflict means that a condition of the transaction does not hold (status
	// 409); the error is a *ConflictError.
	ErrConflict = errors.New("condition failed")
	// ErrRejected means that the service holds the request to be malformed, or too
	// large (status 400).
	ErrRejected = errors.New("state service rejected the request")
	// ErrGone means that a watch was asked for changes that are no longer kept
	// (status 410).
	ErrGone = errors.New("history is gone")
)

// ConflictError is an ErrConflict that names the keys whose conditions do not
// hold, as far as the service told them.
type ConflictError struct{ Failed []string }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: %s", ErrConflict, strings.Join(e.Failed, ", "))
}

// Is makes a ConflictError an ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// StatusError is an answer of the service with a status that the client does not
// expect; it matches none of the sentinel errors.
type StatusError struct {
	Status int    // HTTP status code of the answer
	Method string // of the request
	Path   string // of the request, with its query
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("state service: status %d: %s %s", e.Status, e.Method, e.Path)
}

// Entry is a key with its value, the revision that last wrote it (Version) and
// the lease it is bound to (0: none).
type Entry struct {
	Key     string   `codec:"key"`
	Value   wire.Raw `codec:"data"`
	Version uint64   `codec:"stamp"`
	Lease   uint64   `codec:"tenure"`
}

// Cond is a condition of a compare-and-swap transaction: the key is at Version;
// Version 0 means that the key is absent.
type Cond struct {
	Key     string `codec:"key"`
	Version uint64 `codec:"stamp"`
}

// Write is one write of a transaction: a put of Value under the key Put, bound
// to Lease if that is not 0, or a delete of the key Delete.
type Write struct {
	Put    string   `codec:"put,omitempty"`
	Value  wire.Raw `codec:"data,omitempty"`
	Lease  uint64   `codec:"tenure,omitempty"`
	Delete string   `codec:"drop,omitempty"`
}

// Put makes a write that stores v, encoded as CBOR, under key. The error is
// the encoder's.
func Put(key string, v any) (Write, error) {
	b, err := wire.Marshal(v)
	if err != nil {
		return Write{}, err
	}
	return Write{Put: key, Value: b}, nil
}

// Txn is a compare-and-swap transaction: the writes are applied together if
// every condition holds, and none is applied otherwise.
type Txn struct {
	If     []Cond  `codec:"if"`
	Writes []Write `codec:"writes"`
}

// Client talks to the state service. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	watch   *http.Client
	reads   *rate.Limiter
	writes  *rate.Limiter
	latency *latencyTracker

	mu     sync.Mutex
	budget Budget // zero: unbounded
	// budgetFraction is the fraction of the budget that is in use: the service may
	// take less than the settings say.
	budgetFraction float64
	changed        time.Time // when budgetFraction was last changed
}

// Budget is this node's share of the service's limits, in requests (RPS) and
// writes (WriteRPS) a second; the zero value means unbounded.
type Budget struct{ RPS, WriteRPS float64 }

const (
	// minBudgetFraction is how far refusals may narrow the budget.
	minBudgetFraction = 0.1
	// narrowEvery and widenEvery space the steps: one burst is one refusal, and the
	// way back is slower than the way down.
	narrowEvery = 500 * time.Millisecond
	widenEvery  = 2 * time.Second
	widenBy     = 1.25
)

// narrow halves the budget when the service refuses for its rate: going on as
// before would keep out the lease's renewals along with everything else.
func (c *Client) narrow(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.budget == (Budget{}) || now.Sub(c.changed) < narrowEvery {
		return
	}
	c.budgetFraction, c.changed = max(minBudgetFraction, c.budgetFraction/2), now
	c.apply()
}

// widen takes the budget back up, a step at a time, while requests are served.
func (c *Client) widen(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.budgetFraction >= 1 || now.Sub(c.changed) < widenEvery {
		return
	}
	c.budgetFraction, c.changed = min(1, c.budgetFraction*widenBy), now
	c.apply()
}

// apply sets the limits; the caller holds the lock.
func (c *Client) apply() {
	c.reads.SetLimit(rate.Limit(c.budgetFraction * c.budget.RPS))
	c.writes.SetLimit(rate.Limit(c.budgetFraction * c.budget.WriteRPS))
}

// bursts is how many reads and writes the limiters let through at once.
func (b Budget) bursts() (reads, writes int) { return max(1, int(b.RPS/2)), max(12, int(b.WriteRPS/2)) }

// transport makes an HTTP transport of at most conns connections.
func transport(dial DialFunc, conns int) *http.Transport {
	return &http.Transport{DialContext: dial, MaxConnsPerHost: conns, MaxIdleConnsPerHost: conns,
		IdleConnTimeout: 30 * time.Second, DisableCompression: true}
}

// New makes a client for the service at addr (host:port) within budget b.
func New(addr string, dial DialFunc, b Budget) *Client {
	reads, writes := b.bursts()
	return &Client{
		base:   "http://" + addr,
		http:   &http.Client{Transport: transport(dial, 12)},
		watch:  &http.Client{Transport: transport(dial, 2)},
		reads:  rate.NewLimiter(rate.Limit(b.RPS), reads),
		writes: rate.NewLimiter(rate.Limit(b.WriteRPS), writes),
		budget: b, budgetFraction: 1, latency: newLatencyTracker(),
	}
}

// Unbounded makes a client without a budget and with connections of its own,
// for the lease and the election: a storm of submissions must not keep a leader
// from renewing, nor a successor from taking the lead.
func Unbounded(addr string, dial DialFunc) *Client {
	return &Client{
		base:           "http://" + addr,
		http:           &http.Client{Transport: transport(dial, 2)},
		watch:          &http.Client{Transport: transport(dial, 2)},
		reads:          rate.NewLimiter(rate.Inf, 1),
		writes:         rate.NewLimiter(rate.Inf, 1),
		budgetFraction: 1,
		latency:        newLatencyTracker(),
	}
}

// SetBudget changes the node's share, when it takes the lead and when it gives
// it up.
func (c *Client) SetBudget(b Budget) {
	reads, writes := b.bursts()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget = b
	c.apply()
	c.reads.SetBurst(reads)
	c.writes.SetBurst(writes)
}

// callTimeout bounds every call but watches. It is short, so that a held-back
// packet costs one retry and not the leader's lease.
const callTimeout = 1200 * time.Millisecond

// maxResponseBytes bounds what is read of one answer.
const maxResponseBytes = 8 << 20

// do sends one request with the timeout and decodes the answer into out. The
// error is one of the package's sentinels (or a *ConflictError), wrapped with
// what went wrong, except for a body that cannot be encoded.
func (c *Client) do(ctx context.Context, hc *http.Client, method, path string, body, out any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return err
	}
	res, err := hc.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
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
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, rd)
	if err != nil {
		return nil, fmt.Errorf("state request: %w", err)
	}
	// Never repeated by the transport itself: a commit that was sent twice is
	// for the caller to settle.
	req.GetBody = nil
	if body != nil {
		req.Header.Set("Content-Type", wire.ContentType)
	}
	return req, nil
}

// adjustBudget narrows the budget on a refusal for the rate and widens it on
// any other answer.
func (c *Client) adjustBudget(status int, now time.Time) {
	if status == http.StatusTooManyRequests {
		c.narrow(now)
	} else {
		c.widen(now)
	}
}

// decodeResponse turns an answer of the service into out or an error.
func decodeResponse(status int, b []byte, out any, method, path string) error {
	switch status {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		return wire.Unmarshal(b, out)
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		var body struct {
			Failed []string `codec:"failed"`
		}
		_ = wire.Unmarshal(b, &body) // without the names it is a conflict all the same
		return &ConflictError{Failed: body.Failed}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrRefused, status)
	case http.StatusBadRequest:
		return fmt.Errorf("%w: %s %s", ErrRejected, method, path)
	case http.StatusGone:
		return ErrGone
	default:
		return &StatusError{Status: status, Method: method, Path: path}
	}
}

// Get reads a key from the service, hedged when the answer is late.
// ErrNotFound means that the key is absent.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	if err := c.reads.Wait(ctx); err != nil {
		return Entry{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return hedged(ctx, c.latency, c.reads.Allow, func(ctx context.Context) (e Entry, err error) {
		err = c.do(ctx, c.http, http.MethodGet, "/kv/"+key, nil, &e, callTimeout)
		return e, err
	})
}

// listPage is one page of a listing.
type listPage struct {
	Entries []Entry `codec:"entries"`
	More    bool    `codec:"more"`
	Epoch   uint64  `codec:"epoch"`
}

// List reads every key that begins with under, in pages of 500, and returns
// them with the revision of the first page: a watch from that revision misses
// nothing.
func (c *Client) List(ctx context.Context, under string) (all []Entry, epoch uint64, err error) {
	after := ""
	for {
		if err := c.reads.Wait(ctx); err != nil {
			return nil, 0, fmt.Errorf("%w: %w", ErrRefused, err)
		}
		q := url.Values{"under": {under}, "page": {"500"}}
		if after != "" {
			q.Set("after", after)
		}
		page, err := hedged(ctx, c.latency, c.reads.Allow, func(ctx context.Context) (p listPage, err error) {
			err = c.do(ctx, c.http, http.MethodGet, "/kv?"+q.Encode(), nil, &p, 3*time.Second)
			return p, err
		})
		if err != nil {
			return nil, 0, err
		}
		if after == "" {
			epoch = page.Epoch
		}
		all = append(all, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			return all, epoch, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}

// Commit runs a transaction once and returns the revision of its changes. A
// failed condition is an ErrConflict; ErrUnknown means that it may have been
// applied.
func (c *Client) Commit(ctx context.Context, t Txn) (uint64, error) {
	if err := c.admit(ctx, t); err != nil {
		return 0, err
	}
	return c.commit(ctx, t)
}

// CommitOnce runs a transaction that cannot be applied twice, since it makes a key
// that it has as absent among its conditions. If it is late it is sent again
// beside the first; a conflict then may be the work of the other, and the caller
// has to look.
func (c *Client) CommitOnce(ctx context.Context, t Txn) (uint64, error) {
	if err := c.admit(ctx, t); err != nil {
		return 0, err
	}
	again := func() bool { return c.writes.AllowN(time.Now(), len(t.Writes)) && c.reads.Allow() }
	return hedged(ctx, c.latency, again, func(ctx context.Context) (uint64, error) { return c.commit(ctx, t) })
}

// admit waits until the budget has room for a transaction.
func (c *Client) admit(ctx context.Context, t Txn) error {
	if err := c.reads.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	if n := len(t.Writes); n > 0 {
		if err := c.writes.WaitN(ctx, n); err != nil {
			return fmt.Errorf("%w: %w", ErrRefused, err)
		}
	}
	return nil
}

// commit sends the transaction; the service wants empty lists, not nil.
func (c *Client) commit(ctx context.Context, t Txn) (uint64, error) {
	if t.If == nil {
		t.If = []Cond{}
	}
	if t.Writes == nil {
		t.Writes = []Write{}
	}
	var out struct {
		Epoch uint64 `codec:"epoch"`
	}
	err := c.do(ctx, c.http, http.MethodPost, "/commit", t, &out, callTimeout)
	return out.Epoch, err
}

// Spare is the number of writes that the budget has left at the moment. Work that
// can wait looks at it, so that users' requests find room.
func (c *Client) Spare() int { return int(c.writes.Tokens()) }

// Idle reports whether nobody else needs the budget of writes at the moment: there
// is room for two transactions of that many, or for nearly all that the budget
// ever holds. A service of few writes a second would have nothing tidied else.
func (c *Client) Idle(writes int) bool { return c.writes.Tokens() >= c.idleAt(writes) }

// idleAt is how many writes the budget must have left to be idle.
func (c *Client) idleAt(writes int) float64 {
	return min(2*float64(writes), 0.95*float64(c.writes.Burst()))
}

// Grant opens a lease of ttl (whole milliseconds) and returns its ID. Leases
// are never held up by the budget.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var out struct {
		Lease uint64 `codec:"tenure"`
	}
	err := c.do(ctx, c.http, http.MethodPost, "/leases", map[string]int64{"ttl_ms": ttl.Milliseconds()}, &out, callTimeout)
	return out.Lease, err
}

// Extend renews a lease; ErrNotFound means that it has ended.
func (c *Client) Extend(ctx context.Context, lease uint64) error {
	return c.do(ctx, c.http, http.MethodPost, "/leases/"+strconv.FormatUint(lease, 10)+"/extend", struct{}{}, nil, callTimeout)
}

// Revoke ends a lease at once; the service removes the keys bound to it.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	return c.do(ctx, c.http, http.MethodDelete, "/leases/"+strconv.FormatUint(lease, 10), nil, nil, callTimeout)
}

// Event is a change that a watch reports.
type Event struct {
	Put string `codec:"put"` // the key, or empty for a removal
}

// Watch waits until a key that begins with under has changed after the revision
// after, or wait is over, and returns the changes and the revision to go on
// from. ErrGone means that the history is too short: the keys have to be listed
// again.
func (c *Client) Watch(ctx context.Context, under string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	q := url.Values{"under": {under}, "after": {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var out struct {
		Epoch  uint64  `codec:"epoch"`
		Events []Event `codec:"events"`
	}
	err := c.do(ctx, c.watch, http.MethodGet, "/changes?"+q.Encode(), nil, &out, wait+callTimeout)
	return out.Events, out.Epoch, err
}
