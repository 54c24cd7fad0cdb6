package election

import (
	"time"
)

// View returns the node's view of the leadership.
func (e *Elector) View() View {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view
}

// ObserveLeader records the leader of a term that a sibling or a worker has reported;
// leader is empty if only the term is known. A member that leads an earlier term steps
// down. A leader that is cut off from the state service alone learns in this way that
// it has a successor.
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

// observeStored records the leader and the term that were just read from the state
// service.
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

// ObserveSibling records whether a sibling leads according to its heartbeat.
func (e *Elector) ObserveSibling(member string, leads bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.promises.observeSibling(member, leads)
}

// ObserveHeartbeat records that a heartbeat of the leader has just arrived.
func (e *Elector) ObserveHeartbeat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastHeartbeatAt = time.Now()
}

// lastHeartbeat returns when a leader's last heartbeat arrived; zero if none did.
func (e *Elector) lastHeartbeat() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastHeartbeatAt
}

// LeaderLeaseLeft returns how long a leader whose heartbeats have stopped may still
// hold its lease, counted from its last heartbeat to this node.
func (e *Elector) LeaderLeaseLeft() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(0, e.ttl-time.Since(e.lastHeartbeatAt))
}
