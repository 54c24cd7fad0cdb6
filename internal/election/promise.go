package election

import (
	"maps"
	"slices"
	"time"
)

// promiseState holds the promises not to campaign that this member has given a
// leader, and those that it has received from its siblings while it leads. In an
// outage of the state service nobody can be elected, but the leader cannot tell an
// outage from a failure that affects it alone. Once every sibling has promised not
// to campaign for some time, the leader may lead for that time.
//
// It does no I/O and takes the time as an argument; the elector's mutex guards it.
type promiseState struct {
	duration time.Duration // of one promise; 0: promises are off
	siblings []string
	// startedAt is when the process began: an earlier process of this member may have
	// given a promise that lasts until one length after that.
	startedAt time.Time
	// knownNotLeading are the siblings that have said since started that they do not lead.
	knownNotLeading map[string]bool
	// grantedUntil is when this member's own promise ends.
	grantedUntil time.Time
	// receivedUntil is when each sibling's promise ends, by member.
	receivedUntil map[string]time.Time
	// campaigning: this member campaigns or leads.
	campaigning bool
}

func newPromiseState(length time.Duration, siblings []string, now time.Time) *promiseState {
	return &promiseState{
		duration:        length,
		siblings:        siblings,
		startedAt:       now,
		knownNotLeading: map[string]bool{},
		receivedUntil:   map[string]time.Time{},
	}
}

// clockSlack is how much the clocks of two members may diverge during a promise,
// plus how late timers may fire.
func (p *promiseState) clockSlack() time.Duration { return p.duration/500 + 50*time.Millisecond }

// startCampaign reports whether this member may campaign now, and if so notes that
// it does until endCampaign.
func (p *promiseState) startCampaign(now time.Time) bool {
	if p.duration == 0 {
		return true
	}
	if now.Before(p.grantedUntil) {
		return false
	}
	// A new process does not know what the one before it has promised. It need not
	// wait once every sibling has said that it does not lead: no leader can depend on
	// such a promise.
	if now.Before(p.startedAt.Add(p.duration+p.clockSlack())) && len(p.knownNotLeading) < len(p.siblings) {
		return false
	}
	p.campaigning = true
	return true
}

// endCampaign notes that the campaign, or the term that it won, is over.
func (p *promiseState) endCampaign() {
	p.campaigning = false
	clear(p.receivedUntil)
}

// grant makes a promise to a leader and reports whether it did. A member for which
// the state service works does not promise: it can lead in that leader's place.
func (p *promiseState) grant(storeFails bool, now time.Time) bool {
	if p.duration == 0 || p.campaigning || !storeFails {
		return false
	}
	if until := now.Add(p.duration + p.clockSlack()); until.After(p.grantedUntil) {
		p.grantedUntil = until
	}
	return true
}

// recordReceived records a sibling's promise that was requested at the time
// requested. It only prolongs an entitlement that has not lapsed, which is
// entitledUntil in the future: after a lapse another member may have led, told
// users what this leader does not know, and stopped. A sibling that was restarted
// since then does not know of that leader and would promise.
func (p *promiseState) recordReceived(member string, requested, now, entitledUntil time.Time) {
	if now.Before(entitledUntil) {
		p.receivedUntil[member] = requested.Add(p.duration)
	}
}

// allPromisedUntil is when the first of the received promises ends; zero: some
// sibling has not promised.
func (p *promiseState) allPromisedUntil() time.Time {
	if p.duration == 0 || len(p.siblings) == 0 || len(p.receivedUntil) < len(p.siblings) {
		return time.Time{}
	}
	return slices.MinFunc(slices.Collect(maps.Values(p.receivedUntil)), time.Time.Compare)
}

// observeSibling records whether a sibling says that it leads.
func (p *promiseState) observeSibling(member string, leads bool) {
	if leads {
		delete(p.knownNotLeading, member)
	} else if slices.Contains(p.siblings, member) {
		p.knownNotLeading[member] = true
	}
}
