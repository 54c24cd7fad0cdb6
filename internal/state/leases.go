package state

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// GrantLease creates a lease of ttl (whole milliseconds) and returns its ID. Lease
// calls do not wait for the budget.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	var out struct {
		Lease uint64 `codec:"tenure"`
	}
	err := c.do(ctx, c.http, http.MethodPost, "/leases", map[string]int64{"ttl_ms": ttl.Milliseconds()}, &out, callTimeout)
	return out.Lease, err
}

// RenewLease renews a lease for its full ttl; ErrNotFound means that it has
// expired or was revoked.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	return c.do(ctx, c.http, http.MethodPost, "/leases/"+strconv.FormatUint(lease, 10)+"/extend", struct{}{}, nil, callTimeout)
}

// RevokeLease ends a lease at once; the service removes the keys bound to it.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	return c.do(ctx, c.http, http.MethodDelete, "/leases/"+strconv.FormatUint(lease, 10), nil, nil, callTimeout)
}
