// Package autoscale rents and returns machines: the cloud's client, and the pure
// decisions about what to rent and when to give it back.
package autoscale

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"golang.org/x/time/rate"

	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

var (
	// ErrNoCapacity means that none is available for this type, zone and kind.
	ErrNoCapacity = errors.New("no capacity")
	// ErrUnavailable means that the cloud did not do it now; it may be asked again.
	ErrUnavailable = errors.New("cloud trouble")
)

// Cloud is the client of the cloud's API.
type Cloud struct {
	base  string
	http  *http.Client
	limit *rate.Limiter
}

// NewCloud makes a client that stays within rps requests per second.
func NewCloud(addr string, dial state.DialFunc, rps float64) *Cloud {
	return &Cloud{
		base: "http://" + addr,
		http: &http.Client{Transport: &http.Transport{DialContext: dial, MaxConnsPerHost: 4, MaxIdleConnsPerHost: 4,
			IdleConnTimeout: time.Minute, DisableCompression: true}},
		// A part is left for the other controllers, which may hold the lead's
		// last requests in flight, and for the price list.
		limit: rate.NewLimiter(rate.Limit(rps*0.8), max(1, int(rps))),
	}
}

func (c *Cloud) do(ctx context.Context, method, path string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	if err := c.limit.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	var rd io.Reader
	if body != nil {
		b, err := wire.Marshal(body)
		if err != nil {
			return err
		}
		rd = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, rd)
	if err != nil {
		return fmt.Errorf("cloud request: %w", err)
	}
	req.Header.Set("Content-Type", wire.ContentType)
	res, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, 4<<20))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if res.StatusCode != http.StatusOK {
		var e wire.Error
		_ = wire.Unmarshal(b, &e)
		if e.Error == ErrNoCapacity.Error() {
			return ErrNoCapacity
		}
		return fmt.Errorf("%w: status %d %s", ErrUnavailable, res.StatusCode, e.Error)
	}
	return wire.Unmarshal(b, out)
}

// MachineTypes reads the price list.
func (c *Cloud) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var out wire.MachineTypes
	err := c.do(ctx, http.MethodGet, "/machine_types", nil, &out)
	return out.Types, err
}

// ListMachines reads the whole list of machines.
func (c *Cloud) ListMachines(ctx context.Context) ([]wire.CloudHost, error) {
	var all []wire.CloudHost
	after := ""
	for {
		q := url.Values{"page": {"500"}}
		if after != "" {
			q.Set("after", after)
		}
		var page wire.CloudHosts
		if err := c.do(ctx, http.MethodGet, "/hosts?"+q.Encode(), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Hosts...)
		if !page.More || len(page.Hosts) == 0 {
			return all, nil
		}
		after = page.Hosts[len(page.Hosts)-1].Name
	}
}

// Provision asks for machines and returns the names of those rented.
func (c *Cloud) Provision(ctx context.Context, h wire.Hire) ([]string, error) {
	var out wire.HostNames
	err := c.do(ctx, http.MethodPost, "/hosts", h, &out)
	return out.Hosts, err
}

// Release returns machines; without an error they are gone with all on them.
func (c *Cloud) Release(ctx context.Context, names []string) error {
	var out struct{}
	return c.do(ctx, http.MethodPost, "/hosts/release", wire.HostNames{Hosts: names}, &out)
}
