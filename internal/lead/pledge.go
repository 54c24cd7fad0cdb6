package lead

import (
	"maps"
	"slices"
	"time"
)

// pledge is what a member has promised the leader, and what the leader has been
// promised. In an outage of the state service nobody can take the lead, and the
// leader cannot tell it from a refusal of itself alone. If every sibling has promised
// for a while not to campaign, the leader goes on for that while.
//
// It is pure; the elector guards it.
type pledge struct {
	length   time.Duration // of a promise; 0: off
	siblings []string
	// born is when the process began: one before it may have promised until a length
	// after that.
	born time.Time
	// idle are the siblings that have said since that they do not lead.
	idle map[string]bool
	// given is when this member's own promise ends.
	given time.Time
	// got is when the siblings' promises end, by member.
	got map[string]time.Time
	// campaigns: this member takes part in an election, or leads.
	campaigns bool
}

func newPledge(length time.Duration, siblings []string, now time.Time) *pledge {
	return &pledge{length: length, siblings: siblings, born: now, idle: map[string]bool{}, got: map[string]time.Time{}}
}

// slip is what the clocks of two members may differ by over a promise, and what
// timers are late.
func (p *pledge) slip() time.Duration { return p.length/500 + 50*time.Millisecond }

// campaign reports whether this member may take part in an election now, and notes
// that it does. It is over with rest.
func (p *pledge) campaign(now time.Time) bool {
	if p.length == 0 {
		return true
	}
	if now.Before(p.given) {
		return false
	}
	// A process that has just begun does not know what the one before has promised. It
	// need not wait once no sibling leads: there is nobody who counts upon it.
	if now.Before(p.born.Add(p.length+p.slip())) && len(p.idle) < len(p.siblings) {
		return false
	}
	p.campaigns = true
	return true
}

// rest ends the election, or the term.
func (p *pledge) rest() {
	p.campaigns = false
	clear(p.got)
}

// promise answers a leader. Only a member that the state service refuses as well
// promises: otherwise it is better that it leads.
func (p *pledge) promise(refused bool, now time.Time) bool {
	if p.length == 0 || p.campaigns || !refused {
		return false
	}
	if t := now.Add(p.length + p.slip()); t.After(p.given) {
		p.given = t
	}
	return true
}

// take notes a sibling's promise, which was asked for at the time given. It only
// prolongs an entitlement: after a lapse another may have led, and ended, and told
// users what this leader does not know. A sibling that was started anew since knows
// nothing of that and would promise.
func (p *pledge) take(member string, asked, now, entitled time.Time) {
	if now.Before(entitled) {
		p.got[member] = asked.Add(p.length)
	}
}

// until is when the first of the promises ends; zero: one is missing.
func (p *pledge) until() time.Time {
	if p.length == 0 || len(p.siblings) == 0 || len(p.got) < len(p.siblings) {
		return time.Time{}
	}
	return slices.MinFunc(slices.Collect(maps.Values(p.got)), time.Time.Compare)
}

// hears notes what a sibling has said of itself since this process began.
func (p *pledge) hears(member string, leads bool) {
	if leads {
		delete(p.idle, member)
	} else if slices.Contains(p.siblings, member) {
		p.idle[member] = true
	}
}
