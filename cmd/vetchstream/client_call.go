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
	// defaultRetryAfter is the wait before the next attempt where the service names none,
	// and maxRetryAfter the longest that it may name.
	defaultRetryAfter = time.Second
	maxRetryAfter     = 30 * time.Second
	// maxResponse is the largest response that is read, in bytes: lists are longer than
	// what users get.
	maxResponse = 16 * wire.MaxBody
)

// response is the answer to one attempt of a request.
type response struct {
	status     int
	body       []byte
	retryAfter time.Duration // how long to wait before the next attempt
}

// call makes a request and decodes the answer into out. It repeats the request while the
// service cannot be reached or asks to come back.
func (c *client) call(cmd *cobra.Command, method, path string, body []byte, out any) error {
	if err := checkOutput(c.output); err != nil {
		return usageError{err}
	}
	ctx := cmd.Context()
	if ctx == nil {
		ctx = context.Background()
	}
	hc := &http.Client{Timeout: requestTimeout}
	for attempt := 1; ; attempt++ {
		res, err := requestOnce(ctx, hc, method, "http://"+c.server+path, body)
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
			return fmt.Errorf("gave up: %w", err)
		}
		c.sleep(res.retryAfter)
	}
}

// responseError is the error that the answer stands for.
func (r *response) responseError() error {
	var refusal wire.Error
	_ = wire.Unmarshal(r.body, &refusal) // a refusal may have no body
	return fmt.Errorf("%s: %s", http.StatusText(r.status), refusal.Error)
}

// permanent reports whether another attempt would get the same answer.
func (r *response) permanent() bool {
	return r.status >= 400 && r.status < 500 && r.status != http.StatusTooManyRequests
}

// requestOnce makes one attempt of a request. The response's retryAfter is set even if
// there is an error.
func requestOnce(ctx context.Context, hc *http.Client, method, url string, body []byte) (response, error) {
	out := response{retryAfter: defaultRetryAfter}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return out, err
	}
	req.Header.Set("Content-Type", wire.ContentType)
	res, err := hc.Do(req)
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
