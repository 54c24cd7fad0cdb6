package state

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// statusTransport is an HTTP transport that responds to each request with the status
// that the function returns and an empty CBOR map.
type statusTransport func(*http.Request) int

func (s statusTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: s(req), Body: io.NopCloser(bytes.NewReader([]byte{0xa0}))}, nil
}

// TestBudgetFollowsResponses checks that responses of status 429 reduce a node's budget,
// that other responses raise it again, and that an outage does not change a full budget.
func TestBudgetFollowsResponses(t *testing.T) {
	tests := []struct {
		name         string
		status       int
		calls        int
		interval     time.Duration
		before       float64
		wantFraction float64
	}{
		{"a burst of refusals reduces the budget by one step", 429, 20, time.Millisecond, 1, 0.5},
		{"continued refusals reduce the budget to the minimum", 429, 20, time.Second, 1, minBudgetFraction},
		{"an outage does not change a full budget", 503, 20, time.Second, 1, 1},
		{"served requests raise the minimum budget to the full one", 200, 30, time.Second, minBudgetFraction, 1},
		{"served requests do not raise the budget above the settings", 200, 30, time.Second, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := New("state:1", nil, Budget{RPS: 1000, WriteRPS: 100})
				c.requestHTTP.Transport = statusTransport(func(*http.Request) int { return tt.status })
				c.budgetFraction = tt.before
				time.Sleep(time.Minute)
				for range tt.calls {
					_, err := c.Get(t.Context(), "k")
					if errors.Is(err, ErrRefused) != (tt.status != 200) {
						t.Fatal(err)
					}
					time.Sleep(tt.interval)
				}
				if c.budgetFraction != tt.wantFraction || math.Abs(float64(c.writes.Limit())-100*tt.wantFraction) > 1e-9 {
					t.Errorf("budget fraction %v and write limit %v per second, want fraction %v of 100 per second", c.budgetFraction, c.writes.Limit(), tt.wantFraction)
				}
			})
		})
	}
}

// TestNewUnbounded checks that a client without a budget does not delay requests, even
// if the service refuses them because of the request rate.
func TestNewUnbounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewUnbounded("state:1", nil)
		c.requestHTTP.Transport = statusTransport(func(*http.Request) int { return 429 })
		start := time.Now()
		for range 500 {
			if _, err := c.Commit(context.Background(), Txn{Writes: make([]Write, 2)}); !errors.Is(err, ErrRefused) {
				t.Fatal(err)
			}
		}
		if d := time.Since(start); d != 0 {
			t.Errorf("500 requests were delayed by %v, want no delay", d)
		}
	})
}

// TestDecodeResponse checks the sentinel error for each expected status, and that an
// unexpected status results in a *StatusError.
func TestDecodeResponse(t *testing.T) {
	tests := []struct {
		name   string
		status int
		want   error
	}{
		{"status 200 is no error", http.StatusOK, nil},
		{"status 404 is ErrNotFound", http.StatusNotFound, ErrNotFound},
		{"status 409 is ErrConflict", http.StatusConflict, ErrConflict},
		{"status 429 is ErrRefused", http.StatusTooManyRequests, ErrRefused},
		{"status 503 is ErrRefused", http.StatusServiceUnavailable, ErrRefused},
		{"status 400 is ErrRejected", http.StatusBadRequest, ErrRejected},
		{"status 410 is ErrCompacted", http.StatusGone, ErrCompacted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := decodeResponse(tt.status, []byte{0xa0}, nil, http.MethodGet, "/kv/k"); !errors.Is(err, tt.want) {
				t.Errorf("status %d: error %v, want %v", tt.status, err, tt.want)
			}
		})
	}
	t.Run("status 500 is a StatusError that matches no sentinel error", func(t *testing.T) {
		err := decodeResponse(http.StatusInternalServerError, nil, nil, http.MethodGet, "/kv/k")
		var statusErr *StatusError
		if !errors.As(err, &statusErr) || statusErr.Status != http.StatusInternalServerError || errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrRefused) {
			t.Errorf("got %v, want a *StatusError with status 500", err)
		}
		if want := "state service: status 500: GET /kv/k"; err.Error() != want {
			t.Errorf("error message %q, want %q", err.Error(), want)
		}
	})
}
