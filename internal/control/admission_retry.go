package control

import (
	"math"
	"time"

	"vetchstream/internal/rpc"
)

const (
	// minRetryAfter is the shortest retry delay sent to a client.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest retry delay that clients honor according to the protocol.
	maxRetryAfter = 30 * time.Second
)

// retryPacer assigns staggered retry times to refused clients, so that they do not all
// retry at the same moment.
type retryPacer struct {
	perSecond float64   // submissions that can be stored per second
	nextAt    time.Time // retry time of the client refused last
}

// retryAfter returns the retry delay for a client that is refused now.
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

// tooManySubmissions returns a refusal that asks the client to retry after wait.
func tooManySubmissions(wait time.Duration) *rpc.Reply {
	refusal := finalRefusal(Unavailable("too many submissions at once"))
	refusal.RetryAfter = int(math.Ceil(wait.Seconds()))
	return refusal
}
