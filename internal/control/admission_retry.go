package control

import (
	"math"
	"time"

	"vetchstream/internal/rpc"
)

const (
	// minRetryAfter is the shortest wait that a refused user is given.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest wait that users respect (protocol).
	maxRetryAfter = 30 * time.Second
)

// retryPacer gives refused users distinct times to retry, so that they do not all
// come back at once.
type retryPacer struct {
	perSecond float64   // submissions that can be stored in a second
	nextAt    time.Time // when the user refused last is expected
}

// retryAfter is how long the user who is refused now should wait before a retry.
func (rp *retryPacer) retryAfter(now time.Time) time.Duration {
	rp.nextAt = rp.nextAt.Add(time.Duration(float64(time.Second) / rp.perSecond))
	if earliest := now.Add(minRetryAfter); rp.nextAt.Before(earliest) {
		rp.nextAt = earliest
	}
	if latest := now.Add(maxRetryAfter); rp.nextAt.After(latest) {
		rp.nextAt = latest
	}
	return rp.nextAt.Sub(now)
}

// tooManySubmissions refuses a submission until the wait is over.
func tooManySubmissions(wait time.Duration) *rpc.Reply {
	refusal := finalRefusal(Unavailable("too many submissions at once"))
	refusal.RetryAfter = int(math.Ceil(wait.Seconds()))
	return refusal
}
