package state

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// GrantLease creates a lease with a TTL of ttl, truncated to milliseconds, and returns
// its ID. The budget does not limit the calls for leases.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	var response leaseResponse
	err := c.do(ctx, c.requestHTTP, http.MethodPost, "/leases", leaseRequest{TTLMs: ttl.Milliseconds()}, &response, callTimeout)
	return response.Lease, err
}

// RenewLease renews a lease for its full TTL. The error is ErrNotFound if the lease has
// expired or was revoked.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	return c.do(ctx, c.requestHTTP, http.MethodPost, leasePath(lease)+"/extend", struct{}{}, nil, callTimeout)
}

// RevokeLease ends a lease immediately. The service deletes the keys bound to it.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	return c.do(ctx, c.requestHTTP, http.MethodDelete, leasePath(lease), nil, nil, callTimeout)
}

// leasePath returns the request path of a lease.
func leasePath(lease uint64) string { return "/leases/" + strconv.FormatUint(lease, 10) }
