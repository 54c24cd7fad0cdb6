package node

import (
	"sync"
	"time"
)

// route chooses who takes in a submission that reached a node which does not
// lead: the leader, or this node by itself, through the state service. A leader
// that is short of processor answers late, while the others have nothing to do.
type route struct {
	mu          sync.Mutex
	leader, own time.Duration // smoothed times of answers; 0: not known
	probed      time.Time     // when the leader was last asked
}

const (
	// smoothing is the weight of a new time, one in that many.
	smoothing = 4
	// lateFactor is how much longer the leader must take than this node, and
	// lateLeast how long in any case: it gathers submissions, and knows the jobs.
	lateFactor = 3
	lateLeast  = 60 * time.Millisecond
	// probeEvery is how often the leader is asked all the same, to see whether it has
	// caught up.
	probeEvery = time.Second
)

func smooth(was, now time.Duration) time.Duration {
	if was == 0 {
		return now
	}
	return was + (now-was)/smoothing
}

// tookLeader notes how long the leader took, or how long was waited for it.
func (r *route) tookLeader(d time.Duration) {
	r.mu.Lock()
	r.leader = smooth(r.leader, d)
	r.mu.Unlock()
}

// tookOwn notes how long this node took by itself.
func (r *route) tookOwn(d time.Duration) {
	r.mu.Lock()
	r.own = smooth(r.own, d)
	r.mu.Unlock()
}

// direct reports whether this node should take in a submission by itself.
func (r *route) direct(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader < lateLeast || r.leader < lateFactor*r.own {
		r.probed = now
		return false
	}
	if now.Sub(r.probed) >= probeEvery {
		r.probed = now
		return false
	}
	return true
}
