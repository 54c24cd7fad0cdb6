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
	var out leaseResponse
	err := c.do(ctx, c.requestHTTP, http.MethodPost, "/leases", leaseRequest{TTLMs: ttl.Milliseconds()}, &out, callTimeout)
	return out.Lease, err
}

// RenewLease renews a lease for its full ttl; ErrNotFound means that it has
// expired or was revoked.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	return c.do(ctx, c.requestHTTP, http.MethodPost, leasePath(lease)+"/extend", struct{}{}, nil, callTimeout)
}

// RevokeLease ends a lease at once; the service removes the keys bound to it.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	return c.do(ctx, c.requestHTTP, http.MethodDelete, leasePath(lease), nil, nil, callTimeout)
}

// leasePath is the path of a lease.
func leasePath(lease uint64) string { return "/leases/" + strconv.FormatUint(lease, 10) }
