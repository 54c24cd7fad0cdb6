// Package autoscale provides a client for the cloud's API, and decides without side effects
// which machines to request for unmet demand.
package autoscale

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// noCapacity is the error text in the body of a response that refuses a request for machines.
const noCapacity = "no capacity"

var (
	// ErrNoCapacity means that the cloud has no machine of the requested type in the zone, on
	// demand or spot as requested.
	ErrNoCapacity = errors.New(noCapacity)
	// ErrUnavailable means that a request failed and may be retried.
	ErrUnavailable = errors.New("cloud request failed")
)

const (
	requestTimeout  = 5 * time.Second
	idleConnTimeout = time.Minute
	maxConns        = 4
	// maxResponseBytes bounds how much of a response's body is read.
	maxResponseBytes = 4 << 20
	// listPageSize is the largest page of the machine list that the cloud returns.
	listPageSize = 500
	// rateShare is the share of the cloud's request rate that one controller uses. The other
	// controllers need the rest: all of them read the machine types, and a previous leader may
	// still have requests in flight.
	rateShare = 0.8
)

// Cloud is a client for the cloud's API. It is safe for concurrent use.
type Cloud struct {
	baseURL string
	client  *http.Client
	limiter *rate.Limiter
}

// NewCloud returns a client for the API at addr (host:port), which allows rps requests per
// second from all controllers together.
func NewCloud(addr string, dial state.DialFunc, rps float64) *Cloud {
	transport := &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &Cloud{
		baseURL: "http://" + addr,
		client:  &http.Client{Transport: transport},
		limiter: rate.NewLimiter(rate.Limit(rps*rateShare), max(1, int(rps))),
	}
}

// do sends a request, with in as its body unless in is nil, and decodes the response into out.
// It returns ErrNoCapacity if the cloud refuses the request for lack of capacity, and an error that
// wraps ErrUnavailable if it cannot send the request in time, the connection fails or the cloud
// answers with another status than 200.
func (c *Cloud) do(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	req, err := c.newRequest(ctx, method, path, in)
	if err != nil {
		return err
	}
	res, err := c.client.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if res.StatusCode != http.StatusOK {
		return statusError(res.StatusCode, body)
	}
	return wire.Unmarshal(body, out)
}

// newRequest returns a request with in as its body unless in is nil.
func (c *Cloud) newRequest(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		b, err := wire.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return nil, fmt.Errorf("create cloud request: %w", err)
	}
	req.Header.Set("Content-Type", wire.ContentType)
	return req, nil
}

// statusError returns the error for a response whose status is not 200.
func statusError(status int, body []byte) error {
	var e wire.Error
	_ = wire.Unmarshal(body, &e) // a body that cannot be decoded leaves the status alone
	if e.Error == noCapacity {
		return ErrNoCapacity
	}
	return fmt.Errorf("%w: status %d %s", ErrUnavailable, status, e.Error)
}

// MachineTypes returns the machine types with their current prices.
func (c *Cloud) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var out wire.MachineTypes
	err := c.do(ctx, http.MethodGet, "/machine_types", nil, &out)
	return out.Types, err
}

// ListMachines returns all machines, ordered by name.
func (c *Cloud) ListMachines(ctx context.Context) ([]wire.CloudMachine, error) {
	var all []wire.CloudMachine
	after := ""
	for {
		query := url.Values{"page": {strconv.Itoa(listPageSize)}}
		if after != "" {
			query.Set("after", after)
		}
		var page wire.CloudMachinePage
		if err := c.do(ctx, http.MethodGet, "/hosts?"+query.Encode(), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}

// Provision requests machines and returns the names of those that the cloud has created, which
// may be fewer than requested. Repeating a request that has succeeded creates no further ones.
func (c *Cloud) Provision(ctx context.Context, request wire.RentalRequest) ([]string, error) {
	var out wire.MachineNames
	err := c.do(ctx, http.MethodPost, "/hosts", request, &out)
	return out.Names, err
}

// Release returns machines to the cloud. If it returns no error, the machines and all tasks on
// them have ended.
func (c *Cloud) Release(ctx context.Context, names []string) error {
	var out struct{}
	return c.do(ctx, http.MethodPost, "/hosts/release", wire.MachineNames{Names: names}, &out)
}
