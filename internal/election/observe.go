package election

import (
	"time"
)

// View returns what the node knows of the leadership.
func (e *Elector) View() View {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view
}

// ObserveLeader records a leader of term that a sibling or a worker has seen; the
// name is empty when only the term is known. A member that leads an earlier term
// steps down: a leader that only the state service cannot reach learns of its
// successor this way.
func (e *Elector) ObserveLeader(leader string, term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if term > e.view.Term {
		e.view.Leader = leader
		e.view.Term = term
	}
	if e.leadingTerm != 0 && term > e.leadingTerm && e.deposed != nil {
		e.leaseUntil = time.Time{}
		close(e.deposed)
		e.deposed = nil
	}
}

// observeStored records the leader and the term that the state service has just
// returned.
func (e *Elector) observeStored(leader string, term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view.StoreRespondedAt = time.Now()
	if term >= e.view.Term {
		e.view.Term = term
		e.view.Leader = leader
	}
}

// markStoreResponse records that the state service has just responded.
func (e *Elector) markStoreResponse() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view.StoreRespondedAt = time.Now()
}

// ObserveSibling records whether a sibling's heartbeat says that it leads.
func (e *Elector) ObserveSibling(member string, leads bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.promises.observeSibling(member, leads)
}

// ObserveHeartbeat records that a heartbeat of the leader has just come.
func (e *Elector) ObserveHeartbeat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastHeartbeatAt = time.Now()
}

// lastHeartbeat is when a heartbeat of a leader last came; zero: never.
func (e *Elector) lastHeartbeat() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastHeartbeatAt
}

// LeaderLeaseLeft is how long a leader that sends no heartbeats may still hold the
// lead: what is left of its lease, as far as this node knows.
func (e *Elector) LeaderLeaseLeft() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(0, e.ttl-time.Since(e.lastHeartbeatAt))
}
