package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"vetchstream/internal/wire"
)

// Limits of a client's requests.
const (
	maxAttempts    = 20
	requestTimeout = 5 * time.Second
	// defaultRetryAfter is the delay before the next attempt if the response has no valid
	// Retry-After header. A header above maxRetryAfter is not valid.
	defaultRetryAfter = time.Second
	maxRetryAfter     = 30 * time.Second
	// maxResponse is the size in bytes after which a response is truncated. It is a multiple of
	// wire.MaxBody because operators' lists are longer than the responses to users.
	maxResponse = 16 * wire.MaxBody
)

// response is the result of one attempt of a request.
type response struct {
	status     int
	body       []byte
	retryAfter time.Duration // delay before the next attempt
}

// call sends a request and decodes the response into out. It retries up to maxAttempts times if
// the service cannot be reached or returns an error that is not permanent.
func (c *client) call(cmd *cobra.Command, method, path string, body []byte, out any) error {
	if err := checkOutput(c.output); err != nil {
		return usageError{err}
	}
	ctx := cmd.Context()
	if ctx == nil {
		ctx = context.Background()
	}
	httpClient := &http.Client{Timeout: requestTimeout}
	for attempt := 1; ; attempt++ {
		res, err := requestOnce(ctx, httpClient, method, "http://"+c.server+path, body)
		if err == nil {
			if res.status == http.StatusOK || res.status == http.StatusCreated {
				return wire.Unmarshal(res.body, out)
			}
			err = res.responseError()
			if res.permanent() {
				return err
			}
		}
		if attempt == maxAttempts {
			return fmt.Errorf("giving up after the last attempt: %w", err)
		}
		c.sleep(res.retryAfter)
	}
}

// responseError returns the HTTP status and the service's error message as an error.
func (r *response) responseError() error {
	var body wire.Error
	_ = wire.Unmarshal(r.body, &body) // an error response may have no body
	return fmt.Errorf("%s: %s", http.StatusText(r.status), body.Error)
}

// permanent reports whether a retry would fail with the same error.
func (r *response) permanent() bool {
	return r.status >= 400 && r.status < 500 && r.status != http.StatusTooManyRequests
}

// requestOnce makes one attempt of a request. It sets the response's retryAfter also if it
// returns an error.
func requestOnce(ctx context.Context, httpClient *http.Client, method, url string, body []byte) (response, error) {
	out := response{retryAfter: defaultRetryAfter}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return out, err
	}
	req.Header.Set("Content-Type", wire.ContentType)
	res, err := httpClient.Do(req)
	if err != nil {
		return out, err
	}
	defer res.Body.Close()
	out.status = res.StatusCode
	if d, perr := time.ParseDuration(res.Header.Get("Retry-After") + "s"); perr == nil && d > 0 && d <= maxRetryAfter {
		out.retryAfter = d
	}
	out.body, err = io.ReadAll(io.LimitReader(res.Body, maxResponse))
	return out, err
}
