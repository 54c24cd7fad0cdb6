package site

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"vetchstream/internal/config"
	"vetchstream/internal/emulate"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// Store is the stand-in for the state service: the project's emulation, with the limits of the
// protocol in front of it.
type Store struct {
	*emulate.Store

	mu       sync.Mutex
	limits   config.StateLimits
	requests *rate.Limiter
	writes   *rate.Limiter
	loseNext string         // prefix of a key: the answer to the next transaction that puts such a key is lost
	rejected map[string]int // rejected transactions by the first key that they put
	largest  map[string]int // size of the largest value by the prefix of its key
}

// NewStore returns an empty state service with the given limits.
func NewStore(limits config.StateLimits) *Store {
	s := &Store{Store: emulate.NewStore(), rejected: map[string]int{}, largest: map[string]int{}}
	s.SetLimits(limits)
	return s
}

// SetLimits sets the limits. What is stored already stays readable.
func (s *Store) SetLimits(limits config.StateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.requests = rate.NewLimiter(rate.Limit(limits.RPS), int(limits.RPS))
	s.writes = rate.NewLimiter(rate.Limit(limits.WriteRPS), int(limits.WriteRPS))
}

// LoseNextAnswer makes the service carry out the next transaction that puts a key with the prefix at
// once, and give no answer to it.
func (s *Store) LoseNextAnswer(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext = prefix
}

// losesAnswer reports whether the answer to a transaction is to be lost, which happens once.
func (s *Store) losesAnswer(path string, body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var txn state.Txn
	if s.loseNext == "" || path != "/commit" || wire.Unmarshal(body, &txn) != nil {
		return false
	}
	matches := func(write state.Write) bool { return strings.HasPrefix(write.Put, s.loseNext) }
	if !slices.ContainsFunc(txn.Writes, matches) {
		return false
	}
	s.loseNext = ""
	return true
}

// Rejected returns how many transactions were rejected as too large, by the first key that each puts.
func (s *Store) Rejected() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	rejected := map[string]int{}
	for key, count := range s.rejected {
		rejected[key] = count
	}
	return rejected
}

// Largest returns the size of the largest value that was stored under keys with the prefix.
func (s *Store) Largest(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.largest[prefix]
}

// verdict is the answer to a request before it reaches the store; 0 lets it through.
func (s *Store) verdict(path string, body []byte) (status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.requests.AllowN(now, 1) {
		return http.StatusTooManyRequests
	}
	if path != "/commit" {
		return 0
	}
	var txn state.Txn
	if wire.Unmarshal(body, &txn) != nil {
		return http.StatusBadRequest
	}
	if s.tooLarge(&txn) {
		key := ""
		if len(txn.Writes) > 0 {
			key = txn.Writes[0].Put + txn.Writes[0].Delete
		}
		s.rejected[key]++
		return http.StatusBadRequest
	}
	if n := len(txn.Writes); n > 0 && !s.writes.AllowN(now, n) {
		return http.StatusTooManyRequests
	}
	return 0
}

// maxTxnBytes is the limit of a whole transaction.
const maxTxnBytes = 64 << 10

// tooLarge reports whether a transaction exceeds the limits; sizes count in the form of JSON.
func (s *Store) tooLarge(txn *state.Txn) bool {
	total := 0
	for _, write := range txn.Writes {
		size := jsonSize(write.Value)
		total += size + len(write.Put) + len(write.Delete)
		if float64(size) > s.limits.ValueKB*1024 {
			return true
		}
		prefix, _, _ := strings.Cut(write.Put, "/")
		s.largest[prefix+"/"] = max(s.largest[prefix+"/"], size)
	}
	return len(txn.Writes) > s.limits.TxnOps || len(txn.If) > 4*s.limits.TxnOps || total > maxTxnBytes
}

// jsonSize returns the size of a value in the form of JSON.
func jsonSize(value wire.Raw) int {
	var decoded any
	if len(value) == 0 || wire.Unmarshal(value, &decoded) != nil {
		return len(value)
	}
	encoded, err := json.Marshal(decoded)
	if err != nil {
		return len(value)
	}
	return len(encoded)
}

// Handler returns the service as the controllers reach it.
func (s *Store) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
		if err != nil {
			return
		}
		if status := s.verdict(r.URL.Path, body); status != 0 {
			w.WriteHeader(status)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if s.losesAnswer(r.URL.Path, body) {
			s.ServeHTTP(httptest.NewRecorder(), r)
			<-r.Context().Done() // the client gives up
			return
		}
		s.ServeHTTP(w, r)
	})
}
