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

// answers is an HTTP transport that answers each request with a status and an empty
// CBOR map.
type answers func(*http.Request) int

func (a answers) RoundTrip(q *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: a(q), Body: io.NopCloser(bytes.NewReader([]byte{0xa0}))}, nil
}

// TestBudgetFollowsResponses: refusals for the rate narrow a node's budget, served requests widen it
// again, and an outage leaves it as it is.
func TestBudgetFollowsResponses(t *testing.T) {
	tests := []struct {
		name   string
		status int
		calls  int
		every  time.Duration
		before float64
		want   float64
	}{
		{"one burst of refusals is one step", 429, 20, time.Millisecond, 1, 0.5},
		{"refusals that go on", 429, 20, time.Second, 1, minBudgetFraction},
		{"an outage", 503, 20, time.Second, 1, 1},
		{"served again", 200, 30, time.Second, minBudgetFraction, 1},
		{"never above the settings", 200, 30, time.Second, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := New("state:1", nil, Budget{RPS: 1000, WriteRPS: 100})
				c.requestHTTP.Transport = answers(func(*http.Request) int { return tt.status })
				c.budgetFraction = tt.before
				time.Sleep(time.Minute)
				for range tt.calls {
					_, err := c.Get(t.Context(), "k")
					if errors.Is(err, ErrRefused) != (tt.status != 200) {
						t.Fatal(err)
					}
					time.Sleep(tt.every)
				}
				if c.budgetFraction != tt.want || math.Abs(float64(c.writes.Limit())-100*tt.want) > 1e-9 {
					t.Errorf("budget fraction %v, %v writes a second, want %v", c.budgetFraction, c.writes.Limit(), tt.want)
				}
			})
		})
	}
}

// TestNewUnbounded: the requests of leader election wait for no budget, and refusals do
// not slow them down.
func TestNewUnbounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewUnbounded("state:1", nil)
		c.requestHTTP.Transport = answers(func(*http.Request) int { return 429 })
		begun := time.Now()
		for range 500 {
			if _, err := c.Commit(context.Background(), Txn{Writes: make([]Write, 2)}); !errors.Is(err, ErrRefused) {
				t.Fatal(err)
			}
		}
		if d := time.Since(begun); d != 0 {
			t.Errorf("500 requests took %v", d)
		}
	})
}

// TestDecodeResponse: each status of the service comes back as its sentinel
// error, and one that the client does not expect as a *StatusError.
func TestDecodeResponse(t *testing.T) {
	tests := []struct {
		name   string
		status int
		want   error
	}{
		{"served", http.StatusOK, nil},
		{"no such key", http.StatusNotFound, ErrNotFound},
		{"a condition does not hold", http.StatusConflict, ErrConflict},
		{"refused for the rate", http.StatusTooManyRequests, ErrRefused},
		{"unavailable", http.StatusServiceUnavailable, ErrRefused},
		{"malformed", http.StatusBadRequest, ErrRejected},
		{"history compacted", http.StatusGone, ErrCompacted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := decodeResponse(tt.status, []byte{0xa0}, nil, http.MethodGet, "/kv/k"); !errors.Is(err, tt.want) {
				t.Errorf("status %d: %v, want %v", tt.status, err, tt.want)
			}
		})
	}
	t.Run("unexpected status", func(t *testing.T) {
		err := decodeResponse(http.StatusInternalServerError, nil, nil, http.MethodGet, "/kv/k")
		var se *StatusError
		if !errors.As(err, &se) || se.Status != http.StatusInternalServerError || errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrRefused) {
			t.Errorf("got %v, want a *StatusError with status 500", err)
		}
		if want := "state service: status 500: GET /kv/k"; err.Error() != want {
			t.Errorf("message %q, want %q", err.Error(), want)
		}
	})
}
