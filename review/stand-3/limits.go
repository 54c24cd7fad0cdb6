package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"vetchstream/internal/wire"
)

// limits are the limits of the state service.
type limits struct {
	RPS, WriteRPS, ValueKB float64
	TxnOps                 int
}

// maxTxnBytes is the limit of a whole transaction.
const maxTxnBytes = 64 << 10

// limitedState puts the limits of the protocol in front of the emulated state service: 400 for a
// value or a transaction that is too large, 429 above the rates. Sizes are counted as JSON, as the
// protocol counts them.
type limitedState struct {
	next http.Handler

	limits   limits
	requests *rate.Limiter
	writes   *rate.Limiter
}

// newLimitedState returns a state service with the limits. Both rates allow bursts of one second's worth.
func newLimitedState(next http.Handler, l limits) *limitedState {
	return &limitedState{
		next:     next,
		limits:   l,
		requests: rate.NewLimiter(rate.Limit(l.RPS), int(l.RPS)),
		writes:   rate.NewLimiter(rate.Limit(l.WriteRPS), int(l.WriteRPS)),
	}
}

// transaction is the body of POST /commit.
type transaction struct {
	If     []any            `codec:"if"`
	Writes []map[string]any `codec:"writes"`
}

// ServeHTTP implements http.Handler.
func (s *limitedState) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.requests.Allow() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if r.URL.Path != "/commit" {
		s.next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	var txn transaction
	if err != nil || wire.Unmarshal(body, &txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status := s.check(&txn); status != 0 {
		w.WriteHeader(status)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.next.ServeHTTP(w, r)
}

// check returns the status of a refusal, or 0 if the transaction is within the limits.
func (s *limitedState) check(txn *transaction) (status int) {
	if len(txn.Writes) > s.limits.TxnOps || len(txn.If) > 4*s.limits.TxnOps {
		return http.StatusBadRequest
	}
	if jsonSize(map[string]any{"if": txn.If, "writes": txn.Writes}) > maxTxnBytes {
		return http.StatusBadRequest
	}
	for _, write := range txn.Writes {
		if float64(jsonSize(write["data"])) > s.limits.ValueKB*1024 {
			return http.StatusBadRequest
		}
	}
	if !s.writes.AllowN(time.Now(), len(txn.Writes)) {
		return http.StatusTooManyRequests
	}
	return 0
}

// jsonSize returns the size of a value in the JSON form.
func jsonSize(v any) int {
	text, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(text)
}
