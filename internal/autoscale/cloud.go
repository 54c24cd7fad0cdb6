// Package autoscale scales the fleet out and in: the client of the cloud's API, and the pure
// decision about which machines to request for unmet demand.
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

// noCapacity is the error in the body of a response that refuses a request for machines.
const noCapacity = "no capacity"

var (
	// ErrNoCapacity means that the cloud has no machine of a type, zone and kind.
	ErrNoCapacity = errors.New(noCapacity)
	// ErrUnavailable means that a request failed and may be repeated.
	ErrUnavailable = errors.New("cloud trouble")
)

const (
	requestTimeout  = 5 * time.Second
	idleConnTimeout = time.Minute
	maxConns        = 4
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 4 << 20
	// listPageSize is the cloud's limit for one page of the machine list.
	listPageSize = 500
	// rateShare is the share of the cloud's request rate that one controller uses. The rest is
	// left to the other controllers: an earlier leader may have requests in flight, and all of
	// them read the machine types.
	rateShare = 0.8
)

// Cloud is the client of the cloud's API. It is safe for concurrent use.
type Cloud struct {
	baseURL string
	client  *http.Client
	limiter *rate.Limiter
}

// NewCloud returns a client for the API at addr, which allows rps requests per second.
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

// do sends a request, with in as its body unless it is nil, and decodes the response into
// out. Errors are ErrNoCapacity or wrap ErrUnavailable where the cloud caused them.
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

// newRequest makes a request with in as its body unless it is nil.
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
		return nil, fmt.Errorf("cloud request: %w", err)
	}
	req.Header.Set("Content-Type", wire.ContentType)
	return req, nil
}

// statusError returns the error for a response whose status is not 200.
func statusError(status int, body []byte) error {
	var e wire.Error
	_ = wire.Unmarshal(body, &e) // the status says enough where the body is none
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
		q := url.Values{"page": {strconv.Itoa(listPageSize)}}
		if after != "" {
			q.Set("after", after)
		}
		var page wire.CloudMachinePage
		if err := c.do(ctx, http.MethodGet, "/hosts?"+q.Encode(), nil, &page); err != nil {
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
// may be fewer. Repeating a request that has succeeded creates none.
func (c *Cloud) Provision(ctx context.Context, h wire.RentalRequest) ([]string, error) {
	var out wire.MachineNames
	err := c.do(ctx, http.MethodPost, "/hosts", h, &out)
	return out.Names, err
}

// Release gives machines back to the cloud; without an error they and all tasks on them are
// gone.
func (c *Cloud) Release(ctx context.Context, names []string) error {
	var out struct{}
	return c.do(ctx, http.MethodPost, "/hosts/release", wire.MachineNames{Names: names}, &out)
}
