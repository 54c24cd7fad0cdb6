package node

import (
	"sync"
	"time"
)

// admissionRoute decides whether a follower forwards a submission to the leader or admits
// the job itself through the key-value store. An overloaded leader answers slowly while
// the followers are lightly loaded.
type admissionRoute struct {
	mu            sync.Mutex
	leaderLatency time.Duration // moving average of the leader's response time; 0: no sample yet
	localLatency  time.Duration // moving average of the time of a local admission; 0: no sample yet
	lastLeaderTry time.Time     // when a submission was last forwarded to the leader
}

const (
	// latencySmoothing is the divisor of the moving average: a new sample has a weight of
	// 1/latencySmoothing.
	latencySmoothing = 4
	// A leader counts as slow if its latency is at least minSlowLatency and at least
	// slowLeaderFactor times this node's. A leader that is only somewhat slower is still
	// preferred, because it collects submissions into batches and has the state of the jobs.
	slowLeaderFactor = 3
	minSlowLatency   = 60 * time.Millisecond
	// leaderRetryInterval is the interval at which a submission is forwarded to a slow
	// leader nevertheless, to detect that it has recovered.
	leaderRetryInterval = time.Second
)

// smooth returns the moving average updated with a new sample. An average of 0 means that
// there is no earlier sample.
func smooth(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + (sample-average)/latencySmoothing
}

// observeLeader records the time in which the leader answered a submission or the request
// timed out.
func (r *admissionRoute) observeLeader(latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaderLatency = smooth(r.leaderLatency, latency)
}

// observeLocal records the time of an admission by this node.
func (r *admissionRoute) observeLocal(latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.localLatency = smooth(r.localLatency, latency)
}

// preferLocal reports whether this node should admit a job itself. Otherwise the caller
// has to forward the submission to the leader.
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
