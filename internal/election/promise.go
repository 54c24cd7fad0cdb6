package election

import (
	"maps"
	"slices"
	"time"
)

// promiseState holds the promises not to campaign that this member has given a
// leader, and those that the leader has received from its siblings; it works
// like a pre-vote. In an outage of the state service nobody can take the lead,
// and the leader cannot tell an outage from a refusal of itself alone. If every
// sibling has promised for a while not to campaign, the leader goes on for that
// while.
//
// It does no I/O and takes the time as an argument; the elector's mutex guards it.
type promiseState struct {
	length   time.Duration // of one promise; 0: promises are off
	siblings []string
	// started is when the process began: the process before it may have promised
	// until one length after that.
	started time.Time
	// notLeading are the siblings that have said since started that they do not lead.
	notLeading map[string]bool
	// givenUntil is when this member's own promise ends.
	givenUntil time.Time
	// receivedUntil is when each sibling's promise ends, by member.
	receivedUntil map[string]time.Time
	// campaigning: this member takes part in an election, or leads.
	campaigning bool
}

func newPromiseState(length time.Duration, siblings []string, now time.Time) *promiseState {
	return &promiseState{length: length, siblings: siblings, started: now,
		notLeading: map[string]bool{}, receivedUntil: map[string]time.Time{}}
}

// clockSlack is what the clocks of two members may differ by over a promise, plus
// how late timers may fire.
func (p *promiseState) clockSlack() time.Duration { return p.length/500 + 50*time.Millisecond }

// startCampaign reports whether this member may take part in an election now, and
// if so notes that it does. endCampaign ends it.
func (p *promiseState) startCampaign(now time.Time) bool {
	if p.length == 0 {
		return true
	}
	if now.Before(p.givenUntil) {
		return false
	}
	// A process that has just begun does not know what the one before has promised. It
	// need not wait once no sibling leads: there is nobody who counts upon it.
	if now.Before(p.started.Add(p.length+p.clockSlack())) && len(p.notLeading) < len(p.siblings) {
		return false
	}
	p.campaigning = true
	return true
}

// endCampaign ends the election, or the term.
func (p *promiseState) endCampaign() {
	p.campaigning = false
	clear(p.receivedUntil)
}

// promise answers a leader. Only a member that the state service refuses as well
// promises: otherwise it is better that it leads.
func (p *promiseState) promise(refused bool, now time.Time) bool {
	if p.length == 0 || p.campaigning || !refused {
		return false
	}
	if t := now.Add(p.length + p.clockSlack()); t.After(p.givenUntil) {
		p.givenUntil = t
	}
	return true
}

// record notes a sibling's promise, which was requested at the time asked. It only
// prolongs an entitlement that has not lapsed: after a lapse another member may
// have led, and ended, and told users what this leader does not know. A sibling
// that was restarted since knows nothing of that and would promise.
func (p *promiseState) record(member string, asked, now, entitled time.Time) {
	if now.Before(entitled) {
		p.receivedUntil[member] = asked.Add(p.length)
	}
}

// until is when the first of the received promises ends; zero: one is missing.
func (p *promiseState) until() time.Time {
	if p.length == 0 || len(p.siblings) == 0 || len(p.receivedUntil) < len(p.siblings) {
		return time.Time{}
	}
	return slices.MinFunc(slices.Collect(maps.Values(p.receivedUntil)), time.Time.Compare)
}

// observe notes whether a sibling has said since this process began that it leads.
func (p *promiseState) observe(member string, leads bool) {
	if leads {
		delete(p.notLeading, member)
	} else if slices.Contains(p.siblings, member) {
		p.notLeading[member] = true
	}
}
