package election

import (
	"maps"
	"slices"
	"time"
)

// promiseState holds the promises not to campaign that this member has granted to
// leaders, and the promises that it has received from its siblings while it leads.
// During an outage of the state service no member can be elected, but a leader cannot
// distinguish an outage from a fault that affects only itself. While a promise of
// every sibling is in force, the leader may continue to lead.
//
// promiseState performs no I/O, and the current time is passed to its methods. The
// elector's mutex guards it.
type promiseState struct {
	duration time.Duration // of one promise; 0 if promises are disabled
	siblings []string
	// startedAt is when this process started. A promise that an earlier process of the
	// member has granted may be in force for the duration of one promise after that.
	startedAt time.Time
	// knownNotLeading holds the siblings that, by their latest report since startedAt, do
	// not lead.
	knownNotLeading map[string]bool
	// grantedUntil is when the promise that this member has granted ends.
	grantedUntil time.Time
	// receivedUntil is when each sibling's promise ends, by member name.
	receivedUntil map[string]time.Time
	// campaigning is set while this member campaigns or leads.
	campaigning bool
}

func newPromiseState(duration time.Duration, siblings []string, now time.Time) *promiseState {
	return &promiseState{
		duration:        duration,
		siblings:        siblings,
		startedAt:       now,
		knownNotLeading: map[string]bool{},
		receivedUntil:   map[string]time.Time{},
	}
}

// clockSlack bounds by how much the clocks of two members diverge during a promise,
// plus the delay with which timers may fire.
func (p *promiseState) clockSlack() time.Duration { return p.duration/500 + 50*time.Millisecond }

// startCampaign reports whether this member may campaign now, and if so marks it as
// campaigning until endCampaign is called.
func (p *promiseState) startCampaign(now time.Time) bool {
	if p.duration == 0 {
		return true
	}
	if now.Before(p.grantedUntil) {
		return false
	}
	// A new process does not know whether the previous process has granted a promise, so
	// it waits until such a promise would have ended. It need not wait once every sibling
	// has reported that it does not lead: then no leader depends on the promise.
	if now.Before(p.startedAt.Add(p.duration+p.clockSlack())) && len(p.knownNotLeading) < len(p.siblings) {
		return false
	}
	p.campaigning = true
	return true
}

// endCampaign marks the end of the campaign, or of the term that it won, and discards
// the received promises.
func (p *promiseState) endCampaign() {
	p.campaigning = false
	clear(p.receivedUntil)
}

// grant grants a promise to a leader, and reports whether it did. A member that
// reaches the state service grants none: it can take over from that leader.
func (p *promiseState) grant(storeFails bool, now time.Time) bool {
	if p.duration == 0 || p.campaigning || !storeFails {
		return false
	}
	if until := now.Add(p.duration + p.clockSlack()); until.After(p.grantedUntil) {
		p.grantedUntil = until
	}
	return true
}

// recordReceived records a promise that was requested from a sibling at the time
// requested. It has no effect unless entitledUntil, the end of the entitlement, is in
// the future: after a lapse another member may have led, given users answers that are
// unknown to this leader, and stopped. A sibling that has restarted since then would
// grant a promise, because it has not seen that other leader.
func (p *promiseState) recordReceived(member string, requested, now, entitledUntil time.Time) {
	if now.Before(entitledUntil) {
		p.receivedUntil[member] = requested.Add(p.duration)
	}
}

// allPromisedUntil returns when the first of the received promises ends; zero if a
// promise of any sibling is missing.
func (p *promiseState) allPromisedUntil() time.Time {
	if p.duration == 0 || len(p.siblings) == 0 || len(p.receivedUntil) < len(p.siblings) {
		return time.Time{}
	}
	return slices.MinFunc(slices.Collect(maps.Values(p.receivedUntil)), time.Time.Compare)
}

// observeSibling records whether a sibling reports that it leads.
func (p *promiseState) observeSibling(member string, leads bool) {
	if leads {
		delete(p.knownNotLeading, member)
	} else if slices.Contains(p.siblings, member) {
		p.knownNotLeading[member] = true
	}
}
