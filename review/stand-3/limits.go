package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
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

	mu       sync.Mutex
	limits   limits
	requests *rate.Limiter
	writes   *rate.Limiter
	refused  map[string]int // number of refused transactions, by reason
	onRefuse func(reason string, keys []string)
}

func newLimitedState(next http.Handler, l limits) *limitedState {
	s := &limitedState{next: next, refused: map[string]int{}}
	s.set(l)
	return s
}

// set replaces the limits. Both rates allow bursts of one second's worth.
func (s *limitedState) set(l limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
	s.requests = rate.NewLimiter(rate.Limit(l.RPS), int(l.RPS))
	s.writes = rate.NewLimiter(rate.Limit(l.WriteRPS), int(l.WriteRPS))
}

// transaction is the body of POST /commit.
type transaction struct {
	If     []any            `codec:"if"`
	Writes []map[string]any `codec:"writes"`
}

// ServeHTTP implements http.Handler.
func (s *limitedState) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.requestAllowed() {
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
	if status, reason := s.check(&txn); status != 0 {
		s.report(reason, &txn)
		w.WriteHeader(status)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.next.ServeHTTP(w, r)
}

func (s *limitedState) requestAllowed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests.Allow()
}

// check returns the status and the reason of a refusal, or 0 if the transaction is within the limits.
func (s *limitedState) check(txn *transaction) (status int, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(txn.Writes) > s.limits.TxnOps || len(txn.If) > 4*s.limits.TxnOps {
		return http.StatusBadRequest, "too many writes or conditions"
	}
	if jsonSize(map[string]any{"if": txn.If, "writes": txn.Writes}) > maxTxnBytes {
		return http.StatusBadRequest, "transaction too large"
	}
	for _, write := range txn.Writes {
		if float64(jsonSize(write["data"])) > s.limits.ValueKB*1024 {
			return http.StatusBadRequest, "value too large"
		}
	}
	if !s.writes.AllowN(time.Now(), len(txn.Writes)) {
		return http.StatusTooManyRequests, "too many writes per second"
	}
	return 0, ""
}

// report counts a refusal and passes it to the callback.
func (s *limitedState) report(reason string, txn *transaction) {
	var keys []string
	for _, write := range txn.Writes {
		for _, field := range []string{"put", "drop"} {
			if key, ok := write[field].(string); ok {
				keys = append(keys, key)
			}
		}
	}
	s.mu.Lock()
	s.refused[reason]++
	callback := s.onRefuse
	s.mu.Unlock()
	if callback != nil {
		callback(reason, keys)
	}
}

// jsonSize returns the size of a value in the JSON form.
func jsonSize(v any) int {
	text, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(text)
}
