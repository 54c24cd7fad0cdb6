package state

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Watch waits until a key that begins with prefix has changed after the revision
// after, or wait is over. It returns the changes and the revision to watch from
// next. ErrCompacted means that the service no longer has the changes since after:
// the keys have to be listed again.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	q := url.Values{
		"under":   {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var out watchResponse
	err := c.do(ctx, c.watchHTTP, http.MethodGet, "/changes?"+q.Encode(), nil, &out, wait+callTimeout)
	return out.Events, out.Revision, err
}
