package node

import (
	"sync"
	"time"
)

// admissionRoute chooses who admits a job that was submitted to a node which is not
// the leader: the leader, or this node by itself through the key-value store. An
// overloaded leader answers late while the other nodes have little to do.
type admissionRoute struct {
	mu            sync.Mutex
	leaderLatency time.Duration // smoothed response time of the leader; 0: not known
	localLatency  time.Duration // smoothed time of an admission by this node; 0: not known
	lastLeaderTry time.Time     // when a submission was last forwarded to the leader
}

const (
	// latencySmoothing is the divisor of the moving average: a new sample has the weight
	// of one in that many.
	latencySmoothing = 4
	// slowLeaderFactor and minSlowLatency are the lower bounds of a leader's latency that
	// counts as slow, as a multiple of this node's and as a time. The leader gathers
	// submissions into batches and knows the jobs, so it may well take a little longer.
	slowLeaderFactor = 3
	minSlowLatency   = 60 * time.Millisecond
	// leaderRetryInterval is how often a slow leader is sent a submission all the same, to
	// see whether it has caught up.
	leaderRetryInterval = time.Second
)

// smooth returns the moving average after a new sample; an average of 0 means that
// there was none yet.
func smooth(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + (sample-average)/latencySmoothing
}

// observeLeader records how long the leader took to answer, or how long this node
// waited before it gave up.
func (r *admissionRoute) observeLeader(latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaderLatency = smooth(r.leaderLatency, latency)
}

// observeLocal records how long an admission by this node took.
func (r *admissionRoute) observeLocal(latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.localLatency = smooth(r.localLatency, latency)
}

// preferLocal reports whether this node should admit a job by itself. If not, the
// caller forwards the submission to the leader.
func (r *admissionRoute) preferLocal(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	slow := r.leaderLatency >= minSlowLatency && r.leaderLatency >= slowLeaderFactor*r.localLatency
	if slow && now.Sub(r.lastLeaderTry) < leaderRetryInterval {
		return true
	}
	r.lastLeaderTry = now
	return false
}
