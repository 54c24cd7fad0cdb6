package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"golang.org/x/time/rate"

	"vetchstream/internal/config"
	"vetchstream/internal/wire"
)

// storeLimits puts the limits of the state service before the emulated one: requests and changes
// a second, the size of a value and of a transaction, and changes and conditions in a transaction.
type storeLimits struct {
	handler http.Handler
	record  *recorder

	mu       sync.Mutex
	limits   config.StateLimits
	requests *rate.Limiter
	writes   *rate.Limiter
	refused  map[string]int // refused transactions by reason
}

const (
	// maxTxnBytes bounds a transaction, conditionsPerOp its conditions.
	maxTxnBytes     = 64 << 10
	conditionsPerOp = 4
)

// newStoreLimits returns the limits of the settings.
func newStoreLimits(handler http.Handler, limits *config.StateLimits, record *recorder) *storeLimits {
	l := &storeLimits{handler: handler, record: record, refused: map[string]int{}}
	l.set(*limits)
	return l
}

// set replaces the limits. Both rates allow bursts of one second's worth.
func (l *storeLimits) set(limits config.StateLimits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
	l.requests = rate.NewLimiter(rate.Limit(limits.RPS), int(limits.RPS))
	l.writes = rate.NewLimiter(rate.Limit(limits.WriteRPS), int(limits.WriteRPS))
}

// txnBody is the body of a transaction. Values are decoded to count their size as JSON.
type txnBody struct {
	If     []any `codec:"if"`
	Writes []struct {
		Put  string         `codec:"put"`
		Data map[string]any `codec:"data"`
	} `codec:"writes"`
}

// ServeHTTP implements http.Handler.
func (l *storeLimits) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if code, reason := l.check(r.URL.Path, body); code != 0 {
		l.mu.Lock()
		l.refused[reason]++
		first := l.refused[reason] == 1
		l.mu.Unlock()
		if first {
			l.record.logf("state service answers %d: %s (the first time)", code, reason)
		}
		w.WriteHeader(code)
		return
	}
	l.handler.ServeHTTP(w, r)
}

// check returns the status of the refusal of a request and its reason; 0 if it is within the
// limits.
func (l *storeLimits) check(path string, body []byte) (code int, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.requests.Allow() {
		return http.StatusTooManyRequests, "too many requests"
	}
	if path != "/commit" {
		return 0, ""
	}
	var txn txnBody
	if err := wire.Unmarshal(body, &txn); err != nil {
		return http.StatusBadRequest, "malformed: " + err.Error()
	}
	switch {
	case len(txn.Writes) > l.limits.TxnOps:
		return http.StatusBadRequest, "too many changes in a transaction"
	case len(txn.If) > conditionsPerOp*l.limits.TxnOps:
		return http.StatusBadRequest, "too many conditions in a transaction"
	}
	total := 0
	for _, write := range txn.Writes {
		encoded, err := json.Marshal(write.Data)
		if err != nil {
			return http.StatusBadRequest, "malformed: " + err.Error()
		}
		total += len(encoded)
		if float64(len(encoded)) > l.limits.ValueKB*1024 {
			return http.StatusBadRequest, "value too large under " + keyPrefix(write.Put)
		}
	}
	if total > maxTxnBytes {
		return http.StatusBadRequest, "transaction too large"
	}
	if n := len(txn.Writes); n > 0 && !l.writes.AllowN(timeNow(), n) {
		return http.StatusTooManyRequests, "too many changes"
	}
	return 0, ""
}

// keyPrefix returns the first part of a key, with its slash.
func keyPrefix(key string) string {
	if i := bytes.IndexByte([]byte(key), '/'); i >= 0 {
		return key[:i+1]
	}
	return key
}
