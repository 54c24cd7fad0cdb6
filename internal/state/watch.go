package state

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Watch waits until a key that begins with prefix has a change later than the revision
// after, or until wait has passed. It returns the changes and the revision that the
// next watch starts from. The error is ErrCompacted if the service has compacted the
// changes since after; the caller then has to list the keys again.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	query := url.Values{
		"under":   {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var response watchResponse
	err := c.do(ctx, c.watchHTTP, http.MethodGet, "/changes?"+query.Encode(), nil, &response, wait+callTimeout)
	return response.Events, response.Revision, err
}
